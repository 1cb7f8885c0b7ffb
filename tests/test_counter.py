"""The counter client: one result for each call, whatever happens to its connection."""

import asyncio
import time

import pytest
from world import HOST, Backend, Counter, World, free_port, request, run, wait_until

from cobaltline import interface as io
from elderhub import counter as counter_module


class Caller:
    """A `CounterClient` in this process, and its results."""

    def __init__(self, port, timeout_ms=20000.0, host="127.0.0.1"):
        self.results = []
        self.counter = counter_module.CounterClient((host, port), timeout_ms, self.results.append)
        self.counter.start()

    def call(self, *names):
        for name in names:
            self.counter.add(io.CounterAdd(name, 1.0, 4000.0))

    async def outcomes(self, count=1):
        await wait_until(lambda: len(self.results) >= count)
        assert len(self.results) == count
        return [x.outcome for x in self.results]

    async def wait_until_connected(self):
        await wait_until(lambda: all(connection._transport for connection in self.counter._connections))


@pytest.fixture(autouse=True)
def one_connection(monkeypatch):
    monkeypatch.setattr(counter_module, "CONNECTION_COUNT", 1)


def test_calls_are_pipelined_and_answered_in_order():
    async def scene():
        counter = await Counter().start()
        caller = Caller(counter.port)
        caller.call(*"aabab")
        assert await caller.outcomes(5) == [io.Outcome.OK] * 5
        assert [(x.name, x.total) for x in caller.results] == [
            ("a", 1),
            ("a", 2),
            ("b", 1),
            ("a", 3),
            ("b", 2),
        ]
        assert counter.lines[0] == b"add a 1 4000\r\n" and counter.connections == 1

    run(scene)


MALFORMED_ANSWERS = [
    b"what",
    b"ok much",
    b"ok nan",
    b"ok inf",
    b"ok 1_0",
    b"ok 1e99",
    b"ok ",
    b"ok",
    b"ok 0x1",
    b"pong",
    b"\xff",
    b"o" * 1000,
]


@pytest.mark.parametrize(
    "answer,outcome,total",
    [
        (b"busy\r\n", io.Outcome.OVERLOADED, 0.0),
        (b"error\r\n", io.Outcome.ERROR, 0.0),
        (b"ok 7.5\r\n", io.Outcome.OK, 7.5),
        (b"ok -3e-05\r\n", io.Outcome.OK, -3e-05),
        *[(answer + b"\r\n", io.Outcome.OK, None) for answer in MALFORMED_ANSWERS],
        (b"o" * 1000, io.Outcome.OK, None),
    ],
)
def test_each_answer_has_its_outcome(answer, outcome, total):
    async def scene():
        counter = await Counter().start()
        counter.answer = lambda line: answer
        caller = Caller(counter.port)
        caller.call("a")
        assert await caller.outcomes() == [outcome]
        assert caller.results[0].total == total
        await wait_until(lambda: total is not None or counter.connections == 2)
        counter.answer = None
        await caller.wait_until_connected()
        caller.call("b")
        assert await caller.outcomes(2) == [outcome, io.Outcome.OK]

    run(scene)


def test_calls_behind_a_malformed_answer_end_with_the_connection():
    async def scene():
        counter = await Counter().start()
        counter.answer = lambda line: b"ok nan\r\nok 5\r\n" if b" a " in line else None
        caller = Caller(counter.port)
        await caller.wait_until_connected()
        caller.call("a", "b", "c")
        assert await caller.outcomes(3) == [io.Outcome.OK, io.Outcome.RESET, io.Outcome.RESET]
        assert [(x.name, x.total) for x in caller.results] == [("a", None), ("b", 0.0), ("c", 0.0)]

    run(scene)


def test_a_call_that_timed_out_keeps_its_place_in_the_queue_of_answers():
    async def scene():
        counter, release = await Counter().start(), asyncio.Event()

        async def slow(line):
            if b" slow " in line:
                await release.wait()

        counter.answer = slow
        caller = Caller(counter.port, timeout_ms=200.0)
        caller.call("slow")
        assert await caller.outcomes() == [io.Outcome.TIMEOUT]
        caller.counter._timeout_s = 20.0
        caller.call("a", "b")
        release.set()
        assert await caller.outcomes(3) == [io.Outcome.TIMEOUT, io.Outcome.OK, io.Outcome.OK]
        assert [x.name for x in caller.results] == ["slow", "a", "b"] and caller.results[1].total == 1.0

    run(scene)


