"""The real tier of the scale rig: it runs, and its meters see what they are there for."""

import asyncio

import uvloop

from scale import real
from scale.client import Client
from scale.standins import BackendList, DiscoveryAgent


def stands_still(ms):
    """The program does so whenever discovery tells it something."""
    return f"""
import time
from elderhub import host
listed = host.Host.apply_listing
host.Host.apply_listing = lambda self, found: (
    found.event.backends and time.sleep({ms / 1000}), listed(self, found))
"""


def test_the_short_form_gives_every_figure_at_each_size():
    notes = []
    found = {figure.name: figure for figure in real.measure_figures(True, notes.append)}
    assert notes and len(found) == 40
    for name, figure in found.items():
        sizes = real.SHORT_EXTENT.customers if figure.size_of == "customers" else real.SHORT_EXTENT.sizes
        assert [size for size, _ in figure.points] == list(sizes), name
        assert figure.about and figure.command and "not served" not in figure.about, name
    assert all(value > 20.0 for _, value in found["resident memory, list known"].points)
    assert all(0.0 < value < 10.0 for _, value in found["time to ready, nothing known"].points)
    assert all(0.0 < value <= 1.0 for _, value in found["new connections a request"].points)
    written = dict(found["bytes of a whole list"].points)
    assert 3.0 < written[200] / written[50] < 4.0


def with_gateway(scene, **how):
    """`scene` is played with stand-ins, their agent, and a gateway that is ready."""

    async def play():
        async with asyncio.timeout(60), real.Testbed() as site:
            agent = await DiscoveryAgent(BackendList(100, site.backends.port)).start()
            async with site.gateway(agent, agent.backend_list.full_list(), **how) as program:
                await program.wait_until_ready(real.WAIT_LIMIT_S)
                await scene(site, agent, program)
            agent.close()

    uvloop.run(play())


def test_a_program_that_stands_still_is_seen_by_its_meter_and_by_requests_on_a_schedule():
    still_ms = 120.0

    async def scene(site, agent, program):
        client = Client(program.address)
        start = real.time.monotonic()
        await client.run_open_loop(real.REQUESTS_PER_S, 0.5)
        quiet = real.time.monotonic()
        assert program.longest_step_ms(start, quiet) < still_ms / 2
        flow = asyncio.create_task(
            real.ChangeFeed(site, [agent], agent.backend_list).run(0.01)
        )  # two: it comes back
        answers = await client.run_open_loop(real.REQUESTS_PER_S, 1.0)
        await flow
        client.close()
        assert program.longest_step_ms(quiet, real.time.monotonic()) > 0.9 * still_ms
        added = sorted(answers.latencies_ms)
        assert added[-1] > 0.8 * still_ms
        # All that were due meanwhile waited, not only the one that was out: twice seven or so.
        assert sum(ms > 0.2 * still_ms for ms in added) >= 8
        assert added[len(added) // 2] < still_ms / 4

    with_gateway(scene, metered=True, patch=stands_still(still_ms))


def test_a_leave_counts_as_in_force_only_once_the_program_has_acted_on_it():
    still_ms = 20.0

    async def scene(site, agent, program):
        client, changes = Client(program.address), real.ChangeFeed(site, [agent], agent.backend_list)
        flow = asyncio.create_task(changes.run(1.0))
        await client.run_open_loop(real.REQUESTS_PER_S, 1.0)
        await flow
        client.close()
        assert changes.propagation_ms and min(changes.propagation_ms) >= still_ms and not changes.timeouts

    with_gateway(scene, patch=stands_still(still_ms))


def test_a_list_that_is_refused_is_told_as_refused():
    async def scene(site, agent, program):
        agent.backend_list.prepare_lists(1)
        assert await real.send_full_lists([agent], agent.backend_list, 1, real.WAIT_LIMIT_S) == (1, False)

    with_gateway(scene, patch="from elderhub import lists\nlists.MAX_ENTRIES = 10\n")


def test_lists_that_are_taken_are_told_as_taken():
    async def scene(site, agent, program):
        agent.backend_list.prepare_lists(2)
        assert await real.send_full_lists([agent], agent.backend_list, 2, real.WAIT_LIMIT_S) == (2, True)
        assert agent.resume_version == agent.backend_list.generation

    with_gateway(scene)
