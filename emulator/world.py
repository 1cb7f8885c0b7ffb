"""The emulated world: gateways, their clients and servers, and the options and record of a run.

Whole gateways include the network code; hollow ones, as in `scale`, are the decision module alone.
"""

from __future__ import annotations

import contextlib
import gc
import logging
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from functools import cached_property
from random import Random

from hdrh.histogram import HdrHistogram

import scale.world
from cobaltline import interface as io
from scale.backends import Backend, Health
from scale.hollow import OVERLOAD_INFORMED_SHARE
from scale.oracle import Account
from scale.record import compute_figures, histogram
from scale.world import SETTLE_MS, START_MS

from .checks import Attempt, Checks, SentRequest
from .faults import DISCONNECT_WITHIN_MS, Fault
from .faults import KINDS as FAULTS
from .gateway import WholeGateway
from .network import Address, Network
from .servers import BackendServer, CounterServer

CEILING_TOLERANCE_S = 0.15  # tolerance of a ceiling on sockets, as the units of its rate in this time
DRAINED_MS = 5000.0  # after the last deadline, for gateways that drain
MAX_ERRORS = 20  # error lines kept of the gateways' logs
PROGRESS_INTERVAL_MS = 1000.0  # virtual time between two reports of progress


@dataclass(frozen=True, slots=True)
class Options(scale.world.Options):
    """Everything that determines a run: the same options give the same bytes on the network.

    Raises ValueError that names an invalid field.
    """

    gateways: int = 4
    backends: int = 8
    seconds: float = 10.0
    spread: tuple[int, int] = (2, 4)
    hollow: int = 0  # of the gateways: those that run the decision module without the network code
    sockets: int = 256  # descriptors of a gateway
    faults: tuple[Fault, ...] = ()

    def __post_init__(self) -> None:
        for name, minimum in (
            ("gateways", 1),
            ("backends", 1),
            ("cores", 1),
            ("zones", 1),
            ("regions", 1),
            ("sockets", 64),
            ("customers", 0),
            ("hollow", 0),
        ):
            value = getattr(self, name)
            if not isinstance(value, int) or value < minimum:
                raise ValueError(f"{name}: {value!r} is not a whole number of at least {minimum}")
        if not self.seconds > 0.0:
            raise ValueError(f"seconds: {self.seconds!r} is not above 0")
        if self.hollow > self.gateways:
            raise ValueError(f"hollow: {self.hollow} is more than the {self.gateways} gateways")
        low, high = self.spread
        if not 1 <= low <= high:
            raise ValueError(f"spread: {self.spread!r} is not a range of at least 1")


@dataclass(frozen=True, slots=True)
class Record:
    """The result of a run.

    `broken` counts violations by rule. `examples` holds the first of each rule: ms from the start, rule,
    and request id or other subject. `traces` holds the events of these requests, with their times.
    """

    options: Options
    digest: str  # of all bytes sent, with their senders and times
    bytes: int
    connections: int
    figures: dict
    outcomes: dict[str, int]
    broken: dict[str, int]
    examples: tuple[tuple[float, str, str], ...]
    traces: dict[str, tuple[tuple[float, str], ...]]
    errors: tuple[str, ...]  # that gateways logged or did not catch
    latency: HdrHistogram = field(compare=False)  # of served requests, in microseconds
    starts_ms: tuple[float, ...] = ()  # from each start of a gateway process until it was ready
    most_descriptors: int = 0  # the most held at once by one gateway


