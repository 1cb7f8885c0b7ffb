"""Client connections: valid and malformed requests, limits, and exactly one answer for each request."""

import asyncio
import contextlib
import errno

import pytest
from world import (
    CLASSES,
    CUSTOMER,
    Backend,
    HeldReply,
    World,
    reply_not_processed,
    reply_ok,
    reply_status,
    request,
    request_id,
    run,
    wait_until,
)

from elderhub import clients
from elderhub.request_ids import ExecutedIds


def test_a_request_and_its_answer_are_forwarded_unchanged():
    async def scene():
        backend = Backend(reply_ok(b"\x00beds\xff", b"Content-Type: text/x\r\nX-Server-Load: queue=2\r\n"))
        async with World({"b1": backend}) as world:
            answer = await world.call(request("hold", body=b"two nights", name="id-1", Accept_Language="no"))
            assert (answer.status, answer.body) == (200, b"\x00beds\xff")
            assert answer.headers["content-type"] == "text/x" and "x-server-load" not in answer.headers
            received = backend.requests[0]
            assert (received.method, received.target, received.body) == (
                "POST",
                f"/api/{CUSTOMER}?q=1",
                b"two nights",
            )
            assert (
                received.headers["x-request-id"] == request_id("id-1")
                and received.headers["idempotency-key"] == "k1"
            )
            assert (
                received.headers["accept-language"] == "no"
                and 0 < float(received.headers["x-timeout"]) <= 8.0
            )

    run(scene)


def test_an_exhausted_quota_is_refused_at_once_with_retry_after():
    async def scene():
        async with World({"b1": Backend()}) as world:
            answers = [await world.call(request(plan="basic")) for _ in range(3)]
            assert [a.status for a in answers] == [200, 200, 429]
            assert float(answers[2].headers["retry-after"]) > 0

    run(scene)


MALFORMED = {
    "not HTTP": (b"hello\r\n\r\n", 400),
    "an id twice": (request().replace(b"Plan:", b"X-Request-ID: %b\r\nPlan:" % (b"2" * 16)), 400),
    "no such class": (request(X_Priority_Class="reads"), 400),
    "another method": (request().replace(b"GET", b"PUT", 1), 405),
    "a tunnel": (b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 405),
    "a large head": (request(X_Padding="x" * 70000), 431),
    "an endless line": (b"GET /" + b"x" * 200000, 431),
    "a large body": (request("hold", body=b"x" * 70000), 413),
    "a body of chunks that is too large": (
        request("hold", Content_Length=None, Transfer_Encoding="chunked")
        + b"400\r\n%b\r\n" % (b"x" * 1024) * 65,
        413,
    ),
    "a line that is no header": (request().replace(b"Plan:", b"plan\r\nPlan:"), 400),
    "a chunk that is none": (
        request("hold", Content_Length=None, Transfer_Encoding="chunked") + b"zz\r\nx\r\n",
        400,
    ),
    # Ambiguous framing, which could hide a request in the body of another.
    "two framings": (request("hold", Transfer_Encoding="chunked") + b"0\r\n\r\n" + request(), 400),
    "two lengths": (request("hold").replace(b"Plan:", b"Content-Length: 4\r\nPlan:"), 400),
    "a length below nothing": (request("hold", Content_Length="-4"), 400),
    "a length with a sign": (request("hold", Content_Length="+4"), 400),
    "a length that is no number": (request("hold", Content_Length="4_0"), 400),
    "a length beyond counting": (request("hold", Content_Length="9" * 40), 400),
    "60 MB": (request("hold", Content_Length="60000000"), 413),  # rejected by its header, before the body
}


def test_malformed_input_is_rejected_and_never_reaches_a_backend():
    async def scene():
        backend = Backend()
        async with World({"b1": backend}) as world:
            for name, (data, status) in MALFORMED.items():
                assert (await world.call(data)).status == status, name
            assert not backend.requests
            assert (await world.call(request())).status == 200
            assert "Traceback" not in world.log.read_text()

    run(scene)


def test_rejected_input_does_not_count_against_a_quota():
    async def scene():
        async with World({"b1": Backend()}) as world:
            for part in ("units=2,spread=2", "units=1,spread=9", "units=nan,spread=2"):
                quota = f"{part},first=0"
                assert (await world.call(request(plan="basic", Quota_Info=quota))).status == 400
            assert [(await world.call(request(plan="basic"))).status for _ in range(3)] == [200, 200, 429]

    run(scene)


