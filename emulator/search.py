"""Randomized search for runs that violate a rule, and the reduction of a run found to a small one."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, fields, replace
from random import Random

from .faults import KINDS, Fault
from .world import Options, Record, play

MAX_FAULTS = 4  # in one run
KEEP_AFTER_VIOLATION_S = 1.0  # load kept after the first violation when a run is shortened
LOGGED_ERROR = "an error that a gateway logged"  # the rule that a logged error counts as breaking


@dataclass(frozen=True, slots=True)
class Found:
    """A violation: the rule, the smallest options found that break it, and the record of their run."""

    rule: str
    options: Options
    record: Record
    drawn_options: Options  # before the reduction
    plays: int  # runs until the violation was found
    shrinks: int  # runs of the reduction


def replay_expression(options: Options) -> str:
    """The Python expression that repeats the run."""
    default = Options()
    arguments = [
        f"{field.name}={getattr(options, field.name)!r}"
        for field in fields(options)
        if getattr(options, field.name) != getattr(default, field.name)
    ]
    return f"emulator.play(Options({', '.join(arguments)}))"


def format_trace(record: Record, rule: str) -> str:
    """The events of the first request that broke the rule, one a line."""
    for at_ms, broken, subject in record.examples:
        if broken == rule:
            lines = [f"{rule}: {subject}, {at_ms:.1f} ms from the start"]
            lines += [f"  {when:10.1f} {text}" for when, text in record.traces.get(subject, ())]
            return "\n".join(lines)
    return "\n".join(record.errors[:1])


def draw(base: Options, rng: Random, kinds: Sequence[str]) -> Options:
    """Draw options for the fleet of `base`: seed, load, share of clients that leave early, and faults."""
    return replace(
        base,
        seed=rng.randrange(1 << 31),
        load=round(rng.uniform(0.2, 1.1), 2),
        leave=rng.choice((0.0, 0.05, 0.2)),
        faults=tuple(_draw_fault(base.seconds, rng, kinds) for _ in range(rng.randint(1, MAX_FAULTS))),
    )


def _draw_fault(seconds: float, rng: Random, kinds: Sequence[str]) -> Fault:
    name = rng.choice(kinds)
    kind = KINDS[name]
    return Fault(
        name,
        round(rng.uniform(0.5, seconds * 0.8), 2),
        round(rng.uniform(0.5, seconds * 0.7), 2),
        round(rng.uniform(*kind.parts), 2),
        round(rng.uniform(*kind.sizes), 2),
    )


def search(
    base: Options,
    seed: int,
    for_s: float,
    kinds: Sequence[str] = (),
    progress: Callable[[str], None] = lambda text: None,
) -> Found | None:
    """Run random worlds on the fleet of `base` until a rule breaks or `for_s` real seconds have passed.

    A run that breaks a rule is then reduced, for at most as long again. `kinds` limits the kinds of faults
    drawn; empty means all. `progress` is called with a line after each run. Returns None if no rule broke.
    Raises ValueError on an unknown kind.
    """
    for kind in kinds:
        Fault(kind)
    kinds = sorted(kinds or KINDS)
    rng, plays, until = Random(seed), 0, time.monotonic() + for_s
    while time.monotonic() < until:
        options = draw(base, rng, kinds)
        record, plays = play(options), plays + 1
        progress(f"{plays} runs, {sum(record.broken.values())} violations in the last")
        rule = _first_broken_rule(record)
        if rule is not None:
            reduced, shrinks = shrink(options, record, rule, time.monotonic() + for_s, progress)
            return Found(rule, reduced, play(reduced), options, plays, shrinks)
    return None


def _first_broken_rule(record: Record) -> str | None:
    """The rule that broke first, if any."""
    if record.examples:
        return record.examples[0][1]
    return next(iter(record.broken), LOGGED_ERROR if record.errors else None)


def _breaks_rule(record: Record, rule: str) -> bool:
    return rule in record.broken or rule == LOGGED_ERROR and bool(record.errors)


def shrink(
    options: Options,
    record: Record,
    rule: str,
    until: float,
    progress: Callable[[str], None] = lambda text: None,
) -> tuple[Options, int]:
    """Reduce the options until no smaller ones break the rule or the monotonic clock reaches `until`.

    Returns the smallest options found and the number of runs made.
    """
    tried, smaller = {options}, True
    while smaller:
        smaller = False
        for candidate in _smaller_options(options, record, rule):
            if candidate in tried:
                continue
            if time.monotonic() >= until:
                return options, len(tried) - 1
            tried.add(candidate)
            candidate_record = play(candidate)
            if _breaks_rule(candidate_record, rule):
                options, record, smaller = candidate, candidate_record, True
                progress(
                    f"{len(tried) - 1} runs to reduce: {len(options.faults)} faults, {options.seconds:g} s"
                )
                break
    return options, len(tried) - 1


def _smaller_options(options: Options, record: Record, rule: str) -> Iterator[Options]:
    """Smaller candidates: one fault less, a shorter run, no clients that leave early, a fault halved."""
    for number in range(len(options.faults)):
        yield replace(options, faults=options.faults[:number] + options.faults[number + 1 :])
    at_ms = next((when for when, broken, _ in record.examples if broken == rule), None)
    if at_ms is not None and at_ms / 1000.0 + KEEP_AFTER_VIOLATION_S < options.seconds:
        yield replace(options, seconds=round(at_ms / 1000.0 + KEEP_AFTER_VIOLATION_S, 1))
    if options.leave:
        yield replace(options, leave=0.0)
    for number, fault in enumerate(options.faults):
        for name, minimum in (("for_s", 0.5), ("part", 0.1)):
            value = getattr(fault, name)
            if value / 2.0 >= minimum:
                half = replace(fault, **{name: round(value / 2.0, 2)})
                yield replace(options, faults=(*options.faults[:number], half, *options.faults[number + 1 :]))
