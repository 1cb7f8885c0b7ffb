"""The geometry of line charts, which the page's template draws as inline SVG."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import ceil, floor, log10

WIDTH_PX, HEIGHT_PX = 420, 220  # of a chart
LEFT_PX, RIGHT_PX, TOP_PX, BOTTOM_PX = 58, 10, 10, 40  # margins
TICK_COUNT = 5  # approximate number of ticks of an axis
MIN_LOG_VALUE = 0.01  # smaller values are drawn as this on a logarithmic axis
# The palette of Okabe and Ito, whose colours can be told apart by colour-blind readers.
COLOURS = ("#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000", "#8c6d1f")
MUTED_COLOUR = "#999999"


def tick_step(low: float, high: float) -> float:
    """Returns the distance between two ticks: 1, 2 or 5 times a power of ten."""
    raw_distance = (high - low) / TICK_COUNT
    power = 10.0 ** floor(log10(raw_distance))
    return next(power * factor for factor in (1, 2, 5, 10) if power * factor >= raw_distance * 0.999)


def ticks(low: float, high: float) -> list[float]:
    """Returns the positions of the ticks within a range."""
    tick_distance = tick_step(low, high)
    return [
        number * tick_distance
        for number in range(ceil(low / tick_distance - 1e-9), floor(high / tick_distance + 1e-9) + 1)
    ]


@dataclass(slots=True)
class Line:
    """One line of a chart. `points` are pairs of x and y in the units of the axes."""

    label: str
    points: list[tuple[float, float]]
    colour: str = COLOURS[0]
    dashed: bool = False


@dataclass(slots=True)
class Chart:
    """A chart of several lines.

    `bands` are ranges of x that are shaded. `names` replace the numbers below x = 0, 1, 2 and so on. With
    `log`, the y axis is logarithmic.
    """

    title: str
    x_label: str
    y_label: str
    lines: list[Line]
    bands: list[tuple[float, float]] = field(default_factory=list)
    names: list[str] = field(default_factory=list)
    log: bool = False
    y_max: float = 0.0  # minimum of the upper end of the y axis

    width, height = WIDTH_PX, HEIGHT_PX
    # Edges of the plot area.
    left, right, top, bottom = LEFT_PX, WIDTH_PX - RIGHT_PX, TOP_PX, HEIGHT_PX - BOTTOM_PX

    def _to_axis(self, value: float) -> float:
        return log10(max(value, MIN_LOG_VALUE)) if self.log else value

    def _ranges(self) -> tuple[float, float, float, float]:
        xs = [x for line in self.lines for x, _ in line.points] or [0.0]
        ys = [self._to_axis(y) for line in self.lines for _, y in line.points] or [0.0]
        low, high = (min(ys), max(ys)) if self.log else (min(0.0, *ys), max(self.y_max, *ys))
        if self.log:
            low, high = floor(low), ceil(high)
        high = high if high > low else low + 1.0
        if not self.log:  # the axis ends at a tick
            tick_distance = tick_step(low, high)
            high = ceil(high / tick_distance - 1e-9) * tick_distance
        first = min(0.0, *xs)
        return first, max(*xs, first + 1e-9), low, high

    def _x_px(self, x: float) -> float:
        low, high, _, _ = self._ranges()
        return self.left + (x - low) / (high - low) * (self.right - self.left)

    def _y_px(self, y: float) -> float:
        _, _, low, high = self._ranges()
        return self.bottom - (self._to_axis(y) - low) / (high - low) * (self.bottom - self.top)

    def x_ticks(self) -> list[tuple[float, str]]:
        """Returns the position in px and the label of each tick of the x axis."""
        if self.names:
            return [(self._x_px(index), name) for index, name in enumerate(self.names)]
        low, high, _, _ = self._ranges()
        return [(self._x_px(x), f"{x:g}") for x in ticks(low, high)]

    def y_ticks(self) -> list[tuple[float, str]]:
        """Returns the position in px and the label of each tick of the y axis."""
        _, _, low, high = self._ranges()
        if self.log:
            return [(self._y_px(10.0**power), f"{10.0**power:g}") for power in range(int(low), int(high) + 1)]
        return [(self._y_px(y), f"{y:.4g}") for y in ticks(low, high)]

    def paths(self) -> list[tuple[Line, str]]:
        """Returns each line with the `points` attribute of its SVG polyline."""
        low, high, y_low, y_high = self._ranges()
        x_scale, y_scale = (
            (self.right - self.left) / (high - low),
            (self.bottom - self.top) / (y_high - y_low),
        )
        return [
            (
                line,
                " ".join(
                    f"{self.left + (x - low) * x_scale:.1f},"
                    f"{self.bottom - (self._to_axis(y) - y_low) * y_scale:.1f}"
                    for x, y in line.points
                ),
            )
            for line in self.lines
        ]

    def shades(self) -> list[tuple[float, float]]:
        """Returns the left edge and the width of each band in px, limited to the plot area."""
        rects = []
        for begin, end in self.bands:
            first, last = max(self.left, self._x_px(begin)), min(self.right, self._x_px(end))
            rects.append((first, max(1.0, last - first)))
        return rects
