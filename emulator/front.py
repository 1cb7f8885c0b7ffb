"""Stand-in for the clients of one gateway: they keep connections, and send one request at a time on each."""

from __future__ import annotations

import re
from collections import deque

from cobaltline import interface as io
from scale.clients import REQUEST_KINDS, Try

from . import framing
from .checks import CLOSED, LATE_MS, READY_MS, TIME_UP, SentRequest
from .network import Address, Machine, Socket, Stream

HEALTH_MS = 100.0  # between two questions whether a gateway that starts is ready
HEALTH = b"GET /healthz HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n"
RETRY_AFTER = re.compile(rb"\r\nretry-after: *([0-9.]+)", re.IGNORECASE)
CLOSE = re.compile(rb"\r\nconnection: *close", re.IGNORECASE)
SHARE = 3  # of a gateway's descriptors, one in so many is held by connections with requests at most
BODIES = (40, 400, 12_000)  # bytes of a request that has a body, by its number


class Caller:
    """One connection."""

    def __init__(self, front: Front, asked: SentRequest, text: bytes):
        self._front, self._data = front, bytearray()
        self.asked: SentRequest | None = asked
        self._text = text
        front.opened()
        self._used = 0  # requests answered on it
        self.stream: Stream | None = None
        self._sock = front.machine.network.connect(front.machine, front.address, self._up, self._refused)

    def _up(self) -> None:
        self.stream = Stream(self._sock, self._heard, self._over)
        self.stream.send(self._text)

    def _refused(self, error: OSError) -> None:
        asked, self.asked = self.asked, None
        self.close()
        self._front.refused(asked)

    def ask(self, asked: SentRequest, text: bytes) -> None:
        self.asked, self._text, self._data = asked, text, bytearray()
        self.stream.send(text)

    def new(self) -> bool:
        """Nothing was answered on it yet."""
        return self._used == 0

    def usable(self) -> bool:
        return not (self._sock.ended or self._sock.reset or self._sock.closed)

    def _heard(self, data: bytes) -> None:
        self._data += data
        if self.asked is None:
            self._front.unasked(bytes(data))
            self.close()
            return
        message = framing.take(self._data)
        if message is None:
            return
        head, body = message
        status = int(head[9:12])
        if self._data:
            self._front.unasked(bytes(self._data))
        asked, self.asked = self.asked, None
        self._used += 1
        after = RETRY_AFTER.search(head)
        sent_at = self._sock.peer.sent_at
        if CLOSE.search(head):
            self.close()
        else:
            self._front.idle.append(self)
        self._front.answered(asked, status, body, float(after[1]) * 1000.0 if after else 0.0, sent_at)

    def _over(self, reset: bool) -> None:
        asked, self.asked = self.asked, None
        self.close()
        if self in self._front.idle:
            self._front.idle.remove(self)
        if asked is not None:
            self._front.broken_off(asked, self._text, self.new(), bool(self._data))

    def close(self) -> None:
        if not self._sock.closed:
            self._sock.close()
            self._front.closed()


class Idler:
    """A connection that says nothing."""

    def __init__(self, front: Front):
        self._sock: Socket = front.machine.network.connect(
            front.machine,
            front.address,
            lambda: Stream(self._sock, lambda data: None, self._over),
            lambda error: self._sock.close(),
        )

    def _over(self, reset: bool) -> None:
        self._sock.close()

    def close(self) -> None:
        self._sock.close()


