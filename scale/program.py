"""Runs the real gateway as a child process and measures it from outside."""

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
# Outgoing connections use 127.0.0.1, so that they cannot take the port chosen for the gateway.
LISTEN_HOST = "127.0.0.2"
POLL_INTERVAL_S = 0.004  # between two checks whether a gateway is ready
BACKENDS_PER_GATEWAY = 26000 / 3100  # of the design
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

METER_RESOLUTION_MS = 1.0  # shorter steps of the event loop are reported as this
# Code that runs in the gateway's process. A timer of one millisecond is late by the longest step of the event
# loop meanwhile; the time for which the process waited for a processor, as counted by the kernel, is
# subtracted.
# A line with the time and the lateness is written if that exceeds METER_RESOLUTION_MS.
METER_CODE = f"""
import asyncio, time
from elderhub import __main__ as main
TICK_S = 0.001
serve = main.serve
async def measure_steps(out, stat):
    def running_time_s():
        stat.seek(0)
        return time.monotonic() - int(stat.read().split()[1]) / 1e9
    before_s = running_time_s()
    while True:
        await asyncio.sleep(TICK_S)
        late_s = running_time_s() - before_s - TICK_S
        if late_s > {METER_RESOLUTION_MS / 1000}:
            print(time.monotonic(), late_s, file=out, flush=True)
        before_s = running_time_s()
async def serve_with_meter(config):
    task = asyncio.get_running_loop().create_task(
        measure_steps(open(METER_FILE, "a"), open("/proc/self/schedstat")))
    try:
        await serve(config)
    finally:
        task.cancel()
main.serve = serve_with_meter
"""


def fleet_settings(size: int) -> dict:
    """Returns the settings of a gateway whose fleet has the design's ratio of gateways to `size` backends."""
    return {**BASE_SETTINGS, "instances": max(2, round(size / BACKENDS_PER_GATEWAY))}


def free_port(host: str) -> int:
    """Returns a TCP port that is free at present."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Program:
    """A gateway process with the given settings and the ports of its discovery and counter.

    `home` is the directory for its files. `known` has the parts of the text of its cached list. If `metered`,
    it records the long steps of its event loop. `patch` has Python statements that run before it starts. It
    listens at a free port of `host`. `limits` is the entry of that name in the configuration.
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
        self._path_stem = home / "{}-{}".format(*self.address)
        self._meter_path = self._path("steps")
        self._code = f"METER_FILE = {str(self._meter_path)!r}\n{METER_CODE}\n" if metered else ""
        self._code += patch
        self.write_config(discovery)
        self.process: asyncio.subprocess.Process | None = None
        self.started_s = 0.0

    def _path(self, kind: str) -> Path:
        return self._path_stem.with_name(f"{self._path_stem.name}.{kind}")

    def write_config(self, discovery: int) -> None:
        """Writes the configuration file with a port of discovery.

        The cached list is inserted as text, as parsing and encoding a list of 100,000 entries takes long.
        """
        config = json.dumps(
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
        path = self._path("json")
        path.write_bytes(config[:-1] + b',"known":' + b"".join(self._known) + b"}")
        self._config_path = path

    async def start(self) -> None:
        """Starts the process, without waiting until it is ready."""
        command = ["-m", "elderhub"]
        if self._code:
            command = [
                "-c",
                f"{self._code}\nimport sys\nfrom elderhub import __main__ as main\nsys.exit(main.main())",
            ]
        environ = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
        with open(self._path("log"), "ab") as log:
            self.started_s = time.monotonic()
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *command,
                cwd=ROOT,
                env=dict(environ, NODE_CONFIG=str(self._config_path)),
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self, within_s: float, should_stop=lambda: False) -> float | None:
        """Returns the seconds from the start until /healthz answers 200, or None after `within_s` or if
        `should_stop` returns true.

        Raises RuntimeError if the process ends.
        """
        while time.monotonic() < self.started_s + within_s and not should_stop():
            if self.process.returncode is not None:
                raise RuntimeError(f"the gateway exited with {self.process.returncode}: {self.log_tail()}")
            if await self._is_ready():
                return time.monotonic() - self.started_s
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

    async def _is_ready(self) -> bool:
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
        """Returns the end of the process's output."""
        return self._path("log").read_text()[-2000:]

    def cpu_s(self) -> float:
        """Returns the user and system time of the process so far, in seconds.

        Reads the kernel's CPU clock of the process, with the clock id computed as in clock_getcpuclockid(3),
        as /proc/PID/stat has a resolution of only 10 ms.
        """
        return time.clock_gettime(~self.process.pid << 3 | 2)

    def memory_mb(self) -> tuple[float, float]:
        """Returns the current and the peak resident memory in MiB."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        kib = {line.split(":")[0]: line.split()[1] for line in text.splitlines() if line.startswith("Vm")}
        return int(kib["VmRSS"]) / 1024, int(kib["VmHWM"]) / 1024

    def longest_step_ms(self, since_s: float, until_s: float) -> float:
        """Returns the longest step of the event loop between two times of `time.monotonic`.

        Returns METER_RESOLUTION_MS if all steps were shorter.
        """
        longest_ms = METER_RESOLUTION_MS
        if self._meter_path.exists():
            for line in self._meter_path.read_text().splitlines():
                at_s, step_s = map(float, line.split())
                if since_s <= at_s <= until_s:
                    longest_ms = max(longest_ms, step_s * 1000.0)
        return longest_ms

    def reload(self) -> None:
        """Makes the process read its configuration file again (SIGHUP)."""
        self.process.send_signal(signal.SIGHUP)

    async def kill(self) -> None:
        """Kills the process, unless it has ended, and waits for its end."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
