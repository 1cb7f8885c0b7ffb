"""The page of a result: one HTML file that opens without a network."""

from __future__ import annotations

from pathlib import Path
from statistics import median

from hdrh.histogram import HdrHistogram
from jinja2 import Environment, PackageLoader, StrictUndefined

from scale.record import ratio

from . import noise
from .chart import COLOURS, MUTED_COLOUR, Chart, Line
from .play import HISTOGRAMS, PERCENTILES, percentiles
from .results import PAGE_FILE, Results

COLUMNS = ("asked", "served", "tries", "calls")  # of a record's seconds, that are drawn
MOST_POINTS = 24  # of the sweep, that are drawn; the tables have all


def number(value: float) -> str:
    """Four significant digits, and no more than that."""
    return f"{value:,.0f}" if abs(value) >= 1000.0 else f"{value:.4g}"


def _table(results: Results, records: list[dict]) -> list[dict]:
    """A row a figure: its median, least and most over seeds at each point; None where there is none."""
    points: dict[str, list[dict[str, float]]] = {point: [] for point in results.points}
    for record in records:
        points[record["point"]].append(noise.flatten(record["figures"]))
    names = dict.fromkeys(name for found in points.values() for figures in found for name in figures)
    chosen = set(results.state["figures"])
    rows = []
    for name in names:
        cells = []
        for found in points.values():
            values = [figures[name] for figures in found if name in figures]
            cells.append((median(values), min(values), max(values)) if values else None)
        rows.append({"figure": name, "cells": cells, "chosen": name.split(".")[0] in chosen})
    return sorted(rows, key=lambda row: not row["chosen"])


def _latency(name: str, points: dict[str, list[dict]]) -> Chart:
    lines = []
    for place, (point, records) in enumerate(points.items()):
        whole = None
        for record in records:
            found = HdrHistogram.decode(record["histograms"][name])
            if whole is None:
                whole = found
            else:
                whole.add(found)
        if whole is not None and whole.get_total_count():
            lines.append(
                Line(
                    point,
                    list(enumerate(percentiles(whole).values())),
                    COLOURS[place % len(COLOURS)],
                    place >= len(COLOURS),
                )
            )
    return Chart(
        f"{HISTOGRAMS[name]}, all seeds",
        "percentile",
        "ms",
        lines,
        names=[f"{p:g}" for p in PERCENTILES],
        log=True,
    )


def _rows(records: list[dict]) -> list[dict[str, float]]:
    """Seconds of the day, their columns summed over the records. What comes after the day is left out."""
    if not records:
        return []
    count = int(records[0]["options"]["seconds"])
    whole = [dict.fromkeys(COLUMNS, 0.0) for _ in range(count)]
    for record in records:
        for column in COLUMNS:
            for second, value in zip(whole, record["seconds"][column], strict=False):
                second[column] += value
    return whole


def _over_time(point: str, what: str, records: list[dict], without: list[dict]) -> Chart:
    """One column over time: with faults, and pale without them; `served` as a share, others a second."""

    def line(label: str, chosen: list[dict], colour: str, dashed: bool) -> Line:
        values = [
            ratio(row["served"], row["asked"]) if what == "served" else row[what] / len(chosen)
            for row in _rows(chosen)
        ]
        return Line(label, [(second + 0.5, value) for second, value in enumerate(values)], colour, dashed)

    lines = [line("without faults", without, MUTED_COLOUR, True)] if without else []
    if records:
        lines.append(line("with faults", records, COLOURS[0], False))
    bands = [(f["at"], f["at"] + f["length"]) for f in records[0]["faults"]] if records else []
    label = "served share of the worth" if what == "served" else f"{what} a second"
    return Chart(point, "s", label, lines, bands, y_max=1.0 if what == "served" else 0.0)


def render(results: Results) -> str:
    """The page's HTML."""
    faulted: dict[str, list[dict]] = {point: [] for point in results.points}
    without: dict[str, list[dict]] = {point: [] for point in results.points}
    for record in results.records:
        (faulted if record["faulted"] else without)[record["point"]].append(record)
    drawn = {point: faulted[point] for point in list(faulted)[:MOST_POINTS]}
    environment = Environment(
        loader=PackageLoader("experiments", "."),
        autoescape=True,
        undefined=StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    environment.filters["number"] = number
    return environment.get_template("page.html").render(
        state=results.state,
        points=results.points,
        seeds=sorted({record["seed"] for record in results.records}),
        faults=sorted({fault["name"] for record in results.records for fault in record["faults"]}),
        rows=_table(results, [record for records in faulted.values() for record in records]),
        costs=noise.fault_effects(results),
        test=noise.TEST_DESCRIPTION,
        broken=[record for record in results.records if record["figures"]["broken"]],
        latency=[_latency(name, drawn) for name in HISTOGRAMS],
        times=[
            (title, [_over_time(point, what, records, without[point]) for point, records in drawn.items()])
            for title, what in (
                ("Served worth over time", "served"),
                ("Load over time", "tries"),
                ("Counter calls over time", "calls"),
            )
        ],
        left_out=len(faulted) - len(drawn),
    )


def write(results: Results) -> Path:
    path = results.folder / PAGE_FILE
    path.write_text(render(results), encoding="utf-8")
    return path
