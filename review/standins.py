"""Stand-ins for clients, backends, discovery and the counter, and the start of real gateways.

All are on loopback addresses and run in the event loop of the case. They follow PROTOCOL-rosehitch.md and
need the standard library alone. `Case` runs one case: it records what is sent, answered and run, and ends all
processes that it started.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import logging
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT_S = 110.0
READY_TIMEOUT_S = 30.0  # of a gateway, as the pages allow
RULE_BROKEN, RULE_HELD, COULD_NOT_RUN = 1, 0, 2
GATEWAY_HOST = "127.0.0.2"  # outgoing connections use 127.0.0.1, so they can't take a port chosen here
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}  # of a gateway; the most on scored days
# The form and the figures of the example in WIRE-rosehitch.md, "What does an instance know at start?".
SETTINGS = {
    "azs": ["hall-a", "hall-b"],
    "zone": "hall-a",
    "kinds": ["std-3c"],
    "layers": ["revisores"],
    "tier": 0,
    "me": 0,
    "instances": 2,
    "resolutionMs": 4.0,
    "weights": "rough",
    "workload": "gate",
    "discovery": "push",
    "clients": {"marksRetry": False},
    "classes": [
        {
            "name": "check-photo",
            "idempotency": "safe",
            "promiseMs": 1200.0,
            "giveUpMs": 5000.0,
            "worth": 3.0,
            "stream": False,
        },
        {
            "name": "file-result",
            "idempotency": "unsafe",
            "promiseMs": 500.0,
            "giveUpMs": 1500.0,
            "worth": 2.0,
            "stream": False,
        },
    ],
    "plans": [
        {"name": "basico", "unitsPerS": 2.6, "depth": 16.0, "price": 0.72, "overrunCost": 0.6},
        {"name": "estandar", "unitsPerS": 11.0, "depth": 24.0, "price": 1.1, "overrunCost": 0.6},
        {
            "name": "ampliado",
            "unitsPerS": 40.0,
            "depth": 69.0,
            "price": 1.4,
            "overrunCost": 0.8,
            "concurrency": 6,
            "hardRate": 80.0,
            "ceilingBurst": 138.0,
            "tolerance": 14.0,
        },
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


def free_port(host: str) -> int:
    """Returns a TCP port that is free at present."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, dict[bytes, bytes], bytes]:
    """Reads an HTTP message with a length; returns its first line, headers in lower case, and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first_line, *lines = head[:-4].split(b"\r\n")
    pairs = [line.partition(b":") for line in lines]
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return first_line, headers, await reader.readexactly(int(headers.get(b"content-length", b"0")))


def answer(status: int, body: bytes, headers: bytes = b"") -> bytes:
    """Returns the bytes of a backend's answer."""
    return b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (status, headers, len(body), body)


TURNED_AWAY = answer(503, b"", b"X-Not-Processed: 1\r\n")


class Attempt:
    """An attempt as a backend received it; `at_s` is when its last byte came."""

    def __init__(
        self, backend: str, first_line: bytes, headers: dict[bytes, bytes], body: bytes, at_s: float
    ):
        self.backend, self.first_line, self.headers, self.body = backend, first_line, headers, body
        self.at_s = at_s
        self.id = headers.get(b"x-request-id", b"").decode("latin-1")


