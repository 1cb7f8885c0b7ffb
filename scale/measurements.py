"""The figures of hollow fleets: which simulations they come from, at which sizes, and the effects of
faults."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, replace
from time import monotonic

from . import costs
from .costs import DESIGN_GATEWAYS, REQUESTS_PER_GATEWAY_PER_S, MeasurementPoint
from .faults import FAULTS
from .figure import Figure
from .world import Options, World, play

DEFAULT_PROCESSES = 4  # parallel simulations; each takes one core and several hundred MB
# A fault has an effect in a second if the served share is lower by at least this than without the fault.
EFFECT_THRESHOLD_SHARE = 0.03
SMOOTHING_S = 2  # the served share is computed over this many seconds


@dataclass(frozen=True, slots=True)
class Value:
    """A figure of a series: its name and unit, and its key in the measured record."""

    name: str
    unit: str
    key: str


@dataclass(frozen=True, slots=True)
class Series:
    """Figures that come from the same measurements, one for each size.

    `measure` runs in a process of its own and returns a record. `short` has the sizes of the short form. A
    series with `alone` measures processor time or memory and does not run in parallel with others.
    """

    name: str
    size_of: str
    sizes: tuple[int, ...]
    short: tuple[int, ...]
    about: str
    measure: Callable[[MeasurementPoint], dict]
    values: tuple[Value, ...]
    alone: bool = False


def measure_sets(point: MeasurementPoint) -> dict:
    """Simulates steady traffic with customers in sets of the given size.

    The simulation is long because each gateway of a large set sees a customer only every ten seconds or more.
    """
    gateways, seconds = (8 if point.short else 16), point.duration_s(180.0)
    return play(
        Options(
            gateways=gateways,
            backends=4 * gateways,
            rate=gateways * REQUESTS_PER_GATEWAY_PER_S / 2.0,
            mix="table",
            spread=(point.size, point.size),
            counter_per_try=4.0,
            seconds=seconds,
            warm_up=seconds * 2.0 / 3.0,
            seed=point.seed,
        )
    )


def measure_customers(point: MeasurementPoint) -> dict:
    """Simulates a constant total rate from the given number of customers."""
    gateways = 8 if point.short else 16
    return play(
        Options(
            gateways=gateways,
            backends=4 * gateways,
            rate=gateways * REQUESTS_PER_GATEWAY_PER_S,
            mix="table",
            spread=(8, 8),
            customers=point.size,
            counter_per_try=4.0,
            seconds=point.duration_s(12.0),
            seed=point.seed,
        )
    )


def measure_regions(point: MeasurementPoint) -> dict:
    """Simulates a fleet over the given number of regions."""
    gateways = 8 if point.short else 30
    return play(
        Options(
            gateways=gateways,
            backends=4 * gateways,
            rate=gateways * REQUESTS_PER_GATEWAY_PER_S,
            mix="table",
            zones=15,
            regions=point.size,
            spread=(8, 8),
            counter_per_try=4.0,
            seconds=point.duration_s(12.0),
            seed=point.seed,
        )
    )


def measure_lists(point: MeasurementPoint) -> dict:
    """Simulates two gateways with the given number of backends."""
    return play(
        Options(
            gateways=2,
            fleet=DESIGN_GATEWAYS,
            backends=point.size,
            rate=2.0 * REQUESTS_PER_GATEWAY_PER_S,
            mix="table",
            spread=(2, 2),
            counter_per_try=4.0,
            seconds=point.duration_s(20.0),
            seed=point.seed,
        )
    )


def _measure_fleet(point: MeasurementPoint, counter_per_try: float) -> dict:
    return play(
        Options(
            gateways=point.size,
            backends=point.size,
            spread=(4, 8) if point.short else (8, 30),
            counter_per_try=counter_per_try,
            seconds=point.duration_s(12.0),
            seed=point.seed,
        )
    )


def measure_crowded_counter(point: MeasurementPoint) -> dict:
    """Simulates a fleet whose counter service has capacity for only a quarter of a call per first try."""
    return _measure_fleet(point, 0.25)


def measure_ample_counter(point: MeasurementPoint) -> dict:
    """Simulates a fleet whose counter service has capacity for two calls per first try."""
    return _measure_fleet(point, 2.0)


def _design_options(size: int) -> Options:
    """Returns options with the design's ratio of backends to gateways and customers within their quotas."""
    backends = round(size * 26_000 / DESIGN_GATEWAYS)
    return Options(
        gateways=size,
        backends=backends,
        cores=2,
        rate=size * REQUESTS_PER_GATEWAY_PER_S,
        mix="table",
        spread=(8, 8),
        counter_per_try=4.0,
        seconds=10.0,
    )


def measure_balance(point: MeasurementPoint) -> dict:
    """Simulates the design's fleet scaled to the given number of gateways."""
    return play(replace(_design_options(point.size), seconds=point.duration_s(10.0), seed=point.seed))


