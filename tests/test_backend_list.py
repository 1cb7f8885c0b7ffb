"""The list of backends: the cost of a change, and the state after many changes."""

import random

import pytest
from helpers import GatewayHarness, of_type

from cobaltline import gateway
from cobaltline import interface as io


class RecordingBackend(gateway.TrackedBackend):
    """Records each access to an attribute of any backend."""

    accesses = []

    def __getattribute__(self, name):
        RecordingBackend.accesses.append(name)
        return super().__getattribute__(name)


def backend_entries(count):
    return [io.Backend(f"b{i}", zone=f"z{i % 4}", cell=i % 5, weight=1.0 + i % 3) for i in range(count)]


def count_accesses(count, *changes):
    """The number of accesses to backends while entries of a list of `count` change."""
    harness = GatewayHarness(backend_entries(count))
    RecordingBackend.accesses.clear()
    harness.update_backends(*changes, kind=io.ListKind.DELTA)
    return len(RecordingBackend.accesses)


@pytest.mark.parametrize(
    "change",
    [
        io.Backend("b7", state=io.BackendState.DRAINING),
        io.Backend("b7", state=io.BackendState.REMOVED),
        io.Backend("b7", weight=9.0),
        io.Backend("b7", started_ms=5.0),
        io.Backend("new"),
        io.Backend("b8", state=io.BackendState.DRAINING),
    ],
    ids=str,
)
def test_a_change_makes_no_more_accesses_to_backends_in_a_long_list_than_in_a_short_one(monkeypatch, change):
    monkeypatch.setattr(gateway, "TrackedBackend", RecordingBackend)
    assert 0 < count_accesses(4000, change) <= count_accesses(40, change) < 60


def test_the_sweep_accesses_only_removed_backends(monkeypatch):
    monkeypatch.setattr(gateway, "TrackedBackend", RecordingBackend)
    harness = GatewayHarness(backend_entries(4000))
    harness.update_backends(io.Backend("b7", state=io.BackendState.REMOVED), kind=io.ListKind.DELTA)
    RecordingBackend.accesses.clear()
    harness.advance(harness.now + 2 * gateway.SWEEP_INTERVAL_MS)
    assert (
        "b7" not in harness.gateway.tracked
        and len(harness.gateway.tracked) == 3999
        and len(RecordingBackend.accesses) < 20
    )


def test_after_many_changes_the_pool_matches_the_latest_entries():
    rng, harness, latest = random.Random(3), GatewayHarness(()), {}
    for _ in range(600):
        entry = io.Backend(
            f"b{rng.randrange(40)}",
            f"z{rng.randrange(3)}",
            cell=rng.randrange(4),
            state=rng.choice(list(io.BackendState)),
            weight=rng.choice([0.5, 1.0, 2.0, rng.random()]),
            started_ms=rng.choice([0.0, 1.0, harness.now]),
        )
        latest[entry.id] = entry
        harness.now += 100.0
        harness.update_backends(entry, kind=io.ListKind.DELTA)
        usable = {name: x for name, x in latest.items() if x.state is io.BackendState.UP}
        pool = harness.gateway.pool
        assert {x.id: (x.zone, x.cell, x.weight) for x in pool.usable} == {
            name: (x.zone, x.cell, x.weight) for name, x in usable.items()
        }
        assert all(x.pool_index == i and pool.by_id[x.id] is x for i, x in enumerate(pool.usable))
        assert pool.max_weight == max((x.weight for x in usable.values()), default=1.0)
        other = rng.choice(list(pool.by_id.values()))
        assert {x.id for x in pool.usable_in_same("zone", other)} == {
            backend_id for backend_id, x in usable.items() if x.zone == other.zone
        }
        assert {x.id for x in pool.usable_in_same("cell", other)} == {
            backend_id for backend_id, x in usable.items() if x.cell == other.cell
        }


def test_a_complete_list_removes_all_other_backends():
    harness = GatewayHarness(("b1", "b2", "b3"))
    harness.update_backends("b2", "b4")
    assert {x.id for x in harness.gateway.usable} == {"b2", "b4"}


def test_a_first_list_in_parts_gives_the_same_attempt_limit_as_a_complete_one():
    whole, parts = GatewayHarness(backend_entries(60)), GatewayHarness(())
    for i in range(0, 60, 20):
        parts.update_backends(*backend_entries(60)[i : i + 20], kind=io.ListKind.DELTA)
    assert (
        parts.gateway.attempt_limit
        == whole.gateway.attempt_limit
        == gateway.INITIAL_ATTEMPTS_PER_BACKEND * 60 / 2
    )
    assert of_type(parts.request()[1], io.Send)
    parts.gateway.attempt_limit = 5.0  # as adapted in the meantime
    parts.update_backends(io.Backend("new"), kind=io.ListKind.DELTA)
    assert parts.gateway.attempt_limit == 5.0
