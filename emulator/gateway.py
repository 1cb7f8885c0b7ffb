"""A gateway with its network code: `elderhub.host.Host` in successive processes on an in-memory machine."""

from __future__ import annotations

import asyncio
from random import Random

from cobaltline import interface as io
from elderhub.__main__ import MAX_DRAIN_DEADLINE_S, drain, start_gateway
from elderhub.config import Config
from elderhub.discovery import Listing
from elderhub.host import Host
from elderhub.wire import parse_address
from scale.backends import KEEPALIVE_MS
from scale.clients import Try

from .agent import Agent
from .clients import ConnectionPool
from .machine import ProgramMachine, VirtualSystem
from .servers import COUNTER_ADDRESS

RESTART_DELAY_MS = 2000.0  # from the end of a gateway's process to the start of the next
KILL_DELAY_MS = 700.0  # SIGKILL follows SIGTERM after the longest request timeout and this
MEMORY_MB = 192.0  # a gateway's limit on memory
DRAIN_NOTICE_MS = 300.0  # from SIGTERM until clients open no new connections


class WholeGateway:
    """A gateway as `scale.clients` expects it: it takes requests and disconnects, and has a `died_at`."""

    def __init__(self, world, number: int, zone: str, settings: io.Settings, seed: int):
        self._world, self.number, self.zone, self.settings = world, number, zone, settings
        self._rng = Random(seed)
        self.address = (f"gateway-{number}", 7070)
        self.agent = Agent(world, number, zone)
        world.discovery.subscribe(self.agent)
        self._pool = ConnectionPool(world, self, self.address)
        self.incarnation = 0
        self.running = self.is_ready = False
        self.died_at = float("inf")  # since when clients avoid it; infinite while they use it
        self._sigterm_at = float("inf")  # when SIGTERM was sent
        self._killed = False
        self._machine: ProgramMachine | None = None
        self._earlier_max_descriptors = 0  # descriptors held at once in earlier processes
        self.host: Host | None = None
        self.start()

    # Processes.

    def start(self) -> None:
        """Start a new process."""
        self.incarnation += 1
        self.running, self.is_ready, self._sigterm_at = True, False, float("inf")
        self._killed = False
        self._stop_requested = asyncio.Event()
        machine = self._machine = ProgramMachine(
            self._world.network,
            f"gateway-{self.number}",
            self.zone,
            self._world.options.sockets,
            self._record_crash,
        )
        seed, rng = self._rng.getrandbits(48), Random(self._rng.getrandbits(48))
        agent = self.agent
        listing = Listing(
            io.BackendsChanged(io.ListKind.CACHED, agent.version, tuple(agent.known_backends.values())),
            {name: parse_address(name) for name in agent.known_backends},
        )
        config = Config(
            name=f"n{self.number}",
            listen=self.address,
            discovery=self.agent.address,
            counter=COUNTER_ADDRESS if self.settings.counter else None,
            peer_listen=None,
            peers=(),
            peers_all=None,
            seed=seed,
            sockets=self._world.options.sockets,
            memory_mb=MEMORY_MB,
            keepalive_ms=KEEPALIVE_MS,
            known=listing,
            settings=self.settings,
        )
        machine.start(self._program(config, VirtualSystem(machine, rng), self._stop_requested))
        self._pool.start_health_checks(self.incarnation)

    async def _program(self, config: Config, system: VirtualSystem, stop_requested: asyncio.Event) -> None:
        self.host = host = Host(config, system)
        ready = await start_gateway(host, config)
        await stop_requested.wait()
        ready.cancel()
        await drain(host, config)
        self._world.clock.call_at(self._world.clock.now, self._end_process, self.incarnation, False)

    def _record_crash(self, reason: str) -> None:
        self._world.record_crash(self.number, reason)

    def mark_ready(self, incarnation: int, took_ms: float) -> None:
        """A health check of this process succeeded, `took_ms` after its start."""
        if incarnation == self.incarnation and not self.is_ready:
            self.is_ready, self.died_at = True, float("inf")
            self._world.start_durations_ms.append(took_ms)

    def _end_process(self, incarnation: int, reset: bool) -> None:
        if incarnation != self.incarnation or not self.running:
            return
        self.running = self.is_ready = False
        if self.died_at == float("inf"):
            self.died_at = self._world.clock.now
        self._earlier_max_descriptors = self.most_descriptors()
        self._machine.die(reset)
        self.host = None

    def most_descriptors(self) -> int:
        """The most descriptors held at once by any of its processes."""
        return max(self._earlier_max_descriptors, self._machine.max_files)

    def kill(self) -> None:
        """End the process as by SIGKILL."""
        self._killed = self._killed or self.running
        self._end_process(self.incarnation, True)

    def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL if the process still runs after the time allowed for draining."""
        if not self.running or self._sigterm_at < float("inf"):
            return
        clock = self._world.clock
        self._sigterm_at = clock.now
        longest_timeout_ms = max(kind.timeout_ms for kind in self.settings.classes.values())
        self._machine.add_event(self._stop_requested.set)
        clock.call_at(clock.now + DRAIN_NOTICE_MS, self._mark_unavailable, self.incarnation)
        clock.call_at(
            clock.now + min(longest_timeout_ms, MAX_DRAIN_DEADLINE_S * 1000.0) + KILL_DELAY_MS,
            self._end_process,
            self.incarnation,
            True,
        )

    def _mark_unavailable(self, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self.died_at = min(self.died_at, self._world.clock.now)

    def was_killed(self) -> bool:
        """Whether its last process was ended by `kill`, without time to drain."""
        return self._killed

    def pause(self, for_ms: float) -> None:
        """Stop the process from running for this long."""
        self._machine.pause(for_ms)

    # Requests.

    def handle_request(self, client_try: Try, event: io.RequestArrived) -> bool:
        """A client sends a request. Always True: a refused connection is reported to the world later."""
        self._pool.handle_request(client_try, event)
        return True

    def client_disconnected(self, client_try: Try) -> None:
        """The client of a request disconnects."""
        self._pool.client_disconnected(client_try)

    @property
    def pool(self) -> ConnectionPool:
        """The client connections to this gateway."""
        return self._pool
