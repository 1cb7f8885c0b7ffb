"""The host: its clock, the order of events, errors in the module, and the end of requests."""

import asyncio
import contextlib
import logging
import os
import socket
import time

import pytest
from test_config import load, raw_config
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

FAILING_MODULE_PATCH = """
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
    monkeypatch.setattr(time, "time", lambda: 0.0)  # the wall clock is stepped
    assert before <= clock.now_ms() < before + 60000.0


class Recorder:
    """A decision module that records its events and fails on re-entry."""

    def __init__(self, settings, seed):
        self.events, self.inside, self.actions = [], False, []

    def handle(self, now, event):
        assert not self.inside
        self.events.append(event)
        return [io.CounterAdd("a", 1.0, 1.0), io.CounterAdd("b", 1.0, 1.0)] if event == "first" else []


def test_an_event_raised_by_an_action_waits_until_all_actions_are_carried_out(monkeypatch, tmp_path):
    monkeypatch.setattr(host, "Gateway", Recorder)

    async def scene():
        config = load(tmp_path, raw_config(settings=settings(familyInfo={"counter": False})))
        gateway = host.Host(config)  # without a counter, a call fails at once
        executed = []
        count = gateway._action_handlers[io.CounterAdd]

        def counted(action):
            gateway._module.inside = True
            executed.append(action.name)
            count(action)
            gateway._module.inside = False

        gateway._action_handlers[io.CounterAdd] = counted
        gateway.dispatch("first")
        assert executed == ["a", "b"]
        failed = io.Outcome.CONNECT_FAILED
        assert gateway._module.events == [
            "first",
            io.CounterResult("a", failed),
            io.CounterResult("b", failed),
        ]

    run(scene)


def test_an_error_in_one_request_fails_that_request_alone():
    async def scene():
        backend = Backend()
        async with World({"b1": backend}, patch=FAILING_MODULE_PATCH.format(event="RequestArrived")) as world:
            assert (await world.call(request())).status == 500
            assert not backend.requests and "RuntimeError: a bug" in world.log.read_text()
            assert (await world.call(request(name="r2"))).status == 200
            assert await world.stop() == 0

    run(scene)


def test_an_error_at_the_end_of_an_attempt_does_not_undo_the_answer():
    async def scene():
        async with World(
            {"b1": Backend(reply_ok(b"beds"))}, patch=FAILING_MODULE_PATCH.format(event="AttemptEnded")
        ) as world:
            answer = await world.call(request())
            assert (answer.status, answer.body) == (200, b"beds")
            assert (await world.call(request(name="r2"))).status == 200
            assert "RuntimeError: a bug" in world.log.read_text()

    run(scene)


def test_a_late_answer_of_a_hedged_attempt_is_ignored():
    # Both attempts of a request are answered: the client gets one answer, and the module sees both end.
    async def scene():
        slow, fast = HeldReply(reply_ok(b"slow")), Backend(reply_ok(b"fast"))
        first = Backend(slow)
        changes = {"policyLimits": {"mayDuplicate": True, "cancel": False}}
        async with World({"b1": first, "b2": fast}, settings_changes=changes) as world:
            client = await world.connect()
            for i in range(40):  # until one goes to the backend that hangs and is hedged
                client.send(request(name=f"r{i}"))
                assert (await client.read_response()).body == b"fast"
                if first.requests:
                    break
            assert first.requests
            slow.release.set()
            client.send(request(name="last"))
            assert (await client.read_response()).status == 200
            assert "Traceback" not in world.log.read_text()

    run(scene)


def test_no_state_is_kept_of_finished_requests(tmp_path):
    async def scene():
        backend, counter = await Backend().start(), await Counter().start()
        agent = Discovery()
        known = {"generation": 1, "instances": [agent.entry("b1", backend.port)]}
        config = load(tmp_path, raw_config(known=known, counter=f"127.0.0.1:{counter.port}"))
        gateway, port = host.Host(config), free_port()
        gateway.counter.start()
        gateway.apply_listing(config.known)
        gateway.clients.listen(HOST, port)

        async def call(data, stay=True):
            client = Connection(*await asyncio.open_connection(HOST, port))
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
        await wait_until(lambda: not gateway._requests and not gateway.clients._open)
        module = gateway._module
        assert not gateway._open_ids and not module.requests and not module.in_flight and not module.calls
        assert gateway._module.attempts_out == 0 and not gateway._events
        assert gateway._memory.held_bytes == 0
        gateway.clients.stop_listening()

    run(scene)


class GatedLoop:
    """An event loop that opens connections only once `open` is set."""

    def __init__(self, loop):
        self._loop, self.connecting, self.open = loop, asyncio.Event(), asyncio.Event()

    def __getattr__(self, name):
        return getattr(self._loop, name)

    async def create_connection(self, *args, **options):
        self.connecting.set()
        await self.open.wait()
        return await self._loop.create_connection(*args, **options)


class InProcessGateway:
    """A `Host` in this process, with backends, a counter and a listening socket."""

    def __init__(self, tmp_path, cancel=True, more=0, **settings_changes):
        self._path, self._cancel, self._more, self._settings = tmp_path, cancel, more, settings_changes

    async def __aenter__(self):
        self.backends = [await Backend().start() for _ in range(1 + self._more)]
        self.backend, self.counter = self.backends[0], await Counter().start()
        known = {
            "generation": 1,
            "instances": [
                Discovery().entry(f"b{i}", backend.port) for i, backend in enumerate(self.backends)
            ],
        }
        limits = {"policyLimits": {"cancel": self._cancel, "connectTimeoutMs": 30000.0}} | self._settings
        config = load(
            self._path,
            raw_config(known=known, counter=f"127.0.0.1:{self.counter.port}", settings=settings(**limits)),
        )
        self.host, self.listen_port = host.Host(config), free_port()
        self.gate = self.host.backends.loop = GatedLoop(asyncio.get_running_loop())
        self.host.counter.start()
        self.host.apply_listing(config.known)
        self.host.clients.listen(HOST, self.listen_port)
        return self

    async def __aexit__(self, *error):
        self.host.clients.stop_listening()
        for server in (*self.backends, self.counter):
            server.server.close()
            for writer in server.writers:
                writer.transport.abort()

    async def connect(self):
        return Connection(*await asyncio.open_connection(HOST, self.listen_port))

    def request_ids(self):
        """Returns the ids of all requests that reached a backend."""
        return [
            received.headers["x-request-id"] for backend in self.backends for received in backend.requests
        ]


@pytest.mark.parametrize("cancel", [True, False])
def test_a_request_whose_client_left_while_its_connection_opened_is_not_sent(tmp_path, cancel):
    # Without cancellation an attempt can't be withdrawn, but a request that was not sent is no attempt yet.
    async def scene():
        async with InProcessGateway(tmp_path, cancel) as gateway:
            client = await gateway.connect()
            client.send(request("pay", name="left"))
            await gateway.gate.connecting.wait()
            client.writer.close()
            await wait_until(lambda: not gateway.host.clients._open)
            gateway.gate.open.set()
            await wait_until(lambda: gateway.backend.connections == 1)
            second = await gateway.connect()
            second.send(request("pay", name="stays"))
            assert (await second.read_response()).status == 200
            assert [received.headers["x-request-id"] for received in gateway.backend.requests] == [
                request_id("stays")
            ]
            assert not gateway.host._module.requests and not gateway.host._requests

    run(scene)


def disconnect_while_stalled(client):
    """Closes the client's socket and blocks the event loop for a while."""
    client.close()
    time.sleep(0.15)


