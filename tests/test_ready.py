"""A restarted gateway becomes ready in time, whatever state its services are in."""

import asyncio
import contextlib

import pytest
from world import Backend, World, free_port, request, run

READY_TIMEOUT_S = 10.0  # the protocol's limit for nine in ten restarts


async def wait_until_ready(world):
    """Waits until health checks succeed; returns the seconds that took."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while await world.health() != 200:
        await asyncio.sleep(0.02)
        assert loop.time() - started_s < READY_TIMEOUT_S
    return loop.time() - started_s


def list_of_gone_backends(world):
    """Returns a cached list of backends that no longer exist."""
    return {"generation": 1, "instances": [world.discovery.entry(f"old{i}", free_port()) for i in range(5)]}


@pytest.mark.parametrize(
    "condition",
    [
        "discovery is silent",
        "discovery is silent and nothing is cached",
        "discovery answers late",
        "the list is empty",
        "the cached backends are gone",
        "the counter is down",
        "all at once",
    ],
)
def test_a_restarted_gateway_is_ready_in_time(condition):
    async def scene():
        backends = {} if condition in ("the list is empty", "all at once") else {"b1": Backend()}
        unstarted = World(backends, waits_until_ready=False)
        silent = "silent" in condition or "late" in condition or condition == "all at once"
        unstarted.discovery.mute = silent
        unstarted.known = {"instances": []} if "nothing" in condition or "empty" in condition else None
        if condition in ("the cached backends are gone", "all at once"):
            unstarted.known = list_of_gone_backends(unstarted)
        async with unstarted as world:
            if condition in ("the counter is down", "all at once"):
                world.counter.server.close()
                for writer in world.counter.writers:
                    writer.transport.abort()
            if "late" in condition:
                asyncio.get_running_loop().call_later(4.0, setattr, world.discovery, "mute", False)
            await wait_until_ready(world)
            if backends and not silent:
                assert (await world.call(request())).status == 200
            assert (await world.stop()) == 0

    run(scene)


def test_a_gateway_killed_under_load_is_ready_again_in_time():
    async def scene():
        async with World({f"b{i}": Backend() for i in range(3)}) as world:

            async def load():
                while True:
                    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                        await world.call(request())
                    await asyncio.sleep(0.01)

            tasks = [asyncio.create_task(load()) for _ in range(20)]
            await asyncio.sleep(0.5)
            world.process.kill()
            await world.process.wait()
            world.waits_until_ready = False
            await world.start()
            await wait_until_ready(world)
            for task in tasks:
                task.cancel()
            assert (await world.call(request())).status == 200

    run(scene)
