"""Stand-ins and process control for the cases of review 2; only the standard library, loopback only.

The stand-ins follow the user's protocol page: clients, backends, discovery and the counter.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 2.0
READY_S = 30.0  # the limit of the pages for a start


class CannotRun(Exception):
    """The case could not be carried out, so it says nothing about the rule."""


class Record:
    """`record.txt` of a case: a line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")

    def close(self) -> None:
        self._file.close()


def settings(**changes) -> dict:
    """The settings of a small deployment: two classes and three plans, in the form of the wire page."""
    base = {
        "azs": ["hall-a", "hall-b"],
        "zone": "hall-a",
        "me": 0,
        "instances": 2,
        "tier": 0,
        "layers": ["revisores"],
        "kinds": ["std-3c"],
        "resolutionMs": 4.0,
        "weights": "rough",
        "workload": "gate",
        "discovery": "push",
        "clients": {"marksRetry": False},
        "classes": [
            request_class("check-photo", "safe", 5000.0, 1200.0, 3.0),
            request_class("file-result", "unsafe", 1500.0, 500.0, 2.0),
        ],
        "plans": [
            plan("basico", 2.6, 14.0, 0.72, 0.6),
            plan("estandar", 14.0, 36.0, 1.1, 0.6),
            plan("ampliado", 50.0, 100.0, 1.4, 0.8, hardRate=100.0, ceilingBurst=200.0, tolerance=20.0),
        ],
        "familyInfo": {
            "costAfter": False,
            "countWaitMs": 50.0,
            "counter": True,
            "counterPrice": 0.02,
            "meterMs": 0.0,
            "peerInPerS": 0.0,
            "unitsTop": 8,
        },
        "fees": {"crossZone": 0.01, "lateFail": 0.05, "probe": 0.01, "waste": 0.08},
        "obligations": {
            "answerSlackMs": 16.0,
            "askEveryMs": 10000.0,
            "coldFrom": 0.24,
            "coldMs": 18000.0,
            "fallMultiple": 3.0,
            "overloadForMs": 3000.0,
            "stopSendingWithinMs": 2000.0,
        },
        "policyLimits": {
            "cancel": True,
            "connectTimeoutMs": 250.0,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 500000,
            "keepaliveMs": 15000.0,
            "maxOpen": 20000,
            "maxRetryAfterMs": 500.0,
            "mayDuplicate": False,
            "peerMessages": False,
            "probing": True,
            "retryAfter": True,
            "streamsPerConn": 100,
            "tryLimit": 6,
        },
        "report": {"columns": ["busy_reqs", "cpu_share", "svc_ms"], "source": "on_probe"},
    }
    return {**base, **changes}


def request_class(name: str, effect: str, give_up_ms: float, promise_ms: float, worth: float) -> dict:
    """A class of requests, in the form of the settings."""
    return {
        "name": name,
        "idempotency": effect,
        "giveUpMs": give_up_ms,
        "promiseMs": promise_ms,
        "worth": worth,
        "lateWorth": 0.0,
        "stream": False,
        "keyScope": "all",
        "keyTtlMs": 5000.0,
    }


def plan(name: str, rate: float, depth: float, price: float, overrun: float, **more) -> dict:
    """A plan, in the form of the settings."""
    return {
        "name": name,
        "unitsPerS": rate,
        "depth": depth,
        "price": price,
        "overrunCost": overrun,
        "excessWorth": 0.0,
        "concurrency": 0,
        "hardRate": 0.0,
        "ceilingBurst": 0.0,
        "tolerance": 0.0,
        **more,
    }


