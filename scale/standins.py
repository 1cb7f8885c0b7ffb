"""Test servers on loopback for a real gateway: the discovery agent, the counter service and the backends.

All run on the caller's event loop and respond at once except where noted. Times are in seconds of
`time.monotonic`, as the clock of the event loop does not advance during a step.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import socket
import time
from collections.abc import Callable

LOOPBACK_HOST = "127.0.0.1"
FIRST_ADDRESS = 127 << 24 | 16 << 16  # 127.16.0.0; entry n of a list listens at the n-th address from here
ZONE_COUNT = 16  # assigned in turn to the entries of the list
CHUNK_BYTES = 64 * 1024  # chunk size of a list, which lets the event loop do other work between chunks
HEARTBEAT_INTERVAL_S = 2.0  # between the empty lines that keep a watch alive
DEFAULT_STARTED_MS = 1_764_000_000_000  # start time of a backend that has been up for long, in Unix time
RESTARTED_SHARE = 0.01  # share of the entries with a new start time in each further full list
HEARTBEAT_CHUNK = b"1\r\n\n\r\n"
AFTER_PARAMETER = re.compile(rb"after=(\d+)")
CONNECTION_ERRORS = (ConnectionError, asyncio.IncompleteReadError)
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbeds"


class BackendList:
    """A list of `size` backends as discovery sends it. Each backend listens at `port` of its own address."""

    def __init__(self, size: int, port: int):
        self.size, self.generation, self._port = size, 1, port
        self._entries = [self.entry(i) for i in range(size)]
        self._bodies = [b",".join(self._entries)]

    @staticmethod
    def host(number: int) -> str:
        """Returns the IP address of a backend."""
        return socket.inet_ntoa((FIRST_ADDRESS + number).to_bytes(4))

    def entry(self, number: int, lifecycle: str = "Ready", started_ms: int = DEFAULT_STARTED_MS) -> bytes:
        """Returns the JSON text of a backend's entry."""
        return json.dumps(
            {
                "instanceId": f"s-{number:08x}",
                "hostPort": f"{self.host(number)}:{self._port}",
                "zone": f"z{number % ZONE_COUNT}",
                "machineType": "m1",
                "cell": number // ZONE_COUNT,
                "lifecycle": lifecycle,
                "weight": 1.0,
                "startedAtMs": started_ms,
            },
            separators=(",", ":"),
        ).encode()

    def prepare_lists(self, count: int) -> None:
        """Encodes the next full lists in advance, each with some restarted backends."""
        lines = self._entries
        for offset in range(count):
            for number in range(offset, self.size, max(1, int(1 / RESTARTED_SHARE))):
                lines[number] = self.entry(number, started_ms=int(time.time() * 1000))
            self._bodies.append(b",".join(lines))

    def advance(self) -> None:
        """Switches to the next full list, with a new generation."""
        self.generation += 1
        if len(self._bodies) > 1:
            self._bodies.pop(0)

    def replace(self, number: int, entry: bytes) -> None:
        """Switches to a full list with one entry changed, with a new generation."""
        self._entries[number] = entry
        self.generation += 1
        self._bodies = [b",".join(self._entries)]

    def full_list(self) -> tuple[bytes, bytes, bytes]:
        """Returns the full list as parts of one line, without a newline; they are not joined as they are
        large."""
        return b'{"generation":%d,"reset":true,"instances":[' % self.generation, self._bodies[0], b"]}"

    def encode_changes(self, *entries: bytes) -> bytes:
        """Returns a line with changes of these entries, without a newline."""
        return b'{"generation":%d,"reset":false,"instances":[%b]}' % (self.generation, b",".join(entries))


