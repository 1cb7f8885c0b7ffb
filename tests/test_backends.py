"""Backend connections: pools and limits, the outcome of each kind of response, and safe retries."""

import asyncio
import contextlib
import socket
import struct
import sys
import time

import pytest
from world import (
    Backend,
    HeldReply,
    World,
    reply_not_processed,
    reply_ok,
    reply_reset,
    reply_status,
    reply_until_close,
    request,
    request_id,
    reset,
    run,
    unreachable_port,
    wait_until,
)

from cobaltline import interface as io
from elderhub import backends
from elderhub.discovery import Listing
from elderhub.memory import MemoryBudget
from elderhub.wire import parse_load_report

NOT_PROCESSED_REPLIES = [reply_not_processed(), reply_status(504, b"X-Not-Processed: 1\r\n")]
NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"
MAY_HAVE_RUN_REPLIES = {
    "500": reply_status(500),
    "503 that may have run": reply_status(503),
    "504 that may have run": reply_status(504),
    "503 that says it was processed": reply_status(503, b"X-Not-Processed: 0\r\n"),
    "not processed, it says, but with a 500": reply_status(500, b"X-Not-Processed: 1\r\n"),
    "reset before the answer": reply_reset(),
    "reset inside the answer": reply_reset(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nbeds"),
    "reset inside an answer with no length": reply_reset(NO_LENGTH + b"beds"),
    "reset before the body of an answer with no length": reply_reset(NO_LENGTH),
    "reset inside a chunked answer": reply_reset(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbeds\r\n"
    ),
}
NO_REUSE_DELAY = "backends.REUSE_DELAY_S = 0.0"
LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: %b\r\n\r\nbeds"
SECOND_REPLY_S = 0.005  # well under the delay before a connection is reused


def reply_raw(data, suffix=b"", repeat_count=0):
    """Replies with raw bytes and keeps the connection open; `suffix` follows `repeat_count` times."""

    async def reply(received, writer):
        writer.write(data)
        for _ in range(repeat_count):
            writer.write(suffix)
            await writer.drain()

    return reply


MALFORMED_REPLIES = {
    "noise": reply_raw(b"\x00\xffnoise\r\n\r\n"),
    "no number for a status": reply_raw(b"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nbeds"),
    "a line that is no header": reply_raw(b"HTTP/1.1 200 OK\r\nbeds\r\nContent-Length: 4\r\n\r\nbeds"),
    "a head without end": reply_raw(b"HTTP/1.1 200 OK\r\n", b"X-Pad: %b\r\n" % (b"p" * 1000), 1000),
    "a line without end": reply_raw(b"HTTP/1.1 200 OK\r\nX-Pad: ", b"p" * 1000, 1000),
    "announcements without end": reply_raw(b"", b"HTTP/1.1 102 Processing\r\n\r\n", 10000),
    "another protocol": reply_raw(b"HTTP/1.1 101 Switching\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n"),
    "too short": reply_raw(LENGTH % b"5"),
    "3 GB": reply_raw(LENGTH % b"3000000000"),
    "more than can be counted": reply_raw(LENGTH % (b"9" * 40)),
    "below nothing": reply_raw(LENGTH % b"-4"),
    "no number": reply_raw(LENGTH % b"four"),
    "two lengths": reply_raw(LENGTH % b"4\r\nContent-Length: 3"),
    "two framings": reply_raw(LENGTH % b"4\r\nTransfer-Encoding: chunked"),
    "no length": reply_raw(b"HTTP/1.1 200 OK\r\n\r\nbeds"),
    "no length and too large": reply_until_close(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 70000),
    "another coding, and an end": reply_until_close(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbeds"
    ),
    "a chunk that is none": reply_raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbeds\r\n"),
    "chunks without end": reply_raw(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"400\r\n%b\r\n" % (b"x" * 1024), 1000
    ),
    "too large": reply_ok(b"x" * 70000),
}


async def call_status(world, **fields):
    return (await world.call(request(**fields))).status


def test_a_connection_is_reused():
    # The parser tells only inside its callback whether a connection is kept alive.
    async def scene():
        backend = Backend()
        async with World({"b1": backend}, patch=NO_REUSE_DELAY) as world:
            client = await world.connect()
            for i in range(3):
                client.send(request(name=f"r{i}"))
                assert (await client.read_response()).status == 200
            assert [s.headers["x-request-id"] for s in backend.requests] == [
                request_id(f"r{i}") for i in range(3)
            ]
            assert backend.connections == 1

    run(scene)


@pytest.mark.parametrize("reply", NOT_PROCESSED_REPLIES, ids=["503", "504"])
def test_an_unprocessed_attempt_is_retried_elsewhere_even_if_unsafe(reply):
    async def scene():
        first = Backend(reply)
        second = Backend(reply)
        async with World({"b1": first, "b2": second}) as world:
            assert await call_status(world, kind="pay") == 503  # refused, since neither processed it
            assert len(first.requests) == len(second.requests) == 1

    run(scene)


@pytest.mark.parametrize("reply", MAY_HAVE_RUN_REPLIES.values(), ids=MAY_HAVE_RUN_REPLIES)
def test_an_unsafe_request_that_may_have_run_is_neither_retried_nor_refused(reply):
    async def scene():
        fleet = {"b1": Backend(reply), "b2": Backend(reply)}
        async with World(fleet) as world:
            assert await call_status(world, kind="pay") == 502
            assert sum(len(b.requests) for b in fleet.values()) == 1

    run(scene)


@pytest.mark.parametrize("reply", MALFORMED_REPLIES.values(), ids=MALFORMED_REPLIES)
def test_only_a_complete_well_framed_response_is_served(reply):
    # After a malformed response the connection can't be reused.
    async def scene():
        backend = await Backend(reply).start()
        sender = Sender(backend.port)
        sender.send(0)
        await wait_until(lambda: sender.ended)
        assert sender.outcomes() == [io.Outcome.UNUSABLE_RESPONSE]
        await wait_until(lambda: not sender.backends._pools["b0"].connections)
        backend.server.close()

    run(scene)


@pytest.mark.parametrize("status", [400, 404, 206])
def test_a_status_that_faults_the_request_keeps_the_connection(status):
    async def scene():
        backend = await Backend(reply_status(status)).start()
        sender = Sender(backend.port)
        sender.send(0)
        await wait_until(lambda: sender.ended)
        assert sender.outcomes() == [io.Outcome.UNUSABLE_RESPONSE]
        assert len(sender.backends._pools["b0"].idle_connections) == 1
        backend.server.close()

    run(scene)


def test_after_a_malformed_response_the_next_request_is_served():
    async def scene():
        backend = Backend(MALFORMED_REPLIES["noise"])
        async with World({"b1": backend}) as world:
            assert await call_status(world, kind="pay") == 502
            backend.reply = reply_ok()
            assert await call_status(world, kind="pay", name="r2") == 200
            assert len(backend.requests) == backend.connections == 2

    run(scene)


def test_a_connection_is_not_reused_before_its_delay(monkeypatch):
    # Surplus data after a response would be taken for the response to the next request.
    monkeypatch.setattr(backends, "REUSE_DELAY_S", 1000.0)

    async def scene():
        backend = await Backend().start()
        sender = Sender(backend.port)
        for i in range(2):
            sender.send(0)
            await wait_until(lambda count=i + 1: len(sender.ended) == count)
        assert backend.connections == 2
        monkeypatch.setattr(backends, "REUSE_DELAY_S", 0.0)
        sender.send(0)
        await wait_until(lambda: len(sender.ended) == 3)
        assert backend.connections == 2
        backend.server.close()

    run(scene)


async def echo_twice(received, writer):
    """Replies with the body of the request, and again some milliseconds later.

    The request takes longer than that, so that a second reply crosses the next request.
    """
    await asyncio.sleep(2.0 * SECOND_REPLY_S)
    await reply_ok(received.body)(received, writer)
    asyncio.get_running_loop().call_later(SECOND_REPLY_S, writer.write, LENGTH % b"4")


def test_a_late_second_response_is_not_served_where_no_connection_may_be_opened(monkeypatch):
    # Guards against reuse within the delay at the limit: each later response went to the next request.
    monkeypatch.setattr(backends, "MAX_CONNECTIONS_PER_BACKEND", 1)

    async def scene():
        backend = await Backend(echo_twice).start()
        sender = Sender(backend.port)
        for body in (b"first", b"second", b"third"):
            exchange = sender.send(0, body)
            while not exchange.is_done:  # the next one is sent in the turn of the loop after this
                await asyncio.sleep(0)
            assert (exchange.outcome, exchange.response_body) == (io.Outcome.OK, body)
        assert backend.connections == 3  # each is closed for its second response
        backend.server.close()

    run(scene)


def test_at_the_limit_as_many_exchanges_wait_as_there_are_connections_within_the_delay(monkeypatch):
    monkeypatch.setattr(backends, "MAX_CONNECTIONS_PER_BACKEND", 2)

    async def scene():
        backend = await Backend().start()
        sender = Sender(backend.port)
        for count in (2, 4):
            exchanges = [sender.send(0, b"%d" % i) for i in range(3)]
            assert [exchange.is_done for exchange in exchanges] == [False, False, True]
            assert exchanges[2].outcome is io.Outcome.CONNECT_FAILED
            await wait_until(lambda: all(exchange.is_done for exchange in exchanges))  # noqa: B023
            assert [received.body for received in backend.requests[count - 2 :]] == [b"0", b"1"]
        assert backend.connections == 2
        backend.server.close()

    run(scene)


@pytest.mark.parametrize("reason", ["withdrawn", "client left", "too late", "backend drains"])
def test_an_exchange_that_is_not_needed_any_more_is_not_sent_after_its_wait(reason, monkeypatch):
    monkeypatch.setattr(backends, "MAX_CONNECTIONS_PER_BACKEND", 1)

    async def scene():
        backend = await Backend().start()
        sender = Sender(backend.port)
        first = sender.send(0)
        await wait_until(lambda: first.is_done)
        waiting = sender.send(0, send_within_s=0.005 if reason == "too late" else float("inf"))
        if reason == "withdrawn":
            waiting.withdraw_if_unsent()
        elif reason == "client left":
            waiting.is_wanted = lambda: False
        elif reason == "backend drains":
            sender.update_list()
            assert waiting.outcome is io.Outcome.CONNECT_FAILED
        await asyncio.sleep(3.0 * backends.REUSE_DELAY_S)
        assert len(backend.requests) == 1
        if reason != "backend drains":
            last = sender.send(0)
            await wait_until(lambda: last.is_done)
            assert last.outcome is io.Outcome.OK and backend.connections == 1
        backend.server.close()

    run(scene)


def test_a_connection_that_ends_within_the_delay_makes_room_for_what_waits(monkeypatch):
    monkeypatch.setattr(backends, "MAX_CONNECTIONS_PER_BACKEND", 1)

    async def scene():
        backend = await Backend().start()
        sender = Sender(backend.port)
        first = sender.send(0)
        await wait_until(lambda: first.is_done)
        second = sender.send(0)
        reset(backend.writers[0])
        await wait_until(lambda: second.is_done)
        assert sender.outcomes() == [io.Outcome.OK] * 2 and backend.connections == 2
        backend.server.close()

    run(scene)


def test_malformed_load_reports_are_skipped():
    text = b"%%%,=,a=nan,b=inf,c=-1,d=1_0,e=1e99,f={,qps=3.5 , queue=0"
    assert parse_load_report(text) == {"qps": 3.5, "queue": 0.0}


def test_a_request_is_refused_if_backends_refuse_connections():
    async def scene():
        fleet = {"b1": Backend(), "b2": Backend()}
        async with World(fleet) as world:
            for backend in fleet.values():
                backend.server.close()
            assert await call_status(world, kind="pay") == 503

    run(scene)


def test_a_request_is_refused_if_no_connection_opens():
    async def scene():
        with unreachable_port() as port:
            changes = {"policyLimits": {"connectTimeoutMs": 200.0}}
            async with World(extra_ports={"b1": port}, settings_changes=changes) as world:
                assert await call_status(world, kind="pay") == 503

    run(scene)


def test_a_connection_lost_while_idle_is_not_reused():
    # A request written to it would count as one that may have run.
    async def scene():
        backend = Backend()
        async with World({"b1": backend}) as world:
            for _ in range(3):
                assert await call_status(world, kind="pay") == 200
                backend.writers[-1].transport.abort()
            assert len(backend.requests) == 3

    run(scene)


def test_a_close_not_yet_seen_by_the_loop_is_noticed_before_reuse():
    async def scene():
        loop = asyncio.get_running_loop()
        with socket.socket() as listening:
            listening.bind(("127.0.0.1", 0))
            listening.listen()
            listening.setblocking(False)
            sender = Sender(listening.getsockname()[1])
            first = sender.send(0)
            accepted, _ = await loop.sock_accept(listening)
            await loop.sock_recv(accepted, 1000)
            await loop.sock_sendall(accepted, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await wait_until(lambda: first.is_done)
            accepted.close()
            second = sender.send(0)  # before the loop reads the close
            assert not second.is_done and second.connection is None  # waits for a new connection
            second.abandon(io.Outcome.CANCELLED)
            assert sender.outcomes() == [io.Outcome.OK, io.Outcome.CANCELLED]

    run(scene)


def test_a_connection_with_an_unsolicited_response_is_not_reused():
    async def scene():
        async def twice(received, writer):
            await reply_ok(b"mine")(received, writer)
            await reply_ok(b"not yours")(received, writer)

        backend = Backend(twice)
        async with World({"b1": backend}) as world:
            for _ in range(3):
                assert (await world.call(request())).body == b"mine"
            assert backend.connections == 3

    run(scene)


@pytest.mark.parametrize(
    "response,is_kept",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbeds", False),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbeds", True),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbe\r\n2\r\nds\r\n0\r\n\r\n", True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbedsx", False),
    ],
    ids=["close", "100", "chunked", "more"],
)
def test_responses_of_every_framing_are_read_completely(response, is_kept):
    async def scene():
        async def in_pieces(received, writer):
            for byte in response:
                writer.write(bytes([byte]))
                await writer.drain()
                await asyncio.sleep(0)

        backend = Backend(in_pieces)
        async with World({"b1": backend}, patch=NO_REUSE_DELAY) as world:
            for _ in range(2):
                answer = await world.call(request())
                assert (answer.status, answer.body) == (200, b"beds")
            assert backend.connections == (1 if is_kept else 2)

    run(scene)


