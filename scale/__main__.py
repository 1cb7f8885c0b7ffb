"""The command line of the scale rig."""

from __future__ import annotations

import json
import time
from dataclasses import asdict, astuple
from pathlib import Path

import click

from . import measurements, report
from .faults import FAULTS
from .figure import Figure
from .world import Options, play

DEFAULTS = Options()
REAL = "real"  # the name of the real tier's figures


class SpreadParam(click.ParamType):
    """`16`, or `6-20` for customers whose sets are of unlike size."""

    name = "N or N-M"

    def convert(self, value, param, ctx) -> tuple[int, int]:
        if isinstance(value, tuple):
            return value
        low, _, high = str(value).partition("-")
        try:
            found = int(low), int(high or low)
        except ValueError:
            self.fail(f"{value!r} is neither a number nor a range like 6-20", param, ctx)
        if not 1 <= found[0] <= found[1]:
            self.fail(f"{value!r}: from 1 on, the smaller one first", param, ctx)
        return found


def print_progress(text: str) -> None:
    """Progress, on standard error."""
    click.echo(text, err=True)


def write_json(path: str | None, found: object) -> None:
    if path:
        Path(path).write_text(json.dumps(found, indent=1) + "\n", encoding="utf-8")


@click.group()
def main() -> None:
    """Measure the gateway at sizes that no bench day has: a hollow fleet in virtual time, a few real gateways
    on loopback, how each figure grows with its size, and what faults do."""


@main.command()
@click.option("--gateways", type=click.IntRange(1, 4000), default=DEFAULTS.gateways, show_default=True)
@click.option("--backends", type=click.IntRange(1, 120_000), default=DEFAULTS.backends, show_default=True)
@click.option(
    "--cores", type=click.IntRange(1, 256), default=DEFAULTS.cores, show_default=True, help="Of a backend."
)
@click.option(
    "--customers",
    type=click.IntRange(0, 200_000),
    default=DEFAULTS.customers,
    show_default=True,
    help="0: as many as the rate and the plans make.",
)
@click.option(
    "--rate",
    type=click.FloatRange(0),
    default=DEFAULTS.rate,
    show_default=True,
    help="First tries a second inside quotas; 0: as --load says.",
)
@click.option(
    "--load",
    type=click.FloatRange(0.001, 2),
    default=DEFAULTS.load,
    show_default=True,
    help="Asked inside quotas, as a share of what the backends can do.",
)
@click.option(
    "--spread",
    type=SpreadParam(),
    default=DEFAULTS.spread,
    show_default="6-20",
    help="Gateways in a customer's set.",
)
@click.option("--seconds", type=click.FloatRange(0.1, 3600), default=DEFAULTS.seconds, show_default=True)
@click.option(
    "--warm-up",
    type=click.FloatRange(0),
    default=DEFAULTS.warm_up,
    show_default=True,
    help="Seconds of these at the start of which nothing but broken rules is kept.",
)
@click.option("--seed", type=click.IntRange(0), default=DEFAULTS.seed, show_default=True)
@click.option("--zones", type=click.IntRange(1, 64), default=DEFAULTS.zones, show_default=True)
@click.option("--regions", type=click.IntRange(1, 16), default=DEFAULTS.regions, show_default=True)
@click.option(
    "--mix",
    type=click.Choice(["calm", "table"]),
    default=DEFAULTS.mix,
    show_default=True,
    help="calm: a day's plans and habits. table: 1.36 requests a second at a quarter of the quota.",
)
@click.option(
    "--counter-per-try",
    type=click.FloatRange(0.01),
    default=DEFAULTS.counter_per_try,
    show_default=True,
    help="Calls that the counter bears for each first try inside quotas.",
)
@click.option(
    "--counter-parts", type=click.IntRange(1, 64), default=DEFAULTS.counter_parts, show_default=True
)
@click.option(
    "--leave",
    type=click.FloatRange(0, 1),
    default=DEFAULTS.leave,
    show_default=True,
    help="Share of the tries whose client goes within 0.2 s.",
)
@click.option(
    "--fleet",
    type=click.IntRange(0, 4000),
    default=DEFAULTS.fleet,
    show_default=True,
    help="Gateways that the settings tell of, where only a part is played; 0: as many as are.",
)
@click.option(
    "--fault",
    "faults",
    type=click.Choice(list(FAULTS)),
    multiple=True,
    help="What goes wrong; may be given more than once.",
)
@click.option(
    "--fault-at",
    type=click.FloatRange(0),
    default=DEFAULTS.fault_at,
    show_default=True,
    help="Seconds from the start.",
)
@click.option(
    "--fault-for", type=click.FloatRange(0), default=DEFAULTS.fault_for, show_default=True, help="Seconds."
)
@click.option("--json", "file", type=click.Path(dir_okay=False, writable=True), help="Keep the record there.")
def hollow(file: str | None, **options) -> None:
    """One play of a hollow fleet, and its record."""
    if options["regions"] > options["zones"]:
        raise click.BadParameter("there are no more regions than zones", param_hint="--regions")
    if options["warm_up"] >= options["seconds"]:
        raise click.BadParameter("the play is over by then", param_hint="--warm-up")
    began = time.monotonic()
    found = play(Options(**options))
    print_progress(f"played {options['seconds']:g} s in {time.monotonic() - began:.1f} s")
    click.echo(report.format_pairs(found))
    write_json(file, {"options": options, "figures": found})