class DiscoveryAgent:
    """The discovery agent of one gateway, which serves a list of backends to its watch."""

    def __init__(self, backend_list: BackendList):
        self.backend_list = backend_list
        self.is_silent = False  # accept watches but send nothing, as if discovery were down
        self.force_full_list = False  # begin every watch with the full list
        self.refused_lists = 0  # watches that the gateway ended after a full list had begun
        self.resume_version = 0  # generation named by the last watch
        self.payload_bytes = 0  # sent and received
        self._writer: asyncio.StreamWriter | None = None  # of the last watch
        self._watch_opened = asyncio.Event()
        # Held while a list is written, so that nothing is written in between.
        self._write_lock = asyncio.Lock()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> DiscoveryAgent:
        """Starts to listen and returns the agent."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK_HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def close(self) -> None:
        self._server.close()
        if self._writer is not None:
            self._writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        heartbeat, full_list_sent = None, False
        with contextlib.suppress(*CONNECTION_ERRORS):
            head = await reader.readuntil(b"\r\n\r\n")
            self.payload_bytes += len(head)
            match = AFTER_PARAMETER.search(head)
            self.resume_version, self._writer = int(match[1]) if match else 0, writer
            async with self._write_lock:
                self._watch_opened.set()
                if not self.is_silent:
                    full_list_sent = self.force_full_list or not self.resume_version
                    await self._write(writer, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    await self._write_line(
                        writer,
                        *(
                            self.backend_list.full_list()
                            if full_list_sent
                            else (self.backend_list.encode_changes(),)
                        ),
                    )
            if not self.is_silent:
                heartbeat = asyncio.create_task(self._send_heartbeats(writer))
            await reader.read()  # returns when the gateway ends the watch
        if heartbeat is not None:
            heartbeat.cancel()
        if self._writer is writer:  # the gateway, not the agent, ended the watch
            self._writer = None
            if full_list_sent:
                # Without this, the gateway would get and refuse the full list again and again.
                self.refused_lists, self.force_full_list = self.refused_lists + 1, False
        writer.transport.abort()

    async def _send_heartbeats(self, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*CONNECTION_ERRORS):
            while True:
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)
                await self._write(writer, HEARTBEAT_CHUNK)

    async def _write_line(self, writer: asyncio.StreamWriter, *parts: bytes) -> None:
        for view in map(memoryview, parts):
            for start in range(0, len(view), CHUNK_BYTES):
                chunk = view[start : start + CHUNK_BYTES]
                await self._write(writer, b"%x\r\n%b\r\n" % (len(chunk), chunk))
        await self._write(writer, HEARTBEAT_CHUNK)  # the newline that ends the list

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if writer.is_closing():
            raise ConnectionResetError("the gateway has closed the watch")
        self.payload_bytes += len(data)
        writer.write(data)
        await writer.drain()

    def send_changes(self, *entries: bytes) -> float:
        """Sends changes on the gateway's watch, if there is one; returns the time."""
        line = self.backend_list.encode_changes(*entries) + b"\n"
        data = b"%x\r\n%b\r\n" % (len(line), line)
        sent_s = time.monotonic()
        if self._writer is not None:
            self.payload_bytes += len(data)
            self._writer.write(data)
        return sent_s

    async def restart_watch(self, within_s: float) -> bool:
        """Ends the watch and waits for the next one; returns False if there is none within `within_s`.

        The gateway opens the next watch only after it has applied everything that it received before.
        """
        async with self._write_lock:
            writer, self._writer = self._writer, None
            if writer is not None:
                self._watch_opened.clear()
                writer.write(b"0\r\n\r\n")
                writer.close()
        return await self.wait_for_watch(within_s)

    async def wait_for_watch(self, within_s: float) -> bool:
        """Waits for an open watch; returns False if there is none within `within_s`."""
        try:
            await asyncio.wait_for(self._watch_opened.wait(), within_s)
        except TimeoutError:
            return False
        return True


class CounterConnection(asyncio.Protocol):
    """A gateway's connection to the counter service."""

    def __init__(self, counter: Counter):
        self._counter, self._unparsed = counter, b""

    def connection_made(self, transport) -> None:
        self._transport = transport
        self._counter.transports.add(transport)

    def connection_lost(self, error: Exception | None) -> None:
        self._counter.transports.discard(self._transport)

    def data_received(self, data: bytes) -> None:
        *lines, self._unparsed = (self._unparsed + data).split(b"\r\n")
        answers = b"".join(self._counter.answer(line) for line in lines)
        self._counter.payload_bytes += len(data) + len(answers)
        self._transport.write(answers)


