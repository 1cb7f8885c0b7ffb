"""SIGTERM: what was taken is answered, the rest finds the door, and the exit code is 0."""

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


async def stopping(world):
    """The gateway has begun to drain: idle connections are closed first."""
    idle = await world.connect()
    idle.send(b"GET /healthz HTTP/1.1\r\n\r\n")  # so that it is known to be accepted
    assert (await idle.read_response()).status == 200
    world.process.send_signal(signal.SIGTERM)
    assert await idle.closed_by_peer()


def short(deadline_ms=8000.0):
    return {"classes": [{**entry, "giveUpMs": deadline_ms} for entry in CLASSES]}


def test_a_quiet_gateway_ends_well():
    async def scene():
        async with World({"b1": Backend()}) as w:
            idle = await w.connect()
            assert await w.stop() == 0
            assert await idle.closed_by_peer()
            assert "Traceback" not in w.log.read_text()

    run(scene)


def test_what_was_taken_is_finished_and_new_connections_are_served_for_a_while():
    async def scene():
        hold = HeldReply()
        async with World({"b1": Backend(hold), "b2": Backend(hold)}) as w:
            client = await w.connect()
            client.send(request("hold", body=b"x"))
            await hold.reached.wait()
            await stopping(w)
            late = await w.connect()  # the front does not know yet
            late.send(request(name="r2"))
            await wait_until(lambda: sum(len(b.requests) for b in w.backends.values()) == 2)
            hold.release.set()
            for one in (client, late):
                answer = await one.read_response()
                assert (answer.status, answer.headers["connection"]) == (200, "close")
                assert await one.closed_by_peer()
            assert await w.process.wait() == 0

    run(scene)


def test_pipelined_requests_that_were_read_are_answered_before_the_connection_ends():
    async def scene():
        hold = HeldReply()
        async with World({"b1": Backend(hold)}) as w:
            client = await w.connect()
            client.send(request(name="r1") + request(name="r2"))
            await hold.reached.wait()
            await stopping(w)
            hold.release.set()
            answers = [await client.read_response() for _ in range(2)]
            assert [x.headers.get("connection") for x in answers] == [None, "close"]
            assert [x.status for x in answers] == [200, 200] and await client.closed_by_peer()
            assert await w.process.wait() == 0

    run(scene)


@pytest.mark.parametrize("kind,code", [("pay", 502), ("read", 502)])
def test_what_cannot_be_finished_is_answered_before_the_kill(kind, code):
    # It may have run, so the answer promises nothing.
    async def scene():
        hold = HeldReply()
        async with World({"b1": Backend(hold)}) as w:
            client = await w.connect()
            client.send(request(kind))
            await hold.reached.wait()
            began = asyncio.get_running_loop().time()
            w.process.send_signal(signal.SIGTERM)
            answer = await client.read_response()
            assert answer.status == code
            assert asyncio.get_running_loop().time() - began > 2.0
            assert await w.process.wait() == 0

    run(scene)


def test_what_never_ran_is_refused_at_the_end():
    async def scene():
        # Its connection is opening all the while: nothing of it has left.
        with unreachable_port() as port:
            changes = {"policyLimits": {"connectTimeoutMs": 30000.0}}
            async with World(extra_ports={"b1": port}, settings_changes=changes) as w:
                client = await w.connect()
                client.send(request("pay"))
                await stopping(w)
                assert (await client.read_response()).status == 503
                assert await w.process.wait() == 0

    run(scene)


def test_short_deadlines_end_the_drain_sooner():
    async def scene():
        hold = HeldReply()
        async with World({"b1": Backend(hold)}, settings_changes=short(600.0)) as w:
            client = await w.connect()
            client.send(request("pay", X_Timeout="0.6"))
            await hold.reached.wait()
            began = asyncio.get_running_loop().time()
            w.process.send_signal(signal.SIGTERM)
            assert (await client.read_response()).status == 502
            assert asyncio.get_running_loop().time() - began < 0.6 + 0.7 + 20.0
            assert await w.process.wait() == 0

    run(scene)


def test_a_large_answer_goes_out_whole_at_the_end():
    async def scene():
        hold = HeldReply(reply_ok(b"x" * 65536))
        async with World({"b1": Backend(hold)}) as w:
            client = await w.connect()
            client.send(request())
            await hold.reached.wait()
            w.process.send_signal(signal.SIGTERM)
            hold.release.set()
            await asyncio.sleep(0.2)  # a client slow to read
            assert len((await client.read_response()).body) == 65536
            assert await w.process.wait() == 0

    run(scene)


def test_a_second_signal_changes_nothing():
    async def scene():
        hold = HeldReply()
        async with World({"b1": Backend(hold)}) as w:
            client = await w.connect()
            client.send(request())
            await hold.reached.wait()
            await stopping(w)
            w.process.send_signal(signal.SIGTERM)
            w.process.send_signal(signal.SIGINT)
            hold.release.set()
            assert (await client.read_response()).status == 200
            assert await w.process.wait() == 0

    run(scene)


