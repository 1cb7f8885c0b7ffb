"""The fleet's time through a restart: a checkpoint on the counter, by the machine's monotonic clock.

A process that ends leaves how far the fleet's time is ahead of the monotonic clock of its machine, which
runs on whatever becomes of the process and of the wall clock. The next process on that machine knows the
time again as exactly as the one before it.

A name's life can't be made longer, so the names change with the monotonic clock: what was stored in one
period or the one before is found.
"""

from __future__ import annotations

import math

from .fleet_time import MAX_COUNTER_TTL_MS, TIMESTAMP_RESOLUTION_MS, decode_timestamp, encode_timestamp

CHECKPOINT_PREFIX = "fleet-time/"
PERIOD_MS = MAX_COUNTER_TTL_MS / 2  # a name that is made in one period lives all through the next
ROUNDING_MS = 1.0  # far more than arithmetic loses, far less than the resolution
PERIODS = 4  # numbered round: a name that comes again has ended long ago


class ClockCheckpoint:
    """Where a gateway stores its clock, and in what form. `origin_ms` is its own clock's time when the
    monotonic clock of the machine stood at 0."""

    def __init__(self, gateway: int, origin_ms: float):
        self._gateway, self._origin_ms = gateway, origin_ms

    def names(self, now: float) -> tuple[str, str]:
        """Of the present period, where this one is to be stored, and of the one before."""
        period = math.floor((now - self._origin_ms) / PERIOD_MS)
        return self._name(period), self._name(period - 1)

    def _name(self, period: int) -> str:
        return f"{CHECKPOINT_PREFIX}{self._gateway}/{period % PERIODS}"

    def encode(self, offset_ms: float, exact: bool) -> int:
        """As a total: the fleet's time is so many ms ahead of the gateway's own clock, or that at least.
        What is handed on and on is the same in the end: an exact one is rounded to the nearest."""
        up_ms = TIMESTAMP_RESOLUTION_MS / 2 if exact else ROUNDING_MS
        return encode_timestamp(offset_ms + self._origin_ms + up_ms, exact)

    def decode(self, total: int, now: float) -> float:
        """The fleet's time in ms, from what was stored."""
        return decode_timestamp(total) + now - self._origin_ms
