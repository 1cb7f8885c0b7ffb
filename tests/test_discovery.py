"""Discovery: the remembered list first, then a watch that is resumed."""

import asyncio
import gc
import json

import pytest
from test_config import loaded, raw_config
from world import Backend, Discovery, World, reply_ok, request, run, wait_until

from cobaltline import interface as io
from elderhub import discovery as watching
from elderhub import host
from elderhub.lists import ListReader
from emulator import virtual


def entry(name, port=1, lifecycle="Ready", **more):
    return {"instanceId": name, "hostPort": f"127.0.0.1:{port}", "lifecycle": lifecycle, **more}


ODD = {
    "generation": 7,
    "reset": True,
    "instances": [
        entry("a", zone="z", machineType="m", cell=3, weight=1.5, startedAtMs=99),
        {"instanceId": "b"},
        entry("c", "none"),
        entry("d", lifecycle="Gone"),
        entry("e", lifecycle="Odd"),
        7,
    ],
}


def test_a_list_is_read_and_what_is_malformed_in_it_passed_over():
    found = watching.parse_listing(ODD)
    assert found.event == io.BackendsChanged(
        io.ListKind.CACHED,
        7,
        (
            io.Backend("a", "z", "m", 3, io.BackendState.UP, 1.5, 99.0),
            io.Backend("d", state=io.BackendState.REMOVED),
        ),
    )
    assert found.addresses == {"a": ("127.0.0.1", 1)}


def test_what_is_malformed_in_a_list_that_comes_over_a_watch_is_passed_over():
    async def scene():
        first = {"generation": 6, "instances": [entry("d")]}
        told = heard(first, ODD)
        assert [found.event for found in told] == [
            io.BackendsChanged(io.ListKind.DELTA, 6, (io.Backend("d"),)),
            io.BackendsChanged(
                io.ListKind.DELTA,
                7,
                (
                    io.Backend("a", "z", "m", 3, io.BackendState.UP, 1.5, 99.0),
                    io.Backend("d", state=io.BackendState.REMOVED),
                ),
            ),
        ]
        assert told[1].addresses["a"] == ("127.0.0.1", 1)

    run(scene)


def take(discovery, *lists):
    """All work on lists that came over its watch, one after the other."""
    reader = ListReader()
    for one in lists:
        reader.feed(json.dumps(one).encode() + b"\n")
        while discovery._consume_slice(reader):
            pass


def heard(*lists, version=0):
    """What is told of lists."""
    told = []
    take(watching.DiscoveryClient(("127.0.0.1", 1), version, told.append), *lists)
    return told


class Watcher:
    def __init__(self, where, version=0):
        self.told = []
        self.watch = watching.DiscoveryClient(("127.0.0.1", where.port), version, self.told.append)
        self.watch.start()


def test_a_watch_is_resumed_where_it_ended():
    async def scene():
        agent = await Discovery().start()
        agent.generation = 41
        watcher = Watcher(agent, 40)
        await wait_until(lambda: len(watcher.told) == 1)
        agent.publish(agent.entry("a", 5))
        await wait_until(lambda: len(watcher.told) == 2)
        assert watcher.told[1].event.kind is io.ListKind.DELTA
        agent.writers[0].transport.abort()
        await wait_until(lambda: len(agent.targets) == 2)
        assert agent.targets == ["/v1/servers?watch=1&after=40", "/v1/servers?watch=1&after=42"]
        watcher.watch.stop()

    run(scene)


def test_a_watch_that_fell_silent_is_begun_anew(monkeypatch):
    # A machine that vanished leaves its connection open: only the missing heartbeat tells.
    monkeypatch.setattr(watching, "WATCH_SILENCE_TIMEOUT_S", 0.3)

    async def scene():
        agent = await Discovery().start()
        agent.sends_heartbeats = False
        watcher = Watcher(agent)
        await wait_until(lambda: len(agent.targets) >= 3)
        watcher.watch.stop()

    run(scene)


