"""The real tier: gateways as processes on loopback, and what hollow ones don't show.

Measures the stalls of the loop while lists come in, processor time, bytes and memory for control, the time to
ready and the time until a change is in force, at several sizes of the list of backends.
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
CHANGES_PER_S = 20.0  # while a flow of changes is measured
LIST_EACH_S = 1.0  # whole lists come one after the other, but no faster than this
CHANGES_A_DAY = 5900  # of the design
WORST_MINUTE = 60  # changes in the day's worst minute: assumed, about 15 times the mean
WAIT_LIMIT_S = 30.0  # for anything that is waited for: generous, as it only tells a hang
IN_FORCE_S = 4.0  # a change of the design is by then; later, idle connections end for other reasons too
CUSTOMERS_WITHIN_S = 50.0  # for the requests of all distinct customers
AT_ONCE = 32  # of these requests
QUIET, LISTS, CHANGES = "nothing comes", "whole lists come", "20 changes a second come"


@dataclass(frozen=True, slots=True)
class Spans:
    """How much is measured: list sizes and customers; seconds of each phase with requests, at rest, and of
    changes without requests; lists without requests; starts of each kind."""

    sizes: tuple[int, ...]
    customers: tuple[int, ...]
    phase_s: float
    rest_s: float
    changes_s: float
    lists: int
    starts: int


FULL = Spans((200, 2000, 26000, 104000), (1000, 4000, 16000, 64000), 6.0, 4.0, 3.0, 3, 3)
SHORT = Spans((50, 200), (100, 400), 0.6, 0.3, 0.3, 1, 1)


@dataclass
class Sheet:
    """Figures as they come in: by name, each with unit, sizes, values, and where there is none, why."""

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
        row = self.rows.setdefault(
            name, {"unit": unit, "about": about, "size_of": size_of, "points": [], "lacks": []}
        )
        if value is not None:
            row["points"].append((float(size), float(value)))
        if why:
            row["lacks"].append(f"at {size}: {why}")

    def figures(self) -> list[Figure]:
        return [
            Figure(
                name,
                row["unit"],
                row["size_of"],
                tuple(row["points"]),
                ". ".join([row["about"], *row["lacks"]]),
                COMMAND,
            )
            for name, row in self.rows.items()
        ]


class Testbed:
    """The stand-ins that all gateways of a run share, and a directory for their files."""

    async def __aenter__(self) -> Testbed:
        self._home = tempfile.TemporaryDirectory()
        self.home = Path(self._home.name)
        self.backends, self.counter = await Backends().start(), await Counter().start()
        self.straight = await Backends().start()  # asked by a client itself, and known to no gateway
        return self

    async def __aexit__(self, *error: object) -> None:
        self.backends.close()
        self.straight.close()
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
        """A gateway from its start, which need not be ready yet, to its end."""
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
    roster: BackendList,
    count: int,
    within_s: float,
    each_s: float = 0.0,
) -> tuple[int, bool]:
    """Whole lists to each agent's gateway, one after the other and `each_s` apart at least, until there were
    `count` or the time is up.

    A watch is ended and the one that follows begins with the whole list; the gateway is back only when it has
    done with the list before. Returns the number of lists and whether all were taken.
    """
    before = [agent.refused_lists for agent in agents]
    start, sent = time.monotonic(), 0
    for agent in agents:
        agent.force_full_list = True
    while sent < count and time.monotonic() < start + within_s:
        due = time.monotonic() + each_s
        roster.advance()
        back = await asyncio.gather(*(agent.restart_watch(WAIT_LIMIT_S) for agent in agents))
        sent += 1
        if not all(back) or [agent.refused_lists for agent in agents] != before:
            break
        await asyncio.sleep(due - time.monotonic())
    for agent in agents:
        agent.force_full_list = False
    back = await asyncio.gather(*(agent.restart_watch(WAIT_LIMIT_S) for agent in agents))
    taken = all(back) and [agent.refused_lists for agent in agents] == before
    return sent, taken and all(agent.resume_version == roster.generation for agent in agents)


class ChangeFeed:
    """Entries that leave and come back in turn; notes how long a leave takes to be in force."""

    def __init__(self, site: Testbed, agents: list[DiscoveryAgent], roster: BackendList):
        self._backends, self._agents, self._roster = site.backends, agents, roster
        self.propagation_ms: list[float] = []
        self.timeouts = 0

    def tell(self, entry: bytes) -> float:
        self._roster.generation += 1
        return [agent.send_changes(entry) for agent in self._agents][0]

    async def run(self, seconds: float) -> int:
        """Changes at CHANGES_PER_S, each leave followed by a return, of backends that were just used if any
        was. Returns how many were told; fewer where leaves are long in coming into force."""
        start, step = time.monotonic(), 0
        while time.monotonic() < start + seconds:
            gone = (
                self._backends.last_reached
                if self._backends.last_reached in self._backends.open_connections
                else step
            )
            gone %= self._roster.size
            await self.leave(gone)
            for _ in range(2):
                step += 1
                await asyncio.sleep(max(0.0, start + step / CHANGES_PER_S - time.monotonic()))
                if step % 2:
                    self.tell(self._roster.entry(gone))
        return step

    async def leave(self, number: int) -> None:
        """A backend is told as leaving. That is in force once the gateway has ended the connections that it
        kept to it, and no request has come since."""
        kept = number in self._backends.open_connections
        over = asyncio.Event()
        self._backends.on_last_closed = lambda which: over.set() if which == number else None
        at = self.tell(self._roster.entry(number, "Terminating"))
        if kept:
            took = await until_gone(self._backends, number, at, over)
            self.timeouts += took is None
            if took is not None:
                self.propagation_ms.append(took * 1000.0)
        self._backends.on_last_closed = None


async def until_gone(backends: Backends, number: int, since: float, over: asyncio.Event) -> float | None:
    """Seconds until nothing leads to a backend any more: its connections have ended, and the last request has
    reached it; none where that takes longer than IN_FORCE_S."""
    try:
        await asyncio.wait_for(over.wait(), IN_FORCE_S)
    except TimeoutError:
        return None
    return max(backends.closed_at[number], backends.reached_at.get(number, 0.0)) - since


class AtSize:
    """All that is measured with a list of one size."""

    def __init__(self, site: Testbed, size: int, spans: Spans, sheet: Sheet, note: Callable[[str], None]):
        self._site, self._size, self._spans = site, size, spans
        self._put, self._note = sheet.put, lambda text: note(f"{size} backends: {text}")
        self._roster = BackendList(size, site.backends.port)
        self._rest_ms_per_s = 0.0  # processor time of a gateway to which nothing comes

    def put(self, name: str, unit: str, about: str, value: float | None, why: str = "") -> None:
        self._put(name, unit, about, self._size, value, why)

    async def run(self) -> None:
        agents = [await DiscoveryAgent(self._roster).start(), await DiscoveryAgent(self._roster).start()]
        known = self._roster.full_list()
        try:
            self._note("start from the known list")
            async with self._site.gateway(agents[0], known) as plain:
                await plain.wait_until_ready(WAIT_LIMIT_S)
                self.put("resident memory, list known", "MiB", "VmRSS, just ready", plain.memory_mb()[0])
                await self._control(plain, agents[0])
                async with self._site.gateway(agents[1], known, metered=True) as metered:
                    await metered.wait_until_ready(WAIT_LIMIT_S)
                    await self._stalls(plain, metered, agents)
                await self._moved(plain)
        finally:
            for agent in agents:
                agent.close()
        await self._starts(known)

    # Processor time and bytes, without requests.

    async def _control(self, program: Program, agent: DiscoveryAgent) -> None:
        self._note("at rest, changes and lists without requests")
        spans, counter = self._spans, self._site.counter

        async def spent(work) -> tuple[float, float, int, object]:
            """Seconds, processor time in ms, bytes, and what `work` returned."""
            began, cpu, sent = time.monotonic(), program.cpu_s(), agent.payload_bytes + counter.payload_bytes
            outcome = await work
            return (
                time.monotonic() - began,
                (program.cpu_s() - cpu) * 1000.0,
                agent.payload_bytes + counter.payload_bytes - sent,
                outcome,
            )

        rest_s, rest_ms, rest_bytes, _ = await spent(asyncio.sleep(spans.rest_s))
        per_s, bytes_per_s = rest_ms / rest_s, rest_bytes / rest_s
        self._rest_ms_per_s = per_s
        self.put("processor time at rest", "ms/s", "Heartbeats of discovery and the counter alone", per_s)
        self.put("bytes at rest", "B/s", "Payload both ways, discovery and counter, no requests", bytes_per_s)
        took_s, ms, size, told = await spent(
            ChangeFeed(self._site, [agent], self._roster).run(spans.changes_s)
        )
        change_ms = max(0.0, ms - per_s * took_s) / told
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
            max(0.0, size - bytes_per_s * took_s) / told,
        )
        for name, rate, how in (
            ("a day's mean", CHANGES_A_DAY / 86400, f"{CHANGES_A_DAY} changes a day"),
            ("the worst minute", WORST_MINUTE / 60, f"{WORST_MINUTE} changes in a minute (assumed)"),
        ):
            self.put(
                f"processor time for control, {name}",
                "% of a core",
                f"At rest and {how}: worked out from the two above",
                (per_s + rate * change_ms) / 10,
            )
        self._roster.prepare_lists(spans.lists)
        took_s, ms, size, (sent, taken) = await spent(
            send_full_lists([agent], self._roster, spans.lists, WAIT_LIMIT_S)
        )
        refused = "" if taken else "a whole list is refused"
        self.put(
            "processor time for a whole list",
            "ms",
            "Over that at rest, without requests; one entry in a hundred has started anew in each",
            max(0.0, ms - per_s * took_s) / sent if taken else None,
            refused,
        )
        self.put(
            "bytes of a whole list",
            "B",
            "Payload, with its watch",
            size / sent if taken else sum(map(len, self._roster.full_list())),
            refused and f"{refused}, the bytes are its own",
        )
        self.put(
            "resident memory, most while whole lists come",
            "MiB",
            "VmHWM after them",
            program.memory_mb()[1] if taken else None,
            refused,
        )

    # Stalls, with requests.

    async def _stalls(self, plain: Program, metered: Program, agents: list[DiscoveryAgent]) -> None:
        seconds, roster, backends = self._spans.phase_s, self._roster, self._site.backends
        client, straight = Client(plain.address), Client((LOOPBACK_HOST, self._site.straight.port))
        changes = ChangeFeed(self._site, agents, roster)

        async def measure(phase: str, work) -> None:
            self._note(f"requests while {phase}")
            gc.collect()
            since = time.monotonic()
            task = asyncio.create_task(work)
            answers, bare = await asyncio.gather(
                client.run_open_loop(REQUESTS_PER_S, seconds),
                straight.run_open_loop(REQUESTS_PER_S, seconds, start_delay_s=0.5 / REQUESTS_PER_S),
            )
            outcome = await task
            refused = "a whole list is refused" if outcome is False else ""
            self._put_added(phase, answers, bare, refused)
            self.put(
                f"longest step of the loop, {phase}",
                "ms",
                "How late a timer of 1 ms is, less what the process waited for a processor, inside a "
                "second gateway that gets the lists and changes but no requests; "
                f"{METER_RESOLUTION_MS} is that or less",
                None if refused else metered.longest_step_ms(since, time.monotonic()),
                refused,
            )

        async def flow_of_lists() -> bool:
            return (await send_full_lists(agents, roster, most, seconds, LIST_EACH_S))[1]

        most = int(seconds / LIST_EACH_S) + 1
        await measure(CHANGES, changes.run(seconds))
        roster.prepare_lists(most)
        await measure(LISTS, flow_of_lists())
        accepted, requests = backends.accepted, backends.requests
        since, cpu_s = time.monotonic(), plain.cpu_s()
        await measure(QUIET, asyncio.sleep(seconds))
        spent_ms = (plain.cpu_s() - cpu_s) * 1000.0 - self._rest_ms_per_s * (time.monotonic() - since)
        self.put(
            "processor time for a request",
            "ms",
            f"Of the gateway, over that at rest; nothing else comes, {REQUESTS_PER_S:.0f} requests/s",
            spent_ms / max(1, backends.requests - requests),
        )
        client.close()
        straight.close()
        self.put(
            "new connections a request",
            "1",
            "Accepted by the backends, at "
            f"{REQUESTS_PER_S:.0f} requests/s and after {2 * seconds:.0f} s of them",
            (backends.accepted - accepted) / max(1, backends.requests - requests),
        )
        force = changes.propagation_ms
        never = f"{changes.timeouts} not in force within {IN_FORCE_S:.0f} s" if changes.timeouts else ""
        about = (
            "From the agent's write of a leave until the gateway has ended its connection there and the "
            "last request has come"
        )
        self.put(
            "time until a change is in force, median",
            "ms",
            about,
            float(np.median(force)) if force else None,
            never,
        )
        self.put(
            "time until a change is in force, most",
            "ms",
            f"{about}; of {len(force)}",
            max(force, default=None),
            never,
        )

    def _put_added(self, phase: str, answers: Answers, bare: Answers, refused: str) -> None:
        straight_ms = float(np.median(bare.latencies_ms))
        for what, share in (("median", 50), ("99th percentile", 99), ("most", 100)):
            self.put(
                f"added time, {phase}: {what}",
                "ms",
                f"From when a request was due, each 1/{REQUESTS_PER_S:.0f} s, to its answer's last "
                "byte, less the median of the same client's requests straight to a backend, over kept "
                "connections and half-way between; the backends answer at once",
                None if refused else float(np.percentile(answers.latencies_ms, share)) - straight_ms,
                refused or answers.describe_unserved(),
            )
        for what, share in (("median", 50), ("99th percentile", 99)):
            self.put(
                f"straight to a backend, {phase}: {what}",
                "ms",
                "No gateway: what the rig, the loopback and the machine take themselves",
                float(np.percentile(bare.latencies_ms, share)),
                bare.describe_unserved(),
            )
        self.put(
            f"the rig's own lateness, {phase}: 99th percentile",
            "ms",
            "Of sending a request, as where the machine is busy; it is part of the added times",
            float(np.percentile(answers.send_delays_ms, 99)),
        )

    # SIGHUP, starts.

    async def _moved(self, program: Program) -> None:
        self._note("SIGHUP with a new address of discovery")
        backends, client = self._site.backends, Client(program.address)
        await client.run_open_loop(REQUESTS_PER_S, 0.2)
        client.close()
        number, over = backends.last_reached, asyncio.Event()
        self._roster.replace(number, self._roster.entry(number, "Terminating"))
        there = await DiscoveryAgent(self._roster).start()
        program.write_config(there.port)
        backends.on_last_closed = lambda which: over.set() if which == number else None
        at = time.monotonic()
        program.reload()
        watch = asyncio.create_task(there.wait_for_watch(WAIT_LIMIT_S))
        took = await until_gone(backends, number, at, over)
        backends.on_last_closed = None
        opened = await watch
        there.close()
        if not opened:
            took = None
        why = "the whole list there is refused" if there.refused_lists else f"not within {IN_FORCE_S:.0f} s"
        self.put(
            "time until a new address of discovery is in force",
            "s",
            "From SIGHUP until a leave that only the list there tells is in force",
            took,
            why if took is None else "",
        )

    async def _starts(self, known: tuple[bytes, ...]) -> None:
        for name, known_too, mute, how in (
            ("list known", True, False, "the list in its file and an agent with nothing new"),
            ("nothing known", False, False, "the whole list from discovery"),
            ("discovery silent", True, True, "the list in its file and an agent that says nothing"),
        ):
            self._note(f"starts, {name}")
            took = []
            for _ in range(self._spans.starts):
                agent = await DiscoveryAgent(self._roster).start()
                agent.is_silent = mute
                async with self._site.gateway(agent, *([known] if known_too else [])) as program:
                    took.append(
                        await program.wait_until_ready(
                            WAIT_LIMIT_S, lambda agent=agent: agent.refused_lists > 0
                        )
                    )
                agent.close()
                if took[-1] is None:
                    break
            why = "the whole list is refused" if agent.refused_lists else "never ready"
            self.put(
                f"time to ready, {name}",
                "s",
                f"From exec to 200 on /healthz, with {how}; median of {self._spans.starts}",
                None if None in took else float(np.median(took)),
                why if None in took else "",
            )


async def customers_seen(site: Testbed, spans: Spans, sheet: Sheet, note: Callable[[str], None]) -> None:
    """Resident memory as more and more customers are seen by one gateway."""
    roster = BackendList(spans.sizes[0], site.backends.port)
    agent = await DiscoveryAgent(roster).start()
    async with site.gateway(agent, roster.full_list()) as program:
        await program.wait_until_ready(WAIT_LIMIT_S)
        client = Client(program.address)
        await client.run_open_loop(REQUESTS_PER_S, 0.5)
        before, seen, limit = program.memory_mb()[0], 0, time.monotonic() + CUSTOMERS_WITHIN_S
        for count in spans.customers:
            note(f"requests of {count} customers")
            left_s = limit - time.monotonic()
            answers = await client.run_closed_loop(seen, count - seen, "thin", AT_ONCE, max(0.0, left_s))
            seen += len(answers.latencies_ms)
            why = answers.describe_unserved()
            if seen < count:
                why = f"only {seen} in {CUSTOMERS_WITHIN_S:.0f} s"
            sheet.put(
                "memory of customers seen",
                "MiB",
                "VmRSS over that before, one request of each on a "
                f"plan with a small quota; {roster.size} backends",
                count,
                program.memory_mb()[0] - before if seen >= count else None,
                why,
                "customers",
            )
            if seen < count:
                break
        client.close()
    agent.close()


async def measure(spans: Spans, note: Callable[[str], None]) -> list[Figure]:
    sheet = Sheet()
    gc.disable()  # a pass over the lists would look like a stall of the gateway's; it is made between phases
    try:
        async with Testbed() as site:
            for size in spans.sizes:
                await AtSize(site, size, spans, sheet, note).run()
                gc.collect()
            await customers_seen(site, spans, sheet, note)
    finally:
        gc.enable()
    return sheet.figures()


def measure_figures(short: bool, progress: Callable[[str], None]) -> list[Figure]:
    """Every figure of this tier: with small lists in under 15 s where `short`, else in under four minutes."""
    return uvloop.run(measure(SHORT if short else FULL, progress))


@click.command(help=__doc__)
@click.option("--short", is_flag=True, help="Small lists, a few seconds.")
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
