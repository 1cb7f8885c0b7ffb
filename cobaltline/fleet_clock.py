"""The time that all gateways agree on, whatever their wall clocks say.

The windows of the shared counts are numbered by it. A wall clock may be stepped, and a process that restarts
reads it anew, so its own is not enough; nobody but the counter can tell it of the others.

**What is shared.** One count, `fleet-time`, holds a stamp: the fleet's time when a gateway last set it. It is
read by adding nothing, and set by adding the difference to what was read. Additions are made one after the
other, so whoever raced sees a total that it did not mean, and takes back what it added.

**What is known.** The fleet's time is never before the stamp, and a stamp that changed between two reads was
set between them: that bounds what a gateway's own clock is off by. A gateway that starts keeps its own clock
where the stamp allows it, and else takes the stamp for the time, once a second one agrees. For a while it
listens only, and moves its clock by as little as brings it within the bounds. While these have the end of a
window between them, it does not know in which window it is. From then on it sets the stamp, and follows drift
alone, unless all others contradict it. Whoever finds no stamp makes the first one.

**When it is gone.** Until a gateway knows the window it counts nothing, as with a counter that fails: the
local share decides. Afterwards its monotonic clock carries it. The stamp lives for a minute, and a counter
that comes back empty has none: the next gateway that looks sets it.

**What it costs.** Each gateway looks so seldom that all together set the stamp some times a second.
"""

from __future__ import annotations

import math
from random import Random

from . import interface as io
from .interface import Outcome

NAME_LIFE_MS = 60000.0  # the longest a counter name lives
WINDOW_MS = NAME_LIFE_MS / 2.5  # of the shared counts: the one before is still there all through the next
WINDOWS = 4000  # they are numbered round: so many fit into the digits that a total has
CYCLE_MS = WINDOWS * WINDOW_MS
NAME = "fleet-time"
UNIT_MS = 10.0  # of a stamp
UNITS = int(CYCLE_MS / UNIT_MS)
TOLERANCE_MS = 30.0  # by which a stamp and a clock may differ, beside how long the call took
STALE_MS = 500.0  # a stamp is set anew as long ago as that, in the mean
PLAUSIBLE_MS = 2000.0  # a clock that is so far ahead of the stamp at a start may yet be right
LISTEN_MS = 5000.0  # from a gateway's first stamp read until it sets one itself
FIRST_WAIT_MS = 400.0  # between the first reads, and longer with each while it listens: so many times as long
LISTEN_SLOWER, LISTEN_SLOWER_EACH, LISTEN_SLOWEST = 1.25, 0.02, 4.0  # alone, with each gateway, and at most
UNCHANGED_MS = 1000.0  # a stamp that stands so long was not made by an addition that is taken back
LOOK_AGAIN_MS = 60.0  # after a stamp that can't be right, or that says that the own clock is wrong
RACED_MS = 20.0  # after an addition that was raced
FAILED_WAIT_MS = 50.0  # after a call that failed before the time is known; doubles
FAILED_WAIT_MOST_MS = 800.0  # one name lies on one part of the counter: a whole fleet would crowd it
NEEDED_WAIT_MS = 400.0  # or so long, where a request needs the time
SLOWER, QUICKER = 1.25, 0.5  # change of the wait after a fresh stamp, and after a stale one
SURE_MS = 250.0  # what is known of the time once it is bounded as closely as that is waited for
NARROW_MS = 600.0  # so long after the first stamp
WAIT_LEAST_MS = 250.0
WAIT_MOST_TIMES = 4.0  # of the usual wait
LEAD_MOST_MS = 1000.0  # a stamp that is so far ahead of an established clock is wrong
BEHIND_MOST_MS = 100.0  # and one that is so far behind what it can be
AHEAD_TIMES, BEHIND_TIMES = 3, 5  # in a row: of two gateways that contradict each other, one moves first
SLEW_MS = 5.0  # by which an established clock follows one that is ahead, with each read


class FleetTime:
    """How far the fleet's time is ahead of this gateway's own clock, in ms; whether that is known at all, and
    by how much the fleet's time may be behind or ahead of what follows from it."""

    __slots__ = ("offset_ms", "known", "behind_ms", "ahead_ms")

    def __init__(self, known: bool):
        self.offset_ms, self.known = 0.0, known
        self.behind_ms = self.ahead_ms = 0.0

    def window(self, now: float, shift_ms: float) -> tuple[int, float]:
        """The number of the window, from 0 to WINDOWS, and the time in ms since it began."""
        number, inside_ms = divmod((now + self.offset_ms + shift_ms) % CYCLE_MS, WINDOW_MS)
        return int(number), inside_ms

    def sure(self, now: float, shift_ms: float) -> bool:
        """Whether it is known which window it is."""
        if not self.known:
            return False
        inside_ms = self.window(now, shift_ms)[1]
        return self.behind_ms <= inside_ms and inside_ms + self.ahead_ms < WINDOW_MS


def stamp(fleet_ms: float) -> int:
    """A time as the count holds it: 0 is none."""
    return 1 + int(fleet_ms % CYCLE_MS / UNIT_MS)


