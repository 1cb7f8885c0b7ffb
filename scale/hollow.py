"""A hollow gateway: the real decision module with simulated backends, counter, discovery and clients.

It carries out the module's actions as `elderhub.host` does, and records violations of the module's
obligations: exactly one final answer to each request, in time; no two attempts at once unless allowed; no
attempt after the end of a request; no refusal or repetition of a request that may have run and is not
idempotent; no attempt at a draining backend.
"""

from __future__ import annotations

import math

from cobaltline import Gateway
from cobaltline import interface as io

from .backends import CONNECT_TIMEOUT_MS, HANDSHAKE_MS, HANDSHAKE_RTTS, Health, Pool
from .clients import REQUEST_KINDS, Try

SWEEP_INTERVAL_MS = 1000.0  # between two removals of idle connections (as `elderhub.backends`)
ERROR_SHARE = 0.001  # share of the responses of backends that are errors; 0 to 0.002 at the site
# An overload of a cold backend is a violation if more than this share of the load came from gateways that had
# been told of its start.
OVERLOAD_INFORMED_SHARE = 2.0 / 3.0
SOCKET_SLACK_MS = 50.0  # the protocol allows this much more for every time limit on real sockets


class Attempt:
    """One attempt of a try at a backend.

    `sequence` orders all attempts of a simulation, `number` those of a try. `lost` is set if the backend's
    own response will not arrive, because of a timeout or the backend's end.
    """

    __slots__ = (
        "sequence",
        "client_try",
        "number",
        "backend",
        "pool",
        "backend_incarnation",
        "sent_ms",
        "ended",
        "lost",
    )

    def __init__(self, sequence: int, client_try: Try, number: int, pool: Pool, sent_ms: float):
        self.sequence, self.client_try, self.number, self.sent_ms = sequence, client_try, number, sent_ms
        self.pool, self.backend, self.backend_incarnation = pool, pool.backend, -1  # -1: no connection yet
        self.ended = self.lost = False


