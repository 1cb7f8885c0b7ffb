"""Few descriptors, and idle clients that take all they can get: what the gateway needs is still there."""

import asyncio
import contextlib

import pytest
from world import ENDS, Backend, Hold, World, request, run, until

SOCKETS = 64  # the fewest that the program serves with
FEW = f"import resource\nresource.setrlimit(resource.RLIMIT_NOFILE, ({SOCKETS}, {SOCKETS}))"
IN_TIME_S = 6.0


class Idlers:
    """Clients that say nothing, or half a request, or rest after an answer, and come again when closed."""

    def __init__(self, world, count):
        self._world = world
        self._tasks = [asyncio.create_task(self._idle(i)) for i in range(count)]

    async def _idle(self, i):
        says = (b"", b"GET /api/", request())[i % 3]
        while True:
            with contextlib.suppress(*ENDS[:2]):
                client = await self._world.connect()
                try:
                    client.send(says)
                    while await client.reader.read(4096):
                        pass
                finally:
                    client.writer.transport.abort()
            await asyncio.sleep(0.05)

    def stop(self):
        for task in self._tasks:
            task.cancel()


async def down(world):
    """Discovery and the counter die."""
    for server in (world.discovery, world.counter):
        server.server.close()
        for writer in server.writers:
            writer.transport.abort()


async def up(world):
    for server in (world.discovery, world.counter):
        server.server = await asyncio.start_server(server._serve, "127.0.0.1", server.port)


@pytest.mark.parametrize("ask", ["push", "ask"])
def test_with_all_descriptors_taken_by_idle_clients_discovery_counter_and_backends_are_reached(ask):
    async def scene():
        backends = {f"b{i}": Backend() for i in range(8)}
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS}
        async with World(backends, limits=limits, patch=FEW, changes={"discovery": ask}) as w:
            assert (await w.call(request(plan="basic"))).status == 200
            await down(w)
            idlers = Idlers(w, 150)
            holds = [Hold() for _ in backends]  # as many connections to backends as there may be
            for backend, hold in zip(backends.values(), holds, strict=True):
                backend.reply = hold
            calls = [asyncio.create_task(w.call(request())) for _ in range(24)]
            await asyncio.sleep(3.0)
            for hold in holds:
                hold.release.set()
            assert [answer.status for answer in await asyncio.gather(*calls)] == [200] * len(calls)
            b0, w.discovery.generation = backends["b0"], w.discovery.generation + 1
            w.discovery.entries["b0"] = w.discovery.entry("b0", b0.port, "Terminating")
            lines, heard = len(w.counter.lines), len(w.discovery.targets)
            async with asyncio.timeout(IN_TIME_S):
                await up(w)
                await until(lambda: len(w.discovery.targets) > heard)
                await asyncio.sleep(0.3)  # the drain is heard
                seen = len(b0.seen)
                while len(w.counter.lines) == lines:
                    await w.call(request(plan="basic", customer="0000000000000007"))
            async with asyncio.timeout(20.0):
                assert [(await w.call(request())).status for _ in range(40)] == [200] * 40
            idlers.stop()
            assert len(b0.seen) == seen and b0.ended == b0.connections
    run(scene)
