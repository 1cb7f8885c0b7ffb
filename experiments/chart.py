"""Line charts as geometry: what the page's template draws as inline SVG."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import ceil, floor, log10

WIDTH, HEIGHT = 420, 220  # of a chart, px
LEFT, RIGHT, TOP, BOTTOM = 58, 10, 10, 40  # margins, px
TICKS = 5  # of an axis, about
LEAST_LOG = 0.01  # under this a logarithmic axis shows nothing, in its unit
# Okabe and Ito's colours, which the colour-blind tell apart.
COLOURS = ("#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000", "#8c6d1f")
MUTED_COLOUR = "#999999"


def step(low: float, high: float) -> float:
    """Between two ticks: 1, 2 or 5 times a power of ten."""
    raw = (high - low) / TICKS
    power = 10.0 ** floor(log10(raw))
    return next(power * times for times in (1, 2, 5, 10) if power * times >= raw * 0.999)


def ticks(low: float, high: float) -> list[float]:
    """Round numbers inside a range."""
    by = step(low, high)
    return [number * by for number in range(ceil(low / by - 1e-9), floor(high / by + 1e-9) + 1)]


@dataclass(slots=True)
class Line:
    """`points` pair x with y, in the units of the axes."""

    label: str
    points: list[tuple[float, float]]
    colour: str = COLOURS[0]
    dashed: bool = False


@dataclass(slots=True)
class Chart:
    """Lines over one pair of axes. `bands` are shaded from x to x. `names` stand under x = 0, 1, 2 ... in
    place of numbers. With `log`, y is logarithmic."""

    title: str
    x_label: str
    y_label: str
    lines: list[Line]
    bands: list[tuple[float, float]] = field(default_factory=list)
    names: list[str] = field(default_factory=list)
    log: bool = False
    y_max: float = 0.0  # the axis goes so far at least

    width, height = WIDTH, HEIGHT
    left, right, top, bottom = LEFT, WIDTH - RIGHT, TOP, HEIGHT - BOTTOM  # of the area of the lines

    def _y(self, value: float) -> float:
        return log10(max(value, LEAST_LOG)) if self.log else value

    def _ranges(self) -> tuple[float, float, float, float]:
        xs = [x for line in self.lines for x, _ in line.points] or [0.0]
        ys = [self._y(y) for line in self.lines for _, y in line.points] or [0.0]
        low, high = (min(ys), max(ys)) if self.log else (min(0.0, *ys), max(self.y_max, *ys))
        if self.log:
            low, high = floor(low), ceil(high)
        high = high if high > low else low + 1.0
        if not self.log:  # a tick at the top
            by = step(low, high)
            high = ceil(high / by - 1e-9) * by
        first = min(0.0, *xs)
        return first, max(*xs, first + 1e-9), low, high

    def _px(self, x: float) -> float:
        low, high, _, _ = self._ranges()
        return self.left + (x - low) / (high - low) * (self.right - self.left)

    def _py(self, y: float) -> float:
        _, _, low, high = self._ranges()
        return self.bottom - (self._y(y) - low) / (high - low) * (self.bottom - self.top)

    def x_ticks(self) -> list[tuple[float, str]]:
        """Place in px and label."""
        if self.names:
            return [(self._px(place), name) for place, name in enumerate(self.names)]
        low, high, _, _ = self._ranges()
        return [(self._px(x), f"{x:g}") for x in ticks(low, high)]

    def y_ticks(self) -> list[tuple[float, str]]:
        _, _, low, high = self._ranges()
        if self.log:
            return [(self._py(10.0**power), f"{10.0**power:g}") for power in range(int(low), int(high) + 1)]
        return [(self._py(y), f"{y:.4g}") for y in ticks(low, high)]

    def paths(self) -> list[tuple[Line, str]]:
        """Each line with its `points` attribute."""
        low, high, y_low, y_high = self._ranges()
        across, up = (self.right - self.left) / (high - low), (self.bottom - self.top) / (y_high - y_low)
        return [
            (
                line,
                " ".join(
                    f"{self.left + (x - low) * across:.1f},{self.bottom - (self._y(y) - y_low) * up:.1f}"
                    for x, y in line.points
                ),
            )
            for line in self.lines
        ]

    def shades(self) -> list[tuple[float, float]]:
        """Begin and width of each band in px, inside the area of the lines."""
        found = []
        for begin, end in self.bands:
            first, last = max(self.left, self._px(begin)), min(self.right, self._px(end))
            found.append((first, max(1.0, last - first)))
        return found
