"""One virtual clock, and the queue of what is to happen on it."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Clock:
    """Times are milliseconds. What is set for the same time happens in the order it was set."""

    __slots__ = ("now", "_queue", "_order")

    def __init__(self, now_ms: float):
        self.now = now_ms
        self._queue: list[tuple[float, int, Callable, tuple]] = []
        self._order = 0

    def call_at(self, when_ms: float, call: Callable, *args) -> None:
        """Call it at that time; a time that has passed means next."""
        self._order += 1
        heapq.heappush(self._queue, (when_ms, self._order, call, args))

    def run_until(self, until_ms: float) -> None:
        """Let everything up to then happen, with what that sets in turn."""
        queue = self._queue
        while queue and queue[0][0] <= until_ms:
            when, _, call, args = heapq.heappop(queue)
            if when > self.now:
                self.now = when
            call(*args)
        self.now = max(self.now, until_ms)
