"""A simulated backend over HTTP: some cores with a bounded queue, and an abrupt end."""

from __future__ import annotations

import asyncio
import time
from random import Random

import httptools

from .rules import Attempt, Rules

CORES = 2  # requests served at once
QUEUE_SIZE = 32  # requests that may wait for a core; further ones are rejected
WORK_S = (0.02, 0.06)  # service time of a request, drawn uniformly
REJECTED_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"


class BackendConnection(asyncio.Protocol):
    """A connection to the backend, which carries one request at a time."""

    def __init__(self, backend: Backend):
        self._backend, self._parser = backend, httptools.HttpRequestParser(self)
        self._request_id, self._began_at = "", 0.0
        self._work: asyncio.Task | None = None
        self.attempt: Attempt | None = None  # the latest

    def connection_made(self, transport) -> None:
        self.transport = transport
        self._backend.connections.add(self)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        self._request_id, self._began_at = "", time.monotonic()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-request-id":
            self._request_id = value.decode("latin-1")

    def on_message_complete(self) -> None:
        self.attempt = self._backend.rules.record_attempt(
            self._request_id, self._backend.name, self._began_at, time.monotonic()
        )
        self._work = asyncio.get_running_loop().create_task(self._backend.serve(self))

    def connection_lost(self, error: Exception | None) -> None:
        self._parser = None  # breaks the reference cycle between parser and protocol
        self._backend.connections.discard(self)
        if self.attempt is not None:
            self._backend.rules.record_connection_end(self.attempt, time.monotonic())
            self._work.cancel()


class Backend:
    """A backend that reports its attempts to `rules`. Service times are drawn from `random`."""

    def __init__(self, name: str, rules: Rules, random: Random):
        self.name, self.rules, self._random = name, rules, random
        self.connections: set[BackendConnection] = set()
        self.request_count = 0  # requests in service or queued
        self._cores = asyncio.Semaphore(CORES)
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Start listening and return the port; 0 picks a free one."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: BackendConnection(self), host, port
        )
        return self._server.sockets[0].getsockname()[1]

    async def serve(self, connection: BackendConnection) -> None:
        """Serve the connection's attempt. The answer's body names the request and the backend."""
        attempt = connection.attempt
        if self.request_count >= CORES + QUEUE_SIZE:
            self.rules.record_rejected(attempt)
            connection.transport.write(REJECTED_RESPONSE)
            return
        self.request_count += 1
        try:
            async with self._cores:
                await asyncio.sleep(self._random.uniform(*WORK_S))
        finally:
            self.request_count -= 1
        body = f"{attempt.request} by {self.name}".encode()
        self.rules.record_served(attempt, body)
        connection.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def stop(self) -> None:
        """Stop as if the process died: connections are reset and new ones refused."""
        self._server.close()
        for connection in list(self.connections):
            if connection.attempt is not None:
                self.rules.record_connection_end(connection.attempt, time.monotonic())
            connection.transport.abort()
