"""The command line of the scale rig."""

from __future__ import annotations

import json
import time
from pathlib import Path

import click

from . import report
from .world import Options, play

DEFAULTS = Options()


class Spread(click.ParamType):
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


def tell(text: str) -> None:
    """Progress, on standard error."""
    click.echo(text, err=True)


def keep(path: str | None, found: object) -> None:
    if path:
        Path(path).write_text(json.dumps(found, indent=1) + "\n", encoding="utf-8")


@click.group()
def main() -> None:
    """Measure the gateway at sizes that no bench day has: a hollow fleet in virtual time, a few real gateways
    on loopback, how each figure grows with its size, and what faults do."""


@main.command()
@click.option("--gateways", type=click.IntRange(1, 4000), default=DEFAULTS.gateways, show_default=True)
@click.option("--backends", type=click.IntRange(1, 120_000), default=DEFAULTS.backends, show_default=True)
@click.option("--cores", type=click.IntRange(1, 256), default=DEFAULTS.cores, show_default=True,
              help="Of a backend.")
@click.option("--customers", type=click.IntRange(0, 200_000), default=DEFAULTS.customers, show_default=True,
              help="0: as many as the rate and the plans make.")
@click.option("--rate", type=click.FloatRange(0), default=DEFAULTS.rate, show_default=True,
              help="First tries a second inside quotas; 0: as --load says.")
@click.option("--load", type=click.FloatRange(0.001, 2), default=DEFAULTS.load, show_default=True,
              help="Asked inside quotas, as a share of what the backends can do.")
@click.option("--spread", type=Spread(), default=DEFAULTS.spread, show_default="6-20",
              help="Gateways in a customer's set.")
@click.option("--seconds", type=click.FloatRange(0.1, 3600), default=DEFAULTS.seconds, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=DEFAULTS.seed, show_default=True)
@click.option("--zones", type=click.IntRange(1, 64), default=DEFAULTS.zones, show_default=True)
@click.option("--regions", type=click.IntRange(1, 16), default=DEFAULTS.regions, show_default=True)
@click.option("--mix", type=click.Choice(["calm", "table"]), default=DEFAULTS.mix, show_default=True,
              help="calm: a day's plans and habits. table: 1.36 requests a second at a quarter of the quota.")
@click.option("--counter-per-try", type=click.FloatRange(0.01), default=DEFAULTS.counter_per_try,
              show_default=True, help="Calls that the counter bears for each first try inside quotas.")
@click.option("--counter-parts", type=click.IntRange(1, 64), default=DEFAULTS.counter_parts,
              show_default=True)
@click.option("--leave", type=click.FloatRange(0, 1), default=DEFAULTS.leave, show_default=True,
              help="Share of the tries whose client goes within 0.2 s.")
@click.option("--json", "file", type=click.Path(dir_okay=False, writable=True), help="Keep the record there.")
def hollow(file: str | None, **options) -> None:
    """One play of a hollow fleet, and its record."""
    if options["regions"] > options["zones"]:
        raise click.BadParameter("there are no more regions than zones", param_hint="--regions")
    began = time.monotonic()
    found = play(Options(**options))
    tell(f"played {options['seconds']:g} s in {time.monotonic() - began:.1f} s")
    click.echo(report.pairs(found))
    keep(file, {"options": options, "figures": found})


if __name__ == "__main__":
    main(prog_name="python -m scale")
