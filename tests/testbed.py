"""Real gateways that share a counter, among stand-ins on loopback, each with a wall clock of its own.

A gateway's wall clock is off from its start, as after a step and a restart; its monotonic clock runs on.
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

STEPPED = "import time\nwall = time.time\ntime.time = lambda: wall() + {}\n"
RATE_UNITS_PER_S, BURST_UNITS = 0.2, 20.0  # units a second, and at once
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
READY_S = 30.0
OWN_CLOCK = re.compile(r"fleet time: own clock ([+-]\d+) ms")  # as a gateway logs it
RATE_PER_S = 300.0
WORK_S = 0.02  # of a request: so several are out at once, and all backends get some
WARM_BACKENDS = 6  # backends that have been up for long; the next one starts


class BusyCounter(Counter):
    """Turns each call away while it is `busy`."""

    busy = False

    def answer(self, line):
        return b"busy\r\n" if self.busy else super().answer(line)


class Testbed:
    """Stand-ins, and gateways by number, each with a wall clock of its own."""

    def __init__(self, stack, home):
        self.stack, self.home = stack, home
        self.programs, self.agents = {}, {}

    async def start(self, backends):
        self.backends, self.counter = await Backends(WORK_S).start(), await BusyCounter().start()
        self.stack.callback(self.backends.close)
        self.stack.callback(self.counter.close)
        self.backend_list = BackendList(backends, self.backends.port)

    async def start_gateway(self, me, step_s=0.0, **obligations):
        if me in self.programs:
            await self.programs[me].kill()
        if me not in self.agents:
            self.agents[me] = await DiscoveryAgent(self.backend_list).start()
            self.stack.callback(self.agents[me].close)
        settings = {**BASE_SETTINGS, "me": me, "instances": 2, "plans": [{"name": "free"}, *PLANS.values()]}
        settings["obligations"] = {**BASE_SETTINGS["obligations"], **obligations}
        program = Program(
            self.home,
            settings,
            self.agents[me].port,
            self.counter.port,
            self.backend_list.full_list(),
            patch=STEPPED.format(step_s),
            host=f"127.0.0.{2 + me}",
        )
        await program.start()
        self.stack.push_async_callback(program.kill)
        assert await program.wait_until_ready(READY_S) is not None
        self.programs[me] = program

    async def stop_gateway(self, me):
        """Tell it to end, and wait until it has."""
        self.programs[me].process.terminate()
        assert await asyncio.wait_for(self.programs[me].process.wait(), READY_S) == 0

    async def fleet_ahead_s(self, me, step_s):
        """The fleet's time less real time, as that gateway came to know it."""
        async with asyncio.timeout(READY_S):
            while not (found := OWN_CLOCK.findall(self.programs[me].log_tail())):
                await asyncio.sleep(0.05)
        return int(found[-1]) / 1000.0 + step_s

    async def count_served(self, plan, each, gateways=(0, 1), customer=1):
        """So many requests of one customer through each gateway; how many were served."""
        served, out = 0, asyncio.Queue()
        connections = [ConnectionPool(self.programs[me].address) for me in gateways]
        for _ in range(each):
            for connection in connections:
                connection.send_request(
                    build_request(customer, plan, spread=2), lambda status, _: out.put_nowait(status)
                )
            await asyncio.sleep(0.02)
        for _ in range(each * len(connections)):
            served += await asyncio.wait_for(out.get(), READY_S) == 200
        for connection in connections:
            connection.close()
        return served

    async def relative_load(self, me, number, seconds):
        """Of requests without a quota: what this backend gets, beside the mean of the others."""
        before = dict(self.backends.request_counts)
        await Client(self.programs[me].address).run_open_loop(RATE_PER_S, seconds)
        got = {n: count - before.get(n, 0) for n, count in self.backends.request_counts.items()}
        own = got.pop(number, 0)
        return own / (sum(got.values()) / WARM_BACKENDS)


def run_scene(scene, backends=WARM_BACKENDS):
    async def play():
        with tempfile.TemporaryDirectory() as home:
            async with contextlib.AsyncExitStack() as stack:
                site = Testbed(stack, Path(home))
                await site.start(backends)
                await scene(site)

    run(play)
