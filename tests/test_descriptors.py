"""With few file descriptors and many idle clients, the gateway keeps the connections that it needs."""

import asyncio
import contextlib
import socket

import pytest
from helpers import GatewayHarness, final_answers, of_type
from world import DISCONNECT_ERRORS, Backend, HeldReply, World, request, run, wait_until

from cobaltline import interface as io

SOCKETS = 64  # the lowest limit that the configuration allows
DESCRIPTOR_LIMIT_PATCH = (
    f"import resource\nresource.setrlimit(resource.RLIMIT_NOFILE, ({SOCKETS}, {SOCKETS}))"
)
RECONNECT_TIMEOUT_S = 6.0


class IdleClients:
    """Clients that send nothing, half a request or one request, stay idle, and reconnect when closed."""

    def __init__(self, world, count):
        self._world = world
        self._tasks = [asyncio.create_task(self._idle(i)) for i in range(count)]

    async def _idle(self, i):
        data = (b"", b"GET /api/", request())[i % 3]
        while True:
            with contextlib.suppress(*DISCONNECT_ERRORS[:2]):
                client = await self._world.connect()
                try:
                    client.send(data)
                    while await client.reader.read(4096):
                        pass
                finally:
                    client.writer.transport.abort()
            await asyncio.sleep(0.05)

    def stop(self):
        for task in self._tasks:
            task.cancel()


async def stop_services(world):
    """Stops discovery and the counter. Their ports stay reserved, so that no client socket gets them."""
    for server in (world.discovery, world.counter):
        server.server.close()
        for writer in server.writers:
            writer.transport.abort()
        server.port_kept = socket.socket()
        server.port_kept.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        async with asyncio.timeout(RECONNECT_TIMEOUT_S):
            while True:  # the loop closes the old socket in one of its next turns
                await asyncio.sleep(0)
                with contextlib.suppress(OSError):
                    server.port_kept.bind(("127.0.0.1", server.port))
                    break


async def restart_services(world):
    for server in (world.discovery, world.counter):
        server.server = await asyncio.start_server(server._serve, sock=server.port_kept)


def test_attempts_are_limited_by_connections_and_further_requests_wait():
    # By the length of the list, the limit would be 8.
    harness = GatewayHarness(backends=[f"b{i}" for i in range(8)], most_out=4.0)
    sent = [(name, of_type(actions, io.Send)) for name, actions in (harness.request() for _ in range(6))]
    assert [len(sends) for _, sends in sent] == [1] * 4 + [0] * 2
    assert not any(final_answers(harness.actions, name) for name, _ in sent)
    for _ in range(40):  # fast answers would raise a limit of the module's own
        first = next(iter(harness.gateway.in_flight.values()))[1]
        assert (
            len(of_type(harness.end_attempt(first.id, elapsed_ms=5.0), io.Send)) == 1
            and harness.gateway.attempts_out == 4
        )
        harness.now += 5.0
        harness.request()


@pytest.mark.parametrize("discovery_mode", ["push", "ask"])
def test_with_all_descriptors_taken_by_idle_clients_the_gateway_still_reaches_its_services(discovery_mode):
    async def scene():
        backends = {f"b{i}": Backend() for i in range(8)}
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS}
        async with World(
            backends,
            limits=limits,
            patch=DESCRIPTOR_LIMIT_PATCH,
            settings_changes={"discovery": discovery_mode},
        ) as world:
            assert (await world.call(request(plan="basic"))).status == 200
            await stop_services(world)
            idle_clients = IdleClients(world, 150)
            held_replies = [HeldReply() for _ in backends]  # the module's initial limit is one each
            for backend, held_reply in zip(backends.values(), held_replies, strict=True):
                backend.reply = held_reply
            calls = [asyncio.create_task(world.call(request())) for _ in range(24)]
            for held_reply in held_replies:
                await held_reply.reached.wait()
            await asyncio.sleep(0.5)  # short enough that the backends do not count as overloaded
            for held_reply in held_replies:
                held_reply.release.set()
            assert [answer.status for answer in await asyncio.gather(*calls)] == [200] * len(calls)
            await asyncio.sleep(2.5)
            leaving, world.discovery.generation = backends["b0"], world.discovery.generation + 1
            world.discovery.entries["b0"] = world.discovery.entry("b0", leaving.port, "Terminating")
            line_count, watch_count = len(world.counter.lines), len(world.discovery.targets)
            async with asyncio.timeout(RECONNECT_TIMEOUT_S):
                await restart_services(world)
                await wait_until(lambda: len(world.discovery.targets) > watch_count)
                await asyncio.sleep(0.3)  # the list with the drain is received
                request_count = len(leaving.requests)
                while len(world.counter.lines) == line_count:
                    await world.call(request(plan="basic", customer="0000000000000007"))
            async with asyncio.timeout(20.0):
                assert [(await world.call(request())).status for _ in range(40)] == [200] * 40
            idle_clients.stop()
            assert (
                len(leaving.requests) == request_count and leaving.closed_connections == leaving.connections
            )

    run(scene)