def test_heartbeats_keep_a_watch(monkeypatch):
    monkeypatch.setattr(watching, "WATCH_SILENCE_TIMEOUT_S", 3.0)

    async def scene():
        agent = await Discovery().start()
        watcher = Watcher(agent)
        # one a second: far longer than the silence allowed
        await wait_until(lambda: agent.heartbeats_sent >= 5)
        assert len(agent.targets) == 1
        watcher.watch.stop()

    run(scene)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 500 Odd\r\nContent-Length: 0\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnonsense\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n7\n",
    ],
)
def test_a_watch_survives_what_it_cannot_read(answer):
    async def scene():
        tries = []

        async def odd(reader, writer):
            tries.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(answer)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(odd, "127.0.0.1", 0)
        watcher = watching.DiscoveryClient(server.sockets[0].getsockname(), 0, lambda found: None)
        watcher.start()
        await wait_until(lambda: len(tries) >= 2)
        assert not watcher._task.done()
        watcher.stop()
        server.close()

    run(scene)


def test_a_gateway_serves_from_what_it_remembers_while_discovery_is_silent():
    async def scene():
        backend = Backend()
        await backend.start()
        world = World({}, patch="main.FIRST_LIST_TIMEOUT_S = 0.2; discovery.WATCH_SILENCE_TIMEOUT_S = 0.2")
        world.discovery.mute = True
        world.known = {"generation": 3, "instances": [world.discovery.entry("b1", backend.port)]}
        async with world as w:
            assert (await w.call(request())).status == 200

    run(scene)


def test_a_whole_list_replaces_the_one_before():
    async def scene():
        old, new = Backend(reply_ok(b"old")), Backend(reply_ok(b"new"))
        async with World({"b1": old}) as w:
            await new.start()
            assert (await w.call(request())).body == b"old"
            w.discovery.publish(w.discovery.entry("b2", new.port), reset=True)
            await wait_until(lambda: old.closed_connections == 1)
            assert [(await w.call(request())).body for _ in range(4)] == [b"new"] * 4
            new.server.close()

    run(scene)


def test_the_gateway_is_not_ready_before_it_has_a_backend():
    async def scene():
        backend = Backend()
        await backend.start()
        world = World({}, waits_until_ready=False)
        async with world as w:
            await wait_until(lambda: w.discovery.targets)
            while (code := await w.health()) is None:
                await asyncio.sleep(0.02)
            assert code == 503
            w.discovery.publish(w.discovery.entry("b1", backend.port))
            while await w.health() != 200:
                await asyncio.sleep(0.02)
            assert (await w.call(request())).status == 200

    run(scene)


def paused(**options):
    """The first pauses of a watch that is turned away at once again and again, after one with a list."""
    discovery = watching.DiscoveryClient(("127.0.0.1", 1), 0, lambda found: None, **options)
    return [discovery._retry_delay_s(heard, 0.0) for heard in (True, False, False, False, False)]


@pytest.mark.parametrize("poll_interval_s", [10.0, 60.0])
def test_many_gateways_that_lose_a_shared_discovery_come_back_apart_and_ever_more_seldom(poll_interval_s):
    # As seldom as a change allows that counts as told 6 s after discovery had it.
    async def scene():
        fleet = [paused(poll_interval_s=poll_interval_s) for _ in range(400)]
        for pauses, most in zip(zip(*fleet, strict=True), (2.5, 4.5, 4.5, 4.5, 4.5), strict=True):
            tenths = [int(10 * pause / most) for pause in pauses]
            assert max(pauses) <= most and max(tenths.count(i) for i in range(10)) < 100

    run(scene)


def test_watches_that_fell_silent_together_come_back_apart():
    async def scene():
        fleet = [watching.DiscoveryClient(("127.0.0.1", 1), 0, lambda found: None, 10.0) for _ in range(400)]
        for silent_s in (watching.WATCH_SILENCE_TIMEOUT_S, watching.SHARED_ANSWER_TIMEOUT_S):
            most = watching.MAX_RECONNECT_GAP_S - silent_s
            tenths = [int(10 * discovery._retry_delay_s(False, silent_s) / most) for discovery in fleet]
            assert max(tenths) < 10 and max(tenths.count(i) for i in range(10)) < 100

    run(scene)


def test_an_agent_of_its_own_is_asked_again_soon():
    async def scene():
        assert paused() == [0.1, 0.1, 0.1, 0.1, 0.1]

    run(scene)


