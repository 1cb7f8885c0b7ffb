"""Simulated servers: backends, which use the model of `scale.backends`, and the counter service."""

from __future__ import annotations

import re

from scale.backends import KEEPALIVE_MS, Backend, Health
from scale.hollow import ERROR_SHARE

from . import framing
from .checks import Attempt, SentRequest
from .network import Machine, Socket, Stream

SWEEP_INTERVAL_MS = 1000.0  # interval at which idle connections are closed
BACKLOG = 128
REQUEST_ID = re.compile(rb"\r\nx-request-id: *([!-~]+)", re.IGNORECASE)
PROBE_TARGETS = (b"/healthz", b"/load")
REJECTED_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
ERROR_RESPONSE = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
INVALID_RESPONSE = b"\x16\x03\x01 not an answer\r\n\r\n"
DUPLICATE_DELAY_MS = (0.5, 3.0)  # delay of the second copy of an answer
COUNTER_ADDRESS = ("counter", 6400)
MAX_COUNTER_CONNECTIONS = 32  # connections that the counter service takes from one gateway
COUNTER_IDLE_TIMEOUT_MS = 10_000.0


class BackendServer(Machine):
    """The machine of one backend.

    Faults set its misbehaviour: it answers nothing before `hangs_until` (ms), and of its answers some
    shares are lost, replaced by a reset or by noise, or sent twice.
    """

    def __init__(self, world, backend: Backend):
        super().__init__(world.network, backend.name, backend.zone)
        self.world, self.backend = world, backend
        host, _, port = backend.name.rpartition(":")
        self.hangs_until = 0.0
        self.lost_share = self.invalid_share = self.duplicate_share = self.reset_share = 0.0
        self.connections: dict[BackendConnection, None] = {}
        self._listener = self.listen((host, int(port)), BACKLOG, self._accept)
        self._sweep()

    @property
    def is_silent(self) -> bool:
        return self.backend.health is Health.SILENT

    @property
    def refuses_connections(self) -> bool:
        return self.backend.health is Health.DEAD

    def _accept(self) -> None:
        BackendConnection(self, self._listener.accept()[0])

    def _sweep(self) -> None:
        clock = self.world.clock
        if not self.is_silent:
            for connection in list(self.connections):
                connection.close_if_idle(clock.now)
        clock.call_at(clock.now + SWEEP_INTERVAL_MS, self._sweep)

    def backend_stopped(self, health: Health) -> None:
        """The backend stopped: its connections are reset if it is dead, or left open if it is silent."""
        connections, self.connections = self.connections, {}
        for connection in connections:
            connection.backend_stopped(health)


