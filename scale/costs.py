"""What the decision module alone costs: processor time and memory of one `Gateway`, by its lists' size."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

from cobaltline import Gateway
from cobaltline import interface as io

from .world import Options, World

BEST_OF = 5  # times that a step is measured; the least counts, as whatever else runs only adds
CHANGES = 50  # in a row, for the cost of one
SHORT_S = 3.0  # of virtual time, for a play of the short form
DESIGN_GATEWAYS = 3100
REQUESTS_PER_GATEWAY_PER_S = 61.0  # requests a second at each gateway of the design


@dataclass(frozen=True, slots=True)
class MeasurementPoint:
    """What to measure at: a size (its unit is the series' own), a seed, and whether in the short form."""

    size: int
    seed: int = 1
    short: bool = False

    def duration_s(self, usual: float) -> float:
        """How long a play lasts that usually lasts so long."""
        return min(usual, SHORT_S) if self.short else usual


def entries(count: int, weight: float = 1.0) -> tuple[io.Backend, ...]:
    return tuple(
        io.Backend(f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:7070", f"z{n % 16}", "std-3c", weight=weight)
        for n in range(count)
    )


def settings(plans: dict[str, io.Plan]) -> io.Settings:
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


def ready(backends: int) -> Gateway:
    plan = io.Plan("team", rate=10.0, burst=20.0, overrun_cost=0.6)
    gateway = Gateway(settings({"team": plan}), seed=1)
    gateway.handle(1000.0, io.BackendsChanged(io.ListKind.CACHED, 1, entries(backends)))
    return gateway


def _ms(step: Callable[[], object]) -> float:
    began = time.process_time()
    step()
    return (time.process_time() - began) * 1000.0


def whole_list(sized: MeasurementPoint) -> dict[str, float]:
    """The module takes in a whole list, as a gateway does that knows the backends already."""
    gateway = ready(sized.size)
    event = io.BackendsChanged(io.ListKind.COMPLETE, 2, entries(sized.size, 1.1))
    return {"ms": min(_ms(lambda: gateway.handle(2000.0, event)) for _ in range(BEST_OF))}


def one_change(sized: MeasurementPoint) -> dict[str, float]:
    """The module takes in a change of one entry."""
    gateway, event = ready(sized.size), io.BackendsChanged(io.ListKind.DELTA, 2, entries(1, 1.1))

    def several() -> None:
        for _ in range(CHANGES):
            gateway.handle(2000.0, event)

    return {"ms": min(_ms(several) for _ in range(BEST_OF)) / CHANGES}


def memory_of_list(sized: MeasurementPoint) -> dict[str, float]:
    """What the module holds for each backend of its list."""
    listed = entries(sized.size)
    tracemalloc.start()
    gateway = Gateway(settings({}), seed=1)
    gateway.handle(1000.0, io.BackendsChanged(io.ListKind.CACHED, 1, listed))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"kb": size / 1024.0 / sized.size}


def memory_of_customers(sized: MeasurementPoint) -> dict[str, float]:
    """What the module holds for each customer that it has seen of late, after one request of each was served.
    Each comes in a millisecond after the one before, or all within 5 s where they are many."""
    customers = sized.size
    gateway, gap_ms = ready(100), min(1.0, 5000.0 / customers)
    tracemalloc.start()
    for number in range(customers):
        now, name = 2000.0 + number * gap_ms, f"r{number}"
        line = gateway.handle(
            now, io.RequestArrived(name, f"{number:016x}", "team", "look", now + 1000.0, 1.0, 0, 16)
        )
        while line:
            act = line.pop(0)
            if isinstance(act, io.CounterAdd):
                line += gateway.handle(now, io.CounterResult(act.name, io.Outcome.OK, act.amount, 1.0))
            elif isinstance(act, io.Send):
                line += gateway.handle(
                    now, io.AttemptEnded(act.request, 0, act.backend, io.Outcome.OK, True, 100.0)
                )
    # The alarms of the requests are due by then: what is left belongs to the customers.
    gateway.handle(2000.0 + customers * gap_ms + 2000.0, io.TimerFired("wake"))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"kb": size / 1024.0 / customers}


class Timed(Gateway):
    """Keeps the processor time of its steps, but for lists."""

    def __init__(self, settings: io.Settings, seed: int):
        super().__init__(settings, seed)
        self.busy = self.longest = 0.0

    def handle(self, now_ms, event):
        began = time.thread_time()
        acts = super().handle(now_ms, event)
        took = time.thread_time() - began
        if not isinstance(event, io.BackendsChanged):
            self.busy += took
            self.longest = max(self.longest, took)
        return acts


def decisions(sized: MeasurementPoint) -> dict[str, float]:
    """What requests cost a gateway of the design, at 61 a second for 12 s (one sweep over all it holds)."""
    modules: list[Timed] = []

    def module(settings: io.Settings, seed: int) -> Timed:
        modules.append(Timed(settings, seed))
        return modules[-1]

    world = World(
        Options(
            gateways=2,
            fleet=DESIGN_GATEWAYS,
            backends=sized.size,
            rate=2.0 * REQUESTS_PER_GATEWAY_PER_S,
            mix="table",
            spread=(2, 2),
            seconds=sized.duration_s(12.0),
            counter_per_try=4.0,
            seed=sized.seed,
        ),
        module,
    )
    found = world.play()
    return {
        "us": sum(m.busy for m in modules) * 1e6 / max(1, found["tries"]),
        "longest_ms": max(m.longest for m in modules) * 1000.0,
    }