# The clocks of what counts as told, on a loop whose time does not pass by itself.

TOLD_S, LEAST_GRACE_S = 6.0, 0.5  # after a watch fell silent; from being told to the last send


class Agent:
    """Answers a new watch with its list unless it is mute; heartbeats are up to the scene. `refuse`, where
    set, comes before a connection."""

    def __init__(self):
        self.opened, self.mute, self.line = [], False, b'{"generation":1,"reset":true,"instances":[]}'
        self.refuse = None
        self.late_s = 0.0  # so long after a call it is answered

    async def connect(self, watch, host, port):
        self.loop = asyncio.get_running_loop()
        if self.refuse is not None:
            await self.refuse()
        transport = virtual.Transport(self.loop, watch)
        watch.connection_made(transport)
        self.opened.append(self.loop.now_s)
        self.watch = watch
        if not self.mute:
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            self.loop.call_later(self.late_s, self.say, watch, self.line, head)
        return transport, watch

    def say(self, watch, line=b"", head=b""):
        if not watch.transport.is_closing():
            watch.data_received(head + b"%x\r\n%b\n\r\n" % (len(line) + 1, line))


def watched(play, poll_interval_s=0.0):
    """When each watch was opened, and each list came, while `play` says what the agent does."""
    agent, told = Agent(), []

    async def scene(loop):
        discovery = watching.DiscoveryClient(
            ("agent", 1), 0, lambda found: told.append((loop.now_s, found.event.version)), poll_interval_s
        )
        play(loop, agent)
        discovery.start()
        await asyncio.sleep(40.0)
        discovery.stop()

    virtual.run(scene, agent.connect)
    return agent.opened, told


@pytest.mark.parametrize("poll_interval_s", [0.0, 10.0, 60.0])
@pytest.mark.parametrize("beats", [0, 1, 2, 3, 5])
def test_a_watch_fallen_silent_is_opened_anew_before_what_it_misses_counts_as_told(beats, poll_interval_s):
    # Looked at in windows, one that spoke at the start of a window was taken for dead two windows later.
    def play(loop, agent):
        for i in range(beats):
            loop.call_at(2.0 * (i + 1), lambda: agent.say(agent.watch))

    opened, _ = watched(play, poll_interval_s)
    silent = 2.0 * beats
    assert opened[0] == 0.0 and silent + 2.0 < opened[1] < silent + TOLD_S


async def refused():
    raise ConnectionRefusedError


async def never_comes_up():
    await asyncio.sleep(1e6)


def out_of_reach(how, since, until_s):
    """A scene in which discovery can't be reached for a while, and learns of a change at its end. Calls from
    before the end are lost for good."""

    def play(loop, agent):
        def down():
            if how == "falls silent":
                agent.mute = True
            elif how == "fails at once":
                agent.mute = True
                agent.watch.transport.abort()
                agent.refuse = fail
            elif how == "ends unheard":
                agent.watch.transport.abort()
                agent.mute = True
            else:
                agent.watch.transport.abort()
                agent.refuse = refused if how == "refused" else never_comes_up

        async def fail():  # it comes up, and is turned away
            answer = b"HTTP/1.1 503 Odd\r\nContent-Length: 0\r\n\r\n"
            loop.call_soon(lambda: agent.watch.data_received(answer))

        def up():
            agent.mute, agent.refuse = False, None
            agent.line = b'{"generation":2,"reset":true,"instances":[]}'

        def beat():
            if loop.now_s < since and hasattr(agent, "watch"):
                agent.say(agent.watch)
            loop.call_later(1.0, beat)

        loop.call_soon(beat)
        loop.call_at(since, down)
        loop.call_at(until_s, up)

    return play


MARGIN_S = 0.5  # left for the turn of the call and the way of the list


