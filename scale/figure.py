"""A measured figure at several sizes, and how it grows with them."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field

import numpy as np


@dataclass(frozen=True, slots=True)
class Figure:
    """One figure at several sizes.

    `points` pairs a size (in units of `size_of`, for instance "backends") with the value measured there (in
    `unit`). `command` prints the figure anew; `about` says in one sentence what is measured and how.
    """

    name: str
    unit: str
    size_of: str
    points: tuple[tuple[float, float], ...]
    about: str = ""
    command: str = ""
    seeds: tuple[int, ...] = field(default=())

    def fit_power_law(self) -> tuple[float, float] | None:
        """The power of the size that the value grows with, and the residual of that fit.

        A least-squares line through the logarithms: 0 is flat, 1 grows as the size does. The residual is the
        root mean square of what is left, in natural logarithms (0.1 is about a tenth). None with fewer than
        two sizes, or where a value is not above 0.
        """
        sizes, values = np.array(self.points, dtype=float).reshape(-1, 2).T
        if len(set(sizes)) < 2 or (sizes <= 0).any() or (values <= 0).any():
            return None
        power, constant = np.polyfit(np.log(sizes), np.log(values), 1)
        left = np.log(values) - (power * np.log(sizes) + constant)
        return float(power), float(np.sqrt(np.mean(left**2)))

    def to_dict(self) -> dict:
        """As JSON has it: the fields, and `slope` and `residual` (null where nothing can be fitted)."""
        fitted = self.fit_power_law()
        power, residual = fitted if fitted is not None else (None, None)
        return {**asdict(self), "slope": power, "residual": residual}