class BackendConnection:
    """A gateway's connection to a backend."""

    def __init__(self, server: BackendServer, sock: Socket):
        self._server, self._incarnation = server, server.backend.incarnation
        self._data = bytearray()
        self._request: SentRequest | None = None
        self._attempt: Attempt | None = None  # in flight for it
        self._busy = False  # a request or a probe is being handled
        self._last_active_at = server.world.clock.now
        self.stream = Stream(sock, self._data_received, self._gateway_closed)
        if server.backend.connect():
            server.connections[self] = None
        else:
            self.stream.abort()

    def close_if_idle(self, now: float) -> None:
        """Close the connection if it has been idle for the keep-alive time."""
        if not self._busy and now - self._last_active_at >= KEEPALIVE_MS:
            self._close()

    def _close(self, reset: bool = False) -> None:
        if (
            self._server.connections.pop(self, self) is None
            and self._incarnation == self._server.backend.incarnation
        ):
            self._server.backend.connections -= 1
        self._end_attempt()
        (self.stream.abort if reset else self.stream.close)()

    def backend_stopped(self, health: Health) -> None:
        """The backend is dead or silent."""
        if health is Health.DEAD:
            self._end_attempt()
            self.stream.abort()
        elif self._attempt is not None:
            # The gateway gives it up later, which a silent backend does not notice.
            self._server.world.accounts[self._request.client_try.customer].in_flight -= 1
            self._attempt = None

    def _end_attempt(self) -> None:
        if self._attempt is not None:
            self._attempt.ended_at = self._server.world.clock.now
            self._server.world.accounts[self._request.client_try.customer].in_flight -= 1
            self._attempt = None

    def _gateway_closed(self, reset: bool) -> None:
        """The gateway has closed the connection."""
        self._close()

    def _data_received(self, data: bytes) -> None:
        if self._incarnation != self._server.backend.incarnation:  # the backend has restarted
            self.stream.abort()
            return
        self._last_active_at = self._server.world.clock.now
        self._data += data
        message = framing.take_message(self._data)
        if message is not None:
            self._handle_request(*message)

    def _handle_request(self, head: bytes, body: bytes) -> None:
        server, world = self._server, self._server.world
        now = world.clock.now
        method, target, _ = head.split(b"\r\n", 1)[0].split(b" ", 2)
        if self._busy:
            world.checks.add_violation(
                now, "two requests at once on a connection", head[:60].decode("latin-1")
            )
        self._busy = True
        if target in PROBE_TARGETS:
            world.probe_count += 1
            self._send_answer(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        request_id = REQUEST_ID.search(head)
        content = b"%b %b\n%b" % (method, target, body)
        peer = self.stream.sock.peer
        recorded = world.record_attempt(request_id[1].decode() if request_id else "", content, server, peer)
        if recorded is None:
            self._send_answer(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
            return
        request, self._attempt = self._request, _ = recorded
        informed = world.knows_start(peer.machine.name, server.backend)
        if server.backend.count_attempt(request.client_try.work_ms, informed):
            world.stop_overloaded_backend(server.backend)
            return
        done_at = server.backend.serve(request.client_try.work_ms)
        if done_at is None:
            self._attempt.may_have_run = False
            world.outcomes["full"] += 1
            self._send_answer(REJECTED_RESPONSE)
        else:
            world.clock.call_at(max(done_at, server.hangs_until), self._respond, request, self._attempt)

    def _respond(self, request: SentRequest, attempt: Attempt) -> None:
        server, rng = self._server, self._server.world.rng_answers
        world = server.world
        if (
            self._attempt is not attempt
            or server.is_silent
            or self._incarnation != server.backend.incarnation
        ):
            return
        if server.hangs_until > world.clock.now:
            world.clock.call_at(server.hangs_until, self._respond, request, attempt)
            return
        draw = rng.random()
        if draw < server.lost_share:
            world.outcomes["lost"] += 1  # nothing more is sent on this connection
        elif (draw := draw - server.lost_share) < server.reset_share:
            world.outcomes["reset"] += 1
            self._close(reset=True)
        elif (draw := draw - server.reset_share) < server.invalid_share:
            world.outcomes["noise"] += 1
            self._send_answer(INVALID_RESPONSE)
        elif rng.random() < ERROR_SHARE:
            world.outcomes["error"] += 1
            self._send_answer(ERROR_RESPONSE)
        else:
            world.outcomes["ok"] += 1
            body = b"%b by %b %d" % (
                request.name.encode(),
                attempt.backend.encode(),
                len(request.response_bodies),
            )
            request.response_bodies.append(body)
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            self._send_answer(answer)
            if rng.random() < server.duplicate_share:
                world.clock.call_at(
                    world.clock.now + rng.uniform(*DUPLICATE_DELAY_MS), self._send_duplicate, answer
                )

    def _send_duplicate(self, answer: bytes) -> None:
        if not self._busy and self._incarnation == self._server.backend.incarnation:  # the connection is idle
            self.stream.send(answer)

    def _send_answer(self, answer: bytes) -> None:
        self._busy, self._last_active_at = False, self._server.world.clock.now
        if self._attempt is not None:
            self._end_attempt()
        self.stream.send(answer)


class CounterServer(Machine):
    """The counter service, which uses the model of `scale.counter`."""

    def __init__(self, world, zone: str):
        super().__init__(world.network, "counter", zone)
        self.world = world
        self.connections_by_machine: dict[str, int] = {}  # open connections by client machine
        self._listener = self.listen(COUNTER_ADDRESS, BACKLOG * 32, self._accept)

    @property
    def is_silent(self) -> bool:
        return self.world.counter.is_down

    def _accept(self) -> None:
        CounterConnection(self, self._listener.accept()[0])


class CounterConnection:
    """A connection to the counter service. Calls are answered in their order."""

    def __init__(self, server: CounterServer, sock: Socket):
        self._server, self._incomplete, self._busy_until = server, b"", 0.0
        self._machine_name = sock.peer.machine.name
        self._last_active_at = server.world.clock.now
        self.stream = Stream(sock, self._data_received, self._close)
        open_count = server.connections_by_machine[self._machine_name] = (
            server.connections_by_machine.get(self._machine_name, 0) + 1
        )
        if open_count > MAX_COUNTER_CONNECTIONS:
            self._close(True)
        else:
            self._close_if_idle()

    def _close_if_idle(self) -> None:
        now = self._server.world.clock.now
        if self.stream.sock.closed:
            return
        if now - self._last_active_at >= COUNTER_IDLE_TIMEOUT_MS:
            self._close(False)
        else:
            self._server.world.clock.call_at(
                self._last_active_at + COUNTER_IDLE_TIMEOUT_MS, self._close_if_idle
            )

    def _close(self, reset: bool) -> None:
        if not self.stream.sock.closed:
            self._server.connections_by_machine[self._machine_name] -= 1
            (self.stream.abort if reset else self.stream.close)()

    def _data_received(self, data: bytes) -> None:
        world = self._server.world
        now = self._last_active_at = world.clock.now
        *lines, self._incomplete = (self._incomplete + data).split(b"\r\n")
        for line in lines:
            done_at, answer = now, b"pong\r\n"
            if line != b"ping":
                done_at, answer = self._add(line, now)
            self._busy_until = max(self._busy_until, done_at)
            world.clock.call_at(self._busy_until, self._send_answer, answer)

    def _add(self, line: bytes, now: float) -> tuple[float, bytes]:
        world = self._server.world
        world.counter.calls["whole"] += 1
        try:
            word, name, amount, ttl = line.decode().split(" ")
            if word != "add":
                raise ValueError(word)
            result = world.counter.add(name, float(amount), min(60_000.0, float(ttl)))
        except ValueError:
            world.checks.add_violation(now, "a call that the counter can't read", line.decode("latin-1"))
            return now, b"error\r\n"
        if result is None:
            world.counter.unanswered += 1
            return now, b"busy\r\n"
        return result[0], b"ok %.7g\r\n" % result[1]

    def _send_answer(self, answer: bytes) -> None:
        if not self._server.is_silent:
            self.stream.send(answer)
