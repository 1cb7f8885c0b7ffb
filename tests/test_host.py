"""Between sockets and module: the clock, events in turn, and errors that stay with their request."""

import asyncio
import logging
import os
import socket
import time

import pytest
from test_config import loaded, raw_config
from world import (
    HOST,
    Backend,
    Connection,
    Counter,
    Discovery,
    HeldReply,
    World,
    free_port,
    reply_ok,
    reply_reset,
    reply_status,
    request,
    request_id,
    run,
    settings,
    wait_until,
)

from cobaltline import interface as io
from elderhub import backends, clients, host, wire

HOOKED = """
from cobaltline import interface as io
from elderhub import host
class Failing(host.Gateway):
    broken = {{io.{event}}}
    def handle(self, now, event):
        if type(event) in self.broken:
            self.broken.clear()
            self.actions = []
            raise RuntimeError("a bug")
        return super().handle(now, event)
host.Gateway = Failing
"""


def test_the_clock_is_unix_time_and_never_goes_backwards(monkeypatch):
    clock = host.Clock()
    assert abs(clock.now_ms() - time.time() * 1000.0) < 1000.0
    before = clock.now_ms()
    monkeypatch.setattr(time, "time", lambda: 0.0)  # somebody sets the machine's clock
    assert before <= clock.now_ms() < before + 60000.0


class Recorder:
    """A module that notes how it is called."""

    def __init__(self, settings, seed):
        self.events, self.inside, self.actions = [], False, []

    def handle(self, now, event):
        assert not self.inside
        self.events.append(event)
        return [io.CounterAdd("a", 1.0, 1.0), io.CounterAdd("b", 1.0, 1.0)] if event == "first" else []


def test_an_event_raised_by_an_action_waits_until_all_actions_are_carried_out(monkeypatch, tmp_path):
    monkeypatch.setattr(host, "Gateway", Recorder)

    async def scene():
        config = loaded(tmp_path, raw_config(settings=settings(familyInfo={"counter": False})))
        one = host.Host(config)  # with no counter, a call's result is there at once
        carried = []
        count = one._action_handlers[io.CounterAdd]

        def counted(action):
            one._module.inside = True
            carried.append(action.name)
            count(action)
            one._module.inside = False

        one._action_handlers[io.CounterAdd] = counted
        one.dispatch("first")
        assert carried == ["a", "b"]
        failed = io.Outcome.CONNECT_FAILED
        assert one._module.events == ["first", io.CounterResult("a", failed), io.CounterResult("b", failed)]

    run(scene)


def test_an_error_in_one_request_fails_that_request_alone():
    async def scene():
        backend = Backend()
        async with World({"b1": backend}, patch=HOOKED.format(event="RequestArrived")) as w:
            assert (await w.call(request())).status == 500
            assert not backend.requests and "RuntimeError: a bug" in w.log.read_text()
            assert (await w.call(request(name="r2"))).status == 200
            assert await w.stop() == 0

    run(scene)


def test_an_error_at_the_end_of_an_attempt_takes_nothing_back():
    async def scene():
        async with World({"b1": Backend(reply_ok(b"beds"))}, patch=HOOKED.format(event="AttemptEnded")) as w:
            answer = await w.call(request())
            assert (answer.status, answer.body) == (200, b"beds")
            assert (await w.call(request(name="r2"))).status == 200
            assert "RuntimeError: a bug" in w.log.read_text()

    run(scene)


def test_a_late_answer_of_a_second_copy_changes_nothing():
    # Two attempts out, both answer: one answer to the client, and both attempts end for the module.
    async def scene():
        slow, fast = HeldReply(reply_ok(b"slow")), Backend(reply_ok(b"fast"))
        first = Backend(slow)
        changes = {"policyLimits": {"mayDuplicate": True, "cancel": False}}
        async with World({"b1": first, "b2": fast}, settings_changes=changes) as w:
            client = await w.connect()
            for i in range(40):  # some go to each; a copy of those that hang goes to the other
                client.send(request(name=f"r{i}"))
                assert (await client.read_response()).body == b"fast"
                if first.requests:
                    break
            assert first.requests
            slow.release.set()
            client.send(request(name="last"))
            assert (await client.read_response()).status == 200
            assert "Traceback" not in w.log.read_text()

    run(scene)