class World(scale.world.World):
    """A `scale.world.World` whose gateways include the network code, except for the last `hollow` ones."""

    options: Options

    def __init__(self, options: Options):
        self.checks = Checks(any(fault.kind == "crowd" for fault in options.faults))
        self.latency = histogram()
        self.outcomes: Counter[str] = Counter()
        self.servers: dict[str, BackendServer] = {}
        self.whole_gateways: list[WholeGateway] = []
        self.draining: set[str] = set()  # names of the backends that drain
        # Late connections to backends (share, longest delay in ms), and the shares of failed ones and of
        # requests whose clients disconnect.
        self.late_connects, self.failed_connect_share, self.disconnect_share = (0.0, 0.0), 0.0, 0.0
        self.probe_count = 0
        self.start_durations_ms: list[float] = []
        self.errors: list[str] = []
        self.rng_answers = Random(options.seed + 4)
        self._rng_disconnects = Random(options.seed + 5)
        super().__init__(options)
        self.links.on_heal = self.network.send_held

    @cached_property
    def network(self) -> Network:
        """The network between all machines."""
        network = Network(self.clock, self.links, Random(self.options.seed + 3))
        network.connect_delay_ms = self._connect_delay_ms
        return network

    @cached_property
    def _counter_server(self) -> CounterServer:
        return CounterServer(self, self.links.zones[0])

    def _connect_delay_ms(self, address: Address, rng: Random) -> float | None:
        if (
            not (self.failed_connect_share or self.late_connects[0])
            or f"{address[0]}:{address[1]}" not in self.servers
        ):
            return 0.0
        if rng.random() < self.failed_connect_share:
            return None
        return rng.uniform(0.0, self.late_connects[1]) if rng.random() < self.late_connects[0] else 0.0

    def _schedule_faults(self) -> None:
        for fault in self.options.faults:
            rng = Random(f"{self.options.seed} {fault}")
            self.clock.call_at(START_MS + fault.at_s * 1000.0, FAULTS[fault.kind].inject, self, fault, rng)

    # Backends, gateways and customers.

    def add_backend(self, number: int, zone: str) -> Backend:
        backend = super().add_backend(number, zone)
        self.servers[backend.name] = BackendServer(self, backend)
        return backend

    def _create_gateway(self, number: int):
        if number >= self.options.gateways - self.options.hollow:
            return super()._create_gateway(number)
        zone = self.links.zones[number % self.options.zones]
        assert self._counter_server is not None  # created before the first gateway that calls it
        gateway = WholeGateway(
            self, number, zone, self.gateway_settings(number, zone), self.rng.getrandbits(48)
        )
        self.whole_gateways.append(gateway)
        return gateway

    def account_of(self, customer: int, plan: io.Plan) -> Account:
        """The account of a customer, with the tolerance that a ceiling has on sockets."""
        if customer not in self.accounts and plan.ceiling_rate:
            plan = replace(
                plan, ceiling_tolerance=plan.ceiling_tolerance + CEILING_TOLERANCE_S * plan.ceiling_rate
            )
        return super().account_of(customer, plan)

    # Faults.

    def stop_backend(self, backend: Backend, health: Health) -> None:
        super().stop_backend(backend, health)
        self.servers[backend.name].backend_stopped(health)

    def kill_gateway(self, number: int) -> None:
        if number < len(self.whole_gateways):
            self.whole_gateways[number].kill()
        else:
            super().kill_gateway(number)

    def restart_gateway(self, number: int) -> None:
        if number >= len(self.whole_gateways):
            super().restart_gateway(number)
        elif not self.whole_gateways[number].running:
            self.whole_gateways[number].start()

    def stop_overloaded_backend(self, backend: Backend) -> None:
        """Stop a cold backend that was sent more than it can take."""
        self.record.overloaded_cold_backends += 1
        if backend.informed_share() > OVERLOAD_INFORMED_SHARE:
            self.checks.add_violation(self.clock.now, "a cold backend pushed over", backend.name)
        self.stop_backend(backend, Health.DEAD)

    def record_crash(self, gateway: int, reason: str) -> None:
        """A gateway did not catch an error."""
        self.checks.add_violation(
            self.clock.now, "an error that a gateway did not catch", f"gateway {gateway}"
        )
        self._keep_error(f"gateway {gateway}: {reason}")

    def _keep_error(self, text: str) -> None:
        if len(self.errors) < MAX_ERRORS:
            self.errors.append(text)

    # Observations of clients and servers.

    def knows_start(self, machine: str, backend: Backend) -> bool:
        """Whether the agent of the gateway on that machine has listed the backend's present start."""
        entry = self.whole_gateways[int(machine.rpartition("-")[2])].agent.known_backends.get(backend.name)
        return entry is not None and entry.started_ms >= backend.start_time_ms

    def record_attempt(
        self, name: str, content: bytes, server: BackendServer, peer
    ) -> tuple[SentRequest, Attempt] | None:
        """Record a complete request that reached a backend. Returns None if no client sent it."""
        now, gateway = self.clock.now, int(peer.machine.name.rpartition("-")[2])
        grace_ms = self.whole_gateways[gateway].settings.drain_grace_ms
        recorded = self.checks.record_attempt(
            now, name, content, server.backend.name, gateway, peer, grace_ms
        )
        if recorded is None:
            return None
        request, attempt = recorded
        client_try, account = request.client_try, self.accounts[request.client_try.customer]
        self.record.attempts += 1
        if len(request.attempts) == 1:
            self._record_first_attempt(client_try, account, request, attempt)
        account.in_flight += 1
        return recorded

    def _record_first_attempt(
        self, client_try, account: Account, request: SentRequest, attempt: Attempt
    ) -> None:
        record, now = self.record, self.clock.now
        record.decided.record_value(max(1, int((attempt.sent_at - request.sent_at) * 1000.0)))
        if account.exceeds_ceiling(now, client_try.units):
            self.checks.add_violation(now, "over the ceiling", request.name)
        if account.take_quota(now, client_try.units):
            record.sent_inside_quota += 1
            record.worth_inside_quota += client_try.worth
        else:
            record.sent_beyond_quota += 1
            record.worth_beyond_quota += client_try.worth
            record.beyond_quota_cost += client_try.worth * account.plan.overrun_cost
        if self.disconnect_share and self._rng_disconnects.random() < self.disconnect_share:
            self.clock.call_at(
                now + self._rng_disconnects.uniform(0.0, DISCONNECT_WITHIN_MS),
                self.whole_gateways[request.gateway].client_disconnected,
                client_try,
            )

    def response_received(self, request: SentRequest, outcome: str, retry_after_ms: float) -> None:
        """Record a client's final answer."""
        client_try, record = request.client_try, self.record
        if outcome == "served":
            self.latency.record_value(max(1, int((self.clock.now - request.sent_at) * 1000.0)))
        elif outcome == "failed":
            record.failed += 1
        else:
            record.refused += 1
            if not request.attempts:
                has_room, half_unused = self.accounts[client_try.customer].headroom(
                    self.clock.now, client_try.units
                )
                record.refused_with_room += has_room
                record.refused_half_unused += half_unused
        self.record_outcome(request, outcome, retry_after_ms)

    def record_outcome(self, request: SentRequest, outcome: str, retry_after_ms: float = 0.0) -> None:
        """Report the outcome of a request to the simulated clients, which may send it again."""
        request.client_try.done = True
        self.clients.handle_outcome(request.client_try, outcome, retry_after_ms)

    # The run.

    def play(self, progress: Callable[[float], None] = lambda share: None) -> Record:
        """Run the world to its end. `progress` is called with the share of the time that has passed."""
        end = START_MS + self.options.seconds * 1000.0 + SETTLE_MS
        gc_threshold = gc.get_threshold()
        gc.set_threshold(scale.world.GC_THRESHOLD, 20, 100)
        try:
            with _collect_errors(self._keep_error):
                while self.clock.now < end:
                    self.clock.run_until(min(end, self.clock.now + PROGRESS_INTERVAL_MS))
                    progress((self.clock.now - START_MS) / (end - START_MS))
                record = self._collect_record()
        finally:
            for gateway in self.whole_gateways:
                gateway.kill()
            gc.set_threshold(*gc_threshold)
            gc.unfreeze()  # gateways freeze long-lived objects, which are garbage after the run
            gc.collect()
        return record

    def _collect_record(self) -> Record:
        unanswered = sum(gateway.unanswered() for gateway in self.gateways[len(self.whole_gateways) :])
        broken = self.checks.broken + self.record.broken
        if unanswered:
            broken["never answered"] += unanswered
        requests = self.checks.requests
        return Record(
            options=self.options,
            digest=self.network.digest(),
            bytes=self.network.bytes,
            connections=self.network.connections,
            figures=compute_figures(self),
            outcomes=dict(sorted(self.outcomes.items())),
            broken=dict(sorted(broken.items())),
            examples=tuple((at - START_MS, rule, subject) for at, rule, subject in self.checks.examples),
            traces={
                subject: tuple((at - START_MS, text) for at, text in requests[subject].trace)
                for _, _, subject in self.checks.examples
                if subject in requests
            },
            errors=tuple(self.errors),
            latency=self.latency,
            starts_ms=tuple(self.start_durations_ms),
            most_descriptors=max((gateway.most_descriptors() for gateway in self.whole_gateways), default=0),
        )


class _ErrorHandler(logging.Handler):
    def __init__(self, on_error: Callable[[str], None]):
        super().__init__(logging.ERROR)
        self._on_error = on_error

    def emit(self, record: logging.LogRecord) -> None:
        self._on_error(self.format(record))


@contextlib.contextmanager
def _collect_errors(on_error: Callable[[str], None]) -> Iterator[None]:
    """Pass the errors that gateways log to `on_error`, and print none of their log."""
    logger, handler = logging.getLogger("elderhub"), _ErrorHandler(on_error)
    propagate = logger.propagate
    logger.addHandler(handler)
    logger.propagate = False
    try:
        yield
    finally:
        logger.removeHandler(handler)
        logger.propagate = propagate


def play(options: Options, progress: Callable[[float], None] = lambda share: None) -> Record:
    """Run a world with these options and return its record."""
    return World(options).play(progress)
