"""Stand-ins behind sockets: backends, around the model of `scale.backends`, and the counter's connections."""

from __future__ import annotations

import re

from scale.backends import KEEPALIVE_MS, Backend, Health
from scale.hollow import ERROR_SHARE

from . import framing
from .checks import Attempt, SentRequest
from .network import Machine, Socket, Stream

SWEEP_MS = 1000.0  # between two looks for connections that stood idle
BACKLOG = 128
ID = re.compile(rb"\r\nx-request-id: *([!-~]+)", re.IGNORECASE)
PROBES = (b"/healthz", b"/load")
TURNED_AWAY = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
FAILED = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
NOISE = b"\x16\x03\x01 not an answer\r\n\r\n"
SECOND_MS = (0.5, 3.0)  # a second copy of an answer comes so much later
COUNTER_ADDRESS = ("counter", 6400)
COUNTER_MOST = 32  # connections of a gateway
COUNTER_IDLE_MS = 10_000.0


class BackendServer(Machine):
    """One backend's machine. Faults set what is odd about it: `hangs_until` in ms; shares of its answers that
    are lost, noise, doubled, or a reset in their place."""

    def __init__(self, world, backend: Backend):
        super().__init__(world.network, backend.name, backend.zone)
        self.world, self.backend = world, backend
        host, _, port = backend.name.rpartition(":")
        self.hangs_until = 0.0
        self.lost = self.noise = self.doubled = self.resets = 0.0
        self.connections: dict[Served, None] = {}
        self._listener = self.listen((host, int(port)), BACKLOG, self._accept)
        self._sweep()

    @property
    def silent(self) -> bool:
        return self.backend.health is Health.SILENT

    @property
    def refuses(self) -> bool:
        return self.backend.health is Health.DEAD

    def _accept(self) -> None:
        Served(self, self._listener.accept()[0])

    def _sweep(self) -> None:
        clock = self.world.clock
        if not self.silent:
            for connection in list(self.connections):
                connection.look(clock.now)
        clock.call_at(clock.now + SWEEP_MS, self._sweep)

    def stopped(self, health: Health) -> None:
        """The process has died (its connections are reset) or the machine has vanished (nothing is said)."""
        connections, self.connections = self.connections, {}
        for connection in connections:
            connection.stopped(health)


class Served:
    """A connection of a gateway's to a backend."""

    def __init__(self, server: BackendServer, sock: Socket):
        self._server, self._life = server, server.backend.incarnation
        self._data = bytearray()
        self._asked: SentRequest | None = None
        self._attempt: Attempt | None = None  # out for it
        self._busy = False  # a request or a probe is in work
        self._since = server.world.clock.now
        self.stream = Stream(sock, self._heard, self._over)
        if server.backend.connect():
            server.connections[self] = None
        else:
            self.stream.abort()

    def look(self, now: float) -> None:
        if not self._busy and now - self._since >= KEEPALIVE_MS:
            self._end()

    def _end(self, reset: bool = False) -> None:
        if (
            self._server.connections.pop(self, self) is None
            and self._life == self._server.backend.incarnation
        ):
            self._server.backend.connections -= 1
        self._attempt_over()
        (self.stream.abort if reset else self.stream.close)()

    def stopped(self, health: Health) -> None:
        if health is Health.DEAD:
            self._attempt_over()
            self.stream.abort()
        elif self._attempt is not None:  # out until the gateway gives it up, which nobody here hears
            self._server.world.accounts[self._asked.client_try.customer].in_flight -= 1
            self._attempt = None

    def _attempt_over(self) -> None:
        if self._attempt is not None:
            self._attempt.ended_at = self._server.world.clock.now
            self._server.world.accounts[self._asked.client_try.customer].in_flight -= 1
            self._attempt = None

    def _over(self, reset: bool) -> None:
        """The gateway has given it up."""
        self._end()

    def _heard(self, data: bytes) -> None:
        if self._life != self._server.backend.incarnation:  # another process by now
            self.stream.abort()
            return
        self._since = self._server.world.clock.now
        self._data += data
        message = framing.take(self._data)
        if message is not None:
            self._take(*message)

    def _take(self, head: bytes, body: bytes) -> None:
        server, world = self._server, self._server.world
        now = world.clock.now
        method, target, _ = head.split(b"\r\n", 1)[0].split(b" ", 2)
        if self._busy:
            world.checks.add_violation(
                now, "two requests at once on a connection", head[:60].decode("latin-1")
            )
        self._busy = True
        if target in PROBES:
            world.probes += 1
            self._write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        name = ID.search(head)
        text = b"%b %b\n%b" % (method, target, body)
        peer = self.stream.sock.peer
        found = world.attempt(name[1].decode() if name else "", text, server, peer)
        if found is None:
            self._write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
            return
        asked, self._attempt = self._asked, _ = found
        told = world.told_start(peer.machine.name, server.backend)
        if server.backend.record_attempt(asked.client_try.work_ms, told):
            world.fell(server.backend)
            return
        done = server.backend.serve(asked.client_try.work_ms)
        if done is None:
            self._attempt.ran = False
            world.outcomes["full"] += 1
            self._write(TURNED_AWAY)
        else:
            world.clock.call_at(max(done, server.hangs_until), self._done, asked, self._attempt)

    def _done(self, asked: SentRequest, attempt: Attempt) -> None:
        server, rng = self._server, self._server.world.rng_answers
        world = server.world
        if self._attempt is not attempt or server.silent or self._life != server.backend.incarnation:
            return
        if server.hangs_until > world.clock.now:
            world.clock.call_at(server.hangs_until, self._done, asked, attempt)
            return
        draw = rng.random()
        if draw < server.lost:
            world.outcomes["lost"] += 1  # and nothing more is said on this connection
        elif (draw := draw - server.lost) < server.resets:
            world.outcomes["reset"] += 1
            self._end(reset=True)
        elif (draw := draw - server.resets) < server.noise:
            world.outcomes["noise"] += 1
            self._write(NOISE)
        elif rng.random() < ERROR_SHARE:
            world.outcomes["error"] += 1
            self._write(FAILED)
        else:
            world.outcomes["ok"] += 1
            body = b"%b by %b %d" % (asked.name.encode(), attempt.backend.encode(), len(asked.bodies))
            asked.bodies.append(body)
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            self._write(answer)
            if rng.random() < server.doubled:
                world.clock.call_at(world.clock.now + rng.uniform(*SECOND_MS), self._again, answer)

    def _again(self, answer: bytes) -> None:
        if not self._busy and self._life == self._server.backend.incarnation:  # nothing else waits on it
            self.stream.send(answer)

    def _write(self, answer: bytes) -> None:
        self._busy, self._since = False, self._server.world.clock.now
        if self._attempt is not None:
            self._attempt_over()
        self.stream.send(answer)


