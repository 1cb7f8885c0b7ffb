"""The fleet's time: a logical clock by which all gateways number the windows of the shared counts.

`FleetTime` holds it as one gateway knows it; timestamps hold it on the counter. It wraps around after
`CYCLE_MS`, so that a timestamp fits into the digits of a total.
"""

from __future__ import annotations

MAX_COUNTER_TTL_MS = 60000.0  # the longest lifetime of a counter name
# Length of a window of the shared counts: a window's count still exists until the end of the next window.
WINDOW_MS = MAX_COUNTER_TTL_MS / 2.5
WINDOW_COUNT = 4000  # window numbers wrap around; more would not fit into the digits of a total
CYCLE_MS = WINDOW_COUNT * WINDOW_MS
TIMESTAMP_RESOLUTION_MS = 20.0
MAX_TIMESTAMP = 2 * int(CYCLE_MS / TIMESTAMP_RESOLUTION_MS)


class FleetTime:
    """The fleet's time relative to this gateway's own clock.

    `offset_ms` is by how much the fleet's time is ahead of the own clock, and `is_known` whether that is
    known at all. The fleet's true time lies between `behind_ms` before and `ahead_ms` after the time computed
    from it.
    """

    __slots__ = ("offset_ms", "is_known", "behind_ms", "ahead_ms")

    def __init__(self, is_known: bool):
        self.offset_ms, self.is_known = 0.0, is_known
        self.behind_ms = self.ahead_ms = 0.0

    def window(self, now: float, window_shift_ms: float) -> tuple[int, float]:
        """Returns the number of the window, from 0 to `WINDOW_COUNT` - 1, and the time in ms since it began.

        `window_shift_ms` is how much earlier than windows with shift 0 the windows in question begin.
        """
        number, elapsed_ms = divmod((now + self.offset_ms + window_shift_ms) % CYCLE_MS, WINDOW_MS)
        return int(number), elapsed_ms

    def knows_window(self, now: float, window_shift_ms: float) -> bool:
        """Whether all times that the fleet's time may have lie in the same window."""
        if not self.is_known:
            return False
        elapsed_ms = self.window(now, window_shift_ms)[1]
        return self.behind_ms <= elapsed_ms and elapsed_ms + self.ahead_ms < WINDOW_MS


def encode_timestamp(fleet_ms: float, exact: bool = True) -> int:
    """Returns the total that holds a time, never 0.

    Unless `exact`, the timestamp is a lower bound: the fleet's time was no earlier.
    """
    return 1 + 2 * int(fleet_ms % CYCLE_MS / TIMESTAMP_RESOLUTION_MS) + (0 if exact else 1)


def is_exact(total: int) -> bool:
    """Whether a timestamp is exact and not only a lower bound of the fleet's time."""
    return total % 2 == 1


def decode_timestamp(total: int) -> float:
    """Returns the time in ms that a timestamp holds, rounded down to the resolution."""
    return (total - 1) // 2 * TIMESTAMP_RESOLUTION_MS


def wrap_difference_ms(difference_ms: float) -> float:
    """Returns the difference of two times as between minus and plus half a cycle, in ms."""
    forward_ms = difference_ms % CYCLE_MS
    return forward_ms - CYCLE_MS if forward_ms > CYCLE_MS / 2 else forward_ms


def lead_ms(total: int, fleet_ms: float) -> float:
    """Returns by how many ms a timestamp is ahead of a time; negative if it is behind."""
    return wrap_difference_ms(decode_timestamp(total) - fleet_ms)
