"""Keeps the fleet's time: a clock that all gateways agree on, independent of their wall clocks.

The windows of the shared counts are numbered by it. The wall clock of a machine may be stepped, and a
restarted process reads it again, so gateways compare their clocks through the counter, which is all that they
share.

**The timestamp.** The count `fleet-time` holds the fleet's time at which a gateway last set it. It is read by
adding 0, and set by adding the difference to the total read. The counter executes additions one after the
other, so a gateway whose addition raced with another one sees an unexpected total and undoes its addition.

**The estimate.** `cobaltline/clock_estimate.py` bounds the fleet's time by the timestamps read. A gateway
that starts restores the time of the previous process (`cobaltline/clock_checkpoint.py`). Without a
checkpoint, it keeps its own clock if the timestamp allows that. Otherwise it adopts the timestamp, advanced
by the time since it was first read, once a second read is consistent with it. It then listens for a while
before it sets timestamps itself. A gateway that finds no timestamp sets the first one.

**Consecutive restarts.** If all running gateways are listening, none sets the timestamp, and the next one to
start would take an old timestamp for the present: the fleet's time would fall behind with every restart. A
listening gateway that finds the timestamp abandoned therefore raises it to its proven lower bound of the
time. Such a timestamp is marked as a lower bound, as it does not tell how far the time has advanced.

**Without a timestamp.** Until a gateway knows the current window it counts nothing, and the local share of
quotas decides, as when the counter fails. Once known, the time is carried on by the monotonic clock. The
timestamp lives for a minute, and a counter that restarted has none; the next gateway that reads sets it.

**Cost.** The read interval grows with the number of gateways, so that the fleet as a whole sets the timestamp
a few times per second.
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

TIMESTAMP_NAME = "fleet-time"
STALE_MS = 500.0  # mean age at which a timestamp is set again
ABANDONED_MS = 2.0 * STALE_MS  # age at which a listening gateway raises a timestamp to a lower bound
FIRST_INTERVAL_MS = 400.0  # between the first reads
# Factor on the interval with each read while listening: for one gateway, added for each gateway, and at most.
LISTEN_BACKOFF_FACTOR, LISTEN_BACKOFF_PER_GATEWAY, MAX_LISTEN_BACKOFF_FACTOR = 1.25, 0.02, 4.0
CONFIRM_INTERVAL_MS = 60.0  # after a timestamp that has to be confirmed, and after setting the first one
RACE_RETRY_MS = 20.0  # after undoing an addition that raced with another one
MIN_RETRY_MS = 50.0  # after a failed call while the time is unknown; doubles with each failure
MAX_RETRY_MS = 800.0  # limits the load of a whole fleet on the one shard that holds the name
NEEDED_READ_INTERVAL_MS = 400.0  # between reads that requests ask for
BACKOFF_FACTOR, SPEEDUP_FACTOR = 1.25, 0.5  # on the interval after a fresh and after a stale timestamp
MIN_INTERVAL_MS = 250.0
MAX_INTERVAL_FACTOR = 4.0  # of the usual interval
MAX_RESTORED_LAG_MS = 250.0  # a restored time may be this far behind the timestamp, as clocks differ
STORE_TRY_COUNT = 2  # calls to store a checkpoint; the first fails if an older one has expired


class Purpose(Enum):
    """The purpose of a call to the counter."""

    READ = auto()
    SET = auto()
    UNDO = auto()
    RESTORE = auto()
    STORE = auto()


@dataclass(slots=True)
class PendingCall:
    """The unanswered call: the amount that it adds, and the total expected if no other call races with it."""

    purpose: Purpose
    name: str = TIMESTAMP_NAME
    amount: int = 0
    expected: int = 0


class FleetClock:
    """Keeps `time` in step with the other gateways; at most one call to the counter is unanswered at a time.

    It does no I/O: `read`, `on_result` and `stop` return the call to make, and `next_read_at` is when to call
    `read` again. Times are in ms on the gateway's own clock. `checkpoint` names the checkpoints from which
    the time is restored; None disables them.
    """

    def __init__(
        self, time: FleetTime, gateways: int, random: Random, checkpoint: ClockCheckpoint | None = None
    ):
        self.time, self._random, self._checkpoint = time, random, checkpoint
        self._estimate = ClockEstimate(time)
        self.next_read_at = 0.0
        self._pending_call: PendingCall | None = None
        self._read_sent_at = -math.inf
        self._needed_read_at = -math.inf  # from when on a request may ask for a read
        self._retry_ms = MIN_RETRY_MS
        self._interval_ms = FIRST_INTERVAL_MS
        self._listen_backoff = min(
            MAX_LISTEN_BACKOFF_FACTOR, LISTEN_BACKOFF_FACTOR + LISTEN_BACKOFF_PER_GATEWAY * gateways
        )
        self._usual_interval_ms = max(FIRST_INTERVAL_MS, STALE_MS / 2 * gateways)
        self._names_to_restore: list[str] | None = None  # None before the first read
        self._restored_offset: tuple[bool, float] | None = None  # whether it is exact; the offset in ms
        self._checkpoint_totals: dict[str, int] = {}  # last known totals of checkpoints, by name
        self._store_tries_left = 0

    def owns(self, name: str) -> bool:
        """Whether results for this counter name are to be passed to `on_result`."""
        return name == TIMESTAMP_NAME or name.startswith(CHECKPOINT_PREFIX)

    def has_pending_call(self) -> bool:
        """Whether a call is unanswered."""
        return self._pending_call is not None

    def is_resolving(self, now: float) -> bool:
        """Whether a call is unanswered or closer bounds of the time are expected soon, so waiting pays."""
        return self._pending_call is not None or self._estimate.is_narrowing(now)

    def read(self, now: float, needed: bool = False) -> io.CounterAdd | None:
        """Returns the call that reads the timestamp, or None if it is not due or a call is unanswered.

        `needed` means that a request is waiting for the time; the read is then due earlier.
        """
        due_at = min(self.next_read_at, self._needed_read_at) if needed else self.next_read_at
        if self._pending_call is not None or now < due_at:
            return None
        self._needed_read_at = now + NEEDED_READ_INTERVAL_MS * (0.5 + self._random.random())
        return self._restore_call(now) or self._start_read(now)

    def stop(self, now: float) -> io.CounterAdd | None:
        """Stores the time for the next process, at once or after the result of the unanswered call."""
        self._request_store()
        return None if self._pending_call is not None else self._store_call(now)

    def _start_read(self, now: float) -> io.CounterAdd:
        self._read_sent_at = now
        return self._start_call(PendingCall(Purpose.READ))

    def _start_call(self, call: PendingCall) -> io.CounterAdd:
        self._pending_call = call
        return io.CounterAdd(call.name, float(call.amount), MAX_COUNTER_TTL_MS)

    def on_result(self, now: float, result: io.CounterResult) -> io.CounterAdd | None:
        """Takes the result of the unanswered call; returns the next call if one is to be made at once."""
        call, self._pending_call = self._pending_call, None
        if result.outcome is not Outcome.OK or result.total is None:
            self._on_failure(now, call)
            return self._store_call(now)
        self._retry_ms = MIN_RETRY_MS
        return self._on_total(now, call, round(result.total), result.elapsed_ms) or self._store_call(now)

    def _on_total(
        self, now: float, call: PendingCall, total: int, round_trip_ms: float
    ) -> io.CounterAdd | None:
        if call.purpose is Purpose.READ:
            return self._on_timestamp(now, total, round_trip_ms)
        if call.purpose is Purpose.SET:
            return self._on_set(now, call, total)
        if call.purpose is Purpose.UNDO:
            self._schedule_read(now, RACE_RETRY_MS)
        elif call.purpose is Purpose.RESTORE:
            return self._on_checkpoint(now, call, total)
        elif call.purpose is Purpose.STORE:
            self._on_stored(call, total)
        return None

    def _on_failure(self, now: float, call: PendingCall) -> None:
        """Schedules the next read, which shows whether the addition took effect."""
        self._estimate.forget_contradiction()
        if call.purpose is Purpose.STORE:
            self._checkpoint_totals.pop(call.name, None)
        elif self.time.is_known:
            self._schedule_read(now, self._interval_ms)
        else:
            self._schedule_read(now, self._retry_ms)
            self._retry_ms = min(MAX_RETRY_MS, 2.0 * self._retry_ms)

    def _schedule_read(self, now: float, interval_ms: float) -> None:
        """Sets `next_read_at`, with jitter so that the gateways' reads are spread."""
        self.next_read_at = now + interval_ms * (0.5 + self._random.random())

    # Checkpoints: from the previous process, and for the next one.

    def _restore_call(self, now: float) -> io.CounterAdd | None:
        """Returns the call that reads the next checkpoint; these come before the first timestamp."""
        if self._checkpoint is None or self.time.is_known:
            return None
        if self._names_to_restore is None:
            self._names_to_restore = list(self._checkpoint.names(now))
        return (
            self._start_call(PendingCall(Purpose.RESTORE, self._names_to_restore[0]))
            if self._names_to_restore
            else None
        )

    def _on_checkpoint(self, now: float, call: PendingCall, total: int) -> io.CounterAdd | None:
        self._checkpoint_totals[call.name] = total
        self._names_to_restore.remove(call.name)
        if 0 < total <= MAX_TIMESTAMP:
            offset_ms = wrap_difference_ms(self._checkpoint.decode(total, now) - now)
            self._restored_offset, self._names_to_restore = (is_exact(total), offset_ms), []
        return self._restore_call(now) or self._start_read(now)

    def _apply_checkpoint(self, now: float, total: int, round_trip_ms: float) -> None:
        """Restores the time from the checkpoint that was read, if the timestamp in `total` allows it.

        A restored time that is behind the timestamp, or ahead of it by more than the lifetime of its name,
        comes from another machine or from before a reboot, and is ignored.
        """
        if self._restored_offset is None:
            return
        exact, offset_ms = self._restored_offset
        ahead_ms = lead_ms(total, now + offset_ms) if 0 < total <= MAX_TIMESTAMP else 0.0
        if not -MAX_COUNTER_TTL_MS <= ahead_ms <= MAX_RESTORED_LAG_MS + round_trip_ms:
            return
        self._estimate.restore(now, offset_ms, exact)
        if exact:
            self._interval_ms = self._usual_interval_ms
        self._request_store()

    def _request_store(self) -> None:
        """Has a checkpoint stored with the next call, or after the result of the unanswered one."""
        if self._checkpoint is not None and self.time.is_known:
            self._store_tries_left = STORE_TRY_COUNT

    def _store_call(self, now: float) -> io.CounterAdd | None:
        """Returns the call that stores a checkpoint, or None if none is requested or the time is unproven."""
        estimate = self._estimate
        offset_ms = self.time.offset_ms if estimate.is_established else estimate.proven_offset_ms
        if not self._store_tries_left or offset_ms is None:
            return None
        self._store_tries_left -= 1
        name = self._checkpoint.names(now)[0]
        value = self._checkpoint.encode(offset_ms, estimate.is_established)
        amount = value - self._checkpoint_totals.get(name, 0)
        if not amount:
            self._store_tries_left = 0
            return None
        return self._start_call(PendingCall(Purpose.STORE, name, amount, value))

    def _on_stored(self, call: PendingCall, total: int) -> None:
        self._checkpoint_totals[call.name] = total
        if total == call.expected:
            self._store_tries_left = 0

    # The timestamp.

    def _on_timestamp(self, now: float, total: int, round_trip_ms: float) -> io.CounterAdd | None:
        """Handles the timestamp read; a total of 0 means that there is none."""
        if not self.time.is_known:
            self._apply_checkpoint(now, total, round_trip_ms)
        if total <= 0:
            return self._set_timestamp(now, total, self.time.offset_ms, exact=True)
        if total > MAX_TIMESTAMP:  # the sum of two first timestamps, one of which is about to be undone
            return self._repair_timestamp(now, total)
        reading = TimestampReading(total, self._read_sent_at, now, lead_ms(total, now + self.time.offset_ms))
        if not self.time.is_known:
            if self._estimate.start(reading, round_trip_ms):
                self._request_store()
            self._schedule_read(now, CONFIRM_INTERVAL_MS)
            return None
        moved_ms = self._estimate.update(reading, round_trip_ms)
        if abs(moved_ms) > TOLERANCE_MS:
            self._request_store()
        ahead_ms = reading.ahead_ms - moved_ms
        self._adjust_interval(now, -ahead_ms)
        return self._refresh_timestamp(now, total, ahead_ms)

    def _refresh_timestamp(self, now: float, total: int, ahead_ms: float) -> io.CounterAdd | None:
        """Sets the timestamp if it is behind the own time, or too far ahead of it; `ahead_ms` is its lead."""
        proven_ms = self._estimate.proven_offset_ms
        if self._estimate.is_established:
            if not 0.0 <= ahead_ms < MAX_LEAD_MS:
                return self._set_timestamp(now, total, self.time.offset_ms, exact=True)
        elif proven_ms is not None and proven_ms - (self.time.offset_ms + ahead_ms) > ABANDONED_MS:
            return self._set_timestamp(now, total, proven_ms, exact=False)
        return None

    def _repair_timestamp(self, now: float, total: int) -> io.CounterAdd | None:
        if self._estimate.is_established:
            return self._set_timestamp(now, total, self.time.offset_ms, exact=True)
        self._schedule_read(now, CONFIRM_INTERVAL_MS)
        return None

    def _set_timestamp(self, now: float, total: int, offset_ms: float, exact: bool) -> io.CounterAdd | None:
        """Returns the call that changes the timestamp from `total` to the own clock plus `offset_ms`."""
        expected = encode_timestamp(now + offset_ms, exact)
        if expected == total:
            self._schedule_read(now, self._interval_ms)
            return None
        return self._start_call(PendingCall(Purpose.SET, amount=expected - total, expected=expected))

    def _on_set(self, now: float, call: PendingCall, total: int) -> io.CounterAdd | None:
        if total != call.expected:  # raced with another gateway
            return self._start_call(PendingCall(Purpose.UNDO, amount=-call.amount))
        self._estimate.record_set(total)
        if not self.time.is_known:
            self._estimate.adopt_own_clock(now)
            self._interval_ms = CONFIRM_INTERVAL_MS  # others may be starting too
            self._request_store()
        self._schedule_read(now, self._interval_ms)
        return None

    def _adjust_interval(self, now: float, stale_ms: float) -> None:
        """Schedules the next read: soon while listening, then less often the fresher the timestamp was.

        Ends listening once its time is over.
        """
        established = self._estimate.is_established
        if not established and self._estimate.is_listening(now):
            if self._estimate.has_unproven_bound():
                self._schedule_read(now, CONFIRM_INTERVAL_MS)
                return
            self._interval_ms *= self._listen_backoff
        elif not established:
            self._estimate.is_established, self._interval_ms = True, self._usual_interval_ms
            self._request_store()
        elif stale_ms > STALE_MS:
            self._interval_ms = max(MIN_INTERVAL_MS, self._interval_ms * SPEEDUP_FACTOR)
        else:
            self._interval_ms = min(
                MAX_INTERVAL_FACTOR * self._usual_interval_ms, self._interval_ms * BACKOFF_FACTOR
            )
        self._schedule_read(now, self._interval_ms)