class Counter:
    """A counter service that adds at once and keeps its totals for ever. `payload_bytes` counts both
    directions."""

    def __init__(self) -> None:
        self.calls, self.payload_bytes, self.port = 0, 0, 0
        self.transports: set[asyncio.Transport] = set()
        self._totals: dict[bytes, float] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> Counter:
        """Starts to listen and returns the counter."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: CounterConnection(self), LOOPBACK_HOST, 0
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def answer(self, line: bytes) -> bytes:
        """Handles one line of a connection and returns the response line."""
        if line == b"ping":
            return b"pong\r\n"
        self.calls += 1
        _, name, amount, _ = line.split()
        self._totals[name] = total = self._totals.get(name, 0.0) + float(amount)
        return b"ok %.7g\r\n" % total

    def close(self) -> None:
        self._server.close()
        for transport in list(self.transports):
            transport.abort()


class BackendConnection(asyncio.Protocol):
    """A connection to a backend; the local address identifies the backend."""

    def __init__(self, backends: Backends):
        self._backends, self._unparsed = backends, b""

    def connection_made(self, transport) -> None:
        self.transport = transport
        host = transport.get_extra_info("sockname")[0]
        self.number = int.from_bytes(socket.inet_aton(host)) - FIRST_ADDRESS
        self._backends.accepted += 1
        self._backends.open_connections.setdefault(self.number, set()).add(self)

    def data_received(self, data: bytes) -> None:
        *requests, self._unparsed = (self._unparsed + data).split(b"\r\n\r\n")  # the requests have no body
        if requests:
            self._backends.requests += len(requests)
            counts = self._backends.request_counts
            counts[self.number] = counts.get(self.number, 0) + len(requests)
            self._backends.reached_at[self.number] = time.monotonic()
            self._backends.last_reached = self.number
            answer = RESPONSE * len(requests)
            if self._backends.work_s:
                asyncio.get_running_loop().call_later(self._backends.work_s, self.transport.write, answer)
            else:
                self.transport.write(answer)

    def connection_lost(self, error: Exception | None) -> None:
        backends = self._backends
        backends.closed_at[self.number] = time.monotonic()
        backends.open_connections[self.number].discard(self)
        if not backends.open_connections[self.number]:
            del backends.open_connections[self.number]
            if backends.on_last_closed is not None:
                backends.on_last_closed(self.number)


class Backends:
    """All backends of a list behind one listener, which accepts connections to any address of 127.0.0.0/8.

    A backend responds to each request after `work_s` seconds, regardless of the number of requests.
    """

    def __init__(self, work_s: float = 0.0) -> None:
        self.work_s = work_s
        self.accepted, self.requests, self.port = 0, 0, 0
        self.last_reached = -1  # the backend that received the last request
        self.request_counts: dict[int, int] = {}  # by backend
        self.reached_at: dict[int, float] = {}  # time of the last request, by backend
        self.closed_at: dict[int, float] = {}  # time when a connection last ended, by backend
        self.open_connections: dict[int, set[BackendConnection]] = {}  # by backend
        self.on_last_closed: Callable[[int], None] | None = None  # called with the backend's number
        self._server: asyncio.Server | None = None

    async def start(self) -> Backends:
        """Starts to listen and returns the backends."""
        listener = socket.socket()
        # No access from other machines.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo\0")
        listener.bind(("0.0.0.0", 0))
        self._server = await asyncio.get_running_loop().create_server(
            lambda: BackendConnection(self), sock=listener, backlog=1024
        )
        self.port = listener.getsockname()[1]
        return self

    def close(self) -> None:
        self._server.close()
        for connections in list(self.open_connections.values()):
            for connection in list(connections):
                connection.transport.abort()
