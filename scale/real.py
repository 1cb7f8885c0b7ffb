"""The real tier: gateways as processes on loopback, for figures that hollow gateways cannot show.

Measures stalls of the event loop while lists arrive, the processor time, bytes and memory that discovery and
the counter take, the time to ready, and the time until a change is in force, for several sizes of the list of
backends.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import click
import numpy as np
import uvloop

from .client import Answers, Client
from .figure import Figure
from .program import METER_RESOLUTION_MS, Program, fleet_settings
from .standins import LOOPBACK_HOST, BackendList, Backends, Counter, DiscoveryAgent

COMMAND = "python -m scale.real"
REQUESTS_PER_S = 61.0  # of one gateway of the design at its peak: 190,000 over 3,100
CHANGES_PER_S = 20.0
LIST_INTERVAL_S = 1.0  # minimum time between two full lists
CHANGES_PER_DAY = 5900  # of the design
WORST_MINUTE_CHANGES = 60  # changes in the worst minute of a day: assumed, about 15 times the mean
WAIT_LIMIT_S = 30.0  # only reached if something hangs
PROPAGATION_LIMIT_S = 4.0  # after this, idle connections may end for reasons other than a change
CUSTOMERS_TIME_LIMIT_S = 50.0  # for the requests of all customers
CONCURRENT_REQUESTS = 32  # of the customers' requests
# Phases, as named in the figures.
QUIET_PHASE, LISTS_PHASE, CHANGES_PHASE = "nothing comes", "whole lists come", "20 changes a second come"


@dataclass(frozen=True, slots=True)
class Extent:
    """The amount of measurements.

    `sizes` are the sizes of the list of backends, `customers` the numbers of customers. `phase_s` is the
    duration of each phase with requests, `rest_s` of the phase at rest and `changes_s` of the phase with
    changes but without requests. `list_count` full lists are sent without requests, and each kind of start is
    repeated `start_count` times.
    """

    sizes: tuple[int, ...]
    customers: tuple[int, ...]
    phase_s: float
    rest_s: float
    changes_s: float
    list_count: int
    start_count: int


FULL_EXTENT = Extent((200, 2000, 26000, 104000), (1000, 4000, 16000, 64000), 6.0, 4.0, 3.0, 3, 3)
SHORT_EXTENT = Extent((50, 200), (100, 400), 0.6, 0.3, 0.3, 1, 1)


@dataclass
class FigureCollector:
    """Collects figures: by name, the unit, the values by size, and the reasons for missing or partial
    values."""

    rows: dict[str, dict] = field(default_factory=dict)

    def put(
        self,
        name: str,
        unit: str,
        about: str,
        size: int,
        value: float | None,
        why: str = "",
        size_of: str = "backends",
    ) -> None:
        """Adds the value of a figure at a size, or None with the reason why there is no value."""
        row = self.rows.setdefault(
            name, {"unit": unit, "about": about, "size_of": size_of, "points": [], "notes": []}
        )
        if value is not None:
            row["points"].append((float(size), float(value)))
        if why:
            row["notes"].append(f"at {size}: {why}")

    def figures(self) -> list[Figure]:
        """Returns the collected figures in the order of their first values."""
        return [
            Figure(
                name,
                row["unit"],
                row["size_of"],
                tuple(row["points"]),
                ". ".join([row["about"], *row["notes"]]),
                COMMAND,
            )
            for name, row in self.rows.items()
        ]


class Testbed:
    """The test servers that all gateways of a run share, and a directory for their files."""

    async def __aenter__(self) -> Testbed:
        self._home = tempfile.TemporaryDirectory()
        self.home = Path(self._home.name)
        self.backends, self.counter = await Backends().start(), await Counter().start()
        self.direct_backends = await Backends().start()  # used by clients without a gateway
        return self

    async def __aexit__(self, *error: object) -> None:
        self.backends.close()
        self.direct_backends.close()
        self.counter.close()
        self._home.cleanup()

    @contextlib.asynccontextmanager
    async def gateway(
        self,
        agent: DiscoveryAgent,
        known: tuple[bytes, ...] = (b"{}",),
        metered: bool = False,
        patch: str = "",
    ):
        """Runs a gateway for the time of the context; it may not be ready yet when the context is entered."""
        program = Program(
            self.home,
            fleet_settings(agent.backend_list.size),
            agent.port,
            self.counter.port,
            known,
            metered,
            patch,
        )
        await program.start()
        try:
            yield program
        finally:
            await program.kill()


async def send_full_lists(
    agents: list[DiscoveryAgent],
    backend_list: BackendList,
    count: int,
    within_s: float,
    interval_s: float = 0.0,
) -> tuple[int, bool]:
    """Sends full lists to each agent's gateway, at least `interval_s` apart, until `count` are sent or
    `within_s` has passed.

    Each list is sent at the start of a new watch, which a gateway opens only after it has applied the list
    before. Returns the number of lists and whether all of them were accepted.
    """
    before = [agent.refused_lists for agent in agents]
    start_s, sent = time.monotonic(), 0
    for agent in agents:
        agent.force_full_list = True
    while sent < count and time.monotonic() < start_s + within_s:
        due_s = time.monotonic() + interval_s
        backend_list.advance()
        back = await asyncio.gather(*(agent.restart_watch(WAIT_LIMIT_S) for agent in agents))
        sent += 1
        if not all(back) or [agent.refused_lists for agent in agents] != before:
            break
        await asyncio.sleep(due_s - time.monotonic())
    for agent in agents:
        agent.force_full_list = False
    back = await asyncio.gather(*(agent.restart_watch(WAIT_LIMIT_S) for agent in agents))
    accepted_all = all(back) and [agent.refused_lists for agent in agents] == before
    return sent, accepted_all and all(agent.resume_version == backend_list.generation for agent in agents)


class ChangeFeed:
    """Sends changes of entries, which drain and come back in turn, and measures how long a drain takes to be
    in force.

    `propagation_ms` has the measured times; `timeouts` counts drains that were not in force in time.
    """

    def __init__(self, testbed: Testbed, agents: list[DiscoveryAgent], backend_list: BackendList):
        self._backends, self._agents, self._backend_list = testbed.backends, agents, backend_list
        self.propagation_ms: list[float] = []
        self.timeouts = 0

    def publish(self, entry: bytes) -> float:
        """Sends a change to all gateways; returns when the first agent sent it."""
        self._backend_list.generation += 1
        return [agent.send_changes(entry) for agent in self._agents][0]

    async def run(self, seconds: float) -> int:
        """Sends changes at CHANGES_PER_S, and returns their number.

        Each backend drains and comes back; the most recently used one is chosen if it still has connections.
        There are fewer changes if drains take long to be in force.
        """
        start_s, step = time.monotonic(), 0
        while time.monotonic() < start_s + seconds:
            number = (
                self._backends.last_reached
                if self._backends.last_reached in self._backends.open_connections
                else step
            )
            number %= self._backend_list.size
            await self.drain(number)
            for _ in range(2):
                step += 1
                await asyncio.sleep(max(0.0, start_s + step / CHANGES_PER_S - time.monotonic()))
                if step % 2:
                    self.publish(self._backend_list.entry(number))
        return step

    async def drain(self, number: int) -> None:
        """Announces that a backend drains.

        This is in force when the gateway has closed its idle connections to it and sends no more requests.
        """
        has_connections = number in self._backends.open_connections
        connections_closed = asyncio.Event()
        self._backends.on_last_closed = lambda which: connections_closed.set() if which == number else None
        told_s = self.publish(self._backend_list.entry(number, "Terminating"))
        if has_connections:
            elapsed_s = await wait_until_unused(self._backends, number, told_s, connections_closed)
            self.timeouts += elapsed_s is None
            if elapsed_s is not None:
                self.propagation_ms.append(elapsed_s * 1000.0)
        self._backends.on_last_closed = None


async def wait_until_unused(
    backends: Backends, number: int, since_s: float, connections_closed: asyncio.Event
) -> float | None:
    """Returns the seconds from `since_s` until the last connection to a backend has ended and the last
    request has reached it, or None if that takes longer than PROPAGATION_LIMIT_S."""
    try:
        await asyncio.wait_for(connections_closed.wait(), PROPAGATION_LIMIT_S)
    except TimeoutError:
        return None
    return max(backends.closed_at[number], backends.reached_at.get(number, 0.0)) - since_s


class SizeMeasurement:
    """The measurements with one size of the list of backends."""

    def __init__(
        self,
        testbed: Testbed,
        size: int,
        extent: Extent,
        collector: FigureCollector,
        progress: Callable[[str], None],
    ):
        self._testbed, self._size, self._extent = testbed, size, extent
        self._put, self._progress = collector.put, lambda text: progress(f"{size} backends: {text}")
        self._backend_list = BackendList(size, testbed.backends.port)
        self._rest_ms_per_s = 0.0  # processor time of a gateway at rest

    def put(self, name: str, unit: str, about: str, value: float | None, why: str = "") -> None:
        """Adds the value of a figure at this size, or None with the reason why there is no value."""
        self._put(name, unit, about, self._size, value, why)

    async def run(self) -> None:
        """Runs all measurements."""
        agents = [
            await DiscoveryAgent(self._backend_list).start(),
            await DiscoveryAgent(self._backend_list).start(),
        ]
        known = self._backend_list.full_list()
        try:
            self._progress("start from the known list")
            async with self._testbed.gateway(agents[0], known) as plain:
                await plain.wait_until_ready(WAIT_LIMIT_S)
                self.put("resident memory, list known", "MiB", "VmRSS, just ready", plain.memory_mb()[0])
                await self._measure_control(plain, agents[0])
                async with self._testbed.gateway(agents[1], known, metered=True) as metered:
                    await metered.wait_until_ready(WAIT_LIMIT_S)
                    await self._measure_stalls(plain, metered, agents)
                await self._measure_reload(plain)
        finally:
            for agent in agents:
                agent.close()
        await self._measure_starts(known)

    # Processor time and bytes, without requests.

    async def _measure_control(self, program: Program, agent: DiscoveryAgent) -> None:
        self._progress("at rest, changes and lists without requests")
        extent, counter = self._extent, self._testbed.counter

        async def measure_cost(work) -> tuple[float, float, int, object]:
            """Returns the elapsed seconds, processor time in ms, bytes, and the result of `work`."""
            start_s, cpu_s, start_bytes = (
                time.monotonic(),
                program.cpu_s(),
                agent.payload_bytes + counter.payload_bytes,
            )
            result = await work
            return (
                time.monotonic() - start_s,
                (program.cpu_s() - cpu_s) * 1000.0,
                agent.payload_bytes + counter.payload_bytes - start_bytes,
                result,
            )

        rest_s, rest_ms, rest_bytes, _ = await measure_cost(asyncio.sleep(extent.rest_s))
        rest_ms_per_s, bytes_per_s = rest_ms / rest_s, rest_bytes / rest_s
        self._rest_ms_per_s = rest_ms_per_s
        self.put(
            "processor time at rest", "ms/s", "Heartbeats of discovery and the counter alone", rest_ms_per_s
        )
        self.put(
            "bytes at rest",
            "B/s",
            "Payload both ways, discovery and counter, no requests",
            bytes_per_s,
        )
        elapsed_s, cpu_ms, size, change_count = await measure_cost(
            ChangeFeed(self._testbed, [agent], self._backend_list).run(extent.changes_s)
        )
        change_ms = max(0.0, cpu_ms - rest_ms_per_s * elapsed_s) / change_count
        self.put(
            "processor time for a change",
            "ms",
            f"Of one entry, over that at rest; at {CHANGES_PER_S:.0f}/s without requests",
            change_ms,
        )
        self.put(
            "bytes of a change",
            "B",
            "Payload, over that at rest",
            max(0.0, size - bytes_per_s * elapsed_s) / change_count,
        )
        for name, rate, how in (
            ("a day's mean", CHANGES_PER_DAY / 86400, f"{CHANGES_PER_DAY} changes a day"),
            (
                "the worst minute",
                WORST_MINUTE_CHANGES / 60,
                f"{WORST_MINUTE_CHANGES} changes in a minute (assumed)",
            ),
        ):
            self.put(
                f"processor time for control, {name}",
                "% of a core",
                f"At rest and {how}: worked out from the two above",
                (rest_ms_per_s + rate * change_ms) / 10,
            )
        self._backend_list.prepare_lists(extent.list_count)
        elapsed_s, cpu_ms, size, (sent, accepted_all) = await measure_cost(
            send_full_lists([agent], self._backend_list, extent.list_count, WAIT_LIMIT_S)
        )
        refused = "" if accepted_all else "a whole list is refused"
        self.put(
            "processor time for a whole list",
            "ms",
            "Over that at rest, without requests; one entry in a hundred has started anew in each",
            max(0.0, cpu_ms - rest_ms_per_s * elapsed_s) / sent if accepted_all else None,
            refused,
        )
        self.put(
            "bytes of a whole list",
            "B",
            "Payload, with its watch",
            size / sent if accepted_all else sum(map(len, self._backend_list.full_list())),
            refused and f"{refused}, the bytes are its own",
        )
        self.put(
            "resident memory, most while whole lists come",
            "MiB",
            "VmHWM after them",
            program.memory_mb()[1] if accepted_all else None,
            refused,
        )

    # Stalls, with requests.

    async def _measure_stalls(self, plain: Program, metered: Program, agents: list[DiscoveryAgent]) -> None:
        seconds, backend_list, backends = self._extent.phase_s, self._backend_list, self._testbed.backends
        client, direct_client = (
            Client(plain.address),
            Client((LOOPBACK_HOST, self._testbed.direct_backends.port)),
        )
        changes = ChangeFeed(self._testbed, agents, backend_list)

        async def measure(phase: str, work) -> None:
            self._progress(f"requests while {phase}")
            gc.collect()
            since_s = time.monotonic()
            task = asyncio.create_task(work)
            answers, direct_answers = await asyncio.gather(
                client.run_open_loop(REQUESTS_PER_S, seconds),
                direct_client.run_open_loop(REQUESTS_PER_S, seconds, start_delay_s=0.5 / REQUESTS_PER_S),
            )
            result = await task
            refused = "a whole list is refused" if result is False else ""
            self._put_added(phase, answers, direct_answers, refused)
            self.put(
                f"longest step of the loop, {phase}",
                "ms",
                "How late a timer of 1 ms is, less what the process waited for a processor, inside a "
                "second gateway that gets the lists and changes but no requests; "
                f"{METER_RESOLUTION_MS} is that or less",
                None if refused else metered.longest_step_ms(since_s, time.monotonic()),
                refused,
            )

        async def send_lists() -> bool:
            return (await send_full_lists(agents, backend_list, max_lists, seconds, LIST_INTERVAL_S))[1]

        max_lists = int(seconds / LIST_INTERVAL_S) + 1
        await measure(CHANGES_PHASE, changes.run(seconds))
        backend_list.prepare_lists(max_lists)
        await measure(LISTS_PHASE, send_lists())
        accepted, requests = backends.accepted, backends.requests
        since_s, cpu_s = time.monotonic(), plain.cpu_s()
        await measure(QUIET_PHASE, asyncio.sleep(seconds))
        spent_ms = (plain.cpu_s() - cpu_s) * 1000.0 - self._rest_ms_per_s * (time.monotonic() - since_s)
        self.put(
            "processor time for a request",
            "ms",
            f"Of the gateway, over that at rest; nothing else comes, {REQUESTS_PER_S:.0f} requests/s",
            spent_ms / max(1, backends.requests - requests),
        )
        client.close()
        direct_client.close()
        self.put(
            "new connections a request",
            "1",
            "Accepted by the backends, at "
            f"{REQUESTS_PER_S:.0f} requests/s and after {2 * seconds:.0f} s of them",
            (backends.accepted - accepted) / max(1, backends.requests - requests),
        )
        propagation_ms = changes.propagation_ms
        timeout_note = (
            f"{changes.timeouts} not in force within {PROPAGATION_LIMIT_S:.0f} s" if changes.timeouts else ""
        )
        about = (
            "From the agent's write of a leave until the gateway has ended its connection there and the "
            "last request has come"
        )
        self.put(
            "time until a change is in force, median",
            "ms",
            about,
            float(np.median(propagation_ms)) if propagation_ms else None,
            timeout_note,
        )
        self.put(
            "time until a change is in force, most",
            "ms",
            f"{about}; of {len(propagation_ms)}",
            max(propagation_ms, default=None),
            timeout_note,
        )

    def _put_added(self, phase: str, answers: Answers, direct_answers: Answers, refused: str) -> None:
        direct_ms = float(np.median(direct_answers.latencies_ms))
        for statistic, share in (("median", 50), ("99th percentile", 99), ("most", 100)):
            self.put(
                f"added time, {phase}: {statistic}",
                "ms",
                f"From when a request was due, each 1/{REQUESTS_PER_S:.0f} s, to its answer's last "
                "byte, less the median of the same client's requests straight to a backend, over kept "
                "connections and half-way between; the backends answer at once",
                None if refused else float(np.percentile(answers.latencies_ms, share)) - direct_ms,
                refused or answers.describe_unserved(),
            )
        for statistic, share in (("median", 50), ("99th percentile", 99)):
            self.put(
                f"straight to a backend, {phase}: {statistic}",
                "ms",
                "No gateway: what the rig, the loopback and the machine take themselves",
                float(np.percentile(direct_answers.latencies_ms, share)),
                direct_answers.describe_unserved(),
            )
        self.put(
            f"the rig's own lateness, {phase}: 99th percentile",
            "ms",
            "Of sending a request, as where the machine is busy; it is part of the added times",
            float(np.percentile(answers.send_delays_ms, 99)),
        )

    # Reload on SIGHUP, and starts.

    async def _measure_reload(self, program: Program) -> None:
        self._progress("SIGHUP with a new address of discovery")
        backends, client = self._testbed.backends, Client(program.address)
        await client.run_open_loop(REQUESTS_PER_S, 0.2)
        client.close()
        number, connections_closed = backends.last_reached, asyncio.Event()
        self._backend_list.replace(number, self._backend_list.entry(number, "Terminating"))
        new_agent = await DiscoveryAgent(self._backend_list).start()
        program.write_config(new_agent.port)
        backends.on_last_closed = lambda which: connections_closed.set() if which == number else None
        reload_s = time.monotonic()
        program.reload()
        watch = asyncio.create_task(new_agent.wait_for_watch(WAIT_LIMIT_S))
        elapsed_s = await wait_until_unused(backends, number, reload_s, connections_closed)
        backends.on_last_closed = None
        opened = await watch
        new_agent.close()
        if not opened:
            elapsed_s = None
        why = (
            "the whole list there is refused"
            if new_agent.refused_lists
            else f"not within {PROPAGATION_LIMIT_S:.0f} s"
        )
        self.put(
            "time until a new address of discovery is in force",
            "s",
            "From SIGHUP until a leave that only the list there tells is in force",
            elapsed_s,
            why if elapsed_s is None else "",
        )

    async def _measure_starts(self, known: tuple[bytes, ...]) -> None:
        for name, with_known_list, is_silent, how in (
            ("list known", True, False, "the list in its file and an agent with nothing new"),
            ("nothing known", False, False, "the whole list from discovery"),
            ("discovery silent", True, True, "the list in its file and an agent that says nothing"),
        ):
            self._progress(f"starts, {name}")
            times_s = []
            for _ in range(self._extent.start_count):
                agent = await DiscoveryAgent(self._backend_list).start()
                agent.is_silent = is_silent
                async with self._testbed.gateway(agent, *([known] if with_known_list else [])) as program:
                    times_s.append(
                        await program.wait_until_ready(
                            WAIT_LIMIT_S, lambda agent=agent: agent.refused_lists > 0
                        )
                    )
                agent.close()
                if times_s[-1] is None:
                    break
            why = "the whole list is refused" if agent.refused_lists else "never ready"
            self.put(
                f"time to ready, {name}",
                "s",
                f"From exec to 200 on /healthz, with {how}; median of {self._extent.start_count}",
                None if None in times_s else float(np.median(times_s)),
                why if None in times_s else "",
            )


async def measure_customer_memory(
    testbed: Testbed, extent: Extent, collector: FigureCollector, progress: Callable[[str], None]
) -> None:
    """Measures the resident memory of a gateway by the number of customers seen."""
    backend_list = BackendList(extent.sizes[0], testbed.backends.port)
    agent = await DiscoveryAgent(backend_list).start()
    async with testbed.gateway(agent, backend_list.full_list()) as program:
        await program.wait_until_ready(WAIT_LIMIT_S)
        client = Client(program.address)
        await client.run_open_loop(REQUESTS_PER_S, 0.5)
        before_mb, seen, limit_s = program.memory_mb()[0], 0, time.monotonic() + CUSTOMERS_TIME_LIMIT_S
        for count in extent.customers:
            progress(f"requests of {count} customers")
            left_s = limit_s - time.monotonic()
            answers = await client.run_closed_loop(
                seen, count - seen, "thin", CONCURRENT_REQUESTS, max(0.0, left_s)
            )
            seen += len(answers.latencies_ms)
            why = answers.describe_unserved()
            if seen < count:
                why = f"only {seen} in {CUSTOMERS_TIME_LIMIT_S:.0f} s"
            collector.put(
                "memory of customers seen",
                "MiB",
                "VmRSS over that before, one request of each on a "
                f"plan with a small quota; {backend_list.size} backends",
                count,
                program.memory_mb()[0] - before_mb if seen >= count else None,
                why,
                "customers",
            )
            if seen < count:
                break
        client.close()
    agent.close()


async def measure_all(extent: Extent, progress: Callable[[str], None]) -> list[Figure]:
    """Runs all measurements and returns the figures."""
    collector = FigureCollector()
    gc.disable()  # collections would look like stalls of the gateway; they are run between the phases
    try:
        async with Testbed() as testbed:
            for size in extent.sizes:
                await SizeMeasurement(testbed, size, extent, collector, progress).run()
                gc.collect()
            await measure_customer_memory(testbed, extent, collector, progress)
    finally:
        gc.enable()
    return collector.figures()


def measure_figures(short: bool, progress: Callable[[str], None]) -> list[Figure]:
    """Returns all figures of this tier; takes up to 15 s if `short`, else up to four minutes.

    `progress` receives a line of text before each measurement.
    """
    return uvloop.run(measure_all(SHORT_EXTENT if short else FULL_EXTENT, progress))


@click.command(help=__doc__)
@click.option("--short", is_flag=True, help="Use small lists and short measurements.")
def main(short: bool) -> None:
    for figure in measure_figures(short, lambda text: click.echo(text, err=True)):
        record = figure.to_dict()
        click.echo(f"{figure.name} [{figure.unit}]")
        for size, value in figure.points:
            click.echo(f"  {size:>9,.0f} {figure.size_of}  {value:,.3f}")
        if record["slope"] is not None:
            click.echo(f"  slope {record['slope']:.2f}, residual {record['residual']:.2f}")
        click.echo(f"  {figure.about}")


if __name__ == "__main__":
    main()
