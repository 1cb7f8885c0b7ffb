"""The hollow fleet: the same from the same seed, its oracle against hand-worked cases, and its checks."""

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


def test_the_same_options_give_the_same_record_whatever_the_order_of_hash_tables():
    command = (
        "import json; from tests.test_scale_hollow import SMALL, World;print(json.dumps(World(SMALL).play()))"
    )
    found = [
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
    assert found[0] == found[1] and json.loads(found[0])["served"] > 100
    assert json.loads(found[0])["broken"] == {}


def test_a_try_is_inside_the_quota_while_the_store_holds_its_units():
    account = Account(io.Plan("p", rate=2.0, burst=6.0), 0.0)
    assert [account.take_quota(0.0, 4.0), account.take_quota(0.0, 3.0), account.take_quota(0.0, 2.0)] == [
        True,
        False,
        True,
    ]
    assert not account.take_quota(499.0, 1.0) and account.take_quota(
        500.0, 1.0
    )  # what was beyond has taken nothing
    assert account.headroom(2000.0, 3.0) == (True, False) and account.headroom(2000.0, 3.1) == (False, False)
    assert account.headroom(60000.0, 3.0) == (True, True)  # never more than the burst
    assert account.headroom(60000.0, 3.1) == (True, False)


def test_a_try_is_beyond_the_quota_with_as_many_attempts_out_as_the_plan_allows():
    account = Account(io.Plan("p", rate=2.0, burst=6.0, max_concurrency=2), 0.0)
    account.in_flight = 2
    assert not account.take_quota(0.0, 1.0) and account.headroom(0.0, 1.0) == (False, False)
    account.in_flight = 1
    assert account.headroom(0.0, 1.0) == (True, True) and account.take_quota(0.0, 6.0)


def test_each_first_try_draws_on_the_ceiling_whether_it_is_inside_the_quota_or_not():
    plan = io.Plan("p", rate=1.0, burst=4.0, ceiling_rate=2.0, ceiling_burst=8.0, ceiling_tolerance=3.0)
    account = Account(plan, 0.0)
    assert [account.exceeds_ceiling(0.0, units) for units in (8.0, 3.0, 1.0)] == [False, False, True]
    assert not account.exceeds_ceiling(1000.0, 1.0)


class Twice(Gateway):
    """Answers once more after each refusal."""

    def handle(self, now_ms, event):
        acts = super().handle(now_ms, event)
        return acts + [act for act in acts if isinstance(act, io.Reject)]


class Late(Gateway):
    """Answers what was served, a moment later than it was told so."""

    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.served = []

    def handle(self, now_ms, event):
        late, self.served = self.served, []
        if isinstance(event, io.AttemptEnded) and event.final:
            self.served = [io.Fail(event.request)]
        return super().handle(now_ms, event) + late


class Crossing(Gateway):
    """Gives up on a request in the very step that tells it was served."""

    def handle(self, now_ms, event):
        served = isinstance(event, io.AttemptEnded) and event.final
        return ([io.Fail(event.request)] if served else []) + super().handle(now_ms, event)


def test_an_alarm_that_crosses_the_answer_is_no_second_answer():
    world = World(SMALL, Crossing)
    world.play()
    assert world.record.broken["a second final answer"] == 0 and world.record.served > 100


class Deaf(Gateway):
    """Sends on what it has refused."""

    def handle(self, now_ms, event):
        acts = super().handle(now_ms, event)
        return acts + [io.Send(act.request, self.usable[0].id) for act in acts if isinstance(act, io.Reject)]


class Doubling(Gateway):
    """Sends each request on twice at once."""

    def handle(self, now_ms, event):
        acts = super().handle(now_ms, event)
        return [copy for act in acts for copy in ([act, act] if isinstance(act, io.Send) else [act])]


class Dumb(Gateway):
    """Answers nothing."""

    def handle(self, now_ms, event):
        return []


class Retrying(Gateway):
    """Refuses what it has sent on."""

    def handle(self, now_ms, event):
        acts = super().handle(now_ms, event)
        return acts + [io.Reject(act.request) for act in acts if isinstance(act, io.Send)]


@pytest.mark.parametrize(
    "module, what",
    [
        (Twice, "a second final answer"),
        (Late, "a second final answer"),
        (Deaf, "sent on after its end"),
        (Doubling, "two attempts at once"),
        (Dumb, "never answered"),
        (Retrying, "refused what may have run"),
    ],
)
def test_a_gateway_that_breaks_a_rule_is_noticed(module, what):
    world = World(SMALL, module)
    world.play()
    assert world.record.broken[what] > 0
