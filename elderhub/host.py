"""Between the sockets and the module: events in, one at a time, and actions out.

The only caller of `Gateway.handle`. Keeps the table of requests and sees to it that each gets exactly one
final answer, and each `Send` exactly one `AttemptEnded`.
"""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import gc
import logging
import math
from collections import deque

from cobaltline import Gateway
from cobaltline import interface as io

from .backends import Backends, Exchange
from .checks import REQUEST_ID_HEADER, HttpRequest, RequestError
from .clients import Client, Clients
from .config import Config
from .counter import CounterClient
from .discovery import DiscoveryClient, Listing
from .peers import Peers
from .system import REAL_SYSTEM, System
from .wire import Address, parse_load_report

log = logging.getLogger(__name__)

# Descriptors that neither clients nor backends get: 24 are open at rest (loop, logs, listening, messages,
# counter, discovery), a move doubles the last two, and a connection that ends holds its own for a moment.
OWN_SOCKETS = 36
CLIENT_SHARE, CLIENT_PART = 0.5, 0.6  # clients' connections: of all, and at most of what is left
BACKEND_SHARE, BACKEND_PART = 0.3, 0.4  # and those to backends
# entries of lists: what is kept of them is in no cycle, and with 26,000 a look costs 30 ms
GC_FREEZE_ENTRIES = 512


class Clock:
    """Unix time in ms as it was at the start, carried by the monotonic clock: never goes backwards. It is out
    of step with other machines where a wall clock was stepped."""

    def __init__(self, system: System = REAL_SYSTEM) -> None:
        self._monotonic = system.monotonic
        self.origin_ms = system.unix_time() * 1000.0 - system.monotonic() * 1000.0  # with the monotonic at 0

    def now_ms(self) -> float:
        return self.origin_ms + self._monotonic() * 1000.0


class OpenRequest:
    """A request that was taken, until its end was told to the module and no attempt is out."""

    __slots__ = (
        "id",
        "name",
        "client",
        "message",
        "head",
        "deadline",
        "out",
        "sends",
        "ran",
        "done",
        "told",
        "timer",
    )

    def __init__(self, name: str, client: Client, message: HttpRequest, deadline: float):
        self.id, self.client, self.message, self.deadline = name, client, message, deadline
        self.name = message.headers[REQUEST_ID_HEADER]
        self.head = b""
        self.out: dict[int, Exchange] = {}
        self.sends = 0
        self.ran = self.done = self.told = False  # an ended attempt may have run; final answer; module knows
        self.timer: asyncio.TimerHandle | None = None