def test_a_client_that_is_still_sending_can_read_its_rejection():
    # Closing with unread input sends a reset, which may overtake the response.
    async def scene():
        async with World({"b1": Backend()}) as world:
            client = await world.connect()
            client.send(request("hold", body=b"x" * 5_000_000))
            assert (await client.read_response()).status == 413
            await client.writer.drain()
            assert await client.closed_by_peer()

    run(scene)


def test_a_chunked_body_is_forwarded_whole_and_its_trailers_are_not_headers():
    async def scene():
        backend = Backend()
        async with World({"b1": backend}) as world:
            data = request("hold", Content_Length=None, Transfer_Encoding="chunked")
            data += b"3\r\ntwo\r\n7\r\n nights\r\n0\r\nPlan: other\r\nX-Late: 1\r\n\r\n"
            assert (await world.call(data)).status == 200
            assert backend.requests[0].body == b"two nights"
            assert (
                backend.requests[0].headers["plan"] == "free" and "x-late" not in backend.requests[0].headers
            )

    run(scene)


def test_an_upgrade_offer_is_ignored():
    async def scene():
        backend = Backend()
        async with World({"b1": backend}) as world:
            client = await world.connect()
            client.send(request(Connection="Upgrade", Upgrade="h2c") + b"PRI * HTTP/2.0")
            answer = await client.read_response()
            assert (answer.status, answer.headers["connection"]) == (200, "close")
            assert await client.closed_by_peer()
            assert "upgrade" not in backend.requests[0].headers

    run(scene)


def test_pipelined_requests_are_answered_in_order():
    async def scene():
        async def echo(received, writer):
            await reply_ok(received.headers["x-request-id"].encode())(received, writer)

        async with World({"b1": Backend(echo)}) as world:
            client = await world.connect()
            client.send(b"".join(request(name=f"r{i}") for i in range(4)) + b"nonsense\r\n\r\n")
            assert [(await client.read_response()).body for _ in range(4)] == [
                request_id(f"r{i}").encode() for i in range(4)
            ]
            assert (await client.read_response()).status == 400
            assert await client.closed_by_peer()

    run(scene)


def test_a_request_in_pieces_is_read():
    async def scene():
        async with World({"b1": Backend()}) as world:
            client = await world.connect()
            for byte in request("hold", body=b"two nights"):
                client.send(bytes([byte]))
                await client.writer.drain()
                await asyncio.sleep(0)
            assert (await client.read_response()).status == 200

    run(scene)


SHORT_READ_TIMEOUT = "clients.REQUEST_READ_TIMEOUT_S = 0.3"


@pytest.mark.parametrize(
    "part",
    [request()[:-10], request("hold", Content_Length="100"), b"G", request("hold", body=b"two nights")[:-1]],
)
def test_a_half_sent_request_times_out(part):
    async def scene():
        async with World({"b1": Backend()}, patch=SHORT_READ_TIMEOUT) as world:
            client = await world.connect()
            client.send(part)
            assert (await client.read_response()).status == 408
            assert await client.closed_by_peer()

    run(scene)


def test_a_connection_without_a_request_is_closed_and_a_used_one_may_stay():
    async def scene():
        async with World({"b1": Backend()}, patch=SHORT_READ_TIMEOUT) as world:
            silent, active = await world.connect(), await world.connect()
            active.send(request())
            assert (await active.read_response()).status == 200
            assert await silent.closed_by_peer()
            later = await world.connect()
            assert await later.closed_by_peer()
            active.send(request())
            assert (await active.read_response()).status == 200

    run(scene)


def test_pipelined_requests_on_one_connection_are_limited():
    async def scene():
        backend = Backend()
        async with World({"b1": backend}) as world:
            client = await world.connect()
            client.send(b"".join(request(name=f"r{i}") for i in range(400)))
            statuses = []
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    statuses.append((await client.read_response()).status)
            assert (
                statuses == [200] * (len(statuses) - 1) + [429] and len(backend.requests) == len(statuses) - 1
            )
            assert 1 < len(statuses) <= 2 * clients.MAX_QUEUED_REQUESTS

    run(scene)


def test_a_client_that_leaves_ends_its_attempt_and_the_next_is_served():
    async def scene():
        held_reply = HeldReply()
        backend = Backend(held_reply)
        async with World({"b1": backend}) as world:
            client = await world.connect()
            client.send(request())
            await held_reply.reached.wait()
            client.writer.close()
            await wait_until(lambda: backend.writers[0].is_closing() or backend.readers[0].at_eof())
            held_reply.release.set()
            assert (await world.call(request(name="r2"))).status == 200
            assert "Traceback" not in world.log.read_text()

    run(scene)


