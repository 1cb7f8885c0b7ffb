"""Clients of a real gateway: an open loop on a fixed schedule, or a closed loop."""

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

CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
REQUEST_TIMEOUT_S = 4.0  # sent in X-Timeout
REQUEST_NUMBERS = itertools.count(1)


def build_request(
    customer: int,
    plan: str,
    kind: str = "read",
    safe: bool = True,
    name: str = "",
    spread: int = 2,
    first: int = 0,
    deadline_s: float = REQUEST_TIMEOUT_S,
) -> bytes:
    """Returns the bytes of an HTTP request of one unit without a body.

    `name` is the request id of 16 hex digits; a new one is generated if it is empty. `spread` and `first`
    give the size and the first gateway of the customer's set.
    """
    method, length = ("GET", "") if safe else ("POST", "Content-Length: 0\r\n")
    return (
        f"{method} /api/{customer:016x} HTTP/1.1\r\nHost: api.internal\r\n"
        f"X-Request-ID: {name or f'{next(REQUEST_NUMBERS):016x}'}\r\n"
        f"X-Priority-Class: {kind}\r\nPlan: {plan}\r\nX-Timeout: {deadline_s}\r\n{length}"
        f"Quota-Info: units=1,spread={spread},first={first}\r\n\r\n"
    ).encode()


@dataclass
class Answers:
    """The outcome of a run of requests.

    `latencies_ms` are measured from when a request was due to the last byte of its response. `send_delays_ms`
    is how late the client itself sent each request. `statuses` counts responses by status; 0 is a connection
    that ended without a response.
    """

    latencies_ms: list[float] = field(default_factory=list)
    send_delays_ms: list[float] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)

    def describe_unserved(self) -> str:
        """Returns a phrase with the number of unserved requests by status; empty if all were served."""
        others = [f"{count} by {status}" for status, count in sorted(self.statuses.items()) if status != 200]
        return f"of {self.statuses.total()} requests not served: {', '.join(others)}" if others else ""


# Called with the status and body of a response; status 0 if the connection ended without one.
ResponseCallback = Callable[[int, bytes], None]


class ClientConnection(asyncio.Protocol):
    """A kept-alive connection of a `ConnectionPool` that carries one request at a time."""

    def __init__(self, owner: ConnectionPool, request: bytes, on_response: ResponseCallback):
        self._owner, self._request, self._on_response, self._data = owner, request, on_response, b""
        self.busy, self._reused = True, False

    def connection_made(self, transport) -> None:
        self.transport = transport
        self._owner.connections.add(self)
        transport.write(self._request)

    def send_request(self, request: bytes, on_response: ResponseCallback) -> None:
        """Sends a further request on the connection, which must be idle."""
        self._request, self._on_response, self._data = request, on_response, b""
        self.busy, self._reused = True, True
        self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        if not self.busy:
            self._owner.unexpected_responses += 1
            return
        self._data += data
        head, end, body = self._data.partition(b"\r\n\r\n")
        match = CONTENT_LENGTH.search(head)
        length = int(match[1] if match else 0)
        if end and len(body) >= length:
            self._owner.unexpected_responses += len(body) > length
            self.busy = False
            self._owner.idle.append(self)
            self._on_response(int(head[9:12]), body[:length])

    def connection_lost(self, error: Exception | None) -> None:
        self._owner.connections.discard(self)
        if self.busy:
            self.busy = False
            # The gateway may have closed the connection as idle before it read the request: send it again.
            if self._reused and not self._data:
                self._owner.open(self._request, self._on_response)
            else:
                self._on_response(0, b"")