@pytest.mark.parametrize("kind", ["read", "pay"])
def test_a_response_without_length_that_ends_in_order_is_served(kind):
    # The protocol requires that at least half of the complete responses without a length are forwarded.
    async def scene():
        replies = (
            reply_until_close(NO_LENGTH, b"be", b"ds"),
            reply_until_close(NO_LENGTH + b"beds"),
            reply_until_close(NO_LENGTH),
        )
        backend = Backend()
        async with World({"b1": backend}) as world:
            for reply, body in zip(replies, (b"beds", b"beds", b""), strict=True):
                backend.reply = reply
                answer = await world.call(request(kind))
                assert (answer.status, answer.body) == (200, body)
            assert len(backend.requests) == backend.connections == len(replies)

    run(scene)


def test_idle_connections_are_closed_before_the_backend_would_close_them():
    async def scene():
        backend = Backend()
        changes = {"policyLimits": {"keepaliveMs": 400.0}}
        async with World(
            {"b1": backend}, settings_changes=changes, patch="backends.SWEEP_INTERVAL_S = 0.05"
        ) as world:
            assert await call_status(world) == 200
            # closed by the gateway: this backend never does
            await wait_until(lambda: backend.closed_connections == 1)
            assert await call_status(world) == 200
            assert backend.connections == 2

    run(scene)


