"""Simulated clients of one gateway, with keep-alive connections that carry one request at a time."""

from __future__ import annotations

import re
from collections import deque

from cobaltline import interface as io
from scale.clients import REQUEST_KINDS, Try

from . import framing
from .checks import CONNECTION_ENDED, DEADLINE_PASSED, LATE_ANSWER_MS, READY_TIMEOUT_MS, SentRequest
from .network import Address, Machine, Socket, Stream

HEALTH_INTERVAL_MS = 100.0  # between health checks of a gateway that starts
HEALTH_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n"
RETRY_AFTER = re.compile(rb"\r\nretry-after: *([0-9.]+)", re.IGNORECASE)
CONNECTION_CLOSE = re.compile(rb"\r\nconnection: *close", re.IGNORECASE)
DESCRIPTORS_PER_CONNECTION = 3  # of the gateway; client connections are limited to a third of its descriptors
BODY_BYTES = (40, 400, 12_000)  # sizes of request bodies, chosen by the request's number


class ClientConnection:
    """A client's connection to the gateway, opened for a first request."""

    def __init__(self, pool: ConnectionPool, request: SentRequest, message: bytes):
        self._pool, self._data = pool, bytearray()
        self.current_request: SentRequest | None = request
        self._message = message
        pool.connection_opened()
        self._answered_count = 0  # requests answered on this connection
        self.stream: Stream | None = None
        self._sock = pool.machine.network.connect(
            pool.machine, pool.address, self._connected, self._connect_failed
        )

    def _connected(self) -> None:
        self.stream = Stream(self._sock, self._data_received, self._closed)
        self.stream.send(self._message)

    def _connect_failed(self, error: OSError) -> None:
        request, self.current_request = self.current_request, None
        self.close()
        self._pool.connect_failed(request)

    def send_request(self, request: SentRequest, message: bytes) -> None:
        """Send a further request on the idle connection."""
        self.current_request, self._message, self._data = request, message, bytearray()
        self.stream.send(message)

    def is_new(self) -> bool:
        """Whether no request was answered on this connection yet."""
        return self._answered_count == 0

    def is_usable(self) -> bool:
        """Whether neither side has closed the connection, as far as the client knows."""
        return not (self._sock.eof_received or self._sock.reset_received or self._sock.closed)

    def _data_received(self, data: bytes) -> None:
        self._data += data
        if self.current_request is None:
            self._pool.record_unsolicited(bytes(data))
            self.close()
            return
        response = framing.take_message(self._data)
        if response is None:
            return
        head, body = response
        status = int(head[9:12])
        if self._data:
            self._pool.record_unsolicited(bytes(self._data))
        request, self.current_request = self.current_request, None
        self._answered_count += 1
        retry_after = RETRY_AFTER.search(head)
        sent_at = self._sock.peer.sent_at
        if CONNECTION_CLOSE.search(head):
            self.close()
        else:
            self._pool.idle.append(self)
        self._pool.response_received(
            request, status, body, float(retry_after[1]) * 1000.0 if retry_after else 0.0, sent_at
        )

    def _closed(self, reset: bool) -> None:
        request, self.current_request = self.current_request, None
        self.close()
        if self in self._pool.idle:
            self._pool.idle.remove(self)
        if request is not None:
            self._pool.connection_lost(request, self._message, self.is_new(), bool(self._data))

    def close(self) -> None:
        """Close the connection and release its place in the pool."""
        if not self._sock.closed:
            self._sock.close()
            self._pool.connection_closed()


class IdleConnection:
    """A connection that never sends anything."""

    def __init__(self, pool: ConnectionPool):
        self._sock: Socket = pool.machine.network.connect(
            pool.machine,
            pool.address,
            lambda: Stream(self._sock, lambda data: None, self._closed),
            lambda error: self._sock.close(),
        )

    def _closed(self, reset: bool) -> None:
        self._sock.close()

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


