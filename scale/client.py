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


def request(customer: int, plan: str) -> bytes:
    return (
        f"GET /api/{customer:016x} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {next(NUMBERS):016x}\r\n"
        f"X-Priority-Class: read\r\nPlan: {plan}\r\nX-Timeout: {DEADLINE_S}\r\n"
        "Quota-Info: units=1,spread=2,first=0\r\n\r\n").encode()


@dataclass
class Answers:
    """What came of a run of requests: `took_ms` each, from when it was due to its last byte; status 0 is a
    connection that ended. `late_ms`: how late each was sent, which is the rig's own doing."""

    took_ms: list[float] = field(default_factory=list)
    late_ms: list[float] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)

    def unserved(self) -> str:
        """How many were not, by status, as a sentence's part; empty where all were served."""
        others = [f"{n} by {status}" for status, n in sorted(self.statuses.items()) if status != 200]
        return f"of {self.statuses.total()} requests not served: {', '.join(others)}" if others else ""


class Caller(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self, done: Callable[[Caller, int], None], first: bytes):
        self._done, self._first, self._data = done, first, b""
        self.due = 0.0
        self.busy = True

    def connection_made(self, transport) -> None:
        self.transport = transport
        transport.write(self._first)

    def ask(self, text: bytes) -> None:
        self.busy, self._data = True, b""
        self.transport.write(text)

    def data_received(self, data: bytes) -> None:
        self._data += data
        head, end, body = self._data.partition(b"\r\n\r\n")
        length = LENGTH.search(head)
        if end and self.busy and len(body) >= int(length[1] if length else 0):
            self.busy = False
            self._done(self, int(head[9:12]))

    def connection_lost(self, error: Exception | None) -> None:
        if self.busy:
            self.busy = False
            self._done(self, 0)


class Client:
    def __init__(self, where: tuple[str, int]):
        self._where, self._idle, self._out = where, [], 0
        self._loop = asyncio.get_running_loop()
        self._opening: set[asyncio.Task] = set()
        self._answers = Answers()
        self._on_answer: Callable[[], None] = lambda: None

    def _send(self, due: float, text: bytes) -> None:
        self._out += 1
        while self._idle:
            caller = self._idle.pop()
            if not caller.transport.is_closing():
                caller.due = due
                caller.ask(text)
                return
        caller = Caller(self._answered, text)
        caller.due = due
        task = self._loop.create_task(self._open(caller))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _open(self, caller: Caller) -> None:
        try:
            await self._loop.create_connection(lambda: caller, *self._where)
        except OSError:
            self._answered(caller, 0)

    def _answered(self, caller: Caller, status: int) -> None:
        self._out -= 1
        self._answers.took_ms.append((time.monotonic() - caller.due) * 1000.0)
        self._answers.statuses[status] += 1
        if status:
            self._idle.append(caller)
        self._on_answer()

    async def scheduled(
            self, rate: float, seconds: float, plan: str = "free", after_s: float = 0.0) -> Answers:
        """Open loop: a request each 1/rate s, whether others were answered or not, timed from when it is due;
        the first `after_s` late.

        A thread keeps the schedule, as the loop's own timers count whole milliseconds.
        """
        answers = self._answers = Answers()
        count = max(1, int(rate * seconds))
        here, there = socket.socketpair()
        here.setblocking(False)
        start = time.monotonic() + 0.01 + after_s

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
                answers.late_ms.append((time.monotonic() - at) * 1000.0)
                self._send(at, request(n, plan))
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

    async def distinct(self, first: int, count: int, plan: str, at_once: int, within_s: float) -> Answers:
        """Closed loop: one request for each of `count` customers from number `first`, `at_once` at a time."""
        answers = self._answers = Answers()
        customers = iter(range(first, first + count))
        over = asyncio.Event()
        limit = time.monotonic() + within_s

        def more() -> None:
            now = time.monotonic()
            customer = next(customers, None) if now < limit else None
            if customer is not None:
                self._send(now, request(customer, plan))
            elif not self._out:
                over.set()

        self._on_answer = more
        for _ in range(min(at_once, count)):
            more()
        await over.wait()
        self._on_answer = lambda: None
        return answers

    def close(self) -> None:
        for caller in self._idle:
            caller.transport.abort()
