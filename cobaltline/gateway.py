"""Decides for one gateway; settings, events and actions are defined in `cobaltline/interface.py`.

The decisions are about quotas, choice of a backend, retries, hedging and the limit on attempts in flight.
`Gateway` does no I/O: the host passes in events with their time and carries out the actions that it returns.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque

from . import interface as io
from .backend_pool import BackendPool
from .borrow_message import BORROW_GRANT, BORROW_REQUEST, MAX_UINT32, BorrowMessage
from .clock_checkpoint import ClockCheckpoint
from .customer_table import CustomerTable
from .fleet_clock import NEEDED_READ_INTERVAL_MS, FleetClock
from .fleet_time import MAX_COUNTER_TTL_MS, FleetTime
from .interface import NEVER_RAN, BackendState, Idempotency, Outcome
from .open_request import Attempt, PeerBorrow, Request
from .quota import MILLI_PER_UNIT, NO_WINDOW, TRUST_SHARE, Bucket
from .slow_start import DISCOVERY_DELAY_MS, MIN_OFFSET_CHANGE_MS, RECENT_COUNT_FACTOR, ColdPacer, StartTimes
from .timer_queue import TimerQueue
from .tracked_backend import TrackedBackend

# Borrowing, counter calls and timeouts
DIRECT_SHARE_GAIN = 0.002  # added by a successful counter call to the share of borrows sent to the counter
DIRECT_SHARE_FAILURE_FACTOR = 0.5  # applied to that share by a failed call; home gateways get the rest
HOME_RETRY_SHARE = 0.125  # of the bucket's fill time: shortest wait of a home gateway after a short borrow
PEER_SKIP_MS = 1000.0  # a home gateway that does not answer is skipped this long or until its next message
MIN_CALL_GAP_MS = 8.0  # between counter calls after a first failure; doubles with each further one
MAX_CALL_GAP_MS = 800.0  # bounds the time until a counter that has recovered is called again
GAP_DECREASE_FACTOR = 0.93  # applied to the call gap after a success, if the gap is at most `failure_gap_ms`
GAP_INCREASE_FACTOR = 1.1  # applied to the call gap after a successful but slow call
CONGESTED_DELAY_SHARE = 0.5  # of the counter timeout less the round trip: a longer delay indicates a queue
COUNTER_RTT_WEIGHT = 0.01  # of a slower answer in the round-trip estimate; the counter may have moved away
MAX_CALL_DELAY_GAPS = 4.0  # longest delay of a small request's counter call, in call gaps
THROTTLED_REFILL_SHARE = 0.5  # of the bucket: level awaited before a retry while counter calls are spaced
MAX_OVERRUN_COST_SHARE = 0.03  # of a counter call's price: expected overrun cost accepted to save the call
INITIAL_OVERRUN_SHARE = 0.05  # initial value of `Gateway.overrun_share`
MAX_UNCOUNTED_REQUESTS = 8  # requests of a customer admitted before a counter call reports them
BORROW_AVERAGE_WEIGHT = 0.02  # of one sample in the running means over borrows
TIMEOUT_DEVIATIONS = 4.0  # above the mean latency, an answer of a backend is overdue, as in TCP
MAX_PREVIOUS_TOTAL_TRIES = 3  # counter calls for the total of the previous window

# Retries, hedging and the choice of a backend
RETRY_TOKENS_PER_REQUEST = 0.1  # added to the budget of retries and hedges
MAX_RETRY_TOKENS = 10.0
MAX_PENALTY_FACTOR = 8.0  # highest latency assumed of a failing backend, in target latencies
# Weight of open attempts at a backend whose last attempt failed: few at a time try it until one succeeds.
FAILED_LOAD_FACTOR = 4.0
MAX_UNUSABLE_RESPONSES = 3  # in a row, without a penalty for the backend
CROSS_ZONE_FACTOR = 1.15  # applied to the latency of backends in other zones if that traffic has a price
# With more backends than this, candidates are sampled: own attempts say too little about each.
SAMPLE_SIZE = 24
MAX_CANDIDATES = 6  # drawn by present capacity
CAPACITY_AVERAGE_WEIGHT = 0.02  # of one sample in the means of capacity and of the number of usable backends

# Limit on the attempts in flight
OVERLOAD_LATENCY_SHARE = 0.32  # of the target latency: above this, the backends count as overloaded
INITIAL_ATTEMPTS_PER_BACKEND = 2.0  # limit at the start, all gateways together
QUEUE_WAIT_FACTOR = 1.5  # margin on the expected wait of a request that is queued
PACING_LIMIT = 3.0  # a limit below this is enforced as a rate, with bursts of this size
AVERAGING_MS = 2000.0  # half-life of the send rate; time over which sparse answers are averaged
LIMIT_STEP_SHARE = 0.1  # largest change of the limit within one mean latency

# Timers, random numbers and cleanup
STALL_MS = 100.0  # a timer that fires later than this indicates that the gateway process stalled
CLOCK_SEED_MASK = 0x5BD1E995  # gives the fleet clock a random sequence of its own
NONCE_SEED_MASK = 0x27D4EB2F  # the same for the first nonce
SWEEP_INTERVAL_MS = 10000.0  # between two searches for idle customers and backends that have left
MAX_RESUBSCRIBE_DELAY_MS = 2500.0  # after a failed request for the list; changes must be followed within 6 s


class Gateway:
    """The decision module of one gateway process.

    The host calls `handle` for every event, in order, and carries out the returned actions. All random
    choices follow from `seed`: the same settings, seed and events give the same actions. Times are in ms of
    the host's clock.
    """

    def __init__(self, settings: io.Settings, seed: int):
        self.settings, self.rng = settings, random.Random(seed)
        self.fleet_time = FleetTime(is_known=settings.clocks_in_sync or not settings.counter)
        clock_random = random.Random(seed ^ CLOCK_SEED_MASK)
        origin_ms = settings.clock_origin_ms
        checkpoint = None if origin_ms is None else ClockCheckpoint(settings.node_id, origin_ms)
        self.fleet_clock = FleetClock(self.fleet_time, settings.gateways, clock_random, checkpoint)
        self.is_time_read_scheduled = False  # a timer is set for the next read
        self.start_times = StartTimes(settings, self.fleet_time)
        self.cold_pacer = ColdPacer(settings, self.rng)
        self.waiting_for_time: list[Bucket] = []  # their requests wait for the fleet's time
        self.customers = CustomerTable(settings.max_customers)
        self.buckets = self.customers.buckets
        self.requests: dict[str, Request] = {}
        self.in_flight: dict[tuple[str, int], tuple[Attempt, Request]] = {}  # by request and attempt number
        self.pool = BackendPool()
        self.tracked: dict[str, TrackedBackend] = self.pool.by_id
        self.usable: list[TrackedBackend] = self.pool.usable
        self.first_list_had_backends = False  # set by the first list
        self.mean_capacity = 1.0  # of usable backends at present, relative to the heaviest
        self.mean_usable_count = 0.0  # running mean over requests
        self.calls: dict[str, deque] = {}  # counter calls without a result, by name
        # heap of requests that wait for a free attempt, the highest priority first
        self.send_queue: list[tuple[float, int, Request]] = []
        self.timers = TimerQueue()
        self.wake_at, self.seq = float("inf"), 0
        self.min_target_ms = min((c.target_latency_ms for c in settings.classes.values()), default=1000.0)
        # initial estimates of the latency of all backends
        self.mean_latency_ms, self.latency_dev_ms, self.mean_latency_at = (
            0.2 * self.min_target_ms,
            0.1 * self.min_target_ms,
            0.0,
        )
        self.send_rate, self.send_rate_at = 0.0, 0.0  # first attempts per ms
        # attempts in flight; their limit; mean latency as a share of the target latency
        self.attempts_out, self.attempt_limit, self.latency_share, self.attempt_limit_at = (
            0,
            0.0,
            OVERLOAD_LATENCY_SHARE / 2,
            0.0,
        )
        # attempts allowed while the limit is enforced as a rate; when that was computed; next paced send
        self.send_credit, self.send_credit_at, self.paced_send_at = PACING_LIMIT, 0.0, 0.0
        self.is_limit_reached, self.last_answer_at = False, 0.0
        self.retry_tokens = MAX_RETRY_TOKENS / 2
        # gap between counter calls; when the next is allowed; share of borrows sent to the counter
        self.call_gap_ms, self.next_call_at, self.direct_share = 0.0, 0.0, 1.0
        # gap after the latest failure that followed a success
        self.failure_gap_ms, self.last_call_failed = 0.0, False
        # mean cost of what waits for a counter call; share of borrows that found too few tokens
        self.mean_waiting_cost, self.short_share = float(MILLI_PER_UNIT), 0.0
        # estimated round-trip time of the counter without queueing
        self.counter_rtt_ms = settings.counter_timeout_ms
        # share of counts that found the bucket overdrawn although it was thought well filled
        self.overrun_share = INITIAL_OVERRUN_SHARE
        # Random, so that a grant meant for an earlier process of this gateway matches no borrow of this one.
        self.last_nonce = random.Random(seed ^ NONCE_SEED_MASK).getrandbits(32)
        # by nonce: bucket, window, home gateway
        self.pending_peer_borrows: dict[int, tuple[Bucket, int, int]] = {}
        # by gateway, after a missing answer
        self.peer_skipped_until: dict[int, float] = {}
        # wait for the answer of a home gateway
        self.peer_timeout_ms = 2.0 * settings.counter_timeout_ms + 10.0 * settings.tick_ms
        # by state and backend: last value logged, and when
        self.logged_states: dict[tuple[str, str], tuple[bool, float]] = {}
        self.handlers = {
            io.RequestArrived: self.on_request_arrived,
            io.AttemptEnded: self.on_attempt_ended,
            io.CounterResult: self.on_counter_result,
            io.BackendsChanged: self.on_backends_changed,
            io.ClientDisconnected: self.on_client_disconnected,
            io.PeerMessage: self.on_peer_message,
            io.Stopping: self.on_stopping,
            io.StreamStarted: self.on_stream_started,
        }

    def handle(self, now_ms: float, event) -> list:
        """Process one event at `now_ms` and return the actions to carry out, in order.

        Timers that are due run first. An event of an unknown type is ignored.
        """
        self.actions, now = [], now_ms
        while (timer := self.timers.pop_due(now)) is not None:
            if now - timer.due > STALL_MS and timer.callback != self.give_up:
                # After a stall of this process, events that arrived meanwhile are handled first.
                self.schedule(now + self.settings.tick_ms, timer.callback, timer.argument)
            else:
                timer.callback(now, timer.argument)
        # The host may round the delay down and fire the timer slightly early.
        if self.wake_at <= now + 0.01:
            self.wake_at = float("inf")
        if type(event) in self.handlers:
            self.handlers[type(event)](now, event)
        next_due = self.timers.next_due()
        if next_due is not None and next_due < self.wake_at:
            self.wake_at = next_due
            self.actions.append(io.SetTimer("wake", max(0.0, self.wake_at - now)))
        return self.actions

    def schedule(self, due: float, callback, argument) -> None:
        """Call `callback(now, argument)` at the time `due`."""
        self.timers.schedule(due, callback, argument)

    def schedule_give_up(self, due: float, request: Request) -> None:
        """Call `give_up` for a request at the time `due`, unless it has ended by then."""
        request.timers.append(self.timers.schedule(due, self.give_up, request))

    def log_state(self, now: float, state: str, is_active: bool, backend: str = "") -> None:
        """Log when a state begins and ends, at most once a second for each state and backend."""
        was_active, logged_at = self.logged_states.get((state, backend), (False, -1e9))
        if is_active != was_active and now - logged_at >= 1000.0:
            self.logged_states[state, backend] = (is_active, now)
            self.actions.append(io.Log(f"{backend} {state}: {'begins' if is_active else 'ends'}".lstrip()))

    # Admission of requests

    def on_request_arrived(self, now: float, event: io.RequestArrived) -> None:
        """Admit a new request; one of an unknown plan is rejected."""
        plan = self.settings.plans.get(event.plan)
        if plan is None:
            self.actions.append(io.Reject(event.request))
            return
        bucket = self.find_bucket(now, plan, event.customer, event.first_gateway, event.spread)
        bucket.record_arrival(now)
        request = Request(event, self.settings.classes.get(event.kind) or io.RequestClass(), bucket, now)
        self.requests[request.id] = request
        self.schedule_give_up(request.deadline_at - 2 * self.settings.tick_ms, request)
        self.admit(now, request)

    def find_bucket(
        self, now: float, plan: io.Plan, customer: str, first_gateway: int, spread: int
    ) -> Bucket:
        """The customer's bucket, created on first use."""
        bucket = self.customers.get(plan.name, customer, now)
        if bucket is None:
            bucket = Bucket(customer, plan, first_gateway, spread, self.settings, now, self.fleet_time)
            for evicted in self.customers.add(bucket):
                self.settle_evicted(now, evicted)
        return bucket

    def settle_evicted(self, now: float, bucket: Bucket) -> None:
        """Count what an evicted bucket admitted and did not count, and return the tokens that it holds."""
        bucket.advance(now)
        if not self.call_gap_ms and bucket.knows_window(now):
            bucket.expired_tokens += max(0, bucket.tokens)
            self.adjust_count(bucket, bucket.take_unreported())

    def admit(self, now: float, request: Request | PeerBorrow) -> None:
        """Charge a request to its bucket, or let it wait for tokens.

        Without tokens, a request is admitted at once if it may be counted later; otherwise tokens are
        borrowed, unless the retry time given by the last borrow is still ahead.
        """
        bucket = request.bucket
        bucket.advance(now)
        if bucket.rate <= 0 or not bucket.waiting and bucket.tokens >= request.cost:
            request.charged = request.cost
            bucket.tokens -= request.cost
            bucket.spend(request.cost)
            self.on_granted(now, request)
        elif (
            not isinstance(request, PeerBorrow)
            and self.may_count_later(bucket, request.cost)
            and bucket.take_spare(now, request.cost)
        ):
            bucket.spend(request.cost)
            bucket.uncounted_tokens += request.cost
            bucket.uncounted_requests += 1
            self.on_granted(now, request)
            # Count now, so that the next request need not wait.
            must_count = bucket.quick_streak or not self.may_count_later(bucket, request.cost)
            if must_count and not bucket.pending and bucket.knows_window(now):
                self.borrow_from_counter(now, bucket)
        elif bucket.pending:
            bucket.waiting.append(request)
        elif now < bucket.retry_at:
            self.on_borrow_refused(now, request)
        else:
            bucket.waiting.append(request)
            self.request_tokens(now, bucket)

    def may_count_later(self, bucket: Bucket, cost: int) -> bool:
        """Whether a request may be admitted at once and counted afterwards.

        The bucket was well filled when last seen, and the request fits this gateway's part of it. Where that
        part is smaller than the request, the expected cost of an overrun must be low compared with the
        price of a counter call.
        """
        if not bucket.is_filled or bucket.quick_streak > 1 or self.call_gap_ms > 4.0 * MIN_CALL_GAP_MS:
            return False
        uncounted = bucket.uncounted_tokens + cost
        if uncounted <= TRUST_SHARE * bucket.level * bucket.share:
            return True
        is_cheap = (
            self.overrun_share * bucket.plan.overrun_cost
            <= MAX_OVERRUN_COST_SHARE * self.settings.counter_price
        )
        return (
            is_cheap
            and bucket.uncounted_requests < MAX_UNCOUNTED_REQUESTS
            and uncounted <= TRUST_SHARE * bucket.level
        )

    def on_granted(self, now: float, request: Request | PeerBorrow) -> None:
        """Dispatch a request that is within the rate, or answer a peer's borrow.

        A plan with a concurrency limit may hold the request until one of its attempts ends.
        """
        if isinstance(request, PeerBorrow):
            self.send_peer_message(now, request.peer, BORROW_GRANT, request.nonce, request.cost)
        elif request.bucket.plan.max_concurrency and request.bucket.open_count >= request.bucket.max_open:
            request.bucket.gated.append(request)
            self.schedule_give_up(request.target_at - self.mean_latency_ms, request)
        else:
            self.dispatch(now, request)

    def on_borrow_refused(self, now: float, request: Request | PeerBorrow) -> None:
        """Handle a refusal by the source of tokens.

        While the counter fails, the refusal comes from a home gateway, which grants no more than its own part
        of the unconfirmed grants under a ceiling. This gateway may still use its own part for its own
        requests.
        """
        may_use_own_share = (
            request.bucket.plan.ceiling_rate > 0
            and self.call_gap_ms > MIN_CALL_GAP_MS
            and not isinstance(request, PeerBorrow)
        )
        (self.decide_locally if may_use_own_share else self.on_over_quota)(now, request)

    def decide_locally(self, now: float, request: Request | PeerBorrow) -> None:
        """Decide by the local share of the quota while no source of tokens can be asked."""
        fits = request.bucket.take_local(
            now, request.cost, self.rng.random(), self.short_share, self.mean_waiting_cost
        )
        (self.on_granted if fits else self.on_over_quota)(now, request)

    def on_over_quota(self, now: float, request: Request | PeerBorrow) -> None:
        """Reject a request beyond the quota, unless the plan pays for excess and backends have capacity."""
        bucket, plan = request.bucket, request.bucket.plan
        if isinstance(request, PeerBorrow):
            # Each peer gets its own retry time, so that they do not all return at once.
            bucket.promised_at = min(
                max(bucket.promised_at, bucket.retry_at, now) + request.cost / bucket.rate,
                now + bucket.fill_ms / 2,
            )
            self.send_peer_message(
                now, request.peer, BORROW_GRANT, request.nonce, 0, max(1.0, bucket.promised_at - now)
            )
        elif (
            plan.excess_worth > plan.overrun_cost
            and not self.send_queue
            and bucket.take_spare(now, request.cost)
        ):
            self.dispatch(now, request, is_over_quota=True)
        else:
            retry_after_ms = max(0.0, bucket.retry_at - now) if self.settings.may_advise else 0.0
            self.finish(
                now, request, io.Reject(request.id, min(retry_after_ms, self.settings.most_retry_after_ms))
            )

    # Sources of tokens: the counter, or a home gateway of the customer while the counter fails

    def request_tokens(self, now: float, bucket: Bucket) -> None:
        """Borrow for all that waits in a bucket, from the counter or a home gateway.

        While counter calls fail, borrows go to home gateways, which borrow for the whole set of gateways of a
        customer. That keeps load off a counter that is down, slow or congested, at the price of two messages
        for each borrow and a timeout where the home gateway does not answer.
        """
        if not bucket.knows_window(now):
            self.wait_for_time(now, bucket)
            return
        reachable = (
            h
            for h in bucket.homes
            if h == self.settings.node_id or self.peer_skipped_until.get(h, 0.0) <= now
        )
        # A borrow that a peer requested is not passed on to another home gateway.
        home = (
            self.settings.node_id
            if any(isinstance(waiting, PeerBorrow) for waiting in bucket.waiting)
            else next(reachable, self.settings.node_id)
        )
        may_call_counter = (
            self.settings.counter
            and now >= self.next_call_at + self.call_delay_ms(bucket)
            and not bucket.sources_tried & 1
        )
        if (
            bucket.sources_tried < 6
            and home != self.settings.node_id
            and (not may_call_counter or self.rng.random() >= self.direct_share)
        ):
            nonce = self.last_nonce = (self.last_nonce + 1) & MAX_UINT32
            bucket.pending, bucket.sources_tried = 1, bucket.sources_tried + 2
            self.pending_peer_borrows[nonce] = (bucket, bucket.window, home)
            text = f"{bucket.first} {bucket.spread} {bucket.plan.name} {bucket.key}"
            self.send_peer_message(now, home, BORROW_REQUEST, nonce, bucket.lease_size(1.0), text=text)
            self.schedule(now + self.peer_timeout_ms, self.on_peer_timeout, nonce)
        elif may_call_counter:
            bucket.sources_tried |= 1
            self.borrow_from_counter(now, bucket)
        else:
            self.retry_waiting(now, bucket, True)

    # The fleet's time, which all gateways share and by which the quota windows are numbered

    def wait_for_time(self, now: float, bucket: Bucket) -> None:
        """Hold what waits until the fleet's time is known; decide locally if it cannot be read now."""
        self.read_fleet_time(now, needed=True)
        if self.fleet_clock.is_resolving(now):
            bucket.pending = 1
            self.waiting_for_time.append(bucket)
        else:
            self.retry_waiting(now, bucket, True)

    def read_fleet_time(self, now: float, needed: bool = False) -> None:
        """Let the fleet clock read its timestamp on the counter; `needed` if requests wait for the time."""
        self.send_time_call(self.fleet_clock.read(now, needed))

    def send_time_call(self, call: io.CounterAdd | None) -> None:
        """Emit a counter call of the fleet clock, if there is one."""
        if call is not None:
            self.actions.append(call)

    def on_stopping(self, now: float, _event: io.Stopping) -> None:
        """Store a checkpoint of the fleet's time for the next process."""
        self.send_time_call(self.fleet_clock.stop(now))

    def schedule_time_read(self) -> None:
        """Set a timer for the next regular read of the fleet's time."""
        if not self.is_time_read_scheduled:
            self.is_time_read_scheduled = True
            self.schedule(self.fleet_clock.next_read_at, self.on_time_read_due, None)

    def on_time_read_due(self, now: float, _argument) -> None:
        """Read the fleet's time at a regular interval."""
        self.is_time_read_scheduled = False
        self.read_fleet_time(now)
        if not self.fleet_clock.has_pending_call():
            # A read for a waiting request has postponed this one.
            self.schedule_time_read()

    def on_time_result(self, now: float, event: io.CounterResult) -> None:
        """Pass a result to the fleet clock, and resume the buckets that wait for the time."""
        was_known, old_offset_ms = self.fleet_time.is_known, self.fleet_time.offset_ms
        call = self.fleet_clock.on_result(now, event)
        moved_ms = self.fleet_time.offset_ms - old_offset_ms
        if self.fleet_time.is_known and (not was_known or abs(moved_ms) > MIN_OFFSET_CHANGE_MS):
            self.actions.append(io.Log(f"fleet time: own clock {self.fleet_time.offset_ms:+.0f} ms"))
        self.send_time_call(call)
        if call is None:
            self.schedule_time_read()
        elif not self.fleet_time.is_known:
            return
        self.start_times.on_offset_changed(self.tracked.values())
        waiting, self.waiting_for_time = self.waiting_for_time, []
        for bucket in waiting:
            if bucket.knows_window(now):
                bucket.pending = 0
                self.request_tokens(now, bucket)
            elif self.fleet_clock.is_resolving(now):
                self.waiting_for_time.append(bucket)
            else:
                bucket.pending = 0
                self.retry_waiting(now, bucket, True)
        if self.waiting_for_time:
            self.schedule(now + NEEDED_READ_INTERVAL_MS, self.retry_needed_time_read, None)

    def retry_needed_time_read(self, now: float, _argument) -> None:
        """Read the fleet's time again while requests wait for it."""
        if self.waiting_for_time:
            self.read_fleet_time(now, needed=True)

    def call_delay_ms(self, bucket: Bucket) -> float:
        """The delay of a bucket's call relative to the next allowed one, in ms; negative for an earlier call.

        With calls spaced, those for large requests come first: they count more units and are worth more.
        """
        max_cost = max((waiting.cost for waiting in bucket.waiting), default=0)
        self.mean_waiting_cost += BORROW_AVERAGE_WEIGHT * (max_cost - self.mean_waiting_cost)
        return self.call_gap_ms * (min(MAX_CALL_DELAY_GAPS, self.mean_waiting_cost / max(1, max_cost)) - 1.0)

    def send_peer_message(
        self, now: float, peer: int, kind: int, nonce: int, amount: int, wait_ms=0.0, text=""
    ) -> None:
        """Send a borrow request or a grant to another gateway; one that is too long is dropped.

        `amount` is in milli-tokens. A grant of 0 is a refusal, and `wait_ms` the time until a retry.
        """
        message = BorrowMessage(kind, nonce, amount, int(wait_ms), self.message_clock(now), text)
        payload = message.encode()
        if payload is not None:
            self.actions.append(io.SendPeerMessage(payload, peer))

    def on_peer_message(self, now: float, event: io.PeerMessage) -> None:
        """Handle a borrow request or a grant from another gateway.

        A message is ignored if it is damaged, of another version or too old. A grant is accepted once, from
        the gateway that was asked, and for no more than was asked for.
        """
        message = BorrowMessage.decode(event.payload)
        if message is None:
            return
        self.peer_skipped_until.pop(event.sender, None)
        if message.kind == BORROW_REQUEST:
            self.on_borrow_request(now, event.sender, message)
        elif message.kind == BORROW_GRANT:
            self.on_borrow_grant(now, event.sender, message)

    def on_borrow_request(self, now: float, sender: int, message: BorrowMessage) -> None:
        """Admit a borrow that another gateway requests, if this one is a home gateway of the customer."""
        age_ms = (self.message_clock(now) - message.sent_clock) & MAX_UINT32
        parts = message.text.split(" ", 3)
        is_valid = len(parts) == 4 and parts[2] in self.settings.plans and (parts[0] + parts[1]).isdecimal()
        if age_ms >= self.peer_timeout_ms / 2 or not is_valid or message.amount <= 0:
            return
        first, spread, plan, customer = parts
        bucket = self.find_bucket(now, self.settings.plans[plan], customer, int(first), int(spread))
        if bucket.home_rank:
            self.admit(now, PeerBorrow(bucket, message.amount, sender, message.nonce))

    def on_borrow_grant(self, now: float, sender: int, message: BorrowMessage) -> None:
        """Add a lease that a home gateway grants, or wait as long as it says."""
        if self.pending_peer_borrows.get(message.nonce, (None, 0, -1))[2] == sender:
            bucket, window, _ = self.pending_peer_borrows.pop(message.nonce)
            bucket.advance(now)
            bucket.pending = 0
            if not message.amount:
                bucket.retry_at = now + min(message.wait_ms, bucket.fill_ms)
            elif window == bucket.window:
                bucket.add_lease(now, min(message.amount, bucket.lease_size(1.0)))
            self.retry_waiting(now, bucket, False)

    def message_clock(self, now: float) -> int:
        """The send time put in a message, in ms modulo 2**32; receivers ignore delayed messages."""
        return int(now + self.fleet_time.offset_ms) & MAX_UINT32

    def on_peer_timeout(self, now: float, nonce: int) -> None:
        """Borrow elsewhere after a home gateway did not answer; skip it after a second timeout."""
        if nonce in self.pending_peer_borrows:
            bucket, _, home = self.pending_peer_borrows.pop(nonce)
            # A single message may have been lost; after two, the gateway may be stopped, stalled or cut off.
            self.peer_skipped_until[home] = now + PEER_SKIP_MS if home in self.peer_skipped_until else now
            bucket.pending = 0
            self.request_tokens(now, bucket)

    # Calls to the counter

    def send_counter_call(self, bucket: Bucket, kind: str, window: int, amount: int) -> None:
        """Add `amount` milli-tokens to the count of a bucket's window; 0 reads it.

        `kind` is "lease" for a borrow, "previous" for the total of the previous window, "adjust" for a
        correction.
        """
        name = f"{bucket.counter_name}/{window}"
        self.calls.setdefault(name, deque()).append((bucket, kind, window))
        self.actions.append(io.CounterAdd(name, amount / MILLI_PER_UNIT, MAX_COUNTER_TTL_MS))

    def borrow_from_counter(self, now: float, bucket: Bucket) -> None:
        """Borrow a lease for what waits; the same call reports uncounted use and returns lapsed tokens."""
        bucket.advance(now)
        bucket.lease, bucket.pending = bucket.lease_size(self.direct_share), 1
        self.next_call_at = max(self.next_call_at, now + self.call_gap_ms)
        self.send_counter_call(bucket, "lease", bucket.window, bucket.lease + bucket.take_unreported())

    def on_counter_result(self, now: float, event: io.CounterResult) -> None:
        """Match a result to its call, adapt the gap between calls to it, and process the total."""
        if self.fleet_clock.owns(event.name):
            self.on_time_result(now, event)
            return
        pending = self.calls.get(event.name)
        if not pending:
            return
        bucket, kind, window = pending.popleft()
        if not pending:
            del self.calls[event.name]
        is_ok = event.outcome is Outcome.OK and event.total is not None
        if event.outcome is Outcome.RESET or event.outcome is Outcome.OK and not is_ok:
            # The counter did not fail, but the total is not known.
            self.on_total_unknown(now, bucket, kind, window, event.outcome is Outcome.OK)
            return
        self.direct_share = (
            min(1.0, self.direct_share + DIRECT_SHARE_GAIN)
            if is_ok
            else self.direct_share * DIRECT_SHARE_FAILURE_FACTOR
        )
        if is_ok:
            self.counter_rtt_ms = min(
                event.elapsed_ms,
                self.counter_rtt_ms + COUNTER_RTT_WEIGHT * (event.elapsed_ms - self.counter_rtt_ms),
            )
        if is_ok and event.elapsed_ms - self.counter_rtt_ms > CONGESTED_DELAY_SHARE * (
            self.settings.counter_timeout_ms - self.counter_rtt_ms
        ):
            self.call_gap_ms, self.last_call_failed = (
                min(MAX_CALL_GAP_MS, max(MIN_CALL_GAP_MS, self.call_gap_ms * GAP_INCREASE_FACTOR)),
                False,
            )
        elif is_ok:
            # Halving the gap after every success would converge to a gap at which every second call fails.
            factor = 0.5 if self.call_gap_ms > self.failure_gap_ms else GAP_DECREASE_FACTOR
            self.call_gap_ms, self.last_call_failed = (
                self.call_gap_ms * factor if self.call_gap_ms > MIN_CALL_GAP_MS else 0.0,
                False,
            )
        else:
            # However the call failed, calls become fewer and the local share decides meanwhile.
            self.call_gap_ms = min(MAX_CALL_GAP_MS, max(MIN_CALL_GAP_MS, self.call_gap_ms * 2.0))
            # Only a first failure shows the capacity of the counter; several in a row show an outage.
            if not self.last_call_failed:
                self.failure_gap_ms, self.last_call_failed = self.call_gap_ms, True
            self.next_call_at = max(self.next_call_at, now + self.call_gap_ms)
        self.log_state(now, "counter failing", self.call_gap_ms > 4 * MIN_CALL_GAP_MS)
        self.on_call_ended(now, bucket, kind, window, is_ok, round((event.total or 0.0) * MILLI_PER_UNIT))

    def on_total_unknown(self, now: float, bucket: Bucket, kind: str, window: int, was_added: bool) -> None:
        """Handle a call whose answer was unusable or whose connection broke.

        A lease that was added without a known total is taken off with the next call. Once for each borrow,
        the counter may be called again.
        """
        bucket.advance(now)
        if was_added and kind == "lease" and window == bucket.window:
            bucket.added += bucket.lease
            bucket.uncounted_tokens -= bucket.lease
        if not bucket.was_asked_again:
            bucket.was_asked_again, bucket.sources_tried = True, bucket.sources_tried & ~1
        self.on_call_ended(now, bucket, kind, window, False, 0)

    def on_call_ended(
        self, now: float, bucket: Bucket, kind: str, window: int, is_ok: bool, total: int
    ) -> None:
        """Process the total of a call by its kind; on failure, try another source of tokens."""
        bucket.advance(now)
        if kind == "previous":
            self.on_previous_total(now, bucket, window, total if is_ok else None)
        elif kind == "lease":
            bucket.pending = 0
            if is_ok and window == bucket.window and self.on_lease_total(now, bucket, total):
                return
            if not is_ok and bucket.waiting:
                self.request_tokens(now, bucket)
            else:
                self.retry_waiting(now, bucket, False)

    def on_previous_total(self, now: float, bucket: Bucket, window: int, total: int | None) -> None:
        """Carry over what the bucket lacked at the end of the previous window.

        `total` is None if it could not be read. Under a ceiling, the lease is then returned, and the next
        borrow reads the previous window again; a plain quota keeps its lease.
        """
        is_current = window == bucket.previous_window()
        must_know = bucket.correction is not None and bucket.plan.ceiling_rate > 0
        if (
            is_current
            and total is None
            and must_know
            and bucket.previous_total_tries < MAX_PREVIOUS_TOTAL_TRIES
        ):
            bucket.previous_total_tries += 1
            self.send_counter_call(bucket, "previous", window, 0)
            return
        amount = bucket.carry_over(total) if is_current and total is not None else 0
        correction, bucket.correction = bucket.correction, None
        if correction is None:
            self.adjust_count(bucket, amount)
            return
        bucket.pending = 0
        lease_returned = is_current and total is None and bucket.plan.ceiling_rate > 0
        if lease_returned:
            bucket.counted_window = NO_WINDOW
            self.adjust_count(bucket, correction - bucket.lease)
        elif is_current:
            self.keep_lease(now, bucket, correction + amount)
        self.retry_waiting(now, bucket, lease_returned)

    def adjust_count(self, bucket: Bucket, amount: int) -> None:
        """Add `amount` milli-tokens to the shared count, to match the true level of the bucket."""
        if amount:
            self.send_counter_call(bucket, "adjust", bucket.window, amount)
            bucket.added += amount

    def on_lease_total(self, now: float, bucket: Bucket, total: int) -> bool:
        """Keep the part of a lease that fits, and return the excess.

        The gateway that opens a window reads the total of the previous one. Returns whether what waits has to
        wait for that total: always under a ceiling, otherwise if more than one request waits.
        """
        was_filled = bucket.is_filled
        opens_window, amount = bucket.apply_total(now, total)
        if was_filled:
            self.overrun_share += BORROW_AVERAGE_WEIGHT * ((bucket.level < 0) - self.overrun_share)
        if opens_window:
            self.send_counter_call(bucket, "previous", bucket.previous_window(), 0)
        if opens_window and (bucket.plan.ceiling_rate > 0 or len(bucket.waiting) > 1):
            bucket.pending, bucket.correction, bucket.previous_total_tries = 1, amount, 1
            return True
        self.keep_lease(now, bucket, amount)
        return False

    def keep_lease(self, now: float, bucket: Bucket, amount: int) -> None:
        """Keep what the bucket can cover of the lease; `amount` is a further correction of the count."""
        needed = bucket.waiting[0].cost if bucket.waiting else 0
        kept = max(0, min(bucket.lease, int(bucket.level)))
        if bucket.has_thin_share and needed:
            self.short_share += BORROW_AVERAGE_WEIGHT * ((kept < needed) - self.short_share)
        if kept < needed:
            # No request fits: retry when the bucket has refilled far enough.
            bucket.short_at = now
            wanted = max(needed, THROTTLED_REFILL_SHARE * bucket.capacity) if self.call_gap_ms else needed
            bucket.retry_at = now + max(
                self.settings.tick_ms, min(bucket.fill_ms, (wanted - bucket.level) / bucket.rate)
            )
            if bucket.home_rank and self.direct_share < 0.5:
                # A longer wait lets one call serve several peers.
                bucket.retry_at = max(bucket.retry_at, now + bucket.fill_ms * HOME_RETRY_SHARE)
            kept = 0
        bucket.add_lease(now, kept)
        if bucket.home_rank and self.direct_share < 0.5:
            # The next call returns the excess, as no other gateway borrows for this customer.
            bucket.uncounted_tokens -= bucket.lease - kept
        else:
            amount -= bucket.lease - kept
        self.adjust_count(bucket, amount)

    def retry_waiting(self, now: float, bucket: Bucket, without_source: bool) -> None:
        """Admit again all that waits, or decide it locally if no source of tokens answered."""
        waiting, bucket.waiting, bucket.sources_tried, bucket.was_asked_again = (
            bucket.waiting,
            [],
            0,
            False,
        )
        for request in (queued for queued in waiting if not queued.done):
            (self.decide_locally if without_source else self.admit)(now, request)

    # Backends and attempts

    def on_backends_changed(self, now: float, event: io.BackendsChanged) -> None:
        """Apply a list of backends or a change of it."""
        if event.kind is io.ListKind.FAILED:
            if self.settings.must_poll:
                self.schedule(
                    now + min(MAX_RESUBSCRIBE_DELAY_MS, self.settings.poll_interval_ms / 4),
                    self.subscribe,
                    None,
                )
            return
        if event.kind is not io.ListKind.DELTA and self.pool.retain(entry.id for entry in event.backends):
            self.cold_pacer.on_backends_left(now)
        if self.attempt_limit <= 0:  # the first list
            self.first_list_had_backends = bool(event.backends)
            if not self.settings.clocks_in_sync:
                self.start_times.load_first_list(event.backends)
            self.schedule(now + SWEEP_INTERVAL_MS, self.sweep, None)
            if not self.fleet_time.is_known:
                self.read_fleet_time(now)
            if self.settings.must_poll:
                self.subscribe(now, None)
            self.attempt_limit = min(
                self.settings.most_out,
                INITIAL_ATTEMPTS_PER_BACKEND * len(event.backends) / max(1, self.settings.gateways),
            )
        for entry in event.backends:
            backend = self.tracked.get(entry.id)
            # Nothing learned about the previous process applies to a new one.
            is_new_process = backend is None or entry.started_ms != backend.start_ms
            if backend is not None:
                if backend.usable and (is_new_process or entry.state is not BackendState.UP):
                    self.cold_pacer.on_backends_left(now)
                self.pool.mark_unusable(backend)
            if is_new_process:
                backend = TrackedBackend(entry, now, self.rng.random())
                self.start_times.record_start(backend, now, self.max_age_ms(event))
            backend.update(entry)
            (self.pool.mark_usable if entry.state is BackendState.UP else self.pool.mark_unusable)(backend)
        # The first list may come in several parts.
        if event.kind is io.ListKind.DELTA and self.send_rate <= 0.0:
            limit = min(
                self.settings.most_out,
                INITIAL_ATTEMPTS_PER_BACKEND * len(self.usable) / max(1, self.settings.gateways),
            )
            self.attempt_limit = max(self.attempt_limit, limit)
        if self.send_rate <= 0.0:
            self.mean_usable_count = len(self.usable)
        self.send_queued(now)

    def max_age_ms(self, event: io.BackendsChanged) -> float:
        """The greatest age of a backend that this list names for the first time, in ms."""
        at_start = (
            event.kind is io.ListKind.CACHED or not self.first_list_had_backends and self.send_rate <= 0.0
        )
        return math.inf if at_start or self.settings.clocks_in_sync else DISCOVERY_DELAY_MS + event.outage_ms

    def subscribe(self, now: float, _argument) -> None:
        """Ask discovery for the list of backends."""
        self.actions.append(io.Subscribe())

    def penalize(self, now: float, backend: TrackedBackend, min_latency_ms: float) -> None:
        """Raise the latency expected of a backend after a failure.

        It at least doubles, up to a bound, and fades with time. This moves traffic away from backends that
        are silent, gone, stalled or full, or that fail at once and would look idle and fast. If all backends
        fail, none is avoided. The price: a single slow answer moves traffic away for some seconds.
        `min_latency_ms` is the time already spent waiting.
        """
        max_latency_ms = MAX_PENALTY_FACTOR * max(self.min_target_ms, self.mean_latency_ms)
        backend.has_failed = True
        backend.latency_ms, backend.latency_at = (
            min(max_latency_ms, max(2.0 * backend.expected_ms(now, self.mean_latency_ms), min_latency_ms)),
            now,
        )
        self.log_state(now, "avoided", backend.latency_ms == max_latency_ms, backend.id)

    def min_sharing_backends(self) -> float:
        """The least number of backends over which the load of cold ones is computed."""
        return min(1.0, RECENT_COUNT_FACTOR / max(self.settings.fall_multiple, 1e-3)) * self.mean_usable_count

    def may_send_to_cold(self, now: float, backend: TrackedBackend, warmth: float) -> bool:
        """Slow start: a cold backend gets the share `warmth` of the rate of a warm one."""
        # If most backends have left, the remaining cold ones must not get the load of the whole fleet.
        rate = self.send_rate / max(1.0, len(self.usable), self.min_sharing_backends()) * warmth
        return self.cold_pacer.may_send(backend, now, rate)

    def draw_candidates(self, now: float, request: Request) -> list[TrackedBackend]:
        """Draw candidates from a large list, with probability proportional to their present capacity.

        A gateway of a large fleet sees too few attempts at each backend to know its load, so the choices of
        all gateways have to add up to each backend's capacity. A cold backend is returned alone, with one
        chance for each request, so that it gets no more when other backends fail.
        """
        candidates: list[TrackedBackend] = []
        is_first_draw, request.was_drawn = not request.was_drawn, True
        cold_factor = len(self.usable) / max(
            self.mean_capacity * len(self.usable), self.min_sharing_backends()
        )
        for _ in range(SAMPLE_SIZE):
            backend = self.usable[int(self.rng.random() * len(self.usable))]
            warmth = self.start_times.warm_share(backend, now)
            capacity = backend.weight * warmth / self.pool.max_weight
            self.mean_capacity += CAPACITY_AVERAGE_WEIGHT * (capacity - self.mean_capacity)
            capacity /= FAILED_LOAD_FACTOR if backend.has_failed else 1.0
            if warmth < 1.0 and is_first_draw and self.rng.random() < capacity * cold_factor:
                return [backend]
            is_first_draw = False
            if warmth >= 1.0 and self.rng.random() < capacity:
                candidates.append(backend)
                if len(candidates) == MAX_CANDIDATES:
                    break
        return candidates

    def pick_backend(self, now: float, request: Request) -> TrackedBackend | None:
        """Choose the backend for the next attempt; None if there is none.

        This is the least loaded candidate by own open attempts, expected latency, weight and warm share.
        Backends that the request tried before are left out. A keyed request stays in the scope of its key
        and is not sent again after the key expires.
        """
        if now >= request.send_before():
            return None
        first_run, request_class = request.first_possible_run(), request.request_class
        tried_ids = {a.backend.id for a in request.attempts}
        candidates = self.usable
        if (
            first_run is not None
            and request_class.idempotency is Idempotency.KEYED
            and request_class.key_scope != "all"
        ):
            candidates = self.pool.usable_in_same(
                "zone" if request_class.key_scope == "zone" else "cell", first_run.backend
            )
        was_drawn = candidates is self.usable and len(candidates) > SAMPLE_SIZE
        if was_drawn:
            candidates = self.draw_candidates(now, request)
        elif len(candidates) > SAMPLE_SIZE:
            candidates = self.rng.sample(candidates, SAMPLE_SIZE)
        best_backend, best_score = None, float("inf")
        for backend in candidates:
            if backend.id in tried_ids:
                continue
            # Drawn candidates already reflect weight and warm share.
            warmth, weight = (
                (1.0, 1.0) if was_drawn else (self.start_times.warm_share(backend, now), backend.weight)
            )
            if warmth < 1.0 and not self.may_send_to_cold(now, backend, warmth):
                continue
            # Reported loads are not used: they are old, and all gateways would choose the same backend.
            load = len(backend.open_attempts) * (FAILED_LOAD_FACTOR if backend.has_failed else 1.0)
            # Only safe requests try a backend again as its penalty fades; others use the undecayed latency.
            latency = backend.expected_ms(
                now if request_class.idempotency is Idempotency.SAFE else backend.latency_at,
                self.mean_latency_ms,
            )
            score = (load + 1.0) * latency / (weight * warmth) * (1.0 + 0.02 * self.rng.random())
            score *= (
                CROSS_ZONE_FACTOR
                if backend.zone != self.settings.zone and self.settings.cross_zone_price > 0
                else 1.0
            )
            if score < best_score:
                best_backend, best_score = backend, score
        return best_backend

    def dispatch(self, now: float, request: Request, is_over_quota: bool = False) -> None:
        """Send a request now, queue it, or answer it if it could not be served in time.

        A request beyond its quota (`is_over_quota`) is never queued.
        """
        may_send = self.may_send_attempt(now)
        self.is_limit_reached = self.is_limit_reached or not may_send
        backend = self.pick_backend(now, request) if may_send else None
        ahead_count = sum(
            1 for key, _, other in self.send_queue if key <= -request.priority and not other.done
        )
        queue_ms = (
            (ahead_count + max(0.0, 1.0 - self.send_credit))
            * self.mean_latency_ms
            / max(self.attempt_limit, 1e-3)
        )
        if backend is not None:
            self.send_attempt(now, request, backend)
        elif is_over_quota:
            self.finish(now, request, io.Reject(request.id))
        elif (
            now + queue_ms * QUEUE_WAIT_FACTOR
            >= request.target_at - self.mean_latency_ms - self.latency_dev_ms
        ):
            # In the queue, it would miss its target.
            self.reject_or_fail(now, request)
        else:
            self.seq += 1
            heapq.heappush(self.send_queue, (-request.priority, self.seq, request))
            self.schedule_paced_send(now)
            self.schedule_give_up(request.target_at - self.mean_latency_ms - self.latency_dev_ms, request)

    def may_send_attempt(self, now: float) -> bool:
        """Whether one more attempt may be in flight.

        A small limit is enforced as a rate: rounded up to one attempt at each gateway, it would have
        no effect.
        """
        gained = self.attempt_limit / self.mean_latency_ms * (now - self.send_credit_at)
        self.send_credit, self.send_credit_at = min(PACING_LIMIT, self.send_credit + gained), now
        if self.attempt_limit >= PACING_LIMIT:
            return self.attempts_out < self.attempt_limit
        return (
            self.attempts_out < min(PACING_LIMIT, self.settings.most_out) and self.send_credit >= 1.0 - 1e-6
        )

    def send_attempt(self, now: float, request: Request, backend: TrackedBackend) -> None:
        """Send a request to a backend, and set the timer for a late answer."""
        attempt, send_before = Attempt(backend, len(request.attempts), now), request.send_before()
        if not request.attempts:
            self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_TOKENS_PER_REQUEST)
            rate = self.send_rate * 0.5 ** ((now - self.send_rate_at) / AVERAGING_MS)
            self.send_rate, self.send_rate_at = rate + 0.693 / AVERAGING_MS, now
            self.mean_usable_count += CAPACITY_AVERAGE_WEIGHT * (len(self.usable) - self.mean_usable_count)
        request.attempts.append(attempt)
        key = (request.id, attempt.number)
        self.in_flight[key] = (attempt, request)
        backend.open_attempts[key] = now
        self.attempts_out += 1
        self.send_credit = max(0.0, self.send_credit - 1.0)
        request.bucket.open_count += 1
        backend.cold_tokens -= 1.0
        self.actions.append(io.Send(request.id, backend.id, request.deadline_at, send_before))
        self.schedule(
            now + self.mean_latency_ms + TIMEOUT_DEVIATIONS * self.latency_dev_ms,
            self.on_answer_overdue,
            (request, attempt),
        )

    def on_answer_overdue(self, now: float, argument) -> None:
        """Penalize a silent backend and send a hedge where allowed.

        No hedge is sent while all backends are slow, as it would add to the load.
        """
        request, attempt = argument
        if attempt.is_open and attempt.backend.last_heard_at < attempt.sent_at:
            self.penalize(now, attempt.backend, now - attempt.sent_at)
        may_copy = (
            self.settings.may_duplicate
            and request.request_class.idempotency is not Idempotency.UNSAFE
            and not request.is_stream
        )
        is_overloaded = (
            self.attempts_out >= max(2.0, self.attempt_limit) or self.latency_share > OVERLOAD_LATENCY_SHARE
        )
        if attempt.is_open and may_copy and not request.done and not is_overloaded:
            self.try_again(now, request)

    def try_again(self, now: float, request: Request, is_free: bool = False) -> bool:
        """Send a further attempt if budget and time allow.

        `is_free` marks a retry after an attempt that was not executed; it takes nothing from the budget, as
        that attempt cost the backends nothing.
        """
        is_exhausted = (
            len(request.attempts) >= self.settings.most_attempts or not is_free and self.retry_tokens < 1.0
        )
        backend = (
            None
            if is_exhausted or now > request.target_at - self.mean_latency_ms / 2
            else self.pick_backend(now, request)
        )
        if backend is None:
            return False
        self.retry_tokens -= 0.0 if is_free else 1.0
        self.send_attempt(now, request, backend)
        return True

    def on_attempt_ended(self, now: float, event: io.AttemptEnded) -> None:
        """Record the outcome of an attempt, then answer the request or try again."""
        attempt, request = self.in_flight.pop((event.request, event.attempt), (None, None))
        if attempt is None:
            return
        backend, bucket = attempt.backend, request.bucket
        backend.open_attempts.pop((event.request, event.attempt), None)
        self.attempts_out -= 1
        attempt.is_open, attempt.may_have_run = False, event.outcome not in NEVER_RAN
        bucket.open_count -= 1
        self.update_latency(now, backend, request, event)
        self.update_attempt_limit(now, request, event)
        if event.final and not request.done:
            if event.settled_units is not None and self.settings.has_settled_units:
                bucket.tokens -= round(event.settled_units * MILLI_PER_UNIT) - request.cost
            self.finish(now, request, None)
        elif not request.done and not any(a.is_open for a in request.attempts):
            may_retry = (
                request.first_possible_run() is None
                or request.request_class.idempotency is not Idempotency.UNSAFE
            )
            if not (may_retry and self.try_again(now, request, is_free=event.outcome in NEVER_RAN)):
                self.reject_or_fail(now, request)
        if bucket.gated:
            gated, bucket.gated = bucket.gated, []
            for released in (gated_request for gated_request in gated if not gated_request.done):
                self.on_granted(now, released)
        self.send_queued(now)

    def update_latency(
        self, now: float, backend: TrackedBackend, request: Request, event: io.AttemptEnded
    ) -> None:
        """Update a backend's latency and penalty, and the mean latency, from an outcome."""
        if event.outcome not in (Outcome.TIMEOUT, Outcome.CANCELLED, Outcome.NOT_SENT):
            backend.last_heard_at = now
        if event.outcome in (Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.OVERLOADED):
            self.penalize(now, backend, 0.0)
        elif event.outcome in (Outcome.UNUSABLE_RESPONSE, Outcome.RESET):
            # A single one may come from a healthy backend, as when it closes a kept-alive connection. Where
            # nearly all are like this, the backend is avoided; one that died refuses the next connection.
            backend.unusable_responses += 1
            if backend.unusable_responses > MAX_UNUSABLE_RESPONSES:
                self.penalize(now, backend, 0.0)
        elif event.outcome is Outcome.OK:
            backend.unusable_responses = 0
            self.log_state(now, "avoided", False, backend.id)
            elapsed_ms = event.elapsed_ms
            # One good answer ends the penalty.
            is_fresh, backend.has_failed = backend.has_failed or not backend.latency_ms, False
            expected_ms = self.mean_latency_ms if is_fresh else backend.expected_ms(now, self.mean_latency_ms)
            weight = 0.5 if is_fresh else 0.15
            backend.latency_ms, backend.latency_at = expected_ms + weight * (elapsed_ms - expected_ms), now
            weight = max(
                0.03, 0.5 * (now - self.mean_latency_at) / (now - self.mean_latency_at + AVERAGING_MS)
            )
            self.mean_latency_at = now
            self.latency_dev_ms += weight * (abs(elapsed_ms - self.mean_latency_ms) - self.latency_dev_ms)
            self.mean_latency_ms += weight * (elapsed_ms - self.mean_latency_ms)

    def update_attempt_limit(self, now: float, request: Request, event: io.AttemptEnded) -> None:
        """Adapt the limit on attempts in flight to the latencies, relative to their targets."""
        ratio = min(1.0, event.elapsed_ms / request.request_class.target_latency_ms)
        was_answered = event.outcome in (
            Outcome.OK,
            Outcome.ERROR,
            Outcome.TIMEOUT,
            Outcome.UNUSABLE_RESPONSE,
        )
        if was_answered or event.outcome is Outcome.CANCELLED and ratio > self.latency_share:
            gap_ms, self.last_answer_at = now - self.last_answer_at, now
            self.latency_share += max(0.05, gap_ms / (gap_ms + AVERAGING_MS)) * (ratio - self.latency_share)
        if now - self.attempt_limit_at < self.mean_latency_ms:
            return
        steps, self.attempt_limit_at = min(5.0, (now - self.attempt_limit_at) / self.mean_latency_ms), now
        self.log_state(now, "backends crowded", self.latency_share > 1.2 * OVERLOAD_LATENCY_SHARE)
        if self.latency_share > OVERLOAD_LATENCY_SHARE:
            # With one attempt at each backend, the work itself is slow and a lower limit does not help.
            min_limit = len(self.usable) / max(1, self.settings.gateways)
            self.attempt_limit = max(
                min_limit,
                self.attempt_limit
                * max((1.0 - LIMIT_STEP_SHARE) ** steps, OVERLOAD_LATENCY_SHARE / self.latency_share),
            )
        elif self.is_limit_reached or self.attempts_out + 1 >= max(2.0, self.attempt_limit * 0.7):
            step = self.attempt_limit * LIMIT_STEP_SHARE
            self.attempt_limit += (
                max(min(0.5, step), step * (1.0 - self.latency_share / OVERLOAD_LATENCY_SHARE)) * steps
            )
            self.is_limit_reached = False
        self.attempt_limit = min(self.settings.most_out, self.attempt_limit)

    def send_queued(self, now: float, _argument=None) -> None:
        """Send queued requests, those of the highest priority first, while attempts are free."""
        while self.send_queue and self.may_send_attempt(now):
            request = self.send_queue[0][2]
            is_obsolete = request.done or bool(request.attempts)
            backend = None if is_obsolete else self.pick_backend(now, request)
            if backend is None and not is_obsolete:
                return
            heapq.heappop(self.send_queue)
            if backend is not None:
                self.send_attempt(now, request, backend)
        self.schedule_paced_send(now)

    def schedule_paced_send(self, now: float) -> None:
        """Set a timer for the next queued request while the limit is enforced as a rate."""
        if (
            self.send_queue
            and self.attempt_limit < PACING_LIMIT
            and self.paced_send_at <= now
            and self.send_credit < 1.0 - 1e-6
        ):
            self.paced_send_at = (
                now
                + self.settings.tick_ms
                + (1.0 - self.send_credit) * self.mean_latency_ms / max(self.attempt_limit, 1e-3)
            )
            self.schedule(self.paced_send_at, self.send_queued, None)

    def give_up(self, now: float, request: Request) -> None:
        """Answer a request that was not sent in time, or that reaches its deadline."""
        if (
            not request.done
            and not request.is_stream
            and (not request.attempts or now >= request.deadline_at - 2 * self.settings.tick_ms)
        ):
            self.reject_or_fail(now, request)

    def reject_or_fail(self, now: float, request: Request) -> None:
        """Answer a request without a response: `Reject` where a retry is safe, else `Fail`."""
        self.finish(now, request, io.Reject(request.id) if request.may_reject(now) else io.Fail(request.id))

    def finish(self, now: float, request: Request, answer) -> None:
        """End a request: refund what it did not use, answer it, and cancel its open attempts."""
        request.done = True
        self.requests.pop(request.id, None)
        for timer in request.timers:
            self.timers.cancel(timer)
        if request.charged and not request.attempts:
            request.bucket.tokens += request.charged
            request.bucket.spend(-request.charged)
        if answer is not None:
            self.actions.append(answer)
        if self.settings.may_cancel:
            self.actions += [io.Cancel(request.id, a.number) for a in request.attempts if a.is_open]

    def on_client_disconnected(self, now: float, event: io.ClientDisconnected) -> None:
        """End a request without an answer."""
        if event.request in self.requests:
            self.finish(now, self.requests[event.request], None)

    def on_stream_started(self, now: float, event: io.StreamStarted) -> None:
        """Exempt a request whose response has started from hedging and from the deadline."""
        if event.request in self.requests:
            self.requests[event.request].is_stream = True

    def sweep(self, now: float, _argument) -> None:
        """Drop idle customers and backends that have left."""
        self.schedule(now + SWEEP_INTERVAL_MS, self.sweep, None)
        self.customers.sweep(now)
        self.start_times.forget(self.pool.sweep())
        self.logged_states = {
            key: state for key, state in self.logged_states.items() if not key[1] or key[1] in self.tracked
        }
