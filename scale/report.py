"""Text tables of figures for the terminal."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from .figure import Figure


def number(value: object) -> str:
    """Formats a value with four significant digits; dicts as `key value` pairs."""
    if isinstance(value, dict):
        return ", ".join(f"{key} {number(part)}" for key, part in value.items()) or "none"
    if isinstance(value, float):
        return f"{value:,.0f}" if abs(value) >= 1000.0 else f"{value:.4g}"
    return f"{value:,}" if isinstance(value, int) else str(value)


def format_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Formats an aligned table; the first column is left-aligned, the others are right-aligned."""
    lines = [list(header), *([number(cell) for cell in row] for row in rows)]
    wide = [max(len(line[column]) for line in lines) for column in range(len(header))]
    out = []
    for first, *others in lines:
        cells = [cell.rjust(size) for cell, size in zip(others, wide[1:], strict=True)]
        out.append("  ".join([first.ljust(wide[0]), *cells]).rstrip())
    return "\n".join(out)


def format_pairs(found: dict[str, object]) -> str:
    """Formats a dict as one aligned line per key."""
    wide = max(map(len, found))
    return "\n".join(f"{key.ljust(wide)}  {number(value)}" for key, value in found.items())


def format_slopes(figures: Iterable[Figure]) -> str:
    """Formats a table of figures with their values at each size, slope and residual."""
    rows, values = [], ["values"]
    for figure in figures:
        power, residual = figure.fit_power_law() or ("-", "-")
        rows.append((figure.name, figure.unit, figure.size_of, power, residual))
        values.append("  ".join(f"{number(float(x))}: {number(float(y))}" for x, y in figure.points))
    lines = format_table(("figure", "unit", "by", "slope", "residual"), rows).split("\n")
    return "\n".join(f"{line}  {value}" for line, value in zip(lines, values, strict=True))
