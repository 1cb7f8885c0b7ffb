"""The command line of the emulator: one play, and the search for a day that breaks a rule."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from dataclasses import fields, replace

import click

from scale import report
from scale.__main__ import SpreadParam, print_progress, write_json

from . import search as searching
from .faults import KINDS, Fault
from .world import Options, Record, play

DEFAULTS = Options()
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
NUMBERS = {field.name: field.default for field in fields(Fault) if field.name != "kind"}


class FaultText(click.ParamType):
    """`zone-cut`, or with its numbers: `zone-cut,at_s=3,for_s=2,part=0.5`."""

    name = "KIND[,NAME=NUMBER...]"

    def convert(self, value, param, ctx) -> Fault:
        if isinstance(value, Fault):
            return value
        kind, *pairs = value.split(",")
        numbers = {}
        for pair in pairs:
            name, _, number = pair.partition("=")
            if name not in NUMBERS:
                self.fail(f"{name!r} is none of {', '.join(NUMBERS)}", param, ctx)
            try:
                numbers[name] = float(number)
            except ValueError:
                self.fail(f"{name}: {number!r} is not a number", param, ctx)
        try:
            return Fault(kind, **numbers)
        except ValueError as error:
            self.fail(str(error), param, ctx)


def fleet(command: Callable) -> Callable:
    """The options of a fleet, for a command that takes them by the names of `Options`."""
    for option in (
        click.option(
            "--gateways", type=click.IntRange(1, 1000), default=DEFAULTS.gateways, show_default=True
        ),
        click.option(
            "--backends", type=click.IntRange(1, 1000), default=DEFAULTS.backends, show_default=True
        ),
        click.option("--zones", type=click.IntRange(1, 64), default=DEFAULTS.zones, show_default=True),
        click.option(
            "--spread",
            type=SpreadParam(),
            default=DEFAULTS.spread,
            show_default="2-4",
            help="Gateways in a customer's set.",
        ),
        click.option(
            "--sockets",
            type=click.IntRange(64, 65536),
            default=DEFAULTS.sockets,
            show_default=True,
            help="Descriptors of a gateway.",
        ),
        click.option(
            "--seconds",
            type=click.FloatRange(1, 3600),
            default=DEFAULTS.seconds,
            show_default=True,
            help="Of load, on the virtual clock.",
        ),
    ):
        command = option(command)
    return command


def told(record: Record, found: dict) -> None:
    """A play on the terminal: figures, latency, and what was broken."""
    click.echo(report.format_pairs(found))
    for rule, count in record.broken.items():
        click.echo(f"broken: {rule}, {count} times")
        click.echo(searching.format_trace(record, rule))
    for line in record.errors:
        click.echo(f"a gateway logged: {line}")


def results(record: Record) -> dict:
    """What is kept of a play, as JSON takes it."""
    latency = {
        f"latency_ms_p{share:g}": record.latency.get_value_at_percentile(share) / 1000.0
        for share in PERCENTILES
    }
    return {
        **record.figures,
        **latency,
        "connections": record.connections,
        "bytes": record.bytes,
        "most_descriptors": record.most_descriptors,
        "digest": record.digest,
    }


@click.command()
@fleet
@click.option(
    "--load",
    type=click.FloatRange(0.001, 2),
    default=DEFAULTS.load,
    show_default=True,
    help="Asked inside quotas, as a share of what the backends can do.",
)
@click.option(
    "--leave",
    type=click.FloatRange(0, 1),
    default=DEFAULTS.leave,
    show_default=True,
    help="Share of the tries whose client goes within 0.2 s.",
)
@click.option(
    "--hollow",
    type=click.IntRange(0),
    default=DEFAULTS.hollow,
    show_default=True,
    help="Of the gateways: the module alone, without the network code.",
)
@click.option(
    "--fault",
    "faults",
    type=FaultText(),
    multiple=True,
    help="What goes wrong; may be given more than once. Times in seconds from the start. Kinds: "
    f"{', '.join(sorted(KINDS))}.",
)
@click.option("--seed", type=click.IntRange(0), default=DEFAULTS.seed, show_default=True)
@click.option("--json", "file", type=click.Path(dir_okay=False, writable=True), help="Keep the record there.")
def emulate(file: str | None, **options) -> None:
    """Play whole gateways in virtual time, and check the rules. The same options give the same bytes.

    Exit code 0 only if all rules were kept.
    """
    try:
        chosen = Options(**options)
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    began = time.monotonic()
    print_progress(
        f"playing {chosen.gateways} gateways before {chosen.backends} backends for {chosen.seconds:g} s"
    )
    record = play(chosen)
    print_progress(f"played in {time.monotonic() - began:.1f} s")
    found = results(record)
    told(record, found)
    write_json(
        file,
        {
            "again": searching.replay_expression(chosen),
            "figures": found,
            "broken": record.broken,
            "errors": record.errors,
        },
    )
    if record.broken or record.errors:
        sys.exit(1)
    click.echo("all rules kept")


@click.command()
@fleet
@click.option(
    "--kind",
    "kinds",
    type=click.Choice(sorted(KINDS)),
    multiple=True,
    help="Faults of these kinds alone; may be given more than once.",
)
@click.option(
    "--for",
    "for_s",
    type=click.FloatRange(0.1, 3600),
    default=60.0,
    show_default=True,
    help="Real seconds to search; what breaks a rule is made small in as long again at most.",
)
@click.option(
    "--seed",
    type=click.IntRange(0),
    default=DEFAULTS.seed,
    show_default=True,
    help="Of the days that are drawn.",
)
def search(kinds: tuple[str, ...], for_s: float, seed: int, **options) -> None:
    """Draw days on a fleet until a rule breaks or the time is up, and tell how to play that day again.

    Exit code 0 only if none broke.
    """
    try:
        base = replace(DEFAULTS, **options)
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    found = searching.search(base, seed, for_s, kinds, print_progress)
    if found is None:
        click.echo("no rule broke")
        return
    click.echo(f"broken after {found.plays} plays, made small in {found.shrinks}: {found.rule}")
    click.echo(searching.format_trace(found.record, found.rule))
    click.echo(f"again: {searching.replay_expression(found.options)}")
    sys.exit(1)
