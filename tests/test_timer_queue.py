"""Timers of the decision module run in order, and cancelled ones hold nothing."""

import tracemalloc

import pytest
from helpers import GatewayHarness, of_type

from cobaltline import interface as io
from cobaltline.timer_queue import TimerQueue

REQUEST_COUNT = 20_000
MAX_HELD_BYTES = 1 << 20


def run_due(queue, now):
    """Runs the timers due at `now`, whose arguments are names; returns the names in order."""
    names = []
    while (timer := queue.pop_due(now)) is not None:
        names.append(timer.argument)
    return names


def test_timers_run_by_time_and_then_by_creation():
    queue = TimerQueue()
    for name, due in (("c", 3.0), ("a", 1.0), ("d", 3.0), ("b", 2.0)):
        queue.schedule(due, print, name)
    assert queue.next_due() == 1.0 and run_due(queue, 0.5) == []
    assert run_due(queue, 2.0) == ["a", "b"]
    assert run_due(queue, 3.0) == ["c", "d"]
    assert queue.next_due() is None and len(queue) == 0


def test_a_cancelled_timer_does_not_run_and_is_not_awaited():
    queue = TimerQueue()
    numbers = [queue.schedule(due, print, due) for due in (1.0, 2.0, 3.0)]
    queue.cancel(numbers[0])
    queue.cancel(numbers[0])
    assert len(queue) == 2 and queue.next_due() == 2.0
    assert run_due(queue, 2.0) == [2.0]
    queue.cancel(numbers[1])  # has run
    assert run_due(queue, 3.0) == [3.0]


@pytest.mark.parametrize("kept_every", [0, 100, 2])
def test_the_heap_of_cancelled_timers_stays_small(kept_every):
    queue, kept = TimerQueue(), []
    for number in range(10_000):
        timer = queue.schedule(1e6 + number % 7, print, number)
        if kept_every and number % kept_every == 0:
            kept.append((number % 7, number))
        else:
            queue.cancel(timer)
    assert len(queue) == len(kept) and len(queue._heap) <= 2 * len(kept) + 65
    assert run_due(queue, 2e6) == [number for _, number in sorted(kept)]


def test_refused_requests_hold_no_memory_until_their_deadlines():
    # Guards against timers that refer to ended requests: one connection's refused ones took 25 MB.
    harness = GatewayHarness()
    harness.request(plan="basic")
    for call in of_type(harness.actions, io.CounterAdd):  # the customer's quota is used up
        harness.feed(io.CounterResult(call.name, io.Outcome.OK, 1000.0))
    tracemalloc.start()
    try:
        for number in range(REQUEST_COUNT):
            event = io.RequestArrived(f"flood{number}", "c", "basic", "read", harness.now + 4000.0)
            (refusal,) = harness.gateway.handle(harness.now, event)
            assert isinstance(refusal, io.Reject)
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held_bytes < MAX_HELD_BYTES and not harness.gateway.requests
