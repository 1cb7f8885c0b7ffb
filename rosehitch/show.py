"""The demo's state as it goes: a live table on a terminal, a line a second elsewhere."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import click
from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.live import Live
from rich.table import Table

from .demo import State
from .load import ENDS, PLANS, Tally

PERCENTILES = (50.0, 99.0)
LINE_S = 1.0  # between two plain lines


def latency_ms(tally: Tally, percentile: float) -> str:
    if not tally.latency_us.get_total_count():
        return "-"
    return f"{tally.latency_us.get_value_at_percentile(percentile) / 1000.0:.1f}"


def quota(plan: dict) -> str:
    """A plan's terms, in units."""
    ceiling = f", never over {plan['hardRate']:g}/s" if plan.get("hardRate") else ""
    return f"{plan['unitsPerS']:g}/s, {plan['depth']:g} at once{ceiling}"


def table(state: State) -> Table:
    quotas = "; ".join(f"{name} {quota(plan)}" for name, plan in PLANS.items())
    found = Table(
        title=f"{min(state.elapsed_s, state.seconds):.0f} of {state.seconds:g} s: {state.event}",
        caption=f"Latency of what was served, in ms. Units sent on, and beyond quotas.\n{quotas}",
        box=SIMPLE_HEAD,
        padding=(0, 1, 0, 0),
    )
    found.add_column("plan")
    for name in ("asked", *ENDS, *(f"p{p:g}" for p in PERCENTILES), "units", "beyond"):
        found.add_column(name, justify="right")
    for name, tally in state.tallies.items():
        found.add_row(
            name,
            str(tally.asked),
            *(str(tally.ends[end]) for end in ENDS),
            *(latency_ms(tally, p) for p in PERCENTILES),
            str(state.rules.units[name]),
            f"{state.rules.beyond[name]:.1f}",
        )
    return found


def line(state: State) -> str:
    plans = "; ".join(
        f"{name}: asked {tally.asked}, {', '.join(f'{end} {tally.ends[end]}' for end in ENDS)}, "
        + ", ".join(f"p{p:g} {latency_ms(tally, p)} ms" for p in PERCENTILES)
        + f", units sent on {state.rules.units[name]}, beyond quotas {state.rules.beyond[name]:.1f}"
        for name, tally in state.tallies.items()
    )
    return f"{state.elapsed_s:4.1f} s, {state.event}; {plans}"


@contextlib.contextmanager
def shown() -> Iterator[Callable[[State], None]]:
    """What takes each state and shows it."""
    console = Console()
    if console.is_terminal:
        with Live(console=console, auto_refresh=False) as live:
            yield lambda state: live.update(table(state), refresh=True)
        return
    due_s = 0.0

    def plain(state: State) -> None:
        nonlocal due_s
        if state.elapsed_s >= due_s:
            due_s += LINE_S
            click.echo(line(state))

    yield plain
