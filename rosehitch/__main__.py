"""The command line. What a command needs is imported when it runs: a gateway is served without the demo's."""

from __future__ import annotations

import importlib
import logging
import os
import sys

import click

DEMO_S = 20.0
DEMO_LEAST_S, DEMO_MOST_S = 3.0, 600.0  # a drain needs its time to be checked; a demo keeps all its requests


LATE = {  # commands of other packages, which are imported only when one is asked for
    "emulate": "emulator.command",
    "search": "emulator.command",
    "experiment": "experiments.command",
    "compare": "experiments.command",
}
EXTRA = "needs packages that are missing here: pip install '.[scale]'"


class Commands(click.Group):
    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *LATE])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in LATE:
            return super().get_command(ctx, cmd_name)
        try:
            return getattr(importlib.import_module(LATE[cmd_name]), cmd_name)
        except ImportError as error:
            return lacking(cmd_name, error)


def lacking(name: str, error: ImportError) -> click.Command:
    """In place of a command whose packages are not installed."""

    @click.pass_context
    def callback(ctx: click.Context, **_) -> None:
        raise click.ClickException(f"{name} {EXTRA} ({error})")

    anything = click.Argument(["anything"], nargs=-1, type=click.UNPROCESSED)
    return click.Command(
        name,
        callback=callback,
        params=[anything],
        help=f"({EXTRA})",
        context_settings={"ignore_unknown_options": True},
    )


@click.group(cls=Commands)
def main() -> None:
    """A gateway that holds each customer to a quota shared by all gateways."""


@main.command()
@click.option(
    "--config",
    type=click.Path(exists=True, dir_okay=False),
    envvar="NODE_CONFIG",
    required=True,
    show_envvar=True,
    help="The gateway's configuration, as JSON.",
)
def serve(config: str) -> None:
    """Run one gateway until SIGTERM, as `python -m elderhub` does. SIGHUP reads the configuration anew.

    NODE_NAME, NODE_LISTEN and NODE_DISCOVERY go before what the configuration says.
    """
    from elderhub.__main__ import main as gateway

    os.environ["NODE_CONFIG"] = config
    sys.exit(gateway())


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def check(file: str) -> None:
    """Say whether a gateway could use the configuration FILE, read as the gateway reads it here: NODE_NAME,
    NODE_LISTEN and NODE_DISCOVERY go before it. A file that ends in .toml is an experiment. Exit code 2 where
    it can't be used."""
    if file.endswith(".toml"):
        check_experiment(file)
        return
    from elderhub.config import ConfigError, load_config

    logging.basicConfig(stream=sys.stderr, format="warning: %(message)s")  # entries that are passed over
    try:
        config = load_config({**os.environ, "NODE_CONFIG": file})
    except ConfigError as error:
        click.echo(f"rosehitch: {error}", err=True)
        sys.exit(2)
    settings = config.settings
    click.echo(
        f"{file}: usable: {len(settings.classes)} classes, {len(settings.plans)} plans, "
        f"{len(config.known.event.backends)} backends known"
    )


def check_experiment(file: str) -> None:
    try:
        from experiments import plan
    except ImportError as error:
        raise click.ClickException(f"an experiment {EXTRA} ({error})") from None
    try:
        found = plan.read(file)
    except plan.InvalidInput as error:
        click.echo(f"rosehitch: {error}", err=True)
        sys.exit(2)
    click.echo(f"{file}: usable: {len(found.runs)} runs")


@main.command()
@click.option(
    "--seconds", type=click.FloatRange(DEMO_LEAST_S, DEMO_MOST_S), default=DEMO_S, show_default=True
)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Of the load.")
def demo(seconds: float, seed: int) -> None:
    """Run real gateways on loopback among stand-ins, with load, a backend that drains and one that is lost.

    The last line says how many requests were answered and whether the rules were kept. Exit code 0 only if
    all were.
    """
    import uvloop

    from .demo import CouldNotStart, play
    from .show import shown

    try:
        with shown() as show:
            state = uvloop.run(play(seconds, seed, click.echo, show))
    except CouldNotStart as error:
        click.echo(f"rosehitch: {error}", err=True)
        sys.exit(1)
    for line in state.verdict():
        click.echo(line)
    sys.exit(state.exit_code())


@main.command()
@click.option("--seeds", type=click.IntRange(1), default=3, show_default=True, help="How many runs.")
@click.option("--first", type=click.IntRange(0), default=1, show_default=True, help="Seed of the first one.")
@click.option("--seconds", type=click.FloatRange(DEMO_LEAST_S, DEMO_MOST_S), default=8.0, show_default=True)
def soak(seeds: int, first: int, seconds: float) -> None:
    """End, restart and reconfigure real gateways on loopback under load, run after run, by seed.

    A line for each run, with the rules that were broken. Exit code 0 only if none was.
    """
    import uvloop

    from .soak import play

    broken = 0
    for seed in range(first, first + seeds):
        report = uvloop.run(play(seed, seconds))
        broken += bool(report.broken)
        click.echo(report.line())
    click.echo(f"{seeds} runs, {broken} of them with a broken rule")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main(prog_name="python -m rosehitch")
