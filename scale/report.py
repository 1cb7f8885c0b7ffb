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
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    formatted = []
    for first, *others in lines:
        cells = [cell.rjust(width) for cell, width in zip(others, widths[1:], strict=True)]
        formatted.append("  ".join([first.ljust(widths[0]), *cells]).rstrip())
    return "\n".join(formatted)


def format_pairs(pairs: dict[str, object]) -> str:
    """Formats a dict as one aligned line per key."""
    width = max(map(len, pairs))
    return "\n".join(f"{key.ljust(width)}  {number(value)}" for key, value in pairs.items())


def format_slopes(figures: Iterable[Figure]) -> str:
    """Formats a table of figures with their values at each size, slope and residual."""
    rows, values = [], ["values"]
    for figure in figures:
        slope, residual = figure.fit_power_law() or ("-", "-")
        rows.append((figure.name, figure.unit, figure.size_of, slope, residual))
        values.append(
            "  ".join(f"{number(float(size))}: {number(float(value))}" for size, value in figure.points)
        )
    lines = format_table(("figure", "unit", "by", "slope", "residual"), rows).split("\n")
    return "\n".join(f"{line}  {points}" for line, points in zip(lines, values, strict=True))
