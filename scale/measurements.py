"""Every figure of the hollow tier: which plays it comes from, at which sizes, and what is read off them."""

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

DEFAULT_PROCESSES = 4  # plays side by side: each takes a core and some hundred MB
HARM = 0.03  # of the worth asked: a second that serves so much less than without the fault is harmed
SMOOTHING_S = 2  # seconds that are taken together for this


@dataclass(frozen=True, slots=True)
class Value:
    """One number of a play's record."""

    name: str
    unit: str
    key: str


@dataclass(frozen=True, slots=True)
class Series:
    """Figures that are read off the same plays, one play for each size.

    `measure` runs in a process of its own and gives a record. `alone` are those that measure processor time,
    and are not run side by side.
    """

    name: str
    size_of: str
    sizes: tuple[int, ...]
    short: tuple[int, ...]  # the sizes of the short form
    about: str
    measure: Callable[[MeasurementPoint], dict]
    values: tuple[Value, ...]
    alone: bool = False


def sets(sized: MeasurementPoint) -> dict:
    """A steady day: a gateway of a large set sees a customer each ten seconds or more, and has to know it."""
    gateways, seconds = (8 if sized.short else 16), sized.duration_s(180.0)
    return play(
        Options(
            gateways=gateways,
            backends=4 * gateways,
            rate=gateways * REQUESTS_PER_GATEWAY_PER_S / 2.0,
            mix="table",
            spread=(sized.size, sized.size),
            counter_per_try=4.0,
            seconds=seconds,
            warm_up=seconds * 2.0 / 3.0,
            seed=sized.seed,
        )
    )


def customers(sized: MeasurementPoint) -> dict:
    gateways = 8 if sized.short else 16
    return play(
        Options(
            gateways=gateways,
            backends=4 * gateways,
            rate=gateways * REQUESTS_PER_GATEWAY_PER_S,
            mix="table",
            spread=(8, 8),
            customers=sized.size,
            counter_per_try=4.0,
            seconds=sized.duration_s(12.0),
            seed=sized.seed,
        )
    )


def regions(sized: MeasurementPoint) -> dict:
    gateways = 8 if sized.short else 30
    return play(
        Options(
            gateways=gateways,
            backends=4 * gateways,
            rate=gateways * REQUESTS_PER_GATEWAY_PER_S,
            mix="table",
            zones=15,
            regions=sized.size,
            spread=(8, 8),
            counter_per_try=4.0,
            seconds=sized.duration_s(12.0),
            seed=sized.seed,
        )
    )


def lists(sized: MeasurementPoint) -> dict:
    return play(
        Options(
            gateways=2,
            fleet=DESIGN_GATEWAYS,
            backends=sized.size,
            rate=2.0 * REQUESTS_PER_GATEWAY_PER_S,
            mix="table",
            spread=(2, 2),
            counter_per_try=4.0,
            seconds=sized.duration_s(20.0),
            seed=sized.seed,
        )
    )


def _fleet(sized: MeasurementPoint, counter_per_try: float) -> dict:
    return play(
        Options(
            gateways=sized.size,
            backends=sized.size,
            spread=(4, 8) if sized.short else (8, 30),
            counter_per_try=counter_per_try,
            seconds=sized.duration_s(12.0),
            seed=sized.seed,
        )
    )


def fleet_crowded(sized: MeasurementPoint) -> dict:
    return _fleet(sized, 0.25)


def fleet_ample(sized: MeasurementPoint) -> dict:
    return _fleet(sized, 2.0)


def _ratio(size: int) -> Options:
    """The design's backends to a gateway, its load on each, and customers that stay inside their quotas."""
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


def balance(sized: MeasurementPoint) -> dict:
    return play(replace(_ratio(sized.size), seconds=sized.duration_s(10.0), seed=sized.seed))


def cold(sized: MeasurementPoint) -> dict:
    return play(
        replace(
            _ratio(sized.size),
            seconds=sized.duration_s(10.0),
            seed=sized.seed,
            faults=("replace",),
            fault_at=1.0,
            fault_for=sized.duration_s(7.0),
        )
    )