def test_a_connection_idle_for_too_long_is_not_reused_even_before_a_sweep():
    # The backend is about to close it: a request written to it could be reset and count as possibly run.
    async def scene():
        backend = await Backend().start()
        sender = Sender(backend.port)
        first = sender.send(0)
        await wait_until(lambda: first.is_done)
        pool = sender.backends._pools["b0"]
        pool.idle_connections[0].idle_since -= sender.backends.max_idle_s
        second = sender.send(0)
        await wait_until(lambda: second.is_done)
        assert sender.outcomes() == [io.Outcome.OK] * 2 and backend.connections == 2
        await wait_until(lambda: backend.closed_connections == 1)
        backend.server.close()

    run(scene)


def test_a_timeout_closes_the_connection():
    async def scene():
        backend = Backend(HeldReply())
        async with World({"b1": backend}) as world:
            began = time.monotonic()
            assert await call_status(world, kind="pay", X_Timeout="0.3") == 502
            assert time.monotonic() - began > 0.2
            await wait_until(lambda: backend.readers[0].at_eof() or backend.readers[0].exception())

    run(scene)


class Sender:
    """A `Backends` in this process, and the exchanges that have ended."""

    def __init__(self, *ports, max_connections=100, memory_mb=192.0):
        settings = io.Settings(connect_timeout_ms=20000.0)
        self.memory, self.ended = MemoryBudget(memory_mb), []
        self.backends = backends.Backends(settings, 60000.0, max_connections, self.memory)
        self.update_list(*ports)

    def update_list(self, *ports):
        entries = tuple(io.Backend(f"b{i}") for i in range(len(ports)))
        where = {f"b{i}": ("127.0.0.1", port) for i, port in enumerate(ports)}
        for pool in self.backends.apply_listing(
            Listing(io.BackendsChanged(io.ListKind.COMPLETE, 1, entries), where)
        ):
            pool.close()

    def send(self, number, body=b"", send_within_s=float("inf"), timeout_s=20.0):
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n" % len(body)
        now_s = asyncio.get_running_loop().time()
        exchange = backends.Exchange(f"b{number}", head, body, now_s + timeout_s, self.ended.append)
        if send_within_s != float("inf"):
            exchange.send_before_s = now_s + send_within_s
        self.backends.send(exchange)
        return exchange

    def outcomes(self):
        return [exchange.outcome for exchange in self.ended]


