"""Real gateways on loopback among stand-ins, with load, a backend that drains and one that is lost; the rules
are checked from outside."""

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

GATEWAYS, BACKENDS = 3, 6
DRAIN_S = 1.0  # a gateway may send so long to a backend after it was told that it drains
READY_S = 30.0  # for a gateway's start: generous, as it only tells a hang
SHOW_S = 0.25  # between two states shown
DRAINS = 1  # the backend that does
DRAIN_AT, LOST_AT, GONE_AT = 0.2, 0.5, 0.6  # shares of the time: one drains, one is lost, that is told
LATE_TOLD_S = 0.2  # of all limits of time the shortest is 0.5 s: a lateness from here on is told
SIGNALS = (signal.SIGINT, signal.SIGTERM)


class CouldNotStart(Exception):
    """A gateway was not ready."""


@dataclass
class State:
    """What is shown, and the verdict in the end. `event`: what happened last."""

    seconds: float
    rules: Rules = field(default_factory=lambda: Rules(PLANS, DRAIN_S))
    tallies: dict[str, Tally] = field(default_factory=dict)
    elapsed_s: float = 0.0
    event: str = "no fault yet"
    signal: int = 0  # that ended it early
    lateness: Lateness = field(default_factory=Lateness)  # of this process: the rules' limits allow for it

    def total(self, end: str) -> int:
        return sum(tally.ends[end] for tally in self.tallies.values())

    def verdict(self) -> list[str]:
        """Lines: each rule that was broken, then the last one."""
        rules = self.rules
        lines = [
            f"broken: {rule}, {count} times, first: {rules.examples[rule]}"
            for rule, count in rules.broken.items()
        ]
        if self.lateness.worst_s > LATE_TOLD_S:
            lines.append(
                f"seen up to {self.lateness.worst_s:.1f} s late, as on a busy machine: limits of time were "
                "held no closer than that"
            )
        served, refused, failed = (self.total(end) for end in (SERVED, REFUSED, FAILED))
        asked = sum(tally.asked for tally in self.tallies.values())
        lines.append(
            f"{'interrupted; ' if self.signal else ''}{served + refused + failed} of {asked} requests "
            f"answered: {served} served, {refused} refused, {failed} failed; "
            f"rules kept: {len(RULES) - len(rules.broken)} of {len(RULES)}"
        )
        return lines

    def exit_code(self) -> int:
        """0 only where all rules were kept to the end; the shell's code for a signal."""
        return 1 if self.rules.broken else 128 + self.signal if self.signal else 0


class Site:
    """Gateways and all that they talk to; whatever was started is ended when the stack is left."""

    def __init__(self, stack: contextlib.AsyncExitStack, rules: Rules, random: Random):
        self._stack, self._rules = stack, rules
        self.backends = [Backend(f"s{n}", rules, random) for n in range(BACKENDS)]
        self.programs: list[Program] = []
        self._agents: list[DiscoveryAgent] = []

    async def start(self) -> None:
        home = Path(self._stack.enter_context(tempfile.TemporaryDirectory(prefix="rosehitch-")))
        port = 0  # one for all backends: each has an address of its own
        for n, backend in enumerate(self.backends):
            port = await backend.start(BackendList.host(n), port)
            self._stack.callback(backend.end)
        self._roster = BackendList(BACKENDS, port)
        counter = await Counter().start()
        self._stack.callback(counter.close)
        for me in range(GATEWAYS):
            agent = await DiscoveryAgent(self._roster).start()
            self._stack.callback(agent.close)
            self._agents.append(agent)
            obligations = {**BASE_SETTINGS["obligations"], "stopSendingWithinMs": DRAIN_S * 1000.0}
            settings = {
                **BASE_SETTINGS,
                "me": me,
                "instances": GATEWAYS,
                "classes": CLASSES,
                "plans": list(PLANS.values()),
                "obligations": obligations,
            }
            program = Program(
                home, settings, agent.port, counter.port, self._roster.full_list(), host=f"127.0.0.{2 + me}"
            )
            await program.start()
            self._stack.push_async_callback(program.kill)
            self.programs.append(program)

    async def ready(self) -> None:
        for program in self.programs:
            if await program.wait_until_ready(READY_S) is None:
                raise CouldNotStart(f"a gateway was not ready within {READY_S:.0f} s: {program.log_tail()}")

    def tell(self, number: int, lifecycle: str) -> None:
        """All gateways are told of a backend that drains or is gone; who watches anew gets the whole list."""
        entry = self._roster.entry(number, lifecycle)
        self._roster.replace(number, entry)
        for agent in self._agents:
            agent.force_full_list = True
            at = agent.send_changes(entry)
        self._rules.record_backend_leaving(self.backends[number].name, at)

    def look(self) -> None:
        """No gateway ends before it is told to."""
        for n, program in enumerate(self.programs):
            if program.process.returncode is not None:
                self._rules.add_violation(
                    ONE_ANSWER_RULE, f"gateway {n} ended with {program.process.returncode}"
                )


async def troubles(site: Site, state: State) -> None:
    start = time.monotonic()

    async def until(share: float) -> None:
        await asyncio.sleep(start + share * state.seconds - time.monotonic())

    await until(DRAIN_AT)
    site.tell(DRAINS, "Terminating")
    state.event = f"{site.backends[DRAINS].name} drains"
    await until(LOST_AT)
    lost = max(set(range(BACKENDS)) - {DRAINS}, key=lambda number: site.backends[number].held)
    state.event = f"{site.backends[lost].name} is lost, requests in work there: {site.backends[lost].held}"
    site.backends[lost].end()
    await until(GONE_AT)
    site.tell(lost, "Gone")
    state.event += ", and discovery tells so"


async def shown(state: State, show: Callable[[State], None]) -> None:
    start = time.monotonic()
    while True:
        state.elapsed_s = time.monotonic() - start
        show(state)
        await asyncio.sleep(SHOW_S)


async def unless(stop: asyncio.Event, work) -> bool:
    """Runs `work` to its end, or until `stop`; whether it came to its end."""
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
    seconds: float, seed: int, note: Callable[[str], None], show: Callable[[State], None]
) -> State:
    """One demo. `note` is told how the start goes, `show` the state again and again. Raises CouldNotStart."""
    state, random, stop = State(seconds), Random(seed), asyncio.Event()

    def stopped(number: int) -> None:
        state.signal = number
        stop.set()

    for number in SIGNALS:
        asyncio.get_running_loop().add_signal_handler(number, stopped, number)
    async with contextlib.AsyncExitStack() as stack:
        site = Site(stack, state.rules, random)
        note(f"starting {GATEWAYS} gateways and {BACKENDS} backends on loopback")
        try:
            await site.start()
            if not await unless(stop, site.ready()):
                return state
        except (OSError, RuntimeError) as error:
            raise CouldNotStart(error) from None
        load = Load([program.address for program in site.programs], state.rules, random)
        state.tallies = load.tallies
        beside = [
            asyncio.ensure_future(work)
            for work in (state.lateness.watch(), shown(state, show), troubles(site, state))
        ]
        for task in beside:  # a reader of standard output that goes, for one
            task.add_done_callback(lambda task: task.cancelled() or task.exception() and stop.set())
        try:
            if await unless(stop, load.run(seconds)):
                await unless(stop, load.all_answered())
        finally:
            load.close()
            for task in beside:
                task.cancel()
            ended = await asyncio.gather(*beside, return_exceptions=True)
        for error in ended:
            if isinstance(error, Exception):
                raise error
        show(state)
        if not state.signal:
            site.look()
        state.rules.evaluate(time.monotonic(), state.lateness.worst_s)
        return state
