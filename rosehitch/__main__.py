"""The command line. What a command needs is imported when it runs: a gateway is served without the demo's."""

from __future__ import annotations

import logging
import os
import sys

import click

DEMO_S = 20.0
DEMO_LEAST_S, DEMO_MOST_S = 3.0, 600.0  # a drain needs its time to be checked; a demo keeps all its requests


@click.group()
def main() -> None:
    """A gateway that holds each customer to a quota shared by all gateways."""


@main.command()
@click.option("--config", type=click.Path(exists=True, dir_okay=False), envvar="NODE_CONFIG", required=True,
              show_envvar=True, help="The gateway's configuration, as JSON.")
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
    NODE_LISTEN and NODE_DISCOVERY go before it. Exit code 2 where it could not."""
    from elderhub.config import ConfigError, load

    logging.basicConfig(stream=sys.stderr, format="warning: %(message)s")  # entries that are passed over
    try:
        config = load({**os.environ, "NODE_CONFIG": file})
    except ConfigError as error:
        click.echo(f"rosehitch: {error}", err=True)
        sys.exit(2)
    settings = config.settings
    click.echo(f"{file}: usable: {len(settings.classes)} classes, {len(settings.plans)} plans, "
               f"{len(config.known.event.backends)} backends known")


@main.command()
@click.option("--seconds", type=click.FloatRange(DEMO_LEAST_S, DEMO_MOST_S), default=DEMO_S,
              show_default=True)
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


if __name__ == "__main__":
    main(prog_name="python -m rosehitch")