@pytest.mark.parametrize("poll_interval_s", [0.0, 10.0, 60.0])
@pytest.mark.parametrize(
    "how", ["falls silent", "fails at once", "ends unheard", "refused", "never comes up"]
)
def test_a_change_is_heard_before_it_counts_as_told_whatever_became_of_the_last_call(
    how, poll_interval_s, monkeypatch
):
    monkeypatch.setattr(watching.random, "random", lambda: 0.999)  # the longest pauses
    for k in range(40):
        back = 5.2 + 0.37 * k
        _, told = watched(out_of_reach(how, 5.0, back), poll_interval_s)
        heard = next((at for at, version in told if version == 2), 1e9)
        assert heard - back <= TOLD_S - MARGIN_S, (back, told)


@pytest.mark.parametrize("poll_interval_s", [10.0, 60.0])
@pytest.mark.parametrize("late_s", [4.0, 6.0, 10.0])
def test_a_crowded_service_is_heard_however_late_it_answers(late_s, poll_interval_s, monkeypatch):
    # What was given up and asked anew would never be heard; each call is one more for the service.
    monkeypatch.setattr(watching.random, "random", lambda: 0.999)

    def play(loop, agent):
        agent.late_s = late_s

    opened, told = watched(play, poll_interval_s)
    assert told and told[0][0] <= late_s + MARGIN_S
    assert sum(1 for at in opened if at <= late_s) <= 1 + late_s / watching.SHARED_ANSWER_TIMEOUT_S


def test_a_new_watch_that_is_silent_too_is_soon_given_up():
    def play(loop, agent):
        agent.mute = True
        loop.call_at(9.99, setattr, agent, "mute", False)

    _, told = watched(play)
    assert told[0][0] < 9.99 + 1.2  # one that was opened while the agent was silent, and the wait after it


def test_what_came_while_the_gateway_itself_stood_still_keeps_a_watch():
    def play(loop, agent):
        def stand_still():
            loop.now_s += 20.0  # timers are late, and what came meanwhile is read only after them
            loop.call_soon(agent.say, agent.watch)

        loop.call_at(1.0, stand_still)

    opened, _ = watched(play)
    assert opened[1] > 21.0 + watching.WATCH_SILENCE_TIMEOUT_S


def states(*events):
    """What the gateway has been told of each backend by the end of each list; a list may tell it nothing."""

    async def scene():
        told, now = [], {}
        discovery = watching.DiscoveryClient(("127.0.0.1", 1), 5, told.append)
        for version, whole, *entries in events:
            take(discovery, {"generation": version, "reset": whole, "instances": entries})
            now.update((each.id, each.state.value) for found in told for each in found.event.backends)
            told.clear()
            seen.append(dict(now))

    seen = []
    run(scene)
    return seen


def test_an_older_list_takes_no_leave_back():
    # A new place may be behind the old one: what has been told there still counts.
    first = (7, True, entry("a"), entry("b"), entry("c", startedAtMs=5), entry("d"))
    leaving = (8, False, entry("a", lifecycle="Terminating"), entry("c", lifecycle="Gone"))
    older = (6, True, entry("a"), entry("b"), entry("c", startedAtMs=5), entry("d"))
    shorter = (9, True, entry("b"))
    assert states(first, leaving, older)[2] == {"a": "draining", "b": "up", "c": "draining", "d": "up"}
    assert states(first, shorter, older)[2] == {"a": "draining", "b": "up", "c": "draining", "d": "draining"}
    assert states(first, shorter)[1] == {"a": "removed", "b": "up", "c": "removed", "d": "removed"}


def test_a_newer_list_or_another_process_counts_again():
    first, leaving = (7, True, entry("a")), (8, False, entry("a", lifecycle="Terminating"))
    assert states(first, leaving, (9, False, entry("a")))[2] == {"a": "up"}
    assert states(first, leaving, (6, True, entry("a", startedAtMs=99)))[2] == {"a": "up"}


def test_at_a_place_whose_generations_begin_anew_leaves_and_other_processes_are_heard():
    first, anew = (900, True, entry("a"), entry("b")), (1, True, entry("a"), entry("b"))
    leaving = (2, False, entry("a", lifecycle="Terminating"))
    assert states(first, anew, leaving)[2] == {"a": "draining", "b": "up"}
    assert states(first, anew, leaving, (3, False, entry("a", startedAtMs=99)))[3] == {"a": "up", "b": "up"}
    gone = (2, False, entry("a", lifecycle="Gone"))
    assert states(first, anew, gone, (3, False, entry("a", startedAtMs=99)))[3] == {"a": "up", "b": "up"}