def test_a_failed_attempt_is_still_tried_elsewhere_while_draining():
    async def scene():
        hold = HeldReply(reply_status(503, b"X-Not-Processed: 1\r\n"))
        first, second = Backend(hold), Backend()
        async with World({"b1": first}) as w:
            await second.start()
            client = await w.connect()
            client.send(request("pay"))
            await hold.reached.wait()
            w.discovery.publish(w.discovery.entry("b2", second.port))
            await stopping(w)
            hold.release.set()
            assert (await client.read_response()).status in (200, 503)
            assert await w.process.wait() == 0
            second.server.close()

    run(scene)


PATCH_CLOSED_DOOR = """
def deaf(self):
    pass
clients.Clients._accept = deaf
"""


def test_connections_in_the_queue_of_the_door_are_let_in_before_it_closes():
    # The machine has accepted them, and so they count as taken, though the program has not seen them yet.
    async def scene():
        backend = Backend()
        world = World({"b1": backend}, waits_until_ready=False, patch=PATCH_CLOSED_DOOR)
        async with world as w:
            waiting = None
            while waiting is None:
                try:
                    waiting = await w.connect()
                except ConnectionError:
                    await asyncio.sleep(0.02)
            more = [await w.connect() for _ in range(2)]  # no more than is sent on at once
            for i, client in enumerate([waiting, *more]):
                client.send(request(name=f"r{i}"))
            await w.discovery.watch_opened.wait()
            w.process.send_signal(signal.SIGTERM)
            for client in [waiting, *more]:
                answer = await client.read_response()
                assert (answer.status, answer.headers["connection"]) == (200, "close")
            assert await w.process.wait() == 0

    run(scene)


def test_a_connection_with_a_request_unread_or_one_just_made_is_not_closed_as_idle():
    async def scene():
        hold = HeldReply()
        async with World(
            {"b1": Backend(hold)},
            patch="clients.DRAIN_FIRST_REQUEST_TIMEOUT_S = 5.0; main.DRAIN_ACCEPT_S = 5.0",
        ) as w:
            busy = await w.connect()
            busy.send(request())
            await hold.reached.wait()
            new = await w.connect()  # accepted, and has said nothing
            await stopping(w)
            new.send(request(name="r2"))
            hold.release.set()
            for client in (busy, new):
                answer = await client.read_response()
                assert (answer.status, answer.headers["connection"]) == (200, "close")
            assert await w.process.wait() == 0

    run(scene)


def test_a_connection_that_stays_silent_is_closed_while_draining():
    async def scene():
        hold = HeldReply()
        async with World({"b1": Backend(hold)}) as w:
            busy, silent = await w.connect(), await w.connect()
            busy.send(request())
            await hold.reached.wait()
            await stopping(w)
            assert await silent.closed_by_peer()  # while another request still runs
            hold.release.set()
            assert (await busy.read_response()).status == 200
            assert await w.process.wait() == 0

    run(scene)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_signals_that_come_to_the_very_end_do_not_kill(number):
    # The interpreter gives signals back their defaults before it ends.
    async def scene():
        async with World({"b1": Backend()}) as w:
            ended = asyncio.create_task(w.stop())
            while not ended.done():
                with contextlib.suppress(ProcessLookupError):
                    os.kill(w.process.pid, number)
                await asyncio.sleep(0)
            assert await ended == 0

    run(scene)


def test_signals_in_series_end_a_gateway_once_and_well():
    # SIGHUP with a file that is half written, within a second, during a drain, and SIGTERM after it.
    async def scene():
        hold = HeldReply()
        async with World({"b1": Backend(hold)}) as w:
            client = await w.connect()
            client.send(request("pay"))
            await hold.reached.wait()
            path = w.write_config()
            whole = path.read_text()
            path.write_text(whole[: len(whole) // 2])
            for number in (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
                w.process.send_signal(number)
                await asyncio.sleep(0.05)
            path.write_text(whole)
            w.process.send_signal(signal.SIGHUP)
            w.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.05)
            hold.release.set()
            assert (await client.read_response()).status == 200
            assert await w.process.wait() == 0

    run(scene)


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.15, 0.2, 0.3])
def test_a_signal_before_it_is_ready_ends_a_gateway(after_s):
    # Before its handler is set the signal itself ends the process: nothing was taken by then.
    async def scene():
        world = World({"b1": Backend()}, waits_until_ready=False)
        world.discovery.mute = True  # it would wait for its first list for a second
        async with world as w:
            await asyncio.sleep(after_s)
            w.process.send_signal(signal.SIGTERM)
            assert await w.process.wait() in (0, -signal.SIGTERM)
            assert "Traceback" not in w.log.read_text()

    run(scene)