class Host:
    def __init__(self, config: Config, system: System = REAL_SYSTEM):
        self._loop = asyncio.get_running_loop()
        self._clock = Clock(system)
        self.now_ms = self._clock.now_ms
        left = config.sockets - OWN_SOCKETS
        connections = int(min(config.sockets * BACKEND_SHARE, left * BACKEND_PART))  # to backends
        # The module chooses who waits where there are fewer connections than it would send requests.
        settings = dataclasses.replace(
            config.settings,
            most_out=float(connections),
            clocks_in_sync=False,
            clock_origin_ms=self._clock.origin_ms,
        )
        self._module = Gateway(settings, config.seed)
        self._requests: dict[str, OpenRequest] = {}
        self._open_ids: set[bytes] = set()  # what their clients call them
        self._last_request_number = 0
        self._events: deque = deque()
        self._busy = False
        self._entries = 0  # of lists, since what is kept of them was taken out of the collector's sight
        self.clients = Clients(
            self, settings, int(min(config.sockets * CLIENT_SHARE, left * CLIENT_PART)), system
        )
        self.backends = Backends(settings, config.keepalive_ms, connections, system)
        self.counter = (
            CounterClient(config.counter, settings.counter_timeout_ms, self.dispatch)
            if config.counter
            else None
        )
        self.discovery = DiscoveryClient(
            config.discovery,
            config.known.event.version,
            self.apply_listing,
            settings.poll_interval_ms / 1000.0 if settings.must_poll else 0.0,
            system.random,
        )
        self.discovery.set_known_backends(config.known)
        self.peers = Peers(config, self.dispatch)
        self._action_handlers = {
            io.Send: self._send,
            io.Reject: self._reject,
            io.Fail: self._fail,
            io.Cancel: self._cancel,
            io.CounterAdd: self._count,
            io.SetTimer: self._set_timer,
            io.SendPeerMessage: self.peers.send,
            io.Probe: self._probe,
            io.CloseIdle: lambda a: self.backends.close_idle(a.backend),
            io.Subscribe: lambda a: self.discovery.restart(),
            io.Log: lambda a: log.info("%s", a.text),
            io.Fetch: lambda a: self.discovery.restart(full=True),
        }

    # Events in, actions out.

    def dispatch(self, event) -> None:
        """Hand an event to the module, after those that came before it and their actions."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._busy = False

    def _step(self, event) -> None:
        try:
            actions = self._module.handle(self.now_ms(), event)
        except Exception:
            log.exception("the module failed on %r", event)
            # What it had decided by then is carried out, or calls would be missing that it waits for.
            actions, self._module.actions = self._module.actions, []
            self._give_up(getattr(event, "request", ""))
            self._loop.call_later(0.05, self.dispatch, io.TimerFired(""))
        for action in actions:
            try:
                self._action_handlers[type(action)](action)
            except Exception:
                log.exception("failed on %r", action)
                self._give_up(getattr(action, "request", ""))
        kind = type(event)
        if kind is io.ClientDisconnected or kind is io.AttemptEnded:
            held = self._requests.get(event.request)
            if held is not None:
                held.told = held.told or held.done
                self._forget(held)

    def _forget(self, held: OpenRequest) -> None:
        if held.told and not held.out and self._requests.pop(held.id, None) is not None:
            self._open_ids.discard(held.name)

    # Requests.

    def handle_request(self, client: Client, message: HttpRequest, event: io.RequestArrived) -> None:
        # its attempts would be taken for second copies of the other's
        if message.headers[REQUEST_ID_HEADER] in self._open_ids:
            raise RequestError(409, "a request of this id is open")
        self._open_ids.add(message.headers[REQUEST_ID_HEADER])
        self._last_request_number += 1
        event.request = f"{self._last_request_number}"
        held = self._requests[event.request] = OpenRequest(event.request, client, message, event.deadline_ms)
        client.open_request = held
        wait_s = (event.deadline_ms - self.now_ms()) / 1000.0
        held.timer = self._loop.call_later(max(0.0, wait_s), self._overdue, held)
        self.dispatch(event)

    def client_disconnected(self, client: Client) -> None:
        held, client.open_request = client.open_request, None
        if self._close(held):
            self.dispatch(io.ClientDisconnected(held.id))

    def _wanted(self, held: OpenRequest) -> bool:
        """Whether the request is still open and its client there: asked before each send."""
        if not held.done and held.client.has_disconnected():
            self.client_disconnected(held.client)
        return not held.done

    def _close(self, held: OpenRequest) -> bool:
        """Whether the request was still open. It is not from here on."""
        if held.done:
            return False
        held.done = True
        held.timer.cancel()
        for exchange in list(held.out.values()):
            exchange.withdraw_if_unsent()
        return True

    def _answer(self, held: OpenRequest, status: int, body: bytes = b"", headers: bytes = b"") -> bool:
        """The final answer, unless there was one."""
        if not self._close(held):
            return False
        client = held.client
        client.open_request = None
        client.respond(status, body, headers)
        return True

    def _overdue(self, held: OpenRequest) -> None:
        """The module answers before this; it guards against an error there."""
        if not held.done:
            log.error("request %s was not answered in time", held.id)
            self._give_up(held.id)

    def _give_up(self, name: str) -> None:
        held = self._requests.get(name)
        if held is not None and self._answer(held, 500):
            self.dispatch(io.ClientDisconnected(name))

    def _reject(self, action: io.Reject) -> None:
        held = self._requests.get(action.request)
        if held is None:
            return
        if action.retry_after_ms > 0:
            self._answer(held, 429, b"", b"Retry-After: %.3f\r\n" % (action.retry_after_ms / 1000.0))
        else:
            self._answer(held, 503)
        held.told = True
        self._forget(held)

    def _fail(self, action: io.Fail) -> None:
        held = self._requests.get(action.request)
        if held is not None:
            self._answer(held, 502)
            held.told = True
            self._forget(held)

    # Attempts.

    def _send(self, action: io.Send) -> None:
        held = self._requests.get(action.request)
        if held is None or not self._wanted(held):  # it ended while this was being decided
            number = held.sends if held else 0
            if held:
                held.sends += 1
            self.dispatch(io.AttemptEnded(action.request, number, action.backend, io.Outcome.NOT_SENT, True))
            return
        now = self.now_ms()
        until = min(action.deadline_ms or held.deadline, held.deadline)
        if not held.head:
            held.head = held.message.head()
        until_s = self._loop.time() + (until - now) / 1000.0
        exchange = Exchange(action.backend, held.head, held.message.body, until_s, self._ended)
        exchange.request, exchange.attempt_number, exchange.started_ms = held, held.sends, now
        exchange.is_wanted = functools.partial(self._wanted, held)
        held.out[held.sends] = exchange
        held.sends += 1
        self.backends.send(exchange)

    def _ended(self, exchange: Exchange) -> None:
        held = exchange.request
        del held.out[exchange.attempt_number]
        outcome = exchange.outcome
        if outcome is io.Outcome.OK:
            self._answer(held, 200, exchange.response_body, exchange.response_headers)
        held.ran = held.ran or outcome not in io.NEVER_RAN
        self.dispatch(
            io.AttemptEnded(
                held.id,
                exchange.attempt_number,
                exchange.backend,
                outcome,
                held.done,
                self.now_ms() - exchange.started_ms,
                report=parse_load_report(exchange.load_report),
            )
        )

    def _cancel(self, action: io.Cancel) -> None:
        held = self._requests.get(action.request)
        exchange = held.out.get(action.attempt) if held else None
        if exchange is not None:
            exchange.abandon(io.Outcome.CANCELLED)

    # All else.

    def set_addresses(self, discovery: Address, counter: Address | None) -> None:
        """Discovery and the counter are elsewhere now."""
        self.discovery.set_address(discovery)
        if self.counter is not None and counter is not None:
            self.counter.set_address(counter)

    def apply_listing(self, found: Listing) -> None:
        if not found.event.backends and found.event.kind is io.ListKind.DELTA:
            return
        parted = self.backends.apply_listing(found)
        self.dispatch(found.event)
        for pool in parted:
            pool.close()
        self._entries += len(found.event.backends)
        if self._entries >= GC_FREEZE_ENTRIES:
            self._entries = 0
            gc.collect(1)
            gc.freeze()

    def _count(self, action: io.CounterAdd) -> None:
        if self.counter is None:
            self.dispatch(io.CounterResult(action.name, io.Outcome.CONNECT_FAILED))
        else:
            self.counter.add(action)

    def _set_timer(self, action: io.SetTimer) -> None:
        delay_s = math.ceil(max(0.0, action.delay_ms)) / 1000.0
        self._loop.call_later(delay_s, self._wake, action.token, self.now_ms() + action.delay_ms)

    def _wake(self, token: str, due: float) -> None:
        """Never early: the loop counts whole milliseconds from a time it looked up a while ago, and the
        module takes a timer that fired too soon for one still to come, and waits for that for ever."""
        left = due - self.now_ms()
        if left > 0.0:
            self._loop.call_later(math.ceil(left) / 1000.0, self._wake, token, due)
        else:
            self.dispatch(io.TimerFired(token))

    def _probe(self, action: io.Probe) -> None:
        began = self.now_ms()

        def done(exchange: Exchange) -> None:
            figures = parse_load_report(exchange.load_report or exchange.response_body)
            self.dispatch(io.ProbeResult(action.backend, exchange.outcome, self.now_ms() - began, figures))

        self.backends.probe(action.backend, done)

    # The end.

    def start_draining(self) -> None:
        """The process was told to end: it serves what it has."""
        self.dispatch(io.Stopping())
        self.clients.start_draining()

    def answer_open_requests(self) -> None:
        """The last moment: what is still open is answered by the rules, refused only if it can't have run."""
        self.clients.is_stopped = True
        for held in list(self._requests.values()):
            if not held.done:
                ran = held.ran or any(exchange.is_sent for exchange in held.out.values())
                self._answer(held, 502 if ran else 503)
            for exchange in list(held.out.values()):
                exchange.abandon(io.Outcome.CANCELLED)