LISTS, LISTS_SHORT = (200, 2000, 26_000, 104_000), (200, 400, 800, 1600)
FLEETS, FLEETS_SHORT = (30, 60, 120, 240), (8, 10, 12, 14)
COUNTED = (
    Value("counter calls a try", "calls", "counter_calls_per_try"),
    Value("tries that wait for a call", "share", "waited_for_call_share"),
    Value("to the first attempt, median", "ms", "to_first_attempt_ms_p50"),
    Value("to the first attempt, 99th", "ms", "to_first_attempt_ms_p99"),
)
QUOTAS = (
    Value("beyond quotas, price", "share", "beyond_price"),
    Value("refused with room", "share", "refused_with_room_share"),
    Value("refused, half unused", "share", "refused_half_unused_share"),
    Value("served of the worth", "share", "served_worth_share"),
    *COUNTED,
)

SERIES: tuple[Series, ...] = (
    Series(
        "whole-list",
        "backends",
        LISTS,
        LISTS_SHORT,
        "the module takes in a whole list that it knows",
        costs.whole_list,
        (Value("take in a whole list", "ms", "ms"),),
        True,
    ),
    Series(
        "change",
        "backends",
        LISTS,
        LISTS_SHORT,
        "the module takes in a change of one entry",
        costs.one_change,
        (Value("take in one change", "ms", "ms"),),
        True,
    ),
    Series(
        "decision",
        "backends",
        LISTS,
        LISTS_SHORT,
        "the module's processor time at 61 requests a second",
        costs.decisions,
        (Value("decide on a request", "us", "us"), Value("longest step", "ms", "longest_ms")),
        True,
    ),
    Series(
        "memory-list",
        "backends",
        LISTS,
        LISTS_SHORT,
        "memory of the module for a backend of its list",
        costs.memory_of_list,
        (Value("memory a backend", "KB", "kb"),),
        True,
    ),
    Series(
        "memory-customers",
        "customers seen",
        (300, 1000, 3000, 10_000),
        (50, 100, 200, 400),
        "memory of the module for a customer that it has seen of late",
        costs.memory_of_customers,
        (Value("memory a customer", "KB", "kb"),),
        True,
    ),
    Series(
        "lists",
        "backends",
        LISTS,
        LISTS_SHORT,
        "two gateways of 3,100 at 61 requests a second each",
        lists,
        (Value("new connections a try", "connections", "connections_per_try"),),
    ),
    Series(
        "sets",
        "gateways in a set",
        (2, 4, 8, 16),
        (2, 4, 6, 8),
        "customers at 1.36 requests a second and a quarter of their quota",
        sets,
        COUNTED,
    ),
    Series(
        "customers",
        "customers",
        (1000, 5000, 30_000, 140_000),
        (200, 400, 800, 1600),
        "customers of the table's quota, in sets of 8, that all together ask 976 requests a second",
        customers,
        (*COUNTED[:2], Value("counter names held", "names", "counter_names_most")),
    ),
    Series(
        "regions",
        "regions",
        (1, 2, 3, 5),
        (1, 2, 3, 5),
        "customers of the table in sets of 8 over 15 zones, 15 ms one way between regions",
        regions,
        (
            *COUNTED[2:],
            Value("added, median", "ms", "added_ms_p50"),
            Value("added, 99th", "ms", "added_ms_p99"),
        ),
    ),
    Series(
        "balance",
        "gateways",
        (15, 30, 60, 120),
        FLEETS_SHORT,
        "8.4 backends of 2 cores to a gateway at 61 requests a second",
        balance,
        (
            Value("busiest backend over mean", "times", "busiest_backend_over_mean"),
            Value("most connections on a backend", "connections", "connections_most_on_a_backend"),
        ),
    ),
    Series(
        "cold",
        "gateways",
        (15, 30, 60, 120),
        FLEETS_SHORT,
        "the same while six in ten backends are replaced within 7 s",
        cold,
        (Value("cold load of its budget, most", "share", "cold_load_of_budget_most"),),
    ),
    Series(
        "crowded",
        "gateways",
        FLEETS,
        FLEETS_SHORT,
        "a calm day where the counter bears a fourth of a call a try, sets of 8 to 30",
        fleet_crowded,
        QUOTAS,
    ),
    Series(
        "ample",
        "gateways",
        FLEETS,
        FLEETS_SHORT,
        "the same day where it bears two calls a try",
        fleet_ample,
        QUOTAS,
    ),
)


