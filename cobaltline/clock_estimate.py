"""What a gateway knows of the fleet's time, from the timestamps that it read.

The fleet's time is never before the timestamp, and an exact one that changed between two reads was set
between them: that bounds what the gateway's own clock is off by. While it listens, it moves its clock by
as little as brings it within the bounds. While these have the end of a window between them, it does not
know in which window it is. Once it is established it follows drift alone, unless all others contradict
it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .fleet_time import TIMESTAMP_RESOLUTION_MS, FleetTime, decode_timestamp, is_exact, wrap_difference_ms

TOLERANCE_MS = 30.0  # by which a timestamp and a clock may differ, beside how long the call took
PLAUSIBLE_MS = 2000.0  # a clock that is so far ahead of the timestamp at a start may yet be right
LISTEN_MS = 5000.0  # from the first timestamp that a gateway goes by until it sets one itself
UNCHANGED_MS = 1000.0  # a timestamp that stands so long was not made by an addition that is taken back
PROOF_MS = 200.0  # within which the next read proves a lower bound
SURE_MS = 250.0  # what is known of the time once it is bounded as closely as that is waited for
NARROW_MS = 600.0  # so long after the first timestamp
MAX_LEAD_MS = 1000.0  # a timestamp that is so far ahead of an established clock is wrong
BEHIND_MOST_MS = 100.0  # and one that is so far behind what it can be
AHEAD_TIMES, BEHIND_TIMES = 3, 5  # in a row: of two gateways that contradict each other, one moves first
SLEW_MS = 5.0  # by which an established clock follows one that is ahead, with each read


@dataclass(slots=True)
class TimestampReading:
    """A timestamp: when the read was sent, when it was answered, and by how much it was ahead of the own
    time then, all in ms of the own clock."""

    total: int
    read_at: float
    now: float
    ahead_ms: float


@dataclass(slots=True)
class LowerBound:
    """Of the fleet's time less the process's own clock, by a timestamp. Proven once a read soon after it
    shows none from before it: a sum of two additions that raced, of which one is taken back, is no
    timestamp."""

    total: int
    read_at: float
    offset_ms: float


class ClockEstimate:
    """Keeps `time`. `is_established`: it is exact, and the gateway sets the timestamp by it."""

    def __init__(self, time: FleetTime):
        self.time, self.is_established = time, False
        self.proven_offset_ms: float | None = None  # the largest lower bound of the offset that is proven
        self._newest: LowerBound | None = None  # by the timestamp that was read last
        self._contradiction: TimestampReading | None = None  # says that the own clock is wrong
        self._before: TimestampReading | None = None  # the timestamp that was read before
        self._least_ms = self._most_ms = 0.0  # the fleet's time less the own, as far as that is bounded
        # Timestamps in a row that contradict an established clock: ahead of it, or behind (below 0).
        self._against = 0
        self._set = 0  # the timestamp that was last set here
        self._known_at = 0.0

    def is_listening(self, now: float) -> bool:
        return now - self._known_at < LISTEN_MS

    def is_narrowing(self, now: float) -> bool:
        """Whether more will soon be known of the time."""
        if not self.time.is_known:
            return self._contradiction is not None
        wide = self.time.behind_ms + self.time.ahead_ms > SURE_MS
        return wide and now - self._known_at < NARROW_MS

    def has_unproven_bound(self) -> bool:
        """Whether the newest lower bound tells more than what is proven."""
        return self._newest is not None and self._proves(self._newest)

    def forget_contradiction(self) -> None:
        self._contradiction = None

    def record_set(self, total: int) -> None:
        """By this gateway, to this total."""
        self._set = total

    # At a start.

    def adopt_own_clock(self, now: float) -> None:
        """There is no timestamp and nobody to listen to: the own clock is the fleet's time."""
        self.is_established = True
        self._learn(now, 0.0, 0.0, 0.0)

    def restore(self, now: float, offset_ms: float, exact: bool) -> None:
        """The time is known from the process before: exactly, or what it is at least."""
        if exact:
            self.is_established = True
            self._learn(now, offset_ms, -TIMESTAMP_RESOLUTION_MS, TIMESTAMP_RESOLUTION_MS)
        else:
            self.proven_offset_ms = offset_ms
            self._learn(now, offset_ms, 0.0, PLAUSIBLE_MS)

    def start(self, reading: TimestampReading, took_ms: float) -> bool:
        """The first timestamps after a start: the own clock is kept where they allow it. One that does not
        is believed once a later one agrees, or where nobody has set another for a while. Whether the time
        is known."""
        seen = self._contradiction
        if -PLAUSIBLE_MS <= reading.ahead_ms <= TOLERANCE_MS + took_ms:
            self._learn(reading.now, 0.0, reading.ahead_ms, reading.ahead_ms + PLAUSIBLE_MS)
        elif seen is not None and _agrees(seen, reading, took_ms):
            # The time has gone on since that one was first seen: by that much it is later at least.
            self.proven_offset_ms = seen.ahead_ms
            self._learn(reading.now, seen.ahead_ms, 0.0, PLAUSIBLE_MS)
        else:
            if seen is None or reading.total != seen.total:
                self._contradiction = reading
            return False
        self._newest = LowerBound(reading.total, reading.read_at, reading.ahead_ms)
        self._before = reading
        return True

    def _learn(self, now: float, offset_ms: float, least_ms: float, most_ms: float) -> None:
        self.time.offset_ms, self.time.is_known, self._known_at = offset_ms, True, now
        self._bound(least_ms, most_ms)

    def _bound(self, least_ms: float, most_ms: float) -> None:
        self._least_ms, self._most_ms = least_ms, most_ms
        self.time.behind_ms, self.time.ahead_ms = max(0.0, -least_ms), max(0.0, most_ms)

    # From then on.

    def update(self, reading: TimestampReading, took_ms: float) -> float:
        """Take a timestamp in; returns by how many ms the own time was moved."""
        if not self.is_established:
            self._prove(reading)
        if self.is_listening(reading.now):
            moved_ms = self._move(reading, took_ms)
        else:
            self._bound(0.0, 0.0)
            moved_ms = self._follow(reading)
        self._before = reading
        return moved_ms

    def _prove(self, reading: TimestampReading) -> None:
        """Take in the lower bound that the timestamp of the read before gave, if this one is not from
        before it."""
        before = self._newest
        follows = before is not None and _later_ms(reading.total, before.total) >= 0.0
        if follows and reading.now - before.read_at <= PROOF_MS and self._proves(before):
            self.proven_offset_ms = before.offset_ms
        self._newest = LowerBound(reading.total, reading.read_at, self.time.offset_ms + reading.ahead_ms)

    def _proves(self, bound: LowerBound) -> bool:
        return self.proven_offset_ms is None or bound.offset_ms > self.proven_offset_ms + TOLERANCE_MS

    def _move(self, reading: TimestampReading, took_ms: float) -> float:
        """Bring the own time within what a timestamp of others says."""
        if self._before is None or reading.total == self._set:
            return 0.0
        proven_ms = (
            -math.inf if self.proven_offset_ms is None else self.proven_offset_ms - self.time.offset_ms
        )
        least_ms, most_ms = max(self._least_ms, proven_ms), self._most_ms
        exact, since_ms = (
            is_exact(reading.total),
            reading.now - self._before.read_at + TIMESTAMP_RESOLUTION_MS,
        )
        if exact and _later_ms(reading.total, self._before.total) > 0.0:  # set since that read
            most_ms = min(most_ms, reading.ahead_ms + since_ms)
        if least_ms > most_ms:  # what was seen before was no timestamp to go by
            least_ms = reading.ahead_ms
            most_ms = reading.ahead_ms + (since_ms if exact else PLAUSIBLE_MS)
        moved_ms = 0.0
        if least_ms > TOLERANCE_MS + took_ms:
            moved_ms = least_ms
        elif most_ms < -TOLERANCE_MS:  # the own clock is wrong: the lower bound is the closer one
            moved_ms = proven_ms if -PLAUSIBLE_MS < proven_ms < most_ms else most_ms
        self.time.offset_ms += moved_ms
        self._bound(least_ms - moved_ms, most_ms - moved_ms)
        return moved_ms

    def _follow(self, reading: TimestampReading) -> float:
        """An established time follows drift. It moves further only where all others say so: where one
        timestamp after the other is another gateway's and contradicts it."""
        ahead_ms, before = reading.ahead_ms, self._before
        changed = before is not None and reading.total not in (before.total, self._set)
        most_ms = ahead_ms + reading.now - before.read_at if changed and is_exact(reading.total) else 0.0
        if changed and ahead_ms > MAX_LEAD_MS:
            self._against = max(0, self._against) + 1
        elif changed and most_ms < -BEHIND_MOST_MS:
            self._against = min(0, self._against) - 1
        else:
            self._against = 0
        moved_ms = min(ahead_ms, SLEW_MS) if 0.0 < ahead_ms < MAX_LEAD_MS else 0.0
        if self._against >= AHEAD_TIMES:
            moved_ms = ahead_ms
        elif self._against <= -BEHIND_TIMES:
            moved_ms = most_ms
        self.time.offset_ms += moved_ms
        return moved_ms


def _later_ms(total: int, other: int) -> float:
    """By how much a timestamp is later than another one."""
    return wrap_difference_ms(decode_timestamp(total) - decode_timestamp(other))


def _agrees(seen: TimestampReading, reading: TimestampReading, took_ms: float) -> bool:
    """Whether a timestamp follows from one seen before: it has gone on by no more than the time since.
    What two gateways added at once, and one is about to take back, does not."""
    if reading.total == seen.total:
        return reading.now - seen.read_at >= UNCHANGED_MS
    return 0.0 <= _later_ms(reading.total, seen.total) <= PLAUSIBLE_MS + reading.now - seen.read_at + took_ms
