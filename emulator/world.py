"""A world of whole gateways among their stand-ins, some hollow ones beside them, from options and a seed."""

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
from .faults import KINDS as FAULTS
from .faults import LEAVE_MS, Fault
from .gateway import WholeGateway
from .network import Address, Network
from .servers import BackendServer, CounterServer

CEILING_SLACK_S = 0.15  # the protocol page: what a ceiling's rate gives in this is allowed on top
DRAINED_MS = 5000.0  # after the last deadline, for gateways that are told to end
ERRORS_KEPT = 20  # lines that gateways logged as errors
STEP_MS = 1000.0  # of play between two words on how far it is


@dataclass(frozen=True, slots=True)
class Options(scale.world.Options):
    """What a play is made of. The same options give the same bytes."""

    gateways: int = 4
    backends: int = 8
    seconds: float = 10.0
    spread: tuple[int, int] = (2, 4)
    hollow: int = 0  # of the gateways: the module alone, without the network code
    sockets: int = 256  # descriptors of a gateway
    faults: tuple[Fault, ...] = ()

    def __post_init__(self) -> None:
        for name, least in (
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
            if not isinstance(value, int) or value < least:
                raise ValueError(f"{name}: {value!r} is no whole number from {least}")
        if not self.seconds > 0.0:
            raise ValueError(f"seconds: {self.seconds!r} is not above 0")
        if self.hollow > self.gateways:
            raise ValueError(f"hollow: {self.hollow} of {self.gateways} gateways")
        low, high = self.spread
        if not 1 <= low <= high:
            raise ValueError(f"spread: {self.spread!r} is no range from 1")


@dataclass(frozen=True, slots=True)
class Record:
    """What a play has shown. `broken` counts by rule, `examples` are the first of these (ms from the start,
    rule, request or place), `traces` what became of their requests."""

    options: Options
    digest: str  # over all bytes sent, with when and by whom
    bytes: int
    connections: int
    figures: dict
    outcomes: dict[str, int]
    broken: dict[str, int]
    examples: tuple[tuple[float, str, str], ...]
    traces: dict[str, tuple[tuple[float, str], ...]]
    errors: tuple[str, ...]  # that gateways logged, or did not catch
    latency: HdrHistogram = field(compare=False)  # of requests served, in microseconds
    starts_ms: tuple[float, ...] = ()  # from each start of a gateway until it was ready
    most_descriptors: int = 0  # held by a gateway at once


class World(scale.world.World):
    """Its `gateways` are whole but for the last `hollow` ones."""

    options: Options

    def __init__(self, options: Options):
        self.checks = Checks(any(fault.kind == "crowd" for fault in options.faults))
        self.latency = histogram()
        self.outcomes: Counter[str] = Counter()
        self.servers: dict[str, BackendServer] = {}
        self.whole: list[WholeGateway] = []
        self.leaving: set[str] = set()  # backends that were told to drain
        self.late, self.never, self.leavers = (0.0, 0.0), 0.0, 0.0
        self.probes = 0
        self.starts: list[float] = []
        self.errors: list[str] = []
        self.rng_answers = Random(options.seed + 4)
        self._rng_leavers = Random(options.seed + 5)
        super().__init__(options)
        self.links.on_heal = self.network.send_held

    @cached_property
    def network(self) -> Network:
        found = Network(self.clock, self.links, Random(self.options.seed + 3))
        found.connect_delay_ms = self._come_up
        return found

    @cached_property
    def _counter_server(self) -> CounterServer:
        return CounterServer(self, self.links.zones[0])

    def _come_up(self, where: Address, rng: Random) -> float | None:
        if not (self.never or self.late[0]) or f"{where[0]}:{where[1]}" not in self.servers:
            return 0.0
        if rng.random() < self.never:
            return None
        return rng.uniform(0.0, self.late[1]) if rng.random() < self.late[0] else 0.0

    def _schedule_faults(self) -> None:
        for fault in self.options.faults:
            rng = Random(f"{self.options.seed} {fault}")
            self.clock.call_at(START_MS + fault.at_s * 1000.0, FAULTS[fault.kind].call, self, fault, rng)

    # Parties.

    def add_backend(self, number: int, zone: str) -> Backend:
        backend = super().add_backend(number, zone)
        self.servers[backend.name] = BackendServer(self, backend)
        return backend

    def _create_gateway(self, number: int):
        if number >= self.options.gateways - self.options.hollow:
            return super()._create_gateway(number)
        zone = self.links.zones[number % self.options.zones]
        assert self._counter_server is not None  # it stands before the first that calls it
        found = WholeGateway(
            self, number, zone, self.gateway_settings(number, zone), self.rng.getrandbits(48)
        )
        self.whole.append(found)
        return found

    def account_of(self, customer: int, plan: io.Plan) -> Account:
        if customer not in self.accounts and plan.ceiling_rate:
            plan = replace(
                plan, ceiling_tolerance=plan.ceiling_tolerance + CEILING_SLACK_S * plan.ceiling_rate
            )
        return super().account_of(customer, plan)

    # What may happen to them.

    def stop_backend(self, backend: Backend, health: Health) -> None:
        super().stop_backend(backend, health)
        self.servers[backend.name].stopped(health)

    def kill_gateway(self, number: int) -> None:
        if number < len(self.whole):
            self.whole[number].kill()
        else:
            super().kill_gateway(number)

    def restart_gateway(self, number: int) -> None:
        if number >= len(self.whole):
            super().restart_gateway(number)
        elif not self.whole[number].running:
            self.whole[number].start()

    def fell(self, backend: Backend) -> None:
        """A cold backend was sent more than it bears."""
        self.record.overloaded_cold_backends += 1
        if backend.informed_share() > OVERLOAD_INFORMED_SHARE:
            self.checks.add_violation(self.clock.now, "a cold backend pushed over", backend.name)
        self.stop_backend(backend, Health.DEAD)

    def crashed(self, gateway: int, why: str) -> None:
        self.checks.add_violation(
            self.clock.now, "an error that a gateway did not catch", f"gateway {gateway}"
        )
        self._error(f"gateway {gateway}: {why}")

    def _error(self, text: str) -> None:
        if len(self.errors) < ERRORS_KEPT:
            self.errors.append(text)

    # What stand-ins saw.

    def told_start(self, machine: str, backend: Backend) -> bool:
        """Whether that gateway's agent has told it of the backend's present life."""
        known = self.whole[int(machine.rpartition("-")[2])].agent.known.get(backend.name)
        return known is not None and known.started_ms >= backend.start_time_ms

    def attempt(
        self, name: str, text: bytes, server: BackendServer, peer
    ) -> tuple[SentRequest, Attempt] | None:
        """A request has come whole to a backend."""
        now, gateway = self.clock.now, int(peer.machine.name.rpartition("-")[2])
        grace_ms = self.whole[gateway].settings.drain_grace_ms
        found = self.checks.record_attempt(now, name, text, server.backend.name, gateway, peer, grace_ms)
        if found is None:
            return None
        asked, attempt = found
        t, account = asked.client_try, self.accounts[asked.client_try.customer]
        self.record.attempts += 1
        if len(asked.attempts) == 1:
            self._first_attempt(t, account, asked, attempt)
        account.in_flight += 1
        return found

    def _first_attempt(self, t, account: Account, asked: SentRequest, attempt: Attempt) -> None:
        r, now = self.record, self.clock.now
        r.decided.record_value(max(1, int((attempt.sent_at - asked.sent_at) * 1000.0)))
        if account.exceeds_ceiling(now, t.units):
            self.checks.add_violation(now, "over the ceiling", asked.name)
        if account.take_quota(now, t.units):
            r.sent_inside_quota += 1
            r.worth_inside_quota += t.worth
        else:
            r.sent_beyond_quota += 1
            r.worth_beyond_quota += t.worth
            r.beyond_quota_cost += t.worth * account.plan.overrun_cost
        if self.leavers and self._rng_leavers.random() < self.leavers:
            self.clock.call_at(
                now + self._rng_leavers.uniform(0.0, LEAVE_MS),
                self.whole[asked.gateway].client_disconnected,
                t,
            )

    def answered(self, asked: SentRequest, how: str, after_ms: float) -> None:
        """A client has its final answer."""
        t, r = asked.client_try, self.record
        if how == "served":
            self.latency.record_value(max(1, int((self.clock.now - asked.sent_at) * 1000.0)))
        elif how == "failed":
            r.failed += 1
        else:
            r.refused += 1
            if not asked.attempts:
                room, half = self.accounts[t.customer].headroom(self.clock.now, t.units)
                r.refused_with_room += room
                r.refused_half_unused += half
        self.ended(asked, how, after_ms)

    def ended(self, asked: SentRequest, how: str, after_ms: float = 0.0) -> None:
        asked.client_try.done = True
        self.clients.handle_outcome(asked.client_try, how, after_ms)

    # The play.

    def play(self, progress: Callable[[float], None] = lambda share: None) -> Record:
        """Let the day pass. `progress` is told the share that has passed."""
        last = START_MS + self.options.seconds * 1000.0 + SETTLE_MS
        before = gc.get_threshold()
        gc.set_threshold(scale.world.GC_THRESHOLD, 20, 100)
        try:
            with _logged(self._error):
                while self.clock.now < last:
                    self.clock.run_until(min(last, self.clock.now + STEP_MS))
                    progress((self.clock.now - START_MS) / (last - START_MS))
                found = self._found()
        finally:
            for gateway in self.whole:
                gateway.kill()
            gc.set_threshold(*before)
            gc.unfreeze()  # gateways freeze what they keep, which goes with the play
            gc.collect()
        return found

    def _found(self) -> Record:
        late = sum(gateway.unanswered() for gateway in self.gateways[len(self.whole) :])
        broken = self.checks.broken + self.record.broken
        if late:
            broken["never answered"] += late
        asked = self.checks.asked
        return Record(
            options=self.options,
            digest=self.network.digest(),
            bytes=self.network.bytes,
            connections=self.network.connections,
            figures=compute_figures(self),
            outcomes=dict(sorted(self.outcomes.items())),
            broken=dict(sorted(broken.items())),
            examples=tuple((at - START_MS, rule, about) for at, rule, about in self.checks.examples),
            traces={
                about: tuple((at - START_MS, text) for at, text in asked[about].trace)
                for _, _, about in self.checks.examples
                if about in asked
            },
            errors=tuple(self.errors),
            latency=self.latency,
            starts_ms=tuple(self.starts),
            most_descriptors=max((gateway.most_descriptors() for gateway in self.whole), default=0),
        )


class _Errors(logging.Handler):
    def __init__(self, told: Callable[[str], None]):
        super().__init__(logging.ERROR)
        self._told = told

    def emit(self, record: logging.LogRecord) -> None:
        self._told(self.format(record))


@contextlib.contextmanager
def _logged(told: Callable[[str], None]) -> Iterator[None]:
    """What gateways log as errors is told, and nothing is printed."""
    logger, handler = logging.getLogger("elderhub"), _Errors(told)
    before = logger.propagate
    logger.addHandler(handler)
    logger.propagate = False
    try:
        yield
    finally:
        logger.removeHandler(handler)
        logger.propagate = before


def play(options: Options, progress: Callable[[float], None] = lambda share: None) -> Record:
    """One day from its options. Raises ValueError where these can't be played, before anything is."""
    return World(options).play(progress)