def test_a_request_id_in_use_is_rejected_and_free_again_after_its_request():
    async def scene():
        held_reply = HeldReply()
        backend = Backend(held_reply)
        async with World({"b1": backend}) as world:
            first = asyncio.create_task(world.call(request(name="r1")))
            await held_reply.reached.wait()
            assert (await world.call(request("hold", name="r1"))).status == 409
            held_reply.release.set()
            assert (await first).status == 200
            assert (await world.call(request(name="r1"))).status == 200
            assert len(backend.requests) == 2

    run(scene)


@pytest.mark.parametrize("kind,is_sent_again", [("pay", False), ("hold", False), ("read", True)])
def test_an_id_is_not_sent_again_after_its_client_left_unless_that_is_safe(kind, is_sent_again):
    # Guards against ids forgotten with their clients: an unsafe request ran once more with each repetition.
    async def scene():
        held_reply = HeldReply()
        backend = Backend(held_reply)
        async with World({"b1": backend}) as world:
            first = await world.connect()
            first.send(request(kind, name="r1"))
            await held_reply.reached.wait()
            first.writer.close()
            await wait_until(lambda: backend.readers[0].at_eof())  # the attempt is cancelled
            held_reply.release.set()
            for _ in range(2):
                answer = await world.call(request(kind, name="r1"))
                assert answer.status == (200 if is_sent_again else 409)
            assert len(backend.requests) == (3 if is_sent_again else 1)
            assert (await world.call(request(kind, name="r2"))).status == 200

    run(scene)


def test_an_unsafe_id_that_never_ran_may_come_again():
    async def scene():
        backend = Backend(reply_not_processed())
        async with World({"b1": backend}) as world:
            assert (await world.call(request("pay", name="r1"))).status == 503
            backend.reply = reply_ok()
            assert (await world.call(request("pay", name="r1"))).status == 200
            assert (await world.call(request("pay", name="r1"))).status == 409
            assert len(backend.requests) == 2

    run(scene)


def test_the_ids_that_are_remembered_are_bounded_by_the_limit_on_memory():
    executed_ids = ExecutedIds(1.0)
    ids = [b"%016x" % number for number in range(2 * executed_ids.max_count)]
    for executed_id in ids:
        executed_ids.add(executed_id)
        executed_ids.add(executed_id)
    assert len(executed_ids) == executed_ids.max_count < len(ids)
    assert ids[-1] in executed_ids and ids[-executed_ids.max_count] in executed_ids
    assert ids[-executed_ids.max_count - 1] not in executed_ids


@pytest.mark.parametrize(
    "version,header,is_kept",
    [(b"1.1", {}, True), (b"1.1", {"Connection": "close"}, False), (b"1.0", {}, False)],
)
def test_connections_are_kept_as_the_client_asks(version, header, is_kept):
    async def scene():
        async with World({"b1": Backend()}) as world:
            client = await world.connect()
            client.send(request(**header).replace(b"HTTP/1.1", b"HTTP/" + version))
            assert (await client.read_response()).headers.get("connection") == (None if is_kept else "close")
            if not is_kept:
                assert await client.closed_by_peer()

    run(scene)


def test_a_request_that_may_have_run_on_a_failed_backend_is_not_refused():
    async def scene():
        async with World({"b1": Backend(reply_status(500))}) as world:
            assert (await world.call(request("pay"))).status == 502

    run(scene)