class Front:
    def __init__(self, world, gateway, address: Address):
        self._world, self._gateway, self.address = world, gateway, address
        self.machine = Machine(world.network, f"clients-{gateway.number}", gateway.zone)
        self.idle: list[Caller] = []  # the latest used last
        self._callers: dict[str, Caller] = {}  # by the request that is out on it
        self._most, self._open = world.options.sockets // SHARE, 0
        self._waiting: deque[tuple[Try, io.RequestArrived]] = deque()  # for a connection

    # Requests.

    def handle_request(self, t: Try, event: io.RequestArrived) -> None:
        """A client has a request. With too many connections open, it waits until one is free."""
        if self.idle or self._open < self._most:
            self._begin(t, event)
        else:
            self._waiting.append((t, event))

    def _next(self) -> None:
        while self._waiting and (self.idle or self._open < self._most):
            t, event = self._waiting.popleft()
            if not t.done and self._world.clock.now < t.deadline_ms:
                self._begin(t, event)

    def opened(self) -> None:
        self._open += 1

    def closed(self) -> None:
        self._open -= 1
        if self._waiting:
            self._world.clock.call_at(self._world.clock.now, self._next)

    def _begin(self, t: Try, event: io.RequestArrived) -> None:
        now = self._world.clock.now
        number = int(t.request[1:])
        kind = REQUEST_KINDS[t.kind].request_class
        body = b"" if kind.idempotency is io.Idempotency.SAFE else b"x" * BODIES[number % len(BODIES)]
        method = b"POST" if body else b"GET"
        target = b"/api/%b" % event.customer.encode()
        name = f"{number:016x}"
        asked = SentRequest(
            name,
            t,
            b"%b %b\n%b" % (method, target, body),
            kind.idempotency,
            self._gateway.number,
            self._gateway.life,
            now,
        )
        head = (
            f"Host: api.internal\r\nX-Request-ID: {name}\r\nX-Priority-Class: {event.kind}\r\n"
            f"Plan: {event.plan}\r\nX-Timeout: {(event.deadline_ms - now) / 1000.0:.6f}\r\n"
            f"Quota-Info: units={event.units:g},spread={event.spread},first={event.first_gateway}\r\n"
        )
        length = b"Content-Length: %d\r\n" % len(body) if body else b""
        text = b"%b %b HTTP/1.1\r\n%b%b\r\n%b" % (method, target, head.encode(), length, body)
        self._world.checks.record_request(asked)
        self._world.clock.call_at(t.deadline_ms + LATE_MS, self._overdue, asked)
        self._send(asked, text)

    def _send(self, asked: SentRequest, text: bytes) -> None:
        while self.idle:
            caller = self.idle.pop()
            if caller.usable():
                caller.ask(asked, text)
                break
        else:
            caller = Caller(self, asked, text)
        self._callers[asked.name] = caller

    def client_disconnected(self, t: Try) -> None:
        """Its client goes: its connection closes."""
        asked = self._world.checks.asked.get(f"{int(t.request[1:]):016x}")
        t.done = True
        caller = self._callers.pop(asked.name, None) if asked is not None else None
        if caller is None or asked.final:
            return
        now = self._world.clock.now
        caller.asked = None
        caller.close()
        # The end is the last of what is on its way there.
        heard_at = max(now, caller._sock.due) if caller._sock.peer is not None else now
        self._world.checks.record_client_leave(now, heard_at, asked)

    def answered(self, asked: SentRequest, status: int, body: bytes, after_ms: float, sent_at: float) -> None:
        w = self._world
        self._callers.pop(asked.name, None)
        how = w.checks.record_response(w.clock.now, asked, status, body, sent_at)
        w.answered(asked, how, after_ms)
        self._next()

    def unasked(self, data: bytes) -> None:
        self._world.checks.add_violation(
            self._world.clock.now, "bytes that answer nothing", data[:60].decode("latin-1")
        )

    def refused(self, asked: SentRequest) -> None:
        """The gateway is not there."""
        self._callers.pop(asked.name, None)
        asked.final = "unreachable"
        asked.trace.append((self._world.clock.now, "no gateway listens"))
        self._world.ended(asked, "unreachable")

    def broken_off(self, asked: SentRequest, text: bytes, new: bool, begun: bool) -> None:
        """Its connection has ended with no whole answer. On one that was used before, the two may cross."""
        w, now = self._world, self._world.clock.now
        self._callers.pop(asked.name, None)
        if asked.life != self._gateway.life or self._gateway.killed():
            w.checks.record_gateway_death(now, asked)
            w.record.lost += 1
            w.ended(asked, "lost")
        elif not (new or begun or asked.attempts):
            asked.trace.append((now, "its connection was closed: sent once more"))
            self._send(asked, text)
        else:
            w.checks.record_no_response(now, asked, CLOSED, new)
            w.ended(asked, "failed")

    def _overdue(self, asked: SentRequest) -> None:
        caller = self._callers.pop(asked.name, None)
        if asked.final or caller is None:
            return
        caller.asked = None
        caller.close()
        w, now = self._world, self._world.clock.now
        if asked.life != self._gateway.life or self._gateway.killed():
            w.checks.record_gateway_death(now, asked)
            w.record.lost += 1
        else:
            w.checks.record_no_response(now, asked, TIME_UP, caller.new())

    # Whether it is ready.

    def watch_start(self, life: int) -> None:
        """A life of the gateway has begun: ask until it is ready."""
        self._health(life, self._world.clock.now)

    def _health(self, life: int, since: float) -> None:
        w, gateway = self._world, self._gateway
        if gateway.life != life or not gateway.running:
            return
        now = w.clock.now
        if now - since > READY_MS:
            w.checks.add_violation(now, "not ready in time", f"gateway {gateway.number}")
            return
        Health(self, lambda: gateway.ready(life, w.clock.now - since))
        w.clock.call_at(now + HEALTH_MS, self._again, life, since)

    def _again(self, life: int, since: float) -> None:
        if not self._gateway.is_ready:
            self._health(life, since)


class Health:
    """One question for `/healthz`, on a connection of its own; `up` is called where the answer is 200."""

    def __init__(self, front: Front, up):
        self._up, self._data = up, b""
        self._sock = front.machine.network.connect(
            front.machine, front.address, self._connected, lambda error: self._sock.close()
        )
        front.machine.network.clock.call_at(front.machine.network.clock.now + READY_MS, self._sock.close)

    def _connected(self) -> None:
        Stream(self._sock, self._heard, lambda reset: self._sock.close()).send(HEALTH)

    def _heard(self, data: bytes) -> None:
        self._data += data
        if self._data.startswith(b"HTTP/1.1 200"):
            self._sock.close()
            self._up()