@pytest.mark.parametrize("when", ["unread", "while its connection opens", "between two attempts"])
def test_a_client_that_left_while_the_loop_was_stalled_gets_no_further_attempt(when, tmp_path):
    # Earlier input and timers are processed before the loop reads the client's disconnection.
    async def scene():
        async with InProcessGateway(tmp_path, more=1) as gateway:
            gateway.gate.open.set()
            client = await asyncio.to_thread(socket.create_connection, (HOST, gateway.listen_port))
            if when == "while its connection opens":
                connect = gateway.gate.create_connection

                async def slow(factory, *where):
                    connection = factory()
                    made = connection.connection_made

                    def up(transport):
                        disconnect_while_stalled(client)
                        made(transport)

                    connection.connection_made = up
                    return await connect(lambda: connection, *where)

                gateway.gate.create_connection = slow
            else:
                other = await gateway.connect()
                while not all(backend.connections for backend in gateway.backends):
                    other.send(request(name="before"))
                    await other.read_response()
                await asyncio.sleep(2.0 * backends.REUSE_DELAY_S)  # the next attempt goes out at once
            client.sendall(request(name="left"))
            if when == "unread":
                disconnect_while_stalled(client)
            elif when == "between two attempts":

                async def fails(received, writer):
                    answer = b"HTTP/1.1 500 Odd\r\nContent-Length: 0\r\n\r\n"
                    os.write(writer.get_extra_info("socket").fileno(), answer)
                    disconnect_while_stalled(client)

                for backend in gateway.backends:
                    backend.reply = fails
            last_number = gateway.host._last_request_number
            await wait_until(
                lambda: gateway.host._last_request_number > last_number and not gateway.host._requests
            )
            await asyncio.sleep(0.1)
            assert gateway.request_ids().count(request_id("left")) == (when == "between two attempts")
            assert gateway.host._module.attempts_out == 0 and not gateway.host._open_ids

    run(scene)


