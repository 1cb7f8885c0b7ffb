"""The timeout that a backend is sent: what the client has left, however long its request lay unread."""

import asyncio
import signal
import time

import pytest
from world import Backend, HeldReply, World, request, request_id, run, wait_until

SLACK_S = 0.15  # allowed by the protocol
ROUNDING_S = 0.01
GRACE_S = 1.0  # from the notice of a drain to the last request sent, as in the test settings
REQUEST_TIMEOUT_S = 8.0  # X-Timeout of the requests


def forwarded_deadline_s(backend):
    """Returns the deadline of the backend's last request as the backend sees it, in monotonic time."""
    return float(backend.requests[-1].headers["x-timeout"]) + backend.requests[-1].received_at


@pytest.mark.parametrize("is_kept", [True, False], ids=["kept connection", "new connection"])
def test_a_request_that_arrived_while_the_gateway_was_suspended_has_less_time_left(is_kept):
    async def scene():
        backend = Backend()
        async with World({"b1": backend}) as world:
            client = await world.connect()
            if is_kept:
                client.send(request())
                assert (await client.read_response()).status == 200
            await asyncio.sleep(0.2)
            world.process.send_signal(signal.SIGSTOP)
            client.send(request())
            sent_at = time.monotonic()
            await asyncio.sleep(0.5)
            world.process.send_signal(signal.SIGCONT)
            assert (await client.read_response()).status == 200
            assert forwarded_deadline_s(backend) <= sent_at + REQUEST_TIMEOUT_S + SLACK_S + ROUNDING_S

    run(scene)


def test_a_request_that_waited_in_the_listening_queue_has_less_time_left():
    async def scene():
        held_reply = HeldReply()
        fleet = {f"b{i}": Backend(held_reply) for i in range(32)}  # so that attempts are not limited
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}  # 16 client connections
        async with World(fleet, limits=limits) as world:
            busy = [await world.connect() for _ in range(16)]
            for client in busy:
                client.send(request())
            await wait_until(lambda: sum(len(backend.requests) for backend in fleet.values()) >= 8)
            await asyncio.sleep(0.2)
            late = await world.connect()
            late.send(request(name="late"))
            sent_at = time.monotonic()
            await asyncio.sleep(1.0)
            held_reply.release.set()
            assert (await late.read_response()).status == 200
            (receiver,) = (
                b
                for b in fleet.values()
                if b.requests and b.requests[-1].headers["x-request-id"] == request_id("late")
            )
            assert forwarded_deadline_s(receiver) <= sent_at + REQUEST_TIMEOUT_S + SLACK_S + ROUNDING_S
            for client in busy:
                client.writer.close()

    run(scene)


@pytest.mark.parametrize("is_kept", [True, False], ids=["kept connection", "new connection"])
def test_an_unread_request_is_answered_though_its_connection_is_due_to_close(is_kept):
    # A connection without a request for 2 s is closed, but not while a request lies unread.
    async def scene():
        async with World({"b1": Backend()}) as world:
            client = await world.connect()
            if is_kept:
                client.send(request())
                assert (await client.read_response()).status == 200
            await asyncio.sleep(0.2)
            world.process.send_signal(signal.SIGSTOP)
            client.send(request())
            await asyncio.sleep(2.5)
            world.process.send_signal(signal.SIGCONT)
            assert (await client.read_response()).status == 200

    run(scene)


def test_no_request_reaches_a_draining_backend_after_its_grace_though_the_gateway_is_suspended():
    # The gateway is suspended for 0.15 s again and again.
    async def scene():
        leaving, staying = Backend(), Backend()
        async with World({"b1": leaving, "b2": staying}) as world:

            async def suspend_repeatedly():
                while True:
                    world.process.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(0.15)
                    world.process.send_signal(signal.SIGCONT)
                    await asyncio.sleep(0.05)

            suspensions = asyncio.create_task(suspend_repeatedly())
            calls = [asyncio.create_task(world.call(request()))]
            published_at = None
            for index in range(150):
                calls.append(asyncio.create_task(world.call(request())))
                await asyncio.sleep(0.02)
                if index == 30:
                    world.discovery.publish(world.discovery.entry("b1", leaving.port, "Terminating"))
                    published_at = time.monotonic()
            assert {answer.status for answer in await asyncio.gather(*calls)} <= {200, 503}
            suspensions.cancel()
            assert leaving.requests and staying.requests[-1].received_at > published_at + GRACE_S
            assert leaving.requests[-1].received_at <= published_at + GRACE_S

    run(scene)
