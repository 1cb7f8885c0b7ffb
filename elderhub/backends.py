"""Connections to backends, and what goes over them: attempts and probes."""

from __future__ import annotations

import asyncio
import itertools
import logging
import select
from collections.abc import Callable

import httptools

from cobaltline import interface as io

from .discovery import Listing
from .system import REAL_SYSTEM, System
from .wire import HOP_BY_HOP_HEADERS, MAX_MESSAGE_BYTES, Address

log = logging.getLogger(__name__)

IDLE_SHARE = 0.5  # of the backends' own idle limit, after which a connection is no longer used
MAX_CONNECTIONS_PER_BACKEND = 64  # connections to one backend
BODY_S = 0.5  # an answer whose body is not whole so long after its head is not waited for
REUSE_DELAY_S = 0.02  # a connection is used again after this: a second answer may come some milliseconds late
SENT_MOST = 2 * MAX_MESSAGE_BYTES  # bytes of one answer, with all that announces and frames it
SWEEP_INTERVAL_S = 1.0
OWN_HEADERS = HOP_BY_HOP_HEADERS | {b"content-length", b"x-server-load", b"x-not-processed"}


class Exchange:
    """One request to one backend. Ends exactly once, by a call of `on_done` with the exchange itself."""

    __slots__ = (
        "backend",
        "head",
        "body",
        "deadline_s",
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
        self, backend: str, head: bytes, body: bytes, deadline_s: float, on_done: Callable[[Exchange], None]
    ):
        self.backend, self.head, self.body, self.deadline_s, self.on_done = (
            backend,
            head,
            body,
            deadline_s,
            on_done,
        )
        self.connection: Connection | None = None  # once the request is being written
        self.is_sent = False  # its last byte has left our buffer: from here on it may run
        self.is_done, self.outcome = False, io.Outcome.TIMEOUT
        self.response_headers, self.response_body, self.load_report = b"", b"", None
        self.timer: asyncio.TimerHandle | None = None
        self.is_wanted: Callable[[], bool] | None = None  # where it is not, its request withdraws it

    def end(self, outcome: io.Outcome) -> None:
        if self.is_done:
            return
        self.is_done, self.outcome = True, outcome
        if self.timer is not None:
            self.timer.cancel()
        self.on_done(self)

    def abandon(self, outcome: io.Outcome) -> None:
        """Stop waiting. A connection that may still bring the answer is of no use to anybody else."""
        if self.connection is not None and not self.is_done:
            self.connection.abort()
        self.end(outcome)

    def withdraw_if_unsent(self) -> None:
        """Its request is over. What was not sent whole is no attempt yet, and does not become one."""
        if not self.is_sent:
            self.abandon(io.Outcome.NOT_SENT)

    def on_timeout(self) -> None:
        self.abandon(io.Outcome.TIMEOUT if self.is_sent else io.Outcome.CONNECT_FAILED)


