"""Simulates the fleet clocks of gateways with stepped wall clocks, and a counter that may fail.

Time is virtual; nothing else of the gateways is simulated.
"""

import heapq
from random import Random

from cobaltline import interface as io
from cobaltline.clock_checkpoint import ClockCheckpoint
from cobaltline.fleet_clock import FleetClock
from cobaltline.fleet_time import MAX_COUNTER_TTL_MS, FleetTime, wrap_difference_ms

START_TIME_MS = 1_800_000_000_000.0
ROUND_TRIP_RANGE_MS = (0.3, 3.0)  # of a counter call
AGREEMENT_MS = 500.0  # the largest difference of times that agree; well below the clock steps


class Machine:
    """The machine of a gateway, up for `uptime_ms` when the simulation starts."""

    def __init__(self, index, uptime_ms):
        self.index, self.uptime_ms = index, uptime_ms


class Process:
    """A process of a gateway, whose wall clock was ahead of real time by `step_ms` when it started."""

    def __init__(self, clock, step_ms, machine):
        self.clock, self.step_ms, self.machine, self.is_running = clock, step_ms, machine, True

    def clock_ms(self, now):
        """Returns the time on the process's own clock."""
        return now + START_TIME_MS + self.step_ms

    def fleet_time_error_ms(self):
        """Returns by how many ms its fleet's time is ahead of real time."""
        return self.clock.time.offset_ms + self.step_ms


class ClockSimulation:
    """Runs one process per clock step in `steps_ms`; they start within `start_spread_ms`.

    Times are in ms from 0. A call reaches the counter even if its process is killed meanwhile.
    """

    def __init__(self, steps_ms, seed=1, start_spread_ms=0.0):
        self.now, self.events, self.event_count, self.rng = 0.0, [], 0, Random(seed)
        # Totals and their creation times, by counter name.
        self.totals, self.call_count, self.is_counter_down = {}, 0, False
        self.lost_result_share = 0.0  # share of calls that time out after they were counted
        self.gateway_count = len(steps_ms)
        self.processes = []
        for step_ms in steps_ms:
            self.start(step_ms, self.rng.random() * start_spread_ms)

    def make_clock(self, machine, step_ms):
        origin_ms = START_TIME_MS + step_ms - machine.uptime_ms  # on its own clock
        checkpoint = ClockCheckpoint(machine.index, origin_ms)
        return FleetClock(
            FleetTime(is_known=False), self.gateway_count, Random(self.rng.random()), checkpoint
        )

    def start(self, step_ms, after_ms=0.0, machine=None):
        """Starts a process on `machine`, or on a new machine, and returns it."""
        if machine is None:
            machine = Machine(len(self.processes), Random(len(self.processes)).uniform(0.0, 1e9))
        process = Process(self.make_clock(machine, step_ms), step_ms, machine)
        self.processes.append(process)
        self.schedule(after_ms, self.read_timestamp, process)
        return process

    def schedule(self, delay_ms, callback, *arguments):
        self.event_count += 1
        heapq.heappush(self.events, (self.now + delay_ms, self.event_count, callback, arguments))

    def terminate(self, process):
        """Tells a process to end; it runs on until `kill`."""
        call = process.clock.stop(process.clock_ms(self.now))
        if call is not None:
            self.make_call(process, call)

    def kill(self, process):
        process.is_running = False

    def read_timestamp(self, process):
        if process.is_running:
            self.make_call(process, process.clock.read(process.clock_ms(self.now)))

    def make_call(self, process, call):
        if call is None:
            self.schedule(
                max(1.0, process.clock.next_read_at - process.clock_ms(self.now)),
                self.read_timestamp,
                process,
            )
            return
        self.call_count += 1
        self.schedule(self.rng.uniform(*ROUND_TRIP_RANGE_MS) / 2, self.execute_call, process, call, self.now)

    def execute_call(self, process, call, sent_at):
        if self.is_counter_down:
            result = io.CounterResult(call.name, io.Outcome.OVERLOADED)
        else:
            total, made_at = self.totals.get(call.name, (0.0, self.now))
            if not total and not call.amount or self.now - made_at > MAX_COUNTER_TTL_MS:
                total, made_at = 0.0, self.now
            self.totals[call.name] = total + call.amount, made_at
            result = io.CounterResult(call.name, io.Outcome.OK, float(f"{total + call.amount:.7g}"))
            if self.rng.random() < self.lost_result_share:
                result = io.CounterResult(call.name, io.Outcome.TIMEOUT)
        self.schedule(
            self.rng.uniform(*ROUND_TRIP_RANGE_MS) / 2, self.deliver_result, process, result, sent_at
        )

    def deliver_result(self, process, result, sent_at):
        result.elapsed_ms = self.now - sent_at
        if process.is_running:
            self.make_call(process, process.clock.on_result(process.clock_ms(self.now), result))

    def run(self, duration_ms):
        """Processes all events of the next `duration_ms`."""
        end_ms = self.now + duration_ms
        while self.events and self.events[0][0] <= end_ms:
            self.now, _, callback, arguments = heapq.heappop(self.events)
            callback(*arguments)
        self.now = end_ms

    @property
    def clocks(self):
        return [process.clock for process in self.processes]

    def differences_ms(self):
        """Returns by how many ms the fleet's time of each process is ahead of the first one's."""
        first = self.processes[0].fleet_time_error_ms()
        return [wrap_difference_ms(process.fleet_time_error_ms() - first) for process in self.processes]

    def clocks_agree(self):
        """Whether all processes know the time and differ by less than `AGREEMENT_MS`."""
        return (
            all(clock.time.is_known for clock in self.clocks)
            and max(map(abs, self.differences_ms())) < AGREEMENT_MS
        )
