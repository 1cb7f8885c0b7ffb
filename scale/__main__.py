"""The command line of the scale test rig (`python -m scale`)."""

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
REAL_TIER = "real"  # value of --only that selects the figures of the real tier


class SpreadParam(click.ParamType):
    """A command-line parameter `N` or `N-M`: the smallest and the largest size of a customer's set of
    gateways.

    Converts to a pair of integers; `16` is the same as `16-16`.
    """

    name = "N or N-M"

    def convert(self, value, param, ctx) -> tuple[int, int]:
        if isinstance(value, tuple):
            return value
        low, _, high = str(value).partition("-")
        try:
            result = int(low), int(high or low)
        except ValueError:
            self.fail(f"{value!r} is neither a whole number nor a range such as 6-20", param, ctx)
        if not 1 <= result[0] <= result[1]:
            self.fail(
                f"{value!r}: both numbers must be at least 1 and the smaller one comes first", param, ctx
            )
        return result


def print_progress(text: str) -> None:
    """Prints a progress line to standard error."""
    click.echo(text, err=True)


def write_json(path: str | None, result: object) -> None:
    """Writes a value to `path` as indented JSON; does nothing if no path is given."""
    if path:
        Path(path).write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")


@click.group()
def main() -> None:
    """Measure the gateway with large fleets: hollow gateways (the decision module alone) in virtual time, a
    few real gateways on loopback, how each figure grows with its size, and the effects of faults."""


@main.command()
@click.option("--gateways", type=click.IntRange(1, 4000), default=DEFAULTS.gateways, show_default=True)
@click.option("--backends", type=click.IntRange(1, 120_000), default=DEFAULTS.backends, show_default=True)
@click.option(
    "--cores",
    type=click.IntRange(1, 256),
    default=DEFAULTS.cores,
    show_default=True,
    help="Cores of each backend.",
)
@click.option(
    "--customers",
    type=click.IntRange(0, 200_000),
    default=DEFAULTS.customers,
    show_default=True,
    help="Number of customers; 0: derived from the rate and the plans.",
)
@click.option(
    "--rate",
    type=click.FloatRange(0),
    default=DEFAULTS.rate,
    show_default=True,
    help="First tries per second within quotas; 0: derived from --load.",
)
@click.option(
    "--load",
    type=click.FloatRange(0.001, 2),
    default=DEFAULTS.load,
    show_default=True,
    help="Demand within quotas, as a share of the capacity of the backends.",
)
@click.option(
    "--spread",
    type=SpreadParam(),
    default=DEFAULTS.spread,
    show_default="6-20",
    help="Number of gateways in a customer's set.",
)
@click.option("--seconds", type=click.FloatRange(0.1, 3600), default=DEFAULTS.seconds, show_default=True)
@click.option(
    "--warm-up",
    type=click.FloatRange(0),
    default=DEFAULTS.warm_up,
    show_default=True,
    help="Seconds at the start for which only rule violations are recorded.",
)
@click.option("--seed", type=click.IntRange(0), default=DEFAULTS.seed, show_default=True)
@click.option("--zones", type=click.IntRange(1, 64), default=DEFAULTS.zones, show_default=True)
@click.option("--regions", type=click.IntRange(1, 16), default=DEFAULTS.regions, show_default=True)
@click.option(
    "--mix",
    type=click.Choice(["calm", "table"]),
    default=DEFAULTS.mix,
    show_default=True,
    help="calm: three plans and varied customers. table: each customer sends 1.36 requests per second, "
    "a quarter of its quota.",
)
@click.option(
    "--counter-per-try",
    type=click.FloatRange(0.01),
    default=DEFAULTS.counter_per_try,
    show_default=True,
    help="Capacity of the counter service, in calls per first try within quotas.",
)
@click.option(
    "--counter-parts", type=click.IntRange(1, 64), default=DEFAULTS.counter_parts, show_default=True
)
@click.option(
    "--leave",
    type=click.FloatRange(0, 1),
    default=DEFAULTS.leave,
    show_default=True,
    help="Share of the tries whose client disconnects within 0.2 s.",
)
@click.option(
    "--fleet",
    type=click.IntRange(0, 4000),
    default=DEFAULTS.fleet,
    show_default=True,
    help="Fleet size in the settings if only a part of the fleet is simulated; 0: the simulated number.",
)
@click.option(
    "--fault",
    "faults",
    type=click.Choice(list(FAULTS)),
    multiple=True,
    help="Fault to inject; may be given more than once.",
)
@click.option(
    "--fault-at",
    type=click.FloatRange(0),
    default=DEFAULTS.fault_at,
    show_default=True,
    help="Start of the faults, in seconds from the start.",
)
@click.option(
    "--fault-for",
    type=click.FloatRange(0),
    default=DEFAULTS.fault_for,
    show_default=True,
    help="Duration of the faults, in seconds.",
)
@click.option(
    "--json",
    "json_path",
    type=click.Path(dir_okay=False, writable=True),
    help="File for the record, as JSON.",
)
def hollow(json_path: str | None, **options) -> None:
    """Simulate a fleet of hollow gateways once and print its figures."""
    if options["regions"] > options["zones"]:
        raise click.BadParameter("must not exceed the number of zones", param_hint="--regions")
    if options["warm_up"] >= options["seconds"]:
        raise click.BadParameter("must be shorter than --seconds", param_hint="--warm-up")
    started_s = time.monotonic()
    result = play(Options(**options))
    print_progress(f"simulated {options['seconds']:g} s in {time.monotonic() - started_s:.1f} s")
    click.echo(report.format_pairs(result))
    write_json(json_path, {"options": options, "figures": result})


