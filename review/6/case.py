"""A late second answer is served to another client: a connection is reused at once where 64 are open.

From then on each answer on that connection goes to the request behind its own, also one that turns a request
away: a request that must not run twice is then sent again, though it runs.
"""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lib2.rig import (  # noqa: E402
    TROUBLE,
    Attempt,
    Gateway,
    Record,
    World,
    new_id,
    parse_head,
    play,
    request_text,
)

LINK_S = 0.002  # one way between the halls; the pages: 1.4 to 2.6 ms
LATE_S = (0.001, 0.003)  # from an answer to its second copy; the pages: "some milliseconds late"
COPY_SHARE = 0.05  # of the answers
CORES = 3  # of a backend
ROOM = 70  # requests that a backend holds, in work and waiting (the pages: 45 to 150); it turns others away
LOAD = 0.8  # of what the backends can do, without the burst
BACKENDS = 2
RATE_PER_S = 370.0  # at one gateway; the pages: 140, and up to four times as many
BURST, BURST_S = 1.5, (6.0, 26.0)  # the pages: "a burst of half as much again"; from and until when
LOAD_S = 30.0
WORK_S = LOAD * BACKENDS * CORES / RATE_PER_S  # of a request in the mean: scaled to fit, as on the pages
TIMEOUT_S, RESULT_TIMEOUT_S = 4.0, 1.5  # of check-photo and of file-result
RESULT_SHARE = 0.2  # of the requests are of file-result, which must not run twice
CUSTOMERS = 400