class ConnectionPool:
    """The kept-alive connections of a client to one gateway; a new one is opened when all are busy."""

    def __init__(self, where: tuple[str, int]):
        self._where = where
        self.connections: set[ClientConnection] = set()
        self.idle: list[ClientConnection] = []
        self._connect_tasks: set[asyncio.Task] = set()
        self.unexpected_responses = 0  # data received without a pending request

    def send_request(self, request: bytes, on_response: ResponseCallback) -> None:
        """Sends a request on an idle connection, or on a new one if there is none."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.transport.is_closing():
                connection.send_request(request, on_response)
                return
        self.open(request, on_response)

    def open(self, request: bytes, on_response: ResponseCallback) -> None:
        """Sends a request on a new connection."""
        task = asyncio.get_running_loop().create_task(self._open(request, on_response))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    async def _open(self, request: bytes, on_response: ResponseCallback) -> None:
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: ClientConnection(self, request, on_response), *self._where
            )
        except OSError:
            on_response(0, b"")

    def close(self) -> None:
        """Aborts all connections without calling the callbacks of pending requests."""
        for task in self._connect_tasks:
            task.cancel()
        for connection in list(self.connections):
            connection.busy = False
            connection.transport.abort()


class Client:
    """Sends runs of requests to one gateway and collects the responses."""

    def __init__(self, where: tuple[str, int]):
        self._pool, self._pending_count = ConnectionPool(where), 0
        self._loop = asyncio.get_running_loop()
        self._answers = Answers()
        self._on_answer: Callable[[], None] = lambda: None

    def _send(self, due_s: float, request: bytes) -> None:
        self._pending_count += 1
        self._pool.send_request(request, lambda status, _: self._record_response(due_s, status))

    def _record_response(self, due_s: float, status: int) -> None:
        self._pending_count -= 1
        self._answers.latencies_ms.append((time.monotonic() - due_s) * 1000.0)
        self._answers.statuses[status] += 1
        self._on_answer()

    async def run_open_loop(
        self, rate: float, seconds: float, plan: str = "free", start_delay_s: float = 0.0
    ) -> Answers:
        """Sends `rate` requests per second for `seconds`, regardless of the responses; one customer each.

        The schedule starts after `start_delay_s`. A thread keeps it, as the event loop's timers have a
        resolution of one millisecond.
        """
        answers = self._answers = Answers()
        count = max(1, int(rate * seconds))
        read_socket, write_socket = socket.socketpair()
        read_socket.setblocking(False)
        start_s = time.monotonic() + 0.01 + start_delay_s

        def write_ticks() -> None:
            for index in range(count):
                time.sleep(max(0.0, start_s + index / rate - time.monotonic()))
                write_socket.send(b".")

        numbers = iter(range(count))
        all_sent = asyncio.Event()

        def on_tick() -> None:
            for _ in read_socket.recv(4096):
                index = next(numbers)
                due_s = start_s + index / rate
                answers.send_delays_ms.append((time.monotonic() - due_s) * 1000.0)
                self._send(due_s, build_request(index, plan))
                if index == count - 1:
                    all_sent.set()

        self._loop.add_reader(read_socket, on_tick)
        thread = threading.Thread(target=write_ticks, daemon=True)
        thread.start()
        try:
            await all_sent.wait()
            limit_s = time.monotonic() + 2 * REQUEST_TIMEOUT_S
            while self._pending_count and time.monotonic() < limit_s:
                await asyncio.sleep(0.005)
        finally:
            self._loop.remove_reader(read_socket)
            read_socket.close()
            write_socket.close()
        if self._pending_count:
            answers.statuses[0] += self._pending_count  # requests without a response within the limit
        return answers

    async def run_closed_loop(
        self, first: int, count: int, plan: str, at_once: int, within_s: float
    ) -> Answers:
        """Sends one request for each of `count` customers from number `first`, `at_once` concurrently.

        No further requests are sent after `within_s` seconds.
        """
        answers = self._answers = Answers()
        customers = iter(range(first, first + count))
        all_done = asyncio.Event()
        limit_s = time.monotonic() + within_s

        def send_next() -> None:
            now_s = time.monotonic()
            customer = next(customers, None) if now_s < limit_s else None
            if customer is not None:
                self._send(now_s, build_request(customer, plan))
            elif not self._pending_count:
                all_done.set()

        self._on_answer = send_next
        for _ in range(min(at_once, count)):
            send_next()
        await all_done.wait()
        self._on_answer = lambda: None
        return answers

    def close(self) -> None:
        """Closes all connections."""
        self._pool.close()
