"""How a figure grows with the size it was measured at."""

import math

import pytest

from scale.figure import Figure


def test_the_slope_of_a_figure_is_the_power_it_grows_with_and_its_residual_what_is_left():
    straight = Figure("cost", "ms", "backends", tuple((n, 3.0 * n) for n in (200, 2000, 20000, 80000)))
    power, residual = straight.fit_power_law()
    assert power == pytest.approx(1.0) and residual == pytest.approx(0.0, abs=1e-9)
    flat = Figure("cost", "ms", "backends", ((1, 2.0), (10, 2.0 * math.e**0.1), (100, 2.0)))
    assert abs(flat.fit_power_law()[0]) < 0.01 and flat.to_dict()["residual"] == pytest.approx(
        0.047, abs=0.001
    )


@pytest.mark.parametrize("points", [(), ((5, 1.0),), ((5, 1.0), (5, 2.0)), ((1, 0.0), (2, 1.0))])
def test_nothing_is_fitted_where_nothing_can_be(points):
    assert Figure("cost", "ms", "backends", points).to_dict()["slope"] is None