def _timed(measure: Callable[[MeasurementPoint], dict], sized: MeasurementPoint) -> tuple[dict, float]:
    began = monotonic()
    return measure(sized), monotonic() - began


def measure_figures(
    chosen: Iterable[Series],
    seed: int,
    short: bool,
    processes: int,
    progress: Callable[[str], None],
) -> list[Figure]:
    """Every figure of these series. What measures processor time comes first, one at a time."""
    chosen = list(chosen)
    plays = [(series, size) for series in chosen for size in (series.short if short else series.sizes)]
    # The largest begin first, so that none is left alone at the end.
    waves = [
        (1, [x for x in plays if x[0].alone]),
        (processes, sorted((x for x in plays if not x[0].alone), key=lambda x: -x[1])),
    ]
    found: dict[tuple[str, int], dict] = {}
    for side_by_side, wave in waves:
        if not wave:
            continue
        with ProcessPoolExecutor(side_by_side) as pool:
            calls = {
                pool.submit(_timed, x.measure, MeasurementPoint(size, seed, short)): (x.name, size)
                for x, size in wave
            }
            for call in as_completed(calls):
                record, took = call.result()
                found[calls[call]] = record
                name, size = calls[call]
                progress(f"{len(found)} of {len(plays)}: {name} {size:,} in {took:.1f} s")
    return [
        Figure(
            f"{series.name}: {value.name}",
            value.unit,
            series.size_of,
            tuple(
                (size, found[series.name, size][value.key])
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
class Harm:
    """What a fault did, beside the same day without it. Shares are of the worth asked inside quotas."""

    fault: str
    served_before: float  # over the seconds before it whose aims were over by then
    served_during: float  # over its time
    served_least: float  # over the worst two seconds from its begin on
    lower_for_s: float  # from its begin until the last of the seconds that served less than without it
    beyond_during: float  # price of what was sent on beyond quotas, over its time
    beyond_without: float  # the same on the day without it
    lost: int
    fallen: int
    broken: dict[str, int]


def _seconds_of(options: Options) -> dict:
    world = World(options)
    found = world.play()
    return {"figures": found, "seconds": [(s.asked, s.served, s.beyond) for s in world.record.seconds]}


def _over(seconds: list, first: int, last: int, column: int) -> float:
    asked = sum(second[0] for second in seconds[first:last])
    return sum(second[column] for second in seconds[first:last]) / asked if asked else 0.0


def _harm(fault: str, options: Options, played: dict, calm: dict) -> Harm:
    at, end = int(options.fault_at), int(options.fault_at + options.fault_for)
    mine, without, last = played["seconds"], calm["seconds"], int(options.seconds)
    windows = [
        (
            second,
            _over(mine, second, second + SMOOTHING_S, 1),
            _over(without, second, second + SMOOTHING_S, 1),
        )
        for second in range(at, last - SMOOTHING_S + 1)
    ]
    record = played["figures"]
    harmed = [second for second, served, usual in windows if served < usual - HARM]
    return Harm(
        fault,
        _over(mine, 0, at - SMOOTHING_S, 1),
        _over(mine, at, end, 1),
        min(served for _, served, _ in windows),
        float(harmed[-1] + SMOOTHING_S - at) if harmed else 0.0,
        _over(mine, at, end, 2),
        _over(without, at, end, 2),
        record["lost"],
        record["cold_backends_fallen"],
        record["broken"],
    )


def measure_faults(
    names: Iterable[str],
    options: Options,
    processes: int,
    progress: Callable[[str], None],
) -> list[Harm]:
    """Each fault on a day of its own, beside the same day without any."""
    names = list(names)
    with ProcessPoolExecutor(processes) as pool:
        calm = pool.submit(_seconds_of, replace(options, faults=()))
        calls = {pool.submit(_seconds_of, replace(options, faults=(name,))): name for name in names}
        for number, call in enumerate(as_completed(calls), 1):
            progress(f"{number} of {len(names)}: {calls[call]}, {FAULTS[calls[call]].about}")
        return [_harm(name, options, call.result(), calm.result()) for call, name in calls.items()]