def lead(total: int, fleet_ms: float) -> float:
    """By how many ms a stamp is ahead of a time, the short way round."""
    ahead_ms = ((total - 1) * UNIT_MS - fleet_ms) % CYCLE_MS
    return ahead_ms - CYCLE_MS if ahead_ms > CYCLE_MS / 2 else ahead_ms


class FleetClock:
    """Keeps `time` in step with the other gateways. No I/O: `read` and `answered` return the call to make,
    and `next_at` is when to read again."""

    def __init__(self, time: FleetTime, gateways: int, random: Random):
        self.time, self._random = time, random
        self.next_at = 0.0
        self._calls = 0  # out: 0 or 1
        self._adding = 0  # units that the call that is out adds; 0 where it reads
        self._expected = 0  # the total that it should come to
        self._undoing = False
        self._read_at = (
            self._needed_at
        ) = -math.inf  # when the last read was sent; the next one that is needed
        self._before: tuple[int, float] | None = None  # the stamp read before, and when that read was sent
        self._least_ms = self._most_ms = 0.0  # the fleet's time less the own, as far as that is bounded
        self._suspect: tuple[int, float] | None = None  # a stamp that says that the own clock is wrong
        self._against = (
            0  # stamps in a row that contradict an established clock: ahead of it, or behind (below 0)
        )
        self._set = 0  # the stamp that was last set here
        self._sets = False  # whether this gateway sets stamps
        self._known_at = 0.0
        self._failed_wait_ms = FAILED_WAIT_MS
        self._wait_ms = FIRST_WAIT_MS
        self._slower = min(LISTEN_SLOWEST, LISTEN_SLOWER + LISTEN_SLOWER_EACH * gateways)
        self._usual_ms = max(FIRST_WAIT_MS, STALE_MS / 2 * gateways)

    def reading(self) -> bool:
        """Whether a call is out."""
        return self._calls > 0

    def deciding(self, now: float) -> bool:
        """Whether more will soon be known of the time, or the call for it have failed."""
        if self._calls > 0:
            return True
        if not self.time.known:
            return self._suspect is not None
        wide = self.time.behind_ms + self.time.ahead_ms > SURE_MS
        return wide and now - self._known_at < NARROW_MS

    def read(self, now: float, needed: bool = False) -> io.Count | None:
        """Ask for the stamp, if it is time and no call is out. `needed`: a request waits for it."""
        due_at = min(self.next_at, self._needed_at) if needed else self.next_at
        if self._calls or now < due_at:
            return None
        self._read_at = now
        self._needed_at = now + NEEDED_WAIT_MS * (0.5 + self._random.random())
        return self._call(0)

    def _call(self, adding: int) -> io.Count:
        self._calls, self._adding = 1, adding
        return io.Count(NAME, float(adding), NAME_LIFE_MS)

    def answered(self, now: float, result: io.CountResult) -> io.Count | None:
        """What came of the call that was out; returns the next one, if there is one to make at once."""
        self._calls = 0
        if result.outcome is not Outcome.OK or result.total is None:
            self._failed(now)
            return None
        self._failed_wait_ms = FAILED_WAIT_MS
        total = round(result.total)
        if self._adding:
            return self._added(now, total)
        return self._seen(now, total, result.elapsed_ms)

    def _failed(self, now: float) -> None:
        """What was added may be there or not: the next read tells."""
        self._suspect = None
        if self.time.known:
            self._wait(now, self._wait_ms)
        else:
            self._wait(now, self._failed_wait_ms)
            self._failed_wait_ms = min(FAILED_WAIT_MOST_MS, 2.0 * self._failed_wait_ms)

    def _wait(self, now: float, wait_ms: float) -> None:
        """Not all gateways at one moment."""
        self.next_at = now + wait_ms * (0.5 + self._random.random())

    def _added(self, now: float, total: int) -> io.Count | None:
        added = self._adding
        if self._undoing:
            self._undoing = False
            self._wait(now, RACED_MS)
        elif total != self._expected:  # another gateway set it at the same time
            self._undoing = True
            return self._call(-added)
        else:
            self._set = total
            if not self.time.known:
                self._learned(now, 0.0, 0.0, 0.0)
                self._sets = True  # there is nobody to listen to
            self._wait(now, self._wait_ms)
        return None

    def _learned(self, now: float, offset_ms: float, least_ms: float, most_ms: float) -> None:
        self.time.offset_ms, self.time.known, self._known_at = offset_ms, True, now
        self._bound(least_ms, most_ms)

    def _bound(self, least_ms: float, most_ms: float) -> None:
        self._least_ms, self._most_ms = least_ms, most_ms
        self.time.behind_ms, self.time.ahead_ms = max(0.0, -least_ms), max(0.0, most_ms)

    def _seen(self, now: float, total: int, took_ms: float) -> io.Count | None:
        """The stamp, or 0 where there is none."""
        if total <= 0:
            return self._put(now, total)
        if total > UNITS:  # two first stamps at once, of which one is about to be taken back
            return self._mend(now, total)
        ahead_ms = lead(total, now + self.time.offset_ms)
        if not self.time.known:
            self._start(now, total, ahead_ms, took_ms)
            return None
        if self._listening(now):
            ahead_ms -= self._move(now, total, ahead_ms, took_ms)
        else:
            self._bound(0.0, 0.0)
            ahead_ms -= self._follow(now, total, ahead_ms)
        self._before = total, self._read_at
        self._pace(now, -ahead_ms)
        if self._sets and not 0.0 <= ahead_ms < LEAD_MOST_MS:
            return self._put(now, total)
        return None

    def _listening(self, now: float) -> bool:
        return now - self._known_at < LISTEN_MS

    def _mend(self, now: float, total: int) -> io.Count | None:
        if self._sets:
            return self._put(now, total)
        self._wait(now, LOOK_AGAIN_MS)
        return None

    def _put(self, now: float, total: int) -> io.Count | None:
        """Set the stamp to the own time, from this total."""
        self._expected = stamp(now + self.time.offset_ms)
        if self._expected == total:
            self._wait(now, self._wait_ms)
            return None
        return self._call(self._expected - total)

    def _start(self, now: float, total: int, ahead_ms: float, took_ms: float) -> None:
        """The first stamp after a start: the own clock is kept where that allows it. A stamp that does not is
        believed once a later one agrees, or where nobody has set another for a while."""
        if -PLAUSIBLE_MS <= ahead_ms <= TOLERANCE_MS + took_ms:
            self._learned(now, 0.0, ahead_ms, ahead_ms + PLAUSIBLE_MS)
        elif self._suspect is not None and self._agrees(now, total, took_ms):
            self._learned(now, ahead_ms, 0.0, PLAUSIBLE_MS)
        else:
            if self._suspect is None or total != self._suspect[0]:
                self._suspect = total, self._read_at
            self._wait(now, LOOK_AGAIN_MS)
            return
        self._before = total, self._read_at
        self._wait(now, self._wait_ms)

    def _agrees(self, now: float, total: int, took_ms: float) -> bool:
        """Whether a stamp follows from the one before it: it has gone on by no more than the time since. What
        two gateways added at once, and one is about to take back, does not."""
        before, read_at = self._suspect
        if total == before:
            return now - read_at >= UNCHANGED_MS
        went_on_ms = (total - before) * UNIT_MS % CYCLE_MS
        return went_on_ms <= PLAUSIBLE_MS + now - read_at + took_ms

    def _move(self, now: float, total: int, ahead_ms: float, took_ms: float) -> float:
        """Bring the own clock within what a stamp of others says; returns by how many ms it was moved."""
        if self._before is None or total == self._set:
            return 0.0
        least_ms, most_ms = ahead_ms, self._most_ms
        if total != self._before[0]:  # it was set since the read before
            most_ms = min(most_ms, ahead_ms + now - self._before[1] + UNIT_MS)
        least_ms = max(least_ms, self._least_ms)
        if least_ms > most_ms:  # what was seen before was no stamp to go by
            least_ms, most_ms = ahead_ms, ahead_ms + now - self._before[1] + UNIT_MS
        moved_ms = 0.0
        if least_ms > TOLERANCE_MS + took_ms:
            moved_ms = least_ms
        elif most_ms < -TOLERANCE_MS:
            moved_ms = most_ms
        self.time.offset_ms += moved_ms
        self._bound(least_ms - moved_ms, most_ms - moved_ms)
        return moved_ms

    def _follow(self, now: float, total: int, ahead_ms: float) -> float:
        """An established clock follows drift. It moves further only where all others say so: where one stamp
        after the other is another gateway's and contradicts it. Returns by how many ms it was moved."""
        changed = self._before is not None and total not in (self._before[0], self._set)
        most_ms = ahead_ms + now - self._before[1] if changed else 0.0
        if changed and ahead_ms > LEAD_MOST_MS:
            self._against = max(0, self._against) + 1
        elif changed and most_ms < -BEHIND_MOST_MS:
            self._against = min(0, self._against) - 1
        else:
            self._against = 0
        moved_ms = min(ahead_ms, SLEW_MS) if 0.0 < ahead_ms < LEAD_MOST_MS else 0.0
        if self._against >= AHEAD_TIMES:
            moved_ms = ahead_ms
        elif self._against <= -BEHIND_TIMES:
            moved_ms = most_ms
        self.time.offset_ms += moved_ms
        return moved_ms

    def _pace(self, now: float, stale_ms: float) -> None:
        """When to read again: soon at first, then the more seldom the fresher the stamp was."""
        if self._listening(now) and not self._sets:
            self._wait_ms *= self._slower
        elif not self._sets:
            self._sets, self._wait_ms = True, self._usual_ms
        elif stale_ms > STALE_MS:
            self._wait_ms = max(WAIT_LEAST_MS, self._wait_ms * QUICKER)
        else:
            self._wait_ms = min(WAIT_MOST_TIMES * self._usual_ms, self._wait_ms * SLOWER)
        self._wait(now, self._wait_ms)
