"""Reloading on SIGHUP: discovery and the counter move to new addresses without losing a request."""

import asyncio
import signal

import pytest
from test_counter import Caller
from world import Backend, Counter, Discovery, HeldReply, World, reply_ok, request, run, wait_until

from cobaltline import interface as io
from elderhub import counter as counter_module


def test_a_reload_moves_to_the_addresses_in_the_file_and_loses_no_request():
    # The old watch and connections stay open and silent, so only the signal can cause the move.
    async def scene():
        held_reply, new = HeldReply(reply_ok(b"old")), Backend(reply_ok(b"new"))
        async with World({"b1": Backend(held_reply)}) as world:
            discovery, counter = await Discovery().start(), await Counter().start()
            await new.start()
            discovery.entries["b2"] = discovery.entry("b2", new.port)
            client = await world.connect()
            client.send(request())
            await held_reply.reached.wait()
            world.write_config(discovery=f"127.0.0.1:{discovery.port}", counter=f"127.0.0.1:{counter.port}")
            world.process.send_signal(signal.SIGHUP)
            await discovery.watch_opened.wait()
            assert discovery.targets == ["/v1/servers?watch=1"]
            await wait_until(lambda: counter.connections == counter_module.CONNECTION_COUNT)
            while (await world.call(request())).body != b"new":  # until the new list is applied
                await asyncio.sleep(0.01)
            held_reply.release.set()
            assert (await client.read_response()).body == b"old"
            while not counter.lines:
                assert (await world.call(request(plan="basic"))).status in (200, 429)
            new.server.close()

    run(scene)


def test_at_a_reload_the_file_takes_precedence_over_the_environment():
    async def scene():
        unstarted = World({"b1": Backend()})
        start_discovery = await Discovery().start()
        unstarted.environ = {"NODE_DISCOVERY": f"127.0.0.1:{start_discovery.port}"}
        unstarted.known = {"instances": []}
        unstarted.waits_until_ready = False
        async with unstarted as world:
            await start_discovery.watch_opened.wait()
            assert not world.discovery.targets
            world.process.send_signal(signal.SIGHUP)
            await world.discovery.watch_opened.wait()
            assert (await call_when_ready(world)).status == 200

    run(scene)


async def call_when_ready(world):
    while await world.health() != 200:
        await asyncio.sleep(0.02)
    return await world.call(request())


@pytest.mark.parametrize(
    "text",
    ["{", "[]", "{}", '{"discovery": "here", "counter": "127.0.0.1:1"}', '{"discovery": "127.0.0.1:1"}'],
)
def test_an_invalid_file_changes_nothing(text):
    async def scene():
        async with World({"b1": Backend()}) as world:
            world.write_config().write_text(text)
            world.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: b"not reloaded" in world.log.read_bytes())
            assert world.log.read_text().count("not reloaded") == 1
            assert (await world.call(request())).status == 200
            assert len(world.discovery.targets) == 1

    run(scene)


def test_a_signal_during_the_start_does_not_end_the_process():
    async def scene():
        patch = (
            "import os, signal\nload = main.load_config\n"
            "main.load_config = lambda e: (os.kill(os.getpid(), signal.SIGHUP), load(e))[1]"
        )
        async with World({"b1": Backend()}, patch=patch) as world:
            assert (await world.call(request())).status == 200

    run(scene)


def test_calls_to_the_old_address_keep_their_outcome_and_order(monkeypatch):
    monkeypatch.setattr(counter_module, "CONNECTION_COUNT", 1)

    async def scene():
        old, new, release = (
            await Counter().start(),
            await Counter().start(),
            asyncio.Event(),
        )

        async def slow(line):
            await release.wait()

        old.answer = slow
        caller = Caller(old.port)
        await caller.wait_until_connected()
        caller.call("a")
        caller.counter.set_address(("127.0.0.1", new.port))
        await wait_until(lambda: new.connections == 1)
        caller.call("a")  # must not overtake the one before
        release.set()
        assert await caller.outcomes(2) == [io.Outcome.OK] * 2
        assert [x.total for x in caller.results] == [1.0, 2.0] and not new.lines
        caller.call("a")
        assert await caller.outcomes(3) == [io.Outcome.OK] * 3
        assert caller.results[2].total == 1.0 and len(new.lines) == 1

    run(scene)


def test_a_connection_that_ends_after_the_move_does_not_reconnect(monkeypatch):
    monkeypatch.setattr(counter_module, "CONNECTION_COUNT", 1)

    async def scene():
        old, new = await Counter().start(), await Counter().start()
        old.answer = lambda line: asyncio.sleep(1000)
        caller = Caller(old.port)
        await caller.wait_until_connected()
        caller.call("a")
        await wait_until(lambda: old.lines)
        caller.counter.set_address(("127.0.0.1", new.port))
        old.writers[0].transport.abort()
        assert await caller.outcomes() == [io.Outcome.RESET]
        caller.call("a")
        assert await caller.outcomes(2) == [io.Outcome.RESET, io.Outcome.OK]
        assert old.connections == 1 and new.connections == 1

    run(scene)
