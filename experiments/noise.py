"""What differs between two sets of paired figures, and whether it lies outside the noise."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import comb
from statistics import median

from .results import Results, record_key

SURE = 0.05  # p below this, after Holm's correction, is called outside the noise
TEST_DESCRIPTION = (
    "two-sided exact sign test over the seeds, p corrected by Holm for the number of figures at that point, "
    "under 0.05"
)
ALL_POINTS = "all points"
Pairs = dict[str, dict[int, list[tuple[float, float]]]]  # figure, seed: values of a and b


def flatten(figures: dict, names: Iterable[str] | None = None) -> dict[str, float]:
    """The numbers of these figures (None: of all); a table's with its name and a dot before."""
    found: dict[str, float] = {}
    for name in figures if names is None else names:
        value = figures.get(name)
        if isinstance(value, dict):
            found.update({f"{name}.{part}": float(number) for part, number in value.items()})
        elif value is not None:
            found[name] = float(value)
    return found


def sign_test(differences: Iterable[float]) -> float:
    """The two-sided p of the exact sign test; differences of 0 say nothing and are left out."""
    above = below = 0
    for difference in differences:
        above += difference > 0
        below += difference < 0
    count = above + below
    return min(1.0, 2.0 * sum(comb(count, k) for k in range(min(above, below) + 1)) / 2.0**count)


def holm_correction(ps: list[float]) -> list[float]:
    """Holm's step-down correction: each p as if it were the only one that was looked at."""
    found, least = [0.0] * len(ps), 0.0
    for rank, number in enumerate(sorted(range(len(ps)), key=ps.__getitem__)):
        least = found[number] = max(least, min(1.0, (len(ps) - rank) * ps[number]))
    return found


@dataclass(frozen=True, slots=True)
class Difference:
    """B less a over the seeds, at one point of the sweep, or at `ALL_POINTS`. There a seed has the median of
    its differences: points of one seed share much of their day, and are no trials of their own.

    `verdict`: outside the noise (`higher` or `lower`: b than a), `within noise`, `equal` (no pair differs),
    or `too few seeds` (even if all agreed, they could not lie outside).
    """

    point: str
    seeds: int
    a: float  # median over all pairs
    b: float
    median: float
    least: float
    most: float
    p: float  # corrected for the figures at this point
    verdict: str

    @property
    def outside(self) -> bool:
        return self.verdict in ("higher", "lower")


@dataclass(frozen=True, slots=True)
class Compared:
    """One figure at each point, and over all of them where there is more than one."""

    figure: str
    differences: tuple[Difference, ...]


def compare_records(a: Iterable[dict], b: Iterable[dict], names: Iterable[str]) -> list[Compared]:
    """Records of equal point and seed side by side, figure by figure. The caller sees to it that each has
    one partner at most."""
    others = {(record["point"], record["seed"]): record for record in b}
    pairs: dict[str, Pairs] = {}  # of each point, in the order of the sweep
    names = list(names)
    for record in a:
        other = others.get((record["point"], record["seed"]))
        if other is not None:
            mine, its = flatten(record["figures"], names), flatten(other["figures"], names)
            for figure in mine.keys() & its.keys():
                found = pairs.setdefault(record["point"], {}).setdefault(figure, {})
                found.setdefault(record["seed"], []).append((mine[figure], its[figure]))
    if len(pairs) > 1:
        whole = pairs[ALL_POINTS] = {}
        for point in list(pairs)[:-1]:
            for figure, seeds in pairs[point].items():
                for seed, values in seeds.items():
                    whole.setdefault(figure, {}).setdefault(seed, []).extend(values)
    order = {name: place for place, name in enumerate(names)}
    found: dict[str, list[Difference]] = {}
    for point, figures in pairs.items():
        for figure, difference in _at(point, figures):
            found.setdefault(figure, []).append(difference)
    return [
        Compared(figure, tuple(found[figure]))
        for figure in sorted(found, key=lambda figure: (order[figure.split(".")[0]], figure))
    ]


def _at(point: str, figures: Pairs) -> Iterator[tuple[str, Difference]]:
    """Each figure at one point."""
    by_seed = [[median(b - a for a, b in values) for values in seeds.values()] for seeds in figures.values()]
    ps = holm_correction([sign_test(differences) for differences in by_seed])
    for (figure, seeds), differences, p in zip(figures.items(), by_seed, ps, strict=True):
        values = [pair for pairs in seeds.values() for pair in pairs]
        if all(a == b for a, b in values):
            verdict = "equal"
        elif p < SURE:
            verdict = "higher" if median(differences) > 0 else "lower"
        # The least p that so many seeds can have, and what Holm makes of it.
        elif len(figures) * 2.0 / 2.0 ** len(differences) >= SURE:
            verdict = "too few seeds"
        else:
            verdict = "within noise"
        yield (
            figure,
            Difference(
                point,
                len(differences),
                median(a for a, _ in values),
                median(b for _, b in values),
                median(differences),
                min(differences),
                max(differences),
                p,
                verdict,
            ),
        )


def fault_effects(results: Results) -> list[Compared]:
    """What the faults of a result did: b is the run with them, a the same without. Empty without twins."""
    without = [record for record in results.records if not record["faulted"]]
    return compare_records(
        without, [record for record in results.records if record["faulted"]], results.state["figures"]
    )


def compare(a: Results, b: Results) -> tuple[list[Compared], int]:
    """Two results by point, faults and seed, over the figures of `a`; and how many runs have no partner."""

    def faulted(results: Results) -> list[dict]:
        return [record for record in results.records if record["faulted"]]

    alone = {record_key(record) for record in a.records} ^ {record_key(record) for record in b.records}
    return compare_records(faulted(a), faulted(b), a.state["figures"]), len(alone)


def differing_settings(a: Results, b: Results) -> dict[str, list]:
    """Settings that differ between runs of the same place, with the pairs of values that were seen."""
    others = {record_key(record): record for record in b.records}
    found: dict[str, list] = {}
    for record in a.records:
        other = others.get(record_key(record))
        if other is None:
            continue
        for part in ("options", "module", "faults"):
            mine, its = record[part], other[part]
            if part == "faults":
                mine, its = {part: mine}, {part: its}
            for name in mine.keys() | its.keys():
                pair = [mine.get(name), its.get(name)]
                if pair[0] != pair[1] and pair not in found.setdefault(name, []):
                    found[name].append(pair)
    return {name: pairs for name, pairs in sorted(found.items()) if pairs}
