"""Real gateways through signals in series, restarts with stepped clocks, drains, crowds: short and seeded."""

import pytest
import uvloop

from rosehitch.soak import Report, play

SECONDS = 8.0


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_all_rules_are_kept_through_a_soak(seed):
    report = uvloop.run(play(seed, SECONDS))
    assert not report.broken, report.line()
    assert report.requests > 500 and report.restarts > 0
    assert report.responses[200] > 0.5 * report.requests


def test_a_broken_rule_is_told_with_its_first_example():
    report = Report(
        seed=7, requests=2, responses={200: 1, 0: 1}, broken={"one final answer each": (1, "r1 got none")}
    )
    assert report.line().startswith("seed 7: 2 requests, 1 by 0, 1 by 200;")
    assert report.line().endswith("broken: one final answer each, 1 times: r1 got none")
