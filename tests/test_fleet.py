"""The module's backends: what a change of the list touches, and what is left right after many."""

import random

import pytest
from helpers import GatewayHarness, of_type

from cobaltline import gateway
from cobaltline import interface as io


class Read(gateway.TrackedBackend):
    """Tells of each look at one."""

    looks = []

    def __getattribute__(self, name):
        Read.looks.append(name)
        return super().__getattribute__(name)


def entries(count):
    return [io.Backend(f"b{i}", zone=f"z{i % 4}", cell=i % 5, weight=1.0 + i % 3) for i in range(count)]


def looks(count, *change):
    """How often any backend is looked at while one entry of so many changes."""
    p = GatewayHarness(entries(count))
    Read.looks.clear()
    p.update_backends(*change, kind=io.ListKind.DELTA)
    return len(Read.looks)


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
def test_a_change_looks_at_as_many_backends_in_a_long_list_as_in_a_short_one(monkeypatch, change):
    monkeypatch.setattr(gateway, "TrackedBackend", Read)
    assert 0 < looks(4000, change) <= looks(40, change) < 60


def test_what_is_swept_looks_only_at_what_left(monkeypatch):
    monkeypatch.setattr(gateway, "TrackedBackend", Read)
    p = GatewayHarness(entries(4000))
    p.update_backends(io.Backend("b7", state=io.BackendState.REMOVED), kind=io.ListKind.DELTA)
    Read.looks.clear()
    p.advance(p.now + 2 * gateway.CUSTOMER_IDLE_MS)
    assert "b7" not in p.gateway.tracked and len(p.gateway.tracked) == 3999 and len(Read.looks) < 20


def test_after_many_changes_the_fleet_is_as_one_that_was_told_the_outcome_alone():
    rng, p, now = random.Random(3), GatewayHarness(()), {}
    for _ in range(600):
        entry = io.Backend(
            f"b{rng.randrange(40)}",
            f"z{rng.randrange(3)}",
            cell=rng.randrange(4),
            state=rng.choice(list(io.BackendState)),
            weight=rng.choice([0.5, 1.0, 2.0, rng.random()]),
            started_ms=rng.choice([0.0, 1.0, p.now]),
        )
        now[entry.id] = entry
        p.now += 100.0
        p.update_backends(entry, kind=io.ListKind.DELTA)
        up = {name: x for name, x in now.items() if x.state is io.BackendState.UP}
        fleet = p.gateway.pool
        assert {x.id: (x.zone, x.cell, x.weight) for x in fleet.usable} == {
            name: (x.zone, x.cell, x.weight) for name, x in up.items()
        }
        assert all(x.pool_index == i and fleet.by_id[x.id] is x for i, x in enumerate(fleet.usable))
        assert fleet.max_weight == max((x.weight for x in up.values()), default=1.0)
        home = rng.choice(list(fleet.by_id.values()))
        assert {x.id for x in fleet.usable_in_same("zone", home)} == {
            n for n, x in up.items() if x.zone == home.zone
        }
        assert {x.id for x in fleet.usable_in_same("cell", home)} == {
            n for n, x in up.items() if x.cell == home.cell
        }


def test_a_whole_list_keeps_what_it_names_alone():
    p = GatewayHarness(("b1", "b2", "b3"))
    p.update_backends("b2", "b4")
    assert {x.id for x in p.gateway.usable} == {"b2", "b4"}


def test_a_first_list_in_parts_bounds_the_attempts_out_as_one_in_one_piece():
    whole, parts = GatewayHarness(entries(60)), GatewayHarness(())
    for i in range(0, 60, 20):
        parts.update_backends(*entries(60)[i : i + 20], kind=io.ListKind.DELTA)
    assert (
        parts.gateway.attempt_limit
        == whole.gateway.attempt_limit
        == gateway.INITIAL_ATTEMPTS_PER_BACKEND * 60 / 2
    )
    assert of_type(parts.request()[1], io.Send)
    parts.gateway.attempt_limit = 5.0  # found out since
    parts.update_backends(io.Backend("new"), kind=io.ListKind.DELTA)
    assert parts.gateway.attempt_limit == 5.0
