"""Shares the processor time for client input fairly, so that costly input does not delay other clients."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Callable
from typing import Protocol

READ_BYTES = 8192  # of one connection, read and processed at a time
TURN_BUDGET_S = 0.001  # processor time for input in one turn of the loop
MAX_COST_S = 0.02  # counted for one input: a longer time shows that the process was held up
COST_WEIGHT = 0.5  # of the latest input in the mean cost of a connection's input
CHEAP_INPUT_S = 5e-5  # expected cost below which input is never postponed, as that costs about as much
FIRST_COST_S_PER_BYTE = 2e-7  # assumed of the first input of a connection: that of many short header lines


class InputSource(Protocol):
    """A connection whose input is scheduled."""

    input_cost_s: float  # mean processor time for input, kept by the scheduler; 0 at first

    def process_input(self, data: memoryview | bytes) -> None:
        """Processes input, and what earlier input has left to do."""

    def postpone_input(self, data: bytes) -> None:
        """Keeps input, which may be empty, until `resume_input`, and reads no more."""

    def resume_input(self) -> None:
        """Passes the kept input to `InputScheduler.process`, and reads on."""


class InputScheduler:
    """Processes client input at once while a turn of the event loop has time for it, and postpones the rest.

    Postponed input is processed in later turns, that of the connection whose input was cheapest so far first.
    So usual requests are read soon, also on a busy connection, however much costly input others send.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, monotonic: Callable[[], float]):
        self._loop, self._monotonic = loop, monotonic
        self._spent_s = 0.0  # in this turn
        self._processing_since_s: float | None = None
        self._is_next_turn_scheduled = False
        self._numbers = itertools.count()  # keep the order of arrival among connections of equal cost
        self._postponed: list[tuple[float, int, InputSource]] = []  # heap, by mean cost

    def receive(self, source: InputSource, data: memoryview | bytes) -> None:
        """Processes input, or postpones it if this turn has no time left and it is not cheap."""
        if self.has_time() or _expected_cost_s(source, data) < CHEAP_INPUT_S:
            self.process(source, data)
        else:
            self.postpone(source, bytes(data))

    def process(self, source: InputSource, data: memoryview | bytes) -> None:
        """Processes input now and counts the time."""
        self._schedule_turn()
        started_s = self._processing_since_s = self._monotonic()
        try:
            source.process_input(data)
        finally:
            ended_s = self._monotonic()
            self._processing_since_s = None
            self._spent_s += ended_s - started_s
            cost_s = min(ended_s - started_s, MAX_COST_S)
            weight = COST_WEIGHT if source.input_cost_s else 1.0
            source.input_cost_s += weight * (cost_s - source.input_cost_s)

    def postpone(self, source: InputSource, data: bytes = b"") -> None:
        """Postpones input, or what earlier input has left to do, to a later turn."""
        source.postpone_input(data)
        cost_s = _expected_cost_s(source, data)
        heapq.heappush(self._postponed, (cost_s, next(self._numbers), source))
        self._schedule_turn()

    def has_time(self) -> bool:
        """Whether this turn has time left for input."""
        if self._processing_since_s is None:
            return self._spent_s < TURN_BUDGET_S
        return self._spent_s + self._monotonic() - self._processing_since_s < TURN_BUDGET_S

    def _schedule_turn(self) -> None:
        if not self._is_next_turn_scheduled:
            self._is_next_turn_scheduled = True
            self._loop.call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._spent_s, self._is_next_turn_scheduled = 0.0, False
        while self._postponed and self.has_time():
            _, _, source = heapq.heappop(self._postponed)
            source.resume_input()
        if self._postponed:
            self._schedule_turn()


def _expected_cost_s(source: InputSource, data: memoryview | bytes) -> float:
    """Returns the processor time that input of a connection will probably take, in seconds."""
    return source.input_cost_s or len(data) * FIRST_COST_S_PER_BYTE
