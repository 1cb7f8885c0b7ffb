"""Connects the network code to the decision module.

`Host` is the only caller of `Gateway.handle`: it passes events in one at a time and carries out the returned
actions. It keeps the table of open requests and guarantees that each request gets exactly one final answer
and each `Send` exactly one `AttemptEnded`.
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
from cobaltline.customer_table import CUSTOMER_BYTES

from .backends import Backends, Exchange
from .checks import REQUEST_ID_HEADER, HttpRequest, RequestError
from .clients import Client, Clients
from .config import Config
from .counter import CounterClient
from .discovery import DiscoveryClient, Listing
from .memory import MemoryBudget
from .peers import Peers
from .request_ids import ExecutedIds
from .system import REAL_SYSTEM, System
from .wire import Address, ThrottledLog, parse_load_report

log = logging.getLogger(__name__)
throttled_log = ThrottledLog(log)

# Descriptors that are kept from clients and backends: 24 are open at rest (loop, logs, listening socket, peer
# messages, counter, discovery), a reload to new addresses doubles those of the last two, and a closing
# connection holds its descriptor until the loop's next turn.
RESERVED_SOCKETS = 36
# Client and backend connections: as a share of all descriptors, and at most of those not reserved.
CLIENT_SOCKET_SHARE, CLIENT_UNRESERVED_SHARE = 0.5, 0.6
BACKEND_SOCKET_SHARE, BACKEND_UNRESERVED_SHARE = 0.3, 0.4
CUSTOMER_MEMORY_SHARE = 0.125  # of the limit on memory, for what the module knows of customers
OPEN_REQUEST_COPIES = 2  # of its text: as read or as it is forwarded, and as written until it is sent
# List entries between two calls of gc.freeze(): what is kept of them is never in a cycle, and a collection
# that walks a long list stops the loop: 30 ms with 26,000 entries.
GC_FREEZE_ENTRIES = 512


def max_customers(memory_mb: float) -> int:
    """Returns how many customers a gateway with this limit on memory may know at a time."""
    return max(1, int(memory_mb * CUSTOMER_MEMORY_SHARE * (1 << 20) / CUSTOMER_BYTES))


class Clock:
    """Unix time in ms that never goes backwards: read once at the start and advanced by the monotonic clock.

    It differs from that of other machines once a wall clock has been stepped.
    """

    def __init__(self, system: System = REAL_SYSTEM) -> None:
        self._monotonic = system.monotonic
        # Unix time at which the monotonic clock stood at 0.
        self.origin_ms = system.unix_time() * 1000.0 - system.monotonic() * 1000.0

    def now_ms(self) -> float:
        """Returns the current Unix time in ms."""
        return self.origin_ms + self._monotonic() * 1000.0


class OpenRequest:
    """An accepted request, kept until the module knows of its end and no attempt is outstanding.

    `name` is the module's name for the request and becomes `id`; `request_id` is the client's X-Request-ID.
    """

    __slots__ = (
        "id",
        "request_id",
        "client",
        "message",
        "head",
        "client_deadline_ms",
        "is_safe",
        "exchanges",
        "attempt_count",
        "may_have_run",
        "is_closed",
        "is_reported",
        "timer",
        "held_bytes",
    )

    def __init__(self, name: str, client: Client, message: HttpRequest, deadline_ms: float, is_safe: bool):
        self.id, self.client, self.message, self.client_deadline_ms = name, client, message, deadline_ms
        self.is_safe = is_safe  # to repeat
        self.request_id = message.headers[REQUEST_ID_HEADER]
        self.head = b""  # as forwarded to backends; built with the first attempt
        self.exchanges: dict[int, Exchange] = {}
        self.attempt_count = 0
        # An ended attempt may have run; answered or disconnected; the module knows of the end.
        self.may_have_run = self.is_closed = self.is_reported = False
        self.timer: asyncio.TimerHandle | None = None
        self.held_bytes = OPEN_REQUEST_COPIES * message.held_bytes()


class Host:
    """One gateway: the decision module and the network code around it.

    It has to be created inside a running event loop; `elderhub.__main__.start_gateway` opens its sockets.
    """

    def __init__(self, config: Config, system: System = REAL_SYSTEM):
        self._loop = asyncio.get_running_loop()
        self._clock = Clock(system)
        self.now_ms = self._clock.now_ms
        unreserved = config.sockets - RESERVED_SOCKETS
        backend_connections = int(
            min(config.sockets * BACKEND_SOCKET_SHARE, unreserved * BACKEND_UNRESERVED_SHARE)
        )
        # With the limit in its settings, the module queues the requests for which there is no connection.
        settings = dataclasses.replace(
            config.settings,
            most_out=float(backend_connections),
            max_customers=max_customers(config.memory_mb),
            clocks_in_sync=False,
            clock_origin_ms=self._clock.origin_ms,
        )
        self._module = Gateway(settings, config.seed)
        self._requests: dict[str, OpenRequest] = {}
        self._open_ids: set[bytes] = set()  # the X-Request-ID of each open request
        self._executed_ids = ExecutedIds(config.memory_mb)
        self._safe_classes = frozenset(
            request_class.name
            for request_class in settings.classes.values()
            if request_class.idempotency is io.Idempotency.SAFE
        )
        self._last_request_number = 0
        self._events: deque = deque()
        self._is_dispatching = False
        self._entries_since_freeze = 0  # list entries received since the last gc.freeze()
        self._memory = MemoryBudget(config.memory_mb)
        self.clients = Clients(
            self,
            settings,
            int(min(config.sockets * CLIENT_SOCKET_SHARE, unreserved * CLIENT_UNRESERVED_SHARE)),
            self._memory,
            system,
        )
        self.backends = Backends(settings, config.keepalive_ms, backend_connections, self._memory, system)
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
            io.CounterAdd: self._add_to_counter,
            io.SetTimer: self._set_timer,
            io.SendPeerMessage: self.peers.send,
            io.Probe: self._probe,
            io.CloseIdle: lambda action: self.backends.close_idle(action.backend),
            io.Subscribe: lambda action: self.discovery.restart(),
            io.Log: lambda action: log.info("%s", action.text),
            io.Fetch: lambda action: self.discovery.restart(full=True),
        }

    # Events and actions.

    def dispatch(self, event) -> None:
        """Passes an event to the module, after all earlier events and their actions."""
        self._events.append(event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._events:
                self._process(self._events.popleft())
        finally:
            self._is_dispatching = False

    def _process(self, event) -> None:
        try:
            actions = self._module.handle(self.now_ms(), event)
        except Exception:
            log.exception(
                "the decision module failed on %r; its request, if any, is answered with 500", event
            )
            # Actions decided before the failure are still carried out: the module awaits their results.
            actions, self._module.actions = self._module.actions, []
            self._abort_request(getattr(event, "request", ""))
            self._loop.call_later(0.05, self.dispatch, io.TimerFired(""))
        for action in actions:
            try:
                self._action_handlers[type(action)](action)
            except Exception:
                log.exception("action %r failed; its request, if any, is answered with 500", action)
                self._abort_request(getattr(action, "request", ""))
        kind = type(event)
        if kind is io.ClientDisconnected or kind is io.AttemptEnded:
            request = self._requests.get(event.request)
            if request is not None:
                request.is_reported = request.is_reported or request.is_closed
                self._remove_if_finished(request)

    def _remove_if_finished(self, request: OpenRequest) -> None:
        if request.is_reported and not request.exchanges and self._requests.pop(request.id, None) is not None:
            self._open_ids.discard(request.request_id)
            if request.may_have_run and not request.is_safe:
                self._executed_ids.add(request.request_id)
            self._memory.adjust(-request.held_bytes)

    # Requests.

    def handle_request(self, client: Client, message: HttpRequest, event: io.RequestArrived) -> None:
        """Accepts a parsed request and passes it to the module.

        Raises RequestError if its id is in use, if a request of this id may have run and is not safe to
        repeat, or if all requests together hold too much memory.
        """
        request_id = message.headers[REQUEST_ID_HEADER]
        # Backends would take its attempts for duplicates of the open request's.
        if request_id in self._open_ids:
            raise RequestError(409, "a request of this id is open")
        if request_id in self._executed_ids:
            raise RequestError(409, "a request of this id may have run")
        if not self._memory.has_room():
            raise RequestError(503, "too much memory in use")
        self._open_ids.add(request_id)
        self._last_request_number += 1
        event.request = f"{self._last_request_number}"
        request = self._requests[event.request] = OpenRequest(
            event.request, client, message, event.deadline_ms, event.kind in self._safe_classes
        )
        client.open_request = request
        self._memory.adjust(request.held_bytes)
        wait_s = (event.deadline_ms - self.now_ms()) / 1000.0
        request.timer = self._loop.call_later(max(0.0, wait_s), self._on_deadline, request)
        self.dispatch(event)

    def client_disconnected(self, client: Client) -> None:
        """Ends the open request of a client that has left."""
        request, client.open_request = client.open_request, None
        if self._close(request):
            self.dispatch(io.ClientDisconnected(request.id))

    def _is_wanted(self, request: OpenRequest) -> bool:
        """Whether the request is still open and its client still connected; checked before each send."""
        if not request.is_closed and request.client.has_disconnected():
            self.client_disconnected(request.client)
        return not request.is_closed

    def _close(self, request: OpenRequest) -> bool:
        """Closes the request; returns whether it was still open."""
        if request.is_closed:
            return False
        request.is_closed = True
        request.timer.cancel()
        for exchange in list(request.exchanges.values()):
            exchange.withdraw_if_unsent()
        return True

    def _answer(self, request: OpenRequest, status: int, body: bytes = b"", headers: bytes = b"") -> bool:
        """Sends the final answer unless the request is closed; returns whether it was sent."""
        if not self._close(request):
            return False
        client = request.client
        client.open_request = None
        client.respond(status, body, headers)
        return True

    def _on_deadline(self, request: OpenRequest) -> None:
        """Guards against an error in the module, which answers every request before its deadline."""
        if not request.is_closed:
            throttled_log.warning("request %s was not answered in time; answering 500", request.id)
            self._abort_request(request.id)

    def _abort_request(self, name: str) -> None:
        request = self._requests.get(name)
        if request is not None and self._answer(request, 500):
            self.dispatch(io.ClientDisconnected(name))

    def _reject(self, action: io.Reject) -> None:
        request = self._requests.get(action.request)
        if request is None:
            return
        if action.retry_after_ms > 0:
            self._answer(request, 429, b"", b"Retry-After: %.3f\r\n" % (action.retry_after_ms / 1000.0))
        else:
            self._answer(request, 503)
        request.is_reported = True
        self._remove_if_finished(request)

    def _fail(self, action: io.Fail) -> None:
        request = self._requests.get(action.request)
        if request is not None:
            self._answer(request, 502)
            request.is_reported = True
            self._remove_if_finished(request)

    # Attempts.

    def _send(self, action: io.Send) -> None:
        request = self._requests.get(action.request)
        if request is None or not self._is_wanted(request):  # the request ended after the module decided
            attempt_number = request.attempt_count if request else 0
            if request:
                request.attempt_count += 1
            self.dispatch(
                io.AttemptEnded(action.request, attempt_number, action.backend, io.Outcome.NOT_SENT, True)
            )
            return
        now = self.now_ms()
        deadline_ms = min(action.deadline_ms or request.client_deadline_ms, request.client_deadline_ms)
        if not request.head:
            request.head = request.message.head()
            request.message.forwarded_headers.clear()  # not needed twice
        loop_now_s = self._loop.time()
        deadline_s = loop_now_s + (deadline_ms - now) / 1000.0
        exchange = Exchange(
            action.backend, request.head, request.message.body, deadline_s, self._attempt_ended
        )
        exchange.send_before_s = loop_now_s + (action.send_before_ms - now) / 1000.0
        exchange.request, exchange.attempt_number, exchange.started_ms = request, request.attempt_count, now
        exchange.is_wanted = functools.partial(self._is_wanted, request)
        request.exchanges[request.attempt_count] = exchange
        request.attempt_count += 1
        self.backends.send(exchange)

    def _attempt_ended(self, exchange: Exchange) -> None:
        request = exchange.request
        del request.exchanges[exchange.attempt_number]
        outcome = exchange.outcome
        if outcome is io.Outcome.OK:
            self._answer(request, 200, exchange.response_body, exchange.response_headers)
        request.may_have_run = request.may_have_run or outcome not in io.NEVER_RAN
        self.dispatch(
            io.AttemptEnded(
                request.id,
                exchange.attempt_number,
                exchange.backend,
                outcome,
                request.is_closed,
                self.now_ms() - exchange.started_ms,
                report=parse_load_report(exchange.load_report),
            )
        )

    def _cancel(self, action: io.Cancel) -> None:
        request = self._requests.get(action.request)
        exchange = request.exchanges.get(action.attempt) if request else None
        if exchange is not None:
            exchange.abandon(io.Outcome.CANCELLED)

    # Discovery, the counter, timers and probes.

    def set_addresses(self, discovery: Address, counter: Address | None) -> None:
        """Moves discovery and the counter to new addresses, as a reload of the configuration asks for."""
        self.discovery.set_address(discovery)
        if self.counter is not None and counter is not None:
            self.counter.set_address(counter)

    def apply_listing(self, listing: Listing) -> None:
        """Applies a list of backends or a change to one; an empty change is ignored.

        Retired pools close only after the module knows of the change: it would retry on them otherwise.
        """
        if not listing.event.backends and listing.event.kind is io.ListKind.DELTA:
            return
        retired = self.backends.apply_listing(listing)
        self.dispatch(listing.event)
        for pool in retired:
            pool.close()
        self._entries_since_freeze += len(listing.event.backends)
        if self._entries_since_freeze >= GC_FREEZE_ENTRIES:
            self._entries_since_freeze = 0
            gc.collect(1)
            gc.freeze()

    def _add_to_counter(self, action: io.CounterAdd) -> None:
        if self.counter is None:
            self.dispatch(io.CounterResult(action.name, io.Outcome.CONNECT_FAILED))
        else:
            self.counter.add(action)

    def _set_timer(self, action: io.SetTimer) -> None:
        delay_s = math.ceil(max(0.0, action.delay_ms)) / 1000.0
        self._loop.call_later(delay_s, self._on_timer, action.token, self.now_ms() + action.delay_ms)

    def _on_timer(self, token: str, due_ms: float) -> None:
        """Fires a timer, never early.

        The loop counts whole milliseconds from a cached time, so a callback may run too soon, and the module
        ignores a timer that fires before it is due and would wait for it forever.
        """
        remaining_ms = due_ms - self.now_ms()
        if remaining_ms > 0.0:
            self._loop.call_later(math.ceil(remaining_ms) / 1000.0, self._on_timer, token, due_ms)
        else:
            self.dispatch(io.TimerFired(token))

    def _probe(self, action: io.Probe) -> None:
        started_ms = self.now_ms()

        def on_done(exchange: Exchange) -> None:
            report = parse_load_report(exchange.load_report or exchange.response_body)
            self.dispatch(
                io.ProbeResult(action.backend, exchange.outcome, self.now_ms() - started_ms, report)
            )

        self.backends.probe(action.backend, on_done)

    # Shutdown.

    def start_draining(self) -> None:
        """Starts to drain: open requests are finished, and clients are asked to reconnect elsewhere."""
        self.dispatch(io.Stopping())
        self.clients.start_draining()

    def answer_open_requests(self) -> None:
        """Answers what is still open when a drain ends: 503 where no attempt can have run, else 502."""
        self.clients.is_stopped = True
        for request in list(self._requests.values()):
            if not request.is_closed:
                may_have_run = request.may_have_run or any(
                    exchange.is_sent for exchange in request.exchanges.values()
                )
                self._answer(request, 502 if may_have_run else 503)
            for exchange in list(request.exchanges.values()):
                exchange.abandon(io.Outcome.CANCELLED)