EMPTY_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


@contextlib.asynccontextmanager
async def exchange_with_stopped_reader(is_sent, **options):
    """Sends a request to a backend that reads nothing; unless `is_sent`, too large to be sent completely.

    Yields the sender, the exchange and the backend's socket. `options` are those of `Sender.send`.
    """
    with socket.socket() as listening:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        listening.setblocking(False)
        sender = Sender(listening.getsockname()[1])
        exchange = sender.send(0, b"x" * (10 if is_sent else 16_000_000), **options)
        accepted, _ = await asyncio.get_running_loop().sock_accept(listening)
        with accepted:
            await wait_until(lambda: exchange.connection)
            assert exchange.is_sent is is_sent
            yield sender, exchange, accepted


def test_a_connection_that_opens_after_its_request_ended_serves_the_next_one():
    async def scene():
        backend = await Backend().start()
        sender = Sender(backend.port)
        sender.send(0).abandon(io.Outcome.CANCELLED)
        await wait_until(lambda: backend.connections == 1)
        pool = sender.backends._pools["b0"]
        await wait_until(lambda: pool.idle_connections)
        second = sender.send(0)
        await wait_until(lambda: second.is_done)
        assert sender.outcomes() == [io.Outcome.CANCELLED, io.Outcome.OK]
        assert len(backend.requests) == 1 and backend.connections == 1
        backend.server.close()

    run(scene)


