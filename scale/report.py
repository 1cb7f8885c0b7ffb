"""Tables for the terminal."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from .figure import Figure


def number(value: object) -> str:
    """As short as four significant digits allow."""
    if isinstance(value, dict):
        return ", ".join(f"{key} {number(part)}" for key, part in value.items()) or "none"
    if isinstance(value, float):
        return f"{value:,.0f}" if abs(value) >= 1000.0 else f"{value:.4g}"
    return f"{value:,}" if isinstance(value, int) else str(value)


def format_table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Columns as wide as they need to be; all but the first to the right."""
    lines = [list(head), *([number(cell) for cell in row] for row in rows)]
    wide = [max(len(line[column]) for line in lines) for column in range(len(head))]
    out = []
    for first, *others in lines:
        cells = [cell.rjust(size) for cell, size in zip(others, wide[1:], strict=True)]
        out.append("  ".join([first.ljust(wide[0]), *cells]).rstrip())
    return "\n".join(out)


def format_pairs(found: dict[str, object]) -> str:
    wide = max(map(len, found))
    return "\n".join(f"{key.ljust(wide)}  {number(value)}" for key, value in found.items())


def format_slopes(figures: Iterable[Figure]) -> str:
    """Each figure at its sizes, with the power that it grows with and the residual of that fit."""
    rows, values = [], ["values"]
    for figure in figures:
        power, residual = figure.fit_power_law() or ("-", "-")
        rows.append((figure.name, figure.unit, figure.size_of, power, residual))
        values.append("  ".join(f"{number(float(x))}: {number(float(y))}" for x, y in figure.points))
    lines = format_table(("figure", "unit", "by", "slope", "residual"), rows).split("\n")
    return "\n".join(f"{line}  {value}" for line, value in zip(lines, values, strict=True))