class Connection(asyncio.Protocol):
    """One connection; carries one exchange at a time."""

    def __init__(self, pool: Pool, first: Exchange | None):
        self._pool, self._first = pool, first
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._poll = pool.poll()
        self._headers: list[bytes] = []
        self._body: list[bytes] = []
        self._unread = self._size = 0  # bytes since the request was written; of the body
        self._length: bytes | None = None
        self._status, self._never_ran, self._reports = 0, False, []
        self._chunked = self._headed = self._until_end = False
        self._whole = self._extra = self._lasts = False  # an answer is there; and more; may be used again
        self._stalled: asyncio.TimerHandle | None = None
        self.idle_since = 0.0

    def connection_made(self, transport) -> None:
        self._transport = transport
        # A write goes out at once; what the socket does not take is told of when it has left, however little.
        transport.set_write_buffer_limits(0)
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        first, self._first = self._first, None
        self._pool.opened(self, first)

    def start(self, exchange: Exchange) -> None:
        self._exchange, exchange.connection = exchange, self
        self._status, self._whole, self._headed, self._until_end = 0, False, False, False
        self._unread = 0
        wait_s = max(0.001, exchange.deadline_s - self._pool.loop.time())
        head = exchange.head + b"X-Timeout: %.3f\r\n\r\n" % wait_s
        self._transport.write(head + exchange.body if exchange.body else head)
        if self._transport.is_closing():  # it failed at once; `connection_lost` is on its way
            return
        if self._transport.get_write_buffer_size() == 0:
            exchange.is_sent = True

    def resume_writing(self) -> None:
        if self._exchange is not None:
            self._exchange.is_sent = True

    def data_received(self, data: bytes) -> None:
        if self._exchange is None:  # nothing was asked: whatever this is, it answers no later request
            self.abort()
            return
        self._unread += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._whole:
                self._end(io.Outcome.UNUSABLE_RESPONSE)
                return
            self._extra = True
        if self._whole:
            self._answered()
        elif self._unread > (SENT_MOST if self._headed else MAX_MESSAGE_BYTES):
            # a head or a trailer without end, which no callback tells of
            self._end(io.Outcome.UNUSABLE_RESPONSE)
        elif self._headed and self._stalled is None:
            self._stalled = self._pool.loop.call_later(BODY_S, self._stands)

    def _stands(self) -> None:
        """Nothing says whether an answer that is too short will go on: it is not waited for for ever."""
        self._stalled = None
        if self._exchange is None:
            return
        if self._poll.poll(0):  # we stood still ourselves: look at what has come meanwhile
            self._stalled = self._pool.loop.call_later(0.001, self._stands)
        else:
            self._end(io.Outcome.UNUSABLE_RESPONSE)

    def on_message_begin(self) -> None:
        if self._whole:
            raise ValueError("more than was asked for")  # the answer before it stands
        self._headers, self._body, self._size = [], [], 0
        self._length, self._chunked, self._headed, self._until_end = None, False, False, False
        self._status, self._never_ran, self._reports = 0, False, []

    def on_header(self, name: bytes, value: bytes) -> None:
        low = name.lower()
        if low == b"content-length":
            self._length = value
        elif low == b"transfer-encoding":
            self._chunked = value.lower() == b"chunked"
            if not self._chunked:
                raise ValueError("a transfer coding that is not read here")
        elif low == b"x-not-processed":
            self._never_ran = value == b"1"
        elif low == b"x-server-load":
            self._reports.append(value)
        if low not in OWN_HEADERS:
            self._headers.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        self._status = self._parser.get_status_code()
        if self._status < 200:  # only announces the answer
            return
        self._headed = True
        if self._chunked:
            return
        if self._length is None:
            # It lasts until the connection ends. Nobody is sent the body of one that is not served.
            self._until_end = self._status == 200
            self._whole, self._extra = not self._until_end, True
        elif int(self._length) > MAX_MESSAGE_BYTES:
            raise ValueError("the answer is too large")

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > MAX_MESSAGE_BYTES:
            raise ValueError("the answer is too large")
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._whole = self._status >= 200
        self._lasts = self._parser.should_keep_alive()  # the parser knows it only in here

    def _answered(self) -> None:
        exchange = self._exchange
        exchange.response_headers, exchange.response_body = b"".join(self._headers), b"".join(self._body)
        exchange.load_report = b",".join(self._reports)
        self._end(self._outcome(), exchange.is_sent and self._lasts and not self._extra)

    def _outcome(self) -> io.Outcome:
        if self._status == 200:  # one that came before all was asked answers something else
            return io.Outcome.OK if self._exchange.is_sent else io.Outcome.UNUSABLE_RESPONSE
        if self._status in (503, 504) and self._never_ran:
            return io.Outcome.OVERLOADED
        # Below 500 it speaks of the request, not of the backend.
        return io.Outcome.ERROR if self._status >= 500 else io.Outcome.UNUSABLE_RESPONSE

    def _end(self, outcome: io.Outcome, keep: bool = False) -> None:
        exchange, self._exchange = self._exchange, None
        self._headers, self._body = [], []
        if self._stalled is not None:
            self._stalled.cancel()
            self._stalled = None
        if keep:
            self._pool.idle(self)
        else:
            self.abort()
        if exchange is not None:
            exchange.end(outcome)

    def eof_received(self) -> bool:
        """An orderly end. It makes an answer with no length whole; a reset, which is told of by
        `connection_lost` alone, does not."""
        if self._exchange is not None and self._until_end:
            self._answered()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._pool.lost(self)
        if self._stalled is not None:
            self._stalled.cancel()
        self._parser = None  # they hold each other
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.end(io.Outcome.RESET if exchange.is_sent else io.Outcome.CONNECT_FAILED)

    def abort(self) -> None:
        self._pool.drop(self)  # takes up no room, though the loop closes it only in its next turn
        self._transport.abort()

    def usable(self) -> bool:
        """Nothing unread and no end: a backend may have closed it, or died, since the loop last looked."""
        return not self._transport.is_closing() and not self._poll.poll(0)