def test_calls_on_a_broken_connection_end_as_reset():
    async def scene():
        counter = await Counter().start()
        reached = asyncio.Event()

        async def breaks(line):
            reached.set()
            counter.writers[-1].transport.abort()

        counter.answer = breaks
        caller = Caller(counter.port)
        await caller.wait_until_connected()
        caller.call("a", "b")
        assert await caller.outcomes(2) == [io.Outcome.RESET] * 2
        counter.answer = None
        await wait_until(lambda: counter.connections == 2)
        await caller.wait_until_connected()
        caller.call("c")
        assert (await caller.outcomes(3))[2] == io.Outcome.OK

    run(scene)


def test_a_working_connection_that_breaks_reconnects_at_once_and_calls_wait(monkeypatch):
    monkeypatch.setattr(counter_module, "RECONNECT_DELAY_S", 1000.0)

    async def scene():
        counter = await Counter().start()
        caller = Caller(counter.port)
        await caller.wait_until_connected()
        caller.call("a")
        assert await caller.outcomes() == [io.Outcome.OK]
        counter.writers[0].transport.abort()
        await wait_until(lambda: not caller.counter._connections[0].is_up() or counter.connections == 2)
        caller.call("b")
        assert await caller.outcomes(2) == [io.Outcome.OK] * 2

    run(scene)


def test_calls_fail_while_the_counter_is_down_and_succeed_when_it_is_back():
    async def scene():
        port = free_port()
        caller = Caller(port, host=HOST)
        caller.call("a")
        assert await caller.outcomes() == [io.Outcome.CONNECT_FAILED]
        caller.call("b")  # before the next attempt to connect
        assert await caller.outcomes(2) == [io.Outcome.CONNECT_FAILED] * 2
        await Counter().start(port)
        await caller.wait_until_connected()
        caller.call("c")
        assert (await caller.outcomes(3))[2] == io.Outcome.OK

    run(scene)


def test_a_connection_closed_while_idle_reconnects_before_the_next_call():
    async def scene():
        counter = await Counter().start()
        caller = Caller(counter.port)
        await caller.wait_until_connected()
        await wait_until(lambda: counter.writers)
        counter.writers[0].close()
        await wait_until(lambda: counter.connections == 2)
        await caller.wait_until_connected()
        caller.call("a")
        assert await caller.outcomes() == [io.Outcome.OK]

    run(scene)


def test_a_quiet_connection_is_kept_open_by_pings(monkeypatch):
    monkeypatch.setattr(counter_module, "PING_AFTER_S", 0.02)
    monkeypatch.setattr(counter_module, "TICK_INTERVAL_S", 0.01)

    async def scene():
        counter = await Counter().start()
        caller = Caller(counter.port)
        await wait_until(lambda: counter.lines.count(b"ping\r\n") >= 3)
        caller.call("a")
        assert await caller.outcomes() == [io.Outcome.OK]
        assert counter.connections == 1

    run(scene)


def test_a_silent_connection_is_closed_and_reconnects(monkeypatch):
    monkeypatch.setattr(counter_module, "SILENCE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(counter_module, "TICK_INTERVAL_S", 0.02)

    async def scene():
        counter = await Counter().start()
        counter.answer = lambda line: asyncio.sleep(1000)
        caller = Caller(counter.port, timeout_ms=20.0)
        await caller.wait_until_connected()
        caller.call("a")
        assert await caller.outcomes() == [io.Outcome.TIMEOUT]
        await wait_until(lambda: counter.connections == 2)

    run(scene)


class StallingServer(asyncio.Protocol):
    """Blocks the event loop that it shares with the caller beyond the call's timeout, and then answers."""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        time.sleep(0.2)
        self.transport.write(b"ok 1\r\n")


def test_an_answer_that_arrived_while_the_loop_was_stalled_counts():
    async def scene():
        server = await asyncio.get_running_loop().create_server(StallingServer, "127.0.0.1", 0)
        caller = Caller(server.sockets[0].getsockname()[1], timeout_ms=50.0)
        await caller.wait_until_connected()
        caller.call("a")
        assert await caller.outcomes() == [io.Outcome.OK]
        server.close()

    run(scene)


def test_the_gateway_serves_without_a_counter():
    async def scene():
        changes = {"familyInfo": {"countWaitMs": 30.0}}
        async with World({"b1": Backend()}, settings_changes=changes) as world:
            world.counter.server.close()
            for writer in world.counter.writers:
                writer.transport.abort()
            answers = [await world.call(request(plan="basic", name=f"r{i}")) for i in range(4)]
            assert {a.status for a in answers} <= {200, 429, 503}
            assert (await world.call(request())).status == 200

    run(scene)
