"""A whole gateway: `elderhub`'s own `Host` on a machine in memory, life after life under one address."""

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
from .front import Front
from .machine import ProgramMachine, VirtualSystem
from .servers import COUNTER_ADDRESS

DOWN_MS = 2000.0  # from a gateway's end to its next life
KILL_MS = 700.0  # SIGKILL comes so long after SIGTERM and the longest deadline
NOTICED_MS = 300.0  # from SIGTERM until the front sends no new connections


class WholeGateway:
    """As `scale.clients` sees it: takes requests, hears that a client goes, and has died at some time."""

    def __init__(self, world, number: int, zone: str, settings: io.Settings, seed: int):
        self._world, self.number, self.zone, self.settings = world, number, zone, settings
        self._rng = Random(seed)
        self.address = (f"gateway-{number}", 7070)
        self.agent = Agent(world, number, zone)
        world.discovery.subscribe(self.agent)
        self._front = Front(world, self, self.address)
        self.life = 0
        self.running = self.is_ready = False
        self.died_at = float("inf")  # when; infinite while the front has it
        self._term_at = float("inf")  # when it was told to end
        self._killed = False
        self._machine: ProgramMachine | None = None
        self._most_files = 0  # of lives that are over
        self.host: Host | None = None
        self.start()

    # Its lives.

    def start(self) -> None:
        """A new process."""
        self.life += 1
        self.running, self.is_ready, self._term_at = True, False, float("inf")
        self._killed = False
        self._stop = asyncio.Event()
        machine = self._machine = ProgramMachine(
            self._world.network,
            f"gateway-{self.number}",
            self.zone,
            self._world.options.sockets,
            self._crashed,
        )
        seed, draws = self._rng.getrandbits(48), Random(self._rng.getrandbits(48))
        known = self.agent
        listing = Listing(
            io.BackendsChanged(io.ListKind.CACHED, known.version, tuple(known.known.values())),
            {name: parse_address(name) for name in known.known},
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
            keepalive_ms=KEEPALIVE_MS,
            known=listing,
            settings=self.settings,
        )
        machine.start(self._program(config, VirtualSystem(machine, draws), self._stop))
        self._front.watch_start(self.life)

    async def _program(self, config: Config, system: VirtualSystem, stop: asyncio.Event) -> None:
        self.host = host = Host(config, system)
        ready = await start_gateway(host, config)
        await stop.wait()
        ready.cancel()
        await drain(host, config)
        self._world.clock.call_at(self._world.clock.now, self._end, self.life, False)

    def _crashed(self, why: str) -> None:
        self._world.crashed(self.number, why)

    def ready(self, life: int, took_ms: float) -> None:
        if life == self.life and not self.is_ready:
            self.is_ready, self.died_at = True, float("inf")
            self._world.starts.append(took_ms)

    def _end(self, life: int, reset: bool) -> None:
        if life != self.life or not self.running:
            return
        self.running = self.is_ready = False
        if self.died_at == float("inf"):
            self.died_at = self._world.clock.now
        self._most_files = self.most_descriptors()
        self._machine.die(reset)
        self.host = None

    def most_descriptors(self) -> int:
        """Held at once, in any of its lives."""
        return max(self._most_files, self._machine.most_files)

    def kill(self) -> None:
        self._killed = self._killed or self.running
        self._end(self.life, True)

    def end(self) -> None:
        """SIGTERM, and SIGKILL when its time is up."""
        if not self.running or self._term_at < float("inf"):
            return
        clock = self._world.clock
        self._term_at = clock.now
        longest = max(kind.timeout_ms for kind in self.settings.classes.values())
        self._machine.event(self._stop.set)
        clock.call_at(clock.now + NOTICED_MS, self._noticed, self.life)
        clock.call_at(
            clock.now + min(longest, MAX_DRAIN_DEADLINE_S * 1000.0) + KILL_MS, self._end, self.life, True
        )

    def _noticed(self, life: int) -> None:
        if life == self.life:
            self.died_at = min(self.died_at, self._world.clock.now)

    def killed(self) -> bool:
        """It does not run, and was given no time to end, or less than it is owed."""
        return self._killed

    def stand_still(self, for_ms: float) -> None:
        self._machine.stand_still(for_ms)

    # Requests.

    def handle_request(self, t: Try, event: io.RequestArrived) -> bool:
        self._front.handle_request(t, event)
        return True

    def client_disconnected(self, t: Try) -> None:
        self._front.client_disconnected(t)

    @property
    def front(self) -> Front:
        return self._front
