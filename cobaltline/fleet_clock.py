"""The time that all gateways agree on, whatever their wall clocks say.

The windows of the shared counts are numbered by it. A wall clock may be stepped, and a process that
restarts reads it anew, so its own is not enough; nobody but the counter can tell it of the others.

**What is shared.** One count, `fleet-time`, holds a timestamp: the fleet's time when a gateway last set
it. It is read by adding nothing, and set by adding the difference to what was read. Additions are made
one after the other, so whoever raced sees a total that it did not mean, and takes back what it added.

**What is known.** `cobaltline/clock_estimate.py` bounds the fleet's time by the timestamps that were
read. A gateway that starts takes the time of the process before it (`cobaltline/clock_checkpoint.py`).
Where there is none, it keeps its own clock where the timestamp allows it, and else takes that for the
time, once a second one agrees; and with it the time that went by since it first saw it. For a while it
listens. From then on it sets the timestamp. Whoever finds none makes the first one.

**When gateways restart in a row.** All that run may be listening. Nobody would set the timestamp then,
and who comes next would take an old one for the present: the fleet's time would fall behind, restart
after restart. So whoever listens, and finds that nobody has set it, raises it to what the time is at
least. That is marked as a lower bound, as it says nothing of how far the time has got.

**When it is gone.** Until a gateway knows the window it counts nothing, as with a counter that fails: the
local share decides. Afterwards its monotonic clock carries it. The timestamp lives for a minute, and a
counter that comes back empty has none: the next gateway that looks sets it.

**What it costs.** Each gateway looks so seldom that all together set the timestamp some times a second.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, auto
from random import Random

from . import interface as io
from .clock_checkpoint import CHECKPOINT_PREFIX, ClockCheckpoint
from .clock_estimate import MAX_LEAD_MS, TOLERANCE_MS, ClockEstimate, TimestampReading
from .fleet_time import (
    MAX_COUNTER_TTL_MS,
    MAX_TIMESTAMP,
    FleetTime,
    encode_timestamp,
    is_exact,
    lead_ms,
    wrap_difference_ms,
)
from .interface import Outcome

NAME = "fleet-time"
STALE_MS = 500.0  # a timestamp is set anew as long ago as that, in the mean
ABANDONED_MS = (
    2.0 * STALE_MS
)  # who may only raise it to a lower bound leaves it so long to those who know more
FIRST_WAIT_MS = 400.0  # between the first reads, and longer with each while it listens: so many times as long
LISTEN_SLOWER, LISTEN_SLOWER_EACH, LISTEN_SLOWEST = 1.25, 0.02, 4.0  # alone, with each gateway, and at most
LOOK_AGAIN_MS = 60.0  # after a timestamp that has to be confirmed, and at first after making one
RACED_MS = 20.0  # after an addition that was raced
FAILED_WAIT_MS = 50.0  # after a call that failed before the time is known; doubles
FAILED_WAIT_MOST_MS = 800.0  # one name lies on one part of the counter: a whole fleet would crowd it
NEEDED_READ_INTERVAL_MS = 400.0  # or so long, where a request needs the time
SLOWER, QUICKER = 1.25, 0.5  # change of the wait after a fresh timestamp, and after a stale one
WAIT_LEAST_MS = 250.0
WAIT_MOST_TIMES = 4.0  # of the usual wait
RESTORED_BEHIND_MS = 250.0  # by which a restored time may be behind the timestamp: clocks differ by some
STORE_TRIES = 2  # calls to store a checkpoint: the first may find that an older one has ended


class Purpose(Enum):
    """What a call is for."""

    READ = auto()
    SET = auto()
    TAKE_BACK = auto()
    RESTORE = auto()
    STORE = auto()


@dataclass(slots=True)
class PendingCall:
    """The one that is out: what it adds, and the total that it should come to."""

    purpose: Purpose
    name: str = NAME
    amount: int = 0
    expected: int = 0


class FleetClock:
    """Keeps `time` in step with the other gateways. No I/O: `read`, `on_result` and `stop` return the call
    to make, and `next_read_at` is when to read again. `checkpoint` is where its time outlives the process."""

    def __init__(
        self, time: FleetTime, gateways: int, random: Random, checkpoint: ClockCheckpoint | None = None
    ):
        self.time, self._random, self._checkpoint = time, random, checkpoint
        self._estimate = ClockEstimate(time)
        self.next_read_at = 0.0
        self._pending: PendingCall | None = None
        self._read_at = -math.inf  # when the last read was sent
        self._needed_at = -math.inf  # when a request may ask for the next one
        self._failed_wait_ms = FAILED_WAIT_MS
        self._wait_ms = FIRST_WAIT_MS
        self._slower = min(LISTEN_SLOWEST, LISTEN_SLOWER + LISTEN_SLOWER_EACH * gateways)
        self._usual_ms = max(FIRST_WAIT_MS, STALE_MS / 2 * gateways)
        self._to_restore: list[str] | None = None  # names still to be read; None before the first
        self._restored: tuple[bool, float] | None = None  # whether it is exact, and the offset in ms
        self._stored: dict[str, int] = {}  # totals of checkpoints, as far as they were seen
        self._store_tries = 0  # still to be made

    def owns(self, name: str) -> bool:
        """Whether a count of this name is one of this clock's."""
        return name == NAME or name.startswith(CHECKPOINT_PREFIX)

    def has_pending_call(self) -> bool:
        """Whether a call is out."""
        return self._pending is not None

    def is_resolving(self, now: float) -> bool:
        """Whether more will soon be known of the time, or the call for it have failed."""
        return self._pending is not None or self._estimate.is_narrowing(now)

    def read(self, now: float, needed: bool = False) -> io.CounterAdd | None:
        """Ask for the timestamp, if it is time and no call is out. `needed`: a request waits for it."""
        due_at = min(self.next_read_at, self._needed_at) if needed else self.next_read_at
        if self._pending is not None or now < due_at:
            return None
        self._needed_at = now + NEEDED_READ_INTERVAL_MS * (0.5 + self._random.random())
        return self._restore(now) or self._read(now)

    def stop(self, now: float) -> io.CounterAdd | None:
        """The process is about to end: leave its time to the next one, once no other call is out."""
        self._to_store()
        return None if self._pending is not None else self._store(now)

    def _read(self, now: float) -> io.CounterAdd:
        self._read_at = now
        return self._call(PendingCall(Purpose.READ))

    def _call(self, call: PendingCall) -> io.CounterAdd:
        self._pending = call
        return io.CounterAdd(call.name, float(call.amount), MAX_COUNTER_TTL_MS)

    def on_result(self, now: float, result: io.CounterResult) -> io.CounterAdd | None:
        """What came of the call that was out; returns the next one, if there is one to make at once."""
        call, self._pending = self._pending, None
        if result.outcome is not Outcome.OK or result.total is None:
            self._failed(now, call)
            return self._store(now)
        self._failed_wait_ms = FAILED_WAIT_MS
        return self._told(now, call, round(result.total), result.elapsed_ms) or self._store(now)

    def _told(self, now: float, call: PendingCall, total: int, took_ms: float) -> io.CounterAdd | None:
        if call.purpose is Purpose.READ:
            return self._seen(now, total, took_ms)
        if call.purpose is Purpose.SET:
            return self._was_set(now, call, total)
        if call.purpose is Purpose.TAKE_BACK:
            self._wait(now, RACED_MS)
        elif call.purpose is Purpose.RESTORE:
            return self._found(now, call, total)
        elif call.purpose is Purpose.STORE:
            self._was_stored(call, total)
        return None

    def _failed(self, now: float, call: PendingCall) -> None:
        """What was added may be there or not: the next read tells."""
        self._estimate.forget_contradiction()
        if call.purpose is Purpose.STORE:
            self._stored.pop(call.name, None)
        elif self.time.is_known:
            self._wait(now, self._wait_ms)
        else:
            self._wait(now, self._failed_wait_ms)
            self._failed_wait_ms = min(FAILED_WAIT_MOST_MS, 2.0 * self._failed_wait_ms)

    def _wait(self, now: float, wait_ms: float) -> None:
        """Not all gateways at one moment."""
        self.next_read_at = now + wait_ms * (0.5 + self._random.random())

    # The time of the process before, and for the one to come.

    def _restore(self, now: float) -> io.CounterAdd | None:
        """The next checkpoint to look for, before the first read."""
        if self._checkpoint is None or self.time.is_known:
            return None
        if self._to_restore is None:
            self._to_restore = list(self._checkpoint.names(now))
        return self._call(PendingCall(Purpose.RESTORE, self._to_restore[0])) if self._to_restore else None

    def _found(self, now: float, call: PendingCall, total: int) -> io.CounterAdd | None:
        self._stored[call.name] = total
        self._to_restore.remove(call.name)
        if 0 < total <= MAX_TIMESTAMP:
            offset_ms = wrap_difference_ms(self._checkpoint.decode(total, now) - now)
            self._restored, self._to_restore = (is_exact(total), offset_ms), []
        return self._restore(now) or self._read(now)

    def _take_restored(self, now: float, total: int, took_ms: float) -> None:
        """Know the time from the process before this one. It is hardly before the timestamp, and that is
        no older than its name can be: else the machine is another one, or was started anew."""
        if self._restored is None:
            return
        exact, offset_ms = self._restored
        ahead_ms = lead_ms(total, now + offset_ms) if 0 < total <= MAX_TIMESTAMP else 0.0
        if not -MAX_COUNTER_TTL_MS <= ahead_ms <= RESTORED_BEHIND_MS + took_ms:
            return
        self._estimate.restore(now, offset_ms, exact)
        if exact:
            self._wait_ms = self._usual_ms
        self._to_store()

    def _to_store(self) -> None:
        """With the next call, or once the one that is out has been answered."""
        if self._checkpoint is not None and self.time.is_known:
            self._store_tries = STORE_TRIES

    def _store(self, now: float) -> io.CounterAdd | None:
        estimate = self._estimate
        offset_ms = self.time.offset_ms if estimate.is_established else estimate.proven_offset_ms
        if not self._store_tries or offset_ms is None:
            return None
        self._store_tries -= 1
        name = self._checkpoint.names(now)[0]
        value = self._checkpoint.encode(offset_ms, estimate.is_established)
        amount = value - self._stored.get(name, 0)
        if not amount:
            self._store_tries = 0
            return None
        return self._call(PendingCall(Purpose.STORE, name, amount, value))

    def _was_stored(self, call: PendingCall, total: int) -> None:
        self._stored[call.name] = total
        if total == call.expected:
            self._store_tries = 0

    # The timestamp.

    def _seen(self, now: float, total: int, took_ms: float) -> io.CounterAdd | None:
        """The timestamp, or 0 where there is none."""
        if not self.time.is_known:
            self._take_restored(now, total, took_ms)
        if total <= 0:
            return self._put(now, total, self.time.offset_ms, exact=True)
        if total > MAX_TIMESTAMP:  # two first ones at once, of which one is about to be taken back
            return self._mend(now, total)
        reading = TimestampReading(total, self._read_at, now, lead_ms(total, now + self.time.offset_ms))
        if not self.time.is_known:
            if self._estimate.start(reading, took_ms):
                self._to_store()
            self._wait(now, LOOK_AGAIN_MS)
            return None
        moved_ms = self._estimate.update(reading, took_ms)
        if abs(moved_ms) > TOLERANCE_MS:
            self._to_store()
        ahead_ms = reading.ahead_ms - moved_ms
        self._pace(now, -ahead_ms)
        return self._set_anew(now, total, ahead_ms)

    def _set_anew(self, now: float, total: int, ahead_ms: float) -> io.CounterAdd | None:
        """Set a timestamp that is not `ahead_ms` ahead of the own time as it should be."""
        proven_ms = self._estimate.proven_offset_ms
        if self._estimate.is_established:
            if not 0.0 <= ahead_ms < MAX_LEAD_MS:
                return self._put(now, total, self.time.offset_ms, exact=True)
        elif proven_ms is not None and proven_ms - (self.time.offset_ms + ahead_ms) > ABANDONED_MS:
            return self._put(now, total, proven_ms, exact=False)
        return None

    def _mend(self, now: float, total: int) -> io.CounterAdd | None:
        if self._estimate.is_established:
            return self._put(now, total, self.time.offset_ms, exact=True)
        self._wait(now, LOOK_AGAIN_MS)
        return None

    def _put(self, now: float, total: int, offset_ms: float, exact: bool) -> io.CounterAdd | None:
        """Set the timestamp, from this total, to the time that is so far ahead of the own clock."""
        expected = encode_timestamp(now + offset_ms, exact)
        if expected == total:
            self._wait(now, self._wait_ms)
            return None
        return self._call(PendingCall(Purpose.SET, amount=expected - total, expected=expected))

    def _was_set(self, now: float, call: PendingCall, total: int) -> io.CounterAdd | None:
        if total != call.expected:  # another gateway set it at the same time
            return self._call(PendingCall(Purpose.TAKE_BACK, amount=-call.amount))
        self._estimate.record_set(total)
        if not self.time.is_known:
            self._estimate.adopt_own_clock(now)
            self._wait_ms = LOOK_AGAIN_MS  # others may start now
            self._to_store()
        self._wait(now, self._wait_ms)
        return None

    def _pace(self, now: float, stale_ms: float) -> None:
        """When to read again: soon at first, then the more seldom the fresher the timestamp was."""
        established = self._estimate.is_established
        if not established and self._estimate.is_listening(now):
            if self._estimate.has_unproven_bound():
                self._wait(now, LOOK_AGAIN_MS)
                return
            self._wait_ms *= self._slower
        elif not established:
            self._estimate.is_established, self._wait_ms = True, self._usual_ms
            self._to_store()
        elif stale_ms > STALE_MS:
            self._wait_ms = max(WAIT_LEAST_MS, self._wait_ms * QUICKER)
        else:
            self._wait_ms = min(WAIT_MOST_TIMES * self._usual_ms, self._wait_ms * SLOWER)
        self._wait(now, self._wait_ms)
