"""A stand-in backend that takes its time: some cores, a queue before them, and an end without warning."""

from __future__ import annotations

import asyncio
import time
from random import Random

import httptools

from .rules import Attempt, Rules

CORES = 2  # requests that it works on at once
QUEUE = 32  # requests that may wait for these; any further one is turned away
WORK_S = (0.02, 0.06)  # of a request, evenly between
FULL = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"


class Served(asyncio.Protocol):
    """A connection, which carries one request at a time."""

    def __init__(self, backend: Backend):
        self._backend, self._parser = backend, httptools.HttpRequestParser(self)
        self._name, self._began = "", 0.0
        self._work: asyncio.Task | None = None
        self.attempt: Attempt | None = None  # the last

    def connection_made(self, transport) -> None:
        self.transport = transport
        self._backend.connections.add(self)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        self._name, self._began = "", time.monotonic()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-request-id":
            self._name = value.decode("latin-1")

    def on_message_complete(self) -> None:
        self.attempt = self._backend.rules.record_attempt(
            self._name, self._backend.name, self._began, time.monotonic()
        )
        self._work = asyncio.get_running_loop().create_task(self._backend.serve(self))

    def connection_lost(self, error: Exception | None) -> None:
        self._parser = None  # they hold each other
        self._backend.connections.discard(self)
        if self.attempt is not None:
            self._backend.rules.record_connection_end(self.attempt, time.monotonic())
            self._work.cancel()


class Backend:
    def __init__(self, name: str, rules: Rules, random: Random):
        self.name, self.rules, self._random = name, rules, random
        self.connections: set[Served] = set()
        self.held = 0  # requests in work or waiting
        self._cores = asyncio.Semaphore(CORES)
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Returns the port, which is a free one where `port` is 0."""
        self._server = await asyncio.get_running_loop().create_server(lambda: Served(self), host, port)
        return self._server.sockets[0].getsockname()[1]

    async def serve(self, connection: Served) -> None:
        """Answers with a body that no other request or backend has."""
        attempt = connection.attempt
        if self.held >= CORES + QUEUE:
            self.rules.record_rejected(attempt)
            connection.transport.write(FULL)
            return
        self.held += 1
        try:
            async with self._cores:
                await asyncio.sleep(self._random.uniform(*WORK_S))
        finally:
            self.held -= 1
        body = f"{attempt.request} by {self.name}".encode()
        self.rules.record_served(attempt, body)
        connection.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def end(self) -> None:
        """As when its process dies: connections are reset, and new ones refused."""
        self._server.close()
        for connection in list(self.connections):
            if connection.attempt is not None:
                self.rules.record_connection_end(connection.attempt, time.monotonic())
            connection.transport.abort()
