"""Connection pools to backends, and the attempts and probes that go over them."""

from __future__ import annotations

import asyncio
import itertools
import logging
import math
import select
from collections import deque
from collections.abc import Callable

import httptools

from cobaltline import interface as io

from .discovery import Listing
from .memory import MemoryBudget
from .system import REAL_SYSTEM, System
from .wire import HOP_BY_HOP_HEADERS, MAX_HEADER_LINES, MAX_MESSAGE_BYTES, Address

log = logging.getLogger(__name__)

IDLE_TIMEOUT_SHARE = 0.5  # of the backends' keepalive time, after which a connection is no longer used
MAX_CONNECTIONS_PER_BACKEND = 64
BODY_TIMEOUT_S = 0.5  # from the head of a response to the end of its body
REUSE_DELAY_S = 0.02  # before a connection is reused, since surplus data may arrive after a response
MIN_WAIT_S = 0.001  # of the timer for exchanges that wait for a connection
MAX_RESPONSE_BYTES = 2 * MAX_MESSAGE_BYTES  # raw, including heads, interim responses and chunk framing
SWEEP_INTERVAL_S = 1.0
UNRETURNED_HEADERS = HOP_BY_HOP_HEADERS | {b"content-length", b"x-server-load", b"x-not-processed"}


class Exchange:
    """One request to one backend and its response, an attempt or a probe.

    It ends exactly once, by a call of `on_done` with the exchange itself. `deadline_s` and `send_before_s`
    are loop times; it is dropped if its last byte is not sent before the latter.
    `request`, `attempt_number` and `started_ms` belong to the caller.
    """

    __slots__ = (
        "backend",
        "head",
        "body",
        "deadline_s",
        "send_before_s",
        "on_done",
        "connection",
        "is_sent",
        "is_done",
        "outcome",
        "response_headers",
        "response_body",
        "load_report",
        "timer",
        "request",
        "attempt_number",
        "started_ms",
        "is_wanted",
    )

    def __init__(
        self,
        backend: str,
        head: bytes,
        body: bytes | bytearray,
        deadline_s: float,
        on_done: Callable[[Exchange], None],
    ):
        self.backend, self.head, self.body, self.deadline_s, self.on_done = (
            backend,
            head,
            body,
            deadline_s,
            on_done,
        )
        self.send_before_s = math.inf
        self.connection: Connection | None = None  # from the start of writing the request
        self.is_sent = False  # the last byte has left the write buffer: the backend may run it from now on
        self.is_done, self.outcome = False, io.Outcome.TIMEOUT
        self.response_headers, self.response_body, self.load_report = b"", b"", None
        self.timer: asyncio.TimerHandle | None = None
        # Whether the request still needs the response, asked if it had to wait for its connection.
        self.is_wanted: Callable[[], bool] | None = None

    def end(self, outcome: io.Outcome) -> None:
        """Ends the exchange with an outcome; has no effect once it has ended."""
        if self.is_done:
            return
        self.is_done, self.outcome = True, outcome
        if self.timer is not None:
            self.timer.cancel()
        self.on_done(self)

    def abandon(self, outcome: io.Outcome) -> None:
        """Stops waiting and closes the connection, on which the response may still arrive."""
        if self.connection is not None and not self.is_done:
            self.connection.abort()
        self.end(outcome)

    def withdraw_if_unsent(self) -> None:
        """Abandons the exchange unless its request has been sent completely and counts as an attempt."""
        if not self.is_sent:
            self.abandon(io.Outcome.NOT_SENT)

    def withdraw_if_late(self, now_s: float) -> None:
        """Abandons the exchange if it should have been sent by now (loop time) and has not been."""
        if now_s >= self.send_before_s:
            self.withdraw_if_unsent()

    def may_start(self, now_s: float) -> bool:
        """Returns whether the exchange is still to be sent (`now_s` in loop time) after a wait.

        What was checked as the attempt was decided on may have changed since.
        """
        self.withdraw_if_late(now_s)
        return not self.is_done and (self.is_wanted is None or self.is_wanted())

    def on_timeout(self) -> None:
        """Abandons the exchange at its deadline."""
        self.abandon(io.Outcome.TIMEOUT if self.is_sent else io.Outcome.CONNECT_FAILED)


