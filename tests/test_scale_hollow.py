"""Tests of simulations with hollow gateways: reproducibility, the exact quotas, and the checks of the
module's obligations."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from cobaltline import Gateway
from cobaltline import interface as io
from scale.oracle import Account
from scale.world import Options, World

SMALL = Options(gateways=4, backends=6, spread=(1, 4), seconds=2.0, leave=0.05)


def test_the_same_options_give_the_same_record_for_any_hash_seed():
    command = (
        "import json; from tests.test_scale_hollow import SMALL, World;print(json.dumps(World(SMALL).play()))"
    )
    outputs = [
        subprocess.run(
            [sys.executable, "-c", command],
            env={**os.environ, "PYTHONHASHSEED": seed},
            check=True,
            cwd=Path(__file__).parents[1],
            capture_output=True,
            text=True,
        ).stdout
        for seed in ("1", "2")
    ]
    assert outputs[0] == outputs[1] and json.loads(outputs[0])["served"] > 100
    assert json.loads(outputs[0])["broken"] == {}


def test_a_try_is_within_the_quota_while_the_bucket_holds_its_units():
    account = Account(io.Plan("p", rate=2.0, burst=6.0), 0.0)
    assert [account.take_quota(0.0, 4.0), account.take_quota(0.0, 3.0), account.take_quota(0.0, 2.0)] == [
        True,
        False,
        True,
    ]
    assert not account.take_quota(499.0, 1.0) and account.take_quota(
        500.0, 1.0
    )  # a try beyond the quota takes no units
    assert account.headroom(2000.0, 3.0) == (True, False) and account.headroom(2000.0, 3.1) == (False, False)
    assert account.headroom(60000.0, 3.0) == (True, True)  # the bucket holds at most the burst
    assert account.headroom(60000.0, 3.1) == (True, False)


def test_a_try_is_beyond_the_quota_at_the_concurrency_limit():
    account = Account(io.Plan("p", rate=2.0, burst=6.0, max_concurrency=2), 0.0)
    account.in_flight = 2
    assert not account.take_quota(0.0, 1.0) and account.headroom(0.0, 1.0) == (False, False)
    account.in_flight = 1
    assert account.headroom(0.0, 1.0) == (True, True) and account.take_quota(0.0, 6.0)


def test_every_try_draws_on_the_ceiling_even_without_room():
    plan = io.Plan("p", rate=1.0, burst=4.0, ceiling_rate=2.0, ceiling_burst=8.0, ceiling_tolerance=3.0)
    account = Account(plan, 0.0)
    assert [account.exceeds_ceiling(0.0, units) for units in (8.0, 3.0, 1.0)] == [False, False, True]
    assert not account.exceeds_ceiling(1000.0, 1.0)


class RefusesTwice(Gateway):
    """Refuses each refused request a second time."""

    def handle(self, now_ms, event):
        actions = super().handle(now_ms, event)
        return actions + [action for action in actions if isinstance(action, io.Reject)]


class FailsAfterResponse(Gateway):
    """Fails a request in the step after the one that told of its response."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.failures = []

    def handle(self, now_ms, event):
        delayed, self.failures = self.failures, []
        if isinstance(event, io.AttemptEnded) and event.final:
            self.failures = [io.Fail(event.request)]
        return super().handle(now_ms, event) + delayed


class FailsWithResponse(Gateway):
    """Fails a request in the same step that tells of its response."""

    def handle(self, now_ms, event):
        served = isinstance(event, io.AttemptEnded) and event.final
        return ([io.Fail(event.request)] if served else []) + super().handle(now_ms, event)


def test_a_failure_in_the_step_that_tells_of_the_response_is_not_a_second_answer():
    world = World(SMALL, FailsWithResponse)
    world.play()
    assert world.record.broken["a second final answer"] == 0 and world.record.served > 100


class SendsAfterRefusal(Gateway):
    """Sends a request to a backend after refusing it."""

    def handle(self, now_ms, event):
        actions = super().handle(now_ms, event)
        return actions + [
            io.Send(action.request, self.usable[0].id) for action in actions if isinstance(action, io.Reject)
        ]


class SendsTwice(Gateway):
    """Starts two attempts of each request at once."""

    def handle(self, now_ms, event):
        actions = super().handle(now_ms, event)
        return [
            duplicate
            for action in actions
            for duplicate in ([action, action] if isinstance(action, io.Send) else [action])
        ]


class NeverAnswers(Gateway):
    """Never answers a request."""

    def handle(self, now_ms, event):
        return []


class RefusesAfterSending(Gateway):
    """Refuses a request after sending it to a backend."""

    def handle(self, now_ms, event):
        actions = super().handle(now_ms, event)
        return actions + [io.Reject(action.request) for action in actions if isinstance(action, io.Send)]


@pytest.mark.parametrize(
    "module, rule",
    [
        (RefusesTwice, "a second final answer"),
        (FailsAfterResponse, "a second final answer"),
        (SendsAfterRefusal, "sent on after its end"),
        (SendsTwice, "two attempts at once"),
        (NeverAnswers, "never answered"),
        (RefusesAfterSending, "refused what may have run"),
    ],
)
def test_a_violation_of_the_modules_obligations_is_recorded(module, rule):
    world = World(SMALL, module)
    world.play()
    assert world.record.broken[rule] > 0
