"""The commands: play an experiment, and set two results side by side."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict
from pathlib import Path

import click

from scale.report import format_table

from . import noise, page, plan, results
from .runner import DEFAULT_PROCESSES, MAX_PROCESSES, run_all

BAD_INPUT = 2  # exit codes
FAILED = 1
INTERRUPTED = 130  # as shells have it: 128 and SIGINT
RESULTS = Path("results")


def _tell(text: str) -> None:
    click.echo(text, err=True)


def _refuse(told: object) -> None:
    _tell(f"error: {told}")
    sys.exit(BAD_INPUT)


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    help="Folder for the results, new or empty.  [default: results/ and the file's name]",
)
@click.option(
    "--processes",
    type=click.IntRange(1, MAX_PROCESSES),
    default=DEFAULT_PROCESSES,
    show_default=True,
    help="Runs side by side.",
)
def experiment(file: Path, out: Path | None, processes: int) -> None:
    """Play the experiment that FILE (TOML) tells of.

    The folder gets the file, a record a run (records.jsonl) and report.html. An interrupt ends the runs in
    work; what has ended is kept, and marked as partial. Exit code 0: all runs ended; 1: some failed; 2: the
    file or the folder can't be used, nothing was run; 130: interrupted.
    """
    try:
        found = plan.read(file)
    except plan.InvalidInput as error:
        _refuse(error)
    folder = out or RESULTS / file.stem
    try:
        writer = results.ResultsWriter(folder, found)
    except OSError as error:
        _refuse(f"{folder}: {error.strerror}; name another one with --out")
    whole = run_all(found, writer, processes, _tell)
    kept = results.read(folder)
    click.echo(page.write(kept))
    if not whole:
        sys.exit(INTERRUPTED)
    if kept.state["partial"]:
        sys.exit(FAILED)


@click.command()
@click.argument("a", type=click.Path(path_type=Path))
@click.argument("b", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="JSON in place of the table.")
def compare(a: Path, b: Path, as_json: bool) -> None:
    """Set the results of folders A and B side by side, paired by point of the sweep and seed.

    Differences are B less A, over the figures that A's experiment compares. Outside the noise (higher or
    lower): two-sided exact sign test over the seeds, corrected for the number of figures by Holm, p under
    0.05. That takes 6 seeds or more; with 6 figures 8.
    """
    try:
        first, second = results.read(a), results.read(b)
    except plan.InvalidInput as error:
        _refuse(error)
    found, alone = noise.compare(first, second)
    if not found:
        _refuse(f"{a} and {b}: no run of one has the point and seed of one of the other")
    partial = [str(r.folder) for r in (first, second) if r.state["partial"]]
    settings = noise.differing_settings(first, second)
    if as_json:
        click.echo(
            json.dumps(
                {
                    "a": str(a),
                    "b": str(b),
                    "test": noise.TEST_DESCRIPTION,
                    "partial": partial,
                    "without_partner": alone,
                    "settings": settings,
                    "figures": [asdict(figure) for figure in found],
                },
                indent=1,
            )
        )
        return
    for folder in partial:
        _tell(f"{folder} is partial")
    if alone:
        _tell(f"{alone} runs have no partner and are left out")
    for name, pairs in settings.items():
        _tell(f"{name} differs: {'; '.join(f'{mine} and {its}' for mine, its in pairs)}")
    rows = [
        (
            "" if place else figure.figure,
            at.point,
            at.a,
            at.b,
            at.median,
            f"[{at.least:.4g}, {at.most:.4g}]",
            at.seeds,
            f"{at.p:.3g}",
            at.verdict,
        )
        for figure in found
        for place, at in enumerate(figure.differences)
    ]
    head = ("figure", "point", "A", "B", "B - A, median", "least and most", "seeds", "p", "verdict")
    click.echo(format_table(head, rows))
    click.echo(f"Higher or lower: {noise.TEST_DESCRIPTION}.")
