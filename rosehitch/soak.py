"""A soak: real gateways that are told to end, restarted and reconfigured again and again under load.

Seeded. Clients use the connections that they have until the kill, which comes as early as the protocol
allows; signals come in series; wall clocks are stepped at restarts; backends drain; in some runs idle clients
crowd a gateway. The rules are those of the demo, checked from outside.
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

GATEWAYS, BACKENDS, SPREAD = 3, 6, 2
READY_S = 30.0  # for a start: generous, as it only tells a hang
DRAIN_S = 1.0  # a gateway may send so long to a backend after it was told that it drains
KILL_S = 0.7  # SIGKILL comes so long after SIGTERM and the longest deadline
DEADLINE_MOST_S = 3.0  # which counts as this at most
NEW_S = 0.3  # from SIGTERM on, new connections come so long
DEADLINES_S = (0.4, 0.8, 1.5, 2.0)  # of which a run has one
STEPS_S = (0.0, 0.0, 3600.0, -3600.0, 30.0, -7.0)  # of a wall clock, at a start
STEPPED = "import time\nwall = time.time\ntime.time = lambda: wall() + {}\n"
CROWD_SHARE, CROWD, CROWD_SOCKETS = 0.3, 200, 256  # of the runs; idle connections; descriptors of a gateway
RATE_PER_S = 120.0
PAUSE_S = (0.2, 1.0)  # between two troubles
SIGNAL_GAP_S = 0.3  # within this, one signal follows another
SERIES = (
    (signal.SIGTERM,),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGHUP, signal.SIGHUP),
)
CUSTOMERS = [Customer(n, "small", n % GATEWAYS) for n in range(1, 30)] + [
    Customer(n, "large", n % GATEWAYS) for n in range(30, 34)
]


@dataclass
class Report:
    """What one run showed."""

    seed: int
    requests: int = 0
    again: int = 0  # requests sent once more, as their connection ended before they were read
    responses: dict[int, int] = field(default_factory=dict)  # by status
    restarts: int = 0
    inside: int = 0  # refused for a quota with half of its store left
    broken: dict[str, tuple[int, str]] = field(default_factory=dict)  # by rule: how often, and the first

    def line(self) -> str:
        ends = ", ".join(f"{count} by {status}" for status, count in sorted(self.responses.items()))
        text = f"seed {self.seed}: {self.requests} requests, {ends}; {self.again} sent again, "
        text += f"{self.restarts} restarts, {self.inside} refused inside their quotas; "
        broken = "; ".join(f"broken: {rule}, {n} times: {first}" for rule, (n, first) in self.broken.items())
        return text + (broken or "all rules kept")


class Request:
    """One request of a client, told how it ended."""

    def __init__(self, soak: Soak, customer: Customer, safe: bool, last_s: float):
        self._soak, self.customer, self.safe, self.last_s = soak, customer, safe, last_s
        self.name = ""

    def __call__(self, status: int, body: bytes) -> None:
        now = time.monotonic()
        self._soak.rules.record_response(self.name, status, body, now)
        self._soak.report.responses[status] = self._soak.report.responses.get(status, 0) + 1

    def again(self) -> None:
        """Its connection ended before it was read, or was refused: its client sends it once more."""
        self._soak.rules.withdraw_request(self.name)
        self._soak.report.again += 1
        self._soak.send(self)


class Life(ConnectionPool):
    """The clients' connections to one gateway, from its start to its end."""

    def send_request(self, text: bytes, done: Request) -> bool:
        """On a connection that is idle; false where there is none."""
        while self.idle:
            caller = self.idle.pop()
            if not caller.transport.is_closing():
                caller.send_request(text, done)
                return True
        return False

    def ask_anew(self, text: bytes, done: Request) -> None:
        super().open(text, done)

    def open(self, text: bytes, done: Request) -> None:
        done.again()

    async def _open(self, text: bytes, done: Request) -> None:
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: ClientConnection(self, text, done), *self._where
            )
        except OSError:
            done.again()


