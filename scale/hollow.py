"""A hollow gateway: the real decision module, with stand-ins for all that it reaches.

Carries out the module's actions as the program's host does, and checks what it owes: one final answer to
each request, in time; never two attempts at once where that is not allowed; nothing sent on once a request is
over; nothing refused or repeated that may have run and may not; no sends to backends that drain.
"""

from __future__ import annotations

import math

from cobaltline import Gateway
from cobaltline import interface as io

from .backends import CONNECT_TIMEOUT_MS, HANDSHAKE_MS, HANDSHAKE_RTTS, Health, Pool
from .clients import REQUEST_KINDS, Try

SWEEP_MS = 1000.0  # between two looks for idle connections (as `elderhub.backends`)
ERROR_SHARE = 0.001  # of the answers; the site draws 0 to 0.002
OVERLOAD_INFORMED_SHARE = 2.0 / 3.0  # of that load from gateways told of its start: a rule is broken
SOCKETS_MS = 50.0  # the protocol page: on sockets every time limit is so much longer


class Attempt:
    """One attempt out: which try, which number, and the connection it goes over."""

    __slots__ = ("sequence", "client_try", "number", "backend", "pool", "life", "sent", "over", "lost")

    def __init__(self, order: int, client_try: Try, number: int, pool: Pool, sent: float):
        self.sequence, self.client_try, self.number, self.sent = order, client_try, number, sent
        self.pool, self.backend, self.life = pool, pool.backend, -1  # -1: no connection yet
        self.over = self.lost = False