def real_tier(short: bool) -> list[Figure]:
    """Returns the figures of real gateways on loopback, or none if the gateway's requirements are missing."""
    try:
        from . import real
    except ImportError as error:
        print_progress(f"the real tier is left out: {error}")
        return []
    return real.measure_figures(short, print_progress)


@main.command()
@click.option("--short", is_flag=True, help="Use small sizes and short runs.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option(
    "--only",
    type=click.Choice([REAL_TIER, *(series.name for series in measurements.SERIES)]),
    multiple=True,
    help="Measure only the series of this name; may be given more than once.",
)
@click.option(
    "--processes",
    type=click.IntRange(1, 64),
    default=measurements.DEFAULT_PROCESSES,
    show_default=True,
    help="Number of simulations that run in parallel.",
)
@click.option(
    "--json",
    "json_path",
    type=click.Path(dir_okay=False, writable=True),
    help="File for the figures, as JSON.",
)
def figures(short: bool, seed: int, only: tuple[str, ...], processes: int, json_path: str | None) -> None:
    """Measure every figure at several sizes and fit a power law: the slope is the exponent of the size (0:
    constant, 1: proportional), the residual is the error of the fit in natural logarithms."""
    started_s = time.monotonic()
    result = real_tier(short) if not only or REAL_TIER in only else []
    chosen = [series for series in measurements.SERIES if not only or series.name in only]
    result += measurements.measure_figures(chosen, seed, short, processes, print_progress)
    print_progress(f"{len(result)} figures in {time.monotonic() - started_s:.0f} s")
    click.echo(report.format_slopes(result))
    write_json(json_path, [figure.to_dict() for figure in result])


@main.command()
@click.option("--gateways", type=click.IntRange(10, 4000), default=120, show_default=True)
@click.option("--backends", type=click.IntRange(10, 120_000), default=120, show_default=True)
@click.option("--seconds", type=click.FloatRange(16, 3600), default=30.0, show_default=True)
@click.option(
    "--fault-for",
    type=click.FloatRange(2),
    default=DEFAULTS.fault_for,
    show_default=True,
    help="Duration of each fault, in seconds; each begins 6 s after the start.",
)
@click.option(
    "--counter-per-try",
    type=click.FloatRange(0.01),
    default=DEFAULTS.counter_per_try,
    show_default=True,
    help="Capacity of the counter service, in calls per first try within quotas.",
)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option(
    "--only",
    type=click.Choice(list(FAULTS)),
    multiple=True,
    help="Inject only this fault; may be given more than once.",
)
@click.option(
    "--processes",
    type=click.IntRange(1, 64),
    default=measurements.DEFAULT_PROCESSES,
    show_default=True,
    help="Number of simulations that run in parallel.",
)
@click.option(
    "--json",
    "json_path",
    type=click.Path(dir_okay=False, writable=True),
    help="File for the results, as JSON.",
)
def faults(only: tuple[str, ...], processes: int, json_path: str | None, **options) -> None:
    """Inject each fault into a fleet over 5 regions with 16 zones and compare with the same run without
    it."""
    if options["seconds"] < DEFAULTS.fault_at + options["fault_for"] + measurements.SMOOTHING_S:
        raise click.BadParameter("the run ends before the fault is over", param_hint="--seconds")
    base_options = Options(zones=16, regions=5, spread=(8, 30), **options)
    result = measurements.measure_faults(only or FAULTS, base_options, processes, print_progress)
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
            [(*astuple(fault_effect)[:-1], fault_effect.broken) for fault_effect in result],
        )
    )
    write_json(json_path, [asdict(fault_effect) for fault_effect in result])


if __name__ == "__main__":
    main(prog_name="python -m scale")
