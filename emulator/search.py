"""Draws seeds and plans of faults until a rule breaks or the time is up, and makes small what broke it."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, fields, replace
from random import Random

from .faults import KINDS, Fault
from .world import Options, Record, play

FAULTS_MOST = 4  # in a plan
AFTER_S = 1.0  # of load that is kept after the moment in which a rule broke
LOGGED = "an error that a gateway logged"  # as a rule


@dataclass(frozen=True, slots=True)
class Found:
    """A rule that broke: on which options, as small as they were made, and what their play has shown."""

    rule: str
    options: Options
    record: Record
    drawn_options: Options  # as the search had drawn them
    plays: int  # until it was found
    shrinks: int  # plays that made it small


def replay_expression(options: Options) -> str:
    """The Python expression that plays it again."""
    default = Options()
    told = [
        f"{f.name}={getattr(options, f.name)!r}"
        for f in fields(options)
        if getattr(options, f.name) != getattr(default, f.name)
    ]
    return f"emulator.play(Options({', '.join(told)}))"


def format_trace(record: Record, rule: str) -> str:
    """What became of the first request that broke it, part by part."""
    for at, broken, about in record.examples:
        if broken == rule:
            lines = [f"{rule}: {about}, {at:.1f} ms from the start"]
            lines += [f"  {when:10.1f} {text}" for when, text in record.traces.get(about, ())]
            return "\n".join(lines)
    return "\n".join(record.errors[:1])


def draw(base: Options, rng: Random, kinds: Sequence[str]) -> Options:
    """A day on that fleet: its load, its clients, a seed and a plan of faults of these kinds."""
    return replace(
        base,
        seed=rng.randrange(1 << 31),
        load=round(rng.uniform(0.2, 1.1), 2),
        leave=rng.choice((0.0, 0.05, 0.2)),
        faults=tuple(_fault(base.seconds, rng, kinds) for _ in range(rng.randint(1, FAULTS_MOST))),
    )


def _fault(seconds: float, rng: Random, kinds: Sequence[str]) -> Fault:
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
    """Play days drawn from `seed` on the fleet of `base`, for so many real seconds at most, until a rule
    breaks. What broke it is then made small, in as long again at most. Faults are of `kinds`, if any are
    given. Raises ValueError where one is unknown."""
    for kind in kinds:
        Fault(kind)
    kinds = sorted(kinds or KINDS)
    rng, plays, until = Random(seed), 0, time.monotonic() + for_s
    while time.monotonic() < until:
        options = draw(base, rng, kinds)
        record, plays = play(options), plays + 1
        progress(f"{plays} plays, {sum(record.broken.values())} broken in the last")
        rule = _rule(record)
        if rule is not None:
            small, shrinks = shrink(options, record, rule, time.monotonic() + for_s, progress)
            return Found(rule, small, play(small), options, plays, shrinks)
    return None


def _rule(record: Record) -> str | None:
    """The one that broke first."""
    if record.examples:
        return record.examples[0][1]
    return next(iter(record.broken), LOGGED if record.errors else None)


def _breaks(record: Record, rule: str) -> bool:
    return rule in record.broken or rule == LOGGED and bool(record.errors)


def shrink(
    options: Options,
    record: Record,
    rule: str,
    until: float,
    progress: Callable[[str], None] = lambda text: None,
) -> tuple[Options, int]:
    """The smallest day found by then on which the same rule breaks, and how many plays that took."""
    tried, smaller = {options}, True
    while smaller:
        smaller = False
        for candidate in _smaller(options, record, rule):
            if candidate in tried:
                continue
            if time.monotonic() >= until:
                return options, len(tried) - 1
            tried.add(candidate)
            found = play(candidate)
            if _breaks(found, rule):
                options, record, smaller = candidate, found, True
                progress(f"{len(tried) - 1} plays: {len(options.faults)} faults, {options.seconds:g} s")
                break
    return options, len(tried) - 1


def _smaller(options: Options, record: Record, rule: str) -> Iterator[Options]:
    """One fault less, a shorter day, no early leavers, half of a fault."""
    for number in range(len(options.faults)):
        yield replace(options, faults=options.faults[:number] + options.faults[number + 1 :])
    at = next((when for when, broken, _ in record.examples if broken == rule), None)
    if at is not None and at / 1000.0 + AFTER_S < options.seconds:
        yield replace(options, seconds=round(at / 1000.0 + AFTER_S, 1))
    if options.leave:
        yield replace(options, leave=0.0)
    for number, fault in enumerate(options.faults):
        for name, least in (("for_s", 0.5), ("part", 0.1)):
            value = getattr(fault, name)
            if value / 2.0 >= least:
                half = replace(fault, **{name: round(value / 2.0, 2)})
                yield replace(options, faults=(*options.faults[:number], half, *options.faults[number + 1 :]))