class HollowGateway:
    """One life of one gateway. `world` has the clock, the links, backends, counter, discovery and record."""

    def __init__(self, world, number: int, zone: str, settings: io.Settings, seed: int, module=Gateway):
        self.world, self.number, self.zone = world, number, zone
        self.settings, self.dead = settings, False
        self.died_at = math.inf  # when
        self._module = module(settings, seed)
        self._open: dict[str, Try] = {}
        self._pools: dict[str, Pool] = {}
        self._attempts: dict[tuple[str, int], Attempt] = {}
        self._left_at: dict[str, float] = {}  # backends that drain or are gone: since when it was told
        self._started: dict[str, float] = {}  # of backends that are young, as it was told
        self._plan_of: dict[str, str] = {}  # of counter names
        self._event = None  # that is being handled
        self._do = {
            io.Send: self._send,
            io.Reject: self._reject,
            io.Fail: self._fail,
            io.Cancel: self._cancel,
            io.CounterAdd: self._count,
            io.SetTimer: self._set_timer,
            io.Probe: self._probe,
            io.CloseIdle: self._close_idle,
            io.Subscribe: self._fetch,
            io.Fetch: self._fetch,
            io.Log: self._log,
            io.SendPeerMessage: self._tell,
        }
        world.clock.call_at(world.clock.now + SWEEP_MS, self._sweep)

    # Events in, actions out.

    def put(self, event) -> None:
        if self.dead:
            return
        self._event = event
        for action in self._module.handle(self.world.clock.now, event):
            self._do[type(action)](action)

    def handle_request(self, t: Try, event: io.RequestArrived) -> bool:
        """A request has come; False where the gateway does not run."""
        if self.dead:
            return False
        self._open[t.request] = t
        self.put(event)
        return True

    def client_disconnected(self, t: Try) -> None:
        """The client has gone."""
        if self._open.pop(t.request, None) is not None:
            t.done = True
            self.put(io.ClientDisconnected(t.request))

    def backends_changed(self, event: io.BackendsChanged) -> None:
        now = self.world.clock.now
        named = {entry.id for entry in event.backends}
        if event.kind is not io.ListKind.DELTA:
            for gone in [name for name in self._pools if name not in named]:
                self._left_at.setdefault(gone, now)
        for entry in event.backends:
            if entry.started_ms > 0.0:
                self._started[entry.id] = entry.started_ms
            if entry.state is io.BackendState.UP:
                self._left_at.pop(entry.id, None)
            else:
                self._left_at.setdefault(entry.id, now)
        self.put(event)

    def _set_timer(self, action: io.SetTimer) -> None:
        when = self.world.clock.now + math.ceil(max(0.0, action.delay_ms))  # whole ms, as the loop counts
        self.world.clock.call_at(when, self.put, io.TimerFired(action.token))

    def _log(self, action: io.Log) -> None:
        self.world.record.log_lines += 1

    def _broken(self, what: str) -> None:
        self.world.record.broken[what] += 1

    def _tell(self, action: io.SendPeerMessage) -> None:
        self._broken("message to a peer, which the settings do not allow")

    # The end of a request.

    def _finish(self, request: str) -> Try | None:
        t = self._open.pop(request, None)
        if t is None:
            # Its alarm and the answer can cross: the host drops what comes as the module is told of the end.
            told = isinstance(self._event, io.AttemptEnded) and self._event.request == request
            if not told:
                self._broken("a second final answer")
            return None
        t.done = True
        if self.world.clock.now > t.deadline_ms + self.settings.answer_slack_ms + SOCKETS_MS:
            self._broken("a late final answer")
        return t

    def _reject(self, action: io.Reject) -> None:
        t = self._finish(action.request)
        if t is None:
            return
        w = self.world
        if REQUEST_KINDS[t.kind].request_class.idempotency is io.Idempotency.UNSAFE and (
            t.may_have_run or t.in_flight_attempts
        ):
            self._broken("refused what may have run")
        w.record.refused += 1
        if not t.attempt_count:
            room, half = w.accounts[t.customer].headroom(w.clock.now, t.units)
            w.record.refused_with_room += room
            w.record.refused_half_unused += half
        w.clients.handle_outcome(t, "refused", action.retry_after_ms)

    def _fail(self, action: io.Fail) -> None:
        t = self._finish(action.request)
        if t is not None:
            self.world.record.failed += 1
            self.world.clients.handle_outcome(t, "failed")

    # Attempts.

    def _send(self, action: io.Send) -> None:
        w, now = self.world, self.world.clock.now
        t = self._open.get(action.request)
        if t is None:
            self._broken("sent on after its end")
            return
        if t.in_flight_attempts and not self.settings.may_duplicate:
            self._broken("two attempts at once")
        if t.may_have_run and REQUEST_KINDS[t.kind].request_class.idempotency is io.Idempotency.UNSAFE:
            self._broken("repeated what may have run")
        left_at = self._left_at.get(action.backend)
        if left_at is not None and now > left_at + self.settings.drain_grace_ms + SOCKETS_MS:
            self._broken("sent to a backend that had left")
        account = w.accounts[t.customer]
        first = not t.attempt_count
        if first:
            self._account(t, account, now)
        pool = self._pools.get(action.backend)
        if pool is None:
            pool = self._pools[action.backend] = Pool(w.backends[action.backend])
        w.attempts_started += 1
        attempt = Attempt(w.attempts_started, t, t.attempt_count, pool, now)
        t.in_flight_attempts[t.attempt_count] = attempt
        t.attempt_count += 1
        account.in_flight += 1
        w.record.attempts += 1
        self._attempts[t.request, attempt.number] = attempt
        ready = self._connect(attempt, now)
        if first and ready is not None:
            w.record.added.record_value(max(1, int((ready - t.arrived_ms) * 1000.0)))

    def _account(self, t: Try, account, now: float) -> None:
        w = self.world
        w.record.decided.record_value(max(1, int((now - t.arrived_ms) * 1000.0)))
        w.record.sent_after_counter_call += isinstance(self._event, io.CounterResult)
        if account.exceeds_ceiling(now, t.units):
            self._broken("over the ceiling")
        t.within_quota = account.take_quota(now, t.units)
        if t.within_quota:
            w.record.sent_inside_quota += 1
            w.record.worth_inside_quota += t.worth
        else:
            w.record.sent_beyond_quota += 1
            w.record.worth_beyond_quota += t.worth
            cost = t.worth * account.plan.overrun_cost
            w.record.beyond_quota_cost += cost
            w.second_at(now).beyond += cost

    def _connect(self, attempt: Attempt, now: float) -> float | None:
        """Bring it on a connection; when that is ready, or None if it never is."""
        w, backend = self.world, attempt.backend
        link_ms = w.links.delay_ms(self.zone, backend.zone)
        heard = backend.health is not Health.SILENT and w.links.can_reach(self.zone, backend.zone)
        if heard and backend.health is Health.UP and attempt.pool.acquire(now):
            ready = now
        elif not heard:
            until = min(now + CONNECT_TIMEOUT_MS, attempt.client_try.deadline_ms)
            w.clock.call_at(until, self._ended, attempt, io.Outcome.CONNECT_FAILED)
            return None
        elif backend.health is Health.DEAD or not attempt.pool.open():
            w.clock.call_at(now + 2.0 * link_ms, self._ended, attempt, io.Outcome.CONNECT_FAILED)
            return None
        else:
            w.record.connections += 1
            ready = now + HANDSHAKE_RTTS * 2.0 * link_ms + HANDSHAKE_MS
        attempt.life = backend.incarnation
        w.clock.call_at(ready + link_ms, self._reach, attempt, link_ms)
        return ready

    def _reach(self, attempt: Attempt, link_ms: float) -> None:
        """Its last byte has come to the backend."""
        if attempt.over:
            return
        w, backend = self.world, attempt.backend
        if backend.health is Health.DEAD or backend.incarnation != attempt.life:
            w.clock.call_at(w.clock.now + link_ms, self._ended, attempt, io.Outcome.RESET)
            return
        if backend.health is Health.SILENT or not w.links.can_reach(self.zone, backend.zone):
            self._unheard(attempt)
            return
        told = self._started.get(backend.name, 0.0) >= backend.start_time_ms
        if backend.record_attempt(attempt.client_try.work_ms, told):
            w.record.overloaded_cold_backends += 1
            if backend.informed_share() > OVERLOAD_INFORMED_SHARE:
                self._broken("a cold backend pushed over")
            w.stop_backend(backend, Health.DEAD)
        done = None if backend.health is Health.DEAD else backend.serve(attempt.client_try.work_ms)
        if done is None:
            w.clock.call_at(w.clock.now + link_ms, self._ended, attempt, io.Outcome.OVERLOADED)
            return
        backend.pending_attempts.add(attempt)
        outcome = io.Outcome.ERROR if w.rng.random() < ERROR_SHARE else io.Outcome.OK
        back = done + link_ms
        if back > attempt.client_try.deadline_ms:
            back, outcome = attempt.client_try.deadline_ms, io.Outcome.TIMEOUT
        w.clock.call_at(back, self._answered, attempt, outcome)

    def _unheard(self, attempt: Attempt) -> None:
        attempt.lost = True
        self.world.clock.call_at(attempt.client_try.deadline_ms, self._ended, attempt, io.Outcome.TIMEOUT)

    def _answered(self, attempt: Attempt, outcome: io.Outcome) -> None:
        attempt.backend.pending_attempts.discard(attempt)
        if attempt.over or attempt.lost:
            return
        if not self.world.links.can_reach(self.zone, attempt.backend.zone):
            self._unheard(attempt)
        else:
            self._ended(attempt, outcome)

    def on_backend_stopped(self, attempt: Attempt, health: Health) -> None:
        """The backend that held it has died, or fell silent."""
        if attempt.over or attempt.lost:
            return
        if health is Health.SILENT:
            self._unheard(attempt)
        else:
            link_ms = self.world.links.delay_ms(self.zone, attempt.backend.zone)
            attempt.lost = True
            self.world.clock.call_at(self.world.clock.now + link_ms, self._ended, attempt, io.Outcome.RESET)

    def _ended(self, attempt: Attempt, outcome: io.Outcome) -> None:
        if attempt.over:
            return
        w, t, now = self.world, attempt.client_try, self.world.clock.now
        attempt.over = True
        w.record.outcomes[outcome.value] += 1
        if attempt.life >= 0:
            kept = outcome in (io.Outcome.OK, io.Outcome.ERROR, io.Outcome.OVERLOADED)
            attempt.pool.release(now, attempt.life, kept)
        w.accounts[t.customer].in_flight -= 1
        del t.in_flight_attempts[attempt.number]
        self._attempts.pop((t.request, attempt.number), None)
        if self.dead:
            return
        t.may_have_run = t.may_have_run or outcome not in io.NEVER_RAN
        answers = outcome is io.Outcome.OK and t.request in self._open
        if answers:
            self._finish(t.request)
        self.put(
            io.AttemptEnded(
                t.request, attempt.number, attempt.backend.name, outcome, t.done, now - attempt.sent
            )
        )
        if answers:
            w.clients.handle_outcome(t, "served")

    def _cancel(self, action: io.Cancel) -> None:
        if not self.settings.may_cancel:
            self._broken("called off, which the settings do not allow")
        attempt = self._attempts.get((action.request, action.attempt))
        if attempt is not None and not attempt.over:
            # What is on its way already runs: nothing is taken back from a backend.
            self.world.clock.call_at(self.world.clock.now, self._ended, attempt, io.Outcome.CANCELLED)

    def _sweep(self) -> None:
        if self.dead:
            return
        now = self.world.clock.now
        self._pools = {name: pool for name, pool in self._pools.items() if not pool.close_idle(now)}
        self.world.clock.call_at(now + SWEEP_MS, self._sweep)

    def _close_idle(self, action: io.CloseIdle) -> None:
        pool = self._pools.get(action.backend)
        if pool is not None:
            pool.close_idle(self.world.clock.now, 0.0)

    # All else.

    def _count(self, action: io.CounterAdd) -> None:
        """A call is booked to the plan whose request brought it about."""
        event = self._event
        if isinstance(event, io.RequestArrived):
            plan = event.plan
        else:
            name = getattr(event, "name", action.name)
            plan = self._plan_of.get(name) or self._plan_of.get(action.name, "other")
        self._plan_of[action.name] = plan
        self.world.second_at(self.world.clock.now).calls += 1
        self.world.counter.call(self.zone, action, plan, self.put)

    def _probe(self, action: io.Probe) -> None:
        w, backend = self.world, self.world.backends[action.backend]
        up = backend.health is Health.UP and w.links.can_reach(self.zone, backend.zone)
        took = 2.0 * w.links.delay_ms(self.zone, backend.zone) if up else CONNECT_TIMEOUT_MS
        outcome = io.Outcome.OK if up else io.Outcome.CONNECT_FAILED
        w.clock.call_at(w.clock.now + took, self.put, io.ProbeResult(action.backend, outcome, took))

    def _fetch(self, action) -> None:
        self.world.discovery.send_full_list(self)

    # The end.

    def kill(self) -> None:
        """The process dies: its connections are reset, and its requests lost, unless clients come again."""
        now = self.world.clock.now
        self.dead, self.died_at = True, now
        for attempt in list(self._attempts.values()):
            self._ended(attempt, io.Outcome.RESET)
        for pool in self._pools.values():
            pool.close_idle(now, 0.0)
        opened, self._open = self._open, {}
        for t in opened.values():
            t.done = True
            self.world.record.lost += 1
            self.world.clients.handle_outcome(t, "lost")

    def unanswered(self) -> int:
        """Requests still open though their time is up."""
        late = self.settings.answer_slack_ms + SOCKETS_MS
        return sum(1 for t in self._open.values() if self.world.clock.now > t.deadline_ms + late)
