"""Displays a running demo: a live table on a terminal, a line per second elsewhere."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import click
from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.live import Live
from rich.table import Table

from .demo import State
from .load import OUTCOMES, PLANS, Tally

PERCENTILES = (50.0, 99.0)
LINE_INTERVAL_S = 1.0  # between two lines where there is no terminal


def latency_ms(tally: Tally, percentile: float) -> str:
    """A percentile of the latency in ms, or "-" if nothing was served."""
    if not tally.latency_us.get_total_count():
        return "-"
    return f"{tally.latency_us.get_value_at_percentile(percentile) / 1000.0:.1f}"


def format_quota(plan: dict) -> str:
    """Format a plan's quota and ceiling, in units."""
    ceiling = f", never over {plan['hardRate']:g}/s" if plan.get("hardRate") else ""
    return f"{plan['unitsPerS']:g}/s, {plan['depth']:g} at once{ceiling}"


def build_table(state: State) -> Table:
    """The state as a table with a row for each plan."""
    quotas = "; ".join(f"{name} {format_quota(plan)}" for name, plan in PLANS.items())
    result = Table(
        title=f"{min(state.elapsed_s, state.seconds):.0f} of {state.seconds:g} s: {state.event}",
        caption=f"Latency of served requests, in ms. Units sent to backends, and beyond quotas.\n{quotas}",
        box=SIMPLE_HEAD,
        padding=(0, 1, 0, 0),
    )
    result.add_column("plan")
    for name in ("asked", *OUTCOMES, *(f"p{percentile:g}" for percentile in PERCENTILES), "units", "beyond"):
        result.add_column(name, justify="right")
    for name, tally in state.tallies.items():
        result.add_row(
            name,
            str(tally.request_count),
            *(str(tally.outcomes[outcome]) for outcome in OUTCOMES),
            *(latency_ms(tally, percentile) for percentile in PERCENTILES),
            str(state.rules.units_sent[name]),
            f"{state.rules.beyond_quota[name]:.1f}",
        )
    return result


def format_line(state: State) -> str:
    """The state as one line of text."""
    plans = "; ".join(
        f"{name}: asked {tally.request_count}, "
        f"{', '.join(f'{outcome} {tally.outcomes[outcome]}' for outcome in OUTCOMES)}, "
        + ", ".join(f"p{percentile:g} {latency_ms(tally, percentile)} ms" for percentile in PERCENTILES)
        + f", units sent on {state.rules.units_sent[name]}, "
        f"beyond quotas {state.rules.beyond_quota[name]:.1f}"
        for name, tally in state.tallies.items()
    )
    return f"{state.elapsed_s:4.1f} s, {state.event}; {plans}"


@contextlib.contextmanager
def display() -> Iterator[Callable[[State], None]]:
    """Context manager whose value is a function that displays a state."""
    console = Console()
    if console.is_terminal:
        with Live(console=console, auto_refresh=False) as live:
            yield lambda state: live.update(build_table(state), refresh=True)
        return
    due_s = 0.0

    def print_line(state: State) -> None:
        nonlocal due_s
        if state.elapsed_s >= due_s:
            due_s += LINE_INTERVAL_S
            click.echo(format_line(state))

    yield print_line
