"""A gateway's estimate of the fleet's time, from the timestamps that it reads.

The fleet's time is never earlier than the timestamp, and an exact timestamp that changed between two reads
was set between them. This bounds the offset of the gateway's own clock. A gateway that has started recently
is listening: it corrects its time by no more than is needed to bring it within the bounds. While the end of a
window lies between the bounds, the current window is unknown. An established gateway only follows drift,
unless all other gateways contradict its time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .fleet_time import TIMESTAMP_RESOLUTION_MS, FleetTime, decode_timestamp, is_exact, wrap_difference_ms

TOLERANCE_MS = 30.0  # allowed difference of a timestamp and a clock, besides the duration of the call
PLAUSIBLE_LEAD_MS = 2000.0  # a clock this far ahead of the timestamp at a start may be right
LISTEN_MS = 5000.0  # from the first accepted timestamp until a gateway sets timestamps itself
MIN_SETTLED_MS = 1000.0  # an unchanged timestamp of this age is not the sum of additions that raced
MAX_PROOF_GAP_MS = 200.0  # the next read confirms a lower bound if it is answered within this time
NARROW_WIDTH_MS = 250.0  # distance of the bounds at which requests no longer wait for closer ones
NARROWING_TIME_MS = 600.0  # after the first timestamp, during which closer bounds are expected
MAX_LEAD_MS = 1000.0  # a timestamp further ahead of an established clock contradicts it
MAX_LAG_MS = 100.0  # a changed timestamp that shows a clock to be this far ahead contradicts it
# Consecutive contradictions after which an established clock is moved. The numbers differ so that of two
# gateways that contradict each other only one moves.
AHEAD_STREAK_COUNT, BEHIND_STREAK_COUNT = 3, 5
MAX_SLEW_MS = 5.0  # per read, by which an established clock follows a timestamp ahead of it


@dataclass(slots=True)
class TimestampReading:
    """A timestamp as it was read. Times are in ms on the gateway's own clock."""

    total: int
    read_at: float  # when the read was sent
    now: float  # when it was answered
    ahead_ms: float  # by how much the timestamp was then ahead of the gateway's fleet time


@dataclass(slots=True)
class LowerBound:
    """A lower bound of the fleet's offset from the own clock, given by a timestamp.

    It is proven once a read soon after it shows no earlier timestamp. Without this, the sum of two additions
    that raced, one of which is about to be undone, could be taken for a timestamp.
    """

    total: int
    read_at: float  # when the read was sent, in ms on the own clock
    offset_ms: float


