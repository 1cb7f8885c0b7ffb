"""A figure measured at several sizes, and the power law fitted to it."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field

import numpy as np


@dataclass(frozen=True, slots=True)
class Figure:
    """One figure at several sizes.

    `points` pairs a size (in units of `size_of`, for instance "backends") with the value measured at that
    size (in `unit`). `command` reproduces the figure; `about` describes what is measured and how.
    """

    name: str
    unit: str
    size_of: str
    points: tuple[tuple[float, float], ...]
    about: str = ""
    command: str = ""
    seeds: tuple[int, ...] = field(default=())

    def fit_power_law(self) -> tuple[float, float] | None:
        """Returns the exponent of the fitted power law and the residual of the fit.

        Fits a least-squares line to the logarithms: exponent 0 is constant, 1 is proportional to the size.
        The residual is the root mean square error in natural logarithms (0.1 is about 10%). Returns None for
        fewer than two different sizes, or if a size or value is not positive.
        """
        sizes, values = np.array(self.points, dtype=float).reshape(-1, 2).T
        if len(set(sizes)) < 2 or (sizes <= 0).any() or (values <= 0).any():
            return None
        exponent, intercept = np.polyfit(np.log(sizes), np.log(values), 1)
        errors = np.log(values) - (exponent * np.log(sizes) + intercept)
        return float(exponent), float(np.sqrt(np.mean(errors**2)))

    def to_dict(self) -> dict:
        """Returns the fields for JSON with `slope` and `residual`, which are None if no fit is possible."""
        fit = self.fit_power_law()
        exponent, residual = fit if fit is not None else (None, None)
        return {**asdict(self), "slope": exponent, "residual": residual}
