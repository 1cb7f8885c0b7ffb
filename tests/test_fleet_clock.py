"""The time that gateways agree on over the counter: in virtual time, the clocks alone."""

import pytest
from fleet_clock_world import ClockSimulation

SETTLED_MS = 10_000.0


STEPS = [
    [0.0, 3_600_000.0],
    [0.0, -3_600_000.0, 7_000.0, -30_000.0],
    [1_500.0, 0.0, 0.0, 0.0, 0.0],
    [0.0] * 30 + [3_600_000.0, -2_500.0, 80_000_000.0],
]


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("steps_ms", STEPS, ids=len)
def test_gateways_agree_whatever_their_wall_clocks_say(steps_ms, seed):
    world = ClockSimulation(steps_ms, seed, start_spread_ms=2000.0)
    world.run(SETTLED_MS)
    assert world.clocks_agree()


@pytest.mark.parametrize("seed", range(5))
def test_gateways_that_start_at_one_moment_agree(seed):
    world = ClockSimulation([0.0, 3_600_000.0, -7_000.0], seed)
    world.run(SETTLED_MS)
    assert world.clocks_agree()


@pytest.mark.parametrize("gateways", [2, 40])
@pytest.mark.parametrize("step_ms", [0.0, 3_600_000.0, -7_000.0, 1_500.0, -1_500.0])
def test_one_that_starts_anew_takes_the_time_of_the_others_and_moves_none(gateways, step_ms):
    world = ClockSimulation([0.0] * gateways, start_spread_ms=1000.0)
    world.run(70_000.0)
    before = world.offsets_ms()
    world.start(step_ms)
    world.run(SETTLED_MS)
    assert world.clocks_agree()
    assert max(abs(a - b) for a, b in zip(before, world.offsets_ms()[:-1], strict=True)) < 50.0


def test_clocks_that_are_in_step_stay_as_they_are():
    world = ClockSimulation([0.0] * 40, start_spread_ms=1000.0)
    world.run(130_000.0)  # the stamp is forgotten twice meanwhile
    for _ in range(20):
        world.start(0.0)
    world.run(SETTLED_MS)
    assert all(abs(clock.time.offset_ms) < 100.0 for clock in world.clocks)


@pytest.mark.parametrize("seed", range(5))
def test_answers_that_are_lost_bring_the_clocks_apart_for_a_moment_at_most(seed):
    world = ClockSimulation([0.0, 30_000.0, 0.0, 0.0], seed, start_spread_ms=1000.0)
    world.lost_share = 0.2
    world.run(3 * SETTLED_MS)
    assert world.clocks_agree()


def test_nothing_is_known_while_the_counter_fails_and_the_clocks_agree_once_it_is_back():
    world = ClockSimulation([0.0, 3_600_000.0], start_spread_ms=1000.0)
    world.is_counter_down = True
    world.run(20_000.0)
    assert not any(clock.time.is_known for clock in world.clocks) and world.call_count < 100
    world.is_counter_down = False
    world.run(SETTLED_MS)
    assert world.clocks_agree()
    world.is_counter_down = True
    world.run(20_000.0)
    world.is_counter_down, world.totals = False, {}  # it comes back empty
    world.run(SETTLED_MS)
    assert world.clocks_agree()


@pytest.mark.parametrize("gateways", [2, 200, 3100])
def test_the_fleet_makes_few_calls_for_it_however_large_it_is(gateways):
    world = ClockSimulation([0.0] * gateways, start_spread_ms=5000.0)
    world.run(60_000.0)
    before = world.call_count
    world.run(60_000.0)
    assert world.call_count - before < 60 * 20
    assert world.call_count < 60 * 20 + 12 * gateways
