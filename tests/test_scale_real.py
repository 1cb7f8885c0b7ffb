"""Tests of the real tier of the scale test rig: its figures, and that its measurements detect stalls."""

import asyncio

import uvloop

from scale import real
from scale.client import Client
from scale.standins import BackendList, DiscoveryAgent


def stall_patch(ms):
    """Returns statements that make the gateway stall whenever it receives changes from discovery."""
    return f"""
import time
from elderhub import host
apply_listing = host.Host.apply_listing
host.Host.apply_listing = lambda self, listing: (
    listing.event.backends and time.sleep({ms / 1000}), apply_listing(self, listing))
"""


def test_the_short_form_gives_every_figure_at_each_size():
    progress_lines = []
    figures = {figure.name: figure for figure in real.measure_figures(True, progress_lines.append)}
    assert progress_lines and len(figures) == 40
    for name, figure in figures.items():
        sizes = real.SHORT_EXTENT.customers if figure.size_of == "customers" else real.SHORT_EXTENT.sizes
        assert [size for size, _ in figure.points] == list(sizes), name
        assert figure.about and figure.command and "not served" not in figure.about, name
    assert all(value > 20.0 for _, value in figures["resident memory, list known"].points)
    assert all(0.0 < value < 10.0 for _, value in figures["time to ready, nothing known"].points)
    assert all(0.0 < value <= 1.0 for _, value in figures["new connections a request"].points)
    list_bytes = dict(figures["bytes of a whole list"].points)
    assert 3.0 < list_bytes[200] / list_bytes[50] < 4.0


def run_with_gateway(scenario, **gateway_options):
    """Runs `scenario` with the test servers, a discovery agent, and a gateway that is ready."""

    async def run():
        async with asyncio.timeout(60), real.Testbed() as testbed:
            agent = await DiscoveryAgent(BackendList(100, testbed.backends.port)).start()
            async with testbed.gateway(agent, agent.backend_list.full_list(), **gateway_options) as program:
                await program.wait_until_ready(real.WAIT_LIMIT_S)
                await scenario(testbed, agent, program)
            agent.close()

    uvloop.run(run())


def test_a_stall_shows_in_the_longest_step_and_in_the_latencies_of_the_open_loop():
    stall_ms = 120.0

    async def scenario(testbed, agent, program):
        client = Client(program.address)
        start = real.time.monotonic()
        await client.run_open_loop(real.REQUESTS_PER_S, 0.5)
        stall_start = real.time.monotonic()
        assert program.longest_step_ms(start, stall_start) < stall_ms / 2
        changes_task = asyncio.create_task(
            real.ChangeFeed(testbed, [agent], agent.backend_list).run(0.01)
        )  # sends two changes: the backend drains and comes back
        answers = await client.run_open_loop(real.REQUESTS_PER_S, 1.0)
        await changes_task
        client.close()
        assert program.longest_step_ms(stall_start, real.time.monotonic()) > 0.9 * stall_ms
        latencies_ms = sorted(answers.latencies_ms)
        assert latencies_ms[-1] > 0.8 * stall_ms
        # All requests due during the two stalls waited, about seven in each, not only the one in flight.
        assert sum(ms > 0.2 * stall_ms for ms in latencies_ms) >= 8
        assert latencies_ms[len(latencies_ms) // 2] < stall_ms / 4

    run_with_gateway(scenario, metered=True, patch=stall_patch(stall_ms))


def test_a_drain_is_in_force_only_after_the_gateway_has_applied_it():
    stall_ms = 20.0  # stall of the gateway before it applies the change

    async def scenario(testbed, agent, program):
        client, changes = Client(program.address), real.ChangeFeed(testbed, [agent], agent.backend_list)
        changes_task = asyncio.create_task(changes.run(1.0))
        await client.run_open_loop(real.REQUESTS_PER_S, 1.0)
        await changes_task
        client.close()
        assert changes.propagation_ms and min(changes.propagation_ms) >= stall_ms and not changes.timeouts

    run_with_gateway(scenario, patch=stall_patch(stall_ms))


def test_a_refused_list_is_reported_as_refused():
    async def scenario(testbed, agent, program):
        agent.backend_list.prepare_lists(1)
        assert await real.send_full_lists([agent], agent.backend_list, 1, real.WAIT_LIMIT_S) == (1, False)

    run_with_gateway(scenario, patch="from elderhub import lists\nlists.MAX_ENTRIES = 10\n")


def test_accepted_lists_are_reported_as_accepted():
    async def scenario(testbed, agent, program):
        agent.backend_list.prepare_lists(2)
        assert await real.send_full_lists([agent], agent.backend_list, 2, real.WAIT_LIMIT_S) == (2, True)
        assert agent.resume_version == agent.backend_list.generation

    run_with_gateway(scenario)
