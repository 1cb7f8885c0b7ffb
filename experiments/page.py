"""The page of a result: one HTML file without external resources."""

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

DRAWN_COLUMNS = ("asked", "served", "tries", "calls")  # columns of a record's seconds that the charts use
MAX_DRAWN_POINTS = 24  # points of the sweep with charts; the tables have all points


def number(value: float) -> str:
    """Formats a number with four significant digits."""
    return f"{value:,.0f}" if abs(value) >= 1000.0 else f"{value:.4g}"


def _figure_rows(results: Results, records: list[dict]) -> list[dict]:
    """Returns a row per figure: median, minimum and maximum over the seeds at each point, or None.

    Rows of figures that the experiment compares come first.
    """
    points: dict[str, list[dict[str, float]]] = {point: [] for point in results.points}
    for record in records:
        points[record["point"]].append(noise.flatten(record["figures"]))
    names = dict.fromkeys(
        name for point_figures in points.values() for figures in point_figures for name in figures
    )
    chosen = set(results.state["figures"])
    rows = []
    for name in names:
        cells = []
        for point_figures in points.values():
            values = [figures[name] for figures in point_figures if name in figures]
            cells.append((median(values), min(values), max(values)) if values else None)
        rows.append({"figure": name, "cells": cells, "chosen": name.split(".")[0] in chosen})
    return sorted(rows, key=lambda row: not row["chosen"])


def _latency_chart(name: str, points: dict[str, list[dict]]) -> Chart:
    """Returns a chart of the percentiles of a histogram at each point, over all seeds."""
    lines = []
    for index, (point, records) in enumerate(points.items()):
        total = None
        for record in records:
            histogram = HdrHistogram.decode(record["histograms"][name])
            if total is None:
                total = histogram
            else:
                total.add(histogram)
        if total is not None and total.get_total_count():
            lines.append(
                Line(
                    point,
                    list(enumerate(percentiles(total).values())),
                    COLOURS[index % len(COLOURS)],
                    index >= len(COLOURS),
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


def _sum_seconds(records: list[dict]) -> list[dict[str, float]]:
    """Returns the columns of each second, summed over the records; seconds after the end of arrivals are left
    out."""
    if not records:
        return []
    count = int(records[0]["options"]["seconds"])
    total = [dict.fromkeys(DRAWN_COLUMNS, 0.0) for _ in range(count)]
    for record in records:
        for column in DRAWN_COLUMNS:
            for second, value in zip(total, record["seconds"][column], strict=False):
                second[column] += value
    return total


def _time_chart(point: str, column_name: str, records: list[dict], without: list[dict]) -> Chart:
    """Returns a chart of one column over time, with and without faults.

    `served` is shown as a share of the worth, other columns as a rate per second.
    """

    def line(label: str, chosen: list[dict], colour: str, dashed: bool) -> Line:
        values = [
            ratio(row["served"], row["asked"]) if column_name == "served" else row[column_name] / len(chosen)
            for row in _sum_seconds(chosen)
        ]
        return Line(label, [(second + 0.5, value) for second, value in enumerate(values)], colour, dashed)

    lines = [line("without faults", without, MUTED_COLOUR, True)] if without else []
    if records:
        lines.append(line("with faults", records, COLOURS[0], False))
    bands = (
        [(fault["at"], fault["at"] + fault["length"]) for fault in records[0]["faults"]] if records else []
    )
    label = "served share of the worth" if column_name == "served" else f"{column_name} per second"
    return Chart(point, "s", label, lines, bands, y_max=1.0 if column_name == "served" else 0.0)


def render(results: Results) -> str:
    """Returns the HTML of the page."""
    faulted: dict[str, list[dict]] = {point: [] for point in results.points}
    without: dict[str, list[dict]] = {point: [] for point in results.points}
    for record in results.records:
        (faulted if record["faulted"] else without)[record["point"]].append(record)
    drawn = {point: faulted[point] for point in list(faulted)[:MAX_DRAWN_POINTS]}
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
        rows=_figure_rows(results, [record for records in faulted.values() for record in records]),
        effects=noise.fault_effects(results),
        test=noise.TEST_DESCRIPTION,
        broken=[record for record in results.records if record["figures"]["broken"]],
        latency=[_latency_chart(name, drawn) for name in HISTOGRAMS],
        times=[
            (
                title,
                [
                    _time_chart(point, column_name, records, without[point])
                    for point, records in drawn.items()
                ],
            )
            for title, column_name in (
                ("Served worth over time", "served"),
                ("Load over time", "tries"),
                ("Counter calls over time", "calls"),
            )
        ],
        left_out=len(faulted) - len(drawn),
    )


def write(results: Results) -> Path:
    """Writes the page into the results folder and returns its path."""
    path = results.folder / PAGE_FILE
    path.write_text(render(results), encoding="utf-8")
    return path
