"""The demo: real gateways on loopback with simulated clients and servers.

One backend drains and one is lost under load. The rules are checked by what clients and backends observe.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from scale.program import BASE_SETTINGS, Program
from scale.standins import BackendList, Counter, DiscoveryAgent

from .backends import Backend
from .lateness import Lateness
from .load import CLASSES, FAILED, PLANS, REFUSED, SERVED, Load, Tally
from .rules import ONE_ANSWER_RULE, RULES, Rules

GATEWAY_COUNT, BACKEND_COUNT = 3, 6
DRAIN_GRACE_S = 1.0  # how long a gateway may go on sending to a backend that leaves
READY_TIMEOUT_S = 30.0  # long enough for a busy machine: it only detects a gateway that hangs
DISPLAY_INTERVAL_S = 0.25  # between two updates of the display
DRAINED_BACKEND = 1  # number of the backend that drains
# Shares of the run after which a backend drains, another is lost, and discovery announces the loss.
DRAIN_AT_SHARE, LOST_AT_SHARE, GONE_AT_SHARE = 0.2, 0.5, 0.6
REPORTED_LATENESS_S = 0.2  # lateness reported from here on; the shortest time limit is 0.5 s
SIGNALS = (signal.SIGINT, signal.SIGTERM)


class StartError(Exception):
    """The gateways, backends or servers of the demo could not be started."""


@dataclass
class State:
    """The state of a demo, for the display and the verdict. `event` describes the latest fault."""

    seconds: float
    rules: Rules = field(default_factory=lambda: Rules(PLANS, DRAIN_GRACE_S))
    tallies: dict[str, Tally] = field(default_factory=dict)
    elapsed_s: float = 0.0
    event: str = "no fault yet"
    signal: int = 0  # number of the signal that ended the demo early, or 0
    lateness: Lateness = field(default_factory=Lateness)  # of this process, which the time limits tolerate

    def total(self, outcome: str) -> int:
        """The number of requests with this outcome."""
        return sum(tally.outcomes[outcome] for tally in self.tallies.values())

    def verdict(self) -> list[str]:
        """The last lines of the demo: each broken rule, then the summary."""
        rules = self.rules
        lines = [
            f"broken: {rule}, {count} times, first: {rules.examples[rule]}"
            for rule, count in rules.broken.items()
        ]
        if self.lateness.worst_s > REPORTED_LATENESS_S:
            lines.append(
                f"observations were up to {self.lateness.worst_s:.1f} s late, as on a busy machine: time "
                "limits were checked with this tolerance"
            )
        served, refused, failed = (self.total(outcome) for outcome in (SERVED, REFUSED, FAILED))
        request_count = sum(tally.request_count for tally in self.tallies.values())
        lines.append(
            f"{'interrupted; ' if self.signal else ''}{served + refused + failed} of {request_count} "
            f"requests answered: {served} served, {refused} refused, {failed} failed; "
            f"rules kept: {len(RULES) - len(rules.broken)} of {len(RULES)}"
        )
        return lines

    def exit_code(self) -> int:
        """0 if all rules were kept, 1 if one was broken, 128 plus its number after a signal."""
        return 1 if self.rules.broken else 128 + self.signal if self.signal else 0


class Fleet:
    """The gateways with backends, counter service and discovery agents. All are stopped with `stack`."""

    def __init__(self, stack: contextlib.AsyncExitStack, rules: Rules, random: Random):
        self._stack, self._rules = stack, rules
        self.backends = [Backend(f"s{n}", rules, random) for n in range(BACKEND_COUNT)]
        self.programs: list[Program] = []
        self._agents: list[DiscoveryAgent] = []

    async def start(self) -> None:
        """Start everything. Raises OSError or RuntimeError."""
        directory = Path(self._stack.enter_context(tempfile.TemporaryDirectory(prefix="rosehitch-")))
        port = 0  # shared by all backends, which have addresses of their own
        for number, backend in enumerate(self.backends):
            port = await backend.start(BackendList.host(number), port)
            self._stack.callback(backend.stop)
        self._backend_list = BackendList(BACKEND_COUNT, port)
        counter = await Counter().start()
        self._stack.callback(counter.close)
        for gateway in range(GATEWAY_COUNT):
            agent = await DiscoveryAgent(self._backend_list).start()
            self._stack.callback(agent.close)
            self._agents.append(agent)
            obligations = {**BASE_SETTINGS["obligations"], "stopSendingWithinMs": DRAIN_GRACE_S * 1000.0}
            settings = {
                **BASE_SETTINGS,
                "me": gateway,
                "instances": GATEWAY_COUNT,
                "classes": CLASSES,
                "plans": list(PLANS.values()),
                "obligations": obligations,
            }
            program = Program(
                directory,
                settings,
                agent.port,
                counter.port,
                self._backend_list.full_list(),
                host=f"127.0.0.{2 + gateway}",
            )
            await program.start()
            self._stack.push_async_callback(program.kill)
            self.programs.append(program)

    async def wait_until_ready(self) -> None:
        """Wait until all gateways are ready. Raises StartError."""
        for program in self.programs:
            if await program.wait_until_ready(READY_TIMEOUT_S) is None:
                raise StartError(
                    f"a gateway was not ready within {READY_TIMEOUT_S:.0f} s: {program.log_tail()}"
                )

    def announce(self, number: int, lifecycle: str) -> None:
        """Announce to all gateways that a backend drains or is gone; new watches get the full list."""
        entry = self._backend_list.entry(number, lifecycle)
        self._backend_list.replace(number, entry)
        for agent in self._agents:
            agent.force_full_list = True
            at = agent.send_changes(entry)
        self._rules.record_backend_leaving(self.backends[number].name, at)

    def check_running(self) -> None:
        """Record a violation for each gateway that ended by itself."""
        for number, program in enumerate(self.programs):
            if program.process.returncode is not None:
                self._rules.add_violation(
                    ONE_ANSWER_RULE, f"gateway {number} ended with {program.process.returncode}"
                )


async def inject_faults(fleet: Fleet, state: State) -> None:
    """Let one backend drain, and lose the one with the most requests in progress."""
    start = time.monotonic()

    async def until(share: float) -> None:
        await asyncio.sleep(start + share * state.seconds - time.monotonic())

    await until(DRAIN_AT_SHARE)
    fleet.announce(DRAINED_BACKEND, "Terminating")
    state.event = f"{fleet.backends[DRAINED_BACKEND].name} drains"
    await until(LOST_AT_SHARE)
    lost = max(
        set(range(BACKEND_COUNT)) - {DRAINED_BACKEND}, key=lambda number: fleet.backends[number].request_count
    )
    state.event = (
        f"{fleet.backends[lost].name} is lost, requests in progress there: "
        f"{fleet.backends[lost].request_count}"
    )
    fleet.backends[lost].stop()
    await until(GONE_AT_SHARE)
    fleet.announce(lost, "Gone")
    state.event += ", and discovery announces it"


async def refresh_display(state: State, show: Callable[[State], None]) -> None:
    """Pass the state to `show` regularly until cancelled."""
    start = time.monotonic()
    while True:
        state.elapsed_s = time.monotonic() - start
        show(state)
        await asyncio.sleep(DISPLAY_INTERVAL_S)


async def run_until_stopped(stop: asyncio.Event, work) -> bool:
    """Run `work` until it ends or `stop` is set. Returns whether it ended."""
    tasks = [asyncio.ensure_future(work), asyncio.ensure_future(stop.wait())]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        if tasks[0].done():
            tasks[0].result()
        return tasks[0].done()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def play(
    seconds: float, seed: int, progress: Callable[[str], None], show: Callable[[State], None]
) -> State:
    """Run a demo and return its final state.

    `progress` is called with a line about the start, `show` regularly with the state. Raises StartError.
    """
    state, random, stop = State(seconds), Random(seed), asyncio.Event()

    def stopped(number: int) -> None:
        state.signal = number
        stop.set()

    for number in SIGNALS:
        asyncio.get_running_loop().add_signal_handler(number, stopped, number)
    async with contextlib.AsyncExitStack() as stack:
        fleet = Fleet(stack, state.rules, random)
        progress(f"starting {GATEWAY_COUNT} gateways and {BACKEND_COUNT} backends on loopback")
        try:
            await fleet.start()
            if not await run_until_stopped(stop, fleet.wait_until_ready()):
                return state
        except (OSError, RuntimeError) as error:
            raise StartError(error) from None
        load = Load([program.address for program in fleet.programs], state.rules, random)
        state.tallies = load.tallies
        background_tasks = [
            asyncio.ensure_future(work)
            for work in (state.lateness.measure(), refresh_display(state, show), inject_faults(fleet, state))
        ]
        for task in background_tasks:  # stop the demo if one fails, as when standard output is closed
            task.add_done_callback(lambda task: task.cancelled() or task.exception() and stop.set())
        try:
            if await run_until_stopped(stop, load.run(seconds)):
                await run_until_stopped(stop, load.wait_for_answers())
        finally:
            load.close()
            for task in background_tasks:
                task.cancel()
            results = await asyncio.gather(*background_tasks, return_exceptions=True)
        for error in results:
            if isinstance(error, Exception):
                raise error
        show(state)
        if not state.signal:
            fleet.check_running()
        state.rules.evaluate(time.monotonic(), state.lateness.worst_s)
        return state