def test_nothing_is_kept_of_requests_that_are_over(tmp_path):
    async def scene():
        backend, counter = await Backend().start(), await Counter().start()
        agent = Discovery()
        known = {"generation": 1, "instances": [agent.entry("b1", backend.port)]}
        config = loaded(tmp_path, raw_config(known=known, counter=f"127.0.0.1:{counter.port}"))
        one, listen = host.Host(config), free_port()
        one.counter.start()
        one.apply_listing(config.known)
        one.clients.listen(HOST, listen)

        async def call(data, stay=True):
            client = Connection(*await asyncio.open_connection(HOST, listen))
            client.send(data)
            if stay:
                await client.read_response()
            client.writer.close()

        for i in range(10):
            for kind in ("read", "hold", "pay"):
                await call(request(kind, name=f"r{i}"))
                await call(request(kind, plan="basic", customer=f"{i:016x}"))
        backend.reply = reply_reset()
        await call(request("pay"))
        backend.reply = HeldReply()
        await call(request("pay", X_Timeout="0.2"))
        for _ in range(5):
            await call(request(), stay=False)
        await call(request("pay", X_Timeout="0.2"))
        await wait_until(lambda: not one._requests and not one.clients._open)
        module = one._module
        assert not one._open_ids and not module.requests and not module.in_flight and not module.calls
        assert one._module.attempts_out == 0 and not one._events
        one.clients.stop_listening()

    run(scene)


class Gate:
    """An event loop whose connections come up only when let."""

    def __init__(self, loop):
        self._loop, self.wanted, self.open = loop, asyncio.Event(), asyncio.Event()

    def __getattr__(self, name):
        return getattr(self._loop, name)

    async def create_connection(self, *args, **options):
        self.wanted.set()
        await self.open.wait()
        return await self._loop.create_connection(*args, **options)


class Inside:
    """A host in this process, with a backend or more, and clients' connections to it."""

    def __init__(self, tmp_path, cancel=True, more=0):
        self._path, self._cancel, self._more = tmp_path, cancel, more

    async def __aenter__(self):
        self.backends = [await Backend().start() for _ in range(1 + self._more)]
        self.backend, self.counter = self.backends[0], await Counter().start()
        known = {
            "generation": 1,
            "instances": [
                Discovery().entry(f"b{i}", backend.port) for i, backend in enumerate(self.backends)
            ],
        }
        limits = {"policyLimits": {"cancel": self._cancel, "connectTimeoutMs": 30000.0}}
        config = loaded(
            self._path,
            raw_config(known=known, counter=f"127.0.0.1:{self.counter.port}", settings=settings(**limits)),
        )
        self.host, self.listen = host.Host(config), free_port()
        self.gate = self.host.backends.loop = Gate(asyncio.get_running_loop())
        self.host.counter.start()
        self.host.apply_listing(config.known)
        self.host.clients.listen(HOST, self.listen)
        return self

    async def __aexit__(self, *error):
        self.host.clients.stop_listening()
        for server in (*self.backends, self.counter):
            server.server.close()
            for writer in server.writers:
                writer.transport.abort()

    async def connect(self):
        return Connection(*await asyncio.open_connection(HOST, self.listen))

    def seen(self):
        """The names of what any backend got."""
        return [seen.headers["x-request-id"] for backend in self.backends for seen in backend.requests]


@pytest.mark.parametrize("cancel", [True, False])
def test_a_request_whose_client_left_while_its_connection_came_up_is_not_sent(tmp_path, cancel):
    # Where the settings allow no cancel, nothing takes back an attempt; but this is none yet.
    async def scene():
        async with Inside(tmp_path, cancel) as w:
            client = await w.connect()
            client.send(request("pay", name="left"))
            await w.gate.wanted.wait()
            client.writer.close()
            await wait_until(lambda: not w.host.clients._open)
            w.gate.open.set()
            await wait_until(lambda: w.backend.connections == 1)
            second = await w.connect()
            second.send(request("pay", name="stays"))
            assert (await second.read_response()).status == 200
            assert [seen.headers["x-request-id"] for seen in w.backend.requests] == [request_id("stays")]
            assert not w.host._module.requests and not w.host._requests

    run(scene)


def stand_still(client):
    """The client leaves, and the program reads nothing for a while."""
    client.close()
    time.sleep(0.15)


