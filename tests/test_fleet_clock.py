"""The time that gateways agree on over the counter: in virtual time, the clocks alone."""

import heapq
from random import Random

import pytest

from cobaltline import interface as io
from cobaltline.fleet_clock import CYCLE_MS, NAME_LIFE_MS, FleetClock, FleetTime

NOON_MS = 1_800_000_000_000.0
WAY_MS = (0.3, 3.0)  # of a call, to the counter and back
SETTLED_MS = 10_000.0
CLOSE_MS = 500.0  # the gateways' times are within this: far less than a step


class World:
    """Gateways by their wall clocks' steps, and a counter that may fail. Time in ms from 0."""

    def __init__(self, steps_ms, seed=1, together_ms=0.0):
        self.now, self.todo, self.seq, self.rng = 0.0, [], 0, Random(seed)
        self.total, self.made_at, self.calls, self.down = 0.0, 0.0, 0, False
        self.lost = 0.0  # share of answers that never come
        self.clocks, self.steps = [], []
        self.size = len(steps_ms)
        for step_ms in steps_ms:
            self.start(step_ms, self.rng.random() * together_ms)

    def start(self, step_ms, after_ms=0.0):
        clock = FleetClock(FleetTime(known=False), self.size, Random(self.rng.random()))
        self.clocks.append(clock)
        self.steps.append(step_ms)
        self.later(after_ms, self.look, clock, NOON_MS + step_ms)

    def later(self, ms, what, *args):
        self.seq += 1
        heapq.heappush(self.todo, (self.now + ms, self.seq, what, args))

    def look(self, clock, base):
        self.send(clock, base, clock.read(self.now + base))

    def send(self, clock, base, call):
        if call is None:
            self.later(max(1.0, clock.next_at - self.now - base), self.look, clock, base)
            return
        self.calls += 1
        self.later(self.rng.uniform(*WAY_MS) / 2, self.add, clock, base, call, self.now)

    def add(self, clock, base, call, sent_at):
        if self.down:
            result = io.CountResult(call.name, io.Outcome.FULL)
        else:
            if not self.total and not call.amount or self.now - self.made_at > NAME_LIFE_MS:
                self.total, self.made_at = 0.0, self.now
            self.total += call.amount
            result = io.CountResult(call.name, io.Outcome.OK, float(f"{self.total:.7g}"))
            if self.rng.random() < self.lost:
                result = io.CountResult(call.name, io.Outcome.TIMEOUT)
        self.later(self.rng.uniform(*WAY_MS) / 2, self.answer, clock, base, result, sent_at)

    def answer(self, clock, base, result, sent_at):
        result.elapsed_ms = self.now - sent_at
        self.send(clock, base, clock.answered(self.now + base, result))

    def play(self, ms):
        end = self.now + ms
        while self.todo and self.todo[0][0] <= end:
            self.now, _, what, args = heapq.heappop(self.todo)
            what(*args)
        self.now = end

    def offs(self):
        """By how many ms each gateway's time differs from the first one's, the short way round."""
        times = [clock.time.offset_ms + step for clock, step in zip(self.clocks, self.steps, strict=True)]
        half = CYCLE_MS / 2
        return [(time - times[0] + half) % CYCLE_MS - half for time in times]

    def agree(self):
        return all(clock.time.known for clock in self.clocks) and max(map(abs, self.offs())) < CLOSE_MS


STEPS = [
    [0.0, 3_600_000.0],
    [0.0, -3_600_000.0, 7_000.0, -30_000.0],
    [1_500.0, 0.0, 0.0, 0.0, 0.0],
    [0.0] * 30 + [3_600_000.0, -2_500.0, 80_000_000.0],
]


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("steps_ms", STEPS, ids=len)
def test_gateways_agree_whatever_their_wall_clocks_say(steps_ms, seed):
    world = World(steps_ms, seed, together_ms=2000.0)
    world.play(SETTLED_MS)
    assert world.agree()


@pytest.mark.parametrize("seed", range(5))
def test_gateways_that_start_at_one_moment_agree(seed):
    world = World([0.0, 3_600_000.0, -7_000.0], seed)
    world.play(SETTLED_MS)
    assert world.agree()


@pytest.mark.parametrize("gateways", [2, 40])
@pytest.mark.parametrize("step_ms", [0.0, 3_600_000.0, -7_000.0, 1_500.0, -1_500.0])
def test_one_that_starts_anew_takes_the_time_of_the_others_and_moves_none(gateways, step_ms):
    world = World([0.0] * gateways, together_ms=1000.0)
    world.play(70_000.0)
    before = world.offs()
    world.start(step_ms)
    world.play(SETTLED_MS)
    assert world.agree()
    assert max(abs(a - b) for a, b in zip(before, world.offs()[:-1], strict=True)) < 50.0


def test_clocks_that_are_in_step_stay_as_they_are():
    world = World([0.0] * 40, together_ms=1000.0)
    world.play(130_000.0)  # the stamp is forgotten twice meanwhile
    for _ in range(20):
        world.start(0.0)
    world.play(SETTLED_MS)
    assert all(abs(clock.time.offset_ms) < 100.0 for clock in world.clocks)


@pytest.mark.parametrize("seed", range(5))
def test_answers_that_are_lost_bring_the_clocks_apart_for_a_moment_at_most(seed):
    world = World([0.0, 30_000.0, 0.0, 0.0], seed, together_ms=1000.0)
    world.lost = 0.2
    world.play(3 * SETTLED_MS)
    assert world.agree()


def test_nothing_is_known_while_the_counter_fails_and_the_clocks_agree_once_it_is_back():
    world = World([0.0, 3_600_000.0], together_ms=1000.0)
    world.down = True
    world.play(20_000.0)
    assert not any(clock.time.known for clock in world.clocks) and world.calls < 100
    world.down = False
    world.play(SETTLED_MS)
    assert world.agree()
    world.down = True
    world.play(20_000.0)
    world.down, world.total = False, 0.0  # it comes back empty
    world.play(SETTLED_MS)
    assert world.agree()


@pytest.mark.parametrize("gateways", [2, 200, 3100])
def test_the_fleet_makes_few_calls_for_it_however_large_it_is(gateways):
    world = World([0.0] * gateways, together_ms=5000.0)
    world.play(60_000.0)
    before = world.calls
    world.play(60_000.0)
    assert world.calls - before < 60 * 20
    assert world.calls < 60 * 20 + 12 * gateways