def test_a_flood_of_silent_connections_evicts_only_silent_ones():
    async def scene():
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 128}
        async with World(
            {"b1": Backend()}, limits=limits, patch="clients.EVICTABLE_IDLE_S = 1000.0"
        ) as world:
            active, held_reply = [await world.connect() for _ in range(12)], HeldReply()
            for client in active:
                client.send(request())
                assert (await client.read_response()).status == 200
            world.backends["b1"].reply = held_reply
            active[0].send(request())
            await held_reply.reached.wait()
            silent = [await world.connect() for _ in range(300)]
            for client in silent[::2]:  # a health check alone does not protect a connection
                client.send(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            ended = [asyncio.create_task(client.reader.read()) for client in silent[1::2]]
            await asyncio.wait(ended[:100])
            held_reply.release.set()
            for client in active[1:]:
                client.send(request())
                assert (await client.read_response()).status == 200
            assert (await active[0].read_response()).status == 200
            assert (await world.call(request())).status == 200
            await asyncio.gather(*ended, return_exceptions=True)

    run(scene)


LISTEN_PATCH = """def listening(where, backlog):
    out = clients.socket.socket()
    out.bind(where)
    out.listen(backlog)
    return out
"""  # returns a listening socket of the class that the rest of the patch puts into clients.socket


def test_a_gateway_with_no_descriptor_left_waits_and_serves_again():
    patch = """import socket, time
accept, tries, began = socket.socket.accept, [], []
def short(self):
    began.append(time.monotonic()) if not began else None
    if time.monotonic() < began[0] + 0.5:
        tries.append(1)
        raise OSError(24, "too many open files")
    print("tries", len(tries), flush=True)
    return accept(self)
clients.socket.socket = type("Short", (socket.socket,), {"accept": short})
clients.socket.create_server = listening"""

    async def scene():
        async with World({"b1": Backend()}, patch=LISTEN_PATCH + patch) as world:
            assert (await world.call(request())).status == 200
            text = world.log.read_text()
            assert "accepting a connection failed, retrying" in text
            assert int(text.partition("tries ")[2].split()[0]) < 1000  # no busy loop

    run(scene)


FAILING_ACCEPT_PATCH = (
    LISTEN_PATCH
    + """import os, socket, time
accept = socket.socket.accept
def failing(self):
    if os.path.exists({flag!r}):
        os.unlink({flag!r})
        time.sleep({sleep_s})
        raise OSError({error_number}, "injected")
    return accept(self)
clients.socket.socket = type("Failing", (socket.socket,), {{"accept": failing}})
clients.socket.create_server = listening
clients.EVICTABLE_IDLE_S = {idle_s}"""
)
ACCEPT_ERRORS = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO, errno.EINTR]


each_accept_error = pytest.mark.parametrize("error_number", ACCEPT_ERRORS, ids=errno.errorcode.get)


def world_with_failing_accept(tmp_path, error_number, sleep_s, idle_s):
    """Returns a file and a gateway whose next accept fails once that file exists."""
    flag = tmp_path / "fail"
    patch = FAILING_ACCEPT_PATCH.format(
        flag=str(flag), sleep_s=sleep_s, error_number=error_number, idle_s=idle_s
    )
    return flag, World({"b1": Backend()}, patch=patch)


@each_accept_error
def test_a_partial_request_is_answered_though_accept_fails(error_number, tmp_path):
    # A failing system call must not cost a request that is being read its answer.
    async def scene():
        flag, unstarted = world_with_failing_accept(tmp_path, error_number, sleep_s=0.0, idle_s=1000.0)
        async with unstarted as world:
            client, data = await world.connect(), request()
            client.send(data)
            assert (await client.read_response()).status == 200
            data = request()
            client.send(data[:60])
            await asyncio.sleep(0.05)
            flag.touch()
            assert (await world.call(request())).status == 200  # accepted after a failure
            assert not flag.exists()
            client.send(data[60:])
            assert (await client.read_response()).status in (200, 503)

    run(scene)


@each_accept_error
def test_an_unread_request_is_answered_though_accept_fails(error_number, tmp_path):
    async def scene():
        flag, unstarted = world_with_failing_accept(tmp_path, error_number, sleep_s=0.3, idle_s=0.0)
        async with unstarted as world:
            client = await world.connect()
            for _ in range(2):  # the connection is idle
                client.send(request())
                assert (await client.read_response()).status == 200
            flag.touch()
            other = asyncio.create_task(world.call(request()))
            await wait_until(lambda: not flag.exists())  # the gateway is blocked in accept, which will fail
            client.send(request())
            assert (await client.read_response()).status == 200
            assert (await other).status == 200

    run(scene)


