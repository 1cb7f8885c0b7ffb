"""Processor time and memory of the decision module (one `Gateway`) by the size of its lists."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

from cobaltline import Gateway
from cobaltline import interface as io

from .world import Options, World

REPETITIONS = 5  # the minimum counts, as other processes only add time
CHANGES_PER_MEASUREMENT = 50
MAX_SHORT_DURATION_S = 3.0  # longest virtual duration of a simulation in the short form
# The design's fleet at its peak.
DESIGN_GATEWAYS = 3100
REQUESTS_PER_GATEWAY_PER_S = 61.0


@dataclass(frozen=True, slots=True)
class MeasurementPoint:
    """One measurement of a series: the size, in the unit of the series, the seed, and whether it is short."""

    size: int
    seed: int = 1
    short: bool = False

    def duration_s(self, full_duration_s: float) -> float:
        """Returns the duration of a simulation in seconds, which is limited in the short form."""
        return min(full_duration_s, MAX_SHORT_DURATION_S) if self.short else full_duration_s


def make_entries(count: int, weight: float = 1.0) -> tuple[io.Backend, ...]:
    """Returns the entries of a list of backends."""
    return tuple(
        io.Backend(f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:7070", f"z{n % 16}", "std-3c", weight=weight)
        for n in range(count)
    )


def make_settings(plans: dict[str, io.Plan]) -> io.Settings:
    """Returns the settings of one gateway of the design's fleet."""
    return io.Settings(
        gateways=DESIGN_GATEWAYS,
        zone="z0",
        tick_ms=4.0,
        counter=True,
        plans=plans,
        may_cancel=True,
        classes={"look": io.RequestClass("look", idempotency=io.Idempotency.SAFE)},
        most_attempts=6,
        cold_ms=12000.0,
    )


def make_gateway(backends: int) -> Gateway:
    """Returns a decision module that knows a list of backends."""
    plan = io.Plan("team", rate=10.0, burst=20.0, overrun_cost=0.6)
    gateway = Gateway(make_settings({"team": plan}), seed=1)
    gateway.handle(1000.0, io.BackendsChanged(io.ListKind.CACHED, 1, make_entries(backends)))
    return gateway


def _cpu_time_ms(step: Callable[[], object]) -> float:
    started_s = time.process_time()
    step()
    return (time.process_time() - started_s) * 1000.0


def measure_full_list(point: MeasurementPoint) -> dict[str, float]:
    """Measures the processor time to apply a full list whose backends are known already."""
    gateway = make_gateway(point.size)
    event = io.BackendsChanged(io.ListKind.COMPLETE, 2, make_entries(point.size, 1.1))
    return {"ms": min(_cpu_time_ms(lambda: gateway.handle(2000.0, event)) for _ in range(REPETITIONS))}


def measure_change(point: MeasurementPoint) -> dict[str, float]:
    """Measures the processor time to apply a change of one entry."""
    gateway, event = make_gateway(point.size), io.BackendsChanged(io.ListKind.DELTA, 2, make_entries(1, 1.1))

    def apply_changes() -> None:
        for _ in range(CHANGES_PER_MEASUREMENT):
            gateway.handle(2000.0, event)

    return {"ms": min(_cpu_time_ms(apply_changes) for _ in range(REPETITIONS)) / CHANGES_PER_MEASUREMENT}


def measure_list_memory(point: MeasurementPoint) -> dict[str, float]:
    """Measures the memory per backend of the list."""
    backends = make_entries(point.size)
    tracemalloc.start()
    gateway = Gateway(make_settings({}), seed=1)
    gateway.handle(1000.0, io.BackendsChanged(io.ListKind.CACHED, 1, backends))
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"kb": size_bytes / 1024.0 / point.size}


def measure_customer_memory(point: MeasurementPoint) -> dict[str, float]:
    """Measures the memory per recent customer, after one request of each has been served.

    The requests arrive one per millisecond, or evenly within 5 s if there are more than 5,000.
    """
    customers = point.size
    gateway, gap_ms = make_gateway(100), min(1.0, 5000.0 / customers)
    tracemalloc.start()
    for number in range(customers):
        now_ms, request_id = 2000.0 + number * gap_ms, f"r{number}"
        actions = gateway.handle(
            now_ms,
            io.RequestArrived(request_id, f"{number:016x}", "team", "look", now_ms + 1000.0, 1.0, 0, 16),
        )
        while actions:
            action = actions.pop(0)
            if isinstance(action, io.CounterAdd):
                actions += gateway.handle(
                    now_ms, io.CounterResult(action.name, io.Outcome.OK, action.amount, 1.0)
                )
            elif isinstance(action, io.Send):
                actions += gateway.handle(
                    now_ms, io.AttemptEnded(action.request, 0, action.backend, io.Outcome.OK, True, 100.0)
                )
    # All timers of the requests are due by then, so that the remaining memory belongs to the customers.
    gateway.handle(2000.0 + customers * gap_ms + 2000.0, io.TimerFired("wake"))
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"kb": size_bytes / 1024.0 / customers}


class TimedGateway(Gateway):
    """A decision module that measures the processor time of its steps, except those that apply lists.

    `busy_s` is the total and `longest_s` the maximum.
    """

    def __init__(self, settings: io.Settings, seed: int):
        super().__init__(settings, seed)
        self.busy_s = self.longest_s = 0.0

    def handle(self, now_ms, event):
        started_s = time.thread_time()
        actions = super().handle(now_ms, event)
        elapsed_s = time.thread_time() - started_s
        if not isinstance(event, io.BackendsChanged):
            self.busy_s += elapsed_s
            self.longest_s = max(self.longest_s, elapsed_s)
        return actions


def measure_decisions(point: MeasurementPoint) -> dict[str, float]:
    """Measures the processor time per request of a gateway with the design's load.

    The simulation is long enough to include one periodic sweep of the module's tables.
    """
    modules: list[TimedGateway] = []

    def make_module(settings: io.Settings, seed: int) -> TimedGateway:
        modules.append(TimedGateway(settings, seed))
        return modules[-1]

    world = World(
        Options(
            gateways=2,
            fleet=DESIGN_GATEWAYS,
            backends=point.size,
            rate=2.0 * REQUESTS_PER_GATEWAY_PER_S,
            mix="table",
            spread=(2, 2),
            seconds=point.duration_s(12.0),
            counter_per_try=4.0,
            seed=point.seed,
        ),
        make_module,
    )
    figures = world.play()
    return {
        "us": sum(module.busy_s for module in modules) * 1e6 / max(1, figures["tries"]),
        "longest_ms": max(module.longest_s for module in modules) * 1000.0,
    }
