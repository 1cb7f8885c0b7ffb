"""The real program as a process of its own: started, read from outside, and ended by its id."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
LISTEN_HOST = "127.0.0.2"  # for ports chosen ahead: connections going out take theirs on 127.0.0.1
POLL_S = 0.004  # between two looks whether a gateway is ready
BACKENDS_PER_GATEWAY = 26000 / 3100  # of the design; the program paces itself by the gateways' number
BASE_SETTINGS = {
    "me": 0,
    "zone": "z0",
    "resolutionMs": 4.0,
    "discovery": "push",
    "weights": "off",
    "classes": [
        {"name": "read", "idempotency": "safe", "promiseMs": 1000.0, "giveUpMs": 4000.0, "worth": 1.0}
    ],
    "plans": [{"name": "free"}, {"name": "thin", "unitsPerS": 0.05, "depth": 4.0}],
    "familyInfo": {"counter": True, "countWaitMs": 50.0, "unitsTop": 1},
    "policyLimits": {
        "cancel": True,
        "probing": False,
        "peerMessages": False,
        "mayDuplicate": False,
        "retryAfter": True,
        "maxRetryAfterMs": 500.0,
        "tryLimit": 6,
        "connectTimeoutMs": 250.0,
        "keepaliveMs": 15000.0,
    },
    "obligations": {
        "answerSlackMs": 16.0,
        "stopSendingWithinMs": 2000.0,
        "coldFrom": 0.24,
        "coldMs": 18000.0,
        "fallMultiple": 3.0,
        "overloadForMs": 3000.0,
    },
}
DEFAULT_LIMITS = {"cores": 1.0, "memory_mb": 128, "sockets": 1024}

METER_RESOLUTION_MS = 1.0  # what the meter tells; a loop that takes no longer steps is told as this
# Looks each millisecond how late it is itself: by the longest step that the loop took meanwhile. The time for
# which the process waited for a processor, as the kernel counts it, is the machine's and taken off. Appends
# when, and by how much, where that is over METER_RESOLUTION_MS.
METER = f"""
import asyncio, time
from elderhub import __main__ as main
TICK_S = 0.001
serve = main.serve
async def look(out, stat):
    def moment():
        stat.seek(0)
        return time.monotonic() - int(stat.read().split()[1]) / 1e9
    before = moment()
    while True:
        await asyncio.sleep(TICK_S)
        late_s = moment() - before - TICK_S
        if late_s > {METER_RESOLUTION_MS / 1000}:
            print(time.monotonic(), late_s, file=out, flush=True)
        before = moment()
async def metered(config):
    task = asyncio.get_running_loop().create_task(
        look(open(METER_FILE, "a"), open("/proc/self/schedstat")))
    try:
        await serve(config)
    finally:
        task.cancel()
main.serve = metered
"""


def fleet_settings(size: int) -> dict:
    """Of one gateway of a fleet that is to `size` backends as the design's is to its 26,000."""
    return {**BASE_SETTINGS, "instances": max(2, round(size / BACKENDS_PER_GATEWAY))}


def free_port(host: str) -> int:
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


class Program:
    """One gateway, told `settings` and the ports of its discovery and counter.

    `known`: the parts of its last list's text. `metered`: it notes its longest steps. `patch`: statements
    that are run before it starts. `host`: where it listens, at a port that was free. `limits`: as the
    configuration has them.
    """

    def __init__(
        self,
        home: Path,
        settings: dict,
        discovery: int,
        counter: int,
        known: tuple[bytes, ...],
        metered: bool = False,
        patch: str = "",
        host: str = LISTEN_HOST,
        limits: dict = DEFAULT_LIMITS,
    ):
        self._counter, self._known, self._settings = counter, known, settings
        self._limits = limits
        self.address = host, free_port(host)
        self._stem = home / "{}-{}".format(*self.address)
        self._meter = self._file("steps")
        self._code = f"METER_FILE = {str(self._meter)!r}\n{METER}\n" if metered else ""
        self._code += patch
        self.write_config(discovery)
        self.process: asyncio.subprocess.Process | None = None
        self.began = 0.0

    def _file(self, kind: str) -> Path:
        return self._stem.with_name(f"{self._stem.name}.{kind}")

    def write_config(self, discovery: int) -> None:
        """`known` is spliced in as text: a list of 100,000 entries is not parsed again here."""
        raw = json.dumps(
            {
                "name": "n{}".format(self._settings["me"]),
                "listen": "{}:{}".format(*self.address),
                "seed": "8c1f30d27a5be964",
                "discovery": f"127.0.0.1:{discovery}",
                "counter": f"127.0.0.1:{self._counter}",
                "limits": self._limits,
                "settings": self._settings,
            }
        ).encode()
        path = self._file("json")
        path.write_bytes(raw[:-1] + b',"known":' + b"".join(self._known) + b"}")
        self._config = path

    async def start(self) -> None:
        command = ["-m", "elderhub"]
        if self._code:
            command = [
                "-c",
                f"{self._code}\nimport sys\nfrom elderhub import __main__ as main\nsys.exit(main.main())",
            ]
        environ = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
        with open(self._file("log"), "ab") as log:
            self.began = time.monotonic()
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *command,
                cwd=ROOT,
                env=dict(environ, NODE_CONFIG=str(self._config)),
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self, within_s: float, given_up=lambda: False) -> float | None:
        """Seconds from exec until /healthz answers 200; none where it never does."""
        while time.monotonic() < self.began + within_s and not given_up():
            if self.process.returncode is not None:
                raise RuntimeError(f"a gateway ended with {self.process.returncode}: {self.log_tail()}")
            if await self._healthy():
                return time.monotonic() - self.began
            await asyncio.sleep(POLL_S)
        return None

    async def _healthy(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except ConnectionError:
            return False
        try:
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return (await reader.read()).startswith(b"HTTP/1.1 200")
        except ConnectionError:
            return False
        finally:
            writer.close()

    def log_tail(self) -> str:
        """The end of what it wrote."""
        return self._file("log").read_text()[-2000:]

    def cpu_s(self) -> float:
        """User and system time of all its threads so far: the kernel's clock of the process, whose id is
        made as in clock_getcpuclockid(3). /proc/PID/stat holds the same in steps of 10 ms."""
        return time.clock_gettime(~self.process.pid << 3 | 2)

    def memory_mb(self) -> tuple[float, float]:
        """Resident now, and the most so far."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        kib = {line.split(":")[0]: line.split()[1] for line in text.splitlines() if line.startswith("Vm")}
        return int(kib["VmRSS"]) / 1024, int(kib["VmHWM"]) / 1024

    def longest_step_ms(self, since: float, until: float) -> float:
        """Of the loop, between two moments; METER_RESOLUTION_MS where all were shorter."""
        longest = METER_RESOLUTION_MS
        if self._meter.exists():
            for line in self._meter.read_text().splitlines():
                at, step_s = map(float, line.split())
                if since <= at <= until:
                    longest = max(longest, step_s * 1000.0)
        return longest

    def reload(self) -> None:
        self.process.send_signal(signal.SIGHUP)

    async def kill(self) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
