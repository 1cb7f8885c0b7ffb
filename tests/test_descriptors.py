"""Few descriptors, and idle clients that take all they can get: what the gateway needs is still there."""

import asyncio
import contextlib
import socket

import pytest
from helpers import GatewayHarness, final_answers, of_type
from world import DISCONNECT_ERRORS, Backend, HeldReply, World, request, run, wait_until

from cobaltline import interface as io

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
            with contextlib.suppress(*DISCONNECT_ERRORS[:2]):
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
    """Discovery and the counter die. Their ports refuse, and stay theirs: a client's end could get them."""
    for server in (world.discovery, world.counter):
        server.server.close()
        for writer in server.writers:
            writer.transport.abort()
        server.port_kept = socket.socket()
        server.port_kept.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        async with asyncio.timeout(IN_TIME_S):
            while True:  # the loop closes the old one in one of its next turns
                await asyncio.sleep(0)
                with contextlib.suppress(OSError):
                    server.port_kept.bind(("127.0.0.1", server.port))
                    break


async def up(world):
    for server in (world.discovery, world.counter):
        server.server = await asyncio.start_server(server._serve, sock=server.port_kept)


def test_no_more_attempts_are_out_than_there_are_connections_and_the_rest_waits():
    # by the length of the list it would be 8
    p = GatewayHarness(backends=[f"b{i}" for i in range(8)], most_out=4.0)
    sent = [(name, of_type(actions, io.Send)) for name, actions in (p.request() for _ in range(6))]
    assert [len(sends) for _, sends in sent] == [1] * 4 + [0] * 2
    assert not any(final_answers(p.actions, name) for name, _ in sent)
    for _ in range(40):  # answers that come soon let the limit grow
        first = next(iter(p.gateway.in_flight.values()))[1]
        assert (
            len(of_type(p.end_attempt(first.id, elapsed_ms=5.0), io.Send)) == 1
            and p.gateway.attempts_out == 4
        )
        p.now += 5.0
        p.request()


@pytest.mark.parametrize("ask", ["push", "ask"])
def test_with_all_descriptors_taken_by_idle_clients_discovery_counter_and_backends_are_reached(ask):
    async def scene():
        backends = {f"b{i}": Backend() for i in range(8)}
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS}
        async with World(backends, limits=limits, patch=FEW, settings_changes={"discovery": ask}) as w:
            assert (await w.call(request(plan="basic"))).status == 200
            await down(w)
            idlers = Idlers(w, 150)
            holds = [HeldReply() for _ in backends]  # as many requests out as the gateway begins with
            for backend, hold in zip(backends.values(), holds, strict=True):
                backend.reply = hold
            calls = [asyncio.create_task(w.call(request())) for _ in range(24)]
            for hold in holds:
                await hold.reached.wait()
            await asyncio.sleep(0.5)  # not so long that the backends are taken for crowded, and some refused
            for hold in holds:
                hold.release.set()
            assert [answer.status for answer in await asyncio.gather(*calls)] == [200] * len(calls)
            await asyncio.sleep(2.5)
            b0, w.discovery.generation = backends["b0"], w.discovery.generation + 1
            w.discovery.entries["b0"] = w.discovery.entry("b0", b0.port, "Terminating")
            lines, heard = len(w.counter.lines), len(w.discovery.targets)
            async with asyncio.timeout(IN_TIME_S):
                await up(w)
                await wait_until(lambda: len(w.discovery.targets) > heard)
                await asyncio.sleep(0.3)  # the drain is heard
                seen = len(b0.requests)
                while len(w.counter.lines) == lines:
                    await w.call(request(plan="basic", customer="0000000000000007"))
            async with asyncio.timeout(20.0):
                assert [(await w.call(request())).status for _ in range(40)] == [200] * 40
            idlers.stop()
            assert len(b0.requests) == seen and b0.closed_connections == b0.connections

    run(scene)
