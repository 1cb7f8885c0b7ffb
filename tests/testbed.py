"""Runs real gateways, each with a stepped wall clock, and stand-ins for a counter, backends and discovery.

All are on the loopback interface. The wall clock of a gateway is wrong from its start, as after a step and a
restart; its monotonic clock is right.
"""

import asyncio
import contextlib
import re
import tempfile
from pathlib import Path

from world import run

from scale.client import Client, ConnectionPool, build_request
from scale.program import BASE_SETTINGS, Program
from scale.standins import BackendList, Backends, Counter, DiscoveryAgent

CLOCK_STEP_PATCH = "import time\nwall = time.time\ntime.time = lambda: wall() + {}\n"
RATE_UNITS_PER_S, BURST_UNITS = 0.2, 20.0  # of the plans in `PLANS`
PLANS = {
    "quota": {"name": "quota", "unitsPerS": RATE_UNITS_PER_S, "depth": BURST_UNITS},
    "ceiling": {
        "name": "ceiling",
        "unitsPerS": RATE_UNITS_PER_S,
        "depth": BURST_UNITS,
        "hardRate": 0.24,
        "ceilingBurst": 24.0,
        "tolerance": 2.4,
    },
}
TIMEOUT_S = 30.0
OWN_CLOCK_LOG = re.compile(r"fleet time: own clock ([+-]\d+) ms")  # in the gateway's log
LOAD_RATE_PER_S = 300.0
SERVICE_TIME_S = 0.02  # long enough for concurrent requests, so that all backends receive some
WARM_BACKEND_COUNT = 6  # backends that started long ago; a cold one has this number as its index


class BusyCounter(Counter):
    """A counter that refuses each call while `is_busy`."""

    is_busy = False

    def answer(self, line):
        return b"busy\r\n" if self.is_busy else super().answer(line)


class Testbed:
    """The stand-ins and the gateways. `stack` closes all of them; `home` is a directory for their files."""

    def __init__(self, stack, home):
        self.stack, self.home = stack, home
        self.programs, self.agents = {}, {}

    async def start(self, backends):
        """Starts the stand-ins, with the given number of backends."""
        self.backends, self.counter = await Backends(SERVICE_TIME_S).start(), await BusyCounter().start()
        self.stack.callback(self.backends.close)
        self.stack.callback(self.counter.close)
        self.backend_list = BackendList(backends, self.backends.port)

    async def start_gateway(self, index, clock_step_s=0.0, **obligations):
        """Starts a gateway with its wall clock ahead by `clock_step_s`, or kills and restarts it."""
        if index in self.programs:
            await self.programs[index].kill()
        if index not in self.agents:
            self.agents[index] = await DiscoveryAgent(self.backend_list).start()
            self.stack.callback(self.agents[index].close)
        settings = {
            **BASE_SETTINGS,
            "me": index,
            "instances": 2,
            "plans": [{"name": "free"}, *PLANS.values()],
        }
        settings["obligations"] = {**BASE_SETTINGS["obligations"], **obligations}
        program = Program(
            self.home,
            settings,
            self.agents[index].port,
            self.counter.port,
            self.backend_list.full_list(),
            patch=CLOCK_STEP_PATCH.format(clock_step_s),
            host=f"127.0.0.{2 + index}",
        )
        await program.start()
        self.stack.push_async_callback(program.kill)
        assert await program.wait_until_ready(TIMEOUT_S) is not None
        self.programs[index] = program

    async def stop_gateway(self, index):
        """Sends SIGTERM to a gateway and waits for its orderly end."""
        self.programs[index].process.terminate()
        assert await asyncio.wait_for(self.programs[index].process.wait(), TIMEOUT_S) == 0

    async def fleet_time_error_s(self, index, clock_step_s):
        """Returns by how much the fleet's time that a gateway has learned is ahead of real time."""
        async with asyncio.timeout(TIMEOUT_S):
            while not (matches := OWN_CLOCK_LOG.findall(self.programs[index].log_tail())):
                await asyncio.sleep(0.05)
        return int(matches[-1]) / 1000.0 + clock_step_s

    async def count_served(self, plan, requests_per_gateway, gateways=(0, 1), customer=1):
        """Sends requests of one customer through each gateway; returns how many were served."""
        served_count, statuses = 0, asyncio.Queue()
        connections = [ConnectionPool(self.programs[index].address) for index in gateways]
        for _ in range(requests_per_gateway):
            for connection in connections:
                connection.send_request(
                    build_request(customer, plan, spread=2), lambda status, _: statuses.put_nowait(status)
                )
            await asyncio.sleep(0.02)
        for _ in range(requests_per_gateway * len(connections)):
            served_count += await asyncio.wait_for(statuses.get(), TIMEOUT_S) == 200
        for connection in connections:
            connection.close()
        return served_count

    async def relative_load(self, index, backend_index, seconds):
        """Returns the number of requests that a backend receives, relative to the mean of the others."""
        counts_before = dict(self.backends.request_counts)
        await Client(self.programs[index].address).run_open_loop(LOAD_RATE_PER_S, seconds)
        counts = {
            backend: count - counts_before.get(backend, 0)
            for backend, count in self.backends.request_counts.items()
        }
        own_count = counts.pop(backend_index, 0)
        return own_count / (sum(counts.values()) / WARM_BACKEND_COUNT)


def run_scene(scene, backends=WARM_BACKEND_COUNT):
    """Runs the coroutine function `scene` with a started `Testbed`."""

    async def run_in_testbed():
        with tempfile.TemporaryDirectory() as home:
            async with contextlib.AsyncExitStack() as stack:
                testbed = Testbed(stack, Path(home))
                await testbed.start(backends)
                await scene(testbed)

    run(run_in_testbed)