@pytest.mark.parametrize("when", ["unread", "while its connection comes up", "between two attempts"])
def test_a_client_that_left_while_the_gateway_stood_still_gets_no_further_attempt(when, tmp_path):
    # What came before its end, or a timer, is taken up first: the end itself is not read yet.
    async def scene():
        async with Inside(tmp_path, more=1) as w:
            w.gate.open.set()
            client = await asyncio.to_thread(socket.create_connection, (HOST, w.listen))
            if when == "while its connection comes up":
                connect = w.gate.create_connection

                async def slow(factory, *where):
                    connection = factory()
                    made = connection.connection_made

                    def up(transport):
                        stand_still(client)
                        made(transport)

                    connection.connection_made = up
                    return await connect(lambda: connection, *where)

                w.gate.create_connection = slow
            else:
                other = await w.connect()
                while not all(backend.connections for backend in w.backends):
                    other.send(request(name="before"))
                    await other.read_response()
                await asyncio.sleep(2.0 * backends.REUSE_DELAY_S)  # the next attempt goes out at once
            client.sendall(request(name="left"))
            if when == "unread":
                stand_still(client)
            elif when == "between two attempts":

                async def fails(seen, writer):
                    answer = b"HTTP/1.1 500 Odd\r\nContent-Length: 0\r\n\r\n"
                    os.write(writer.get_extra_info("socket").fileno(), answer)
                    stand_still(client)

                for backend in w.backends:
                    backend.reply = fails
            before = w.host._last_request_number
            await wait_until(lambda: w.host._last_request_number > before and not w.host._requests)
            await asyncio.sleep(0.1)
            assert w.seen().count(request_id("left")) == (when == "between two attempts")
            assert w.host._module.attempts_out == 0 and not w.host._open_ids

    run(scene)


def test_a_client_that_ends_its_side_has_left_though_it_has_an_answer_unread(tmp_path, monkeypatch):
    # Closing waits for what is still to be written: the end of the connection may be told long after.
    monkeypatch.setattr(clients, "STALLED_WRITE_TIMEOUT_S", 0.5)

    async def scene():
        async with Inside(tmp_path, more=1) as w:
            w.gate.open.set()
            w.host.clients._listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await asyncio.to_thread(client.connect, (HOST, w.listen))
            hold = HeldReply(reply_status(500))

            async def reply(seen, writer):
                first = seen.headers["x-request-id"] == request_id("r0")
                await (reply_ok(b"x" * 60_000) if first else hold)(seen, writer)

            for backend in w.backends:
                backend.reply = reply
            client.sendall(request(name="r0") + request(name="r1") + request(name="r2"))
            await hold.reached.wait()
            (open_one,) = w.host.clients._open
            assert open_one.transport.get_write_buffer_size() > 0
            client.shutdown(socket.SHUT_WR)
            await asyncio.sleep(0.1)
            hold.release.set()
            await asyncio.sleep(0.2)
            assert sorted(w.seen()) == [request_id("r0"), request_id("r1")]
            assert not w.host._requests
            await wait_until(lambda: not w.host.clients._open)  # it holds no descriptor for ever
            client.close()

    run(scene)


def test_a_timer_is_never_early():
    # Nothing else happens in this gateway: what the module's timer misses is not made up by other events.
    async def scene():
        async with World({"b1": Backend(HeldReply())}) as w:
            for i in range(20):
                answer = await w.call(request("pay", name=f"r{i}", X_Timeout="0.1"))
                assert answer.status in (502, 503)
            assert "not answered in time" not in w.log.read_text()

    run(scene)


def test_a_gateway_killed_outright_starts_again_under_its_address():
    async def scene():
        async with World({"b1": Backend()}) as w:
            client = await w.connect()
            client.send(request())
            assert (await client.read_response()).status == 200
            w.process.kill()
            await w.process.wait()
            await w.start()
            assert (await w.call(request(name="r2"))).status == 200
            await wait_until(lambda: len(w.backends["b1"].requests) == 2)

    run(scene)


def test_what_others_cause_cannot_flood_the_log(caplog):
    throttled_log = wire.ThrottledLog(logging.getLogger("elderhub.test"))
    for i in range(1000):
        throttled_log.warning("odd: %d", i)
    assert len(caplog.records) <= 10 and "odd: 0" in caplog.text