def real_tier(short: bool) -> list[Figure]:
    """The figures of real gateways on loopback. They need the gateway's own requirements too."""
    try:
        from . import real
    except ImportError as error:
        print_progress(f"no figures of the real tier: {error}")
        return []
    return real.measure_figures(short, print_progress)


@main.command()
@click.option("--short", is_flag=True, help="Every figure at small sizes, in seconds.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option(
    "--only",
    type=click.Choice([REAL, *(series.name for series in measurements.SERIES)]),
    multiple=True,
    help="Figures of that name alone; may be given more than once.",
)
@click.option(
    "--processes",
    type=click.IntRange(1, 64),
    default=measurements.DEFAULT_PROCESSES,
    show_default=True,
    help="Plays side by side.",
)
@click.option("--json", "file", type=click.Path(dir_okay=False, writable=True), help="Keep them there.")
def figures(short: bool, seed: int, only: tuple[str, ...], processes: int, file: str | None) -> None:
    """Every figure at several sizes, with how it grows: the slope is the power of the size (0 is flat, 1
    grows as the size does), the residual what that leaves, in natural logarithms."""
    began = time.monotonic()
    found = real_tier(short) if not only or REAL in only else []
    chosen = [series for series in measurements.SERIES if not only or series.name in only]
    found += measurements.measure_figures(chosen, seed, short, processes, print_progress)
    print_progress(f"{len(found)} figures in {time.monotonic() - began:.0f} s")
    click.echo(report.format_slopes(found))
    write_json(file, [figure.to_dict() for figure in found])


@main.command()
@click.option("--gateways", type=click.IntRange(10, 4000), default=120, show_default=True)
@click.option("--backends", type=click.IntRange(10, 120_000), default=120, show_default=True)
@click.option("--seconds", type=click.FloatRange(16, 3600), default=30.0, show_default=True)
@click.option(
    "--fault-for",
    type=click.FloatRange(2),
    default=DEFAULTS.fault_for,
    show_default=True,
    help="Seconds; each begins 6 s after the start.",
)
@click.option(
    "--counter-per-try",
    type=click.FloatRange(0.01),
    default=DEFAULTS.counter_per_try,
    show_default=True,
    help="Calls that the counter bears for each first try inside quotas.",
)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--only", type=click.Choice(list(FAULTS)), multiple=True, help="May be given more than once.")
@click.option(
    "--processes",
    type=click.IntRange(1, 64),
    default=measurements.DEFAULT_PROCESSES,
    show_default=True,
    help="Plays side by side.",
)
@click.option("--json", "file", type=click.Path(dir_okay=False, writable=True), help="Keep them there.")
def faults(only: tuple[str, ...], processes: int, file: str | None, **options) -> None:
    """Each fault on a calm day over 5 regions with 16 zones, beside the same day without it."""
    if options["seconds"] < DEFAULTS.fault_at + options["fault_for"] + measurements.SMOOTHING_S:
        raise click.BadParameter("the day ends before the fault is over", param_hint="--seconds")
    day = Options(zones=16, regions=5, spread=(8, 30), **options)
    found = measurements.measure_faults(only or FAULTS, day, processes, print_progress)
    click.echo(
        report.format_table(
            (
                "fault",
                "served before",
                "during",
                "worst 2 s",
                "lower for, s",
                "beyond during",
                "without it",
                "lost",
                "cold fallen",
                "broken",
            ),
            [(*astuple(harm)[:-1], harm.broken) for harm in found],
        )
    )
    write_json(file, [asdict(harm) for harm in found])


if __name__ == "__main__":
    main(prog_name="python -m scale")