class HollowGateway:
    """One process lifetime of a gateway.

    `world` provides the clock, the links, the backends, the counter, discovery and the record. `module`
    creates the decision module from settings and a seed.
    """

    def __init__(self, world, number: int, zone: str, settings: io.Settings, seed: int, module=Gateway):
        self.world, self.number, self.zone = world, number, zone
        self.settings, self.dead = settings, False
        self.died_at = math.inf  # time of the process's end, in ms
        self._module = module(settings, seed)
        self._open_tries: dict[str, Try] = {}
        self._pools: dict[str, Pool] = {}
        self._attempts: dict[tuple[str, int], Attempt] = {}
        self._left_at_ms: dict[str, float] = {}  # backend -> when discovery told that it drains or is removed
        self._start_times_ms: dict[str, float] = {}  # backend -> its start time, as told by discovery
        self._counter_name_plans: dict[str, str] = {}  # counter name -> plan
        self._current_event = None  # the event being handled
        self._handlers = {
            io.Send: self._send,
            io.Reject: self._reject,
            io.Fail: self._fail,
            io.Cancel: self._cancel,
            io.CounterAdd: self._call_counter,
            io.SetTimer: self._set_timer,
            io.Probe: self._probe,
            io.CloseIdle: self._close_idle,
            io.Subscribe: self._fetch_list,
            io.Fetch: self._fetch_list,
            io.Log: self._log,
            io.SendPeerMessage: self._refuse_peer_message,
        }
        world.clock.call_at(world.clock.now + SWEEP_INTERVAL_MS, self._sweep)

    # Events in, actions out.

    def handle_event(self, event) -> None:
        """Passes an event to the decision module and carries out the resulting actions."""
        if self.dead:
            return
        self._current_event = event
        for action in self._module.handle(self.world.clock.now, event):
            self._handlers[type(action)](action)

    def handle_request(self, client_try: Try, event: io.RequestArrived) -> bool:
        """Accepts a request; returns False if the gateway is not running."""
        if self.dead:
            return False
        self._open_tries[client_try.request] = client_try
        self.handle_event(event)
        return True

    def client_disconnected(self, client_try: Try) -> None:
        """Handles the disconnection of a client."""
        if self._open_tries.pop(client_try.request, None) is not None:
            client_try.done = True
            self.handle_event(io.ClientDisconnected(client_try.request))

    def backends_changed(self, event: io.BackendsChanged) -> None:
        """Handles a list of backends, or a change, from discovery."""
        now_ms = self.world.clock.now
        listed_ids = {entry.id for entry in event.backends}
        if event.kind is not io.ListKind.DELTA:
            for removed in [name for name in self._pools if name not in listed_ids]:
                self._left_at_ms.setdefault(removed, now_ms)
        for entry in event.backends:
            if entry.started_ms > 0.0:
                self._start_times_ms[entry.id] = entry.started_ms
            if entry.state is io.BackendState.UP:
                self._left_at_ms.pop(entry.id, None)
            else:
                self._left_at_ms.setdefault(entry.id, now_ms)
        self.handle_event(event)

    def _set_timer(self, action: io.SetTimer) -> None:
        # The host's timers have whole milliseconds.
        due_ms = self.world.clock.now + math.ceil(max(0.0, action.delay_ms))
        self.world.clock.call_at(due_ms, self.handle_event, io.TimerFired(action.token))

    def _log(self, action: io.Log) -> None:
        self.world.record.log_lines += 1

    def _add_violation(self, rule: str) -> None:
        self.world.record.broken[rule] += 1

    def _refuse_peer_message(self, action: io.SendPeerMessage) -> None:
        self._add_violation("message to a peer, which the settings do not allow")

    # The end of a request.

    def _finish(self, request: str) -> Try | None:
        client_try = self._open_tries.pop(request, None)
        if client_try is None:
            # The module may end a request in the step that tells it of the response; the host ignores that.
            answered_now = (
                isinstance(self._current_event, io.AttemptEnded) and self._current_event.request == request
            )
            if not answered_now:
                self._add_violation("a second final answer")
            return None
        client_try.done = True
        if self.world.clock.now > client_try.deadline_ms + self.settings.answer_slack_ms + SOCKET_SLACK_MS:
            self._add_violation("a late final answer")
        return client_try

    def _reject(self, action: io.Reject) -> None:
        client_try = self._finish(action.request)
        if client_try is None:
            return
        world = self.world
        if REQUEST_KINDS[client_try.kind].request_class.idempotency is io.Idempotency.UNSAFE and (
            client_try.may_have_run or client_try.in_flight_attempts
        ):
            self._add_violation("refused what may have run")
        world.record.refused += 1
        if not client_try.attempt_count:
            has_room, half_unused = world.accounts[client_try.customer].headroom(
                world.clock.now, client_try.units
            )
            world.record.refused_with_room += has_room
            world.record.refused_half_unused += half_unused
        world.clients.handle_outcome(client_try, "refused", action.retry_after_ms)

    def _fail(self, action: io.Fail) -> None:
        client_try = self._finish(action.request)
        if client_try is not None:
            self.world.record.failed += 1
            self.world.clients.handle_outcome(client_try, "failed")

    # Attempts.

    def _send(self, action: io.Send) -> None:
        world, now_ms = self.world, self.world.clock.now
        client_try = self._open_tries.get(action.request)
        if client_try is None:
            self._add_violation("sent on after its end")
            return
        if client_try.in_flight_attempts and not self.settings.may_duplicate:
            self._add_violation("two attempts at once")
        if (
            client_try.may_have_run
            and REQUEST_KINDS[client_try.kind].request_class.idempotency is io.Idempotency.UNSAFE
        ):
            self._add_violation("repeated what may have run")
        left_at_ms = self._left_at_ms.get(action.backend)
        if left_at_ms is not None and now_ms > left_at_ms + self.settings.drain_grace_ms + SOCKET_SLACK_MS:
            self._add_violation("sent to a backend that had left")
        account = world.accounts[client_try.customer]
        is_first = not client_try.attempt_count
        if is_first:
            self._record_first_attempt(client_try, account, now_ms)
        pool = self._pools.get(action.backend)
        if pool is None:
            pool = self._pools[action.backend] = Pool(world.backends[action.backend])
        world.attempts_started += 1
        attempt = Attempt(world.attempts_started, client_try, client_try.attempt_count, pool, now_ms)
        client_try.in_flight_attempts[client_try.attempt_count] = attempt
        client_try.attempt_count += 1
        account.in_flight += 1
        world.record.attempts += 1
        self._attempts[client_try.request, attempt.number] = attempt
        ready_ms = self._connect(attempt, now_ms)
        if is_first and ready_ms is not None:
            world.record.added.record_value(max(1, int((ready_ms - client_try.arrived_ms) * 1000.0)))

    def _record_first_attempt(self, client_try: Try, account, now_ms: float) -> None:
        world = self.world
        world.record.decided.record_value(max(1, int((now_ms - client_try.arrived_ms) * 1000.0)))
        world.record.sent_after_counter_call += isinstance(self._current_event, io.CounterResult)
        if account.exceeds_ceiling(now_ms, client_try.units):
            self._add_violation("over the ceiling")
        client_try.within_quota = account.take_quota(now_ms, client_try.units)
        if client_try.within_quota:
            world.record.sent_inside_quota += 1
            world.record.worth_inside_quota += client_try.worth
        else:
            world.record.sent_beyond_quota += 1
            world.record.worth_beyond_quota += client_try.worth
            cost = client_try.worth * account.plan.overrun_cost
            world.record.beyond_quota_cost += cost
            world.second_at(now_ms).beyond += cost

    def _connect(self, attempt: Attempt, now_ms: float) -> float | None:
        """Assigns a connection to an attempt; returns when it is ready, in ms, or None if it will not be."""
        world, backend = self.world, attempt.backend
        link_ms = world.links.delay_ms(self.zone, backend.zone)
        reachable = backend.health is not Health.SILENT and world.links.can_reach(self.zone, backend.zone)
        if reachable and backend.health is Health.UP and attempt.pool.acquire(now_ms):
            ready_ms = now_ms
        elif not reachable:
            timeout_at_ms = min(now_ms + CONNECT_TIMEOUT_MS, attempt.client_try.deadline_ms)
            world.clock.call_at(timeout_at_ms, self._end_attempt, attempt, io.Outcome.CONNECT_FAILED)
            return None
        elif backend.health is Health.DEAD or not attempt.pool.open():
            world.clock.call_at(now_ms + 2.0 * link_ms, self._end_attempt, attempt, io.Outcome.CONNECT_FAILED)
            return None
        else:
            world.record.connections += 1
            ready_ms = now_ms + HANDSHAKE_RTTS * 2.0 * link_ms + HANDSHAKE_MS
        attempt.backend_incarnation = backend.incarnation
        world.clock.call_at(ready_ms + link_ms, self._deliver, attempt, link_ms)
        return ready_ms

    def _deliver(self, attempt: Attempt, link_ms: float) -> None:
        """Handles the arrival of an attempt's last byte at the backend."""
        if attempt.ended:
            return
        world, backend = self.world, attempt.backend
        if backend.health is Health.DEAD or backend.incarnation != attempt.backend_incarnation:
            world.clock.call_at(world.clock.now + link_ms, self._end_attempt, attempt, io.Outcome.RESET)
            return
        if backend.health is Health.SILENT or not world.links.can_reach(self.zone, backend.zone):
            self._time_out(attempt)
            return
        informed = self._start_times_ms.get(backend.name, 0.0) >= backend.start_time_ms
        if backend.count_attempt(attempt.client_try.work_ms, informed):
            world.record.overloaded_cold_backends += 1
            if backend.informed_share() > OVERLOAD_INFORMED_SHARE:
                self._add_violation("a cold backend pushed over")
            world.stop_backend(backend, Health.DEAD)
        response_ms = None if backend.health is Health.DEAD else backend.serve(attempt.client_try.work_ms)
        if response_ms is None:
            world.clock.call_at(world.clock.now + link_ms, self._end_attempt, attempt, io.Outcome.OVERLOADED)
            return
        backend.pending_attempts.add(attempt)
        outcome = io.Outcome.ERROR if world.rng.random() < ERROR_SHARE else io.Outcome.OK
        arrival_ms = response_ms + link_ms
        if arrival_ms > attempt.client_try.deadline_ms:
            arrival_ms, outcome = attempt.client_try.deadline_ms, io.Outcome.TIMEOUT
        world.clock.call_at(arrival_ms, self._on_response, attempt, outcome)

    def _time_out(self, attempt: Attempt) -> None:
        attempt.lost = True
        self.world.clock.call_at(
            attempt.client_try.deadline_ms, self._end_attempt, attempt, io.Outcome.TIMEOUT
        )

    def _on_response(self, attempt: Attempt, outcome: io.Outcome) -> None:
        attempt.backend.pending_attempts.discard(attempt)
        if attempt.ended or attempt.lost:
            return
        if not self.world.links.can_reach(self.zone, attempt.backend.zone):
            self._time_out(attempt)
        else:
            self._end_attempt(attempt, outcome)

    def on_backend_stopped(self, attempt: Attempt, health: Health) -> None:
        """Handles the end of the backend that holds an attempt."""
        if attempt.ended or attempt.lost:
            return
        if health is Health.SILENT:
            self._time_out(attempt)
        else:
            link_ms = self.world.links.delay_ms(self.zone, attempt.backend.zone)
            attempt.lost = True
            self.world.clock.call_at(
                self.world.clock.now + link_ms, self._end_attempt, attempt, io.Outcome.RESET
            )

    def _end_attempt(self, attempt: Attempt, outcome: io.Outcome) -> None:
        if attempt.ended:
            return
        world, client_try, now_ms = self.world, attempt.client_try, self.world.clock.now
        attempt.ended = True
        world.record.outcomes[outcome.value] += 1
        if attempt.backend_incarnation >= 0:
            reusable = outcome in (io.Outcome.OK, io.Outcome.ERROR, io.Outcome.OVERLOADED)
            attempt.pool.release(now_ms, attempt.backend_incarnation, reusable)
        world.accounts[client_try.customer].in_flight -= 1
        del client_try.in_flight_attempts[attempt.number]
        self._attempts.pop((client_try.request, attempt.number), None)
        if self.dead:
            return
        client_try.may_have_run = client_try.may_have_run or outcome not in io.NEVER_RAN
        is_answer = outcome is io.Outcome.OK and client_try.request in self._open_tries
        if is_answer:
            self._finish(client_try.request)
        self.handle_event(
            io.AttemptEnded(
                client_try.request,
                attempt.number,
                attempt.backend.name,
                outcome,
                client_try.done,
                now_ms - attempt.sent_ms,
            )
        )
        if is_answer:
            world.clients.handle_outcome(client_try, "served")

    def _cancel(self, action: io.Cancel) -> None:
        if not self.settings.may_cancel:
            self._add_violation("called off, which the settings do not allow")
        attempt = self._attempts.get((action.request, action.attempt))
        if attempt is not None and not attempt.ended:
            # The backend still does the work; cancelling only frees the attempt in the gateway.
            self.world.clock.call_at(self.world.clock.now, self._end_attempt, attempt, io.Outcome.CANCELLED)

    def _sweep(self) -> None:
        if self.dead:
            return
        now_ms = self.world.clock.now
        self._pools = {name: pool for name, pool in self._pools.items() if not pool.close_idle(now_ms)}
        self.world.clock.call_at(now_ms + SWEEP_INTERVAL_MS, self._sweep)

    def _close_idle(self, action: io.CloseIdle) -> None:
        pool = self._pools.get(action.backend)
        if pool is not None:
            pool.close_idle(self.world.clock.now, 0.0)

    # Other actions.

    def _call_counter(self, action: io.CounterAdd) -> None:
        """Calls the counter; the call is attributed to the plan of the request that caused it."""
        event = self._current_event
        if isinstance(event, io.RequestArrived):
            plan = event.plan
        else:
            name = getattr(event, "name", action.name)
            plan = self._counter_name_plans.get(name) or self._counter_name_plans.get(action.name, "other")
        self._counter_name_plans[action.name] = plan
        self.world.second_at(self.world.clock.now).calls += 1
        self.world.counter.call(self.zone, action, plan, self.handle_event)

    def _probe(self, action: io.Probe) -> None:
        world, backend = self.world, self.world.backends[action.backend]
        up = backend.health is Health.UP and world.links.can_reach(self.zone, backend.zone)
        elapsed_ms = 2.0 * world.links.delay_ms(self.zone, backend.zone) if up else CONNECT_TIMEOUT_MS
        outcome = io.Outcome.OK if up else io.Outcome.CONNECT_FAILED
        world.clock.call_at(
            world.clock.now + elapsed_ms,
            self.handle_event,
            io.ProbeResult(action.backend, outcome, elapsed_ms),
        )

    def _fetch_list(self, action) -> None:
        self.world.discovery.send_full_list(self)

    # The end of the process.

    def kill(self) -> None:
        """Ends the process: its connections are reset, and its open requests are lost."""
        now_ms = self.world.clock.now
        self.dead, self.died_at = True, now_ms
        for attempt in list(self._attempts.values()):
            self._end_attempt(attempt, io.Outcome.RESET)
        for pool in self._pools.values():
            pool.close_idle(now_ms, 0.0)
        lost_tries, self._open_tries = self._open_tries, {}
        for client_try in lost_tries.values():
            client_try.done = True
            self.world.record.lost += 1
            self.world.clients.handle_outcome(client_try, "lost")

    def unanswered(self) -> int:
        """Returns the number of open requests whose deadline, with slack, has passed."""
        slack_ms = self.settings.answer_slack_ms + SOCKET_SLACK_MS
        return sum(
            1
            for client_try in self._open_tries.values()
            if self.world.clock.now > client_try.deadline_ms + slack_ms
        )