class Connection(asyncio.Protocol):
    """One connection to a backend; carries one exchange at a time, `first` as soon as it is open."""

    def __init__(self, pool: Pool, first: Exchange | None):
        self._pool, self._first_exchange = pool, first
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._poll = pool.poll()
        # Each is one piece of text: objects for each line or chunk would take many times the memory.
        self._headers, self._body = bytearray(), bytearray()
        self._header_lines = 0  # of the present response and its trailers
        self._received_bytes = 0  # raw, since the request was written
        self._held_bytes = 0  # of an incomplete response
        self._content_length: bytes | None = None
        self._status, self._not_processed, self._load_reports = 0, False, []
        self._is_chunked = self._has_head = self._ends_with_connection = False
        # A complete response has been read; data after it too; the connection may be reused.
        self._is_complete = self._has_excess = self._keeps_alive = False
        self._body_timer: asyncio.TimerHandle | None = None
        self.idle_since = 0.0

    def connection_made(self, transport) -> None:
        self._transport = transport
        # With limits of 0, `resume_writing` is called only once the whole buffer has been sent.
        transport.set_write_buffer_limits(0)
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        first, self._first_exchange = self._first_exchange, None
        self._pool.connection_opened(self, first)

    def start(self, exchange: Exchange) -> None:
        """Writes the request of an exchange."""
        self._exchange, exchange.connection = exchange, self
        self._status, self._is_complete, self._has_head, self._ends_with_connection = 0, False, False, False
        self._received_bytes = 0
        wait_s = max(0.001, exchange.deadline_s - self._pool.loop.time())
        head = exchange.head + b"X-Timeout: %.3f\r\n\r\n" % wait_s
        self._transport.write(head + exchange.body if exchange.body else head)
        if self._transport.is_closing():  # the write failed; `connection_lost` follows
            return
        if self._transport.get_write_buffer_size() == 0:
            exchange.is_sent = True

    def resume_writing(self) -> None:
        if self._exchange is not None:
            self._exchange.is_sent = True

    def data_received(self, data: bytes) -> None:
        if self._exchange is None:  # unsolicited data must not be taken for the next response
            self.abort()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._is_complete:
                self._end(io.Outcome.UNUSABLE_RESPONSE)
                return
            self._has_excess = True
        if self._is_complete:
            self._finish_response()
        elif self._received_bytes > (MAX_RESPONSE_BYTES if self._has_head else MAX_MESSAGE_BYTES):
            # An endless head or trailer triggers no callback of the parser.
            self._end(io.Outcome.UNUSABLE_RESPONSE)
        elif not self._hold(len(data)):
            self._end(io.Outcome.UNUSABLE_RESPONSE)
        elif self._has_head and self._body_timer is None:
            self._body_timer = self._pool.loop.call_later(BODY_TIMEOUT_S, self._on_body_timeout)

    def _hold(self, size: int) -> bool:
        """Counts a part of an incomplete response; returns whether there is memory for it."""
        self._held_bytes += size
        return self._pool.memory.adjust(size)

    def _release(self) -> None:
        """Counts nothing of the response any more."""
        if self._held_bytes:
            self._pool.memory.adjust(-self._held_bytes)
            self._held_bytes = 0

    def _on_body_timeout(self) -> None:
        """Gives up on a response whose body is not complete in time."""
        self._body_timer = None
        if self._exchange is None:
            return
        if self._poll.poll(0):  # the loop was stalled: read what has arrived first
            self._body_timer = self._pool.loop.call_later(0.001, self._on_body_timeout)
        else:
            self._end(io.Outcome.UNUSABLE_RESPONSE)

    def on_message_begin(self) -> None:
        if self._is_complete:
            raise ValueError("data after the response")  # the response itself stands
        self._headers, self._body, self._header_lines = bytearray(), bytearray(), 0
        self._content_length, self._is_chunked, self._has_head, self._ends_with_connection = (
            None,
            False,
            False,
            False,
        )
        self._status, self._not_processed, self._load_reports = 0, False, []

    def on_header(self, name: bytes, value: bytes) -> None:
        self._header_lines += 1
        if self._header_lines > MAX_HEADER_LINES:
            raise ValueError("too many header lines")
        lower_name = name.lower()
        if lower_name == b"content-length":
            self._content_length = value
        elif lower_name == b"transfer-encoding":
            self._is_chunked = value.lower() == b"chunked"
            if not self._is_chunked:
                raise ValueError("unsupported transfer coding")
        elif lower_name == b"x-not-processed":
            self._not_processed = value == b"1"
        elif lower_name == b"x-server-load":
            self._load_reports.append(value)
        if lower_name not in UNRETURNED_HEADERS:
            self._headers += b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        self._status = self._parser.get_status_code()
        if self._status < 200:  # an interim response
            return
        self._has_head = True
        if self._is_chunked:
            return
        if self._content_length is None:
            # The body ends with the connection. It is needed only with status 200.
            self._ends_with_connection = self._status == 200
            self._is_complete, self._has_excess = not self._ends_with_connection, True
        elif int(self._content_length) > MAX_MESSAGE_BYTES:
            raise ValueError("the answer is too large")

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > MAX_MESSAGE_BYTES:
            raise ValueError("the answer is too large")

    def on_message_complete(self) -> None:
        self._is_complete = self._status >= 200
        self._keeps_alive = self._parser.should_keep_alive()  # valid only inside this callback

    def _finish_response(self) -> None:
        exchange = self._exchange
        exchange.response_headers, exchange.response_body = bytes(self._headers), bytes(self._body)
        exchange.load_report = b",".join(self._load_reports)
        self._end(self._outcome(), exchange.is_sent and self._keeps_alive and not self._has_excess)

    def _outcome(self) -> io.Outcome:
        if self._status == 200:  # a response before the end of the request can't be for it
            return io.Outcome.OK if self._exchange.is_sent else io.Outcome.UNUSABLE_RESPONSE
        if self._status in (503, 504) and self._not_processed:
            return io.Outcome.OVERLOADED
        # A status below 500 faults the request, not the backend.
        return io.Outcome.ERROR if self._status >= 500 else io.Outcome.UNUSABLE_RESPONSE

    def _end(self, outcome: io.Outcome, keep: bool = False) -> None:
        exchange, self._exchange = self._exchange, None
        self._headers, self._body = bytearray(), bytearray()
        self._release()
        if self._body_timer is not None:
            self._body_timer.cancel()
            self._body_timer = None
        if keep:
            self._pool.add_idle(self)
        else:
            self.abort()
        if exchange is not None:
            exchange.end(outcome)

    def eof_received(self) -> bool:
        """Completes a response without a length; after a reset only `connection_lost` is called."""
        if self._exchange is not None and self._ends_with_connection:
            self._finish_response()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._pool.connection_ended(self)
        self._release()
        if self._body_timer is not None:
            self._body_timer.cancel()
        self._parser = None  # breaks the reference cycle with the parser
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.end(io.Outcome.RESET if exchange.is_sent else io.Outcome.CONNECT_FAILED)

    def abort(self) -> None:
        """Closes the connection at once; it no longer counts, though the loop closes it in its next turn."""
        self._pool.forget(self)
        self._transport.abort()

    def is_usable(self) -> bool:
        """Whether the connection is open with nothing to read, even if the loop has not seen its end yet."""
        return not self._transport.is_closing() and not self._poll.poll(0)