class Backend:
    """A review node: `serve(attempt)` returns the bytes of the answer, or None to say nothing."""

    def __init__(self, case: Case, name: str, serve: Callable[[Attempt], Coroutine], zone: str = "hall-a"):
        self._case, self.name, self._serve, self.zone = case, name, serve, zone
        self._tasks: set[asyncio.Task] = set()
        self.port = 0
        self.started_ms = 0.0

    async def start(self) -> Backend:
        self._server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.on_accepted(reader, writer)

    def on_accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves an accepted connection, one request at a time."""
        task = asyncio.get_running_loop().create_task(self._follow(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _follow(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                first_line, headers, body = await read_message(reader)
                path = first_line.split()[1]
                if path in (b"/load", b"/healthz"):
                    writer.write(answer(200, b"busy_reqs=0,cpu_share=0.5,svc_ms=120"))
                    continue
                attempt = Attempt(self.name, first_line, headers, body, time.monotonic())
                self._case.log(self.name, f"attempt of {attempt.id} came whole")
                data = await self._serve(attempt)
                if data is not None:
                    writer.write(data)
                    status = data.split(b" ", 2)[1].decode()
                    self._case.log(self.name, f"answered {attempt.id} with {status}")
        writer.close()

    def entry(self, lifecycle: str = "Ready") -> dict:
        """Returns the backend's entry in discovery's list."""
        return {
            "instanceId": f"s-{self.name}",
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "machineType": "std-3c",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_ms,
        }


class Cores:
    """The cores of a review node, with a bounded queue before them."""

    def __init__(self, count: int = 3, queue: int = 60):
        self._free, self._room = asyncio.Semaphore(count), count + queue

    async def work(self, work_s: float) -> bool:
        """Works on a request; returns False at once if the queue is full."""
        if self._room <= 0:
            return False
        self._room -= 1
        async with self._free:
            await asyncio.sleep(work_s)
        self._room += 1
        return True


class Discovery:
    """The discovery agent of a gateway: tells the whole list, and heartbeats every 2 s."""

    def __init__(self, entries: list[dict]):
        self.entries, self.generation, self.port = entries, 41, 0

    def whole_list(self) -> dict:
        return {"generation": self.generation, "reset": True, "instances": self.entries}

    async def start(self) -> Discovery:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            line = json.dumps(self.whole_list()).encode() + b"\n"
            head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head + b"%x\r\n%b\r\n" % (len(line), line))
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()


class Counter:
    """The counter service: adds at once; a name vanishes when its life is over."""

    def __init__(self) -> None:
        self._totals: dict[bytes, tuple[float, float]] = {}  # total and end of life, by name
        self.port = 0

    async def start(self) -> Counter:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                writer.write(b"pong\r\n" if line.strip() == b"ping" else self._add(line.split()))

    def _add(self, words: list[bytes]) -> bytes:
        if len(words) != 4 or words[0] != b"add":
            return b"error\r\n"
        _, name, amount, life_ms = words
        now_s = time.monotonic()
        total, ends_s = self._totals.get(name, (0.0, 0.0))
        if ends_s <= now_s:
            total, ends_s = 0.0, now_s + min(60000.0, float(life_ms)) / 1000.0
        total += float(amount)
        self._totals[name] = total, ends_s
        return b"ok %.7g\r\n" % total


class Gateway:
    """A real gateway, started by `run` of the deploy file."""

    def __init__(self, case: Case, number: int, settings: dict, discovery: int, counter: int, known: dict):
        self._case, self.name = case, f"n{number}"
        self.address = GATEWAY_HOST, free_port(GATEWAY_HOST)
        self._home = Path(tempfile.mkdtemp(prefix="gateway-", dir=case.home))
        self._discovery = f"127.0.0.1:{discovery}"
        config = {
            "name": self.name,
            "listen": "{}:{}".format(*self.address),
            "discovery": self._discovery,
            "counter": f"127.0.0.1:{counter}",
            "seed": os.urandom(8).hex(),
            "limits": LIMITS,
            "known": known,
            "settings": {**copy.deepcopy(settings), "me": number},
        }
        (self._home / "config.json").write_text(json.dumps(config))
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process, as the platform does."""
        (self._home / "tmp").mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environ = {
            **os.environ,
            "NODE_NAME": self.name,
            "NODE_LISTEN": "{}:{}".format(*self.address),
            "NODE_DISCOVERY": self._discovery,
            "NODE_CONFIG": str(self._home / "config.json"),
            "TMPDIR": str(self._home / "tmp"),
        }
        with (self._home / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._case.processes.append(self.process)
        self._case.log(self.name, "started")

    async def wait_until_ready(self) -> None:
        """Waits until /healthz answers 200; raises RuntimeError if it does not."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                first_line, _, _ = await read_message(reader)
                writer.close()
                if b" 200 " in first_line:
                    self._case.log(self.name, "ready")
                    return
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready: {self.log_text()[-500:]}")

    def signal(self, number: signal.Signals) -> None:
        self._case.log("platform", f"{number.name} to {self.name}")
        self.process.send_signal(number)

    async def wait_until_ended(self, within_s: float) -> bool:
        """Waits for the end of the process; returns whether it ended."""
        deadline_s = time.monotonic() + within_s
        while time.monotonic() < deadline_s:
            if self.process.poll() is not None:
                self._case.log("platform", f"{self.name} has ended with {self.process.returncode}")
                return True
            await asyncio.sleep(0.01)
        return False

    def log_text(self) -> str:
        return (self._home / "log").read_text(errors="replace")


class Case:
    """One run of a case. `record` is the file of what was sent, answered and run."""

    def __init__(self, folder: Path, home: Path):
        self.home = home
        self._record = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()
        self.processes: list[subprocess.Popen] = []
        self.broken: list[str] = []
        self.log("case", f"TROUBLE={int(TROUBLE)}")

    def log(self, who: str, what: str) -> None:
        print(f"{time.monotonic() - self._started_s:9.4f} {who}: {what}", file=self._record, flush=True)

    def break_rule(self, what: str) -> None:
        """Notes that the rule was broken."""
        self.broken.append(what)
        self.log("RULE BROKEN", what)

    async def start_fleet(self, count: int, settings: dict, backends: list[Backend]) -> list[Gateway]:
        """Starts discovery, the counter and `count` gateways before the backends; returns the gateways."""
        self.counter = await Counter().start()
        self.agents, gateways = [], []
        for number in range(count):
            agent = await Discovery([backend.entry() for backend in backends]).start()
            self.agents.append(agent)
            fleet_settings = {**settings, "instances": count}
            gateways.append(
                Gateway(self, number, fleet_settings, agent.port, self.counter.port, agent.whole_list())
            )
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            await gateway.wait_until_ready()
        return gateways

    def end(self) -> None:
        """Ends all processes that were started."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()


def run_case(folder: Path, play: Callable[[Case], Coroutine]) -> int:
    """Runs `play` and returns the exit code: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    logging.getLogger("asyncio").disabled = True  # stand-ins that are cancelled at the end
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    with tempfile.TemporaryDirectory(prefix="review-") as home:
        case = Case(folder, Path(home))
        try:
            asyncio.run(asyncio.wait_for(play(case), TIME_LIMIT_S))
            code = RULE_BROKEN if case.broken else RULE_HELD
        except Exception as error:  # the case itself failed, which says nothing about the rule
            case.log("case", f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            code = COULD_NOT_RUN
        finally:
            case.end()
        verdict = {RULE_BROKEN: "rule broken", RULE_HELD: "rule held", COULD_NOT_RUN: "could not run"}[code]
        case.log("case", verdict)
    print(verdict, *case.broken[:5], sep="\n  ", flush=True)
    return code
