"""A world: the fleet of hollow gateways among their stand-ins, played from options and a seed."""

from __future__ import annotations

import gc
from dataclasses import dataclass
from random import Random

import numpy as np

from cobaltline import interface as io

from . import backends as limits
from .backends import Backend, Health
from .clients import MAX_UNITS, MEAN_WORK_MS, REQUEST_KINDS, Clients, calm_plans, table_plan
from .clock import Clock
from .counter import Counter
from .discovery import Discovery
from .faults import FAULTS
from .hollow import HollowGateway
from .links import Links
from .oracle import Account
from .record import Record, Second, compute_figures

START_MS = 1_000_000.0  # the clock when a play begins; any value but 0, which means long ago in a list
SETTLE_MS = 6000.0  # after the last arrival, until the last deadline has passed
COUNTER_WAIT_MS = 50.0
GC_THRESHOLD = 200_000  # allocations between two collections: a play makes few cycles and much that lasts


@dataclass(frozen=True, slots=True)
class Options:
    """What a play is made of. The same options give the same record."""

    gateways: int = 20
    backends: int = 40
    cores: int = 3
    customers: int = 0  # 0: as many as the rate and the plans make
    rate: float = 0.0  # first tries a second inside quotas; 0: as `load` says
    load: float = 0.55  # asked inside quotas, as a share of what the backends can do
    spread: tuple[int, int] = (6, 20)  # gateways of a customer's set, least and most
    seconds: float = 20.0
    warm_up: float = 0.0  # seconds at the start of which nothing but broken rules is kept
    seed: int = 1
    zones: int = 2
    regions: int = 1
    mix: str = "calm"  # or "table": customers at 1.36 requests a second and a quarter of their quota
    counter_per_try: float = 1.0  # calls that the counter bears for each first try inside quotas
    counter_parts: int = 2
    leave: float = 0.0  # share of the tries whose client goes within 0.2 s
    fleet: int = 0  # gateways that the settings tell of, where only some are played; 0: as many as are
    faults: tuple[str, ...] = ()  # of `scale.faults`
    fault_at: float = 6.0  # seconds from the start
    fault_for: float = 6.0

    @property
    def rate_per_s(self) -> float:
        """First tries a second, inside quotas."""
        return self.rate or self.load * self.backends * self.cores * 1000.0 / MEAN_WORK_MS