def test_connections_within_the_limit_stay_while_many_are_accepted():
    # Guards against connections counted twice as they open: others were closed in the middle of a request.
    async def scene():
        async with World({"b1": Backend()}) as world:  # 512 connections, eviction above 409
            connecting = [asyncio.create_task(world.connect()) for _ in range(400)]
            connections = []
            for task in connecting:
                connections.append(await task)
                connections[-1].send(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r")
            await asyncio.sleep(0.5)
            for client in connections:
                client.send(b"\n")
            assert {(await client.read_response()).status for client in connections} == {200}

    run(scene)


def test_with_few_connections_left_a_first_answer_ends_its_connection_and_reused_ones_stay():
    async def scene():
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 128}
        async with World(
            {"b1": Backend()}, limits=limits, patch="clients.EVICTABLE_IDLE_S = 1000.0"
        ) as world:
            active = await world.connect()
            for _ in range(2):
                active.send(request())
                assert "connection" not in (await active.read_response()).headers
            ended, connections = 0, []
            for _ in range(40):  # clients that send one request and stay connected
                client = await world.connect()
                connections.append(client)
                client.send(request())
                answer = await client.read_response()
                assert answer.status == 200
                if answer.headers.get("connection") == "close":
                    assert await client.closed_by_peer()
                    ended += 1
            assert 20 <= ended < 40
            active.send(request())
            assert "connection" not in (await active.read_response()).headers

    run(scene)


def test_with_few_connections_left_those_idle_for_longest_are_closed():
    async def scene():
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 128}
        async with World({"b1": Backend()}, limits=limits, patch="clients.EVICTABLE_IDLE_S = 0.3") as world:
            connections = []
            for _ in range(40):
                client = await world.connect()
                connections.append(client)
                client.send(request() + request())
                assert [(await client.read_response()).status for _ in range(2)] == [200, 200]
            gone = [asyncio.create_task(client.closed_by_peer()) for client in connections[:10]]
            assert await asyncio.gather(*gone) == [True] * 10
            connections[-1].send(request())
            assert (await connections[-1].read_response()).status == 200

    run(scene)


def test_a_request_is_answered_before_its_deadline():
    async def scene():
        async with World({"b1": Backend(HeldReply())}) as world:
            answer = await world.call(request("pay", X_Timeout="0.3"))
            assert answer.status == 502  # not 503, as the request may have run
            answer = await world.call(request(X_Timeout="0.3"))
            assert answer.status == 503

    run(scene)


# Deadlines longer than any test, so that no request ends by its deadline.
LONG_DEADLINES = {"classes": [{**entry, "giveUpMs": 120000.0} for entry in CLASSES]}


@pytest.mark.parametrize("pipelined_count", [1, 5, 400])
def test_a_client_that_leaves_with_pipelined_requests_is_noticed(pipelined_count):
    # Without reading on behind a queued request, the client's disconnection would go unnoticed.
    async def scene():
        held_reply = HeldReply()
        backend = Backend(held_reply)
        async with World({"b1": backend}, settings_changes=LONG_DEADLINES) as world:
            client = await world.connect()
            client.send(b"".join(request(name=f"r{i}", X_Timeout="120") for i in range(1 + pipelined_count)))
            await held_reply.reached.wait()
            client.writer.transport.abort()
            await wait_until(lambda: backend.readers[0].at_eof())  # the first one is cancelled
            held_reply.release.set()
            assert (await world.call(request(name="next"))).status == 200
            assert [received.headers["x-request-id"] for received in backend.requests] == [
                request_id("r0"),
                request_id("next"),
            ]
            assert "Traceback" not in world.log.read_text()

    run(scene)


def test_queued_input_is_bounded_in_bytes_and_answered_in_order():
    async def scene():
        held_reply = HeldReply()
        backend = Backend(held_reply)
        async with World({"b1": backend}) as world:
            client = await world.connect()
            client.send(request("hold", name="r0"))
            await held_reply.reached.wait()
            body = b"x" * 60_000
            client.send(b"".join(request("hold", name=f"r{i}", body=body) for i in range(1, 31)))
            await client.writer.drain()
            held_reply.release.set()
            statuses = []
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    statuses.append((await client.read_response()).status)
            assert statuses == [200] * len(backend.requests) + [429] and len(statuses) < 12

    run(scene)


def test_a_client_that_floods_behind_a_request_is_disconnected_and_its_request_cancelled():
    async def scene():
        held_reply = HeldReply()
        backend = Backend(held_reply)
        async with World({"b1": backend}, settings_changes=LONG_DEADLINES) as world:
            client = await world.connect()
            client.send(request("hold", name="r0", X_Timeout="120"))
            await held_reply.reached.wait()
            client.send(b"\x00" * (clients.MAX_LINGER_BYTES + (4 << 20)))
            await wait_until(lambda: backend.readers[0].at_eof())
            held_reply.release.set()
            assert (await world.call(request(name="next"))).status == 200

    run(scene)
