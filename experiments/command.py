"""The commands `experiment` (runs an experiment) and `compare` (compares two results)."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict
from pathlib import Path

import click

from scale.report import format_table

from . import noise, page, plan, results
from .runner import DEFAULT_PROCESSES, MAX_PROCESSES, run_all

# Exit codes.
EXIT_BAD_INPUT = 2
EXIT_FAILED = 1
EXIT_INTERRUPTED = 130  # 128 plus the number of SIGINT, as shells use it
RESULTS_FOLDER = Path("results")


def _print_message(text: str) -> None:
    click.echo(text, err=True)


def _exit_bad_input(message: object) -> None:
    _print_message(f"error: {message}")
    sys.exit(EXIT_BAD_INPUT)


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
    help="Number of runs in parallel.",
)
def experiment(file: Path, out: Path | None, processes: int) -> None:
    """Run the experiment that is described in FILE (TOML).

    The results folder contains a copy of the file, one record per run (records.jsonl) and report.html. An
    interrupt ends the current runs; the finished ones are kept, and the results are marked as partial. Exit
    code 0: all runs finished; 1: some failed; 2: the file or the folder cannot be used, nothing was run; 130:
    interrupted.
    """
    try:
        definition = plan.read(file)
    except plan.InvalidInput as error:
        _exit_bad_input(error)
    folder = out or RESULTS_FOLDER / file.stem
    try:
        writer = results.ResultsWriter(folder, definition)
    except OSError as error:
        _exit_bad_input(f"{folder}: {error.strerror}; choose another folder with --out")
    completed = run_all(definition, writer, processes, _print_message)
    written = results.read(folder)
    click.echo(page.write(written))
    if not completed:
        sys.exit(EXIT_INTERRUPTED)
    if written.state["partial"]:
        sys.exit(EXIT_FAILED)


@click.command()
@click.argument("a", type=click.Path(path_type=Path))
@click.argument("b", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
def compare(a: Path, b: Path, as_json: bool) -> None:
    """Compare the results in folders A and B, paired by point of the sweep and seed.

    Differences are B minus A, for the figures that the experiment of A compares. A difference is outside the
    noise (higher or lower) if p is below 0.05 in a two-sided exact sign test over the seeds, with Holm's
    correction for the number of figures. That needs at least 6 seeds, or 8 with 6 figures.
    """
    try:
        first, second = results.read(a), results.read(b)
    except plan.InvalidInput as error:
        _exit_bad_input(error)
    comparisons, unpaired = noise.compare(first, second)
    if not comparisons:
        _exit_bad_input(f"{a} and {b}: no two runs have the same point and seed")
    partial = [str(result.folder) for result in (first, second) if result.state["partial"]]
    settings = noise.differing_settings(first, second)
    if as_json:
        click.echo(
            json.dumps(
                {
                    "a": str(a),
                    "b": str(b),
                    "test": noise.TEST_DESCRIPTION,
                    "partial": partial,
                    "without_partner": unpaired,
                    "settings": settings,
                    "figures": [asdict(figure) for figure in comparisons],
                },
                indent=1,
            )
        )
        return
    for folder in partial:
        _print_message(f"warning: the results in {folder} are partial")
    if unpaired:
        _print_message(f"warning: {unpaired} runs without a counterpart are left out")
    for name, pairs in settings.items():
        _print_message(
            f"{name} differs: {'; '.join(f'{value_a} and {value_b}' for value_a, value_b in pairs)}"
        )
    rows = [
        (
            "" if index else figure.figure,
            difference.point,
            difference.a,
            difference.b,
            difference.median,
            f"[{difference.least:.4g}, {difference.most:.4g}]",
            difference.seeds,
            f"{difference.p:.3g}",
            difference.verdict,
        )
        for figure in comparisons
        for index, difference in enumerate(figure.differences)
    ]
    header = ("figure", "point", "A", "B", "B - A, median", "least and most", "seeds", "p", "verdict")
    click.echo(format_table(header, rows))
    click.echo(f"Higher or lower: {noise.TEST_DESCRIPTION}.")