class Pool:
    """The connections to one backend, and the exchanges that wait for one.

    A connection is reused REUSE_DELAY_S after its last response at the earliest. Where no further connection
    may be opened, as many exchanges wait as there are connections within that delay.
    """

    def __init__(self, backends: Backends, address: Address):
        self.loop, self.poll, self.memory, self._backends = (
            backends.loop,
            backends.poll,
            backends.memory,
            backends,
        )
        self.address, self.is_closed = address, False
        self.connections: set[Connection] = set()
        self.idle_connections: list[Connection] = []  # the most recently used last
        self.opening: dict[Exchange, asyncio.Task] = {}
        self._waiting: deque[Exchange] = deque()  # until a connection may be reused
        self._waiting_timer: asyncio.TimerHandle | None = None

    def send(self, exchange: Exchange) -> None:
        """Sends an exchange over an idle connection, or a new one where none may be reused.

        Where none may be opened either, it waits for one that may be reused soon, or fails if there is none.
        """
        if self._waiting:
            self._send_waiting()
        if not self._waiting and self._try_to_send(exchange):
            return
        if len(self._waiting) < len(self.idle_connections):
            self._waiting.append(exchange)
            self._schedule_waiting()
        else:
            exchange.end(io.Outcome.CONNECT_FAILED)

    def _try_to_send(self, exchange: Exchange) -> bool:
        """Sends an exchange, or opens a connection for it; returns whether either was possible."""
        connection = self._take_idle()
        if connection is not None:
            connection.start(exchange)
            return True
        is_full = len(self.connections) + len(self.opening) >= MAX_CONNECTIONS_PER_BACKEND
        if is_full or not self._backends.make_room():
            return False
        self._backends.open_or_opening[exchange] = self
        self.opening[exchange] = self._backends.run_in_background(self._open(exchange))
        return True

    def _send_waiting(self) -> None:
        """Sends the exchanges that wait, in order, as far as there are connections for them."""
        while self._waiting:
            exchange = self._waiting.popleft()
            if not exchange.may_start(self.loop.time()) or self._try_to_send(exchange):
                continue
            if self.idle_connections:
                self._waiting.appendleft(exchange)
                self._schedule_waiting()
                return
            exchange.end(io.Outcome.CONNECT_FAILED)

    def _schedule_waiting(self) -> None:
        """Sets the timer for the time at which the next connection may be reused."""
        if self._waiting_timer is None:
            idle_since_s = min(connection.idle_since for connection in self.idle_connections)
            wait_s = max(MIN_WAIT_S, idle_since_s + REUSE_DELAY_S - self.loop.time())
            self._waiting_timer = self.loop.call_later(wait_s, self._on_waiting_timer)

    def _on_waiting_timer(self) -> None:
        self._waiting_timer = None
        self._send_waiting()

    def _take_idle(self) -> Connection | None:
        """Takes the most recently used idle connection that may be reused.

        One that the backend may be about to close is not used, even if the sweep has not closed it yet.
        """
        now_s = self.loop.time()
        idle_before_s, idle_limit_s = now_s - REUSE_DELAY_S, now_s - self._backends.max_idle_s
        for connection in [x for x in reversed(self.idle_connections) if x.idle_since <= idle_before_s]:
            self._remove_idle(connection)
            if connection.idle_since > idle_limit_s and connection.is_usable():
                return connection
            connection.abort()
        return None

    async def _open(self, exchange: Exchange) -> None:
        try:
            async with asyncio.timeout(self._backends.connect_timeout_s):
                await self.loop.create_connection(lambda: Connection(self, exchange), *self.address)
        except (OSError, TimeoutError):
            # The timeout may strike just after the connection opened; then the connection ends the exchange.
            if exchange.connection is None:
                exchange.end(io.Outcome.CONNECT_FAILED)
        finally:
            self._end_opening(exchange)

    def _end_opening(self, exchange: Exchange) -> None:
        self.opening.pop(exchange, None)
        self._backends.open_or_opening.pop(exchange, None)

    def connection_opened(self, connection: Connection, exchange: Exchange) -> None:
        """Starts the exchange that the connection was opened for, unless it is not needed any more."""
        self._end_opening(exchange)
        self.connections.add(connection)
        self._backends.open_or_opening[connection] = self
        may_start = exchange.may_start(self.loop.time())
        if self.is_closed:
            connection.abort()
        elif may_start:
            connection.start(exchange)
        else:
            self.add_idle(connection)
            connection.idle_since -= REUSE_DELAY_S  # usable at once, as no response came over it yet

    def add_idle(self, connection: Connection) -> None:
        """Keeps a connection for later exchanges, or closes it if the pool is closed."""
        if self.is_closed:
            connection.abort()
            return
        connection.idle_since = self.loop.time()
        self.idle_connections.append(connection)
        self._backends.idle_by_age[connection] = self

    def _remove_idle(self, connection: Connection) -> None:
        self.idle_connections.remove(connection)
        del self._backends.idle_by_age[connection]

    def forget(self, connection: Connection) -> None:
        """Stops counting a connection against the limits."""
        self.connections.discard(connection)
        self._backends.open_or_opening.pop(connection, None)

    def connection_ended(self, connection: Connection) -> None:
        """Removes a connection that is closed."""
        self.forget(connection)
        if connection in self.idle_connections:
            self._remove_idle(connection)

    def retire(self, connection: Connection) -> None:
        """Closes an idle connection."""
        self._remove_idle(connection)
        connection.abort()

    def retire_all(self) -> None:
        """Closes all idle connections."""
        for connection in list(self.idle_connections):
            self.retire(connection)

    def cancel_opening(self, exchange: Exchange) -> None:
        """Cancels opening the connection for an exchange that has ended."""
        task = self.opening[exchange]
        self._end_opening(exchange)
        task.cancel()

    def close(self) -> None:
        """Closes the pool: running exchanges finish, and those that wait for a connection fail."""
        self.is_closed = True
        self.retire_all()
        waiting, self._waiting = self._waiting, deque()
        for exchange in (*self.opening, *waiting):
            exchange.end(io.Outcome.CONNECT_FAILED)

    def is_unused(self) -> bool:
        """Whether the pool has no connection and nothing waits for one."""
        return not self.connections and not self.opening and not self._waiting


