"""A simulated counter service: partitions that serve calls in order, each with a bounded queue."""

from __future__ import annotations

import zlib
from collections import Counter as Counts
from collections.abc import Callable

from cobaltline import interface as io

from .clock import Clock
from .links import Links

MAX_QUEUE_TIMEOUTS = 1.5  # longest queue of a partition, as a multiple of the callers' timeout
SWEEP_INTERVAL_MS = 5000.0  # between two removals of expired names


class Counter:
    """A counter service in one zone, whose `parts` partitions together serve `per_s` calls per second.

    Each name is stored on one partition. A call is counted even if its caller has timed out (after
    `wait_ms`). `slowdown` is a factor on the duration of calls.
    """

    def __init__(self, clock: Clock, links: Links, zone: str, parts: int, per_s: float, wait_ms: float):
        self._clock, self._links, self._zone = clock, links, zone
        self._service_ms, self._wait_ms = parts * 1000.0 / per_s, wait_ms
        self._partition_free_ms = [0.0] * parts
        self._entries: dict[str, list] = {}  # name -> [total, expiry time in ms]
        self.slowdown, self.is_down = 1.0, False
        self.calls: Counts[str] = Counts()  # by plan
        self.peak_names = 0  # most names stored at once
        self.unanswered = 0  # calls that timed out, were rejected or did not reach the service
        clock.call_at(clock.now + SWEEP_INTERVAL_MS, self._sweep)

    def call(
        self, zone: str, request: io.CounterAdd, plan: str, on_result: Callable[[io.CounterResult], None]
    ) -> None:
        """Sends a call; `on_result` receives exactly one `CounterResult`.

        Results for one name and caller arrive in the order of the calls.
        """
        self.calls[plan] += 1
        sent_ms = self._clock.now
        if self.is_down or not self._links.can_reach(zone, self._zone):
            self._time_out(request, sent_ms, on_result)
            return
        link_ms = self._links.delay_ms(zone, self._zone)
        self._clock.call_at(sent_ms + link_ms, self._receive, request, sent_ms, link_ms, on_result)

    def _time_out(self, request: io.CounterAdd, sent_ms: float, on_result) -> None:
        self.unanswered += 1
        result = io.CounterResult(request.name, io.Outcome.TIMEOUT, 0.0, self._wait_ms)
        self._clock.call_at(sent_ms + self._wait_ms, on_result, result)

    def _receive(self, request: io.CounterAdd, sent_ms: float, link_ms: float, on_result) -> None:
        if self.is_down:
            self._time_out(request, sent_ms, on_result)
            return
        now_ms = self._clock.now
        added = self.add(request.name, request.amount, request.ttl_ms)
        if added is None:
            self.unanswered += 1
            result = io.CounterResult(request.name, io.Outcome.OVERLOADED, 0.0, now_ms + link_ms - sent_ms)
            self._clock.call_at(now_ms + link_ms, on_result, result)
            return
        done_ms, total = added
        elapsed_ms = done_ms + link_ms - sent_ms
        if elapsed_ms > self._wait_ms:
            self._time_out(request, sent_ms, on_result)
        else:
            result = io.CounterResult(request.name, io.Outcome.OK, float(f"{total:.7g}"), elapsed_ms)
            self._clock.call_at(done_ms + link_ms, on_result, result)

    def add(self, name: str, amount: float, ttl_ms: float) -> tuple[float, float] | None:
        """Adds to a name; returns when the answer leaves, in ms, and the total, or None if the queue is
        full."""
        now_ms = self._clock.now
        partition = zlib.crc32(name.encode()) % len(self._partition_free_ms)
        queue_ms = max(0.0, self._partition_free_ms[partition] - now_ms)
        if queue_ms > MAX_QUEUE_TIMEOUTS * self._wait_ms:
            return None
        done_ms = self._partition_free_ms[partition] = now_ms + queue_ms + self._service_ms * self.slowdown
        entry = self._entries.get(name)
        if entry is None or entry[1] <= now_ms:
            entry = self._entries[name] = [0.0, now_ms + ttl_ms]
            self.peak_names = max(self.peak_names, len(self._entries))
        entry[0] += amount
        return done_ms, entry[0]

    def reset_counts(self) -> None:
        """Resets `calls` and `unanswered`."""
        self.calls.clear()
        self.unanswered = 0

    def clear(self) -> None:
        """Forgets all names, as after a failover to an empty replica."""
        self._entries.clear()

    def _sweep(self) -> None:
        now_ms = self._clock.now
        self._entries = {name: entry for name, entry in self._entries.items() if entry[1] > now_ms}
        self._clock.call_at(now_ms + SWEEP_INTERVAL_MS, self._sweep)