class ClockEstimate:
    """Maintains `time` from the timestamps read.

    `is_established` means that the time is exact, so that the gateway sets timestamps by it.
    """

    def __init__(self, time: FleetTime):
        self.time, self.is_established = time, False
        self.proven_offset_ms: float | None = None  # the largest proven lower bound of the offset
        self._newest_bound: LowerBound | None = None  # given by the timestamp read last
        self._contradiction: TimestampReading | None = None  # not confirmed yet
        self._previous_reading: TimestampReading | None = None
        self._lower_ms = self._upper_ms = 0.0  # bounds of the fleet's true time less `time`
        # Consecutive timestamps that contradict an established clock; positive if ahead, negative if behind.
        self._contradiction_streak = 0
        self._last_set_total = 0  # the timestamp that this gateway set last
        self._known_since = 0.0

    def is_listening(self, now: float) -> bool:
        """Whether the time has been known for less than `LISTEN_MS`."""
        return now - self._known_since < LISTEN_MS

    def is_narrowing(self, now: float) -> bool:
        """Whether the next reads are expected to bound the time more closely."""
        if not self.time.is_known:
            return self._contradiction is not None
        wide = self.time.behind_ms + self.time.ahead_ms > NARROW_WIDTH_MS
        return wide and now - self._known_since < NARROWING_TIME_MS

    def has_unproven_bound(self) -> bool:
        """Whether the newest lower bound is above the proven one."""
        return self._newest_bound is not None and self._improves_proof(self._newest_bound)

    def forget_contradiction(self) -> None:
        """Drops the unconfirmed timestamp, as a failed read leaves a gap."""
        self._contradiction = None

    def record_set(self, total: int) -> None:
        """Records that this gateway has set the timestamp to `total`."""
        self._last_set_total = total

    # Starting.

    def adopt_own_clock(self, now: float) -> None:
        """Makes the own clock the fleet's time, where no timestamp exists."""
        self.is_established = True
        self._set_time(now, 0.0, 0.0, 0.0)

    def restore(self, now: float, offset_ms: float, exact: bool) -> None:
        """Sets the time from the checkpoint of the previous process, or a lower bound unless `exact`."""
        if exact:
            self.is_established = True
            self._set_time(now, offset_ms, -TIMESTAMP_RESOLUTION_MS, TIMESTAMP_RESOLUTION_MS)
        else:
            self.proven_offset_ms = offset_ms
            self._set_time(now, offset_ms, 0.0, PLAUSIBLE_LEAD_MS)

    def start(self, reading: TimestampReading, round_trip_ms: float) -> bool:
        """Takes one of the first timestamps after a start; returns whether the time is known now.

        The own clock is kept if the timestamp allows it. A timestamp that contradicts it is accepted once a
        later one is consistent with it, or once it has stayed unchanged for `MIN_SETTLED_MS`.
        """
        earlier = self._contradiction
        if -PLAUSIBLE_LEAD_MS <= reading.ahead_ms <= TOLERANCE_MS + round_trip_ms:
            self._set_time(reading.now, 0.0, reading.ahead_ms, reading.ahead_ms + PLAUSIBLE_LEAD_MS)
        elif earlier is not None and _is_consistent(earlier, reading, round_trip_ms):
            # The lower bound includes the time that has passed since that timestamp was first read.
            self.proven_offset_ms = earlier.ahead_ms
            self._set_time(reading.now, earlier.ahead_ms, 0.0, PLAUSIBLE_LEAD_MS)
        else:
            if earlier is None or reading.total != earlier.total:
                self._contradiction = reading
            return False
        self._newest_bound = LowerBound(reading.total, reading.read_at, reading.ahead_ms)
        self._previous_reading = reading
        return True

    def _set_time(self, now: float, offset_ms: float, lower_ms: float, upper_ms: float) -> None:
        self.time.offset_ms, self.time.is_known, self._known_since = offset_ms, True, now
        self._set_bounds(lower_ms, upper_ms)

    def _set_bounds(self, lower_ms: float, upper_ms: float) -> None:
        self._lower_ms, self._upper_ms = lower_ms, upper_ms
        self.time.behind_ms, self.time.ahead_ms = max(0.0, -lower_ms), max(0.0, upper_ms)

    # Following the timestamps of other gateways.

    def update(self, reading: TimestampReading, round_trip_ms: float) -> float:
        """Takes a timestamp into the estimate; returns by how many ms `time` was moved."""
        if not self.is_established:
            self._confirm_bound(reading)
        if self.is_listening(reading.now):
            moved_ms = self._move_within_bounds(reading, round_trip_ms)
        else:
            self._set_bounds(0.0, 0.0)
            moved_ms = self._follow_drift(reading)
        self._previous_reading = reading
        return moved_ms

    def _confirm_bound(self, reading: TimestampReading) -> None:
        """Proves the lower bound given by the previous timestamp, unless this timestamp is earlier."""
        previous = self._newest_bound
        follows = previous is not None and _difference_ms(reading.total, previous.total) >= 0.0
        if follows and reading.now - previous.read_at <= MAX_PROOF_GAP_MS and self._improves_proof(previous):
            self.proven_offset_ms = previous.offset_ms
        self._newest_bound = LowerBound(
            reading.total, reading.read_at, self.time.offset_ms + reading.ahead_ms
        )

    def _improves_proof(self, bound: LowerBound) -> bool:
        return self.proven_offset_ms is None or bound.offset_ms > self.proven_offset_ms + TOLERANCE_MS

    def _move_within_bounds(self, reading: TimestampReading, round_trip_ms: float) -> float:
        """Moves the time within the bounds that another gateway's timestamp gives; returns by how many ms."""
        if self._previous_reading is None or reading.total == self._last_set_total:
            return 0.0
        proven_ms = (
            -math.inf if self.proven_offset_ms is None else self.proven_offset_ms - self.time.offset_ms
        )
        lower_ms, upper_ms = max(self._lower_ms, proven_ms), self._upper_ms
        exact, interval_ms = (
            is_exact(reading.total),
            reading.now - self._previous_reading.read_at + TIMESTAMP_RESOLUTION_MS,
        )
        if exact and _difference_ms(reading.total, self._previous_reading.total) > 0.0:  # set after that read
            upper_ms = min(upper_ms, reading.ahead_ms + interval_ms)
        if lower_ms > upper_ms:  # the bounds come from a timestamp that was invalid
            lower_ms = reading.ahead_ms
            upper_ms = reading.ahead_ms + (interval_ms if exact else PLAUSIBLE_LEAD_MS)
        moved_ms = 0.0
        if lower_ms > TOLERANCE_MS + round_trip_ms:
            moved_ms = lower_ms
        elif upper_ms < -TOLERANCE_MS:  # the time is too late; the proven lower bound is closer
            moved_ms = proven_ms if -PLAUSIBLE_LEAD_MS < proven_ms < upper_ms else upper_ms
        self.time.offset_ms += moved_ms
        self._set_bounds(lower_ms - moved_ms, upper_ms - moved_ms)
        return moved_ms

    def _follow_drift(self, reading: TimestampReading) -> float:
        """Follows drift of an established time; returns by how many ms it was moved.

        It moves further only if a number of consecutive timestamps, all set by other gateways, contradict it.
        """
        ahead_ms, previous = reading.ahead_ms, self._previous_reading
        changed = previous is not None and reading.total not in (previous.total, self._last_set_total)
        upper_ms = ahead_ms + reading.now - previous.read_at if changed and is_exact(reading.total) else 0.0
        if changed and ahead_ms > MAX_LEAD_MS:
            self._contradiction_streak = max(0, self._contradiction_streak) + 1
        elif changed and upper_ms < -MAX_LAG_MS:
            self._contradiction_streak = min(0, self._contradiction_streak) - 1
        else:
            self._contradiction_streak = 0
        moved_ms = min(ahead_ms, MAX_SLEW_MS) if 0.0 < ahead_ms < MAX_LEAD_MS else 0.0
        if self._contradiction_streak >= AHEAD_STREAK_COUNT:
            moved_ms = ahead_ms
        elif self._contradiction_streak <= -BEHIND_STREAK_COUNT:
            moved_ms = upper_ms
        self.time.offset_ms += moved_ms
        return moved_ms


def _difference_ms(total: int, other: int) -> float:
    """Returns by how many ms `total` is later than `other`."""
    return wrap_difference_ms(decode_timestamp(total) - decode_timestamp(other))


def _is_consistent(earlier: TimestampReading, reading: TimestampReading, round_trip_ms: float) -> bool:
    """Whether a timestamp is consistent with an earlier one: it has advanced by no more than the time since.

    The sum of two additions that raced, one of which is about to be undone, is not consistent.
    """
    if reading.total == earlier.total:
        return reading.now - earlier.read_at >= MIN_SETTLED_MS
    return (
        0.0
        <= _difference_ms(reading.total, earlier.total)
        <= PLAUSIBLE_LEAD_MS + reading.now - earlier.read_at + round_trip_ms
    )
