"""The side of the clients: reads their requests, one after another on a connection, and writes answers."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import select
import socket
from collections import deque
from typing import Protocol

import httptools

from cobaltline import interface as io

from .arrival import ArrivalEstimator
from .checks import (
    CONTENT_LENGTH_HEADER,
    SINGLE_VALUE_HEADERS,
    UNFORWARDED_HEADERS,
    HttpRequest,
    RequestError,
    parse_request,
)
from .system import REAL_SYSTEM, System
from .wire import MAX_MESSAGE_BYTES, ThrottledLog

log = logging.getLogger(__name__)
throttled_log = ThrottledLog(log)

REQUEST_READ_TIMEOUT_S = 2.0  # a first request has so long from connecting, a later one from its first byte
EVICTABLE_IDLE_S = 2.0  # a connection that stood idle for less is not closed to make room
LINGER_S = 1.0  # a connection closed by us is read for so long, or a reset could overtake our answer
MAX_LINGER_BYTES = 8 << 20  # bytes, and so much is read and dropped
STALLED_WRITE_TIMEOUT_S = 10.0  # a client that has not read its answer by then is cut off
SWEEP_INTERVAL_S = 0.2
ROOM_SHARE = 0.8  # of the connections allowed; above it those that matter least give way
EASY_SHARE = 0.3  # and above this, those that stood idle for EVICTABLE_IDLE_S
MAX_QUEUED_REQUESTS = 32  # requests read ahead on one connection
# and bytes; reading goes on all the while, or a client's end would not be seen
AHEAD_MOST = 2 * MAX_MESSAGE_BYTES
DRAIN_FIRST_REQUEST_TIMEOUT_S = 0.3  # while draining, a new connection has so long to begin a request
SPEAK_S = 0.02  # so long what is newly connected has to begin a request before it may have to give way
ACCEPT_MOST = 16  # connections taken at once, before what they have to say is read
ACCEPT_S = 0.005  # wait for room to take more
BACKLOG = 1024
NO_DESCRIPTOR = frozenset({errno.EMFILE, errno.ENFILE})  # errors of accept for which others give way
# Which connections give way first. Those in use never do.
RANK_ENDED, RANK_NEVER_ASKED, RANK_IDLE, RANK_HALF_READ = range(4)
CLOSED_FIRST = (RANK_ENDED, RANK_NEVER_ASKED, RANK_IDLE)

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
}
LINES = {code: f"HTTP/1.1 {code} {reason}\r\n".encode() for code, reason in REASONS.items()}
LINES[405] += b"Allow: GET, POST\r\n"


class Taker(Protocol):
    """What the clients' side needs of the host."""

    def now_ms(self) -> float: ...
    def handle_request(self, client: Client, message: HttpRequest, event: io.RequestArrived) -> None: ...
    def client_disconnected(self, client: Client) -> None: ...