class ConnectionPool:
    """The client connections to one gateway, the requests on them and the gateway's health checks."""

    def __init__(self, world, gateway, address: Address):
        self._world, self._gateway, self.address = world, gateway, address
        self.machine = Machine(world.network, f"clients-{gateway.number}", gateway.zone)
        self.idle: list[ClientConnection] = []  # the most recently used last
        self._busy: dict[str, ClientConnection] = {}  # by the name of their open request
        self._max_connections, self._open_count = world.options.sockets // DESCRIPTORS_PER_CONNECTION, 0
        self._queue: deque[tuple[Try, io.RequestArrived]] = deque()  # requests without a connection

    # Requests.

    def handle_request(self, client_try: Try, event: io.RequestArrived) -> None:
        """Send a client's request, or queue it while all connections allowed are busy."""
        if self.idle or self._open_count < self._max_connections:
            self._start_request(client_try, event)
        else:
            self._queue.append((client_try, event))

    def _send_queued(self) -> None:
        while self._queue and (self.idle or self._open_count < self._max_connections):
            client_try, event = self._queue.popleft()
            if not client_try.done and self._world.clock.now < client_try.deadline_ms:
                self._start_request(client_try, event)

    def connection_opened(self) -> None:
        """Count a connection that opens."""
        self._open_count += 1

    def connection_closed(self) -> None:
        """Count a connection that closed, and send a queued request."""
        self._open_count -= 1
        if self._queue:
            self._world.clock.call_at(self._world.clock.now, self._send_queued)

    def _start_request(self, client_try: Try, event: io.RequestArrived) -> None:
        now = self._world.clock.now
        number = int(client_try.request[1:])
        request_class = REQUEST_KINDS[client_try.kind].request_class
        body = (
            b""
            if request_class.idempotency is io.Idempotency.SAFE
            else b"x" * BODY_BYTES[number % len(BODY_BYTES)]
        )
        method = b"POST" if body else b"GET"
        target = b"/api/%b" % event.customer.encode()
        name = f"{number:016x}"
        request = SentRequest(
            name,
            client_try,
            b"%b %b\n%b" % (method, target, body),
            request_class.idempotency,
            self._gateway.number,
            self._gateway.incarnation,
            now,
        )
        head = (
            f"Host: api.internal\r\nX-Request-ID: {name}\r\nX-Priority-Class: {event.kind}\r\n"
            f"Plan: {event.plan}\r\nX-Timeout: {(event.deadline_ms - now) / 1000.0:.6f}\r\n"
            f"Quota-Info: units={event.units:g},spread={event.spread},first={event.first_gateway}\r\n"
        )
        length = b"Content-Length: %d\r\n" % len(body) if body else b""
        message = b"%b %b HTTP/1.1\r\n%b%b\r\n%b" % (method, target, head.encode(), length, body)
        self._world.checks.record_request(request)
        self._world.clock.call_at(client_try.deadline_ms + LATE_ANSWER_MS, self._expire, request)
        self._send(request, message)

    def _send(self, request: SentRequest, message: bytes) -> None:
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable():
                connection.send_request(request, message)
                break
        else:
            connection = ClientConnection(self, request, message)
        self._busy[request.name] = connection

    def client_disconnected(self, client_try: Try) -> None:
        """A client gives up its request and closes the connection."""
        request = self._world.checks.requests.get(f"{int(client_try.request[1:]):016x}")
        client_try.done = True
        connection = self._busy.pop(request.name, None) if request is not None else None
        if connection is None or request.outcome:
            return
        now = self._world.clock.now
        connection.current_request = None
        connection.close()
        # The end of stream arrives after everything sent before it.
        arrives_at = max(now, connection._sock.last_arrival_ms) if connection._sock.peer is not None else now
        self._world.checks.record_client_leave(now, arrives_at, request)

    def response_received(
        self, request: SentRequest, status: int, body: bytes, retry_after_ms: float, sent_at: float
    ) -> None:
        """A complete response arrived.

        `retry_after_ms`: from its Retry-After, else 0; `sent_at`: when its last byte left the gateway.
        """
        world = self._world
        self._busy.pop(request.name, None)
        outcome = world.checks.record_response(world.clock.now, request, status, body, sent_at)
        world.response_received(request, outcome, retry_after_ms)
        self._send_queued()

    def record_unsolicited(self, data: bytes) -> None:
        """Bytes arrived that belong to no request."""
        self._world.checks.add_violation(
            self._world.clock.now, "bytes that answer nothing", data[:60].decode("latin-1")
        )

    def connect_failed(self, request: SentRequest) -> None:
        """The gateway refused the connection: it does not run."""
        self._busy.pop(request.name, None)
        request.outcome = "unreachable"
        request.trace.append((self._world.clock.now, "no gateway listens"))
        self._world.record_outcome(request, "unreachable")

    def connection_lost(
        self, request: SentRequest, message: bytes, new_connection: bool, answer_started: bool
    ) -> None:
        """A connection ended before its request was answered.

        `answer_started`: part of an answer arrived. A kept connection may be closed by the gateway just as
        a request is sent on it; such a request is sent again on another connection.
        """
        world, now = self._world, self._world.clock.now
        self._busy.pop(request.name, None)
        if request.incarnation != self._gateway.incarnation or self._gateway.was_killed():
            world.checks.record_gateway_death(now, request)
            world.record.lost += 1
            world.record_outcome(request, "lost")
        elif not (new_connection or answer_started or request.attempts):
            request.trace.append((now, "its connection was closed: sent again"))
            self._send(request, message)
        else:
            world.checks.record_no_response(now, request, CONNECTION_ENDED, new_connection)
            world.record_outcome(request, "failed")

    def _expire(self, request: SentRequest) -> None:
        connection = self._busy.pop(request.name, None)
        if request.outcome or connection is None:
            return
        connection.current_request = None
        connection.close()
        world, now = self._world, self._world.clock.now
        if request.incarnation != self._gateway.incarnation or self._gateway.was_killed():
            world.checks.record_gateway_death(now, request)
            world.record.lost += 1
        else:
            world.checks.record_no_response(now, request, DEADLINE_PASSED, connection.is_new())

    # Health checks.

    def start_health_checks(self, incarnation: int) -> None:
        """Check a newly started gateway process until it is ready."""
        self._check_health(incarnation, self._world.clock.now)

    def _check_health(self, incarnation: int, started_at: float) -> None:
        world, gateway = self._world, self._gateway
        if gateway.incarnation != incarnation or not gateway.running:
            return
        now = world.clock.now
        if now - started_at > READY_TIMEOUT_MS:
            world.checks.add_violation(now, "not ready in time", f"gateway {gateway.number}")
            return
        HealthCheck(self, lambda: gateway.mark_ready(incarnation, world.clock.now - started_at))
        world.clock.call_at(now + HEALTH_INTERVAL_MS, self._repeat_health_check, incarnation, started_at)

    def _repeat_health_check(self, incarnation: int, started_at: float) -> None:
        if not self._gateway.is_ready:
            self._check_health(incarnation, started_at)


class HealthCheck:
    """One request for `/healthz` on a connection of its own; calls `on_ready` if the status is 200."""

    def __init__(self, pool: ConnectionPool, on_ready):
        self._on_ready, self._data = on_ready, b""
        self._sock = pool.machine.network.connect(
            pool.machine, pool.address, self._connected, lambda error: self._sock.close()
        )
        pool.machine.network.clock.call_at(
            pool.machine.network.clock.now + READY_TIMEOUT_MS, self._sock.close
        )

    def _connected(self) -> None:
        Stream(self._sock, self._data_received, lambda reset: self._sock.close()).send(HEALTH_REQUEST)

    def _data_received(self, data: bytes) -> None:
        self._data += data
        if self._data.startswith(b"HTTP/1.1 200"):
            self._sock.close()
            self._on_ready()
