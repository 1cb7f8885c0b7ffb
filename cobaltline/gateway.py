"""Every decision of a cobaltline gateway. Its types, events and actions: `cobaltline/interface.py`."""

from __future__ import annotations

import heapq
import math
import random
import struct
import zlib
from collections import deque

from . import interface as io
from .backend_pool import BackendPool
from .clock_checkpoint import ClockCheckpoint
from .fleet_clock import NEEDED_READ_INTERVAL_MS, FleetClock
from .fleet_time import MAX_COUNTER_TTL_MS, FleetTime
from .interface import NEVER_RAN, BackendState, Idempotency, Outcome
from .quota import MILLI_PER_UNIT, NO_WINDOW, TRUST_SHARE, Bucket
from .slow_start import DISCOVERY_DELAY_MS, MIN_OFFSET_CHANGE_MS, RECENT_COUNT_FACTOR, ColdPacer, StartTimes
from .tracked_backend import TrackedBackend

DIRECT_GAIN = 0.002  # a good counter call adds so much to the share of borrows that go to the counter at once
DIRECT_LOSS = 0.5  # and a failed one leaves so much of it; the rest is asked of the customer's home gateway
SHORT_WAIT = 0.125  # of the time a store fills in: a home waits so long where its borrow came back short
AWAY_MS = 1000.0  # a home that did not answer is passed over so long, or until it is heard
# a message: version, kind, nonce, amount, wait, clock; then text, then crc32
HEADER = struct.Struct(">BBIIII")
WIRE_VERSION, BORROW_REQUEST, BORROW_GRANT, CLOCK = 1, 1, 2, 0xFFFFFFFF
GAP_FIRST_MS = 8.0  # spacing of counter calls after a first failure; doubles from there
GAP_MOST_MS = 800.0  # and at most this, so that a counter that is back is found within a second
GAP_EASE = 0.93  # where calls have crowded the counter, a good one shortens the spacing to so much of it
GAP_TIGHT = 1.1  # and one that was good but slow lengthens it so
SLOW_SHARE = 0.5  # of what the way there and back leaves of the time that a call may take: more shows a line
WAY_WEIGHT = 0.01  # of one answer that took longer, in the time of the way: a counter may move farther off
CALL_SIZES = 4.0  # a small request waits for a call as long as so many spacings at most, a large one less
SCARCE_SHARE = 0.5  # of its store: while calls are scarce, who was found short is asked about again with that
DOUBT_PART = 0.03  # of the price of a call, as some requests are let in before it tells
DOUBT = 0.05  # share of what is trusted that is taken to find no room, before anything is known
UNCOUNTED_MOST = 8  # requests let in on trust before a call counts them
COST_WEIGHT = 0.02  # of one request in the mean cost, and of one borrow in the share that was found short
RTO_DEVS = 4.0  # deviations above the mean latency before an answer is missed (as TCP does)
OPENING_TRIES = 3  # calls that ask how a window ended before what waits for that is given up
HEDGE_SHARE = 0.1  # further attempts a request may cost on average
HEDGE_BURST = 10.0  # and at once
AVOID_TIMES = 8.0  # a backend without service counts as slow as this many aims at most; each failure doubles
TRIAL_LOAD = 4.0  # attempts at a backend whose last one failed count so much: few at a time until one is well
SPOILT_MOST = 3  # answers spoilt or broken off in a row that say nothing against a backend
CROSS_MALUS = 1.15  # a backend across zones counts as so much slower, where crossing has a price
# backends all weighed for a choice; where there are more, own attempts tell too little of each
SAMPLE_SIZE = 24
CHOICES = 6  # and so many are drawn by their present capacity
CAPACITY_WEIGHT = 0.02  # of one backend that was drawn, in the mean present capacity and the number of all
TARGET_AIM = 0.32  # latency, as a share of the aim, above which backends count as crowded
INITIAL_SLOTS = 2.0  # attempts out for each backend, all gateways together, before anything is known
HOLD_ODDS = 1.5  # a wait is worth it while so many times its expected length still leaves time to be served
PACE_BURST = 3.0  # a limit on own attempts out of less than this is kept as a pace, so many at once
MEMORY_MS = 2000.0  # time over which answers are averaged where few come; each weighs 0.05 at least
FLEET_STEP = 0.1  # how far the limit on own attempts out moves at most in one mean latency
STALL_MS = 100.0  # an alarm later than this shows that the gateway itself stood still
CLOCK_SEED = 0x5BD1E995  # draws of the fleet's clock change no others
IDLE_MS = 10000.0  # customers unseen this long are dropped
KEEP_MS = 120000.0  # but those whose store was well filled: a gateway of a large set sees one seldom
RESUBSCRIBE_MS = 2500.0  # after a failed call for lists, at most: a change counts as told 6 s after its time


class Ask:
    """What another gateway asks of this one as a customer's home; waits like a request."""

    def __init__(self, bucket: Bucket, cost: int, peer: int, nonce: int):
        self.bucket, self.cost, self.peer, self.nonce, self.done = bucket, cost, peer, nonce, False


class Attempt:
    def __init__(self, backend: TrackedBackend, no: int, sent: float):
        self.backend, self.no, self.sent, self.out, self.may_run = backend, no, sent, True, True


class Request:
    def __init__(self, event: io.RequestArrived, cls: io.RequestClass, bucket: Bucket, now: float):
        self.id, self.cls, self.bucket = event.request, cls, bucket
        self.cost = max(0, round(event.units * MILLI_PER_UNIT))
        self.deadline = event.deadline_ms
        self.aim = min(now + cls.target_latency_ms, self.deadline)
        self.attempts: list[Attempt] = []
        self.done = self.stream = False
        self.drawn = False  # a backend has been drawn for it
        self.paid = 0
        self.price = cls.worth * bucket.plan.price

    def anchor(self) -> Attempt | None:
        return next((a for a in self.attempts if a.may_run), None)

    def may_refuse(self) -> bool:
        anywhere = self.cls.idempotency is Idempotency.KEYED and self.cls.key_scope == "all"
        return anywhere or self.cls.idempotency is Idempotency.SAFE or self.anchor() is None