def test_what_is_kept_of_backends_that_left_is_bounded(monkeypatch):
    monkeypatch.setattr(watching, "MAX_LEAVING_BACKENDS", 3)

    async def scene():
        discovery = watching.DiscoveryClient(("127.0.0.1", 1), 0, lambda found: None)
        for i in range(9):
            take(discovery, {"generation": i + 1, "instances": [entry(f"s{i}", lifecycle="Gone")]})
        assert list(discovery._leaving) == ["s6", "s7", "s8"]

    run(scene)


# Lists of any length: taken in slices, and only what they change goes on.


def many(count, **more):
    return [entry(f"s{i}", zone=f"z{i % 4}", **more) for i in range(count)]


def test_a_whole_list_of_26000_over_a_real_socket_is_taken_and_served_from():
    async def scene():
        old, new = Backend(reply_ok(b"old")), Backend(reply_ok(b"new"))
        async with World({"b1": old}) as w:
            await new.start()
            many = (w.discovery.entry(f"s-{i:08x}", new.port, zone=f"z{i % 16}") for i in range(26000))
            w.discovery.publish(*many, reset=True)
            while (await w.call(request())).body != b"new":
                await asyncio.sleep(0.02)
            w.discovery.publish(w.discovery.entry("b1", old.port), reset=True)
            row = 0  # the others leave slice by slice: one answer from "b1" does not show the end of it
            while row < 20:
                row = row + 1 if (await w.call(request())).body == b"old" else 0
            assert len(w.discovery.targets) == 1
            new.server.close()

    run(scene)


def test_between_two_slices_of_a_list_the_loop_sees_to_all_else():
    async def scene():
        agent, turn, told = await Discovery().start(), [0], []

        def tick():
            turn[0] += 1
            asyncio.get_running_loop().call_soon(tick)

        agent.entries = {each["instanceId"]: each for each in many(1000)}
        watch = watching.DiscoveryClient(
            ("127.0.0.1", agent.port), 0, lambda found: told.append((turn[0], len(found.event.backends)))
        )
        tick()
        watch.start()
        await watch.first_list_received.wait()
        assert (
            max(count for _, count in told) <= watching.ENTRIES_PER_SLICE
            and sum(count for _, count in told) == 1000
        )
        assert len({when for when, _ in told}) == len(told)
        del told[:]
        agent.publish(reset=True)
        await wait_until(lambda: watch._version == 2)
        assert sum(count for _, count in told) == 1000
        assert max(count for _, count in told) <= watching.NAMES_PER_SLICE
        assert len({when for when, _ in told}) == len(told)
        watch.stop()

    run(scene)


def test_the_collector_does_not_go_through_what_a_long_list_has_named():
    # With 26,000 names in a set, each look while a list came in held the loop up by 5 to 6 ms.
    async def scene():
        discovery, reader = watching.DiscoveryClient(("127.0.0.1", 1), 0, lambda found: None), ListReader()
        reader.feed(json.dumps({"generation": 1, "reset": True, "instances": many(100)}).encode()[:-9])
        while discovery._consume_slice(reader):
            pass
        assert len(discovery._current_list.listed_ids) > 50 and not gc.is_tracked(
            discovery._current_list.listed_ids
        )

    run(scene)


def test_the_same_whole_list_again_tells_nothing_and_an_indented_one_is_the_same():
    whole = {"generation": 1, "reset": True, "instances": many(300)}
    told = []

    async def scene():
        discovery = watching.DiscoveryClient(("127.0.0.1", 1), 0, told.append)
        take(discovery, whole)
        assert sum(len(found.event.backends) for found in told) == 300
        del told[:]
        reader = ListReader()
        reader.feed(json.dumps({**whole, "generation": 2}, indent=2).encode())
        while discovery._consume_slice(reader):
            pass
        assert [found.event for found in told] == [io.BackendsChanged(io.ListKind.DELTA, 2)]
        take(discovery, {**whole, "generation": 3, "instances": [*many(300)[:-1], entry("s299", weight=2.0)]})
        assert [each.id for found in told[1:] for each in found.event.backends] == ["s299"]

    run(scene)