def free_port(host: str) -> int:
    """A TCP port of `host` that is free at present."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Gateway:
    """One gateway process, started by `run` of the deploy file through `sh -c` from the root."""

    def __init__(self, number: int, home: Path, configuration: dict, limits: dict):
        self.number, self._home = number, home
        self.host = f"127.0.1.{number + 1}"
        self.port = free_port(self.host)
        self.limits = limits
        self._configuration = configuration
        self.process: asyncio.subprocess.Process | None = None
        self.config_path = home / f"gateway{number}.json"
        self.log_path = home / f"gateway{number}.log"

    async def start(self) -> None:
        """Writes the configuration and starts the process."""
        config = {
            "name": f"n{self.number}",
            "listen": f"{self.host}:{self.port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": self.limits,
            **self._configuration,
        }
        self.config_path.write_text(json.dumps(config), encoding="utf-8")
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        scratch = self._home / f"scratch{self.number}"
        shutil.rmtree(scratch, ignore_errors=True)
        scratch.mkdir()
        environ = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
        environ |= {
            "NODE_NAME": config["name"],
            "NODE_LISTEN": config["listen"],
            "NODE_DISCOVERY": config["discovery"],
            "NODE_CONFIG": str(self.config_path),
            "TMPDIR": str(scratch),
        }
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env=environ,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self) -> None:
        """Waits until /healthz answers 200, as the front does. Raises CannotRun."""
        limit = time.monotonic() + READY_S
        while time.monotonic() < limit and self.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(self.host, self.port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"gateway {self.number} is not ready: {self.log_path.read_text()[-500:]}")

    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def memory_mb(self) -> float:
        """The resident memory of the process in MiB, without what is mapped from files.

        `run` ends in one process by `exec`.
        """
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        return sum(int(line.split()[1]) for line in lines if line.startswith(("RssAnon", "RssShmem"))) / 1024

    async def kill(self) -> None:
        """Kills the process, if it runs, and waits for its end."""
        if self.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()


class Discovery:
    """Discovery: one agent for each gateway, on a port of its own. It answers at once."""

    def __init__(self, entries: list[dict]):
        self.generation, self.entries = 1, {entry["instanceId"]: entry for entry in entries}
        self._writers: set[asyncio.StreamWriter] = set()
        self._servers: list[asyncio.Server] = []

    async def open_agent(self) -> str:
        """Starts an agent and returns its address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def whole(self) -> dict:
        """The whole list, as discovery sends it."""
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def change(self, *entries: dict) -> None:
        """Tells all gateways of changed entries."""
        self.generation += 1
        for entry in entries:
            self.entries[entry["instanceId"]] = entry
        for writer in self._writers:
            self._write(writer, {"generation": self.generation, "reset": False, "instances": list(entries)})

    def _write(self, writer: asyncio.StreamWriter, message: dict) -> None:
        line = json.dumps(message).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._write(writer, self.whole())
            self._writers.add(writer)
            while True:
                await asyncio.sleep(HEARTBEAT_S)
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def close(self) -> None:
        for server in self._servers:
            server.close()
        for writer in self._writers:
            writer.transport.abort()


class Counter:
    """The counter: names with a total and a life. `delay` gives the time before an answer, in seconds."""

    def __init__(self, delay: Callable[[str], float] = lambda name: 0.001):
        self.delay = delay
        self.totals: dict[str, tuple[float, float]] = {}  # total and end of life, by name
        self.calls = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> str:
        """Starts to listen and returns the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def add(self, name: str, amount: float, life_ms: float) -> float:
        """Adds to a name and returns its total."""
        now = time.monotonic()
        total, end = self.totals.get(name, (0.0, 0.0))
        if end <= now:
            total, end = 0.0, now + min(life_ms, 60000.0) / 1000.0
        self.totals[name] = total + amount, end
        self.calls += 1
        return total + amount

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        free_at = 0.0
        loop = asyncio.get_running_loop()
        try:
            while line := await reader.readline():
                words = line.split()
                if words == [b"ping"]:
                    answer, delay_s = b"pong\r\n", 0.0
                elif len(words) == 4 and words[0] == b"add":
                    name = words[1].decode()
                    total = self.add(name, float(words[2]), float(words[3]))
                    answer, delay_s = f"ok {total:.7g}\r\n".encode(), self.delay(name)
                else:
                    answer, delay_s = b"error\r\n", 0.0
                # Answers of a connection keep the order of its calls.
                free_at = max(free_at, loop.time() + delay_s)
                loop.call_at(free_at, writer.write, answer)
        except (OSError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def close(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


@dataclass
class Attempt:
    """A request as it reached a backend whole."""

    backend: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float  # monotonic time of its last byte


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """The first line and the headers of a message, with their names in lower case."""
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Reads a message with a length or in chunks; returns its first line, headers and body."""
    first, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        while (await reader.readline()).strip():
            pass
    elif length := int(headers.get("content-length", "0")):
        body = await reader.readexactly(length)
    return first, headers, body


class Backend:
    """A backend: it begins a request once its last byte has come and answers it after `work_s`.

    `answer` may replace the answer: it is called with the attempt and the writer.
    """

    def __init__(self, number: int, on_attempt: Callable[[Attempt], None], work_s: float = 0.02):
        self.name, self.host = f"s-{number:08x}", f"127.0.2.{number + 1}"
        self.port = 0
        self._on_attempt, self.work_s = on_attempt, work_s
        self.answer: Callable[[Attempt, asyncio.StreamWriter], Awaitable[None]] | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self, lifecycle: str = "Ready", started_ms: int = 0) -> dict:
        """Its entry in the list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{self.host}:{self.port}",
            "zone": "hall-a",
            "machineType": "std-3c",
            "cell": 1,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": started_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                if target in ("/load", "/healthz"):
                    report = b"inflight=1,util=0.3,latency_ms=20"
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(report) + report)
                    continue
                attempt = Attempt(self.name, method, target, headers, body, time.monotonic())
                self._on_attempt(attempt)
                await asyncio.sleep(self.work_s)
                if self.answer is not None:
                    await self.answer(attempt, writer)
                    continue
                text = answer_body(attempt)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def close(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


def answer_body(attempt: Attempt) -> bytes:
    """The body of a backend's answer: it names the request and how much was recorded of it."""
    name = attempt.headers.get("x-request-id", "-")
    return f"request {name}: {len(attempt.body)} bytes recorded by {attempt.backend}".encode()


