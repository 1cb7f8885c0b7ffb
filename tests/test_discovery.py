"""Discovery: the cached list, watches and when they are reopened, and lists of any length."""

import asyncio
import gc
import json

import pytest
from test_config import load, raw_config
from world import Backend, Discovery, World, reply_ok, request, run, wait_until

from cobaltline import interface as io
from elderhub import discovery as discovery_module
from elderhub import host
from elderhub.lists import ListReader
from emulator import virtual


def entry(name, port=None, lifecycle="Ready", **more):
    """An entry of a list; by default each name has a port of its own, from 1 for "a" on."""
    port = port or 1 + sum(name.encode()) - ord("a")
    return {"instanceId": name, "hostPort": f"127.0.0.1:{port}", "lifecycle": lifecycle, **more}


LIST_WITH_MALFORMED_ENTRIES = {
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


def test_malformed_entries_of_a_cached_list_are_skipped():
    listing = discovery_module.parse_listing(LIST_WITH_MALFORMED_ENTRIES)
    assert listing.event == io.BackendsChanged(
        io.ListKind.CACHED,
        7,
        (
            io.Backend("a", "z", "m", 3, io.BackendState.UP, 1.5, 99.0),
            io.Backend("d", state=io.BackendState.REMOVED),
        ),
    )
    assert listing.addresses == {"a": ("127.0.0.1", 1)}


def test_malformed_entries_of_a_watched_list_are_skipped():
    async def scene():
        first = {"generation": 6, "instances": [entry("d")]}
        received = changes_of(first, LIST_WITH_MALFORMED_ENTRIES)
        assert [listing.event for listing in received] == [
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
        assert received[1].addresses["a"] == ("127.0.0.1", 1)

    run(scene)


def consume(discovery, *lists):
    """Processes lists as if they had come over the watch of a client, one after the other."""
    reader = ListReader()
    for message in lists:
        reader.feed(json.dumps(message).encode() + b"\n")
        while discovery._consume_slice(reader):
            pass


def changes_of(*lists, version=0):
    """Returns the changes that a client reports for some lists."""
    received = []
    consume(discovery_module.DiscoveryClient(("127.0.0.1", 1), version, received.append), *lists)
    return received


class Watcher:
    """A started `DiscoveryClient` and the changes that it reported."""

    def __init__(self, where, version=0):
        self.received = []
        self.watch = discovery_module.DiscoveryClient(
            ("127.0.0.1", where.port), version, self.received.append
        )
        self.watch.start()


def test_a_watch_is_resumed_where_it_ended():
    async def scene():
        agent = await Discovery().start()
        agent.generation = 41
        watcher = Watcher(agent, 40)
        await wait_until(lambda: len(watcher.received) == 1)
        agent.publish(agent.entry("a", 5))
        await wait_until(lambda: len(watcher.received) == 2)
        assert watcher.received[1].event.kind is io.ListKind.DELTA
        agent.writers[0].transport.abort()
        await wait_until(lambda: len(agent.targets) == 2)
        assert agent.targets == ["/v1/servers?watch=1&after=40", "/v1/servers?watch=1&after=42"]
        watcher.watch.stop()

    run(scene)


def test_a_silent_watch_is_reopened(monkeypatch):
    # A machine that has vanished leaves its connection open, so only missing heartbeats show it.
    monkeypatch.setattr(discovery_module, "WATCH_SILENCE_TIMEOUT_S", 0.3)

    async def scene():
        agent = await Discovery().start()
        agent.sends_heartbeats = False
        watcher = Watcher(agent)
        await wait_until(lambda: len(agent.targets) >= 3)
        watcher.watch.stop()

    run(scene)


def test_heartbeats_keep_a_watch_open(monkeypatch):
    monkeypatch.setattr(discovery_module, "WATCH_SILENCE_TIMEOUT_S", 3.0)

    async def scene():
        agent = await Discovery().start()
        watcher = Watcher(agent)
        # One a second, so this takes longer than the silence allowed.
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
def test_watching_goes_on_after_an_unreadable_answer(answer):
    async def scene():
        tries = []

        async def odd(reader, writer):
            tries.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(answer)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(odd, "127.0.0.1", 0)
        watcher = discovery_module.DiscoveryClient(server.sockets[0].getsockname(), 0, lambda listing: None)
        watcher.start()
        await wait_until(lambda: len(tries) >= 2)
        assert not watcher._task.done()
        watcher.stop()
        server.close()

    run(scene)


def test_a_gateway_serves_from_its_cached_list_while_discovery_is_silent():
    async def scene():
        backend = Backend()
        await backend.start()
        unstarted = World(
            {}, patch="main.FIRST_LIST_TIMEOUT_S = 0.2; discovery.WATCH_SILENCE_TIMEOUT_S = 0.2"
        )
        unstarted.discovery.mute = True
        unstarted.known = {"generation": 3, "instances": [unstarted.discovery.entry("b1", backend.port)]}
        async with unstarted as world:
            assert (await world.call(request())).status == 200

    run(scene)


def test_a_complete_list_replaces_the_one_before():
    async def scene():
        old, new = Backend(reply_ok(b"old")), Backend(reply_ok(b"new"))
        async with World({"b1": old}) as world:
            await new.start()
            assert (await world.call(request())).body == b"old"
            world.discovery.publish(world.discovery.entry("b2", new.port), reset=True)
            await wait_until(lambda: old.closed_connections == 1)
            assert [(await world.call(request())).body for _ in range(4)] == [b"new"] * 4
            new.server.close()

    run(scene)


def test_the_gateway_is_not_ready_before_it_has_a_backend():
    async def scene():
        backend = Backend()
        await backend.start()
        unstarted = World({}, waits_until_ready=False)
        async with unstarted as world:
            await wait_until(lambda: world.discovery.targets)
            while (code := await world.health()) is None:
                await asyncio.sleep(0.02)
            assert code == 503
            world.discovery.publish(world.discovery.entry("b1", backend.port))
            while await world.health() != 200:
                await asyncio.sleep(0.02)
            assert (await world.call(request())).status == 200

    run(scene)


def retry_delays(**options):
    """Returns the first delays before a watch that fails at once each time, after one that brought a list."""
    discovery = discovery_module.DiscoveryClient(("127.0.0.1", 1), 0, lambda listing: None, **options)
    return [discovery._retry_delay_s(had_list, 0.0) for had_list in (True, False, False, False, False)]


@pytest.mark.parametrize("poll_interval_s", [10.0, 60.0])
def test_gateways_that_lose_a_shared_discovery_retry_at_random_with_growing_delays(poll_interval_s):
    # The delays may grow only as far as a change still arrives within 6 s.
    async def scene():
        fleet = [retry_delays(poll_interval_s=poll_interval_s) for _ in range(400)]
        for delays, max_delay_s in zip(zip(*fleet, strict=True), (2.5, 4.5, 4.5, 4.5, 4.5), strict=True):
            tenths = [int(10 * delay_s / max_delay_s) for delay_s in delays]
            assert max(delays) <= max_delay_s and max(tenths.count(i) for i in range(10)) < 100

    run(scene)


def test_watches_that_fell_silent_together_are_reopened_at_random_times():
    async def scene():
        fleet = [
            discovery_module.DiscoveryClient(("127.0.0.1", 1), 0, lambda listing: None, 10.0)
            for _ in range(400)
        ]
        for silent_s in (discovery_module.WATCH_SILENCE_TIMEOUT_S, discovery_module.SHARED_ANSWER_TIMEOUT_S):
            max_delay_s = discovery_module.MAX_RECONNECT_GAP_S - silent_s
            tenths = [
                int(10 * discovery._retry_delay_s(False, silent_s) / max_delay_s) for discovery in fleet
            ]
            assert max(tenths) < 10 and max(tenths.count(i) for i in range(10)) < 100

    run(scene)


def test_an_unshared_agent_is_asked_again_soon():
    async def scene():
        assert retry_delays() == [0.1, 0.1, 0.1, 0.1, 0.1]

    run(scene)


# Timing of watches, in virtual time.

# A change has to be known this long after a watch fell silent; from then to the last request sent.
CHANGE_DEADLINE_S, MIN_GRACE_S = 6.0, 0.5


class Agent:
    """Answers a new watch with its list unless `mute`; the test sends heartbeats.

    `refuse`, if set, is awaited before a connection is accepted.
    """

    def __init__(self):
        self.opened, self.mute, self.line = [], False, b'{"generation":1,"reset":true,"instances":[]}'
        self.refuse = None
        self.answer_delay_s = 0.0

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
            self.loop.call_later(self.answer_delay_s, self.send, watch, self.line, head)
        return transport, watch

    def send(self, watch, line=b"", head=b""):
        if not watch.transport.is_closing():
            watch.data_received(head + b"%x\r\n%b\n\r\n" % (len(line) + 1, line))


def run_watch(schedule, poll_interval_s=0.0):
    """Returns when each watch was opened and each list received, with what `schedule` makes the agent do."""
    agent, received = Agent(), []

    async def scene(loop):
        discovery = discovery_module.DiscoveryClient(
            ("agent", 1),
            0,
            lambda listing: received.append((loop.now_s, listing.event.version)),
            poll_interval_s,
        )
        schedule(loop, agent)
        discovery.start()
        await asyncio.sleep(40.0)
        discovery.stop()

    virtual.run(scene, agent.connect)
    return agent.opened, received


@pytest.mark.parametrize("poll_interval_s", [0.0, 10.0, 60.0])
@pytest.mark.parametrize("heartbeat_count", [0, 1, 2, 3, 5])
def test_a_silent_watch_is_reopened_before_a_missed_change_has_to_be_known(heartbeat_count, poll_interval_s):
    # The timeout counts from the last heartbeat, wherever that lies between two checks.
    def schedule(loop, agent):
        for i in range(heartbeat_count):
            loop.call_at(2.0 * (i + 1), lambda: agent.send(agent.watch))

    opened, _ = run_watch(schedule, poll_interval_s)
    silent = 2.0 * heartbeat_count
    assert opened[0] == 0.0 and silent + 2.0 < opened[1] < silent + CHANGE_DEADLINE_S


async def refuse_connection():
    raise ConnectionRefusedError


async def never_connect():
    await asyncio.sleep(1e6)


def outage(how, since, until_s):
    """Returns a schedule in which discovery is unreachable for a while and has a change afterwards.

    Calls made during the outage are never answered.
    """

    def schedule(loop, agent):
        def down():
            if how == "falls silent":
                agent.mute = True
            elif how == "fails at once":
                agent.mute = True
                agent.watch.transport.abort()
                agent.refuse = fail
            elif how == "closes and falls silent":
                agent.watch.transport.abort()
                agent.mute = True
            else:
                agent.watch.transport.abort()
                agent.refuse = refuse_connection if how == "refused" else never_connect

        async def fail():  # the connection opens and is refused with a 503
            answer = b"HTTP/1.1 503 Odd\r\nContent-Length: 0\r\n\r\n"
            loop.call_soon(lambda: agent.watch.data_received(answer))

        def up():
            agent.mute, agent.refuse = False, None
            agent.line = b'{"generation":2,"reset":true,"instances":[]}'

        def beat():
            if loop.now_s < since and hasattr(agent, "watch"):
                agent.send(agent.watch)
            loop.call_later(1.0, beat)

        loop.call_soon(beat)
        loop.call_at(since, down)
        loop.call_at(until_s, up)

    return schedule


MARGIN_S = 0.5  # for the answer and the transfer of the list


@pytest.mark.parametrize("poll_interval_s", [0.0, 10.0, 60.0])
@pytest.mark.parametrize(
    "how", ["falls silent", "fails at once", "closes and falls silent", "refused", "never connects"]
)
def test_a_change_is_received_in_time_however_the_last_call_failed(how, poll_interval_s, monkeypatch):
    monkeypatch.setattr(discovery_module.random, "random", lambda: 0.999)  # the longest delays
    for step in range(40):
        end_s = 5.2 + 0.37 * step
        _, received = run_watch(outage(how, 5.0, end_s), poll_interval_s)
        received_at = next((at for at, version in received if version == 2), 1e9)
        assert received_at - end_s <= CHANGE_DEADLINE_S - MARGIN_S, (end_s, received)


@pytest.mark.parametrize("poll_interval_s", [10.0, 60.0])
@pytest.mark.parametrize("answer_delay_s", [4.0, 6.0, 10.0])
def test_an_overloaded_service_is_heard_however_late_it_answers(answer_delay_s, poll_interval_s, monkeypatch):
    # Replacing unanswered calls by new ones would add to the load, and none would ever be answered.
    monkeypatch.setattr(discovery_module.random, "random", lambda: 0.999)

    def schedule(loop, agent):
        agent.answer_delay_s = answer_delay_s

    opened, received = run_watch(schedule, poll_interval_s)
    assert received and received[0][0] <= answer_delay_s + MARGIN_S
    assert (
        sum(1 for at in opened if at <= answer_delay_s)
        <= 1 + answer_delay_s / discovery_module.SHARED_ANSWER_TIMEOUT_S
    )


def test_a_new_watch_without_an_answer_is_soon_given_up():
    def schedule(loop, agent):
        agent.mute = True
        loop.call_at(9.99, setattr, agent, "mute", False)

    _, received = run_watch(schedule)
    assert received[0][0] < 9.99 + 1.2  # one more unanswered watch and the delay after it


def test_input_that_arrived_while_the_loop_was_stalled_keeps_a_watch_open():
    def schedule(loop, agent):
        def stand_still():
            loop.now_s += 20.0  # late timers run before input that arrived in the stall
            loop.call_soon(agent.send, agent.watch)

        loop.call_at(1.0, stand_still)

    opened, _ = run_watch(schedule)
    assert opened[1] > 21.0 + discovery_module.WATCH_SILENCE_TIMEOUT_S


def states(*events):
    """Returns the state of each backend, as reported, after each of some lists."""

    async def scene():
        received, now = [], {}
        discovery = discovery_module.DiscoveryClient(("127.0.0.1", 1), 5, received.append)
        for version, whole, *entries in events:
            consume(discovery, {"generation": version, "reset": whole, "instances": entries})
            now.update((each.id, each.state.value) for listing in received for each in listing.event.backends)
            received.clear()
            seen.append(dict(now))

    seen = []
    run(scene)
    return seen


def test_a_stale_list_does_not_bring_a_leaving_backend_back():
    # A new address of discovery may be behind the old one, whose newer list still counts.
    first = (7, True, entry("a"), entry("b"), entry("c", startedAtMs=5), entry("d"))
    leaving = (8, False, entry("a", lifecycle="Terminating"), entry("c", lifecycle="Gone"))
    older = (6, True, entry("a"), entry("b"), entry("c", startedAtMs=5), entry("d"))
    shorter = (9, True, entry("b"))
    assert states(first, leaving, older)[2] == {"a": "draining", "b": "up", "c": "draining", "d": "up"}
    assert states(first, shorter, older)[2] == {"a": "draining", "b": "up", "c": "draining", "d": "draining"}
    assert states(first, shorter)[1] == {"a": "removed", "b": "up", "c": "removed", "d": "removed"}


OLD = entry("old", port=7, startedAtMs=5)
NEW = entry("new", port=7, startedAtMs=9)


@pytest.mark.parametrize(
    "lists,expected",
    [
        ([(7, True, OLD), (8, False, NEW)], {"old": "draining", "new": "up"}),
        ([(7, True, OLD), (8, False, NEW), (9, False, OLD)], {"old": "draining", "new": "up"}),
        ([(7, True, OLD, NEW)], {"old": "draining", "new": "up"}),
        ([(7, True, NEW, OLD)], {"old": "draining", "new": "up"}),
        ([(7, True, NEW), (8, False, OLD)], {"old": "draining", "new": "up"}),
        ([(7, True, OLD), (8, False, NEW), (9, True, NEW)], {"old": "removed", "new": "up"}),
        # The former process comes back at another address, or there once the latter has gone or moved.
        (
            [(7, True, OLD), (8, False, NEW), (9, False, {**OLD, "hostPort": "h:8"})],
            {"old": "up", "new": "up"},
        ),
        (
            [(7, True, OLD), (8, False, NEW), (9, False, {**NEW, "lifecycle": "Gone"}, OLD)],
            {"old": "up", "new": "removed"},
        ),
        (
            [(7, True, OLD), (8, False, NEW), (9, False, {**NEW, "hostPort": "h:8"}, OLD)],
            {"old": "up", "new": "up"},
        ),
        ([(7, True, OLD), (8, True, NEW), (9, False, OLD)], {"old": "draining", "new": "up"}),
        # Equal start times don't tell which one is there.
        ([(7, True, OLD), (8, False, {**NEW, "startedAtMs": 5})], {"old": "up", "new": "up"}),
    ],
)
def test_of_two_backends_at_one_address_the_one_that_started_last_is_there(lists, expected):
    # Guards against a new process taken for the old one at its address, whose requests and repeats it got.
    assert states(*lists)[-1] == expected


def test_a_cached_list_with_two_backends_at_one_address_uses_the_one_that_started_last():
    async def scene():
        known = discovery_module.parse_listing({"generation": 1, "instances": [OLD, NEW]})
        received = []
        discovery = discovery_module.DiscoveryClient(("127.0.0.1", 1), 1, received.append)
        discovery.set_known_backends(known)
        assert [backend.state for backend in known.event.backends] == [
            io.BackendState.DRAINING,
            io.BackendState.UP,
        ]
        consume(discovery, {"generation": 2, "instances": [OLD]})
        assert not [backend for listing in received for backend in listing.event.backends]

    run(scene)


def test_a_newer_list_or_a_restart_brings_a_backend_back():
    first, leaving = (7, True, entry("a")), (8, False, entry("a", lifecycle="Terminating"))
    assert states(first, leaving, (9, False, entry("a")))[2] == {"a": "up"}
    assert states(first, leaving, (6, True, entry("a", startedAtMs=99)))[2] == {"a": "up"}


def test_drains_and_restarts_are_applied_after_generations_restart():
    first, anew = (900, True, entry("a"), entry("b")), (1, True, entry("a"), entry("b"))
    leaving = (2, False, entry("a", lifecycle="Terminating"))
    assert states(first, anew, leaving)[2] == {"a": "draining", "b": "up"}
    assert states(first, anew, leaving, (3, False, entry("a", startedAtMs=99)))[3] == {"a": "up", "b": "up"}
    gone = (2, False, entry("a", lifecycle="Gone"))
    assert states(first, anew, gone, (3, False, entry("a", startedAtMs=99)))[3] == {"a": "up", "b": "up"}


def test_the_memory_of_leaving_backends_is_bounded(monkeypatch):
    monkeypatch.setattr(discovery_module, "MAX_LEAVING_BACKENDS", 3)

    async def scene():
        discovery = discovery_module.DiscoveryClient(("127.0.0.1", 1), 0, lambda listing: None)
        for i in range(9):
            consume(discovery, {"generation": i + 1, "instances": [entry(f"s{i}", lifecycle="Gone")]})
        assert list(discovery._leaving) == ["s6", "s7", "s8"]

    run(scene)


# Lists of any length: processed in slices, of which only changes are reported.


def make_entries(count, **more):
    return [entry(f"s{i}", zone=f"z{i % 4}", **more) for i in range(count)]


def test_a_list_of_26000_backends_over_a_real_socket_is_applied():
    async def scene():
        old, new = Backend(reply_ok(b"old")), Backend(reply_ok(b"new"))
        async with World({"b1": old}) as world:
            await new.start()
            entries = (world.discovery.entry(f"s-{i:08x}", new.port, zone=f"z{i % 16}") for i in range(26000))
            world.discovery.publish(*entries, reset=True)
            while (await world.call(request())).body != b"new":
                await asyncio.sleep(0.02)
            world.discovery.publish(world.discovery.entry("b1", old.port), reset=True)
            # The others are removed slice by slice, so one answer from "b1" does not show the end of it.
            consecutive = 0
            while consecutive < 20:
                consecutive = consecutive + 1 if (await world.call(request())).body == b"old" else 0
            assert len(world.discovery.targets) == 1
            new.server.close()

    run(scene)


def test_the_loop_runs_other_work_between_two_slices_of_a_list():
    async def scene():
        agent, turn, received = await Discovery().start(), [0], []

        def tick():
            turn[0] += 1
            asyncio.get_running_loop().call_soon(tick)

        agent.entries = {each["instanceId"]: each for each in make_entries(1000)}
        watch = discovery_module.DiscoveryClient(
            ("127.0.0.1", agent.port),
            0,
            lambda listing: received.append((turn[0], len(listing.event.backends))),
        )
        tick()
        watch.start()
        await watch.first_list_received.wait()
        assert (
            max(count for _, count in received) <= discovery_module.ENTRIES_PER_SLICE
            and sum(count for _, count in received) == 1000
        )
        assert len({when for when, _ in received}) == len(received)
        del received[:]
        agent.publish(reset=True)
        await wait_until(lambda: watch._version == 2)
        assert sum(count for _, count in received) == 1000
        assert max(count for _, count in received) <= discovery_module.NAMES_PER_SLICE
        assert len({when for when, _ in received}) == len(received)
        watch.stop()

    run(scene)


def test_listed_ids_are_not_tracked_by_the_garbage_collector():
    # Traversing a large set in each collection stalls the loop while a list is received.
    async def scene():
        discovery, reader = (
            discovery_module.DiscoveryClient(("127.0.0.1", 1), 0, lambda listing: None),
            ListReader(),
        )
        reader.feed(
            json.dumps({"generation": 1, "reset": True, "instances": make_entries(100)}).encode()[:-9]
        )
        while discovery._consume_slice(reader):
            pass
        assert len(discovery._current_list.listed_ids) > 50 and not gc.is_tracked(
            discovery._current_list.listed_ids
        )

    run(scene)


def test_an_unchanged_complete_list_reports_no_backend_in_any_formatting():
    whole = {"generation": 1, "reset": True, "instances": make_entries(300)}
    received = []

    async def scene():
        discovery = discovery_module.DiscoveryClient(("127.0.0.1", 1), 0, received.append)
        consume(discovery, whole)
        assert sum(len(listing.event.backends) for listing in received) == 300
        del received[:]
        reader = ListReader()
        reader.feed(json.dumps({**whole, "generation": 2}, indent=2).encode())
        while discovery._consume_slice(reader):
            pass
        assert [listing.event for listing in received] == [io.BackendsChanged(io.ListKind.DELTA, 2)]
        consume(
            discovery,
            {**whole, "generation": 3, "instances": [*make_entries(300)[:-1], entry("s299", weight=2.0)]},
        )
        assert [each.id for listing in received[1:] for each in listing.event.backends] == ["s299"]

    run(scene)


def test_a_list_without_a_change_does_not_reach_the_module(tmp_path):
    async def scene():
        gateway = host.Host(load(tmp_path, raw_config(known={"generation": 1, "instances": make_entries(3)})))
        events = []
        gateway._module.handle = lambda now, event: events.append(event) or []
        consume(gateway.discovery, {"generation": 2, "reset": True, "instances": make_entries(3)})
        assert events == [] and gateway.discovery._version == 2
        consume(gateway.discovery, {"generation": 3, "reset": True, "instances": make_entries(2)})
        assert [(each.id, each.state) for event in events for each in event.backends] == [
            ("s2", io.BackendState.REMOVED)
        ]

    run(scene)


def test_entries_of_long_lists_are_frozen_and_small_changes_are_not(tmp_path):
    # Collections that traverse the entries of a long list stall the loop.
    async def scene():
        gateway = host.Host(load(tmp_path, raw_config()))
        frozen = gc.get_freeze_count()
        consume(gateway.discovery, {"generation": 2, "instances": make_entries(host.GC_FREEZE_ENTRIES - 1)})
        assert gc.get_freeze_count() == frozen
        consume(gateway.discovery, {"generation": 3, "instances": [entry("one more")]})
        assert gc.get_freeze_count() >= frozen + 3 * host.GC_FREEZE_ENTRIES

    try:
        run(scene)
    finally:
        gc.unfreeze()


def test_an_interrupted_complete_list_removes_nothing_and_its_entries_stay_applied():
    async def scene():
        received, tries = {}, []
        later = [entry("s1", lifecycle="Terminating"), *(entry(f"n{i}") for i in range(100)), entry("s2")]
        first, second, broken = (
            json.dumps({"generation": generation, "reset": True, "instances": entries}).encode()
            for generation, entries in ((7, make_entries(100)), (8, later), (8, [entry("s5"), *later]))
        )
        lines = [first, broken[:-30], second]

        async def agent(reader, writer):
            tries.append((await reader.readuntil(b"\r\n\r\n")).split()[1])
            line = lines[min(len(tries), len(lines)) - 1]
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head + b"%x\r\n%b\r\n" % (len(line), line))
            if len(tries) > 1:
                seen.append(dict(received))
            await writer.drain()
            writer.close()

        seen, server = [], await asyncio.start_server(agent, "127.0.0.1", 0)
        watch = discovery_module.DiscoveryClient(
            server.sockets[0].getsockname(),
            0,
            lambda listing: received.update((each.id, each.state.value) for each in listing.event.backends),
        )
        watch.start()
        await wait_until(lambda: len(tries) == 4)
        all_up = {f"s{i}": "up" for i in range(100)}
        assert seen[0] == all_up
        assert seen[1] == {**all_up, "s1": "draining", **{f"n{i}": "up" for i in range(100)}}
        assert {name for name, state in seen[2].items() if state == "up"} == {
            "s2",
            *(f"n{i}" for i in range(100)),
        }
        assert [target.rpartition(b"=")[2] for target in tries] == [b"1", b"7", b"7", b"8"]
        watch.stop()
        server.close()

    run(scene)


def test_a_stale_list_with_its_generation_last_does_not_bring_a_leaving_backend_back():
    async def scene():
        received, now = [], {}
        discovery = discovery_module.DiscoveryClient(("127.0.0.1", 1), 0, received.append)
        consume(discovery, {"generation": 7, "instances": [entry("a", lifecycle="Terminating"), entry("b")]})
        # "a" is read long before the generation that decides about it.
        more = make_entries(2 * discovery_module.ENTRIES_PER_SLICE)
        consume(discovery, {"instances": [entry("a"), entry("b"), *more], "reset": True, "generation": 6})
        now.update((each.id, each.state.value) for listing in received for each in listing.event.backends)
        assert (now["a"], now["b"]) == ("draining", "up")
        consume(discovery, {"instances": [entry("a"), entry("c"), *more], "reset": True, "generation": 8})
        now.update((each.id, each.state.value) for listing in received for each in listing.event.backends)
        assert (now["a"], now["b"], now["c"]) == ("up", "removed", "up")

    run(scene)


def test_as_many_leaving_backends_are_remembered_as_are_known():
    count = 2 * discovery_module.MAX_LEAVING_BACKENDS

    async def scene():
        discovery = discovery_module.DiscoveryClient(("127.0.0.1", 1), 0, lambda listing: None)
        consume(discovery, {"generation": 1, "reset": True, "instances": make_entries(count)})
        consume(discovery, {"generation": 2, "instances": make_entries(count, lifecycle="Terminating")})
        assert len(discovery._leaving) == count

    run(scene)


def test_the_number_of_known_backends_is_bounded(monkeypatch):
    monkeypatch.setattr(discovery_module, "MAX_KNOWN_BACKENDS", 100)

    async def scene():
        discovery = discovery_module.DiscoveryClient(("127.0.0.1", 1), 0, lambda listing: None)
        with pytest.raises(ValueError):
            consume(discovery, {"generation": 1, "instances": make_entries(101)})
        assert len(discovery._known) == 100

    run(scene)


class SlowAgent(Agent):
    """Sends one list in the given pieces, one each `interval_s`."""

    def __init__(self, pieces, interval_s):
        super().__init__()
        self.pieces, self.interval_s, self.line = pieces, interval_s, b""

    async def connect(self, watch, host, port):
        made = await super().connect(watch, host, port)
        for i, piece in enumerate(self.pieces):
            data = b"%x\r\n%b\r\n" % (len(piece), piece)
            self.loop.call_later(0.1 + i * self.interval_s, self.deliver, watch, data)
        return made

    def deliver(self, watch, data):
        if not watch.transport.is_closing():
            watch.data_received(data)


def test_a_watch_is_not_silent_and_reads_nothing_while_a_list_is_processed():
    line = json.dumps({"generation": 2, "reset": True, "instances": make_entries(80)}).encode()
    agent, received, reading = SlowAgent([line], 1.0), [], []

    async def scene(loop):
        def hear(listing):
            received.append(listing.event.version)
            reading.append(discovery._watch.transport.reading)
            loop.now_s += 2.0  # processing takes long, and heartbeats wait in the socket

        discovery = discovery_module.DiscoveryClient(("agent", 1), 0, hear)
        discovery.start()
        while 2 not in received or len(received) < 10:
            await asyncio.sleep(0.5)
        assert len(agent.opened) == 1 and reading[1:] == [False] * (len(reading) - 1)
        await asyncio.sleep(0)
        assert discovery._watch.transport.reading
        discovery.stop()

    virtual.run(scene, agent.connect)


def test_white_space_inside_a_list_is_no_heartbeat():
    agent = SlowAgent([b'{"generation":2,"instances":[', *[b"\n"] * 20], 1.0)

    async def scene(loop):
        discovery = discovery_module.DiscoveryClient(("agent", 1), 0, lambda listing: None)
        discovery.start()
        await asyncio.sleep(5.0)
        assert len(agent.opened) == 2
        discovery.stop()

    virtual.run(scene, agent.connect)


def test_a_stopped_watch_processes_no_further_slice():
    line = json.dumps({"generation": 2, "reset": True, "instances": make_entries(100)}).encode()
    agent, received = SlowAgent([line], 1.0), []

    async def scene(loop):
        discovery = discovery_module.DiscoveryClient(
            ("agent", 1), 0, lambda listing: received.append(discovery.stop())
        )
        discovery.start()
        await asyncio.sleep(5.0)
        assert len(received) == 1 and discovery._version == 0

    virtual.run(scene, agent.connect)


def test_input_read_before_the_end_of_a_connection_is_processed():
    line = json.dumps({"generation": 2, "reset": True, "instances": make_entries(100)}).encode()

    class EndingAgent(SlowAgent):
        def deliver(self, watch, data):
            super().deliver(watch, data)
            watch.connection_lost(None)

    agent, received = EndingAgent([line], 1.0), []

    async def scene(loop):
        discovery = discovery_module.DiscoveryClient(("agent", 1), 0, received.append)
        discovery.start()
        await asyncio.sleep(0.3)
        assert sum(len(listing.event.backends) for listing in received) == 100
        assert len(agent.opened) == 2 and b"&after=2 " in agent.watch.transport.written
        discovery.stop()

    virtual.run(scene, agent.connect)
