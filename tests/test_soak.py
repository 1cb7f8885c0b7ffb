"""Short seeded soak runs: signals, restarts with stepped clocks, drains and idle clients break no rule."""

import pytest
import uvloop

from rosehitch.soak import Report, play

SECONDS = 8.0


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_a_soak_breaks_no_rule(seed):
    report = uvloop.run(play(seed, SECONDS))
    assert not report.broken, report.format_line()
    assert report.requests > 500 and report.restarts > 0
    assert report.responses[200] > 0.5 * report.requests


def test_a_broken_rule_is_reported_with_its_first_example():
    report = Report(
        seed=7, requests=2, responses={200: 1, 0: 1}, broken={"one final answer each": (1, "r1 got none")}
    )
    assert report.format_line().startswith("seed 7: 2 requests, 1 by 0, 1 by 200;")
    assert report.format_line().endswith("broken: one final answer each, 1 times: r1 got none")
