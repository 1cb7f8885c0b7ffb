"""What differs between two sets of paired figures, and whether it lies outside the noise."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import comb
from statistics import median

from .results import Results, key

SURE = 0.05  # p below this, after Holm's correction, is called outside the noise
TEST = (
    "two-sided exact sign test over the seeds (of each, the median difference over the points), p corrected "
    "by Holm for the number of figures, under 0.05")


def flat(figures: dict, names: Iterable[str] | None = None) -> dict[str, float]:
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


def holm(ps: list[float]) -> list[float]:
    """Holm's step-down correction: each p as if it were the only one that was looked at."""
    found, least = [0.0] * len(ps), 0.0
    for rank, number in enumerate(sorted(range(len(ps)), key=ps.__getitem__)):
        least = found[number] = max(least, min(1.0, (len(ps) - rank) * ps[number]))
    return found


@dataclass(frozen=True, slots=True)
class At:
    """One point of the sweep; differences are b less a, over its seeds."""

    point: str
    seeds: int
    a: float  # median
    b: float
    difference: float  # median
    least: float
    most: float


@dataclass(frozen=True, slots=True)
class Compared:
    """One figure over all pairs. Points of one seed share much of their day, so that they are no trials of
    their own: a seed has one difference, the median of those at its points.

    `verdict`: outside the noise (`higher` or `lower`: b than a), `within noise`, `equal` (no pair differs),
    or `too few seeds` (even if all agreed, they could not lie outside).
    """

    figure: str
    seeds: int
    difference: float  # median over seeds
    p: float  # corrected
    verdict: str
    points: tuple[At, ...]

    @property
    def outside(self) -> bool:
        return self.verdict in ("higher", "lower")


def _at(point: str, pairs: list[tuple[float, float]]) -> At:
    differences = [b - a for a, b in pairs]
    return At(
        point, len(pairs), median(a for a, _ in pairs), median(b for _, b in pairs), median(differences),
        min(differences), max(differences))


def paired(a: Iterable[dict], b: Iterable[dict], names: Iterable[str]) -> list[Compared]:
    """Records of equal point and seed side by side, figure by figure. The caller sees to it that each has
    one partner at most."""
    others = {(record["point"], record["seed"]): record for record in b}
    values: dict[str, dict[tuple[str, int], tuple[float, float]]] = {}
    names = list(names)
    for record in a:
        place = record["point"], record["seed"]
        if place in others:
            mine, its = flat(record["figures"], names), flat(others[place]["figures"], names)
            for figure in mine.keys() & its.keys():
                values.setdefault(figure, {})[place] = mine[figure], its[figure]
    order = {name: place for place, name in enumerate(names)}
    figures = sorted(values, key=lambda figure: (order[figure.split(".")[0]], figure))
    by_seed = [
        [median(its - mine for mine, its in pairs) for pairs in _grouped(values[figure], 1).values()]
        for figure in figures]
    ps = holm([sign_test(differences) for differences in by_seed])
    return [
        Compared(
            figure, len(differences), median(differences), p,
            _verdict(differences, p, len(figures), all(a == b for a, b in values[figure].values())),
            tuple(_at(point, pairs) for point, pairs in _grouped(values[figure], 0).items()))
        for figure, differences, p in zip(figures, by_seed, ps, strict=True)]


def _grouped(values: dict[tuple, tuple[float, float]], part: int) -> dict:
    """The pairs by one part of their place: 0, the point, or 1, the seed."""
    found: dict = {}
    for place, pair in values.items():
        found.setdefault(place[part], []).append(pair)
    return found


def _verdict(differences: list[float], p: float, figures: int, equal: bool) -> str:
    if equal:
        return "equal"
    if p < SURE:
        return "higher" if median(differences) > 0 else "lower"
    # The least p that so many seeds can have, and what Holm makes of it.
    return "too few seeds" if figures * 2.0 / 2.0**len(differences) >= SURE else "within noise"


def twins(results: Results) -> list[Compared]:
    """What the faults of a result did: b is the run with them, a the same without. Empty without twins."""
    without = [record for record in results.records if not record["faulted"]]
    return paired(
        without, [record for record in results.records if record["faulted"]], results.state["figures"])


def compare(a: Results, b: Results) -> tuple[list[Compared], int]:
    """Two results by point, faults and seed, over the figures of `a`; and how many runs have no partner."""
    def faulted(results: Results) -> list[dict]:
        return [record for record in results.records if record["faulted"]]

    alone = {key(record) for record in a.records} ^ {key(record) for record in b.records}
    return paired(faulted(a), faulted(b), a.state["figures"]), len(alone)


def differing(a: Results, b: Results) -> dict[str, list]:
    """Settings that differ between runs of the same place, with the pairs of values that were seen."""
    others = {key(record): record for record in b.records}
    found: dict[str, list] = {}
    for record in a.records:
        other = others.get(key(record))
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
