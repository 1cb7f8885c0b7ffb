"""Carries out one run: simulates it and returns its record. The only module that knows the simulation."""

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
STOP_CHECK_INTERVAL_MS = 200.0  # virtual time between two checks whether to stop
WORST_SPAN_S = 2  # length of the spans that `served_worth_share_worst` compares
# Histograms of a record, with the titles of their charts.
HISTOGRAMS = {"answered": "first try to the answer", "decided": "arrival to the first attempt"}


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of `scale.faults.FAULTS`, with its start (`at`) and duration (`length`) in seconds."""

    name: str
    at: float
    length: float


@dataclass(frozen=True, slots=True)
class Run:
    """One run of an experiment.

    `point` is the label of the point in the sweep. `module` has settings that override those of the decision
    module. If `faulted` is false, the faults are not injected, but the figures for their time are still
    computed.
    """

    point: str
    seed: int
    options: Options
    faults: tuple[Fault, ...] = ()
    module: tuple[tuple[str, object], ...] = ()
    faulted: bool = True


class Stopped(Exception):
    """Raised if a run is stopped before its end."""


def play(run: Run, should_stop: Callable[[], bool] = lambda: False) -> dict:
    """Carries out a run and returns its record, whose values can be encoded as JSON.

    The same run gives the same record. Raises `Stopped` if `should_stop` returns true during the run.

    `figures` has those of `scale.record` and, for the time of the faults, `served_worth_share_in_faults` (and
    `..._by_plan`), `served_worth_share_worst` (the worst two seconds from the first fault on) and
    `beyond_price_in_faults`.
    `seconds` has a list for each column of `scale.record.Second`, `latency_ms` a table of percentiles for
    each of `HISTOGRAMS`, and `histograms` the same as encoded HDR histograms in microseconds.
    """
    arguments = {}
    if run.module:
        arguments["module"] = lambda settings, seed: Gateway(replace(settings, **dict(run.module)), seed)
    world = World(run.options, **arguments)
    if run.faulted:
        for fault in run.faults:
            world.clock.call_at(
                world.start_ms + fault.at * 1000.0, FAULTS[fault.name].inject, world, fault.length * 1000.0
            )
    world.clock.call_at(world.start_ms + STOP_CHECK_INTERVAL_MS, _check_stop, world, should_stop)
    figures = world.play()
    columns = {
        field.name: [getattr(second, field.name) for second in world.record.seconds]
        for field in fields(Second)
    }
    histograms = {name: getattr(world.record, name) for name in HISTOGRAMS}
    return {
        "point": run.point,
        "seed": run.seed,
        "faulted": run.faulted,
        "faults": [asdict(fault) for fault in run.faults],
        "module": dict(run.module),
        "options": asdict(run.options),
        "figures": {**figures, **_fault_figures(run, columns)},
        "seconds": columns,
        "latency_ms": {name: percentiles(histogram) for name, histogram in histograms.items()},
        "histograms": {name: histogram.encode().decode("ascii") for name, histogram in histograms.items()},
    }


def _check_stop(world: World, should_stop: Callable[[], bool]) -> None:
    if should_stop():
        raise Stopped
    world.clock.call_at(world.clock.now + STOP_CHECK_INTERVAL_MS, _check_stop, world, should_stop)


def percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Returns the values in milliseconds by percentile."""
    return {
        f"{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000.0
        for percentile in PERCENTILES
    }


def _fault_figures(run: Run, columns: dict[str, list]) -> dict[str, float | dict]:
    """Returns the figures for the seconds in which faults are active, or for all seconds if there are
    none."""
    end_second = int(run.options.seconds)
    first_second = min((int(fault.at) for fault in run.faults), default=0)
    fault_end_second = max((int(fault.at + fault.length) for fault in run.faults), default=end_second)
    asked, served, beyond = (columns[key] for key in ("asked", "served", "beyond"))
    during = slice(first_second, max(fault_end_second, first_second + 1))
    asked_by_plan, served_by_plan = (
        sum(columns[key][during], Counts()) for key in ("asked_by_plan", "served_by_plan")
    )
    worst = [
        ratio(sum(served[second : second + WORST_SPAN_S]), sum(asked[second : second + WORST_SPAN_S]))
        for second in range(first_second, end_second - WORST_SPAN_S + 1)
        if any(asked[second : second + WORST_SPAN_S])
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
    """Returns the names of a record's figures, taken from a small run."""
    small_run = Run("", 1, Options(gateways=2, backends=2, seconds=0.5))
    return tuple(play(small_run)["figures"])