def test_a_connection_that_opens_to_a_draining_backend_sends_nothing():
    async def scene():
        backend = await Backend().start()
        sender = Sender(backend.port)
        sender.send(0)
        sender.update_list()
        assert sender.outcomes() == [io.Outcome.CONNECT_FAILED]
        await wait_until(lambda: backend.closed_connections == 1)
        assert not backend.requests
        backend.server.close()

    run(scene)


@pytest.mark.parametrize("is_sent,outcome", [(False, io.Outcome.CONNECT_FAILED), (True, io.Outcome.RESET)])
def test_a_reset_counts_as_a_connect_failure_until_the_last_byte_is_sent(is_sent, outcome):
    async def scene():
        async with exchange_with_stopped_reader(is_sent) as (sender, exchange, accepted):
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            accepted.close()
            await wait_until(lambda: exchange.is_done)
            assert sender.outcomes() == [outcome]

    run(scene)


@pytest.mark.parametrize("is_sent", [False, True])
def test_a_withdrawal_stops_a_partly_sent_request_but_not_a_sent_one(is_sent):
    async def scene():
        async with exchange_with_stopped_reader(is_sent) as (sender, exchange, accepted):
            exchange.withdraw_if_unsent()
            if is_sent:
                accepted.sendall(EMPTY_RESPONSE)
            await wait_until(lambda: exchange.is_done)
            assert sender.outcomes() == [io.Outcome.OK if is_sent else io.Outcome.NOT_SENT]

    run(scene)