def test_a_list_that_tells_nothing_does_not_reach_the_module(tmp_path):
    async def scene():
        one = host.Host(loaded(tmp_path, raw_config(known={"generation": 1, "instances": many(3)})))
        events = []
        one._module.handle = lambda now, event: events.append(event) or []
        take(one.discovery, {"generation": 2, "reset": True, "instances": many(3)})
        assert events == [] and one.discovery._version == 2
        take(one.discovery, {"generation": 3, "reset": True, "instances": many(2)})
        assert [(each.id, each.state) for event in events for each in event.backends] == [
            ("s2", io.BackendState.REMOVED)
        ]

    run(scene)


def test_what_a_long_list_brings_is_taken_out_of_the_sight_of_the_collector_and_a_change_is_not(tmp_path):
    # The collector's looks at what 26,000 backends leave behind were steps of 30 ms.
    async def scene():
        one = host.Host(loaded(tmp_path, raw_config()))
        frozen = gc.get_freeze_count()
        take(one.discovery, {"generation": 2, "instances": many(host.GC_FREEZE_ENTRIES - 1)})
        assert gc.get_freeze_count() == frozen
        take(one.discovery, {"generation": 3, "instances": [entry("one more")]})
        assert gc.get_freeze_count() >= frozen + 3 * host.GC_FREEZE_ENTRIES

    try:
        run(scene)
    finally:
        gc.unfreeze()


def test_a_whole_list_that_broke_off_leaves_nothing_out_and_what_it_said_stands():
    async def scene():
        told, tries = {}, []
        later = [entry("s1", lifecycle="Terminating"), *(entry(f"n{i}") for i in range(100)), entry("s2")]
        first, second, broken = (
            json.dumps({"generation": generation, "reset": True, "instances": entries}).encode()
            for generation, entries in ((7, many(100)), (8, later), (8, [entry("s5"), *later]))
        )
        lines = [first, broken[:-30], second]

        async def agent(reader, writer):
            tries.append((await reader.readuntil(b"\r\n\r\n")).split()[1])
            line = lines[min(len(tries), len(lines)) - 1]
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head + b"%x\r\n%b\r\n" % (len(line), line))
            if len(tries) > 1:
                seen.append(dict(told))
            await writer.drain()
            writer.close()

        seen, server = [], await asyncio.start_server(agent, "127.0.0.1", 0)
        watch = watching.DiscoveryClient(
            server.sockets[0].getsockname(),
            0,
            lambda found: told.update((each.id, each.state.value) for each in found.event.backends),
        )
        watch.start()
        await wait_until(lambda: len(tries) == 4)
        everywhere = {f"s{i}": "up" for i in range(100)}
        assert seen[0] == everywhere
        assert seen[1] == {**everywhere, "s1": "draining", **{f"n{i}": "up" for i in range(100)}}
        assert {name for name, state in seen[2].items() if state == "up"} == {
            "s2",
            *(f"n{i}" for i in range(100)),
        }
        assert [target.rpartition(b"=")[2] for target in tries] == [b"1", b"7", b"7", b"8"]
        watch.stop()
        server.close()

    run(scene)


def test_an_older_list_takes_no_leave_back_though_it_says_its_generation_last():
    async def scene():
        told, now = [], {}
        discovery = watching.DiscoveryClient(("127.0.0.1", 1), 0, told.append)
        take(discovery, {"generation": 7, "instances": [entry("a", lifecycle="Terminating"), entry("b")]})
        # "a" is read, and has to be judged, long before the generation
        more = many(2 * watching.ENTRIES_PER_SLICE)
        take(discovery, {"instances": [entry("a"), entry("b"), *more], "reset": True, "generation": 6})
        now.update((each.id, each.state.value) for found in told for each in found.event.backends)
        assert (now["a"], now["b"]) == ("draining", "up")
        take(discovery, {"instances": [entry("a"), entry("c"), *more], "reset": True, "generation": 8})
        now.update((each.id, each.state.value) for found in told for each in found.event.backends)
        assert (now["a"], now["b"], now["c"]) == ("up", "removed", "up")

    run(scene)


