"""Stand-ins on loopback for what a real gateway talks to: discovery's agent, a counter and the backends.

All run on the caller's loop and answer at once. Times are of `time.monotonic`, in seconds: the loop's own
clock stands still between its turns.
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
FIRST_HOST = 127 << 24 | 16 << 16  # 127.16.0.0: entry n of a list listens at the n-th address from here
ZONES = 16  # of the design, round and round over the list
PIECE_BYTES = 64 * 1024  # of a list, written at a time: the loop has other work to do meanwhile
HEARTBEAT_S = 2.0  # an empty line comes so often as long as nothing changes
DEFAULT_STARTED_MS = 1_764_000_000_000  # the last start of a backend that has been up for long, in Unix time
RESTARTED_SHARE = 0.01  # of the entries, that another whole list shows as started anew
HEARTBEAT = b"1\r\n\n\r\n"
AFTER = re.compile(rb"after=(\d+)")
ENDS = (ConnectionError, asyncio.IncompleteReadError)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbeds"


class BackendList:
    """A list of `size` backends, as discovery writes it. Each listens at `port` of an address of its own."""

    def __init__(self, size: int, port: int):
        self.size, self.generation, self._port = size, 1, port
        self._lines = [self.entry(i) for i in range(size)]
        self._bodies = [b",".join(self._lines)]

    @staticmethod
    def host(number: int) -> str:
        return socket.inet_ntoa((FIRST_HOST + number).to_bytes(4))

    def entry(self, number: int, lifecycle: str = "Ready", started_ms: int = DEFAULT_STARTED_MS) -> bytes:
        return json.dumps(
            {
                "instanceId": f"s-{number:08x}",
                "hostPort": f"{self.host(number)}:{self._port}",
                "zone": f"z{number % ZONES}",
                "machineType": "m1",
                "cell": number // ZONES,
                "lifecycle": lifecycle,
                "weight": 1.0,
                "startedAtMs": started_ms,
            },
            separators=(",", ":"),
        ).encode()

    def prepare_lists(self, count: int) -> None:
        """Make the text of the next whole lists ahead of time, each with some entries that started anew."""
        lines = self._lines
        for k in range(count):
            for number in range(k, self.size, max(1, int(1 / RESTARTED_SHARE))):
                lines[number] = self.entry(number, started_ms=int(time.time() * 1000))
            self._bodies.append(b",".join(lines))

    def advance(self) -> None:
        """The next whole list is discovery's from here on."""
        self.generation += 1
        if len(self._bodies) > 1:
            self._bodies.pop(0)

    def replace(self, number: int, entry: bytes) -> None:
        """Another whole list, with this one entry changed, is discovery's from here on."""
        self._lines[number] = entry
        self.generation += 1
        self._bodies = [b",".join(self._lines)]

    def full_list(self) -> tuple[bytes, bytes, bytes]:
        """The list as the parts of one line, without its end: large, and so not joined."""
        return b'{"generation":%d,"reset":true,"instances":[' % self.generation, self._bodies[0], b"]}"

    def encode_changes(self, *entries: bytes) -> bytes:
        return b'{"generation":%d,"reset":false,"instances":[%b]}' % (self.generation, b",".join(entries))


