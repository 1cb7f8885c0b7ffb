"""Tests of the power law that is fitted to a figure."""

import math

import pytest

from scale.figure import Figure


def test_the_fit_returns_the_exponent_and_the_residual():
    proportional = Figure("cost", "ms", "backends", tuple((n, 3.0 * n) for n in (200, 2000, 20000, 80000)))
    exponent, residual = proportional.fit_power_law()
    assert exponent == pytest.approx(1.0) and residual == pytest.approx(0.0, abs=1e-9)
    constant = Figure("cost", "ms", "backends", ((1, 2.0), (10, 2.0 * math.e**0.1), (100, 2.0)))
    assert abs(constant.fit_power_law()[0]) < 0.01 and constant.to_dict()["residual"] == pytest.approx(
        0.047, abs=0.001
    )


@pytest.mark.parametrize("points", [(), ((5, 1.0),), ((5, 1.0), (5, 2.0)), ((1, 0.0), (2, 1.0))])
def test_there_is_no_fit_for_fewer_than_two_sizes_or_a_value_of_zero(points):
    assert Figure("cost", "ms", "backends", points).to_dict()["slope"] is None
