"""Soak runs: real gateways on loopback are stopped, restarted and reloaded again and again under load.

A run is drawn from its seed. Clients keep using their connections until a gateway is killed, as early as
the protocol allows. Signals arrive in short sequences, wall clocks are stepped at restarts, backends drain,
and in some runs idle connections use up a gateway's descriptors. The rules are those of the demo, checked
by what clients and backends observe.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from scale.client import ClientConnection, ConnectionPool, build_request
from scale.program import BASE_SETTINGS, DEFAULT_LIMITS, Program
from scale.standins import BackendList, Counter, DiscoveryAgent

from .backends import Backend
from .lateness import Lateness
from .load import PLANS, Customer
from .rules import ONE_ANSWER_RULE, Rules

GATEWAY_COUNT, BACKEND_COUNT, SPREAD = 3, 6, 2
READY_TIMEOUT_S = 30.0  # long enough for a busy machine: it only detects a gateway that hangs
DRAIN_GRACE_S = 1.0  # how long a gateway may go on sending to a backend that drains
KILL_DELAY_S = 0.7  # SIGKILL follows SIGTERM after the longest request timeout and this
MAX_DRAIN_DEADLINE_S = 3.0  # of that timeout, what counts at most
NEW_CONNECTIONS_S = 0.3  # how long clients still open connections after SIGTERM
DEADLINES_S = (0.4, 0.8, 1.5, 2.0)  # a run has one request timeout of these
CLOCK_STEPS_S = (0.0, 0.0, 3600.0, -3600.0, 30.0, -7.0)  # steps of a gateway's wall clock at a start
CLOCK_PATCH = "import time\nwall = time.time\ntime.time = lambda: wall() + {}\n"
# Share of the runs with idle connections, how many of them, and the descriptors of a gateway then.
CROWDED_SHARE, IDLE_CONNECTION_COUNT, CROWDED_SOCKETS = 0.3, 200, 256
RATE_PER_S = 120.0
FAULT_INTERVAL_S = (0.2, 1.0)  # between two faults
SIGNAL_GAP_S = 0.3  # longest gap between the signals of a sequence
SIGNAL_SEQUENCES = (
    (signal.SIGTERM,),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGHUP, signal.SIGHUP),
)
CUSTOMERS = [Customer(n, "small", n % GATEWAY_COUNT) for n in range(1, 30)] + [
    Customer(n, "large", n % GATEWAY_COUNT) for n in range(30, 34)
]


@dataclass
class Report:
    """The results of one run."""

    seed: int
    requests: int = 0
    resent: int = 0  # requests sent again, as their connection ended before they were read
    responses: dict[int, int] = field(default_factory=dict)  # by status
    restarts: int = 0
    refused_inside_quota: int = 0  # refused for a quota though half of the bucket was left
    broken: dict[str, tuple[int, str]] = field(default_factory=dict)  # by rule: count and first example

    def format_line(self) -> str:
        """The results as one line of text."""
        statuses = ", ".join(f"{count} by {status}" for status, count in sorted(self.responses.items()))
        text = f"seed {self.seed}: {self.requests} requests, {statuses}; {self.resent} sent again, "
        text += f"{self.restarts} restarts, {self.refused_inside_quota} refused inside their quotas; "
        broken = "; ".join(
            f"broken: {rule}, {n} times: {example}" for rule, (n, example) in self.broken.items()
        )
        return text + (broken or "all rules kept")


class Request:
    """One request of a client, called with the status and body of its answer (status 0: none)."""

    def __init__(self, soak: Soak, customer: Customer, safe: bool, deadline: float):
        self._soak, self.customer, self.safe, self.deadline = soak, customer, safe, deadline
        self.name = ""

    def __call__(self, status: int, body: bytes) -> None:
        now = time.monotonic()
        self._soak.rules.record_response(self.name, status, body, now)
        self._soak.report.responses[status] = self._soak.report.responses.get(status, 0) + 1

    def resend(self) -> None:
        """Send the request again: its connection was refused or ended before the request was read."""
        self._soak.rules.withdraw_request(self.name)
        self._soak.report.resent += 1
        self._soak.send(self)


class GatewayConnections(ConnectionPool):
    """The clients' connections to one gateway process."""

    def send_request(self, text: bytes, done: Request) -> bool:
        """Send a request on an idle connection. Returns False if there is none."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.transport.is_closing():
                connection.send_request(text, done)
                return True
        return False

    def open_connection(self, text: bytes, done: Request) -> None:
        """Send a request on a new connection."""
        super().open(text, done)

    def open(self, text: bytes, done: Request) -> None:
        """Called when a kept connection ended before the request was read."""
        done.resend()

    async def _open(self, text: bytes, done: Request) -> None:
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: ClientConnection(self, text, done), *self._where
            )
        except OSError:
            done.resend()


class Soak:
    """One run. Everything it starts is stopped when `stack` is left."""

    def __init__(self, seed: int, stack: contextlib.AsyncExitStack):
        self.report, self.random, self._stack = Report(seed), Random(seed), stack
        self.rules = Rules(PLANS, DRAIN_GRACE_S)
        self.deadline_s = self.random.choice(DEADLINES_S)
        self._crowded = self.random.random() < CROWDED_SHARE
        self._directory = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="rosehitch-")))
        self._connections: list[GatewayConnections | None] = [None] * GATEWAY_COUNT
        self._closing_at = [float("inf")] * GATEWAY_COUNT  # when clients open no further connections
        self._programs: list[Program | None] = [None] * GATEWAY_COUNT
        self._agents: list[DiscoveryAgent] = []
        self._draining: set[int] = set()  # backends that drain
        self.stopping = False  # ends `inject_faults`, as `asyncio.wait_for` may lose a cancellation

    async def start(self) -> None:
        """Start the backends, the counter service, the discovery agents and the gateways."""
        port = 0
        self._backends = [Backend(f"s{number}", self.rules, self.random) for number in range(BACKEND_COUNT)]
        for number, backend in enumerate(self._backends):
            port = await backend.start(BackendList.host(number), port)
            self._stack.callback(backend.stop)
        self._backend_list = BackendList(BACKEND_COUNT, port)
        self._counter = await Counter().start()
        self._stack.callback(self._counter.close)
        for _ in range(GATEWAY_COUNT):
            agent = await DiscoveryAgent(self._backend_list).start()
            self._stack.callback(agent.close)
            self._agents.append(agent)
        await asyncio.gather(*(self._start(gateway) for gateway in range(GATEWAY_COUNT)))

    async def _start(self, gateway: int) -> None:
        """Start a gateway process with a stepped wall clock."""
        classes = [
            {"name": "look", "idempotency": "safe", "promiseMs": 300.0, "worth": 1.0},
            {"name": "file", "idempotency": "unsafe", "promiseMs": 300.0, "worth": 1.0},
        ]
        obligations = {**BASE_SETTINGS["obligations"], "stopSendingWithinMs": DRAIN_GRACE_S * 1000.0}
        settings = {
            **BASE_SETTINGS,
            "me": gateway,
            "instances": GATEWAY_COUNT,
            "classes": [{**request_class, "giveUpMs": self.deadline_s * 1000.0} for request_class in classes],
            "plans": list(PLANS.values()),
            "obligations": obligations,
        }
        program = Program(
            self._directory,
            settings,
            self._agents[gateway].port,
            self._counter.port,
            self._backend_list.full_list(),
            patch=CLOCK_PATCH.format(self.random.choice(CLOCK_STEPS_S)),
            host=f"127.0.0.{2 + gateway}",
            limits={**DEFAULT_LIMITS, "sockets": CROWDED_SOCKETS} if self._crowded else DEFAULT_LIMITS,
        )
        await program.start()
        self._stack.push_async_callback(program.kill)
        if await program.wait_until_ready(READY_TIMEOUT_S) is None:
            self.rules.add_violation(
                ONE_ANSWER_RULE, f"gateway {gateway} was not ready: {program.log_tail()}"
            )
        self._programs[gateway], self._closing_at[gateway] = program, float("inf")
        self._connections[gateway] = GatewayConnections(program.address)

    # Load.

    async def load(self, seconds: float) -> None:
        """Send requests as a Poisson process for this long."""
        due = time.monotonic()
        end = due + seconds
        while (due := due + self.random.expovariate(RATE_PER_S)) < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            customer, safe = self.random.choice(CUSTOMERS), self.random.random() < 0.6
            self.report.requests += 1
            self.send(Request(self, customer, safe, time.monotonic() + self.deadline_s))

    def send(self, request: Request) -> None:
        """Send a request through a gateway of its customer's set, on an idle connection or a new one."""
        remaining_s = request.deadline - time.monotonic()
        customer = request.customer
        gateways = [(customer.first_gateway + k) % GATEWAY_COUNT for k in range(SPREAD)]
        self.random.shuffle(gateways)
        if remaining_s <= 0.02:
            return
        request.name = f"{self.random.getrandbits(64):016x}"
        class_name = "look" if request.safe else "file"
        text = build_request(
            customer.number,
            customer.plan,
            class_name,
            request.safe,
            request.name,
            SPREAD,
            customer.first_gateway,
            remaining_s,
        )
        self.rules.record_request(
            request.name, f"{customer.number:016x}", customer.plan, request.safe, request.deadline
        )
        for gateway in gateways:
            if self._connections[gateway] is not None and self._connections[gateway].send_request(
                text, request
            ):
                return
        for gateway in gateways:
            if self._connections[gateway] is not None and time.monotonic() < self._closing_at[gateway]:
                self._connections[gateway].open_connection(text, request)
                return
        self.rules.withdraw_request(request.name)  # no gateway of its set takes connections

    # Faults.

    async def inject_faults(self) -> None:
        """Drain backends and signal gateways at random until `stopping` is set."""
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(*FAULT_INTERVAL_S))
            if self.random.random() < 0.15 and len(self._draining) < BACKEND_COUNT // 3:
                self._drain_backend()
            else:
                await self._signal(self.random.randrange(GATEWAY_COUNT))

    def _drain_backend(self) -> None:
        number = self.random.choice([n for n in range(BACKEND_COUNT) if n not in self._draining])
        self._draining.add(number)
        entry = self._backend_list.entry(number, "Terminating")
        self._backend_list.replace(number, entry)
        for agent in self._agents:
            agent.force_full_list = True
            at = agent.send_changes(entry)
        self.rules.record_backend_leaving(self._backends[number].name, at)

    async def _signal(self, gateway: int) -> None:
        """Send a sequence of signals to a gateway, and restart it if one of them is SIGTERM."""
        program, connections, sigterm_at = self._programs[gateway], self._connections[gateway], None
        idle_sockets = self._open_idle_connections(program.address) if self._crowded else []
        for signal_number in self.random.choice(SIGNAL_SEQUENCES):
            if program.process.returncode is None:
                program.process.send_signal(signal_number)
            if signal_number is signal.SIGTERM and sigterm_at is None:
                sigterm_at = time.monotonic()
                self._closing_at[gateway] = sigterm_at + NEW_CONNECTIONS_S
            await asyncio.sleep(self.random.uniform(0.0, SIGNAL_GAP_S))
        if sigterm_at is not None:
            await self._wait_for_end(gateway, program, sigterm_at)
            self._connections[gateway] = None
            await asyncio.sleep(0.05)  # lets clients notice the end of their connections
            connections.close()
            self.report.restarts += 1
            await self._start(gateway)
        for sock in idle_sockets:
            sock.close()

    async def _wait_for_end(self, gateway: int, program: Program, sigterm_at: float) -> None:
        """Wait until a gateway has ended, and kill it after the time allowed for draining."""
        remaining_s = (
            sigterm_at + min(self.deadline_s, MAX_DRAIN_DEADLINE_S) + KILL_DELAY_S - time.monotonic()
        )
        try:
            code = await asyncio.wait_for(program.process.wait(), remaining_s)
            if code != 0:
                self.rules.add_violation(
                    ONE_ANSWER_RULE, f"gateway {gateway} ended with {code}: {program.log_tail()}"
                )
        except TimeoutError:
            self.rules.add_violation(ONE_ANSWER_RULE, f"gateway {gateway} had to be killed")
            await program.kill()

    def _open_idle_connections(self, address: tuple[str, int]) -> list[socket.socket]:
        """Open idle connections, as many as the gateway takes."""
        sockets = []
        for _ in range(IDLE_CONNECTION_COUNT):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(address)
            sockets.append(sock)
        return sockets


async def play(seed: int, seconds: float) -> Report:
    """Make one run: `seconds` of load with faults, then time for the last answers."""
    async with contextlib.AsyncExitStack() as stack:
        soak = Soak(seed, stack)
        await soak.start()
        fault_task = asyncio.ensure_future(soak.inject_faults())
        lateness = Lateness()
        lateness_task = asyncio.ensure_future(lateness.measure())
        try:
            await soak.load(seconds)
            await asyncio.sleep(soak.deadline_s + 1.0)
        finally:
            soak.stopping = True
            fault_task.cancel()
            lateness_task.cancel()
            results = await asyncio.gather(fault_task, lateness_task, return_exceptions=True)
        for error in results:
            if isinstance(error, Exception):
                raise error
        soak.rules.evaluate(time.monotonic(), lateness.worst_s)
        soak.report.refused_inside_quota = sum(soak.rules.refused_inside_quota.values())
        counts, examples = soak.rules.broken, soak.rules.examples
        soak.report.broken = {rule: (counts[rule], examples[rule]) for rule in counts}
        return soak.report