class Gateway:
    def __init__(self, settings: io.Settings, seed: int):
        self.cfg, self.rng = settings, random.Random(seed)
        self.fleet_time = FleetTime(is_known=settings.clocks_in_sync or not settings.counter)
        clock_random = random.Random(seed ^ CLOCK_SEED)
        origin_ms = settings.clock_origin_ms
        checkpoint = None if origin_ms is None else ClockCheckpoint(settings.node_id, origin_ms)
        self.fleet_clock = FleetClock(self.fleet_time, settings.gateways, clock_random, checkpoint)
        self.read_planned = False  # an alarm is set for it
        self.starts = StartTimes(settings, self.fleet_time)
        self.cold_pacer = ColdPacer(settings, self.rng)
        self.need_time: list[Bucket] = []  # with requests that wait until the fleet's time is known
        self.buckets: dict[tuple[str, str], Bucket] = {}
        self.requests: dict[str, Request] = {}
        self.in_flight: dict[tuple[str, int], tuple[Attempt, Request]] = {}
        self.pool = BackendPool()
        self.tracked: dict[str, TrackedBackend] = self.pool.by_id
        self.usable: list[TrackedBackend] = self.pool.usable
        self.remembered = False  # the first list held any
        self.capacity = 1.0  # the mean present capacity of the usable ones, as a part of the heaviest
        self.known = 0.0  # how many were usable, as a running mean over requests
        self.calls: dict[str, deque] = {}
        self.ready: list[tuple[float, int, Request]] = []
        self.timers: list[tuple[float, int, object, object]] = []
        self.wake_at, self.seq = float("inf"), 0
        self.aim = min((c.target_latency_ms for c in settings.classes.values()), default=1000.0)
        self.mean_ms, self.dev_ms, self.mean_at = 0.2 * self.aim, 0.1 * self.aim, 0.0  # a guess at first
        self.send_rate, self.rate_at = 0.0, 0.0
        # own attempts out
        self.attempts_out, self.limit, self.slowness, self.limit_at = 0, 0.0, TARGET_AIM / 2, 0.0
        self.credit, self.credit_at, self.pace_at = PACE_BURST, 0.0, 0.0
        self.pressed, self.answer_at = False, 0.0
        self.retry_tokens = HEDGE_BURST / 2
        self.gap_ms, self.next_call_at, self.direct_share = 0.0, 0.0, 1.0
        self.gap_fit, self.failing = 0.0, False  # the spacing after a first failure; the last call failed
        # of what waits for a call; thin borrows found short
        self.mean_cost, self.short_share = float(MILLI_PER_UNIT), 0.0
        # there and back: the quickest answer of the counter of late
        self.way_ms = settings.counter_timeout_ms
        # share of counts that found no room where the store was thought well filled
        self.overrun_share = DOUBT
        self.asked: dict[int, tuple[Bucket, int, int]] = {}  # asks out by nonce: customer, window, home
        self.away: dict[int, float] = {}  # gateways that did not answer: until when they are passed over
        # how long one is waited for
        self.peer_timeout_ms = 2.0 * settings.counter_timeout_ms + 10.0 * settings.tick_ms
        self.logged: dict[tuple[str, str], tuple[bool, float]] = {}  # of states, some of a backend
        self.on = {
            io.RequestArrived: self.on_request,
            io.AttemptEnded: self.on_ended,
            io.CounterResult: self.on_count,
            io.BackendsChanged: self.on_backends,
            io.ClientDisconnected: self.on_left,
            io.PeerMessage: self.on_peer,
            io.Stopping: self.on_stopping,
            io.StreamStarted: self.on_stream,
        }

    def handle(self, now_ms: float, event) -> list:
        self.actions, now = [], now_ms
        while self.timers and self.timers[0][0] <= now:
            when, _, what, arg = heapq.heappop(self.timers)
            if now - when > STALL_MS and what != self.give_up:
                self.at(now + self.cfg.tick_ms, what, arg)  # an own pause: first what came meanwhile
            else:
                what(now, arg)
        if self.wake_at <= now + 0.01:  # also one that was rounded to just before its alarm
            self.wake_at = float("inf")
        if type(event) in self.on:
            self.on[type(event)](now, event)
        if self.timers and self.timers[0][0] < self.wake_at:
            self.wake_at = self.timers[0][0]
            self.actions.append(io.SetTimer("wake", max(0.0, self.wake_at - now)))
        return self.actions

    def at(self, when: float, what, arg) -> None:
        self.seq += 1
        heapq.heappush(self.timers, (when, self.seq, what, arg))

    def note(self, now: float, what: str, on: bool, backend: str = "") -> None:
        """A log line at the entry and at the exit of a state, at most one of a kind each second."""
        last, at = self.logged.get((what, backend), (False, -1e9))
        if on != last and now - at >= 1000.0:
            self.logged[what, backend] = (on, now)
            self.actions.append(io.Log(f"{backend} {what}: {'begins' if on else 'ends'}".lstrip()))

    # Requests: quota first, then a backend.

    def on_request(self, now: float, e: io.RequestArrived) -> None:
        plan = self.cfg.plans.get(e.plan)
        if plan is None:
            self.actions.append(io.Reject(e.request))
            return
        bucket = self.bucket(now, plan, e.customer, e.first_gateway, e.spread)
        bucket.record_arrival(now)
        req = Request(e, self.cfg.classes.get(e.kind) or io.RequestClass(), bucket, now)
        self.requests[req.id] = req
        self.at(req.deadline - 2 * self.cfg.tick_ms, self.give_up, req)
        self.admit(now, req)

    def bucket(self, now: float, plan: io.Plan, customer: str, first: int, spread: int) -> Bucket:
        b = self.buckets.get((plan.name, customer))
        if b is None:
            b = self.buckets[plan.name, customer] = Bucket(
                customer, plan, first, spread, self.cfg, now, self.fleet_time
            )
        b.last_used_at = now
        return b

    def admit(self, now: float, req: Request | Ask) -> None:
        b = req.bucket
        b.advance(now)
        if b.rate <= 0 or not b.waiting and b.tokens >= req.cost:
            req.paid = req.cost
            b.tokens -= req.cost
            b.spend(req.cost)
            self.granted(now, req)
        elif not isinstance(req, Ask) and self.trusted(b, req.cost) and b.take_spare(now, req.cost):
            b.spend(req.cost)
            b.uncounted_tokens += req.cost
            b.uncounted_requests += 1
            self.granted(now, req)
            counts = b.quick_streak or not self.trusted(b, req.cost)  # the next one has not to wait
            if counts and not b.pending and b.knows_window(now):
                self.borrow(now, b)
        elif b.pending:
            b.waiting.append(req)
        elif now < b.retry_at:
            self.turned_down(now, req)
        else:
            b.waiting.append(req)
            self.refill(now, b)

    def trusted(self, b: Bucket, cost: int) -> bool:
        """Whether what this customer asks is let in at once and counted behind. Its store has to have been
        seen well filled, and the request to fit this gateway's part of what was left. Where that is less than
        a request, doubt decides: trust may cost no more by what then finds no room than it saves in calls."""
        if not b.is_filled or b.quick_streak > 1 or self.gap_ms > 4.0 * GAP_FIRST_MS:
            return False
        asked = b.uncounted_tokens + cost
        if asked <= TRUST_SHARE * b.level * b.share:
            return True
        worth_it = self.overrun_share * b.plan.overrun_cost <= DOUBT_PART * self.cfg.counter_price
        return worth_it and b.uncounted_requests < UNCOUNTED_MOST and asked <= TRUST_SHARE * b.level

    def granted(self, now: float, req: Request | Ask) -> None:
        """Inside the rate. Where the plan limits attempts out, it may have to wait for one to end."""
        if isinstance(req, Ask):
            self.tell(now, req.peer, BORROW_GRANT, req.nonce, req.cost)
        elif req.bucket.plan.max_concurrency and req.bucket.open_count >= req.bucket.max_open:
            req.bucket.gated.append(req)
            self.at(req.aim - self.mean_ms, self.give_up, req)
        else:
            self.dispatch(now, req)

    def turned_down(self, now: float, req: Request | Ask) -> None:
        """A source said no. While the counter fails that is a home with no more than its own part of what may
        go unconfirmed under a ceiling: the part kept here is for its own requests."""
        own = req.bucket.plan.ceiling_rate > 0 and self.gap_ms > GAP_FIRST_MS and not isinstance(req, Ask)
        (self.alone if own else self.refuse)(now, req)

    def alone(self, now: float, req: Request | Ask) -> None:
        """Nobody to ask just now: the local share decides."""
        fits = req.bucket.take_local(now, req.cost, self.rng.random(), self.short_share, self.mean_cost)
        (self.granted if fits else self.refuse)(now, req)

    def refuse(self, now: float, req: Request | Ask) -> None:
        """Beyond the quota. Let in all the same where the plan pays for it and the backends have slack."""
        b, plan = req.bucket, req.bucket.plan
        if isinstance(req, Ask):
            # Each is told a turn of its own, as they would all come back at the same moment.
            b.promised_at = min(max(b.promised_at, b.retry_at, now) + req.cost / b.rate, now + b.fill_ms / 2)
            self.tell(now, req.peer, BORROW_GRANT, req.nonce, 0, max(1.0, b.promised_at - now))
        elif plan.excess_worth > plan.overrun_cost and not self.ready and b.take_spare(now, req.cost):
            self.dispatch(now, req, spare=True)
        else:
            wait = max(0.0, b.retry_at - now) if self.cfg.may_advise else 0.0
            self.finish(now, req, io.Reject(req.id, min(wait, self.cfg.most_retry_after_ms)))

    # Where tokens come from: the counter, or the customer's home gateway with the counter crowded or lost.

    def refill(self, now: float, b: Bucket) -> None:
        """One source for all that waits here. Home is asked where calls to the counter fail, as it borrows
        for the whole set. Guards against a counter that is down, slow or crowded by many gateways; costs two
        short messages a borrow, and a wait where home stands still."""
        if not b.knows_window(now):
            self.await_time(now, b)
            return
        up = (h for h in b.homes if h == self.cfg.node_id or self.away.get(h, 0.0) <= now)  # asks end here
        home = self.cfg.node_id if any(isinstance(x, Ask) for x in b.waiting) else next(up, self.cfg.node_id)
        counter = self.cfg.counter and now >= self.next_call_at + self.turn(b) and not b.sources_tried & 1
        if (
            b.sources_tried < 6
            and home != self.cfg.node_id
            and (not counter or self.rng.random() >= self.direct_share)
        ):
            self.seq += 1
            b.pending, b.sources_tried = 1, b.sources_tried + 2
            self.asked[self.seq] = (b, b.window, home)
            text = f"{b.first} {b.spread} {b.plan.name} {b.key}"
            self.tell(now, home, BORROW_REQUEST, self.seq, b.lease_size(1.0), text=text)
            self.at(now + self.peer_timeout_ms, self.missed, self.seq)
        elif counter:
            b.sources_tried |= 1
            self.borrow(now, b)
        else:
            self.recheck(now, b, True)

    # The time that all gateways agree on: without it, nothing is counted.

    def await_time(self, now: float, b: Bucket) -> None:
        """What waits here waits on while the counter is asked for the time; else the local share decides."""
        self.read_time(now, needed=True)
        if self.fleet_clock.is_resolving(now):
            b.pending = 1
            self.need_time.append(b)
        else:
            self.recheck(now, b, True)

    def read_time(self, now: float, needed: bool = False) -> None:
        self.count(self.fleet_clock.read(now, needed))

    def count(self, call: io.CounterAdd | None) -> None:
        if call is not None:
            self.actions.append(call)

    def on_stopping(self, now: float, _event: io.Stopping) -> None:
        self.count(self.fleet_clock.stop(now))

    def plan_read(self) -> None:
        if not self.read_planned:
            self.read_planned = True
            self.at(self.fleet_clock.next_read_at, self.planned_read, None)

    def planned_read(self, now: float, _arg) -> None:
        self.read_planned = False
        self.read_time(now)
        if not self.fleet_clock.has_pending_call():
            self.plan_read()  # one that was needed has put it off

    def on_time(self, now: float, e: io.CounterResult) -> None:
        known, before_ms = self.fleet_time.is_known, self.fleet_time.offset_ms
        call = self.fleet_clock.on_result(now, e)
        moved_ms = self.fleet_time.offset_ms - before_ms
        if self.fleet_time.is_known and (not known or abs(moved_ms) > MIN_OFFSET_CHANGE_MS):
            self.actions.append(io.Log(f"fleet time: own clock {self.fleet_time.offset_ms:+.0f} ms"))
        self.count(call)
        if call is None:
            self.plan_read()
        elif not self.fleet_time.is_known:
            return
        self.starts.on_offset_changed(self.tracked.values())
        waiting, self.need_time = self.need_time, []
        for b in waiting:
            if b.knows_window(now):
                b.pending = 0
                self.refill(now, b)
            elif self.fleet_clock.is_resolving(now):
                self.need_time.append(b)
            else:
                b.pending = 0
                self.recheck(now, b, True)
        if self.need_time:
            self.at(now + NEEDED_READ_INTERVAL_MS, self.read_needed_time, None)

    def read_needed_time(self, now: float, _arg) -> None:
        if self.need_time:
            self.read_time(now, needed=True)

    def turn(self, b: Bucket) -> float:
        """How much sooner or later than the next call what waits here gets its own: with calls scarce, those
        for large requests tell of more units, of worth and of quota."""
        most = max((x.cost for x in b.waiting), default=0)
        self.mean_cost += COST_WEIGHT * (most - self.mean_cost)
        return self.gap_ms * (min(CALL_SIZES, self.mean_cost / max(1, most)) - 1.0)

    def tell(self, now: float, peer: int, kind: int, nonce: int, amount: int, wait=0.0, text="") -> None:
        body = HEADER.pack(WIRE_VERSION, kind, nonce, min(amount, CLOCK), int(wait), self.message_clock(now))
        body += text.encode()
        if len(body) <= 252:
            self.actions.append(io.SendPeerMessage(body + zlib.crc32(body).to_bytes(4), peer))

    def on_peer(self, now: float, e: io.PeerMessage) -> None:
        """Believed only if whole, of this version and in time; no more is taken than was asked for, once."""
        body = e.payload[:-4]
        good = len(body) >= HEADER.size and zlib.crc32(body).to_bytes(4) == e.payload[-4:]
        if not good or body[0] != WIRE_VERSION:
            return
        _, kind, nonce, amount, wait, clock = HEADER.unpack_from(body)
        self.away.pop(e.sender, None)
        if kind == BORROW_REQUEST and (self.message_clock(now) - clock) & CLOCK < self.peer_timeout_ms / 2:
            parts = body[HEADER.size :].decode(errors="replace").split(" ", 3)
            if len(parts) == 4 and parts[2] in self.cfg.plans and (parts[0] + parts[1]).isdecimal():
                b = self.bucket(now, self.cfg.plans[parts[2]], parts[3], int(parts[0]), int(parts[1]))
                if b.home_rank and amount > 0:
                    self.admit(now, Ask(b, amount, e.sender, nonce))
        elif kind == BORROW_GRANT and self.asked.get(nonce, (None, 0, -1))[2] == e.sender:
            b, win, _ = self.asked.pop(nonce)
            b.advance(now)
            b.pending = 0
            if not amount:
                b.retry_at = now + min(wait, b.fill_ms)
            elif win == b.window:
                b.add_lease(now, min(amount, b.lease_size(1.0)))
            self.recheck(now, b, False)

    def message_clock(self, now: float) -> int:
        """When a message is sent, as it tells it: receivers pass over what was long on its way."""
        return int(now + self.fleet_time.offset_ms) & CLOCK

    def missed(self, now: float, nonce: int) -> None:
        """Twice no answer: passed over for a while, as it may be stopped, standing still or cut off."""
        if nonce in self.asked:
            b, _, home = self.asked.pop(nonce)
            self.away[home] = now + AWAY_MS if home in self.away else now  # one may have been lost on the way
            b.pending = 0
            self.refill(now, b)

    # The counter.

    def call(self, b: Bucket, kind: str, win: int, amount: int) -> None:
        name = f"{b.counter_name}/{win}"
        self.calls.setdefault(name, deque()).append((b, kind, win))
        self.actions.append(io.CounterAdd(name, amount / MILLI_PER_UNIT, MAX_COUNTER_TTL_MS))

    def borrow(self, now: float, b: Bucket) -> None:
        """One call: a lease for what waits, and with it what was let in or lapsed here since the last."""
        b.advance(now)
        b.lease, b.pending = b.lease_size(self.direct_share), 1
        self.next_call_at = max(self.next_call_at, now + self.gap_ms)
        self.call(b, "lease", b.window, b.lease + b.take_unreported())

    def on_count(self, now: float, e: io.CounterResult) -> None:
        if self.fleet_clock.owns(e.name):
            self.on_time(now, e)
            return
        line = self.calls.get(e.name)
        if not line:
            return
        b, kind, win = line.popleft()
        if not line:
            del self.calls[e.name]
        good = e.outcome is Outcome.OK and e.total is not None
        if e.outcome is Outcome.RESET or e.outcome is Outcome.OK and not good:  # the counter itself is well
            self.untold(now, b, kind, win, e.outcome is Outcome.OK)
            return
        self.direct_share = (
            min(1.0, self.direct_share + DIRECT_GAIN) if good else self.direct_share * DIRECT_LOSS
        )
        if good:
            self.way_ms = min(e.elapsed_ms, self.way_ms + WAY_WEIGHT * (e.elapsed_ms - self.way_ms))
        if good and e.elapsed_ms - self.way_ms > SLOW_SHARE * (self.cfg.counter_timeout_ms - self.way_ms):
            self.gap_ms, self.failing = min(GAP_MOST_MS, max(GAP_FIRST_MS, self.gap_ms * GAP_TIGHT)), False
        elif good:
            # Halved at each good call, doubled at each failed one, it would settle where every second fails.
            ease = 0.5 if self.gap_ms > self.gap_fit else GAP_EASE
            self.gap_ms, self.failing = self.gap_ms * ease if self.gap_ms > GAP_FIRST_MS else 0.0, False
        else:
            # Refused, silent, slow or crowded alike: fewer calls, and the local share meanwhile.
            self.gap_ms = min(GAP_MOST_MS, max(GAP_FIRST_MS, self.gap_ms * 2.0))
            if not self.failing:  # more in a row tell of a counter that is away, not of how much it bears
                self.gap_fit, self.failing = self.gap_ms, True
            self.next_call_at = max(self.next_call_at, now + self.gap_ms)
        self.note(now, "counter failing", self.gap_ms > 4 * GAP_FIRST_MS)
        self.counted(now, b, kind, win, good, round((e.total or 0.0) * MILLI_PER_UNIT))

    def untold(self, now: float, b: Bucket, kind: str, win: int, added: bool) -> None:
        """No total, as the answer was spoilt or its connection broke. What was added for a lease that is not
        known to fit is taken off with the next call, which may go to the counter again, once."""
        b.advance(now)
        if added and kind == "lease" and win == b.window:
            b.added += b.lease
            b.uncounted_tokens -= b.lease
        if not b.was_asked_again:
            b.was_asked_again, b.sources_tried = True, b.sources_tried & ~1
        self.counted(now, b, kind, win, False, 0)

    def counted(self, now: float, b: Bucket, kind: str, win: int, good: bool, total: int) -> None:
        b.advance(now)
        if kind == "prev":
            self.window_before(now, b, win, total if good else None)
        elif kind == "lease":
            b.pending = 0
            if good and win == b.window and self.settle(now, b, total):
                return
            if not good and b.waiting:
                self.refill(now, b)
            else:
                self.recheck(now, b, False)

    def window_before(self, now: float, b: Bucket, win: int, total: int | None) -> None:
        """How the window before ended has come, or failed to. Not known, it says nothing against what was
        taken from a quota; under a ceiling the lease goes back, and whoever comes next opens the window."""
        here = win == b.previous_window()
        at_stake = b.correction is not None and b.plan.ceiling_rate > 0
        if here and total is None and at_stake and b.previous_total_tries < OPENING_TRIES:
            b.previous_total_tries += 1
            self.call(b, "prev", win, 0)
            return
        amount = b.carry_over(total) if here and total is not None else 0
        opening, b.correction = b.correction, None
        if opening is None:
            self.put_right(b, amount)
            return
        b.pending = 0
        given_back = here and total is None and b.plan.ceiling_rate > 0
        if given_back:
            b.counted_window = NO_WINDOW
            self.put_right(b, opening - b.lease)
        elif here:
            self.keep_lease(now, b, opening + amount)
        self.recheck(now, b, given_back)

    def put_right(self, b: Bucket, amount: int) -> None:
        """Add to the count, or take off, where it has come away from the store."""
        if amount:
            self.call(b, "back", b.window, amount)
            b.added += amount

    def settle(self, now: float, b: Bucket, total: int) -> bool:
        """The borrow has answered: keep what fits, return the excess. Whoever opens a window has to hear how
        the one before ended: whether what waits here waits for that, which it does where more than a request
        of a quota is at stake."""
        trusted = b.is_filled
        opens, amount = b.apply_total(now, total)
        if trusted:
            self.overrun_share += COST_WEIGHT * ((b.level < 0) - self.overrun_share)
        if opens:
            self.call(b, "prev", b.previous_window(), 0)
        if opens and (b.plan.ceiling_rate > 0 or len(b.waiting) > 1):
            b.pending, b.correction, b.previous_total_tries = 1, amount, 1
            return True
        self.keep_lease(now, b, amount)
        return False

    def keep_lease(self, now: float, b: Bucket, amount: int) -> None:
        """Keep what the store holds of the lease. `amount` puts the count right beside that."""
        need = b.waiting[0].cost if b.waiting else 0
        keep = max(0, min(b.lease, int(b.level)))
        if b.has_thin_share and need:
            self.short_share += COST_WEIGHT * ((keep < need) - self.short_share)
        if keep < need:  # not even one request fits: try again when the store has refilled that far
            b.short_at = now
            wanted = max(need, SCARCE_SHARE * b.capacity) if self.gap_ms else need
            b.retry_at = now + max(self.cfg.tick_ms, min(b.fill_ms, (wanted - b.level) / b.rate))
            if b.home_rank and self.direct_share < 0.5:  # a few at a time, with fewer calls
                b.retry_at = max(b.retry_at, now + b.fill_ms * SHORT_WAIT)
            keep = 0
        b.add_lease(now, keep)
        if b.home_rank and self.direct_share < 0.5:  # with the next call: nobody else borrows for it
            b.uncounted_tokens -= b.lease - keep
        else:
            amount -= b.lease - keep
        self.put_right(b, amount)

    def recheck(self, now: float, b: Bucket, failed: bool) -> None:
        queue, b.waiting, b.sources_tried, b.was_asked_again = b.waiting, deque(), 0, False
        for req in (x for x in queue if not x.done):
            (self.alone if failed else self.admit)(now, req)

    # Backends.

    def on_backends(self, now: float, e: io.BackendsChanged) -> None:
        if e.kind is io.ListKind.FAILED:
            if self.cfg.must_poll:
                self.at(now + min(RESUBSCRIBE_MS, self.cfg.poll_interval_ms / 4), self.subscribe, None)
            return
        if e.kind is not io.ListKind.DELTA and self.pool.retain(entry.id for entry in e.backends):
            self.cold_pacer.on_backends_left(now)
        if self.limit <= 0:  # the first list
            self.remembered = bool(e.backends)
            if not self.cfg.clocks_in_sync:
                self.starts.load_first_list(e.backends)
            self.at(now + IDLE_MS, self.sweep, None)
            if not self.fleet_time.is_known:
                self.read_time(now)
            if self.cfg.must_poll:
                self.subscribe(now, None)
            self.limit = min(self.cfg.most_out, INITIAL_SLOTS * len(e.backends) / max(1, self.cfg.gateways))
        for entry in e.backends:
            server = self.tracked.get(entry.id)
            another = server is None or entry.started_ms != server.start_ms  # process: nothing is known of it
            if server is not None:
                if server.usable and (another or entry.state is not BackendState.UP):
                    self.cold_pacer.on_backends_left(now)
                self.pool.mark_unusable(server)
            if another:
                server = TrackedBackend(entry, now, self.rng.random())
                self.starts.record_start(server, now, self.max_age_ms(e))
            server.update(entry)
            (self.pool.mark_usable if entry.state is BackendState.UP else self.pool.mark_unusable)(server)
        if e.kind is io.ListKind.DELTA and self.send_rate <= 0.0:  # the first list may come in parts
            more = min(self.cfg.most_out, INITIAL_SLOTS * len(self.usable) / max(1, self.cfg.gateways))
            self.limit = max(self.limit, more)
        if self.send_rate <= 0.0:
            self.known = len(self.usable)
        self.pump(now)

    def max_age_ms(self, e: io.BackendsChanged) -> float:
        """How long ago what this list tells of for the first time can have started."""
        at_start = e.kind is io.ListKind.CACHED or not self.remembered and self.send_rate <= 0.0
        return math.inf if at_start or self.cfg.clocks_in_sync else DISCOVERY_DELAY_MS + e.outage_ms

    def subscribe(self, now: float, _arg) -> None:
        self.actions.append(io.Subscribe())

    def penalize(self, now: float, x: TrackedBackend, least: float) -> None:
        """No service: slow as the time waited in vain, twice as slow as before, forgotten with time. Guards
        against backends silent, gone, standing still, full, or failing at once and so looking idle and quick;
        where all look so, none is avoided. One merely slow answer sends work elsewhere for some seconds."""
        most = AVOID_TIMES * max(self.aim, self.mean_ms)
        x.has_failed = True
        x.latency_ms, x.latency_at = min(most, max(2.0 * x.expected_ms(now, self.mean_ms), least)), now
        self.note(now, "avoided", x.latency_ms == most, x.id)

    def borne(self) -> float:
        """Over how many backends at least the load of cold ones is worked out."""
        return min(1.0, RECENT_COUNT_FACTOR / max(self.cfg.fall_multiple, 1e-3)) * self.known

    def warm(self, now: float, x: TrackedBackend, warmth: float) -> bool:
        """Slow start: a cold backend gets its cold share of what a warm one gets from this gateway."""
        # Where most of the others have gone, the rest can bear no more for that.
        rate = self.send_rate / max(1.0, len(self.usable), self.borne()) * warmth
        return self.cold_pacer.may_send(x, now, rate)

    def draw(self, now: float, req: Request) -> list[TrackedBackend]:
        """Candidates out of many backends, each with odds by its present capacity. Of so many a gateway sees
        too little to tell which is loaded: the whole fleet's choices have to add up to what each can bear. A
        cold one has but one chance with each request, and is not weighed against others: it gets no more from
        the whole fleet where the others fail."""
        found: list[TrackedBackend] = []
        first, req.drawn = not req.drawn, True
        chance = len(self.usable) / max(self.capacity * len(self.usable), self.borne())
        for _ in range(SAMPLE_SIZE):
            x = self.usable[int(self.rng.random() * len(self.usable))]
            warmth = self.starts.warm_share(x, now)
            part = x.weight * warmth / self.pool.max_weight
            self.capacity += CAPACITY_WEIGHT * (part - self.capacity)
            part /= TRIAL_LOAD if x.has_failed else 1.0
            if warmth < 1.0 and first and self.rng.random() < part * chance:
                return [x]
            first = False
            if warmth >= 1.0 and self.rng.random() < part:
                found.append(x)
                if len(found) == CHOICES:
                    break
        return found

    def pick(self, now: float, req: Request) -> TrackedBackend | None:
        anchor, cls = req.anchor(), req.cls
        if (
            anchor is not None
            and cls.idempotency is Idempotency.KEYED
            and now >= anchor.sent + cls.key_ttl_ms * 0.95
        ):
            return None
        tried = {a.backend.id for a in req.attempts}
        pool = self.usable
        if anchor is not None and cls.idempotency is Idempotency.KEYED and cls.key_scope != "all":
            pool = self.pool.usable_in_same("zone" if cls.key_scope == "zone" else "cell", anchor.backend)
        large = pool is self.usable and len(pool) > SAMPLE_SIZE
        if large:
            pool = self.draw(now, req)
        elif len(pool) > SAMPLE_SIZE:
            pool = self.rng.sample(pool, SAMPLE_SIZE)
        best, best_score = None, float("inf")
        for x in pool:
            if x.id in tried:
                continue
            # What was drawn by its present capacity is not weighed by it once more.
            warmth, weight = (1.0, 1.0) if large else (self.starts.warm_share(x, now), x.weight)
            if warmth < 1.0 and not self.warm(now, x, warmth):
                continue
            # Told loads are old: all gateways would follow them to one backend.
            load = len(x.open_attempts) * (TRIAL_LOAD if x.has_failed else 1.0)
            # What may run again tries out a backend whose failure fades; the rest goes by the last seen.
            latency = x.expected_ms(
                now if cls.idempotency is Idempotency.SAFE else x.latency_at, self.mean_ms
            )
            score = (load + 1.0) * latency / (weight * warmth) * (1.0 + 0.02 * self.rng.random())
            score *= CROSS_MALUS if x.zone != self.cfg.zone and self.cfg.cross_zone_price > 0 else 1.0
            if score < best_score:
                best, best_score = x, score
        return best

    def dispatch(self, now: float, req: Request, spare: bool = False) -> None:
        free = self.free(now)
        self.pressed = self.pressed or not free
        server = self.pick(now, req) if free else None
        ahead = sum(1 for key, _, other in self.ready if key <= -req.price and not other.done)
        queue_ms = (ahead + max(0.0, 1.0 - self.credit)) * self.mean_ms / max(self.limit, 1e-3)
        if server is not None:
            self.send(now, req, server)
        elif spare:
            self.finish(now, req, io.Reject(req.id))
        elif now + queue_ms * HOLD_ODDS >= req.aim - self.mean_ms - self.dev_ms:
            self.end(now, req)  # at once, rather than after a wait in vain
        else:
            self.seq += 1
            heapq.heappush(self.ready, (-req.price, self.seq, req))
            self.pace(now)
            self.at(req.aim - self.mean_ms - self.dev_ms, self.give_up, req)

    def free(self, now: float) -> bool:
        """A small limit is kept as a pace: rounded up to one at each gateway it would bound nothing."""
        gain = self.limit / self.mean_ms * (now - self.credit_at)
        self.credit, self.credit_at = min(PACE_BURST, self.credit + gain), now
        if self.limit >= PACE_BURST:
            return self.attempts_out < self.limit
        return self.attempts_out < min(PACE_BURST, self.cfg.most_out) and self.credit >= 1.0 - 1e-6

    def send(self, now: float, req: Request, server: TrackedBackend) -> None:
        attempt = Attempt(server, len(req.attempts), now)
        if not req.attempts:
            self.retry_tokens = min(HEDGE_BURST, self.retry_tokens + HEDGE_SHARE)
            rate = self.send_rate * 0.5 ** ((now - self.rate_at) / MEMORY_MS)
            self.send_rate, self.rate_at = rate + 0.693 / MEMORY_MS, now
            self.known += CAPACITY_WEIGHT * (len(self.usable) - self.known)
        req.attempts.append(attempt)
        key = (req.id, attempt.no)
        self.in_flight[key] = (attempt, req)
        server.open_attempts[key] = now
        self.attempts_out += 1
        self.credit = max(0.0, self.credit - 1.0)
        req.bucket.open_count += 1
        server.cold_tokens -= 1.0
        self.actions.append(io.Send(req.id, server.id, req.deadline))
        self.at(now + self.mean_ms + RTO_DEVS * self.dev_ms, self.hedge, (req, attempt))

    def hedge(self, now: float, arg) -> None:
        """No answer within the usual time: the backend is avoided, and a second copy sent where allowed; none
        while all backends are slow, as copies would make them slower still."""
        req, attempt = arg
        if attempt.out and attempt.backend.last_heard_at < attempt.sent:
            self.penalize(now, attempt.backend, now - attempt.sent)
        copy = self.cfg.may_duplicate and req.cls.idempotency is not Idempotency.UNSAFE and not req.stream
        crowded = self.attempts_out >= max(2.0, self.limit) or self.slowness > TARGET_AIM
        if attempt.out and copy and not req.done and not crowded:
            self.again(now, req)

    def again(self, now: float, req: Request, free: bool = False) -> bool:
        """A further attempt; free after one that never ran, as it cost the backends nothing."""
        spent = len(req.attempts) >= self.cfg.most_attempts or not free and self.retry_tokens < 1.0
        server = None if spent or now > req.aim - self.mean_ms / 2 else self.pick(now, req)
        if server is None:
            return False
        self.retry_tokens -= 0.0 if free else 1.0
        self.send(now, req, server)
        return True

    def on_ended(self, now: float, e: io.AttemptEnded) -> None:
        attempt, req = self.in_flight.pop((e.request, e.attempt), (None, None))
        if attempt is None:
            return
        server, b = attempt.backend, req.bucket
        server.open_attempts.pop((e.request, e.attempt), None)
        self.attempts_out -= 1
        attempt.out, attempt.may_run = False, e.outcome not in NEVER_RAN
        b.open_count -= 1
        self.learn(now, server, req, e)
        self.steer(now, req, e)
        if e.final and not req.done:
            if e.settled_units is not None and self.cfg.has_settled_units:
                b.tokens -= round(e.settled_units * MILLI_PER_UNIT) - req.cost
            self.finish(now, req, None)
        elif not req.done and not any(a.out for a in req.attempts):
            again = req.anchor() is None or req.cls.idempotency is not Idempotency.UNSAFE
            if not (again and self.again(now, req, free=e.outcome in NEVER_RAN)):
                self.end(now, req)
        if b.gated:
            gate, b.gated = b.gated, deque()
            for held in (x for x in gate if not x.done):
                self.granted(now, held)
        self.pump(now)

    def learn(self, now: float, x: TrackedBackend, req: Request, e: io.AttemptEnded) -> None:
        if e.outcome not in (Outcome.TIMEOUT, Outcome.CANCELLED, Outcome.NOT_SENT):
            x.last_heard_at = now
        if e.outcome in (Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.OVERLOADED):
            self.penalize(now, x, 0.0)
        elif e.outcome in (Outcome.UNUSABLE_RESPONSE, Outcome.RESET):
            # Any backend's answers may be, and kept connections end; where nearly all do, it is avoided. One
            # that died refuses the next connection.
            x.unusable_responses += 1
            if x.unusable_responses > SPOILT_MOST:
                self.penalize(now, x, 0.0)
        elif e.outcome is Outcome.OK:
            x.unusable_responses = 0
            self.note(now, "avoided", False, x.id)
            took = e.elapsed_ms
            fresh, x.has_failed = x.has_failed or not x.latency_ms, False  # one good answer ends an ejection
            before = self.mean_ms if fresh else x.expected_ms(now, self.mean_ms)
            weight = 0.5 if fresh else 0.15
            x.latency_ms, x.latency_at = before + weight * (took - before), now
            weight = max(0.03, 0.5 * (now - self.mean_at) / (now - self.mean_at + MEMORY_MS))
            self.mean_at = now
            self.dev_ms += weight * (abs(took - self.mean_ms) - self.dev_ms)
            self.mean_ms += weight * (took - self.mean_ms)

    def steer(self, now: float, req: Request, e: io.AttemptEnded) -> None:
        """The limit on own attempts out follows how much of their aims the answers take."""
        ratio = min(1.0, e.elapsed_ms / req.cls.target_latency_ms)
        answered = e.outcome in (Outcome.OK, Outcome.ERROR, Outcome.TIMEOUT, Outcome.UNUSABLE_RESPONSE)
        if answered or e.outcome is Outcome.CANCELLED and ratio > self.slowness:
            gap, self.answer_at = now - self.answer_at, now
            self.slowness += max(0.05, gap / (gap + MEMORY_MS)) * (ratio - self.slowness)
        if now - self.limit_at < self.mean_ms:
            return
        steps, self.limit_at = min(5.0, (now - self.limit_at) / self.mean_ms), now
        self.note(now, "backends crowded", self.slowness > 1.2 * TARGET_AIM)
        if self.slowness > TARGET_AIM:
            # Where one attempt for each backend is slow, the work itself is, and refusing makes it no faster.
            least = len(self.usable) / max(1, self.cfg.gateways)
            self.limit = max(least, self.limit * max((1.0 - FLEET_STEP) ** steps, TARGET_AIM / self.slowness))
        elif self.pressed or self.attempts_out + 1 >= max(2.0, self.limit * 0.7):
            step = self.limit * FLEET_STEP
            self.limit += max(min(0.5, step), step * (1.0 - self.slowness / TARGET_AIM)) * steps
            self.pressed = False
        self.limit = min(self.cfg.most_out, self.limit)

    def pump(self, now: float, _arg=None) -> None:
        while self.ready and self.free(now):
            req = self.ready[0][2]
            gone = req.done or bool(req.attempts)
            server = None if gone else self.pick(now, req)
            if server is None and not gone:
                return
            heapq.heappop(self.ready)
            if server is not None:
                self.send(now, req, server)
        self.pace(now)

    def pace(self, now: float) -> None:
        if self.ready and self.limit < PACE_BURST and self.pace_at <= now and self.credit < 1.0 - 1e-6:
            self.pace_at = now + self.cfg.tick_ms + (1.0 - self.credit) * self.mean_ms / max(self.limit, 1e-3)
            self.at(self.pace_at, self.pump, None)

    def give_up(self, now: float, req: Request) -> None:
        if (
            not req.done
            and not req.stream
            and (not req.attempts or now >= req.deadline - 2 * self.cfg.tick_ms)
        ):
            self.end(now, req)

    def end(self, now: float, req: Request) -> None:
        self.finish(now, req, io.Reject(req.id) if req.may_refuse() else io.Fail(req.id))

    def finish(self, now: float, req: Request, answer) -> None:
        """The one exit of a request."""
        req.done = True
        self.requests.pop(req.id, None)
        if req.paid and not req.attempts:  # never sent on: not used
            req.bucket.tokens += req.paid
            req.bucket.spend(-req.paid)
        if answer is not None:
            self.actions.append(answer)
        if self.cfg.may_cancel:
            self.actions += [io.Cancel(req.id, a.no) for a in req.attempts if a.out]

    def on_left(self, now: float, e: io.ClientDisconnected) -> None:
        if e.request in self.requests:
            self.finish(now, self.requests[e.request], None)

    def on_stream(self, now: float, e: io.StreamStarted) -> None:
        if e.request in self.requests:
            self.requests[e.request].stream = True

    def sweep(self, now: float, _arg) -> None:
        self.at(now + IDLE_MS, self.sweep, None)
        self.buckets = {
            key: b
            for key, b in self.buckets.items()
            if now - b.last_used_at <= (KEEP_MS if b.is_filled else max(IDLE_MS, 2 * b.fill_ms))
            or b.pending
            or b.open_count
            or b.waiting
            or b.gated
        }
        self.starts.forget(self.pool.sweep())
        self.logged = {key: x for key, x in self.logged.items() if not key[1] or key[1] in self.tracked}