class World:
    """All parties of one play. `gateways` holds the present life of each."""

    def __init__(self, options: Options, module=None):
        o = self.options = options
        self.start_ms = START_MS
        self.clock, self.record = Clock(START_MS), Record()
        draw, self.rng = np.random.default_rng(o.seed), Random(o.seed)
        self.links = Links(o.zones, o.regions)
        zones = self.links.zones
        self.accounts: dict[int, Account] = {}
        self.attempts_started = 0  # attempts so far
        self._module = {} if module is None else {"module": module}
        self.backends: dict[str, Backend] = {}
        for number in range(o.backends):
            self.add_backend(number, zones[number % o.zones])
        self.counter = Counter(
            self.clock,
            self.links,
            zones[0],
            o.counter_parts,
            max(1.0, o.counter_per_try * o.rate_per_s),
            COUNTER_WAIT_MS,
        )
        self.discovery = Discovery(self.clock, self.links, zones[0], Random(o.seed + 1))
        self.discovery.start(map(self.backend_entry, self.backends.values()))
        if o.mix == "table":
            tariffs = table_plan()
        else:
            tariffs = calm_plans(draw)
        self.gateways: list[HollowGateway] = []
        self.clients = Clients(self, tariffs, draw, Random(o.seed + 2))
        for number in range(o.gateways):
            self.gateways.append(self._create_gateway(number))
        if o.warm_up:
            self.clock.call_at(START_MS + o.warm_up * 1000.0, self._begin_record)
        self._schedule_faults()

    def _schedule_faults(self) -> None:
        o = self.options
        for fault in o.faults:
            self.clock.call_at(
                START_MS + o.fault_at * 1000.0, FAULTS[fault].inject, self, o.fault_for * 1000.0
            )

    # Parties.

    def add_backend(self, number: int, zone: str) -> Backend:
        name = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7070"
        speed = self.rng.uniform(*limits.SPEED_RANGE)
        backend = Backend(self.clock, name, zone, self.options.cores, speed, MEAN_WORK_MS)
        self.backends[name] = backend
        return backend

    def backend_entry(self, backend: Backend, state: io.BackendState = io.BackendState.UP) -> io.Backend:
        """As the list has it."""
        return io.Backend(backend.name, backend.zone, "std-3c", state=state, started_ms=backend.start_time_ms)

    def _create_gateway(self, number: int) -> HollowGateway:
        zone = self.links.zones[number % self.options.zones]
        found = HollowGateway(
            self, number, zone, self.gateway_settings(number, zone), self.rng.getrandbits(48), **self._module
        )
        self.discovery.subscribe(found)
        return found

    def gateway_settings(self, number: int, zone: str) -> io.Settings:
        """What that gateway is told at its start."""
        return io.Settings(
            node_id=number,
            gateways=self.options.fleet or self.options.gateways,
            zone=zone,
            tick_ms=4.0,
            classes={kind.request_class.name: kind.request_class for kind in REQUEST_KINDS},
            plans=self.clients.plans,
            counter=True,
            counter_timeout_ms=COUNTER_WAIT_MS,
            counter_price=0.02,
            max_units=float(MAX_UNITS),
            may_cancel=True,
            may_probe=True,
            may_advise=True,
            most_retry_after_ms=500.0,
            most_attempts=6,
            connect_timeout_ms=limits.CONNECT_TIMEOUT_MS,
            answer_slack_ms=16.0,
            drain_grace_ms=2000.0,
            cold_from=limits.COLD_FROM,
            cold_ms=limits.COLD_MS,
            fall_multiple=limits.FALL_MULTIPLE,
            fall_ms=limits.FALL_MS,
            cross_zone_price=0.01,
            waste_price=0.08,
            late_fail_price=0.05,
            probe_price=0.01,
            weights="rough",
        )

    def _begin_record(self) -> None:
        self.record = Record(broken=self.record.broken)
        self.counter.reset_counts()
        for backend in self.backends.values():
            backend.busy_ms = 0.0

    def second_at(self, at_ms: float) -> Second:
        """The second of the play that this time lies in."""
        number, seconds = int((at_ms - START_MS) / 1000.0), self.record.seconds
        while len(seconds) <= number:
            seconds.append(Second())
        return seconds[number]

    def account_of(self, customer: int, plan: io.Plan) -> Account:
        found = self.accounts.get(customer)
        if found is None:
            found = self.accounts[customer] = Account(plan, self.clock.now)
        return found

    # What may happen to them.

    def stop_backend(self, backend: Backend, health: Health) -> None:
        """It dies or falls silent, and what it holds is told or not."""
        for attempt in backend.stop(health):
            self.gateways[attempt.client_try.gateway].on_backend_stopped(attempt, health)

    def kill_gateway(self, number: int) -> None:
        gateway = self.gateways[number]
        self.discovery.unsubscribe(gateway)
        gateway.kill()

    def restart_gateway(self, number: int) -> None:
        """A new life under the same number, which knows nothing."""
        self.gateways[number] = self._create_gateway(number)

    def play(self) -> dict:
        """Let the day pass; its figures (`record.compute_figures`)."""
        before = gc.get_threshold()
        gc.set_threshold(GC_THRESHOLD, 20, 100)
        try:
            self.clock.run_until(START_MS + self.options.seconds * 1000.0 + SETTLE_MS)
        finally:
            gc.set_threshold(*before)
        late = sum(gateway.unanswered() for gateway in self.gateways)
        if late:
            self.record.broken["never answered"] += late
        return compute_figures(self)


def play(options: Options) -> dict:
    """One day from its options."""
    return World(options).play()