def measure_cold_backends(point: MeasurementPoint) -> dict:
    """Simulates the design's fleet, scaled, while most backends are replaced."""
    return play(
        replace(
            _design_options(point.size),
            seconds=point.duration_s(10.0),
            seed=point.seed,
            faults=("replace",),
            fault_at=1.0,
            fault_for=point.duration_s(7.0),
        )
    )


LIST_SIZES, SHORT_LIST_SIZES = (200, 2000, 26_000, 104_000), (200, 400, 800, 1600)
FLEET_SIZES, SHORT_FLEET_SIZES = (30, 60, 120, 240), (8, 10, 12, 14)
COUNTER_VALUES = (
    Value("counter calls a try", "calls", "counter_calls_per_try"),
    Value("tries that wait for a call", "share", "waited_for_call_share"),
    Value("to the first attempt, median", "ms", "to_first_attempt_ms_p50"),
    Value("to the first attempt, 99th", "ms", "to_first_attempt_ms_p99"),
)
QUOTA_VALUES = (
    Value("beyond quotas, price", "share", "beyond_price"),
    Value("refused with room", "share", "refused_with_room_share"),
    Value("refused, half unused", "share", "refused_half_unused_share"),
    Value("served of the worth", "share", "served_worth_share"),
    *COUNTER_VALUES,
)

SERIES: tuple[Series, ...] = (
    Series(
        "whole-list",
        "backends",
        LIST_SIZES,
        SHORT_LIST_SIZES,
        "the module takes in a whole list that it knows",
        costs.measure_full_list,
        (Value("take in a whole list", "ms", "ms"),),
        True,
    ),
    Series(
        "change",
        "backends",
        LIST_SIZES,
        SHORT_LIST_SIZES,
        "the module takes in a change of one entry",
        costs.measure_change,
        (Value("take in one change", "ms", "ms"),),
        True,
    ),
    Series(
        "decision",
        "backends",
        LIST_SIZES,
        SHORT_LIST_SIZES,
        "the module's processor time at 61 requests a second",
        costs.measure_decisions,
        (Value("decide on a request", "us", "us"), Value("longest step", "ms", "longest_ms")),
        True,
    ),
    Series(
        "memory-list",
        "backends",
        LIST_SIZES,
        SHORT_LIST_SIZES,
        "memory of the module for a backend of its list",
        costs.measure_list_memory,
        (Value("memory a backend", "KB", "kb"),),
        True,
    ),
    Series(
        "memory-customers",
        "customers seen",
        (300, 1000, 3000, 10_000),
        (50, 100, 200, 400),
        "memory of the module for a customer that it has seen of late",
        costs.measure_customer_memory,
        (Value("memory a customer", "KB", "kb"),),
        True,
    ),
    Series(
        "lists",
        "backends",
        LIST_SIZES,
        SHORT_LIST_SIZES,
        "two gateways of 3,100 at 61 requests a second each",
        measure_lists,
        (Value("new connections a try", "connections", "connections_per_try"),),
    ),
    Series(
        "sets",
        "gateways in a set",
        (2, 4, 8, 16),
        (2, 4, 6, 8),
        "customers at 1.36 requests a second and a quarter of their quota",
        measure_sets,
        COUNTER_VALUES,
    ),
    Series(
        "customers",
        "customers",
        (1000, 5000, 30_000, 140_000),
        (200, 400, 800, 1600),
        "customers of the table's quota, in sets of 8, that all together ask 976 requests a second",
        measure_customers,
        (*COUNTER_VALUES[:2], Value("counter names held", "names", "counter_names_most")),
    ),
    Series(
        "regions",
        "regions",
        (1, 2, 3, 5),
        (1, 2, 3, 5),
        "customers of the table in sets of 8 over 15 zones, 15 ms one way between regions",
        measure_regions,
        (
            *COUNTER_VALUES[2:],
            Value("added, median", "ms", "added_ms_p50"),
            Value("added, 99th", "ms", "added_ms_p99"),
        ),
    ),
    Series(
        "balance",
        "gateways",
        (15, 30, 60, 120),
        SHORT_FLEET_SIZES,
        "8.4 backends of 2 cores to a gateway at 61 requests a second",
        measure_balance,
        (
            Value("busiest backend over mean", "times", "busiest_backend_over_mean"),
            Value("most connections on a backend", "connections", "connections_most_on_a_backend"),
        ),
    ),
    Series(
        "cold",
        "gateways",
        (15, 30, 60, 120),
        SHORT_FLEET_SIZES,
        "the same while six in ten backends are replaced within 7 s",
        measure_cold_backends,
        (Value("cold load of its budget, most", "share", "cold_load_of_budget_most"),),
    ),
    Series(
        "crowded",
        "gateways",
        FLEET_SIZES,
        SHORT_FLEET_SIZES,
        "a calm day where the counter bears a fourth of a call a try, sets of 8 to 30",
        measure_crowded_counter,
        QUOTA_VALUES,
    ),
    Series(
        "ample",
        "gateways",
        FLEET_SIZES,
        SHORT_FLEET_SIZES,
        "the same day where it bears two calls a try",
        measure_ample_counter,
        QUOTA_VALUES,
    ),
)