class Node(asyncio.Protocol):
    """A connection at a backend in the other hall: what passes takes LINK_S each way."""

    def __init__(self, backend: "FarBackend"):
        self._backend, self._loop = backend, asyncio.get_running_loop()
        self._input, self._requests = b"", 0

    def connection_made(self, transport) -> None:
        self._transport = transport
        self._backend.transports.add(transport)

    def connection_lost(self, error) -> None:
        self._backend.transports.discard(self._transport)

    def data_received(self, data: bytes) -> None:
        self._loop.call_later(LINK_S, self._arrive, data)

    def _arrive(self, data: bytes) -> None:
        self._input += data
        head, end, body = self._input.partition(b"\r\n\r\n")
        if not end:
            return
        first, headers = parse_head(head)
        if len(body) < int(headers.get("content-length", "0")):
            return
        self._input = b""  # the gateway sends one request at a time
        method, target, _ = first.split(" ")
        self._requests += 1
        if target in ("/load", "/healthz"):
            self._send(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ninflight=1")
            return
        attempt = Attempt(self._backend.name, method, target, headers, body, time.monotonic())
        done_s = self._backend.queue(self._loop.time())
        if done_s is None:
            self._backend.record(f"turned away {headers['x-request-id']} at {self._backend.name}")
            self._send(b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
        else:
            self._backend.on_attempt(attempt)
            self._loop.call_at(done_s, self._answer, attempt, self._requests)

    def _answer(self, attempt: Attempt, number: int) -> None:
        self._backend.held -= 1
        body = "answer to {} for {}".format(attempt.headers["x-request-id"], attempt.target).encode()
        message = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        self._send(message)
        if TROUBLE and random.random() < COPY_SHARE:
            self._loop.call_later(random.uniform(*LATE_S), self._send_copy, message, number, attempt)

    def _send_copy(self, message: bytes, number: int, attempt: Attempt) -> None:
        if self._requests == number and not self._input:  # nothing else is waiting on the connection
            self._backend.record(f"copy     of the answer to {attempt.headers['x-request-id']}")
            self._send(message)

    def _send(self, message: bytes) -> None:
        self._loop.call_later(LINK_S, self._transport.write, message)


class FarBackend:
    """A backend: some cores, which serve what waits in the order of its arrival."""

    def __init__(self, number: int, world: World):
        self.name, self.host, self.port = f"s-{number:08x}", f"127.0.2.{number + 1}", 0
        self.on_attempt, self.record, self.transports = world.note_attempt, world.record, set()
        self.held, self._free_at = 0, [0.0] * CORES

    def queue(self, now_s: float) -> float | None:
        """When a request that comes now will be done, in loop time; None if there is no room for it."""
        if self.held >= ROOM:
            return None
        self.held += 1
        core = min(range(CORES), key=self._free_at.__getitem__)
        self._free_at[core] = max(now_s, self._free_at[core]) + random.uniform(0.5, 1.5) * WORK_S
        return self._free_at[core]

    async def open(self) -> None:
        server = await asyncio.get_running_loop().create_server(lambda: Node(self), self.host, 0)
        self._server, self.port = server, server.sockets[0].getsockname()[1]

    def entry(self) -> dict:
        return {
            "instanceId": self.name,
            "hostPort": f"{self.host}:{self.port}",
            "zone": "hall-b",
            "machineType": "std-3c",
            "cell": 1,
            "lifecycle": "Ready",
            "weight": 1.0,
            "startedAtMs": 0,
        }

    def close(self) -> None:
        self._server.close()
        for transport in list(self.transports):
            transport.abort()


class Connection(asyncio.Protocol):
    """A client's connection, with one request at a time."""

    def __init__(self, idle: list):
        self._idle, self._input, self._done = idle, b"", None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def send(self, text: bytes) -> asyncio.Future:
        self._done = asyncio.get_running_loop().create_future()
        self.transport.write(text)
        return self._done

    def data_received(self, data: bytes) -> None:
        self._input += data
        head, end, body = self._input.partition(b"\r\n\r\n")
        if not end or self._done is None:
            return
        first, headers = parse_head(head)
        if len(body) < int(headers.get("content-length", "0")):
            return
        self._input, done, self._done = b"", self._done, None
        if headers.get("connection", "").lower() == "close":
            self.transport.close()
        else:
            self._idle.append(self)
        if not done.done():
            done.set_result((int(first.split(" ")[1]), body))

    def connection_lost(self, error) -> None:
        if self in self._idle:
            self._idle.remove(self)
        if self._done is not None and not self._done.done():
            self._done.set_result((0, b""))


async def connect(gateway: Gateway, idle: list) -> Connection:
    if idle:
        return idle.pop()
    loop = asyncio.get_running_loop()
    return (await loop.create_connection(lambda: Connection(idle), gateway.host, gateway.port))[1]


async def case(world: World, record: Record) -> str | None:
    await world.start(
        gateways=2,
        backends=[FarBackend(number, world) for number in range(BACKENDS)],
        limits={"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    )
    gateway, idle, tasks = world.gateways[0], [], set()
    statuses, foreign = {}, []

    async def send(customer: int, is_result: bool) -> None:
        name = new_id()
        if is_result:
            body, timeout_s = b'{"result": "passed"}', RESULT_TIMEOUT_S
            text = request_text(name, customer, "file-result", "estandar", body=body, timeout_s=timeout_s)
        else:
            timeout_s = TIMEOUT_S
            text = request_text(name, customer, "check-photo", "estandar", timeout_s=timeout_s)
        try:
            connection = await connect(gateway, idle)
            status, body = await asyncio.wait_for(connection.send(text), timeout_s + 0.5)
        except (OSError, TimeoutError):
            status, body = 0, b""
        statuses[status] = statuses.get(status, 0) + 1
        record(f"answered {name}: {status} {body!r}")
        if status == 200 and name.encode() not in body:
            foreign.append(name)

    started = time.monotonic()
    due, number = 0.0, 0
    while due < LOAD_S:
        due += 1.0 / (RATE_PER_S * (BURST if BURST_S[0] <= due < BURST_S[1] else 1.0))
        number += 1
        await asyncio.sleep(max(0.0, started + due - time.monotonic()))
        task = asyncio.create_task(send(1 + number % CUSTOMERS, number % int(1 / RESULT_SHARE) == 0))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    record(f"answers by status (0: none): {statuses}")
    runs = Counter(a.headers["x-request-id"] for a in world.attempts if a.method == "POST")
    repeated = [name for name, count in runs.items() if count > 1]
    for name in repeated:
        record(f"run twice {name}, of a class that must not run twice")
    if foreign or repeated:
        return (
            f"{len(foreign)} of {statuses[200]} answers with 200 were made for another request; "
            f"{len(repeated)} of {len(runs)} requests of file-result were run twice"
        )
    return None


def main() -> int:
    return play(HERE, case, 100.0)


if __name__ == "__main__":
    sys.exit(main())
