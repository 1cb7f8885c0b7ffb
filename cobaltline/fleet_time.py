"""The fleet's time as one gateway knows it, and as timestamps on the counter hold it.

A logical clock: all gateways number the windows of the shared counts by it. It goes round, so that a
timestamp fits into the digits of a total.
"""

from __future__ import annotations

MAX_COUNTER_TTL_MS = 60000.0  # the longest a counter name lives
# of the shared counts: the one before is still there all through the next
WINDOW_MS = MAX_COUNTER_TTL_MS / 2.5
WINDOW_COUNT = 4000  # they are numbered round: so many fit into the digits that a total has
CYCLE_MS = WINDOW_COUNT * WINDOW_MS
TIMESTAMP_RESOLUTION_MS = 20.0  # of a timestamp
MAX_TIMESTAMP = 2 * int(CYCLE_MS / TIMESTAMP_RESOLUTION_MS)


class FleetTime:
    """How far the fleet's time is ahead of this gateway's own clock, in ms; whether that is known at all, and
    by how much the fleet's time may be behind or ahead of what follows from it."""

    __slots__ = ("offset_ms", "is_known", "behind_ms", "ahead_ms")

    def __init__(self, is_known: bool):
        self.offset_ms, self.is_known = 0.0, is_known
        self.behind_ms = self.ahead_ms = 0.0

    def window(self, now: float, shift_ms: float) -> tuple[int, float]:
        """The number of the window, from 0 to WINDOWS, and the time in ms since it began."""
        number, inside_ms = divmod((now + self.offset_ms + shift_ms) % CYCLE_MS, WINDOW_MS)
        return int(number), inside_ms

    def knows_window(self, now: float, shift_ms: float) -> bool:
        """Whether it is known which window it is."""
        if not self.is_known:
            return False
        inside_ms = self.window(now, shift_ms)[1]
        return self.behind_ms <= inside_ms and inside_ms + self.ahead_ms < WINDOW_MS


def encode_timestamp(fleet_ms: float, exact: bool = True) -> int:
    """A time as a total holds it: 0 is none. Where it is not `exact`, it is a lower bound: the fleet's time
    was no earlier."""
    return 1 + 2 * int(fleet_ms % CYCLE_MS / TIMESTAMP_RESOLUTION_MS) + (0 if exact else 1)


def is_exact(total: int) -> bool:
    """Whether a timestamp says what the fleet's time was, and not only a lower bound of it."""
    return total % 2 == 1


def decode_timestamp(total: int) -> float:
    """The time in ms that a timestamp holds, rounded down."""
    return (total - 1) // 2 * TIMESTAMP_RESOLUTION_MS


def wrap_difference_ms(difference_ms: float) -> float:
    """A difference of two times of the cycle, in ms, between half a cycle back and half a cycle on."""
    forward_ms = difference_ms % CYCLE_MS
    return forward_ms - CYCLE_MS if forward_ms > CYCLE_MS / 2 else forward_ms


def lead_ms(total: int, fleet_ms: float) -> float:
    """By how many ms a timestamp is ahead of a time."""
    return wrap_difference_ms(decode_timestamp(total) - fleet_ms)
