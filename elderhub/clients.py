"""Client connections: queues pipelined requests, writes responses, bounds the connections."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import select
import socket
from collections import deque
from typing import Protocol

from cobaltline import interface as io

from .arrival import PROMPT_READ_MS, ArrivalEstimator
from .checks import HttpRequest, Refusal, RequestError, parse_request
from .input_scheduler import READ_BYTES, InputScheduler
from .memory import MemoryBudget
from .request_reader import RequestReader
from .system import REAL_SYSTEM, System
from .wire import MAX_MESSAGE_BYTES, ThrottledLog

log = logging.getLogger(__name__)
throttled_log = ThrottledLog(log)

# A first request has to be complete this long after the connect, a later one after its first byte.
REQUEST_READ_TIMEOUT_S = 2.0
EVICTABLE_IDLE_S = 2.0  # a connection that has been idle for less is not closed to make room
# A half-closed connection is read until the client closes it, as a reset could overtake the last response,
# but for no longer and for no more bytes than this.
LINGER_TIMEOUT_S = 1.0
MAX_LINGER_BYTES = 8 << 20
STALLED_WRITE_TIMEOUT_S = 10.0  # a client that has not read its response by then is disconnected
SWEEP_INTERVAL_S = 0.2
EVICTION_SHARE = 0.8  # of the connections allowed; above it the least useful ones are closed
IDLE_EVICTION_SHARE = 0.3  # of the connections allowed; above it those idle for EVICTABLE_IDLE_S are closed
MAX_QUEUED_REQUESTS = 32  # pipelined requests on one connection
# Reading goes on beyond a full queue, since a client's disconnection would go unnoticed otherwise.
MAX_QUEUED_BYTES = 2 * MAX_MESSAGE_BYTES
DRAIN_FIRST_REQUEST_TIMEOUT_S = 0.3  # for a new connection to begin a request while the gateway drains
FIRST_BYTE_GRACE_S = 0.02  # a connection without a request may be evicted after this
MAX_ACCEPTS_PER_TURN = 16  # connections accepted before any of them is read
ACCEPT_RETRY_S = 0.005
MIN_RECLAIM_BYTES = 4096  # a connection that holds less has no requests refused for memory
BACKLOG = 1024  # connections in the queue of the listening socket
# Errors of accept that closing other connections cures.
DESCRIPTOR_ERRORS = frozenset({errno.EMFILE, errno.ENFILE})
# Ranks for eviction, first evicted first. A connection with an open or queued request has none.
RANK_FINISHED, RANK_UNUSED, RANK_IDLE, RANK_PARTIAL = range(4)
EVICTED_FIRST = (RANK_FINISHED, RANK_UNUSED, RANK_IDLE)

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
STATUS_LINES = {code: f"HTTP/1.1 {code} {reason}\r\n".encode() for code, reason in REASONS.items()}
STATUS_LINES[405] += b"Allow: GET, POST\r\n"


class RequestHandler(Protocol):
    """What client connections need of the host."""

    def now_ms(self) -> float: ...
    def handle_request(self, client: Client, message: HttpRequest, event: io.RequestArrived) -> None: ...
    def client_disconnected(self, client: Client) -> None: ...


class Client(asyncio.BufferedProtocol):
    """One client connection.

    `backlogged_since_ms` is since when the connection may have waited to be accepted, None where it has not.
    """

    def __init__(self, clients: Clients, backlogged_since_ms: float | None = None):
        self._clients = clients
        self._accepted_at_ms = clients.host.now_ms()
        self._backlogged_since_ms = backlogged_since_ms  # until the first request is read
        self.transport: asyncio.Transport | None = None
        self._reader = RequestReader(self)
        self._queued_bytes = 0  # raw, since requests began to queue
        self._queue: deque[HttpRequest | Refusal] = deque()
        self._current: HttpRequest | None = None  # being answered
        # Memory held by input that can be refused; by all input and output.
        self.input_bytes = self._held_bytes = 0
        # Input is discarded; the client does not read; the connection has ended.
        self._input_closed = self._write_paused = self._is_lost = False
        self._discarded_bytes = 0
        self._was_read_full = False  # the last time; there may be more
        self.input_cost_s = 0.0  # kept by the input scheduler
        self._postponed_input, self._is_postponed = b"", False  # until a later turn of the loop
        # Host clock: when that was read, since when it may have been there, and when reading went on.
        self._postponed_at_ms = self._postponed_since_ms = self._resumed_at_ms = 0.0
        self._unread_since_ms: float | None = None  # since when the present input may have been there
        self.open_request = None  # set and used by the host
        self.has_sent = self.is_finished = False  # any part of a request; the last response is written
        # A valid request other than a health check has been read here; a second one too.
        self.has_requested = self.has_requested_again = False
        # Loop time of the last connect, start of a request, response, pause of writing or end of input.
        self.state_since_s = 0.0

    def connection_made(self, transport) -> None:
        self.transport = transport
        self._clients.connection_opened(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._clients.connection_closed(self)
        self._is_lost = True
        self._on_disconnect()

    def eof_received(self) -> bool:
        """Treats the end of a client's input as its disconnection.

        `connection_lost` may come much later, while an unread response keeps the connection open.
        """
        self.state_since_s = self._clients.loop.time()
        self._on_disconnect()
        return False

    def _on_disconnect(self) -> None:
        self._input_closed, self._current, self._postponed_input = True, None, b""
        self._reader.close()
        self._queue.clear()
        self.update_held_bytes()
        if self.open_request is not None:
            self._clients.host.client_disconnected(self)

    def has_disconnected(self) -> bool:
        """Whether the client has disconnected, even where the loop has not processed that event yet."""
        return self.transport.is_closing() or self._poll_socket(select.POLLRDHUP)

    # Reading.

    def get_buffer(self, _size_hint: int) -> bytearray:
        return self._clients.read_buffer

    def buffer_updated(self, size: int) -> None:
        self._was_read_full = size == READ_BYTES
        self.data_received(memoryview(self._clients.read_buffer)[:size])

    def data_received(self, data: memoryview | bytes) -> None:
        """Takes input. It may lie in the buffer that all connections share."""
        if self._unread_since_ms is not None:
            if self._clients.host.now_ms() - self._resumed_at_ms > PROMPT_READ_MS:
                self._unread_since_ms = None
        self._clients.input_scheduler.receive(self, data)

    def postpone_input(self, data: bytes) -> None:
        """Keeps input, which may be empty, until `resume_input`, and reads no more."""
        now_ms = self._clients.host.now_ms()
        self._postponed_input, self._is_postponed, self._postponed_at_ms = data, True, now_ms
        self._postponed_since_ms = now_ms if self._unread_since_ms is None else self._unread_since_ms
        self.transport.pause_reading()
        self.update_held_bytes()

    def resume_input(self) -> None:
        """Processes what was postponed, and reads on."""
        data, self._postponed_input, self._is_postponed = self._postponed_input, b"", False
        if self._is_lost:
            return
        self._unread_since_ms = self._postponed_since_ms
        self._clients.input_scheduler.process(self, data)
        if self._is_postponed or self._is_lost or self._discarded_bytes > MAX_LINGER_BYTES:
            return
        if len(data) < READ_BYTES:  # all input had been read
            self._unread_since_ms = self._postponed_at_ms
        self._resumed_at_ms = self._clients.host.now_ms()
        self.transport.resume_reading()

    def process_input(self, data: memoryview | bytes) -> None:
        """Parses input, and answers or queues the requests that are complete."""
        if self._input_closed:
            self._discard(len(data))
        elif data:
            if self.has_sent and self._reader.incoming is None:
                self.state_since_s = self._clients.loop.time()
            self._queued_bytes = self._queued_bytes + len(data) if self._queue else 0
            self._parse(data)
        if not self.transport.is_closing():
            self._process_next()

    def _discard(self, size: int) -> None:
        """Counts input that is discarded; ends reading or the connection if it is too much."""
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_LINGER_BYTES and not self.transport.is_closing():
            # Without reading, a disconnection goes unnoticed, which matters until the last response.
            (self.transport.pause_reading if self.is_finished else self.transport.abort)()

    def _parse(self, data: memoryview | bytes) -> None:
        """Queues the requests that are complete."""
        refusal = self._reader.feed(data)
        if refusal is not None:
            self._reject_input(refusal)
        elif self._reader.is_upgrade_offered:
            # The upgrade is ignored: the request is served, and the connection ends.
            self._input_closed, self._queue[-1].keep_alive = True, False

    def _reject_input(self, refusal: Refusal) -> None:
        self._input_closed = True
        self._reader.close()
        self._queue.append(refusal)

    def check_timeouts(self, now_s: float) -> None:
        """Ends a connection that has kept the gateway waiting for too long.

        A read timeout does not apply while input lies unread: the gateway itself may have been delayed.
        """
        age_s = now_s - self.state_since_s
        is_stalled = self._write_paused or self.transport.is_closing()
        if self.is_finished and age_s >= LINGER_TIMEOUT_S or is_stalled and age_s >= STALLED_WRITE_TIMEOUT_S:
            self.transport.abort()
        elif not self.has_sent and age_s >= REQUEST_READ_TIMEOUT_S and not self.has_unread():
            self.transport.close()
        elif (
            self._reader.incoming is not None
            and not self._input_closed
            and age_s >= REQUEST_READ_TIMEOUT_S
            and not self.has_unread()
        ):
            self._reject_input(Refusal(408, "the request did not come whole"))
            self._process_next()

    def eviction_rank(self, now_s: float) -> int | None:
        """Returns the rank for eviction, the lowest first, or None if the connection has to stay."""
        if self.is_finished:
            return RANK_FINISHED
        if self._current is not None or self._queue:
            return None
        if not self.has_requested:
            return RANK_UNUSED if now_s - self.state_since_s >= FIRST_BYTE_GRACE_S else None
        if self._reader.incoming is not None:
            return RANK_PARTIAL
        return RANK_IDLE if now_s - self.state_since_s >= EVICTABLE_IDLE_S else None

    def refuse_partial(self) -> None:
        """Refuses the request that is being read, since its connection is evicted."""
        self._reject_input(Refusal(503, "too many connections"))
        self._process_next()

    def refuse_unstarted(self) -> None:
        """Refuses the requests that are queued or being read, to free the memory that they hold.

        Each still gets its answer when its turn comes, and so do those behind it: the rest of a refused
        request is read and dropped. Only where the parser itself holds much of it does the connection end.
        """
        refusal = Refusal(503, "too much memory in use")
        for item in self._queue:
            if isinstance(item, HttpRequest):
                item.refuse(refusal)
        incoming = self._reader.incoming
        if incoming is not None and incoming.refusal is None:
            incoming.refuse(refusal)
        elif incoming is not None:
            self._reject_input(refusal)
        self._process_next()

    def update_held_bytes(self) -> None:
        """Reports the memory that this connection holds, beside that of its open request."""
        input_bytes = self._reader.held_bytes()
        if self._queue:
            input_bytes += sum(item.held_bytes() for item in self._queue if isinstance(item, HttpRequest))
        output_bytes = 0 if self._is_lost else self.transport.get_write_buffer_size()
        held_bytes = input_bytes + output_bytes + len(self._postponed_input)
        change_bytes = held_bytes - self._held_bytes
        self.input_bytes, self._held_bytes = input_bytes, held_bytes
        if change_bytes:
            self._clients.memory.adjust(change_bytes)

    def request_began(self) -> None:
        """Bounds the requests that wait; called by the reader."""
        if len(self._queue) >= MAX_QUEUED_REQUESTS or self._queued_bytes > MAX_QUEUED_BYTES:
            raise RequestError(429, "too many requests at once")
        self.has_sent = True

    def request_expects_continue(self) -> None:
        """Asks for the body of a request, unless responses are due before; called by the reader."""
        if self._current is None and not self._queue:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def request_completed(self, request: HttpRequest) -> None:
        """Queues a complete request; called by the reader."""
        received_at_ms = self._clients.arrivals.earliest_arrival_ms(
            self.transport.get_extra_info("socket"), self._accepted_at_ms, self._backlogged_since_ms
        )
        if self._unread_since_ms is not None:
            received_at_ms = min(received_at_ms, self._unread_since_ms)
        request.received_at_ms = received_at_ms
        self._backlogged_since_ms = None
        self._queue.append(request)

    # Answering.

    def _process_next(self) -> None:
        """Handles queued requests until one of them has to wait for its response, or for a later turn."""
        while self._current is None and self._queue and not self._write_paused and not self._is_postponed:
            if not self._clients.input_scheduler.has_time():
                self._clients.input_scheduler.postpone(self)
                break
            if self._may_have_left_unseen():
                break
            item = self._queue.popleft()
            if isinstance(item, Refusal):
                self._current = HttpRequest()
                self._current.keep_alive = False
                self.refuse(item)
            else:
                self._current = item
                self._clients.handle_message(self, item)
        self.update_held_bytes()

    def _may_have_left_unseen(self) -> bool:
        """Whether input lies unread behind the next request; it is read first, and then that is handled.

        The end of a connection shows only once what was sent before it fits into the system's buffers.
        """
        has_more = len(self._queue) > 1 or self._was_read_full
        return has_more and isinstance(self._queue[0], HttpRequest) and self._poll_socket(select.POLLIN)

    def refuse(self, refusal: Refusal) -> None:
        """Writes a refusal as the response to the current request."""
        self.respond(refusal.status, refusal.reason.encode() + b"\n")

    def is_idle(self) -> bool:
        """Whether no request is being read, queued or answered."""
        is_reading = self._reader.incoming is not None or self._postponed_input
        return self._current is None and not is_reading and not self._queue and not self.is_finished

    def has_unread(self) -> bool:
        """Whether there is input that has not been processed; a close could send a reset."""
        return bool(self._postponed_input) or self._poll_socket(select.POLLIN)

    def _poll_socket(self, events: int) -> bool:
        poll = self._clients.system.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), events)
        return bool(poll.poll(0))

    def respond(self, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """Writes the response to the current request and ends the connection if it is the last one."""
        # Requests read behind this one are answered too, even while the gateway drains.
        has_more = bool(self._queue or self._postponed_input)
        may_close = not self._input_closed and not has_more and self._reader.incoming is None
        is_last = (
            self._clients.is_draining
            or self.has_requested
            and not self.has_requested_again
            and self._clients.is_crowded()
        )
        closes = not self._current.keep_alive or is_last and not has_more
        size = len(body)
        if self._current.method == b"HEAD":
            body = b""
        self._current = None
        self.state_since_s = self._clients.loop.time()
        if self.transport.is_closing():
            return
        self.transport.write(
            b"%b%bContent-Length: %d\r\n%b\r\n%b"
            % (STATUS_LINES[status], headers, size, b"Connection: close\r\n" if closes else b"", body)
        )
        if closes and may_close:
            self._input_closed = True
            self.transport.close()  # all input was read, so no reset can overtake the response
        elif closes:
            self._half_close()
        elif self._queue:
            self._clients.loop.call_soon(self._process_next)
        self.update_held_bytes()

    def _half_close(self) -> None:
        """Ends the output and discards further input, as closing with unread input would send a reset."""
        self._input_closed = self.is_finished = True
        self._reader.close()
        self._queue.clear()
        self.transport.write_eof()

    def pause_writing(self) -> None:
        self._write_paused, self.state_since_s = True, self._clients.loop.time()

    def resume_writing(self) -> None:
        self._write_paused = False
        self._process_next()


class Clients:
    """The listening socket and all client connections, at most `max_connections`."""

    def __init__(
        self,
        host: RequestHandler,
        settings: io.Settings,
        max_connections: int,
        memory: MemoryBudget,
        system: System = REAL_SYSTEM,
    ):
        self.loop, self.host, self.system = asyncio.get_running_loop(), host, system
        self.memory = memory
        memory.reclaim = self._refuse_unstarted
        self.read_buffer = bytearray(READ_BYTES)
        self.input_scheduler = InputScheduler(self.loop, system.monotonic)
        self._settings, self._max_connections = settings, max_connections
        self._evict_above, self._evict_idle_above = (
            int(max_connections * EVICTION_SHARE),
            int(max_connections * IDLE_EVICTION_SHARE),
        )
        self.arrivals = ArrivalEstimator(system, host.now_ms)
        self._open: dict[Client, None] = {}
        self._listener: socket.socket | None = None
        self._attaching: set[asyncio.Task] = set()
        self._unopened_count = 0  # connections that are accepted and not open yet
        self.is_draining = self.is_ready = self.is_stopped = False

    def listen(self, host: str, port: int) -> None:
        """Opens the listening socket and starts to accept connections; raises OSError."""
        self.arrivals.start()
        self._listener = self.system.listen(host, port, BACKLOG)
        self._resume_accepting()
        self._sweep()

    def _accept(self) -> None:
        """Accepts a few connections, evicting others where there are too many.

        Where none can be evicted, new connections wait in the queue of the listening socket.
        """
        for _ in range(MAX_ACCEPTS_PER_TURN):
            excess = len(self._open) + self._unopened_count + 1 - self._evict_above
            # Evicts some more at once, as each search goes through all connections.
            evicted = self._evict(excess + MAX_ACCEPTS_PER_TURN) if excess > 0 else 0
            if excess > self._max_connections - self._evict_above and not evicted:
                self._pause_accepting()
                return
            try:
                if not self._accept_one():
                    self.arrivals.on_backlog_drained()
                    return
            except OSError as error:  # without a pause the loop would call this again at once
                throttled_log.warning("accepting a connection failed, retrying: %s", error)
                if error.errno in DESCRIPTOR_ERRORS:
                    self._evict(MAX_ACCEPTS_PER_TURN)  # other parts of the gateway need descriptors too
                self._pause_accepting()
                return

    def _accept_one(self) -> bool:
        """Accepts one connection; returns whether there was one in the queue."""
        try:
            sock, _ = self._listener.accept()
        except BlockingIOError:
            return False
        except ConnectionError:  # the client has disconnected already
            return True
        sock.setblocking(False)
        self._unopened_count += 1
        task = self.loop.create_task(self._attach(sock, self.arrivals.backlogged_since_ms()))
        self._attaching.add(task)
        task.add_done_callback(self._attaching.discard)
        return True

    def _pause_accepting(self) -> None:
        self.arrivals.on_accept_paused()
        self.loop.remove_reader(self._listener)
        self.loop.call_later(ACCEPT_RETRY_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._listener.fileno() >= 0:
            self.loop.add_reader(self._listener, self._accept)

    async def _attach(self, sock: socket.socket, backlogged_since_ms: float | None) -> None:
        client = Client(self, backlogged_since_ms)
        with contextlib.suppress(OSError):  # the client has disconnected already
            await self.loop.connect_accepted_socket(lambda: client, sock)
        if client.transport is None:
            self._unopened_count -= 1

    def connection_opened(self, client: Client) -> None:
        """Adds a connection that is open."""
        self._unopened_count -= 1
        self._open[client] = None
        client.state_since_s = self.loop.time()

    def _evict(self, count: int) -> int:
        """Ends up to `count` connections, partial requests only if there are no others; returns how many."""
        return self._evict_ranked(count, EVICTED_FIRST) or self._evict_ranked(count, (RANK_PARTIAL,))

    def _evict_ranked(self, count: int, ranks: tuple[int, ...]) -> int:
        """Ends up to `count` connections of the given ranks, by rank and then by age; returns how many.

        A connection with unread input stays, and a partial request is answered first.
        """
        if count <= 0:
            return 0
        now_s, evicted = self.loop.time(), 0
        ranked = [(client.eviction_rank(now_s), client) for client in self._open]
        candidates = [
            (eviction_rank, client.state_since_s, client)
            for eviction_rank, client in ranked
            if eviction_rank in ranks
        ]
        for eviction_rank, _, client in sorted(candidates, key=lambda entry: entry[:2]):
            if eviction_rank != RANK_FINISHED and client.has_unread():
                continue
            if eviction_rank == RANK_PARTIAL:
                client.refuse_partial()
            else:
                # An orderly close would wait until the client has read its response.
                unwritten = client.transport.get_write_buffer_size() > 0
                (
                    client.transport.abort
                    if eviction_rank == RANK_FINISHED or unwritten
                    else client.transport.close
                )()
                self.connection_closed(client)
            evicted += 1
            if evicted == count:
                break
        return evicted

    def _refuse_unstarted(self) -> None:
        """Frees memory: refuses what has not been started, at the connections that hold most of it first."""
        for client in self._open:
            client.update_held_bytes()  # responses may have been sent meanwhile
        if not self.memory.is_reclaimed():
            throttled_log.warning("requests hold %d bytes, refusing some", self.memory.held_bytes)
        while not self.memory.is_reclaimed():
            client = max(self._open, key=lambda candidate: candidate.input_bytes, default=None)
            if client is None or client.input_bytes < MIN_RECLAIM_BYTES:
                return
            client.refuse_unstarted()

    def is_crowded(self) -> bool:
        """Whether a first response should end its connection, as there are many connections already."""
        return len(self._open) > self._evict_idle_above

    def _sweep(self) -> None:
        now_s = self.loop.time()
        for client in list(self._open):
            client.check_timeouts(now_s)
        self._evict_ranked(len(self._open) - self._evict_idle_above, (RANK_IDLE,))
        if self.is_draining:
            self._close_idle()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def connection_closed(self, client: Client) -> None:
        """Removes a connection that is closed or about to be."""
        self._open.pop(client, None)

    def handle_message(self, client: Client, message: HttpRequest) -> None:
        """Answers a health check or a malformed request itself and passes all else to the host."""
        try:
            if message.refusal is not None:
                client.refuse(message.refusal)
                return
            if message.path() == b"/healthz":
                is_up = self.is_ready and not self.is_draining
                client.respond(200 if is_up else 503, b"ok\n" if is_up else b"not ready\n")
                return
            if self.is_stopped:
                message.keep_alive = False
                client.respond(503)
                return
            event = parse_request(message, self._settings)
            client.has_requested, client.has_requested_again = True, client.has_requested
            self.host.handle_request(client, message, event)
        except RequestError as error:
            client.refuse(error.refusal)
        except Exception:
            log.exception("handling a request failed; answering 500")
            client.respond(500)

    def start_draining(self) -> None:
        """Ends connections with their next response and idle ones now; new ones are still accepted."""
        self.is_draining = True
        self._close_idle()

    def stop_listening(self) -> None:
        """Closes the listening socket, after accepting what waits in its queue: its clients are connected."""
        self.loop.remove_reader(self._listener)
        with contextlib.suppress(OSError):  # no descriptor is left
            for _ in range(BACKLOG):
                if not self._accept_one():
                    break
        self._listener.close()
        self._close_idle()

    def _close_idle(self) -> None:
        """Closes idle connections, but neither one with unread input nor a new one without a request yet."""
        connected_before = self.loop.time() - DRAIN_FIRST_REQUEST_TIMEOUT_S
        for client in list(self._open):
            if (
                client.is_idle()
                and (client.has_sent or client.state_since_s <= connected_before)
                and not client.has_unread()
            ):
                client.transport.close()

    def has_connections(self) -> bool:
        """Whether any client is connected."""
        return bool(self._open or self._attaching)
