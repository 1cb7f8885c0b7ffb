"""Differences between two sets of paired figures, with a test whether they are outside the noise."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import comb
from statistics import median

from .results import Results, record_key

SIGNIFICANCE_LEVEL = 0.05  # a difference is outside the noise if its corrected p is below this
TEST_DESCRIPTION = (
    "two-sided exact sign test over the seeds, p corrected by Holm for the number of figures at that point, "
    "under 0.05"
)
ALL_POINTS = "all points"
Pairs = dict[str, dict[int, list[tuple[float, float]]]]  # figure -> seed -> pairs of values of a and b


def flatten(figures: dict, names: Iterable[str] | None = None) -> dict[str, float]:
    """Returns the numbers of the named figures, or of all; entries of a table are named `table.entry`."""
    numbers: dict[str, float] = {}
    for name in figures if names is None else names:
        value = figures.get(name)
        if isinstance(value, dict):
            numbers.update({f"{name}.{part}": float(number) for part, number in value.items()})
        elif value is not None:
            numbers[name] = float(value)
    return numbers


def sign_test(differences: Iterable[float]) -> float:
    """Returns the two-sided p of the exact sign test; differences of 0 are left out."""
    above = below = 0
    for difference in differences:
        above += difference > 0
        below += difference < 0
    count = above + below
    return min(1.0, 2.0 * sum(comb(count, k) for k in range(min(above, below) + 1)) / 2.0**count)


def holm_correction(p_values: list[float]) -> list[float]:
    """Returns the p values with Holm's step-down correction for multiple tests."""
    corrected, minimum = [0.0] * len(p_values), 0.0
    for rank, index in enumerate(sorted(range(len(p_values)), key=p_values.__getitem__)):
        minimum = corrected[index] = max(minimum, min(1.0, (len(p_values) - rank) * p_values[index]))
    return corrected


@dataclass(frozen=True, slots=True)
class Difference:
    """The differences b - a over the seeds at one point of the sweep or over `ALL_POINTS`.

    Over all points, each seed counts once, with the median of its differences, as the runs of one seed are
    not independent.

    `verdict` is `higher` or `lower` (b is outside the noise), `within noise`, `equal` (no pair differs) or
    `too few seeds` (no result of the test could be outside the noise).
    """

    point: str
    seeds: int
    a: float  # median over all pairs
    b: float
    median: float
    least: float
    most: float
    p: float  # corrected for the number of figures at this point
    verdict: str

    @property
    def outside(self) -> bool:
        """Whether the difference is outside the noise."""
        return self.verdict in ("higher", "lower")


@dataclass(frozen=True, slots=True)
class FigureComparison:
    """The differences of one figure at each point, and over all points if there are several."""

    figure: str
    differences: tuple[Difference, ...]


def compare_records(a: Iterable[dict], b: Iterable[dict], names: Iterable[str]) -> list[FigureComparison]:
    """Compares the records of equal point and seed for the named figures.

    No two records of `b` may have the same point and seed.
    """
    others = {(record["point"], record["seed"]): record for record in b}
    pairs: dict[str, Pairs] = {}  # by point, in the order of the sweep
    names = list(names)
    for record in a:
        other = others.get((record["point"], record["seed"]))
        if other is not None:
            values_a, values_b = flatten(record["figures"], names), flatten(other["figures"], names)
            for figure in values_a.keys() & values_b.keys():
                by_seed = pairs.setdefault(record["point"], {}).setdefault(figure, {})
                by_seed.setdefault(record["seed"], []).append((values_a[figure], values_b[figure]))
    if len(pairs) > 1:
        over_all = pairs[ALL_POINTS] = {}
        for point in list(pairs)[:-1]:
            for figure, seeds in pairs[point].items():
                for seed, values in seeds.items():
                    over_all.setdefault(figure, {}).setdefault(seed, []).extend(values)
    order = {name: index for index, name in enumerate(names)}
    differences: dict[str, list[Difference]] = {}
    for point, figures in pairs.items():
        for figure, difference in _compare_point(point, figures):
            differences.setdefault(figure, []).append(difference)
    return [
        FigureComparison(figure, tuple(differences[figure]))
        for figure in sorted(differences, key=lambda figure: (order[figure.split(".")[0]], figure))
    ]


def _compare_point(point: str, figures: Pairs) -> Iterator[tuple[str, Difference]]:
    """Yields each figure at one point with its difference."""
    by_seed = [[median(b - a for a, b in values) for values in seeds.values()] for seeds in figures.values()]
    p_values = holm_correction([sign_test(differences) for differences in by_seed])
    for (figure, seeds), differences, p in zip(figures.items(), by_seed, p_values, strict=True):
        values = [pair for pairs in seeds.values() for pair in pairs]
        if all(a == b for a, b in values):
            verdict = "equal"
        elif p < SIGNIFICANCE_LEVEL:
            verdict = "higher" if median(differences) > 0 else "lower"
        # The smallest p possible with this number of seeds, corrected for the number of figures.
        elif len(figures) * 2.0 / 2.0 ** len(differences) >= SIGNIFICANCE_LEVEL:
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


def fault_effects(results: Results) -> list[FigureComparison]:
    """Compares runs without (a) and with (b) faults; empty if the experiment has no runs without faults."""
    without = [record for record in results.records if not record["faulted"]]
    return compare_records(
        without, [record for record in results.records if record["faulted"]], results.state["figures"]
    )


def compare(a: Results, b: Results) -> tuple[list[FigureComparison], int]:
    """Compares two results, paired by point and seed, for the figures that the experiment of `a` compares.

    Returns the comparisons and the number of runs of either result without a counterpart in the other.
    """

    def faulted(results: Results) -> list[dict]:
        return [record for record in results.records if record["faulted"]]

    unpaired = {record_key(record) for record in a.records} ^ {record_key(record) for record in b.records}
    return compare_records(faulted(a), faulted(b), a.state["figures"]), len(unpaired)


def differing_settings(a: Results, b: Results) -> dict[str, list]:
    """Returns the settings that differ between paired runs, each with the different pairs of values."""
    others = {record_key(record): record for record in b.records}
    differing: dict[str, list] = {}
    for record in a.records:
        other = others.get(record_key(record))
        if other is None:
            continue
        for part in ("options", "module", "faults"):
            settings_a, settings_b = record[part], other[part]
            if part == "faults":
                settings_a, settings_b = {part: settings_a}, {part: settings_b}
            for name in settings_a.keys() | settings_b.keys():
                pair = [settings_a.get(name), settings_b.get(name)]
                if pair[0] != pair[1] and pair not in differing.setdefault(name, []):
                    differing[name].append(pair)
    return {name: pairs for name, pairs in sorted(differing.items()) if pairs}