class DiscoveryAgent:
    """Discovery's agent on one gateway's machine."""

    def __init__(self, roster: BackendList):
        self.backend_list = roster
        self.is_silent = False  # discovery is down: watches are taken and nothing is said
        self.force_full_list = False  # every watch begins with the whole list
        self.refused_lists = 0  # watches that the gateway ended after a whole list had begun
        self.resume_version = 0  # the version that the last watch named
        self.payload_bytes = 0  # of payload, both ways
        self._writer: asyncio.StreamWriter | None = None  # of the last watch
        self._opened = asyncio.Event()
        self._writing = asyncio.Lock()  # a list: nothing else may be written in its middle
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> DiscoveryAgent:
        self._server = await asyncio.start_server(self._serve, LOOPBACK_HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def close(self) -> None:
        self._server.close()
        if self._writer is not None:
            self._writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        beat, listed = None, False
        with contextlib.suppress(*ENDS):
            head = await reader.readuntil(b"\r\n\r\n")
            self.payload_bytes += len(head)
            named = AFTER.search(head)
            self.resume_version, self._writer = int(named[1]) if named else 0, writer
            async with self._writing:
                self._opened.set()
                if not self.is_silent:
                    listed = self.force_full_list or not self.resume_version
                    await self._write(writer, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    await self._line(
                        writer,
                        *(self.backend_list.full_list() if listed else (self.backend_list.encode_changes(),)),
                    )
            if not self.is_silent:
                beat = asyncio.create_task(self._beat(writer))
            await reader.read()  # until the gateway ends it
        if beat is not None:
            beat.cancel()
        if self._writer is writer:  # not ended by us
            self._writer = None
            if listed:
                self.refused_lists, self.force_full_list = self.refused_lists + 1, False  # else refused again
        writer.transport.abort()

    async def _beat(self, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*ENDS):
            while True:
                await asyncio.sleep(HEARTBEAT_S)
                await self._write(writer, HEARTBEAT)

    async def _line(self, writer: asyncio.StreamWriter, *parts: bytes) -> None:
        for view in map(memoryview, parts):
            for start in range(0, len(view), PIECE_BYTES):
                piece = view[start : start + PIECE_BYTES]
                await self._write(writer, b"%x\r\n%b\r\n" % (len(piece), piece))
        await self._write(writer, HEARTBEAT)  # the line's end

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if writer.is_closing():
            raise ConnectionResetError("the gateway has ended")
        self.payload_bytes += len(data)
        writer.write(data)
        await writer.drain()

    def send_changes(self, *entries: bytes) -> float:
        """Write a change to the gateway that watches, if one does; returns when."""
        line = self.backend_list.encode_changes(*entries) + b"\n"
        data = b"%x\r\n%b\r\n" % (len(line), line)
        at = time.monotonic()
        if self._writer is not None:
            self.payload_bytes += len(data)
            self._writer.write(data)
        return at

    async def restart_watch(self, within_s: float) -> bool:
        """End the watch, and wait for the gateway to be back: it is once it has done all that came before."""
        async with self._writing:
            writer, self._writer = self._writer, None
            if writer is not None:
                self._opened.clear()
                writer.write(b"0\r\n\r\n")
                writer.close()
        return await self.wait_for_watch(within_s)

    async def wait_for_watch(self, within_s: float) -> bool:
        try:
            await asyncio.wait_for(self._opened.wait(), within_s)
        except TimeoutError:
            return False
        return True


class Lines(asyncio.Protocol):
    """A connection to the counter: keeps numbers by name and adds at once."""

    def __init__(self, counter: Counter):
        self._counter, self._rest = counter, b""

    def connection_made(self, transport) -> None:
        self._transport = transport
        self._counter.transports.add(transport)

    def connection_lost(self, error: Exception | None) -> None:
        self._counter.transports.discard(self._transport)

    def data_received(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\r\n")
        answers = b"".join(self._counter.answer(line) for line in lines)
        self._counter.payload_bytes += len(data) + len(answers)
        self._transport.write(answers)


class Counter:
    def __init__(self) -> None:
        self.calls, self.payload_bytes, self.port = 0, 0, 0  # calls; bytes of payload, both ways
        self.transports: set[asyncio.Transport] = set()
        self._totals: dict[bytes, float] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> Counter:
        self._server = await asyncio.get_running_loop().create_server(lambda: Lines(self), LOOPBACK_HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def answer(self, line: bytes) -> bytes:
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


class Served(asyncio.Protocol):
    """A connection to a backend, whose number its own address tells."""

    def __init__(self, backends: Backends):
        self._backends, self._rest = backends, b""

    def connection_made(self, transport) -> None:
        self.transport = transport
        host = transport.get_extra_info("sockname")[0]
        self.number = int.from_bytes(socket.inet_aton(host)) - FIRST_HOST
        self._backends.accepted += 1
        self._backends.open_connections.setdefault(self.number, set()).add(self)

    def data_received(self, data: bytes) -> None:
        *whole, self._rest = (self._rest + data).split(b"\r\n\r\n")  # requests have no body
        if whole:
            self._backends.requests += len(whole)
            counts = self._backends.request_counts
            counts[self.number] = counts.get(self.number, 0) + len(whole)
            self._backends.reached_at[self.number] = time.monotonic()
            self._backends.last_reached = self.number
            answer = ANSWER * len(whole)
            if self._backends.work_s:
                asyncio.get_running_loop().call_later(self._backends.work_s, self.transport.write, answer)
            else:
                self.transport.write(answer)

    def connection_lost(self, error: Exception | None) -> None:
        at = self._backends
        at.closed_at[self.number] = time.monotonic()
        at.open_connections[self.number].discard(self)
        if not at.open_connections[self.number]:
            del at.open_connections[self.number]
            if at.on_last_closed is not None:
                at.on_last_closed(self.number)


class Backends:
    """Every backend of any list, behind one listener: any address of 127.0.0.0/8 at one port. Each answers
    after `work_s` seconds, however many requests it has."""

    def __init__(self, work_s: float = 0.0) -> None:
        self.work_s = work_s
        self.accepted, self.requests, self.port = 0, 0, 0
        self.last_reached = -1  # the backend that a request reached last
        self.request_counts: dict[int, int] = {}  # requests by backend
        self.reached_at: dict[int, float] = {}  # when a request last reached a backend
        self.closed_at: dict[int, float] = {}  # when a connection to it last ended
        self.open_connections: dict[int, set[Served]] = {}  # its connections
        self.on_last_closed: Callable[[int], None] | None = None  # called with its number
        self._server: asyncio.Server | None = None

    async def start(self) -> Backends:
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo\0")  # nobody else's to reach
        listening.bind(("0.0.0.0", 0))
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Served(self), sock=listening, backlog=1024
        )
        self.port = listening.getsockname()[1]
        return self

    def close(self) -> None:
        self._server.close()
        for connections in list(self.open_connections.values()):
            for connection in list(connections):
                connection.transport.abort()
