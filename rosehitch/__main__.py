"""The command line `rosehitch`.

Each command imports what it needs when it runs, so `serve` works without the packages of the others.
"""

from __future__ import annotations

import importlib
import logging
import os
import sys

import click

DEMO_S = 20.0
# At least long enough to check a drain; bounded because a demo keeps all its requests in memory.
MIN_RUN_S, MAX_RUN_S = 3.0, 600.0

LAZY_COMMANDS = {  # commands of other packages, imported on demand
    "emulate": "emulator.command",
    "search": "emulator.command",
    "experiment": "experiments.command",
    "compare": "experiments.command",
}
MISSING_PACKAGES = "needs packages that are missing here: pip install '.[scale]'"


class LazyGroup(click.Group):
    """A command group with the commands of `LAZY_COMMANDS`, whose modules are imported on demand."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in LAZY_COMMANDS:
            return super().get_command(ctx, cmd_name)
        try:
            return getattr(importlib.import_module(LAZY_COMMANDS[cmd_name]), cmd_name)
        except ImportError as error:
            return missing_command(cmd_name, error)


def missing_command(name: str, error: ImportError) -> click.Command:
    """A substitute for a command whose packages are not installed, which says how to install them."""

    @click.pass_context
    def callback(ctx: click.Context, **_) -> None:
        raise click.ClickException(f"{name} {MISSING_PACKAGES} ({error})")

    arguments = click.Argument(["anything"], nargs=-1, type=click.UNPROCESSED)
    return click.Command(
        name,
        callback=callback,
        params=[arguments],
        help=f"({MISSING_PACKAGES})",
        context_settings={"ignore_unknown_options": True},
    )


@click.group(cls=LazyGroup)
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
    """Run one gateway until SIGTERM, as `python -m elderhub` does. SIGHUP reloads the configuration.

    NODE_NAME, NODE_LISTEN and NODE_DISCOVERY override the configuration.
    """
    from elderhub.__main__ import main as run_gateway

    os.environ["NODE_CONFIG"] = config
    sys.exit(run_gateway())


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def check(file: str) -> None:
    """Check whether a gateway could use the configuration FILE, read as a gateway started here would read
    it: NODE_NAME, NODE_LISTEN and NODE_DISCOVERY override it. A file that ends in .toml is an
    experiment. Exit code 2 if FILE can't be used.
    """
    if file.endswith(".toml"):
        check_experiment(file)
        return
    from elderhub.config import ConfigError, load_config

    logging.basicConfig(stream=sys.stderr, format="warning: %(message)s")  # for entries that are skipped
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
    """Check an experiment file. Exits with code 2 if it can't be used."""
    try:
        from experiments import plan
    except ImportError as error:
        raise click.ClickException(f"an experiment {MISSING_PACKAGES} ({error})") from None
    try:
        experiment = plan.read(file)
    except plan.InvalidInput as error:
        click.echo(f"rosehitch: {error}", err=True)
        sys.exit(2)
    click.echo(f"{file}: usable: {len(experiment.runs)} runs")


@main.command()
@click.option("--seconds", type=click.FloatRange(MIN_RUN_S, MAX_RUN_S), default=DEMO_S, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Seed of the load.")
def demo(seconds: float, seed: int) -> None:
    """Run real gateways on loopback with simulated clients and servers; one backend drains and one is lost.

    The last line says how many requests were answered and whether the rules were kept. Exit code 0 only if
    all were.
    """
    import uvloop

    from .demo import StartError, play
    from .show import display

    try:
        with display() as show:
            state = uvloop.run(play(seconds, seed, click.echo, show))
    except StartError as error:
        click.echo(f"rosehitch: {error}", err=True)
        sys.exit(1)
    for line in state.verdict():
        click.echo(line)
    sys.exit(state.exit_code())


@main.command()
@click.option("--seeds", type=click.IntRange(1), default=3, show_default=True, help="Number of runs.")
@click.option("--first", type=click.IntRange(0), default=1, show_default=True, help="Seed of the first run.")
@click.option("--seconds", type=click.FloatRange(MIN_RUN_S, MAX_RUN_S), default=8.0, show_default=True)
def soak(seeds: int, first: int, seconds: float) -> None:
    """Stop, restart and reload real gateways on loopback under load, in several seeded runs.

    Prints a line for each run, with the rules that were broken. Exit code 0 only if none was.
    """
    import uvloop

    from .soak import play

    broken_runs = 0
    for seed in range(first, first + seeds):
        report = uvloop.run(play(seed, seconds))
        broken_runs += bool(report.broken)
        click.echo(report.format_line())
    click.echo(f"{seeds} runs, {broken_runs} of them with a broken rule")
    sys.exit(1 if broken_runs else 0)


if __name__ == "__main__":
    main(prog_name="python -m rosehitch")
