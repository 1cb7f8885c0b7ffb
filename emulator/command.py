"""The emulator's commands: `emulate` runs one world, `search` looks for one that breaks a rule."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from dataclasses import fields, replace

import click

from scale import report
from scale.__main__ import SpreadParam, print_progress, write_json

from . import search as search_module
from .faults import KINDS, Fault
from .world import Options, Record, play

DEFAULTS = Options()
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
FAULT_DEFAULTS = {field.name: field.default for field in fields(Fault) if field.name != "kind"}


class FaultParam(click.ParamType):
    """A fault as an option's value, such as `zone-cut` or `zone-cut,at_s=3,for_s=2,part=0.5`."""

    name = "KIND[,NAME=NUMBER...]"

    def convert(self, value, param, ctx) -> Fault:
        if isinstance(value, Fault):
            return value
        kind, *pairs = value.split(",")
        numbers = {}
        for pair in pairs:
            name, _, number = pair.partition("=")
            if name not in FAULT_DEFAULTS:
                self.fail(f"{name!r} is none of {', '.join(FAULT_DEFAULTS)}", param, ctx)
            try:
                numbers[name] = float(number)
            except ValueError:
                self.fail(f"{name}: {number!r} is not a number", param, ctx)
        try:
            return Fault(kind, **numbers)
        except ValueError as error:
            self.fail(str(error), param, ctx)


def fleet_options(command: Callable) -> Callable:
    """Decorate a command with the options of a fleet, which it gets under the names of `Options` fields."""
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


def print_record(record: Record, figures: dict) -> None:
    """Print a run: its figures, its violations and the errors that gateways logged."""
    click.echo(report.format_pairs(figures))
    for rule, count in record.broken.items():
        click.echo(f"broken: {rule}, {count} times")
        click.echo(search_module.format_trace(record, rule))
    for line in record.errors:
        click.echo(f"a gateway logged: {line}")


def collect_figures(record: Record) -> dict:
    """The figures of a run, ready for JSON."""
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
@fleet_options
@click.option(
    "--load",
    type=click.FloatRange(0.001, 2),
    default=DEFAULTS.load,
    show_default=True,
    help="Load inside quotas, as a share of the backends' capacity.",
)
@click.option(
    "--leave",
    type=click.FloatRange(0, 1),
    default=DEFAULTS.leave,
    show_default=True,
    help="Share of the tries whose client disconnects within 0.2 s.",
)
@click.option(
    "--hollow",
    type=click.IntRange(0),
    default=DEFAULTS.hollow,
    show_default=True,
    help="Number of the gateways that run the decision module without the network code.",
)
@click.option(
    "--fault",
    "faults",
    type=FaultParam(),
    multiple=True,
    help="A fault to inject; may be given more than once. Times in seconds from the start. Kinds: "
    f"{', '.join(sorted(KINDS))}.",
)
@click.option("--seed", type=click.IntRange(0), default=DEFAULTS.seed, show_default=True)
@click.option(
    "--json", "file", type=click.Path(dir_okay=False, writable=True), help="Write the record to this file."
)
def emulate(file: str | None, **options) -> None:
    """Run whole gateways in virtual time and check the rules. The same options give the same bytes.

    Exit code 0 only if all rules were kept.
    """
    try:
        chosen = Options(**options)
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    started_at = time.monotonic()
    print_progress(
        f"running {chosen.gateways} gateways and {chosen.backends} backends for {chosen.seconds:g} virtual s"
    )
    record = play(chosen)
    print_progress(f"finished in {time.monotonic() - started_at:.1f} s")
    figures = collect_figures(record)
    print_record(record, figures)
    write_json(
        file,
        {
            "again": search_module.replay_expression(chosen),
            "figures": figures,
            "broken": record.broken,
            "errors": record.errors,
        },
    )
    if record.broken or record.errors:
        sys.exit(1)
    click.echo("all rules kept")


@click.command()
@fleet_options
@click.option(
    "--kind",
    "kinds",
    type=click.Choice(sorted(KINDS)),
    multiple=True,
    help="Draw faults of these kinds only; may be given more than once.",
)
@click.option(
    "--for",
    "for_s",
    type=click.FloatRange(0.1, 3600),
    default=60.0,
    show_default=True,
    help="Real seconds to search; a run that breaks a rule is then reduced for at most as long again.",
)
@click.option(
    "--seed",
    type=click.IntRange(0),
    default=DEFAULTS.seed,
    show_default=True,
    help="Seed of the runs that are drawn.",
)
def search(kinds: tuple[str, ...], for_s: float, seed: int, **options) -> None:
    """Run random worlds on a fleet until a rule breaks or the time is up, and print how to repeat that run.

    Exit code 0 only if none broke.
    """
    try:
        base = replace(DEFAULTS, **options)
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    found = search_module.search(base, seed, for_s, kinds, print_progress)
    if found is None:
        click.echo("no rule broke")
        return
    click.echo(f"broken after {found.plays} runs, reduced in {found.shrinks} more: {found.rule}")
    click.echo(search_module.format_trace(found.record, found.rule))
    click.echo(f"again: {search_module.replay_expression(found.options)}")
    sys.exit(1)
