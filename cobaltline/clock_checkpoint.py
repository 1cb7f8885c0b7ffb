"""Checkpoints of the fleet's time on the counter, from which a restarted gateway restores it.

A process stores by how much the fleet's time is ahead of the monotonic clock of its machine. That clock is
affected neither by a restart of the process nor by a step of the wall clock, so the next process on the
machine knows the time as exactly as the previous one.

The lifetime of a counter name can't be extended, so names change with the periods of the monotonic clock. A
checkpoint is found in its own period and in the next one.
"""

from __future__ import annotations

import math

from .fleet_time import MAX_COUNTER_TTL_MS, TIMESTAMP_RESOLUTION_MS, decode_timestamp, encode_timestamp

CHECKPOINT_PREFIX = "fleet-time/"
PERIOD_MS = MAX_COUNTER_TTL_MS / 2  # a name created in one period exists until the end of the next
ROUNDING_MS = 1.0  # above floating-point errors, below the resolution
PERIOD_COUNT = 4  # period numbers wrap around; a name has expired by the time it is reused


class ClockCheckpoint:
    """Names and encodes the checkpoints of one gateway.

    `gateway` is its index; `origin_ms` is the time on its own clock when the machine's monotonic clock was 0.
    """

    def __init__(self, gateway: int, origin_ms: float):
        self._gateway, self._origin_ms = gateway, origin_ms

    def names(self, now: float) -> tuple[str, str]:
        """Returns the name for the current period, to store under, and that for the previous period."""
        period = math.floor((now - self._origin_ms) / PERIOD_MS)
        return self._name(period), self._name(period - 1)

    def _name(self, period: int) -> str:
        return f"{CHECKPOINT_PREFIX}{self._gateway}/{period % PERIOD_COUNT}"

    def encode(self, offset_ms: float, exact: bool) -> int:
        """Returns the total that stores `offset_ms`, by which the fleet's time is ahead of the own clock.

        Unless `exact`, the offset is a lower bound. An exact offset is rounded to the nearest multiple of the
        resolution, so that it does not change when it is restored and stored repeatedly.
        """
        rounding_ms = TIMESTAMP_RESOLUTION_MS / 2 if exact else ROUNDING_MS
        return encode_timestamp(offset_ms + self._origin_ms + rounding_ms, exact)

    def decode(self, total: int, now: float) -> float:
        """Returns the fleet's time in ms at `now`, from a stored total."""
        return decode_timestamp(total) + now - self._origin_ms