class Client(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, clients: Clients, waited_since: float | None = None):
        self._clients = clients
        self._taken_in_at = clients.host.now_ms()
        self._waited_since = waited_since  # to be taken in, perhaps; until a request came
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._reading: HttpRequest | None = None  # not yet whole
        self._size = self._unread = 0  # of its head, then of its body; bytes since it began
        self._ahead = 0  # bytes read since requests began to queue
        self._in_head = False
        self._body: list[bytes] = []
        self._queue: deque[HttpRequest | RequestError] = deque()
        self._current: HttpRequest | None = None  # awaits its answer
        self._deaf = self._full = False  # reads no more; writes no more until there is room
        self._dropped = 0  # bytes read after the last answer
        self.open_request = None  # the host's mark of what is being answered here
        self.spoke = self.ended = False  # a request has begun to come; the last answer is out
        self.asked = self.again = False  # for more than our health, and not in vain; and more than once
        self.since = 0.0  # when it connected, began a request, had its last answer, or stopped reading

    def connection_made(self, transport) -> None:
        self.transport = transport
        self._clients.opened(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._clients.closed(self)
        self._leave()
        self._parser = None  # client and parser hold each other

    def eof_received(self) -> bool:
        """A client that ends its side has gone away, also where an answer that it does not read keeps its
        connection open for long."""
        self.since = self._clients.loop.time()
        self._leave()
        return False

    def _leave(self) -> None:
        self._deaf, self._current = True, None
        self._queue.clear()
        if self.open_request is not None:
            self._clients.host.client_disconnected(self)

    def has_disconnected(self) -> bool:
        """Whether it has left, also where the loop has not read that yet: what came before, and timers, go
        first, and we may have stood still."""
        return self.transport.is_closing() or self._polled(select.POLLRDHUP)

    # Reading.

    def data_received(self, data: bytes) -> None:
        if self._deaf:
            self._dropped += len(data)
            if self._dropped > MAX_LINGER_BYTES and not self.transport.is_closing():
                # With the last answer out, what more comes is left to wait for the end; before that, nobody
                # would see the client leave.
                (self.transport.pause_reading if self.ended else self.transport.abort)()
            return
        if self.spoke and self._reading is None:
            self.since = self._clients.loop.time()
        self._unread += len(data)
        self._ahead = self._ahead + len(data) if self._queue else 0
        try:
            self._parser.feed_data(data)
            if self._reading is not None and self._unread > 2 * MAX_MESSAGE_BYTES:
                raise RequestError(
                    431, "the request is too large"
                )  # a line without end, which no callback tells of
        except httptools.HttpParserUpgrade:
            # An offer of another protocol is passed over: the request is served, and the connection ends.
            self._deaf, self._queue[-1].keep_alive = True, False
        except httptools.HttpParserError as error:
            cause = error.__context__
            self._refuse_to_read(
                cause if isinstance(cause, RequestError) else RequestError(400, "not a request")
            )
        except RequestError as bad:
            self._refuse_to_read(bad)
        self._next()

    def _refuse_to_read(self, bad: RequestError) -> None:
        self._deaf, self._reading = True, None
        self._queue.append(bad)

    def look(self, now: float) -> None:
        """Nothing that is owed to us is waited for for ever. What lies unread is looked at first: the gateway
        may have been held up."""
        age = now - self.since
        stuck = self._full or self.transport.is_closing()
        if self.ended and age >= LINGER_S or stuck and age >= STALLED_WRITE_TIMEOUT_S:
            self.transport.abort()
        elif not self.spoke and age >= REQUEST_READ_TIMEOUT_S and not self.unread():
            self.transport.close()
        elif (
            self._reading is not None
            and not self._deaf
            and age >= REQUEST_READ_TIMEOUT_S
            and not self.unread()
        ):
            self._refuse_to_read(RequestError(408, "the request did not come whole"))
            self._next()

    def rank(self, now: float) -> int | None:
        """Who goes first where there are too many connections, by the lowest; none where it has to stay."""
        if self.ended:
            return RANK_ENDED
        if self._current is not None or self._queue:
            return None
        if not self.asked:
            return RANK_NEVER_ASKED if now - self.since >= SPEAK_S else None
        if self._reading is not None:
            return RANK_HALF_READ
        return RANK_IDLE if now - self.since >= EVICTABLE_IDLE_S else None

    def turn_away(self) -> None:
        """Answer the request that is half read: there is no room for its connection."""
        self._refuse_to_read(RequestError(503, "too many connections"))
        self._next()

    def on_message_begin(self) -> None:
        if len(self._queue) >= MAX_QUEUED_REQUESTS or self._ahead > AHEAD_MOST:
            raise RequestError(429, "too many requests at once")
        self._reading, self._body, self._size, self._in_head = HttpRequest(), [], 0, True
        self.spoke = True

    def on_url(self, url: bytes) -> None:
        self._grow(len(url), 431)
        self._reading.target += url

    def _grow(self, more: int, status: int) -> None:
        self._size += more
        if self._size > MAX_MESSAGE_BYTES:
            raise RequestError(status, "the request is too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_head:
            return  # a trailer: comes too late to count
        self._grow(len(name) + len(value), 431)
        message, low = self._reading, name.lower()
        if low in SINGLE_VALUE_HEADERS and low in message.headers:
            raise RequestError(400, "a header is given twice")
        message.headers[low] = value
        if low not in UNFORWARDED_HEADERS:
            message.forwarded_headers.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        self._in_head, self._size = False, 0
        if int(self._reading.headers.get(CONTENT_LENGTH_HEADER, b"0")) > MAX_MESSAGE_BYTES:
            raise RequestError(413, "the request is too large")
        expected = self._reading.headers.get(b"expect", b"").lower() == b"100-continue"
        if expected and self._current is None and not self._queue:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._grow(len(body), 413)
        self._body.append(body)

    def on_message_complete(self) -> None:
        message = self._reading
        message.method, message.body = self._parser.get_method(), b"".join(self._body)
        message.keep_alive = self._parser.should_keep_alive()
        message.received_at_ms = self._clients.arrivals.earliest_arrival_ms(
            self.transport.get_extra_info("socket"), self._taken_in_at, self._waited_since
        )
        self._waited_since = None
        self._reading, self._unread = None, 0
        self._queue.append(message)

    # Answering.

    def _next(self) -> None:
        """Take up what was read next. Pipelined input waits its turn."""
        while self._current is None and self._queue and not self._full:
            item = self._queue.popleft()
            if isinstance(item, RequestError):
                self._current = HttpRequest()
                self._current.keep_alive = False
                self.respond(item.status, item.reason.encode() + b"\n")
            else:
                self._current = item
                self._clients.take(self, item)

    def idle(self) -> bool:
        return self._current is None and self._reading is None and not self._queue and not self.ended

    def unread(self) -> bool:
        """Whether something has come that the loop has not read yet: closing now would reset it."""
        return self._polled(select.POLLIN)

    def _polled(self, events: int) -> bool:
        poll = self._clients.system.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), events)
        return bool(poll.poll(0))

    def respond(self, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """The one answer to the current request."""
        # While draining too, what was read behind this request is still answered.
        orderly = not self._deaf and not self._queue and self._reading is None
        over = self._clients.draining or self.asked and not self.again and self._clients.short()
        close = not self._current.keep_alive or over and not self._queue
        size = len(body)
        if self._current.method == b"HEAD":
            body = b""
        self._current = None
        self.since = self._clients.loop.time()
        if self.transport.is_closing():
            return
        self.transport.write(
            b"%b%bContent-Length: %d\r\n%b\r\n%b"
            % (LINES[status], headers, size, b"Connection: close\r\n" if close else b"", body)
        )
        if close and orderly:
            self._deaf = True
            self.transport.close()  # all was read, so no reset can overtake the answer
        elif close:
            self._finish()
        elif self._queue:
            self._clients.loop.call_soon(self._next)

    def _finish(self) -> None:
        """No more from here. What still comes is read and dropped: a reset could overtake the answer."""
        self._deaf = self.ended = True
        self._queue.clear()
        self.transport.write_eof()

    def pause_writing(self) -> None:
        self._full, self.since = True, self._clients.loop.time()

    def resume_writing(self) -> None:
        self._full = False
        self._next()


class Clients:
    """All connections of clients: a bounded number, and few that stand idle where there are many."""

    def __init__(self, host: Taker, settings: io.Settings, most: int, system: System = REAL_SYSTEM):
        self.loop, self.host, self.system = asyncio.get_running_loop(), host, system
        self._settings, self._most = settings, most
        self._room, self._easy = int(most * ROOM_SHARE), int(most * EASY_SHARE)
        self.arrivals = ArrivalEstimator(system, host.now_ms)
        self._open: dict[Client, None] = {}
        self._listening: socket.socket | None = None
        self._opening: set[asyncio.Task] = set()
        self.draining = self.is_ready = self.is_stopped = False

    def listen(self, host: str, port: int) -> None:
        self.arrivals.start()
        self._listening = self.system.listen(host, port, BACKLOG)
        self._listen()
        self._sweep()

    def _accept(self) -> None:
        """A few at a time, as each holds a descriptor before anything can be closed for it. With no room, and
        nobody to give way, new ones wait in the queue of the listening socket."""
        for _ in range(ACCEPT_MOST):
            more = len(self._open) + len(self._opening) + 1 - self._room
            # Some ahead, as each look costs.
            made = self._make_room(more + ACCEPT_MOST) if more > 0 else 0
            if more > self._most - self._room and not made:
                self._wait_for_room()
                return
            try:
                if not self._take_in():
                    self.arrivals.on_backlog_drained()
                    return
            except OSError as error:  # the loop would try it again and again
                throttled_log.warning("no connection can be taken: %s", error)
                if error.errno in NO_DESCRIPTOR:
                    self._make_room(ACCEPT_MOST)  # others need some as well
                self._wait_for_room()
                return

    def _take_in(self) -> bool:
        """One connection from the queue of the listening socket; whether there was one."""
        try:
            sock, _ = self._listening.accept()
        except BlockingIOError:
            return False
        except ConnectionError:  # it has gone again
            return True
        sock.setblocking(False)
        task = self.loop.create_task(self._connected(sock, self.arrivals.backlogged_since_ms()))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)
        return True

    def _wait_for_room(self) -> None:
        self.arrivals.on_accept_paused()
        self.loop.remove_reader(self._listening)
        self.loop.call_later(ACCEPT_S, self._listen)

    def _listen(self) -> None:
        if self._listening.fileno() >= 0:
            self.loop.add_reader(self._listening, self._accept)

    async def _connected(self, sock: socket.socket, waited_since: float | None) -> None:
        with contextlib.suppress(OSError):  # it has gone again
            await self.loop.connect_accepted_socket(lambda: Client(self, waited_since), sock)

    def opened(self, client: Client) -> None:
        self._open[client] = None
        client.since = self.loop.time()

    def _make_room(self, count: int) -> int:
        """End so many connections, as far as there are any that may give way; half a request is turned away
        only where no other may."""
        return self._close(count, CLOSED_FIRST) or self._close(count, (RANK_HALF_READ,))

    def _close(self, count: int, ranks: tuple[int, ...]) -> int:
        """Descriptors are bounded: those give way that ended or never asked for anything, then what stood
        idle longest. None is closed while a request lies unread; half a request is answered first."""
        if count <= 0:
            return 0
        now, made = self.loop.time(), 0
        ranked = [(client.rank(now), client) for client in self._open]
        found = [(rank, client.since, client) for rank, client in ranked if rank in ranks]
        for rank, _, client in sorted(found, key=lambda entry: entry[:2]):
            if rank != RANK_ENDED and client.unread():
                continue
            if rank == RANK_HALF_READ:
                client.turn_away()
            else:
                unwritten = client.transport.get_write_buffer_size() > 0  # an orderly end would wait for it
                (client.transport.abort if rank == RANK_ENDED or unwritten else client.transport.close)()
                self.closed(client)
            made += 1
            if made == count:
                break
        return made

    def short(self) -> bool:
        """Connections whose client has asked once end with the answer: many such would hold all there are."""
        return len(self._open) > self._easy

    def _sweep(self) -> None:
        now = self.loop.time()
        for client in list(self._open):
            client.look(now)
        self._close(len(self._open) - self._easy, (RANK_IDLE,))
        if self.draining:
            self._close_idle()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def closed(self, client: Client) -> None:
        self._open.pop(client, None)

    def take(self, client: Client, message: HttpRequest) -> None:
        try:
            if message.path() == b"/healthz":
                up = self.is_ready and not self.draining
                client.respond(200 if up else 503, b"ok\n" if up else b"not ready\n")
                return
            if self.is_stopped:
                message.keep_alive = False
                client.respond(503)
                return
            event = parse_request(message, self._settings)
            client.asked, client.again = True, client.asked
            self.host.handle_request(client, message, event)
        except RequestError as bad:
            client.respond(bad.status, str(bad).encode() + b"\n")
        except Exception:
            log.exception("a request could not be taken")
            client.respond(500)

    def start_draining(self) -> None:
        """Connections end with their next answer, idle ones now; new ones still come."""
        self.draining = True
        self._close_idle()

    def stop_listening(self) -> None:
        """What the machine has accepted counts as taken: it is let in before the door closes."""
        self.loop.remove_reader(self._listening)
        with contextlib.suppress(OSError):  # no descriptor is left for more
            for _ in range(BACKLOG):
                if not self._take_in():
                    break
        self._listening.close()
        self._close_idle()

    def _close_idle(self) -> None:
        """Neither what has a request on its way nor what has only just connected to send one."""
        new = self.loop.time() - DRAIN_FIRST_REQUEST_TIMEOUT_S
        for client in list(self._open):
            if client.idle() and (client.spoke or client.since <= new) and not client.unread():
                client.transport.close()

    def has_connections(self) -> bool:
        return bool(self._open or self._opening)