def test_of_a_long_list_as_many_are_kept_in_mind_as_leaving_as_are_known():
    count = 2 * watching.MAX_LEAVING_BACKENDS

    async def scene():
        discovery = watching.DiscoveryClient(("127.0.0.1", 1), 0, lambda found: None)
        take(discovery, {"generation": 1, "reset": True, "instances": many(count)})
        take(discovery, {"generation": 2, "instances": many(count, lifecycle="Terminating")})
        assert len(discovery._leaving) == count

    run(scene)


def test_backends_that_lists_without_an_end_name_are_not_all_kept(monkeypatch):
    monkeypatch.setattr(watching, "MAX_KNOWN_BACKENDS", 100)

    async def scene():
        discovery = watching.DiscoveryClient(("127.0.0.1", 1), 0, lambda found: None)
        with pytest.raises(ValueError):
            take(discovery, {"generation": 1, "instances": many(101)})
        assert len(discovery._known) == 100

    run(scene)


class Slow(Agent):
    """Tells one long list, in the form that a scene gives it."""

    def __init__(self, pieces, every_s):
        super().__init__()
        self.pieces, self.every_s, self.line = pieces, every_s, b""

    async def connect(self, watch, host, port):
        made = await super().connect(watch, host, port)
        for i, piece in enumerate(self.pieces):
            data = b"%x\r\n%b\r\n" % (len(piece), piece)
            self.loop.call_later(0.1 + i * self.every_s, self.bring, watch, data)
        return made

    def bring(self, watch, data):
        if not watch.transport.is_closing():
            watch.data_received(data)


def test_a_watch_is_not_silent_while_a_list_is_taken_in_and_reads_no_more_meanwhile():
    line = json.dumps({"generation": 2, "reset": True, "instances": many(80)}).encode()
    agent, told, reading = Slow([line], 1.0), [], []

    async def scene(loop):
        def hear(found):
            told.append(found.event.version)
            reading.append(discovery._watch.transport.reading)
            loop.now_s += 2.0  # the work takes long, and the agent's heartbeats wait in the socket

        discovery = watching.DiscoveryClient(("agent", 1), 0, hear)
        discovery.start()
        while 2 not in told or len(told) < 10:
            await asyncio.sleep(0.5)
        assert len(agent.opened) == 1 and reading[1:] == [False] * (len(reading) - 1)
        await asyncio.sleep(0)
        assert discovery._watch.transport.reading
        discovery.stop()

    virtual.run(scene, agent.connect)


def test_white_space_in_the_middle_of_a_list_is_no_sign_of_life():
    agent = Slow([b'{"generation":2,"instances":[', *[b"\n"] * 20], 1.0)

    async def scene(loop):
        discovery = watching.DiscoveryClient(("agent", 1), 0, lambda found: None)
        discovery.start()
        await asyncio.sleep(5.0)
        assert len(agent.opened) == 2
        discovery.stop()

    virtual.run(scene, agent.connect)


def test_of_a_watch_that_was_called_off_no_further_slice_is_heard():
    line = json.dumps({"generation": 2, "reset": True, "instances": many(100)}).encode()
    agent, told = Slow([line], 1.0), []

    async def scene(loop):
        discovery = watching.DiscoveryClient(("agent", 1), 0, lambda found: told.append(discovery.stop()))
        discovery.start()
        await asyncio.sleep(5.0)
        assert len(told) == 1 and discovery._version == 0

    virtual.run(scene, agent.connect)


def test_what_was_read_before_a_connection_ended_is_all_taken_in():
    line = json.dumps({"generation": 2, "reset": True, "instances": many(100)}).encode()

    class Ends(Slow):
        def bring(self, watch, data):
            super().bring(watch, data)
            watch.connection_lost(None)

    agent, told = Ends([line], 1.0), []

    async def scene(loop):
        discovery = watching.DiscoveryClient(("agent", 1), 0, told.append)
        discovery.start()
        await asyncio.sleep(0.3)
        assert sum(len(found.event.backends) for found in told) == 100
        assert len(agent.opened) == 2 and b"&after=2 " in agent.watch.transport.written
        discovery.stop()

    virtual.run(scene, agent.connect)
