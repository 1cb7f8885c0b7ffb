"""Draining on SIGTERM: open requests are answered, connections are closed, and the exit status is 0."""

import asyncio
import contextlib
import os
import signal

import pytest
from world import (
    CLASSES,
    Backend,
    HeldReply,
    World,
    reply_ok,
    reply_status,
    request,
    run,
    unreachable_port,
    wait_until,
)


async def start_drain(world):
    """Sends SIGTERM and waits until the gateway drains, which closes idle connections at once."""
    idle = await world.connect()
    idle.send(b"GET /healthz HTTP/1.1\r\n\r\n")  # its answer shows that the connection is accepted
    assert (await idle.read_response()).status == 200
    world.process.send_signal(signal.SIGTERM)
    assert await idle.closed_by_peer()


def with_deadline(deadline_ms=8000.0):
    return {"classes": [{**entry, "giveUpMs": deadline_ms} for entry in CLASSES]}


def test_an_idle_gateway_exits_with_0():
    async def scene():
        async with World({"b1": Backend()}) as world:
            idle = await world.connect()
            assert await world.stop() == 0
            assert await idle.closed_by_peer()
            assert "Traceback" not in world.log.read_text()

    run(scene)


def test_open_requests_are_finished_and_new_connections_served_for_a_while():
    async def scene():
        held_reply = HeldReply()
        async with World({"b1": Backend(held_reply), "b2": Backend(held_reply)}) as world:
            client = await world.connect()
            client.send(request("hold", body=b"x"))
            await held_reply.reached.wait()
            await start_drain(world)
            late = await world.connect()
            late.send(request(name="r2"))
            await wait_until(lambda: sum(len(b.requests) for b in world.backends.values()) == 2)
            held_reply.release.set()
            for one in (client, late):
                answer = await one.read_response()
                assert (answer.status, answer.headers["connection"]) == (200, "close")
                assert await one.closed_by_peer()
            assert await world.process.wait() == 0

    run(scene)


def test_pipelined_requests_that_were_read_are_answered_before_the_connection_ends():
    async def scene():
        held_reply = HeldReply()
        async with World({"b1": Backend(held_reply)}) as world:
            client = await world.connect()
            client.send(request(name="r1") + request(name="r2"))
            await held_reply.reached.wait()
            await start_drain(world)
            held_reply.release.set()
            answers = [await client.read_response() for _ in range(2)]
            assert [x.headers.get("connection") for x in answers] == [None, "close"]
            assert [x.status for x in answers] == [200, 200] and await client.closed_by_peer()
            assert await world.process.wait() == 0

    run(scene)


@pytest.mark.parametrize("kind,status", [("pay", 502), ("read", 502)])
def test_unfinished_requests_are_answered_before_a_kill(kind, status):
    # The request may have run, so it must not be refused.
    async def scene():
        held_reply = HeldReply()
        async with World({"b1": Backend(held_reply)}) as world:
            client = await world.connect()
            client.send(request(kind))
            await held_reply.reached.wait()
            started_s = asyncio.get_running_loop().time()
            world.process.send_signal(signal.SIGTERM)
            answer = await client.read_response()
            assert answer.status == status
            assert asyncio.get_running_loop().time() - started_s > 2.0
            assert await world.process.wait() == 0

    run(scene)


def test_a_request_that_never_ran_is_refused_at_the_end():
    async def scene():
        # The connection to the backend never opens, so nothing of the request is sent.
        with unreachable_port() as port:
            changes = {"policyLimits": {"connectTimeoutMs": 30000.0}}
            async with World(extra_ports={"b1": port}, settings_changes=changes) as world:
                client = await world.connect()
                client.send(request("pay"))
                await start_drain(world)
                assert (await client.read_response()).status == 503
                assert await world.process.wait() == 0

    run(scene)


def test_short_deadlines_end_the_drain_sooner():
    async def scene():
        held_reply = HeldReply()
        async with World({"b1": Backend(held_reply)}, settings_changes=with_deadline(600.0)) as world:
            client = await world.connect()
            client.send(request("pay", X_Timeout="0.6"))
            await held_reply.reached.wait()
            started_s = asyncio.get_running_loop().time()
            world.process.send_signal(signal.SIGTERM)
            assert (await client.read_response()).status == 502
            assert asyncio.get_running_loop().time() - started_s < 0.6 + 0.7 + 20.0
            assert await world.process.wait() == 0

    run(scene)


def test_a_large_response_is_sent_completely_at_the_end():
    async def scene():
        held_reply = HeldReply(reply_ok(b"x" * 65536))
        async with World({"b1": Backend(held_reply)}) as world:
            client = await world.connect()
            client.send(request())
            await held_reply.reached.wait()
            world.process.send_signal(signal.SIGTERM)
            held_reply.release.set()
            await asyncio.sleep(0.2)  # a slow client
            assert len((await client.read_response()).body) == 65536
            assert await world.process.wait() == 0

    run(scene)


