"""What a play has shown: counts, sums and histograms, and the figures made of them."""

from __future__ import annotations

from collections import Counter as Counts
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

MOST_US = 60_000_000  # the longest time that a histogram tells apart
DIGITS = 3  # significant digits of its values


def histogram() -> HdrHistogram:
    """Of times in microseconds."""
    return HdrHistogram(1, MOST_US, DIGITS)


@dataclass(slots=True)
class Second:
    """What was asked in one second of the play, and what became of it, in worth."""

    asked: float = 0.0  # inside the quotas, by first tries
    served: float = 0.0  # of that, within the aim
    beyond: float = 0.0  # cost of what was sent on beyond the quotas
    tries: int = 0
    calls: int = 0  # to the counter
    asked_by_plan: Counts[str] = field(default_factory=Counts)  # as `asked`
    served_by_plan: Counts[str] = field(default_factory=Counts)  # as `served`


@dataclass(slots=True)
class Record:
    """Counts are of tries unless told otherwise; worth is class worth x plan price x units."""

    first_tries: int = 0
    tries: int = 0
    sent_inside_quota: int = 0  # tries sent on that the store held the units for
    sent_beyond_quota: int = 0
    refused: int = 0
    refused_with_room: int = 0  # never sent on, and inside each quota as they were refused
    refused_half_unused: int = 0  # and half of each quota or more was unused besides
    failed: int = 0
    served: int = 0
    served_late: int = 0
    lost: int = 0  # with the gateway that held them
    abandoned: int = 0  # their clients went
    sent_after_counter_call: int = 0  # first sent on when a counter call had answered
    worth_asked: float = 0.0  # by first tries, inside the quotas
    worth_inside_quota: float = 0.0
    worth_beyond_quota: float = 0.0
    beyond_quota_cost: float = 0.0  # worth beyond x the plan's overrun cost
    worth_served: float = 0.0  # inside the quotas, within the aim
    attempts: int = 0
    connections: int = 0  # opened
    overloaded_cold_backends: int = 0  # cold backends pushed over
    log_lines: int = 0
    tries_by_plan: Counts[str] = field(default_factory=Counts)
    broken: Counts[str] = field(default_factory=Counts)
    outcomes: Counts[str] = field(default_factory=Counts)
    decided: HdrHistogram = field(default_factory=histogram)  # arrival to the first attempt
    added: HdrHistogram = field(default_factory=histogram)  # and until its connection was ready
    answered: HdrHistogram = field(default_factory=histogram)  # first try to the answer, where it was served
    seconds: list[Second] = field(default_factory=list)


def ratio(part: float, whole: float) -> float:
    return part / whole if whole else 0.0


def _ms(times: HdrHistogram, percentile: float) -> float:
    """0 where it happened at once: the histogram's least value is 1."""
    found = times.get_value_at_percentile(percentile)
    return found / 1000.0 if found > 1 else 0.0


def compute_figures(world) -> dict[str, float | int | dict]:
    """The record of a play that is over, as plain numbers: what a table or JSON shows, and tests compare."""
    r: Record = world.record
    counter, backends = world.counter, world.backends.values()
    # Busy time of a core for what a backend can do: backends of unlike speed are compared by it.
    loads = [b.busy_ms / b.cores for b in backends]
    cold = [b.peak_cold_load for b in backends if b.peak_cold_load]
    sent = r.sent_inside_quota + r.sent_beyond_quota
    asked_by_plan = sum((second.asked_by_plan for second in r.seconds), Counts())
    served_by_plan = sum((second.served_by_plan for second in r.seconds), Counts())
    return {
        "first_tries": r.first_tries,
        "tries": r.tries,
        "sent_inside": r.sent_inside_quota,
        "sent_beyond": r.sent_beyond_quota,
        "served": r.served,
        "served_late": r.served_late,
        "refused": r.refused,
        "failed": r.failed,
        "lost": r.lost,
        "left": r.abandoned,
        "attempts": r.attempts,
        "served_worth_share": ratio(r.worth_served, r.worth_asked),
        "served_worth_share_by_plan": {
            plan: ratio(served_by_plan[plan], worth) for plan, worth in sorted(asked_by_plan.items())
        },
        "beyond_price": ratio(r.beyond_quota_cost, r.worth_asked),
        "beyond_worth_share": ratio(r.worth_beyond_quota, r.worth_inside_quota + r.worth_beyond_quota),
        "refused_with_room_share": ratio(r.refused_with_room, r.tries),
        "refused_half_unused_share": ratio(r.refused_half_unused, r.tries),
        "to_first_attempt_ms_p50": _ms(r.decided, 50.0),
        "to_first_attempt_ms_p99": _ms(r.decided, 99.0),
        "added_ms_p50": _ms(r.added, 50.0),
        "added_ms_p99": _ms(r.added, 99.0),
        "answered_ms_p50": _ms(r.answered, 50.0),
        "answered_ms_p99": _ms(r.answered, 99.0),
        "waited_for_call_share": ratio(r.sent_after_counter_call, sent),
        "counter_calls_per_try": ratio(counter.calls.total(), r.tries),
        "counter_calls_per_first_try": ratio(counter.calls.total(), r.first_tries),
        "counter_calls_by_plan": {
            plan: ratio(counter.calls[plan], tries) for plan, tries in sorted(r.tries_by_plan.items())
        },
        "counter_unanswered_share": ratio(counter.unanswered, counter.calls.total()),
        "counter_names_most": counter.peak_names,
        "connections_per_try": ratio(r.connections, sent),
        "connections_most_on_a_backend": max((b.peak_connections for b in backends), default=0),
        "busiest_backend_over_mean": ratio(max(loads, default=0.0), ratio(sum(loads), len(loads))),
        "cold_backends_fallen": r.overloaded_cold_backends,
        "changes_in_force_ms": world.discovery.max_propagation_ms,
        "cold_load_of_budget_most": max(cold, default=0.0),
        "customers_seen": len(world.accounts),
        "outcomes": dict(sorted(r.outcomes.items())),
        "broken": dict(sorted(r.broken.items())),
    }