@pytest.mark.parametrize("is_sent", [False, True])
def test_a_timeout_counts_as_a_connect_failure_until_the_last_byte_is_sent(is_sent):
    async def scene():
        async with exchange_with_stopped_reader(is_sent) as (sender, exchange, _):
            exchange.on_timeout()
            assert sender.outcomes() == [io.Outcome.TIMEOUT if is_sent else io.Outcome.CONNECT_FAILED]

    run(scene)


def test_a_request_larger_than_the_socket_buffer_is_sent_completely():
    async def scene():
        backend = await Backend().start()
        sender = Sender(backend.port)
        exchange = sender.send(0, b"x" * 16_000_000)
        await wait_until(lambda: exchange.is_done)
        assert sender.outcomes() == [io.Outcome.OK] and len(backend.requests[0].body) == 16_000_000
        backend.server.close()

    run(scene)


@pytest.mark.parametrize(
    "reply,outcome",
    [(reply_ok(b"qps=3,queue=x,latency_ms=4.5"), io.Outcome.OK), (reply_status(503), io.Outcome.ERROR)],
)
def test_a_probe_returns_the_load_report_of_a_backend(reply, outcome):
    async def scene():
        backend, ended = await Backend(reply).start(), []
        sender = Sender(backend.port)
        sender.backends.probe("b0", ended.append)
        await wait_until(lambda: ended)
        assert ended[0].outcome is outcome and backend.requests[0].target == "/healthz"
        assert parse_load_report(ended[0].response_body) == (
            {"qps": 3.0, "latency_ms": 4.5} if ended[0].response_body else None
        )
        sender.backends.close_idle("b0")
        await wait_until(lambda: backend.closed_connections == 1)
        backend.server.close()

    run(scene)


@pytest.mark.parametrize("max_connections,served", [(100, 4), (3, 3)], ids=["to each", "in all"])
def test_connections_are_bounded(monkeypatch, max_connections, served):
    async def scene():
        monkeypatch.setattr(backends, "MAX_CONNECTIONS_PER_BACKEND", 2)
        held_reply = HeldReply()
        fleet = [await Backend(held_reply).start() for _ in range(2)]
        sender = Sender(*(backend.port for backend in fleet), max_connections=max_connections)
        for i in range(6):
            sender.send(i % 2)
        assert sender.outcomes() == [io.Outcome.CONNECT_FAILED] * (6 - served)
        held_reply.release.set()
        await wait_until(lambda: len(sender.ended) == 6)
        assert sender.outcomes()[6 - served :] == [io.Outcome.OK] * served
        for backend in fleet:
            backend.server.close()

    run(scene)


def test_an_idle_connection_is_closed_for_one_to_another_backend():
    async def scene():
        fleet = [await Backend().start() for _ in range(2)]
        sender = Sender(*(backend.port for backend in fleet), max_connections=1)
        for number in (0, 1, 0):
            exchange = sender.send(number)
            await wait_until(lambda: exchange.is_done)  # noqa: B023
        assert sender.outcomes() == [io.Outcome.OK] * 3
        for backend in fleet:
            backend.server.close()

    run(scene)


def test_the_cost_of_making_room_does_not_grow_with_the_number_of_backends():
    async def scene():
        backend = await Backend().start()
        sender, calls = Sender(*[backend.port] * 60, max_connections=60), []
        for count in (10, 60):
            exchanges = [sender.send(i) for i in range(count)]
            await wait_until(lambda: all(exchange.is_done for exchange in exchanges))  # noqa: B023
            assert len(sender.backends.open_or_opening) == count
            sys.setprofile(lambda frame, event, arg: calls[-1].append(event) if event == "call" else None)
            calls.append([])
            room = sender.backends.make_room()
            sys.setprofile(None)
            assert room and len(sender.backends.open_or_opening) == min(count, 59)
        assert len(calls[1]) <= len(calls[0]) + 4  # the connection idle for longest is closed
        sender.update_list()
        await wait_until(lambda: backend.closed_connections == backend.connections)
        await wait_until(lambda: not sender.backends.open_or_opening and not sender.backends.idle_by_age)
        backend.server.close()

    run(scene)