def test_a_client_that_left_behind_unread_input_gets_no_attempt(tmp_path):
    # Guards against an end that does not show until more input is read: a first request was sent 0.14 s late.
    async def scene():
        async with InProcessGateway(tmp_path) as gateway:
            gateway.gate.open.set()
            client = await asyncio.to_thread(socket.create_connection, (HOST, gateway.listen_port))
            await wait_until(lambda: gateway.host.clients._open)
            client.setblocking(False)
            data = b"".join(request(name=f"r{number}") for number in range(3000))
            with contextlib.suppress(BlockingIOError):
                while data:
                    data = data[client.send(data) :]
            disconnect_while_stalled(client)
            await wait_until(lambda: not gateway.host.clients._open)
            await asyncio.sleep(0.1)
            assert not gateway.request_ids() and not gateway.host._requests

    run(scene)


def test_a_client_that_ends_its_input_has_left_even_with_an_unread_answer(tmp_path, monkeypatch):
    # The close waits for unwritten output, so `connection_lost` may come long after the client has left.
    monkeypatch.setattr(clients, "STALLED_WRITE_TIMEOUT_S", 0.5)

    async def scene():
        async with InProcessGateway(tmp_path, more=1) as gateway:
            gateway.gate.open.set()
            gateway.host.clients._listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await asyncio.to_thread(client.connect, (HOST, gateway.listen_port))
            held_reply = HeldReply(reply_status(500))

            async def reply(received, writer):
                first = received.headers["x-request-id"] == request_id("r0")
                await (reply_ok(b"x" * 60_000) if first else held_reply)(received, writer)

            for backend in gateway.backends:
                backend.reply = reply
            client.sendall(request(name="r0") + request(name="r1") + request(name="r2"))
            await held_reply.reached.wait()
            (connection,) = gateway.host.clients._open
            assert connection.transport.get_write_buffer_size() > 0
            client.shutdown(socket.SHUT_WR)
            await asyncio.sleep(0.1)
            held_reply.release.set()
            await asyncio.sleep(0.2)
            assert sorted(gateway.request_ids()) == [request_id("r0"), request_id("r1")]
            assert not gateway.host._requests
            await wait_until(lambda: not gateway.host.clients._open)  # its descriptor is released
            client.close()

    run(scene)


def test_a_timer_is_never_early():
    # No other event in this gateway makes up for a timer that the module ignores as too early.
    async def scene():
        async with World({"b1": Backend(HeldReply())}) as world:
            for i in range(20):
                answer = await world.call(request("pay", name=f"r{i}", X_Timeout="0.1"))
                assert answer.status in (502, 503)
            assert "not answered in time" not in world.log.read_text()

    run(scene)


def test_a_killed_gateway_restarts_on_its_address():
    async def scene():
        async with World({"b1": Backend()}) as world:
            client = await world.connect()
            client.send(request())
            assert (await client.read_response()).status == 200
            world.process.kill()
            await world.process.wait()
            await world.start()
            assert (await world.call(request(name="r2"))).status == 200
            await wait_until(lambda: len(world.backends["b1"].requests) == 2)

    run(scene)


def test_warnings_caused_by_remote_parties_cannot_flood_the_log(caplog):
    throttled_log = wire.ThrottledLog(logging.getLogger("elderhub.test"))
    for i in range(1000):
        throttled_log.warning("odd: %d", i)
    assert len(caplog.records) <= 10 and "odd: 0" in caplog.text