def _measure_with_time(
    measure: Callable[[MeasurementPoint], dict], point: MeasurementPoint
) -> tuple[dict, float]:
    started_s = monotonic()
    return measure(point), monotonic() - started_s


def measure_figures(
    chosen: Iterable[Series],
    seed: int,
    short: bool,
    processes: int,
    progress: Callable[[str], None],
) -> list[Figure]:
    """Measures all figures of these series, those that must run alone first.

    `progress` receives a line of text after each measurement.
    """
    chosen = list(chosen)
    runs = [(series, size) for series in chosen for size in (series.short if short else series.sizes)]
    # The largest start first, which shortens the total time.
    batches = [
        (1, [run for run in runs if run[0].alone]),
        (processes, sorted((run for run in runs if not run[0].alone), key=lambda run: -run[1])),
    ]
    records: dict[tuple[str, int], dict] = {}
    for parallel, batch in batches:
        if not batch:
            continue
        with ProcessPoolExecutor(parallel) as pool:
            futures = {
                pool.submit(_measure_with_time, entry.measure, MeasurementPoint(size, seed, short)): (
                    entry.name,
                    size,
                )
                for entry, size in batch
            }
            for future in as_completed(futures):
                record, elapsed_s = future.result()
                records[futures[future]] = record
                name, size = futures[future]
                progress(f"{len(records)} of {len(runs)}: {name} {size:,} in {elapsed_s:.1f} s")
    return [
        Figure(
            f"{series.name}: {value.name}",
            value.unit,
            series.size_of,
            tuple(
                (size, records[series.name, size][value.key])
                for size in (series.short if short else series.sizes)
            ),
            series.about,
            f"python -m scale figures --only {series.name} --seed {seed}",
            (seed,),
        )
        for series in chosen
        for value in series.values
    ]


@dataclass(frozen=True, slots=True)
class FaultEffect:
    """The effect of a fault, compared with the same simulation without it.

    Shares are of the worth of the demand within quotas.
    """

    fault: str
    served_before: float  # before the fault, except for its last seconds, whose requests it may still affect
    served_during: float
    served_least: float  # over the worst SMOOTHING_S seconds from the start of the fault
    lower_for_s: float  # from the start of the fault to the last time with less served than without the fault
    beyond_during: float  # cost of tries beyond quotas during the fault
    beyond_without: float  # the same without the fault
    lost: int  # tries whose gateway ended
    fallen: int  # cold backends that failed under overload
    broken: dict[str, int]  # rule violations


def _simulate(options: Options) -> dict:
    world = World(options)
    figures = world.play()
    return {
        "figures": figures,
        "seconds": [(second.asked, second.served, second.beyond) for second in world.record.seconds],
    }


def _share_over(seconds: list, first_second: int, end_second: int, column: int) -> float:
    asked = sum(second[0] for second in seconds[first_second:end_second])
    return sum(second[column] for second in seconds[first_second:end_second]) / asked if asked else 0.0


def _fault_effect(fault: str, options: Options, with_fault: dict, baseline: dict) -> FaultEffect:
    start_second, fault_end_second = int(options.fault_at), int(options.fault_at + options.fault_for)
    fault_seconds, baseline_seconds, end_second = (
        with_fault["seconds"],
        baseline["seconds"],
        int(options.seconds),
    )
    windows = [
        (
            second,
            _share_over(fault_seconds, second, second + SMOOTHING_S, 1),
            _share_over(baseline_seconds, second, second + SMOOTHING_S, 1),
        )
        for second in range(start_second, end_second - SMOOTHING_S + 1)
    ]
    record = with_fault["figures"]
    affected_seconds = [
        second
        for second, served, baseline_served in windows
        if served < baseline_served - EFFECT_THRESHOLD_SHARE
    ]
    return FaultEffect(
        fault,
        _share_over(fault_seconds, 0, start_second - SMOOTHING_S, 1),
        _share_over(fault_seconds, start_second, fault_end_second, 1),
        min(served for _, served, _ in windows),
        float(affected_seconds[-1] + SMOOTHING_S - start_second) if affected_seconds else 0.0,
        _share_over(fault_seconds, start_second, fault_end_second, 2),
        _share_over(baseline_seconds, start_second, fault_end_second, 2),
        record["lost"],
        record["cold_backends_fallen"],
        record["broken"],
    )


def measure_faults(
    names: Iterable[str],
    options: Options,
    processes: int,
    progress: Callable[[str], None],
) -> list[FaultEffect]:
    """Simulates each fault separately and compares it with the same simulation without faults.

    `progress` receives a line of text after each simulation.
    """
    names = list(names)
    with ProcessPoolExecutor(processes) as pool:
        baseline = pool.submit(_simulate, replace(options, faults=()))
        futures = {pool.submit(_simulate, replace(options, faults=(name,))): name for name in names}
        for number, future in enumerate(as_completed(futures), 1):
            progress(f"{number} of {len(names)}: {futures[future]}, {FAULTS[futures[future]].about}")
        return [
            _fault_effect(name, options, future.result(), baseline.result())
            for future, name in futures.items()
        ]
