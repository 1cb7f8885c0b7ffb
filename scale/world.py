"""A simulated world: a fleet of hollow gateways with clients, backends, counter and discovery."""

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

START_MS = 1_000_000.0  # the clock at the start; not 0, which means "long ago" as the start time of a backend
SETTLE_MS = 6000.0  # after the last arrival; by then every deadline has passed
COUNTER_TIMEOUT_MS = 50.0
GC_THRESHOLD = 200_000  # a simulation has few reference cycles and many long-lived objects


@dataclass(frozen=True, slots=True)
class Options:
    """The parameters of a simulation. The same options give the same record."""

    gateways: int = 20
    backends: int = 40
    cores: int = 3
    customers: int = 0  # 0: derived from the rate and the plans
    rate: float = 0.0  # first tries per second within quotas; 0: derived from `load`
    load: float = 0.55  # demand within quotas, as a share of the capacity of the backends
    spread: tuple[int, int] = (6, 20)  # smallest and largest size of a customer's set of gateways
    seconds: float = 20.0
    warm_up: float = 0.0  # seconds at the start for which only rule violations are recorded
    seed: int = 1
    zones: int = 2
    regions: int = 1
    mix: str = "calm"  # or "table": each customer sends 1.36 requests per second, a quarter of its quota
    counter_per_try: float = 1.0  # capacity of the counter, in calls per first try within quotas
    counter_parts: int = 2
    leave: float = 0.0  # share of the tries whose client disconnects within 0.2 s
    fleet: int = 0  # fleet size in the settings if only a part of it is simulated; 0: the same as `gateways`
    faults: tuple[str, ...] = ()  # names from `scale.faults`
    fault_at: float = 6.0  # seconds from the start
    fault_for: float = 6.0  # seconds

    @property
    def rate_per_s(self) -> float:
        """First tries per second within quotas."""
        return self.rate or self.load * self.backends * self.cores * 1000.0 / MEAN_WORK_MS


class World:
    """All parts of one simulation. `gateways` holds the current process of each gateway.

    `module` creates a gateway's decision module from settings and a seed; None means `cobaltline.Gateway`.
    """

    def __init__(self, options: Options, module=None):
        opts = self.options = options
        self.start_ms = START_MS
        self.clock, self.record = Clock(START_MS), Record()
        numpy_rng, self.rng = np.random.default_rng(opts.seed), Random(opts.seed)
        self.links = Links(opts.zones, opts.regions)
        zones = self.links.zones
        self.accounts: dict[int, Account] = {}
        self.attempts_started = 0
        self._module_arguments = {} if module is None else {"module": module}
        self.backends: dict[str, Backend] = {}
        for number in range(opts.backends):
            self.add_backend(number, zones[number % opts.zones])
        self.counter = Counter(
            self.clock,
            self.links,
            zones[0],
            opts.counter_parts,
            max(1.0, opts.counter_per_try * opts.rate_per_s),
            COUNTER_TIMEOUT_MS,
        )
        self.discovery = Discovery(self.clock, self.links, zones[0], Random(opts.seed + 1))
        self.discovery.start(map(self.backend_entry, self.backends.values()))
        if opts.mix == "table":
            plan_shares = table_plan()
        else:
            plan_shares = calm_plans(numpy_rng)
        self.gateways: list[HollowGateway] = []
        self.clients = Clients(self, plan_shares, numpy_rng, Random(opts.seed + 2))
        for number in range(opts.gateways):
            self.gateways.append(self._create_gateway(number))
        if opts.warm_up:
            self.clock.call_at(START_MS + opts.warm_up * 1000.0, self._reset_record)
        self._schedule_faults()

    def _schedule_faults(self) -> None:
        options = self.options
        for fault in options.faults:
            self.clock.call_at(
                START_MS + options.fault_at * 1000.0, FAULTS[fault].inject, self, options.fault_for * 1000.0
            )

    # Backends and gateways.

    def add_backend(self, number: int, zone: str) -> Backend:
        """Creates a backend, which has long been up, and returns it."""
        name = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7070"
        speed = self.rng.uniform(*limits.SPEED_RANGE)
        backend = Backend(self.clock, name, zone, self.options.cores, speed, MEAN_WORK_MS)
        self.backends[name] = backend
        return backend

    def backend_entry(self, backend: Backend, state: io.BackendState = io.BackendState.UP) -> io.Backend:
        """Returns the backend's entry in discovery's list."""
        return io.Backend(backend.name, backend.zone, "std-3c", state=state, started_ms=backend.start_time_ms)

    def _create_gateway(self, number: int) -> HollowGateway:
        zone = self.links.zones[number % self.options.zones]
        gateway = HollowGateway(
            self,
            number,
            zone,
            self.gateway_settings(number, zone),
            self.rng.getrandbits(48),
            **self._module_arguments,
        )
        self.discovery.subscribe(gateway)
        return gateway

    def gateway_settings(self, number: int, zone: str) -> io.Settings:
        """Returns the settings of a gateway's decision module."""
        return io.Settings(
            node_id=number,
            gateways=self.options.fleet or self.options.gateways,
            zone=zone,
            tick_ms=4.0,
            classes={kind.request_class.name: kind.request_class for kind in REQUEST_KINDS},
            plans=self.clients.plans,
            counter=True,
            counter_timeout_ms=COUNTER_TIMEOUT_MS,
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

    def _reset_record(self) -> None:
        self.record = Record(broken=self.record.broken)
        self.counter.reset_counts()
        for backend in self.backends.values():
            backend.busy_ms = 0.0

    def second_at(self, at_ms: float) -> Second:
        """Returns the record of the second that contains a time."""
        number, seconds = int((at_ms - START_MS) / 1000.0), self.record.seconds
        while len(seconds) <= number:
            seconds.append(Second())
        return seconds[number]

    def account_of(self, customer: int, plan: io.Plan) -> Account:
        """Returns the account of a customer, which is created at its first request."""
        account = self.accounts.get(customer)
        if account is None:
            account = self.accounts[customer] = Account(plan, self.clock.now)
        return account

    # Failures and restarts.

    def stop_backend(self, backend: Backend, health: Health) -> None:
        """Ends a backend with health DEAD or SILENT and notifies the gateways of the attempts it holds."""
        for attempt in backend.stop(health):
            self.gateways[attempt.client_try.gateway].on_backend_stopped(attempt, health)

    def kill_gateway(self, number: int) -> None:
        """Ends the process of a gateway."""
        gateway = self.gateways[number]
        self.discovery.unsubscribe(gateway)
        gateway.kill()

    def restart_gateway(self, number: int) -> None:
        """Starts a new process of a gateway, without the state of the earlier one."""
        self.gateways[number] = self._create_gateway(number)

    def play(self) -> dict:
        """Runs the simulation to its end and returns its figures (`record.compute_figures`)."""
        default_thresholds = gc.get_threshold()
        gc.set_threshold(GC_THRESHOLD, 20, 100)
        try:
            self.clock.run_until(START_MS + self.options.seconds * 1000.0 + SETTLE_MS)
        finally:
            gc.set_threshold(*default_thresholds)
        unanswered = sum(gateway.unanswered() for gateway in self.gateways)
        if unanswered:
            self.record.broken["never answered"] += unanswered
        return compute_figures(self)


def play(options: Options) -> dict:
    """Runs a simulation with these options and returns its figures."""
    return World(options).play()