def test_a_second_signal_changes_nothing():
    async def scene():
        held_reply = HeldReply()
        async with World({"b1": Backend(held_reply)}) as world:
            client = await world.connect()
            client.send(request())
            await held_reply.reached.wait()
            await start_drain(world)
            world.process.send_signal(signal.SIGTERM)
            world.process.send_signal(signal.SIGINT)
            held_reply.release.set()
            assert (await client.read_response()).status == 200
            assert await world.process.wait() == 0

    run(scene)


def test_a_failed_attempt_is_still_retried_while_draining():
    async def scene():
        held_reply = HeldReply(reply_status(503, b"X-Not-Processed: 1\r\n"))
        first, second = Backend(held_reply), Backend()
        async with World({"b1": first}) as world:
            await second.start()
            client = await world.connect()
            client.send(request("pay"))
            await held_reply.reached.wait()
            world.discovery.publish(world.discovery.entry("b2", second.port))
            await start_drain(world)
            held_reply.release.set()
            assert (await client.read_response()).status in (200, 503)
            assert await world.process.wait() == 0
            second.server.close()

    run(scene)


PATCH_NO_ACCEPT = """
def accept_nothing(self):
    pass
clients.Clients._accept = accept_nothing
"""


def test_connections_in_the_listening_queue_are_accepted_before_the_socket_closes():
    # The operating system has accepted these connections, so their clients may have sent requests.
    async def scene():
        backend = Backend()
        unstarted = World({"b1": backend}, waits_until_ready=False, patch=PATCH_NO_ACCEPT)
        async with unstarted as world:
            waiting = None
            while waiting is None:
                try:
                    waiting = await world.connect()
                except ConnectionError:
                    await asyncio.sleep(0.02)
            more = [await world.connect() for _ in range(2)]  # few enough that all are forwarded at once
            for i, client in enumerate([waiting, *more]):
                client.send(request(name=f"r{i}"))
            await world.discovery.watch_opened.wait()
            world.process.send_signal(signal.SIGTERM)
            for client in [waiting, *more]:
                answer = await client.read_response()
                assert (answer.status, answer.headers["connection"]) == (200, "close")
            assert await world.process.wait() == 0

    run(scene)


def test_a_connection_with_an_unread_request_or_a_new_one_is_not_closed_as_idle():
    async def scene():
        held_reply = HeldReply()
        async with World(
            {"b1": Backend(held_reply)},
            patch="clients.DRAIN_FIRST_REQUEST_TIMEOUT_S = 5.0; main.DRAIN_ACCEPT_S = 5.0",
        ) as world:
            busy = await world.connect()
            busy.send(request())
            await held_reply.reached.wait()
            new = await world.connect()  # accepted, without a request yet
            await start_drain(world)
            new.send(request(name="r2"))
            held_reply.release.set()
            for client in (busy, new):
                answer = await client.read_response()
                assert (answer.status, answer.headers["connection"]) == (200, "close")
            assert await world.process.wait() == 0

    run(scene)


def test_a_connection_that_stays_silent_is_closed_while_draining():
    async def scene():
        held_reply = HeldReply()
        async with World({"b1": Backend(held_reply)}) as world:
            busy, silent = await world.connect(), await world.connect()
            busy.send(request())
            await held_reply.reached.wait()
            await start_drain(world)
            assert await silent.closed_by_peer()  # while another request still runs
            held_reply.release.set()
            assert (await busy.read_response()).status == 200
            assert await world.process.wait() == 0

    run(scene)


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_signals_until_the_exit_do_not_kill_the_process(signal_number):
    # The interpreter restores the default actions of signals before it exits.
    async def scene():
        async with World({"b1": Backend()}) as world:
            ended = asyncio.create_task(world.stop())
            while not ended.done():
                with contextlib.suppress(ProcessLookupError):
                    os.kill(world.process.pid, signal_number)
                await asyncio.sleep(0)
            assert await ended == 0

    run(scene)


def test_repeated_signals_end_a_gateway_with_0():
    # SIGHUP with a half-written file, repeated, during a drain and together with SIGTERM.
    async def scene():
        held_reply = HeldReply()
        async with World({"b1": Backend(held_reply)}) as world:
            client = await world.connect()
            client.send(request("pay"))
            await held_reply.reached.wait()
            path = world.write_config()
            whole = path.read_text()
            path.write_text(whole[: len(whole) // 2])
            for signal_number in (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
                world.process.send_signal(signal_number)
                await asyncio.sleep(0.05)
            path.write_text(whole)
            world.process.send_signal(signal.SIGHUP)
            world.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.05)
            held_reply.release.set()
            assert (await client.read_response()).status == 200
            assert await world.process.wait() == 0

    run(scene)


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.15, 0.2, 0.3])
def test_a_signal_before_it_is_ready_ends_a_gateway(after_s):
    # Before the handler is set, the signal itself may end the process; no request is open by then.
    async def scene():
        unstarted = World({"b1": Backend()}, waits_until_ready=False)
        unstarted.discovery.mute = True  # the gateway waits a second for its first list
        async with unstarted as world:
            await asyncio.sleep(after_s)
            world.process.send_signal(signal.SIGTERM)
            assert await world.process.wait() in (0, -signal.SIGTERM)
            assert "Traceback" not in world.log.read_text()

    run(scene)