class Backends:
    """The connection pools to all backends of the list, with a common limit on connections.

    `keepalive_ms` is the time after which backends close an idle connection.
    """

    def __init__(
        self,
        settings: io.Settings,
        keepalive_ms: float,
        max_connections: int,
        memory: MemoryBudget,
        system: System = REAL_SYSTEM,
    ):
        self.loop, self.poll, self.memory = asyncio.get_running_loop(), system.poll, memory
        self.connect_timeout_s = settings.connect_timeout_ms / 1000.0
        self.max_idle_s, self._max_connections = keepalive_ms * IDLE_TIMEOUT_SHARE / 1000.0, max_connections
        # Address and start time of each backend that takes new requests.
        self._endpoints: dict[str, tuple[Address, float]] = {}
        self._pools: dict[str, Pool] = {}  # of backends with connections; a sweep removes the others
        self._draining_pools: set[Pool] = set()  # of backends that drain or have left
        # Over all pools, so that the limit and the longest idle connection are found without a search, as a
        # request to one of many backends mostly needs a new connection: what counts against the limit, and
        # the idle connections, those idle for longest first.
        self.open_or_opening: dict[Connection | Exchange, Pool] = {}
        self.idle_by_age: dict[Connection, Pool] = {}
        self._tasks: set[asyncio.Task] = set()
        self._path = b"/load" if settings.load_report_fields else b"/healthz"

    def start(self) -> None:
        """Starts the periodic sweep, which closes connections idle for too long and drops empty pools."""
        self._sweep()

    def _sweep(self) -> None:
        idle_before_s = self.loop.time() - self.max_idle_s
        for connection, pool in list(
            itertools.takewhile(lambda entry: entry[0].idle_since <= idle_before_s, self.idle_by_age.items())
        ):
            pool.retire(connection)
        for name in [name for name, pool in self._pools.items() if pool.is_unused()]:
            del self._pools[name]
        self._draining_pools = {pool for pool in self._draining_pools if not pool.is_unused()}
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def run_in_background(self, work) -> asyncio.Task:
        """Runs a coroutine as a task and keeps a reference to it until it is done."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def make_room(self) -> bool:
        """Returns whether one more connection may be opened.

        At the limit, the connection idle for longest is closed, or one that opens for an ended exchange.
        """
        if len(self.open_or_opening) < self._max_connections:
            return True
        if self.idle_by_age:
            connection, pool = next(iter(self.idle_by_age.items()))
            pool.retire(connection)
            return True
        for holder, pool in self.open_or_opening.items():
            if isinstance(holder, Exchange) and holder.is_done:
                pool.cancel_opening(holder)
                return True
        return False

    def apply_listing(self, listing: Listing) -> list[Pool]:
        """Applies a list of backends or a change to one; returns the pools that get no further exchanges.

        The caller closes them once the module knows of the change: it would retry on them otherwise.
        """
        retired = []
        if listing.event.kind is not io.ListKind.DELTA:
            listed_ids = {backend.id for backend in listing.event.backends}
            retired += [self._retire_pool(name) for name in list(self._endpoints) if name not in listed_ids]
        for backend in listing.event.backends:
            is_up = backend.state is io.BackendState.UP
            endpoint = (listing.addresses[backend.id], backend.started_ms) if is_up else None
            if endpoint != self._endpoints.get(backend.id):  # draining, removed, moved or restarted
                retired.append(self._retire_pool(backend.id))
                if is_up:
                    self._endpoints[backend.id] = endpoint
        retired = [pool for pool in retired if pool is not None]
        self._draining_pools.update(retired)
        return retired

    def _retire_pool(self, name: str) -> Pool | None:
        self._endpoints.pop(name, None)
        return self._pools.pop(name, None)

    def has_backend(self) -> bool:
        """Whether any backend takes new requests."""
        return bool(self._endpoints)

    def send(self, exchange: Exchange) -> None:
        """Sends an exchange to its backend; it ends at once for an unknown backend or if it is too late."""
        pool = self._pools.get(exchange.backend)
        if pool is None and exchange.backend in self._endpoints:
            address, _ = self._endpoints[exchange.backend]
            pool = self._pools[exchange.backend] = Pool(self, address)
        now_s = self.loop.time()
        if pool is None or exchange.deadline_s <= now_s:
            exchange.end(io.Outcome.CONNECT_FAILED)
            return
        exchange.withdraw_if_late(now_s)
        if exchange.is_done:
            return
        if exchange.send_before_s < exchange.deadline_s:
            exchange.timer = self.loop.call_later(
                exchange.send_before_s - now_s, self._on_send_limit, exchange
            )
        else:
            exchange.timer = self.loop.call_later(exchange.deadline_s - now_s, exchange.on_timeout)
        pool.send(exchange)

    def _on_send_limit(self, exchange: Exchange) -> None:
        """Withdraws an exchange that is not sent completely; any other may take until its deadline."""
        exchange.withdraw_if_unsent()
        if not exchange.is_done:
            wait_s = max(0.0, exchange.deadline_s - self.loop.time())
            exchange.timer = self.loop.call_later(wait_s, exchange.on_timeout)

    def probe(self, backend: str, on_done: Callable[[Exchange], None]) -> None:
        """Asks a backend for its load or health; `on_done` is called with the exchange once it has ended."""
        head = b"GET %b HTTP/1.1\r\nHost: backend\r\n" % self._path
        self.send(Exchange(backend, head, b"", self.loop.time() + self.connect_timeout_s, on_done))

    def close_idle(self, backend: str) -> None:
        """Closes the idle connections to a backend."""
        if backend in self._pools:
            self._pools[backend].retire_all()
