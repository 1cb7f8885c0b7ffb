"""The record of a simulation: counts, sums and histograms, and the figures computed from them."""

from __future__ import annotations

from collections import Counter as Counts
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

MAX_TIME_US = 60_000_000  # longest time that the histograms distinguish
SIGNIFICANT_DIGITS = 3


def histogram() -> HdrHistogram:
    """Returns an empty histogram of times in microseconds."""
    return HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class Second:
    """The demand in one second of the simulation, and what was served of it.

    The worth of a request counts in the second of its first try.
    """

    asked: float = 0.0  # worth of the first tries within the quotas
    served: float = 0.0  # worth of those served within the target latency
    beyond: float = 0.0  # cost of tries sent to backends beyond the quotas
    tries: int = 0
    calls: int = 0  # to the counter service
    asked_by_plan: Counts[str] = field(default_factory=Counts)  # `asked` by plan
    served_by_plan: Counts[str] = field(default_factory=Counts)  # `served` by plan


@dataclass(slots=True)
class Record:
    """The counts and sums of one simulation.

    Counts are numbers of tries unless noted otherwise. The worth of a try is the worth of its class times the
    price of its plan times its units.
    """

    first_tries: int = 0
    tries: int = 0
    sent_inside_quota: int = 0  # sent to a backend while the quota held their units
    sent_beyond_quota: int = 0
    refused: int = 0
    refused_with_room: int = 0  # refused without an attempt although every quota had room
    refused_half_unused: int = 0  # those of them with at least half of each quota unused besides
    failed: int = 0
    served: int = 0
    served_late: int = 0
    lost: int = 0  # their gateway's process ended
    abandoned: int = 0  # their client disconnected
    sent_after_counter_call: int = 0  # their first attempt followed the result of a counter call
    worth_asked: float = 0.0  # of first tries within the quotas
    worth_inside_quota: float = 0.0
    worth_beyond_quota: float = 0.0
    beyond_quota_cost: float = 0.0  # worth beyond the quota times the plan's overrun cost
    worth_served: float = 0.0  # of `worth_asked`, served within the target latency
    attempts: int = 0  # number of attempts
    connections: int = 0  # number of connections opened
    overloaded_cold_backends: int = 0  # number of cold backends that failed under overload
    log_lines: int = 0
    tries_by_plan: Counts[str] = field(default_factory=Counts)
    broken: Counts[str] = field(default_factory=Counts)
    outcomes: Counts[str] = field(default_factory=Counts)
    decided: HdrHistogram = field(default_factory=histogram)  # from arrival to the first attempt
    # From arrival until that attempt's connection is ready.
    added: HdrHistogram = field(default_factory=histogram)
    answered: HdrHistogram = field(default_factory=histogram)  # from the first try to the answer, if served
    seconds: list[Second] = field(default_factory=list)


def ratio(part: float, whole: float) -> float:
    """Returns `part` / `whole`, or 0 if `whole` is 0."""
    return part / whole if whole else 0.0


def _ms(times: HdrHistogram, percentile: float) -> float:
    """Returns a percentile in ms; 0 for the histogram's smallest value, 1 microsecond."""
    value_us = times.get_value_at_percentile(percentile)
    return value_us / 1000.0 if value_us > 1 else 0.0


def compute_figures(world) -> dict[str, float | int | dict]:
    """Returns the figures of a finished simulation by name, as shown in tables and written to JSON."""
    record: Record = world.record
    counter, backends = world.counter, world.backends.values()
    # Busy time per core, which makes backends of different speed comparable.
    loads = [backend.busy_ms / backend.cores for backend in backends]
    cold_loads = [backend.peak_cold_load for backend in backends if backend.peak_cold_load]
    sent_tries = record.sent_inside_quota + record.sent_beyond_quota
    asked_by_plan = sum((second.asked_by_plan for second in record.seconds), Counts())
    served_by_plan = sum((second.served_by_plan for second in record.seconds), Counts())
    return {
        "first_tries": record.first_tries,
        "tries": record.tries,
        "sent_inside": record.sent_inside_quota,
        "sent_beyond": record.sent_beyond_quota,
        "served": record.served,
        "served_late": record.served_late,
        "refused": record.refused,
        "failed": record.failed,
        "lost": record.lost,
        "left": record.abandoned,
        "attempts": record.attempts,
        "served_worth_share": ratio(record.worth_served, record.worth_asked),
        "served_worth_share_by_plan": {
            plan: ratio(served_by_plan[plan], worth) for plan, worth in sorted(asked_by_plan.items())
        },
        "beyond_price": ratio(record.beyond_quota_cost, record.worth_asked),
        "beyond_worth_share": ratio(
            record.worth_beyond_quota, record.worth_inside_quota + record.worth_beyond_quota
        ),
        "refused_with_room_share": ratio(record.refused_with_room, record.tries),
        "refused_half_unused_share": ratio(record.refused_half_unused, record.tries),
        "to_first_attempt_ms_p50": _ms(record.decided, 50.0),
        "to_first_attempt_ms_p99": _ms(record.decided, 99.0),
        "added_ms_p50": _ms(record.added, 50.0),
        "added_ms_p99": _ms(record.added, 99.0),
        "answered_ms_p50": _ms(record.answered, 50.0),
        "answered_ms_p99": _ms(record.answered, 99.0),
        "waited_for_call_share": ratio(record.sent_after_counter_call, sent_tries),
        "counter_calls_per_try": ratio(counter.calls.total(), record.tries),
        "counter_calls_per_first_try": ratio(counter.calls.total(), record.first_tries),
        "counter_calls_by_plan": {
            plan: ratio(counter.calls[plan], tries) for plan, tries in sorted(record.tries_by_plan.items())
        },
        "counter_unanswered_share": ratio(counter.unanswered, counter.calls.total()),
        "counter_names_most": counter.peak_names,
        "connections_per_try": ratio(record.connections, sent_tries),
        "connections_most_on_a_backend": max((backend.peak_connections for backend in backends), default=0),
        "busiest_backend_over_mean": ratio(max(loads, default=0.0), ratio(sum(loads), len(loads))),
        "cold_backends_fallen": record.overloaded_cold_backends,
        "changes_in_force_ms": world.discovery.max_propagation_ms,
        "cold_load_of_budget_most": max(cold_loads, default=0.0),
        "customers_seen": len(world.accounts),
        "outcomes": dict(sorted(record.outcomes.items())),
        "broken": dict(sorted(record.broken.items())),
    }
