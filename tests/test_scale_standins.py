"""Tests of the simulated counter, backends, connection pools and discovery, with values calculated by
hand."""

from random import Random

import pytest

from cobaltline import interface as io
from scale.backends import FALL_MULTIPLE, KEEPALIVE_MS, REUSE_DELAY_MS, Backend, Pool
from scale.clock import Clock
from scale.counter import Counter
from scale.discovery import Discovery
from scale.links import SAME_ZONE_DELAY_MS, Links


def test_a_call_that_timed_out_is_still_counted_and_a_full_queue_rejects_calls():
    clock, links, results = Clock(0.0), Links(1, 1), []
    counter = Counter(clock, links, links.zones[0], parts=1, per_s=25.0, wait_ms=50.0)  # 40 ms a call
    for _ in range(4):
        counter.call(links.zones[0], io.CounterAdd("n", 1.0, 9000.0), "p", results.append)
    clock.run_until(1000.0)
    counter.call(links.zones[0], io.CounterAdd("n", 0.0, 9000.0), "p", results.append)
    clock.run_until(2000.0)
    # The first two end after 40 and 80 ms, so that the second times out; the others find a queue of 80 ms,
    # which
    # is over the limit of 75 ms.
    by_outcome = {
        outcome: [result for result in results if result.outcome is outcome] for outcome in io.Outcome
    }
    assert [
        len(by_outcome[expected]) for expected in (io.Outcome.OK, io.Outcome.TIMEOUT, io.Outcome.OVERLOADED)
    ] == [2, 1, 2]
    assert results[-1].total == 2.0 and results[-1].elapsed_ms == pytest.approx(
        40.0 + 2.0 * SAME_ZONE_DELAY_MS
    )
    assert counter.unanswered == 3


def test_a_cold_backend_fails_above_its_budget_with_tolerance():
    clock = Clock(1000.0)
    backend = Backend(clock, "b", "z", cores=3, speed=1.0, work_ms=90.0)
    backend.start()
    budget = FALL_MULTIPLE * 3 / 90.0 * 0.24 * 3000.0  # 72 requests of mean work within the span
    limit = int(budget + 2.0 * budget**0.5 + 2.0)
    assert [backend.count_attempt(90.0, True) for _ in range(limit + 1)] == [False] * limit + [True]
    assert backend.informed_share() == 1.0


def test_a_connection_is_reused_only_after_the_reuse_delay_and_before_it_is_stale():
    clock = Clock(0.0)
    pool = Pool(Backend(clock, "b", "z", cores=1, speed=1.0, work_ms=90.0))
    assert not pool.acquire(0.0) and pool.open()
    pool.release(100.0, pool.backend.incarnation, keep=True)
    assert not pool.acquire(100.0 + REUSE_DELAY_MS - 1.0) and pool.acquire(100.0 + REUSE_DELAY_MS)
    pool.release(200.0, pool.backend.incarnation, keep=True)
    assert not pool.acquire(200.0 + KEEPALIVE_MS / 2.0) and pool.backend.connections == 0


def test_changes_arrive_in_order_and_a_gateway_that_was_cut_off_gets_the_full_list():
    class Gateway:
        zone = "r1z1"

        def __init__(self):
            self.lists = []

        def backends_changed(self, event):
            self.lists.append((event.kind, event.version, len(event.backends)))

    clock, links, gateway = Clock(0.0), Links(2, 2), Gateway()
    discovery = Discovery(clock, links, links.zones[0], Random(1))
    discovery.start([io.Backend("a"), io.Backend("b")])
    discovery.subscribe(gateway)
    for _ in range(5):
        discovery.apply_changes([io.Backend("a", weight=2.0)])
    clock.run_until(10_000.0)
    assert gateway.lists == [
        (io.ListKind.CACHED, 1, 2),
        *((io.ListKind.DELTA, version, 1) for version in range(2, 7)),
    ]
    links.partition(links.zones_in_region(1))
    discovery.apply_changes([io.Backend("c")])
    clock.run_until(20_000.0)
    links.heal()
    discovery.resync()
    clock.run_until(30_000.0)
    assert gateway.lists[6:] == [(io.ListKind.COMPLETE, 7, 3)]
