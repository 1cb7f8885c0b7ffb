"""A virtual clock with its queue of scheduled calls."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Clock:
    """Virtual time in milliseconds. Calls scheduled for the same time run in the order they were
    scheduled."""

    __slots__ = ("now", "_queue", "_order")

    def __init__(self, now_ms: float):
        self.now = now_ms
        self._queue: list[tuple[float, int, Callable, tuple]] = []
        self._order = 0

    def call_at(self, when_ms: float, callback: Callable, *args) -> None:
        """Schedules a call. If the time has passed, the call runs as soon as the clock advances."""
        self._order += 1
        heapq.heappush(self._queue, (when_ms, self._order, callback, args))

    def run_until(self, until_ms: float) -> None:
        """Runs every call due up to `until_ms`, also those scheduled meanwhile, and sets the clock to that
        time."""
        queue = self._queue
        while queue and queue[0][0] <= until_ms:
            when, _, callback, args = heapq.heappop(queue)
            if when > self.now:
                self.now = when
            callback(*args)
        self.now = max(self.now, until_ms)
