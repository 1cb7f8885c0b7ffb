"""The time that a backend is told: what the client has left, with 0.15 s of slack, however long its request
lay unread. Real processes."""

import asyncio
import signal
import time

import pytest
from world import Backend, HeldReply, World, request, request_id, run, wait_until

SLACK_S = 0.15  # the protocol's
ROUNDING_S = 0.01
GRACE_S = 1.0  # the stand-in settings: from being told of a drain to the last send
PATIENCE_S = 8.0  # that requests state


def told(backend):
    """By when the backend was told that its last request is given up."""
    return float(backend.requests[-1].headers["x-timeout"]) + backend.requests[-1].received_at


@pytest.mark.parametrize("kept", [True, False], ids=["kept connection", "new connection"])
def test_a_request_that_came_while_the_gateway_was_held_up_has_less_time_left(kept):
    async def scene():
        backend = Backend()
        async with World({"b1": backend}) as w:
            client = await w.connect()
            if kept:
                client.send(request())
                assert (await client.read_response()).status == 200
            await asyncio.sleep(0.2)
            w.process.send_signal(signal.SIGSTOP)
            client.send(request())
            sent_at = time.monotonic()
            await asyncio.sleep(0.5)
            w.process.send_signal(signal.SIGCONT)
            assert (await client.read_response()).status == 200
            assert told(backend) <= sent_at + PATIENCE_S + SLACK_S + ROUNDING_S

    run(scene)


def test_a_request_that_waited_in_the_queue_of_the_listening_socket_has_less_time_left():
    async def scene():
        hold = HeldReply()
        fleet = {f"b{i}": Backend(hold) for i in range(32)}  # with fewer, attempts out would be limited
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}  # 16 connections of clients
        async with World(fleet, limits=limits) as w:
            busy = [await w.connect() for _ in range(16)]
            for client in busy:
                client.send(request())
            await wait_until(lambda: sum(len(backend.requests) for backend in fleet.values()) >= 8)
            await asyncio.sleep(0.2)
            late = await w.connect()
            late.send(request(name="late"))
            sent_at = time.monotonic()
            await asyncio.sleep(1.0)
            hold.release.set()
            assert (await late.read_response()).status == 200
            (found,) = (
                b
                for b in fleet.values()
                if b.requests and b.requests[-1].headers["x-request-id"] == request_id("late")
            )
            assert told(found) <= sent_at + PATIENCE_S + SLACK_S + ROUNDING_S
            for client in busy:
                client.writer.close()

    run(scene)


@pytest.mark.parametrize("spoke", [True, False], ids=["kept connection", "new connection"])
def test_a_request_that_lies_unread_when_its_connection_is_looked_at_is_answered(spoke):
    # One that never spoke is closed after 2 s, and an idle one may be: not while a request lies unread.
    async def scene():
        async with World({"b1": Backend()}) as w:
            client = await w.connect()
            if spoke:
                client.send(request())
                assert (await client.read_response()).status == 200
            await asyncio.sleep(0.2)
            w.process.send_signal(signal.SIGSTOP)
            client.send(request())
            await asyncio.sleep(2.5)
            w.process.send_signal(signal.SIGCONT)
            assert (await client.read_response()).status == 200

    run(scene)


def test_nothing_new_reaches_a_backend_past_its_grace_though_the_gateway_is_held_up():
    # Held up for 0.15 s again and again, on kept connections and new ones.
    async def scene():
        leaving, staying = Backend(), Backend()
        async with World({"b1": leaving, "b2": staying}) as w:

            async def held_up():
                while True:
                    w.process.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(0.15)
                    w.process.send_signal(signal.SIGCONT)
                    await asyncio.sleep(0.05)

            holds = asyncio.create_task(held_up())
            calls = [asyncio.create_task(w.call(request()))]
            told_at = None
            for k in range(150):
                calls.append(asyncio.create_task(w.call(request())))
                await asyncio.sleep(0.02)
                if k == 30:
                    w.discovery.publish(w.discovery.entry("b1", leaving.port, "Terminating"))
                    told_at = time.monotonic()
            assert {answer.status for answer in await asyncio.gather(*calls)} <= {200, 503}
            holds.cancel()
            assert leaving.requests and staying.requests[-1].received_at > told_at + GRACE_S
            assert leaving.requests[-1].received_at <= told_at + GRACE_S

    run(scene)
