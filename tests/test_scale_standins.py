"""The stand-ins of the hollow fleet, against cases worked out by hand."""

from random import Random

import pytest

from cobaltline import interface as io
from scale.backends import FALL_MULTIPLE, KEEPALIVE_MS, REUSE_DELAY_MS, Backend, Pool
from scale.clock import Clock
from scale.counter import Counter
from scale.discovery import Discovery
from scale.links import SAME_ZONE_DELAY_MS, Links


def test_a_call_that_nobody_waits_for_is_still_added_and_a_long_line_turns_away():
    clock, links, got = Clock(0.0), Links(1, 1), []
    counter = Counter(clock, links, links.zones[0], parts=1, per_s=25.0, wait_ms=50.0)  # 40 ms a call
    for _ in range(4):
        counter.call(links.zones[0], io.CounterAdd("n", 1.0, 9000.0), "p", got.append)
    clock.run_until(1000.0)
    counter.call(links.zones[0], io.CounterAdd("n", 0.0, 9000.0), "p", got.append)
    clock.run_until(2000.0)
    # Done after 40 and 80 ms: the second comes too late, and the others find a line of 80 ms, over 75.
    ends = {outcome: [r for r in got if r.outcome is outcome] for outcome in io.Outcome}
    assert [len(ends[x]) for x in (io.Outcome.OK, io.Outcome.TIMEOUT, io.Outcome.OVERLOADED)] == [2, 1, 2]
    assert got[-1].total == 2.0 and got[-1].elapsed_ms == pytest.approx(40.0 + 2.0 * SAME_ZONE_DELAY_MS)
    assert counter.unanswered == 3


def test_a_cold_backend_bears_its_budget_and_two_roots_more():
    clock = Clock(1000.0)
    backend = Backend(clock, "b", "z", cores=3, speed=1.0, work_ms=90.0)
    backend.start()
    budget = FALL_MULTIPLE * 3 / 90.0 * 0.24 * 3000.0  # requests of mean work in the span: 72
    most = int(budget + 2.0 * budget**0.5 + 2.0)
    assert [backend.record_attempt(90.0, True) for _ in range(most + 1)] == [False] * most + [True]
    assert backend.informed_share() == 1.0


def test_a_connection_rests_before_it_is_used_again_and_is_not_used_when_stale():
    clock = Clock(0.0)
    pool = Pool(Backend(clock, "b", "z", cores=1, speed=1.0, work_ms=90.0))
    assert not pool.acquire(0.0) and pool.open()
    pool.release(100.0, pool.backend.incarnation, keep=True)
    assert not pool.acquire(100.0 + REUSE_DELAY_MS - 1.0) and pool.acquire(100.0 + REUSE_DELAY_MS)
    pool.release(200.0, pool.backend.incarnation, keep=True)
    assert not pool.acquire(200.0 + KEEPALIVE_MS / 2.0) and pool.backend.connections == 0


def test_changes_come_in_order_and_a_gateway_that_was_cut_off_gets_the_whole_list():
    class Gateway:
        zone = "r1z1"

        def __init__(self):
            self.got = []

        def backends_changed(self, event):
            self.got.append((event.kind, event.version, len(event.backends)))

    clock, links, gateway = Clock(0.0), Links(2, 2), Gateway()
    discovery = Discovery(clock, links, links.zones[0], Random(1))
    discovery.start([io.Backend("a"), io.Backend("b")])
    discovery.subscribe(gateway)
    for _ in range(5):
        discovery.apply_changes([io.Backend("a", weight=2.0)])
    clock.run_until(10_000.0)
    assert gateway.got == [
        (io.ListKind.CACHED, 1, 2),
        *((io.ListKind.DELTA, version, 1) for version in range(2, 7)),
    ]
    links.partition(links.zones_in_region(1))
    discovery.apply_changes([io.Backend("c")])
    clock.run_until(20_000.0)
    links.heal()
    discovery.resync()
    clock.run_until(30_000.0)
    assert gateway.got[6:] == [(io.ListKind.COMPLETE, 7, 3)]