class Soak:
    """One run. Whatever it starts is ended when `stack` is left."""

    def __init__(self, seed: int, stack: contextlib.AsyncExitStack):
        self.report, self.random, self._stack = Report(seed), Random(seed), stack
        self.rules = Rules(PLANS, DRAIN_S)
        self.deadline_s = self.random.choice(DEADLINES_S)
        self._crowded = self.random.random() < CROWD_SHARE
        self._home = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="rosehitch-")))
        self._lives: list[Life | None] = [None] * GATEWAYS
        self._closing_at = [float("inf")] * GATEWAYS  # from when on no new connections come
        self._programs: list[Program | None] = [None] * GATEWAYS
        self._agents: list[DiscoveryAgent] = []
        self._gone: set[int] = set()  # backends that drain
        self.over = False  # no further trouble: `asyncio.wait_for` may lose a cancellation

    async def start(self) -> None:
        port = 0
        self._backends = [Backend(f"s{n}", self.rules, self.random) for n in range(BACKENDS)]
        for n, backend in enumerate(self._backends):
            port = await backend.start(BackendList.host(n), port)
            self._stack.callback(backend.end)
        self._roster = BackendList(BACKENDS, port)
        self._counter = await Counter().start()
        self._stack.callback(self._counter.close)
        for _ in range(GATEWAYS):
            agent = await DiscoveryAgent(self._roster).start()
            self._stack.callback(agent.close)
            self._agents.append(agent)
        await asyncio.gather(*(self._start(me) for me in range(GATEWAYS)))

    async def _start(self, me: int) -> None:
        """A new process, with a wall clock of its own."""
        classes = [
            {"name": "look", "idempotency": "safe", "promiseMs": 300.0, "worth": 1.0},
            {"name": "file", "idempotency": "unsafe", "promiseMs": 300.0, "worth": 1.0},
        ]
        obligations = {**BASE_SETTINGS["obligations"], "stopSendingWithinMs": DRAIN_S * 1000.0}
        settings = {
            **BASE_SETTINGS,
            "me": me,
            "instances": GATEWAYS,
            "classes": [{**found, "giveUpMs": self.deadline_s * 1000.0} for found in classes],
            "plans": list(PLANS.values()),
            "obligations": obligations,
        }
        program = Program(
            self._home,
            settings,
            self._agents[me].port,
            self._counter.port,
            self._roster.full_list(),
            patch=STEPPED.format(self.random.choice(STEPS_S)),
            host=f"127.0.0.{2 + me}",
            limits={**DEFAULT_LIMITS, "sockets": CROWD_SOCKETS} if self._crowded else DEFAULT_LIMITS,
        )
        await program.start()
        self._stack.push_async_callback(program.kill)
        if await program.wait_until_ready(READY_S) is None:
            self.rules.add_violation(ONE_ANSWER_RULE, f"gateway {me} was not ready: {program.log_tail()}")
        self._programs[me], self._closing_at[me] = program, float("inf")
        self._lives[me] = Life(program.address)

    # Load.

    async def load(self, seconds: float) -> None:
        due = time.monotonic()
        end = due + seconds
        while (due := due + self.random.expovariate(RATE_PER_S)) < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            customer, safe = self.random.choice(CUSTOMERS), self.random.random() < 0.6
            self.report.requests += 1
            self.send(Request(self, customer, safe, time.monotonic() + self.deadline_s))

    def send(self, asked: Request) -> None:
        """Through a gateway of its customer's set: on a connection that is there, or a new one."""
        left_s = asked.last_s - time.monotonic()
        customer = asked.customer
        turns = [(customer.first + k) % GATEWAYS for k in range(SPREAD)]
        self.random.shuffle(turns)
        if left_s <= 0.02:
            return
        asked.name = f"{self.random.getrandbits(64):016x}"
        kind = "look" if asked.safe else "file"
        text = build_request(
            customer.number, customer.plan, kind, asked.safe, asked.name, SPREAD, customer.first, left_s
        )
        self.rules.record_request(
            asked.name, f"{customer.number:016x}", customer.plan, asked.safe, asked.last_s
        )
        for me in turns:
            if self._lives[me] is not None and self._lives[me].send_request(text, asked):
                return
        for me in turns:
            if self._lives[me] is not None and time.monotonic() < self._closing_at[me]:
                self._lives[me].ask_anew(text, asked)
                return
        self.rules.withdraw_request(asked.name)  # no gateway of its set runs

    # Troubles.

    async def troubles(self) -> None:
        while not self.over:
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
            if self.random.random() < 0.15 and len(self._gone) < BACKENDS // 3:
                self._drain_backend()
            else:
                await self._signal(self.random.randrange(GATEWAYS))

    def _drain_backend(self) -> None:
        number = self.random.choice([n for n in range(BACKENDS) if n not in self._gone])
        self._gone.add(number)
        entry = self._roster.entry(number, "Terminating")
        self._roster.replace(number, entry)
        for agent in self._agents:
            agent.force_full_list = True
            at = agent.send_changes(entry)
        self.rules.record_backend_leaving(self._backends[number].name, at)

    async def _signal(self, me: int) -> None:
        """A series of signals; where it ends the gateway, another process follows it."""
        program, life, term_at = self._programs[me], self._lives[me], None
        idle = self._crowd(program.address) if self._crowded else []
        for number in self.random.choice(SERIES):
            if program.process.returncode is None:
                program.process.send_signal(number)
            if number is signal.SIGTERM and term_at is None:
                term_at = time.monotonic()
                self._closing_at[me] = term_at + NEW_S
            await asyncio.sleep(self.random.uniform(0.0, SIGNAL_GAP_S))
        if term_at is not None:
            await self._ended(me, program, term_at)
            self._lives[me] = None
            await asyncio.sleep(0.05)  # clients see the ends of their connections
            life.close()
            self.report.restarts += 1
            await self._start(me)
        for sock in idle:
            sock.close()

    async def _ended(self, me: int, program: Program, term_at: float) -> None:
        """Until it has ended; it is killed when its time is up."""
        left_s = term_at + min(self.deadline_s, DEADLINE_MOST_S) + KILL_S - time.monotonic()
        try:
            code = await asyncio.wait_for(program.process.wait(), left_s)
            if code != 0:
                self.rules.add_violation(
                    ONE_ANSWER_RULE, f"gateway {me} ended with {code}: {program.log_tail()}"
                )
        except TimeoutError:
            self.rules.add_violation(ONE_ANSWER_RULE, f"gateway {me} had to be killed")
            await program.kill()

    def _crowd(self, where: tuple[str, int]) -> list[socket.socket]:
        """Idle connections, as far as the gateway takes them."""
        found = []
        for _ in range(CROWD):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(where)
            found.append(sock)
        return found


async def play(seed: int, seconds: float) -> Report:
    """One run: `seconds` of load and troubles, and the last answers."""
    async with contextlib.AsyncExitStack() as stack:
        soak = Soak(seed, stack)
        await soak.start()
        troubles = asyncio.ensure_future(soak.troubles())
        lateness = Lateness()
        late = asyncio.ensure_future(lateness.watch())
        try:
            await soak.load(seconds)
            await asyncio.sleep(soak.deadline_s + 1.0)
        finally:
            soak.over = True
            troubles.cancel()
            late.cancel()
            ended = await asyncio.gather(troubles, late, return_exceptions=True)
        for error in ended:
            if isinstance(error, Exception):
                raise error
        soak.rules.evaluate(time.monotonic(), lateness.worst_s)
        soak.report.inside = sum(soak.rules.inside.values())
        counts, examples = soak.rules.broken, soak.rules.examples
        soak.report.broken = {rule: (counts[rule], examples[rule]) for rule in counts}
        return soak.report