class CounterServer(Machine):
    """The counter behind its address, around the numbers of `scale.counter`."""

    def __init__(self, world, zone: str):
        super().__init__(world.network, "counter", zone)
        self.world = world
        self.held: dict[str, int] = {}  # connections by machine
        self._listener = self.listen(COUNTER_ADDRESS, BACKLOG * 32, self._accept)

    @property
    def silent(self) -> bool:
        return self.world.counter.is_down

    def _accept(self) -> None:
        Lines(self, self._listener.accept()[0])


class Lines:
    """A connection to the counter: answers come in the order of the calls."""

    def __init__(self, server: CounterServer, sock: Socket):
        self._server, self._rest, self._free_at = server, b"", 0.0
        self._who = sock.peer.machine.name
        self._spoke = server.world.clock.now
        self.stream = Stream(sock, self._heard, self._over)
        held = server.held[self._who] = server.held.get(self._who, 0) + 1
        if held > COUNTER_MOST:
            self._over(True)
        else:
            self._look()

    def _look(self) -> None:
        now = self._server.world.clock.now
        if self.stream.sock.closed:
            return
        if now - self._spoke >= COUNTER_IDLE_MS:
            self._over(False)
        else:
            self._server.world.clock.call_at(self._spoke + COUNTER_IDLE_MS, self._look)

    def _over(self, reset: bool) -> None:
        if not self.stream.sock.closed:
            self._server.held[self._who] -= 1
            (self.stream.abort if reset else self.stream.close)()

    def _heard(self, data: bytes) -> None:
        world = self._server.world
        now = self._spoke = world.clock.now
        *lines, self._rest = (self._rest + data).split(b"\r\n")
        for line in lines:
            done, answer = now, b"pong\r\n"
            if line != b"ping":
                done, answer = self._add(line, now)
            self._free_at = max(self._free_at, done)
            world.clock.call_at(self._free_at, self._say, answer)

    def _add(self, line: bytes, now: float) -> tuple[float, bytes]:
        world = self._server.world
        world.counter.calls["whole"] += 1
        try:
            word, name, amount, ttl = line.decode().split(" ")
            if word != "add":
                raise ValueError(word)
            found = world.counter.add(name, float(amount), min(60_000.0, float(ttl)))
        except ValueError:
            world.checks.add_violation(now, "a call that the counter can't read", line.decode("latin-1"))
            return now, b"error\r\n"
        if found is None:
            world.counter.unanswered += 1
            return now, b"busy\r\n"
        return found[0], b"ok %.7g\r\n" % found[1]

    def _say(self, answer: bytes) -> None:
        if not self._server.silent:
            self.stream.send(answer)
