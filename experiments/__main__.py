"""`python -m experiments`."""

import click

from .command import compare, experiment


@click.group()
def main() -> None:
    """Experiments on the emulated fleet."""


main.add_command(experiment)
main.add_command(compare)

if __name__ == "__main__":
    main(prog_name="python -m experiments")