class Pool:
    """One backend: its address, its connections, and the exchanges that wait for one to open."""

    def __init__(self, backends: Backends, where: Address):
        self.loop, self.poll, self._backends = backends.loop, backends.poll, backends
        self.where, self.closed = where, False
        self.connections: set[Connection] = set()
        self.idle_connections: list[Connection] = []  # the latest used last
        self.opening: dict[Exchange, asyncio.Task] = {}

    def send(self, exchange: Exchange) -> None:
        connection = self._free(self.loop.time() - REUSE_DELAY_S)
        if connection is None and (
            len(self.connections) + len(self.opening) >= MAX_CONNECTIONS_PER_BACKEND
            or not self._backends.make_room()
        ):
            connection = self._free(float("inf"))
            if connection is None:
                exchange.end(io.Outcome.CONNECT_FAILED)
                return
        if connection is not None:
            connection.start(exchange)
            return
        self._backends.open_or_opening[exchange] = self
        self.opening[exchange] = self._backends.background(self._open(exchange))

    def _free(self, rested: float) -> Connection | None:
        """The latest used that has stood idle since then, as far as it can still be used: not where the
        backend may be about to close it, even if the sweep has not come by yet."""
        stale = self.loop.time() - self._backends.max_idle_s
        for connection in [x for x in reversed(self.idle_connections) if x.idle_since <= rested]:
            self._take(connection)
            if connection.idle_since > stale and connection.usable():
                return connection
            connection.abort()
        return None

    async def _open(self, exchange: Exchange) -> None:
        try:
            async with asyncio.timeout(self._backends.connect_s):
                await self.loop.create_connection(lambda: Connection(self, exchange), *self.where)
        except (OSError, TimeoutError):
            # The time may be up just after it came up and was written to; its end is told by the connection.
            if exchange.connection is None:
                exchange.end(io.Outcome.CONNECT_FAILED)
        finally:
            self._end_opening(exchange)

    def _end_opening(self, exchange: Exchange) -> None:
        self.opening.pop(exchange, None)
        self._backends.open_or_opening.pop(exchange, None)

    def opened(self, connection: Connection, exchange: Exchange) -> None:
        """Sends nothing for a request that is over by now, or where the backend drains."""
        self._end_opening(exchange)
        self.connections.add(connection)
        self._backends.open_or_opening[connection] = self
        if self.closed:
            connection.abort()
        elif exchange.is_done or exchange.is_wanted is not None and not exchange.is_wanted():
            self.idle(connection)
            connection.idle_since -= REUSE_DELAY_S  # it has brought no answer yet that another could follow
        else:
            connection.start(exchange)

    def idle(self, connection: Connection) -> None:
        if self.closed:
            connection.abort()
            return
        connection.idle_since = self.loop.time()
        self.idle_connections.append(connection)
        self._backends.idle_by_age[connection] = self

    def _take(self, connection: Connection) -> None:
        self.idle_connections.remove(connection)
        del self._backends.idle_by_age[connection]

    def drop(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self._backends.open_or_opening.pop(connection, None)

    def lost(self, connection: Connection) -> None:
        self.drop(connection)
        if connection in self.idle_connections:
            self._take(connection)

    def retire(self, connection: Connection) -> None:
        """Close one that stands idle."""
        self._take(connection)
        connection.abort()

    def retire_all(self) -> None:
        for connection in list(self.idle_connections):
            self.retire(connection)

    def give_up(self, exchange: Exchange) -> None:
        """The connection that comes up for it is not wanted any more."""
        task = self.opening[exchange]
        self._end_opening(exchange)
        task.cancel()

    def close(self) -> None:
        """Nothing new from here on; what runs may finish."""
        self.closed = True
        self.retire_all()
        for exchange in list(self.opening):
            exchange.end(io.Outcome.CONNECT_FAILED)


class Backends:
    def __init__(self, settings: io.Settings, keepalive_ms: float, most: int, system: System = REAL_SYSTEM):
        self.loop, self.poll = asyncio.get_running_loop(), system.poll
        self.connect_s = settings.connect_timeout_ms / 1000.0
        self.max_idle_s, self._most = keepalive_ms * IDLE_SHARE / 1000.0, most
        self._places: dict[str, tuple[Address, float]] = {}  # that take new work: where, since when
        self._pools: dict[str, Pool] = {}  # of those that were sent anything lately
        self._draining_pools: set[Pool] = set()  # those that only finish what they have
        # Over all pools, as a request to one of many backends mostly needs a new connection: what takes up
        # room, open or coming up; and of that what stands idle, longest first.
        self.open_or_opening: dict[Connection | Exchange, Pool] = {}
        self.idle_by_age: dict[Connection, Pool] = {}
        self._tasks: set[asyncio.Task] = set()
        self._path = b"/load" if settings.load_report_fields else b"/healthz"

    def start(self) -> None:
        self._sweep()

    def _sweep(self) -> None:
        before = self.loop.time() - self.max_idle_s
        for connection, pool in list(
            itertools.takewhile(lambda entry: entry[0].idle_since <= before, self.idle_by_age.items())
        ):
            pool.retire(connection)
        for name in [name for name, pool in self._pools.items() if not pool.connections and not pool.opening]:
            del self._pools[name]
        self._draining_pools = {pool for pool in self._draining_pools if pool.connections or pool.opening}
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def background(self, work) -> asyncio.Task:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def make_room(self) -> bool:
        """Whether one more connection may be opened; an idle one elsewhere gives way, or one for nobody."""
        if len(self.open_or_opening) < self._most:
            return True
        if self.idle_by_age:
            connection, pool = next(iter(self.idle_by_age.items()))
            pool.retire(connection)
            return True
        for held, pool in self.open_or_opening.items():
            if isinstance(held, Exchange) and held.is_done:
                pool.give_up(held)
                return True
        return False

    def apply_listing(self, found: Listing) -> list[Pool]:
        """Where backends listen, as discovery has it now. Those that are returned get nothing new: the caller
        closes them once the module knows, or it would try them again for what that ends."""
        parted = []
        if found.event.kind is not io.ListKind.DELTA:
            named = {backend.id for backend in found.event.backends}
            parted += [self._part(name) for name in list(self._places) if name not in named]
        for backend in found.event.backends:
            up = backend.state is io.BackendState.UP
            place = (found.addresses[backend.id], backend.started_ms) if up else None
            if place != self._places.get(backend.id):  # drains, gone, moved, or another process by now
                parted.append(self._part(backend.id))
                if up:
                    self._places[backend.id] = place
        parted = [pool for pool in parted if pool is not None]
        self._draining_pools.update(parted)
        return parted

    def _part(self, name: str) -> Pool | None:
        self._places.pop(name, None)
        return self._pools.pop(name, None)

    def has_backend(self) -> bool:
        return bool(self._places)

    def send(self, exchange: Exchange) -> None:
        pool = self._pools.get(exchange.backend)
        if pool is None and exchange.backend in self._places:
            where, _ = self._places[exchange.backend]
            pool = self._pools[exchange.backend] = Pool(self, where)
        wait_s = exchange.deadline_s - self.loop.time()
        if pool is None or wait_s <= 0:
            exchange.end(io.Outcome.CONNECT_FAILED)
            return
        exchange.timer = self.loop.call_later(wait_s, exchange.on_timeout)
        pool.send(exchange)

    def probe(self, backend: str, on_done: Callable[[Exchange], None]) -> None:
        head = b"GET %b HTTP/1.1\r\nHost: backend\r\n" % self._path
        self.send(Exchange(backend, head, b"", self.loop.time() + self.connect_s, on_done))

    def close_idle(self, backend: str) -> None:
        if backend in self._pools:
            self._pools[backend].retire_all()
