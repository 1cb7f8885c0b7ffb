"""One run, from its plan to its record. Nothing else here knows how a fleet is played."""

from __future__ import annotations

from collections import Counter as Counts
from collections.abc import Callable
from dataclasses import asdict, dataclass, fields, replace
from functools import cache

from hdrh.histogram import HdrHistogram

from cobaltline import Gateway
from scale.faults import FAULTS
from scale.record import Second, ratio
from scale.world import Options, World

PERCENTILES = (50.0, 75.0, 90.0, 95.0, 99.0, 99.9)
LOOK_MS = 200.0  # of virtual time between two looks whether the run shall end
WORST_S = 2  # seconds that are taken together in `served_worth_share_worst`
HISTOGRAMS = {"answered": "first try to the answer", "decided": "arrival to the first attempt"}  # of a record


@dataclass(frozen=True, slots=True)
class Fault:
    """One of `scale.faults.FAULTS`; `at` and `length` in seconds."""

    name: str
    at: float
    length: float


@dataclass(frozen=True, slots=True)
class Run:
    """What is played. `point` names the place in the sweep. Without `faulted` the faults stay away, but the
    figures over their time are still made. `module` has settings that the decision module is told otherwise
    than the world has them."""

    point: str
    seed: int
    options: Options
    faults: tuple[Fault, ...] = ()
    module: tuple[tuple[str, object], ...] = ()
    faulted: bool = True


class Stopped(Exception):
    """The run was told to end before its day was over."""


def play(run: Run, stopped: Callable[[], bool] = lambda: False) -> dict:
    """The record of a run, as JSON can hold it: the same for the same run. Raises `Stopped`.

    `figures` are those of `scale.record` and, over the time of the faults, `served_worth_share_in_faults`
    (also `..._by_plan`), `served_worth_share_worst` (the worst two seconds from the first fault on) and
    `beyond_price_in_faults`.
    `seconds` has a list for each column of `scale.record.Second`, `latency_ms` a table of percentiles for
    each of `HISTOGRAMS`, and `histograms` the same as encoded hdrhistograms, in microseconds.
    """
    told = {}
    if run.module:
        told["module"] = lambda settings, seed: Gateway(replace(settings, **dict(run.module)), seed)
    world = World(run.options, **told)
    if run.faulted:
        for fault in run.faults:
            world.clock.call_at(
                world.start_ms + fault.at * 1000.0, FAULTS[fault.name].inject, world, fault.length * 1000.0
            )
    world.clock.call_at(world.start_ms + LOOK_MS, _look, world, stopped)
    figures = world.play()
    columns = {
        field.name: [getattr(second, field.name) for second in world.record.seconds]
        for field in fields(Second)
    }
    times = {name: getattr(world.record, name) for name in HISTOGRAMS}
    return {
        "point": run.point,
        "seed": run.seed,
        "faulted": run.faulted,
        "faults": [asdict(fault) for fault in run.faults],
        "module": dict(run.module),
        "options": asdict(run.options),
        "figures": {**figures, **_over_faults(run, columns)},
        "seconds": columns,
        "latency_ms": {name: percentiles(found) for name, found in times.items()},
        "histograms": {name: found.encode().decode("ascii") for name, found in times.items()},
    }


def _look(world: World, stopped: Callable[[], bool]) -> None:
    if stopped():
        raise Stopped
    world.clock.call_at(world.clock.now + LOOK_MS, _look, world, stopped)


def percentiles(found: HdrHistogram) -> dict[str, float]:
    """In milliseconds, by percentile."""
    return {f"{p:g}": found.get_value_at_percentile(p) / 1000.0 for p in PERCENTILES}


def _over_faults(run: Run, columns: dict[str, list]) -> dict[str, float | dict]:
    """Over the whole seconds that the faults touch; without any, over the whole day."""
    last = int(run.options.seconds)
    begin = min((int(fault.at) for fault in run.faults), default=0)
    end = max((int(fault.at + fault.length) for fault in run.faults), default=last)
    asked, served, beyond = (columns[key] for key in ("asked", "served", "beyond"))
    during = slice(begin, max(end, begin + 1))
    asked_by_plan, served_by_plan = (
        sum(columns[key][during], Counts()) for key in ("asked_by_plan", "served_by_plan")
    )
    worst = [
        ratio(sum(served[second : second + WORST_S]), sum(asked[second : second + WORST_S]))
        for second in range(begin, last - WORST_S + 1)
        if any(asked[second : second + WORST_S])
    ]
    return {
        "served_worth_share_in_faults": ratio(sum(served[during]), sum(asked[during])),
        "served_worth_share_in_faults_by_plan": {
            plan: ratio(served_by_plan[plan], worth) for plan, worth in sorted(asked_by_plan.items())
        },
        "served_worth_share_worst": min(worst, default=0.0),
        "beyond_price_in_faults": ratio(sum(beyond[during]), sum(asked[during])),
    }


@cache
def figure_names() -> tuple[str, ...]:
    """The figures that a record has: read off a tiny one."""
    tiny = Run("", 1, Options(gateways=2, backends=2, seconds=0.5))
    return tuple(play(tiny)["figures"])
