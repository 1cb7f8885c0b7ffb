"""The time that a backend is told: what the client has left, with 0.15 s of slack, however long its request
lay unread. Real processes."""

import asyncio
import signal
import time

import pytest
from world import Backend, Hold, World, named, request, run, until

SLACK_S = 0.15  # the protocol's
ROUNDING_S = 0.01
PATIENCE_S = 8.0  # that requests state


def told(backend):
    """By when the backend was told that its last request is given up."""
    return float(backend.seen[-1].headers["x-timeout"]) + backend.seen[-1].at


@pytest.mark.parametrize("kept", [True, False], ids=["kept connection", "new connection"])
def test_a_request_that_came_while_the_gateway_was_held_up_has_less_time_left(kept):
    async def scene():
        backend = Backend()
        async with World({"b1": backend}) as w:
            client = await w.connect()
            if kept:
                client.send(request())
                assert (await client.answer()).status == 200
            await asyncio.sleep(0.2)
            w.program.send_signal(signal.SIGSTOP)
            client.send(request())
            sent_at = time.monotonic()
            await asyncio.sleep(0.5)
            w.program.send_signal(signal.SIGCONT)
            assert (await client.answer()).status == 200
            assert told(backend) <= sent_at + PATIENCE_S + SLACK_S + ROUNDING_S

    run(scene)


def test_a_request_that_waited_in_the_queue_of_the_listening_socket_has_less_time_left():
    async def scene():
        hold = Hold()
        fleet = {f"b{i}": Backend(hold) for i in range(32)}  # with fewer, attempts out would be limited
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}  # 16 connections of clients
        async with World(fleet, limits=limits) as w:
            busy = [await w.connect() for _ in range(16)]
            for client in busy:
                client.send(request())
            await until(lambda: sum(len(backend.seen) for backend in fleet.values()) >= 8)
            await asyncio.sleep(0.2)
            late = await w.connect()
            late.send(request(name="late"))
            sent_at = time.monotonic()
            await asyncio.sleep(1.0)
            hold.release.set()
            assert (await late.answer()).status == 200
            (found,) = (
                b for b in fleet.values() if b.seen and b.seen[-1].headers["x-request-id"] == named("late")
            )
            assert told(found) <= sent_at + PATIENCE_S + SLACK_S + ROUNDING_S
            for client in busy:
                client.writer.close()

    run(scene)
