"""Clients of a real gateway: on a fixed schedule, or as fast as answers come."""

from __future__ import annotations

import asyncio
import itertools
import re
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
DEADLINE_S = 4.0  # that requests state
NUMBERS = itertools.count(1)


def build_request(
    customer: int,
    plan: str,
    kind: str = "read",
    safe: bool = True,
    name: str = "",
    spread: int = 2,
    first: int = 0,
    deadline_s: float = DEADLINE_S,
) -> bytes:
    """One of a unit and with no body. `name`: its id of 16 hex digits, a new one where none is given."""
    method, length = ("GET", "") if safe else ("POST", "Content-Length: 0\r\n")
    return (
        f"{method} /api/{customer:016x} HTTP/1.1\r\nHost: api.internal\r\n"
        f"X-Request-ID: {name or f'{next(NUMBERS):016x}'}\r\n"
        f"X-Priority-Class: {kind}\r\nPlan: {plan}\r\nX-Timeout: {deadline_s}\r\n{length}"
        f"Quota-Info: units=1,spread={spread},first={first}\r\n\r\n"
    ).encode()


@dataclass
class Answers:
    """What came of a run of requests: `latencies_ms` each, from when it was due to its last byte; status 0
    is a connection that ended. `send_delays_ms`: how late each was sent, which is the rig's own doing."""

    latencies_ms: list[float] = field(default_factory=list)
    send_delays_ms: list[float] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)

    def describe_unserved(self) -> str:
        """How many were not, by status, as a sentence's part; empty where all were served."""
        others = [f"{n} by {status}" for status, n in sorted(self.statuses.items()) if status != 200]
        return f"of {self.statuses.total()} requests not served: {', '.join(others)}" if others else ""


Done = Callable[[int, bytes], None]  # is told an answer's status and body; 0 if the connection ended without


class ClientConnection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self, owner: ConnectionPool, text: bytes, done: Done):
        self._owner, self._text, self._done, self._data = owner, text, done, b""
        self.busy, self._kept = True, False

    def connection_made(self, transport) -> None:
        self.transport = transport
        self._owner.callers.add(self)
        transport.write(self._text)

    def send_request(self, text: bytes, done: Done) -> None:
        self._text, self._done, self._data = text, done, b""
        self.busy, self._kept = True, True
        self.transport.write(text)

    def data_received(self, data: bytes) -> None:
        if not self.busy:
            self._owner.unexpected_responses += 1
            return
        self._data += data
        head, end, body = self._data.partition(b"\r\n\r\n")
        found = LENGTH.search(head)
        length = int(found[1] if found else 0)
        if end and len(body) >= length:
            self._owner.unexpected_responses += len(body) > length
            self.busy = False
            self._owner.idle.append(self)
            self._done(int(head[9:12]), body[:length])

    def connection_lost(self, error: Exception | None) -> None:
        self._owner.callers.discard(self)
        if self.busy:
            self.busy = False
            if self._kept and not self._data:  # closed as idle, perhaps, before the request was read
                self._owner.open(self._text, self._done)
            else:
                self._done(0, b"")


class ConnectionPool:
    """A client's connections to one gateway: kept, and more opened once all are busy."""

    def __init__(self, where: tuple[str, int]):
        self._where = where
        self.callers: set[ClientConnection] = set()
        self.idle: list[ClientConnection] = []
        self._opening: set[asyncio.Task] = set()
        self.unexpected_responses = 0  # times that something came to which no request was out

    def send_request(self, text: bytes, done: Done) -> None:
        while self.idle:
            caller = self.idle.pop()
            if not caller.transport.is_closing():
                caller.send_request(text, done)
                return
        self.open(text, done)

    def open(self, text: bytes, done: Done) -> None:
        """Ask on a connection of its own."""
        task = asyncio.get_running_loop().create_task(self._open(text, done))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _open(self, text: bytes, done: Done) -> None:
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: ClientConnection(self, text, done), *self._where
            )
        except OSError:
            done(0, b"")

    def close(self) -> None:
        """No request is told of it."""
        for task in self._opening:
            task.cancel()
        for caller in list(self.callers):
            caller.busy = False
            caller.transport.abort()


class Client:
    """Requests to one gateway and what came of them."""

    def __init__(self, where: tuple[str, int]):
        self._connections, self._out = ConnectionPool(where), 0
        self._loop = asyncio.get_running_loop()
        self._answers = Answers()
        self._on_answer: Callable[[], None] = lambda: None

    def _send(self, due: float, text: bytes) -> None:
        self._out += 1
        self._connections.send_request(text, lambda status, _: self._answered(due, status))

    def _answered(self, due: float, status: int) -> None:
        self._out -= 1
        self._answers.latencies_ms.append((time.monotonic() - due) * 1000.0)
        self._answers.statuses[status] += 1
        self._on_answer()

    async def run_open_loop(
        self, rate: float, seconds: float, plan: str = "free", start_delay_s: float = 0.0
    ) -> Answers:
        """Open loop: a request each 1/rate s, whether others were answered or not, timed from when it is due;
        the first `start_delay_s` late.

        A thread keeps the schedule, as the loop's own timers count whole milliseconds.
        """
        answers = self._answers = Answers()
        count = max(1, int(rate * seconds))
        here, there = socket.socketpair()
        here.setblocking(False)
        start = time.monotonic() + 0.01 + start_delay_s

        def pace() -> None:
            for n in range(count):
                time.sleep(max(0.0, start + n / rate - time.monotonic()))
                there.send(b".")

        numbers = iter(range(count))
        all_sent = asyncio.Event()

        def due() -> None:
            for _ in here.recv(4096):
                n = next(numbers)
                at = start + n / rate
                answers.send_delays_ms.append((time.monotonic() - at) * 1000.0)
                self._send(at, build_request(n, plan))
                if n == count - 1:
                    all_sent.set()

        self._loop.add_reader(here, due)
        thread = threading.Thread(target=pace, daemon=True)
        thread.start()
        try:
            await all_sent.wait()
            limit = time.monotonic() + 2 * DEADLINE_S
            while self._out and time.monotonic() < limit:
                await asyncio.sleep(0.005)
        finally:
            self._loop.remove_reader(here)
            here.close()
            there.close()
        if self._out:
            answers.statuses[0] += self._out  # never answered
        return answers

    async def run_closed_loop(
        self, first: int, count: int, plan: str, at_once: int, within_s: float
    ) -> Answers:
        """Closed loop: one request for each of `count` customers from number `first`, `at_once` at a time."""
        answers = self._answers = Answers()
        customers = iter(range(first, first + count))
        over = asyncio.Event()
        limit = time.monotonic() + within_s

        def more() -> None:
            now = time.monotonic()
            customer = next(customers, None) if now < limit else None
            if customer is not None:
                self._send(now, build_request(customer, plan))
            elif not self._out:
                over.set()

        self._on_answer = more
        for _ in range(min(at_once, count)):
            more()
        await over.wait()
        self._on_answer = lambda: None
        return answers

    def close(self) -> None:
        self._connections.close()