@dataclass
class Answer:
    """What a client got: status 0 if the connection ended without an answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    at: float = 0.0


def new_id() -> str:
    """A fresh X-Request-ID."""
    return f"{random.getrandbits(64):016x}"


def request_text(
    name: str,
    customer: int,
    class_name: str,
    plan_name: str,
    *,
    body: bytes | None = None,
    timeout_s: float = 1.5,
    units: int = 1,
    spread: int = 2,
    first: int = 0,
    more: str = "",
) -> bytes:
    """A request of a client: POST with a body, or GET without one. `more` has further header lines."""
    return (
        f"{'GET' if body is None else 'POST'} /api/{customer:016x} HTTP/1.1\r\nHost: api.internal\r\n"
        f"X-Request-ID: {name}\r\nX-Priority-Class: {class_name}\r\nPlan: {plan_name}\r\n"
        f"X-Timeout: {timeout_s:.3f}\r\nQuota-Info: units={units},spread={spread},first={first}\r\n{more}"
        + ("" if body is None else f"Content-Length: {len(body)}\r\n")
        + "\r\n"
    ).encode() + (body or b"")


class Client:
    """A client's connections to one gateway: one request at a time on each, kept while it may be."""

    def __init__(self, gateway: Gateway):
        self._gateway = gateway
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(self, text: bytes, wait_s: float, fresh: bool = False) -> Answer:
        """Sends a request and waits for its answer until `wait_s` is over."""
        writer = None
        try:
            async with asyncio.timeout(wait_s):
                if self._idle and not fresh:
                    reader, writer = self._idle.pop()
                else:
                    reader, writer = await asyncio.open_connection(self._gateway.host, self._gateway.port)
                writer.write(text)
                while True:
                    first, headers, body = await read_message(reader)
                    if not first.startswith("HTTP/1.1 1"):
                        break
                answer = Answer(int(first.split(" ")[1]), headers, body, time.monotonic())
                if headers.get("connection", "").lower() == "close":
                    writer.close()
                else:
                    self._idle.append((reader, writer))
                return answer
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
            if writer is not None:
                writer.transport.abort()
            return Answer(0, at=time.monotonic())

    def close(self) -> None:
        for _, writer in self._idle:
            writer.transport.abort()


class World:
    """A small deployment: gateways, backends, discovery and the counter."""

    def __init__(self, home: Path, record: Record):
        self.home, self.record = home, record
        self.gateways: list[Gateway] = []
        self.backends: list[Backend] = []
        self.attempts: list[Attempt] = []
        self.counter = Counter()
        self.discovery: Discovery | None = None

    def note_attempt(self, attempt: Attempt) -> None:
        """Called by the backends with each request that reached one whole."""
        self.attempts.append(attempt)
        self.record(
            f"run      {attempt.headers.get('x-request-id')} at {attempt.backend}: {attempt.method} "
            f"{attempt.target}, body of {len(attempt.body)} bytes"
        )

    async def start(
        self,
        gateways: int = 2,
        backends: int | list = 4,
        work_s: float = 0.02,
        limits: dict | None = None,
        **changed_settings,
    ) -> None:
        """Starts everything and waits until the gateways are ready."""
        if isinstance(backends, int):
            backends = [Backend(number, self.note_attempt, work_s) for number in range(backends)]
        for backend in backends:
            await backend.open()
            self.backends.append(backend)
        self.discovery = Discovery([backend.entry() for backend in self.backends])
        counter = await self.counter.open()
        for number in range(gateways):
            configuration = {
                "discovery": await self.discovery.open_agent(),
                "counter": counter,
                "known": self.discovery.whole(),
                "settings": settings(**{**changed_settings, "me": number, "instances": gateways}),
            }
            gateway = Gateway(
                number,
                self.home,
                configuration,
                limits or {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            )
            self.gateways.append(gateway)
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_until_ready()

    async def stop(self) -> None:
        """Ends all processes and stand-ins."""
        for gateway in self.gateways:
            await gateway.kill()
        for backend in self.backends:
            backend.close()
        self.counter.close()
        if self.discovery is not None:
            self.discovery.close()


def play(folder: Path, case: Callable[[World, Record], Awaitable[str | None]], within_s: float) -> int:
    """Plays a case; returns the exit code. The case returns how the rule was broken, or None."""

    async def run() -> str | None:
        with tempfile.TemporaryDirectory(prefix="review2-") as home:
            world = World(Path(home), record)
            try:
                async with asyncio.timeout(within_s):
                    return await case(world, record)
            finally:
                await world.stop()

    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # what was started is ended then too
    try:
        broken = asyncio.run(run())
    except Exception as error:  # a fault of the case itself says nothing about the rule
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return COULD_NOT_RUN
    else:
        verdict = f"broken: {broken}" if broken else "held"
        record(verdict)
        print(verdict)
        return BROKEN if broken else HELD
    finally:
        record.close()