@pytest.mark.parametrize("opens", [False, True], ids=["still opening", "was written to"])
def test_a_connection_for_an_ended_request_does_not_count_against_the_limit(opens):
    async def scene():
        backend, silent = await Backend().start(), await Backend(HeldReply()).start()
        with unreachable_port() as nowhere:
            sender = Sender(silent.port if opens else nowhere, backend.port, max_connections=1)
            first = sender.send(0)
            if opens:
                await wait_until(lambda: first.is_sent)
            first.abandon(io.Outcome.CANCELLED)
            second = sender.send(1)
            await wait_until(lambda: second.is_done)
            assert sender.outcomes() == [io.Outcome.CANCELLED, io.Outcome.OK]
        backend.server.close()
        silent.server.close()

    run(scene)


def test_a_draining_backend_finishes_its_requests_and_gets_no_new_ones():
    async def scene():
        held_reply = HeldReply(reply_ok(b"old"))
        first, second = Backend(held_reply), Backend(reply_ok(b"new"))
        async with World({"b1": first}) as world:
            await second.start()
            running = asyncio.create_task(world.call(request("pay")))
            await held_reply.reached.wait()
            world.discovery.publish(
                world.discovery.entry("b1", first.port, "Terminating"),
                world.discovery.entry("b2", second.port),
            )
            async with asyncio.timeout(30):
                while (await world.call(request(X_Timeout="1.0"))).body != b"new":
                    pass
            reached = len(first.requests)
            for _ in range(5):
                assert (await world.call(request())).body == b"new"
            assert len(first.requests) == reached
            held_reply.release.set()
            assert (await running).body == b"old"
            second.server.close()

    run(scene)


@pytest.mark.parametrize("moved", [True, False], ids=["another address", "another process"])
def test_a_backend_that_moved_or_restarted_gets_new_connections(moved):
    async def scene():
        old, new = Backend(reply_ok(b"old")), Backend(reply_ok(b"new"))
        async with World({"b1": old}) as world:
            await new.start()
            assert (await world.call(request())).body == b"old"
            port, started = (new.port, 0) if moved else (old.port, int(time.time() * 1000) - 60000)
            world.discovery.publish(world.discovery.entry("b1", port, started=started))
            await wait_until(lambda: old.closed_connections == 1)
            assert (await world.call(request())).body == (b"new" if moved else b"old")
            new.server.close()

    run(scene)


def test_only_backends_with_connections_have_pools():
    # The cost of sweeps and of the search for room must not grow with the length of the list.
    async def scene():
        fleet = [await Backend().start() for _ in range(3)]
        sender = Sender(*(fleet[i % 3].port for i in range(500)))
        assert not sender.backends._pools and sender.backends.has_backend()
        for number in (3, 400):
            sender.send(number)
        await wait_until(lambda: len(sender.ended) == 2)
        assert sender.outcomes() == [io.Outcome.OK] * 2 and set(sender.backends._pools) == {"b3", "b400"}
        sender.backends.close_idle("b3")
        await wait_until(lambda: not sender.backends._pools["b3"].connections)
        sender.backends.start()
        assert set(sender.backends._pools) == {"b400"}
        sender.send(3)
        await wait_until(lambda: len(sender.ended) == 3)
        assert sender.outcomes()[2] is io.Outcome.OK
        for backend in fleet:
            backend.server.close()

    run(scene)


def test_a_pool_is_replaced_only_if_its_backend_moved_or_restarted():
    async def scene():
        first, second = [await Backend().start() for _ in range(2)]
        sender = Sender(first.port)

        async def pool(port, started_ms=0.0):
            entry = io.Backend("b0", started_ms=started_ms)
            where = {"b0": ("127.0.0.1", port)}
            sender.backends.apply_listing(Listing(io.BackendsChanged(io.ListKind.DELTA, 2, (entry,)), where))
            exchange = sender.send(0)
            await wait_until(lambda: exchange.is_done)
            return sender.backends._pools["b0"]

        pools = [
            await pool(first.port),
            await pool(first.port),
            await pool(first.port, 5.0),
            await pool(second.port, 5.0),
        ]
        assert (
            pools[0] is pools[1]
            and len(set(pools)) == 3
            and set(pools[1:3]) <= sender.backends._draining_pools
        )
        assert (len(first.requests), len(second.requests)) == (3, 1)
        first.server.close()
        second.server.close()

    run(scene)
