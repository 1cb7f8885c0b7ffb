"""A process that was restarted is soon ready, whatever it finds."""

import asyncio
import contextlib

import pytest
from world import Backend, World, free_port, request, run

READY_S = 10.0  # nine in ten have to be ready by then


async def ready(world):
    """Until the front would take it in; the seconds since it was started."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while await world.health() != 200:
        await asyncio.sleep(0.02)
        assert loop.time() - began < READY_S
    return loop.time() - began


def gone(world):
    """What is remembered names backends that are no more."""
    return {"generation": 1, "instances": [world.discovery.entry(f"old{i}", free_port()) for i in range(5)]}


@pytest.mark.parametrize(
    "what",
    [
        "discovery is silent",
        "discovery is silent and nothing is remembered",
        "discovery answers late",
        "the list is empty",
        "what is remembered is gone",
        "the counter is down",
        "all at once",
    ],
)
def test_a_restarted_gateway_is_ready_in_time(what):
    async def scene():
        backends = {} if what in ("the list is empty", "all at once") else {"b1": Backend()}
        world = World(backends, waits_until_ready=False)
        silent = "silent" in what or "late" in what or what == "all at once"
        world.discovery.mute = silent
        world.known = {"instances": []} if "nothing" in what or "empty" in what else None
        if what in ("what is remembered is gone", "all at once"):
            world.known = gone(world)
        async with world as w:
            if what in ("the counter is down", "all at once"):
                w.counter.server.close()
                for writer in w.counter.writers:
                    writer.transport.abort()
            if "late" in what:
                asyncio.get_running_loop().call_later(4.0, setattr, w.discovery, "mute", False)
            await ready(w)
            if backends and not silent:
                assert (await w.call(request())).status == 200
            assert (await w.stop()) == 0

    run(scene)


def test_a_gateway_killed_under_load_is_ready_again_in_time():
    async def scene():
        async with World({f"b{i}": Backend() for i in range(3)}) as w:

            async def load():
                while True:
                    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                        await w.call(request())
                    await asyncio.sleep(0.01)

            tasks = [asyncio.create_task(load()) for _ in range(20)]
            await asyncio.sleep(0.5)
            w.process.kill()
            await w.process.wait()
            w.waits_until_ready = False
            await w.start()
            await ready(w)
            for task in tasks:
                task.cancel()
            assert (await w.call(request())).status == 200

    run(scene)
