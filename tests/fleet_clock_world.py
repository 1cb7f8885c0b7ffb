"""Fleet clocks alone, in virtual time: gateways by their wall clocks' steps, and a counter that may fail."""

import heapq
from random import Random

from cobaltline import interface as io
from cobaltline.clock_checkpoint import ClockCheckpoint
from cobaltline.fleet_clock import FleetClock
from cobaltline.fleet_time import MAX_COUNTER_TTL_MS, FleetTime, wrap_difference_ms

NOON_MS = 1_800_000_000_000.0
WAY_MS = (0.3, 3.0)  # of a call, to the counter and back
AGREEMENT_MS = 500.0  # the gateways' times are within this: far less than a step


class Machine:
    """What a gateway runs on: its number, and for how long it was up at time 0."""

    def __init__(self, number, uptime_ms):
        self.number, self.uptime_ms = number, uptime_ms


class Process:
    """One run of a gateway: its clock, and what its wall clock was ahead by as it started."""

    def __init__(self, clock, step_ms, machine):
        self.clock, self.step_ms, self.machine, self.running = clock, step_ms, machine, True

    def own_ms(self, now):
        return now + NOON_MS + self.step_ms

    def fleet_ahead_ms(self):
        """Its fleet's time less real time."""
        return self.clock.time.offset_ms + self.step_ms


class ClockSimulation:
    """Time in ms from 0. A call that is out reaches the counter whatever becomes of its process."""

    def __init__(self, steps_ms, seed=1, start_spread_ms=0.0):
        self.now, self.todo, self.seq, self.rng = 0.0, [], 0, Random(seed)
        # names: total, and when it was made
        self.totals, self.call_count, self.is_counter_down = {}, 0, False
        self.lost_share = 0.0  # share of answers that never come
        self.size = len(steps_ms)
        self.processes = []
        for step_ms in steps_ms:
            self.start(step_ms, self.rng.random() * start_spread_ms)

    def make_clock(self, machine, step_ms):
        origin_ms = NOON_MS + step_ms - machine.uptime_ms  # of its own clock, when the machine started
        checkpoint = ClockCheckpoint(machine.number, origin_ms)
        return FleetClock(FleetTime(is_known=False), self.size, Random(self.rng.random()), checkpoint)

    def start(self, step_ms, after_ms=0.0, machine=None):
        """A new process, on that machine or on one of its own."""
        if machine is None:
            machine = Machine(len(self.processes), Random(len(self.processes)).uniform(0.0, 1e9))
        process = Process(self.make_clock(machine, step_ms), step_ms, machine)
        self.processes.append(process)
        self.later(after_ms, self.look, process)
        return process

    def later(self, ms, what, *args):
        self.seq += 1
        heapq.heappush(self.todo, (self.now + ms, self.seq, what, args))

    def terminate(self, process):
        """It is told to end, and runs on until it is killed."""
        call = process.clock.stop(process.own_ms(self.now))
        if call is not None:
            self.send(process, call)

    def kill(self, process):
        process.running = False

    def look(self, process):
        if process.running:
            self.send(process, process.clock.read(process.own_ms(self.now)))

    def send(self, process, call):
        if call is None:
            self.later(max(1.0, process.clock.next_read_at - process.own_ms(self.now)), self.look, process)
            return
        self.call_count += 1
        self.later(self.rng.uniform(*WAY_MS) / 2, self.add, process, call, self.now)

    def add(self, process, call, sent_at):
        if self.is_counter_down:
            result = io.CounterResult(call.name, io.Outcome.OVERLOADED)
        else:
            total, made_at = self.totals.get(call.name, (0.0, self.now))
            if not total and not call.amount or self.now - made_at > MAX_COUNTER_TTL_MS:
                total, made_at = 0.0, self.now
            self.totals[call.name] = total + call.amount, made_at
            result = io.CounterResult(call.name, io.Outcome.OK, float(f"{total + call.amount:.7g}"))
            if self.rng.random() < self.lost_share:
                result = io.CounterResult(call.name, io.Outcome.TIMEOUT)
        self.later(self.rng.uniform(*WAY_MS) / 2, self.answer, process, result, sent_at)

    def answer(self, process, result, sent_at):
        result.elapsed_ms = self.now - sent_at
        if process.running:
            self.send(process, process.clock.on_result(process.own_ms(self.now), result))

    def run(self, ms):
        end = self.now + ms
        while self.todo and self.todo[0][0] <= end:
            self.now, _, what, args = heapq.heappop(self.todo)
            what(*args)
        self.now = end

    @property
    def clocks(self):
        return [process.clock for process in self.processes]

    def offsets_ms(self):
        """By how many ms each gateway's time differs from the first one's, the short way round."""
        first = self.processes[0].fleet_ahead_ms()
        return [wrap_difference_ms(process.fleet_ahead_ms() - first) for process in self.processes]

    def clocks_agree(self):
        return (
            all(clock.time.is_known for clock in self.clocks)
            and max(map(abs, self.offsets_ms())) < AGREEMENT_MS
        )
