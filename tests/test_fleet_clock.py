"""Gateways agree on a time over the counter, whatever their wall clocks say."""

import pytest
from clock_simulation import ClockSimulation

SETTLED_MS = 10_000.0  # time within which clocks have to agree


STEPS = [  # by how many ms the wall clock of each gateway is ahead
    [0.0, 3_600_000.0],
    [0.0, -3_600_000.0, 7_000.0, -30_000.0],
    [1_500.0, 0.0, 0.0, 0.0, 0.0],
    [0.0] * 30 + [3_600_000.0, -2_500.0, 80_000_000.0],
]


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("steps_ms", STEPS, ids=len)
def test_gateways_agree_with_stepped_wall_clocks(steps_ms, seed):
    simulation = ClockSimulation(steps_ms, seed, start_spread_ms=2000.0)
    simulation.run(SETTLED_MS)
    assert simulation.clocks_agree()


@pytest.mark.parametrize("seed", range(5))
def test_gateways_that_start_at_the_same_time_agree(seed):
    simulation = ClockSimulation([0.0, 3_600_000.0, -7_000.0], seed)
    simulation.run(SETTLED_MS)
    assert simulation.clocks_agree()


@pytest.mark.parametrize("gateways", [2, 40])
@pytest.mark.parametrize("step_ms", [0.0, 3_600_000.0, -7_000.0, 1_500.0, -1_500.0])
def test_a_gateway_that_starts_takes_the_time_of_the_others_and_moves_none(gateways, step_ms):
    simulation = ClockSimulation([0.0] * gateways, start_spread_ms=1000.0)
    simulation.run(70_000.0)
    earlier = simulation.differences_ms()
    simulation.start(step_ms)
    simulation.run(SETTLED_MS)
    assert simulation.clocks_agree()
    assert max(abs(a - b) for a, b in zip(earlier, simulation.differences_ms()[:-1], strict=True)) < 50.0


def test_clocks_in_sync_are_not_moved():
    simulation = ClockSimulation([0.0] * 40, start_spread_ms=1000.0)
    simulation.run(130_000.0)  # the timestamp expires twice meanwhile
    for _ in range(20):
        simulation.start(0.0)
    simulation.run(SETTLED_MS)
    assert all(abs(clock.time.offset_ms) < 100.0 for clock in simulation.clocks)


@pytest.mark.parametrize("seed", range(5))
def test_gateways_agree_although_results_are_lost(seed):
    simulation = ClockSimulation([0.0, 30_000.0, 0.0, 0.0], seed, start_spread_ms=1000.0)
    simulation.lost_result_share = 0.2
    simulation.run(3 * SETTLED_MS)
    assert simulation.clocks_agree()


def test_the_time_is_unknown_without_the_counter_and_agreed_on_once_it_is_back():
    simulation = ClockSimulation([0.0, 3_600_000.0], start_spread_ms=1000.0)
    simulation.is_counter_down = True
    simulation.run(20_000.0)
    assert not any(clock.time.is_known for clock in simulation.clocks) and simulation.call_count < 100
    simulation.is_counter_down = False
    simulation.run(SETTLED_MS)
    assert simulation.clocks_agree()
    simulation.is_counter_down = True
    simulation.run(20_000.0)
    simulation.is_counter_down, simulation.totals = False, {}  # restarted empty
    simulation.run(SETTLED_MS)
    assert simulation.clocks_agree()


@pytest.mark.parametrize("gateways", [2, 200, 3100])
def test_the_number_of_calls_is_bounded_at_every_fleet_size(gateways):
    simulation = ClockSimulation([0.0] * gateways, start_spread_ms=5000.0)
    simulation.run(60_000.0)
    earlier = simulation.call_count
    simulation.run(60_000.0)
    assert simulation.call_count - earlier < 60 * 20
    assert simulation.call_count < 60 * 20 + 12 * gateways
