"""Timers of the decision module: callbacks to run at a time, which may be cancelled."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

MAX_CANCELLED_SHARE = 0.5  # of the heap, above which cancelled timers are removed from it
MIN_COMPACTED_SIZE = 64  # a smaller heap keeps them until they are due

Callback = Callable[[float, object], None]  # called with the time in ms and the timer's argument


class Timer(NamedTuple):
    """A timer that is due: when it should have run, in ms, and what to call."""

    due: float
    callback: Callback
    argument: object


class TimerQueue:
    """Timers by the time at which they are due; those due at the same time run in the order of creation.

    A cancelled timer releases its callback and argument at once, and its place in the heap is removed before
    such places take more than MAX_CANCELLED_SHARE of it.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []  # when due, and the number of the timer
        self._pending: dict[int, tuple[Callback, object]] = {}  # by number
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._pending)

    def schedule(self, due: float, callback: Callback, argument: object) -> int:
        """Adds a timer for the time `due`, in ms; returns its number, for `cancel`."""
        self._last_number += 1
        self._pending[self._last_number] = callback, argument
        heapq.heappush(self._heap, (due, self._last_number))
        return self._last_number

    def cancel(self, number: int) -> None:
        """Removes a timer; has no effect on one that has run or was cancelled before."""
        if self._pending.pop(number, None) is None:
            return
        cancelled_count = len(self._heap) - len(self._pending)
        if len(self._heap) > MIN_COMPACTED_SIZE and cancelled_count > len(self._heap) * MAX_CANCELLED_SHARE:
            self._heap = [entry for entry in self._heap if entry[1] in self._pending]
            heapq.heapify(self._heap)

    def next_due(self) -> float | None:
        """Returns when the next timer is due, in ms, or None if there is none."""
        while self._heap and self._heap[0][1] not in self._pending:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> Timer | None:
        """Removes and returns the next timer that is due at `now`, in ms; None if there is none."""
        due = self.next_due()
        if due is None or due > now:
            return None
        _, number = heapq.heappop(self._heap)
        return Timer(due, *self._pending.pop(number))
