"""A keyed request is not repeated once its key may have expired, however late a connection opens."""

import asyncio
import time

import pytest
from helpers import GatewayHarness, final_answers, of_type
from test_backends import EMPTY_RESPONSE, Sender, exchange_with_stopped_reader
from test_host import InProcessGateway
from world import CLASSES, Backend, request, run, wait_until

from cobaltline import interface as io

KEY_TTL_S = 1.0
FIRST_ANSWER_S = 0.5
SLACK_S = 0.2  # on windows, as the operators' pages allow
SHORT_KEYS = [
    {**request_class, "keyScope": "all", "keyTtlMs": KEY_TTL_S * 1000.0} for request_class in CLASSES
]


def test_a_repeat_whose_connection_opens_late_is_not_sent_after_its_key_expired(tmp_path):
    # Guards against a check of the key's lifetime only as the repeat is decided: it was written 0.5 s late.
    async def scene():
        async with InProcessGateway(tmp_path, more=1, classes=SHORT_KEYS) as gateway:
            first_at_s = []

            async def fails_late(received, writer):
                first_at_s.append(time.monotonic())
                gateway.gate.open.clear()
                asyncio.get_running_loop().call_later(1.5 * KEY_TTL_S, gateway.gate.open.set)
                await asyncio.sleep(FIRST_ANSWER_S)
                writer.write(b"HTTP/1.1 500 Odd\r\nContent-Length: 0\r\n\r\n")

            for backend in gateway.backends:
                backend.reply = fails_late
            gateway.gate.open.set()
            client = await gateway.connect()
            client.send(request("hold", name="r1"))
            status = (await client.read_response()).status
            answered_at_s = time.monotonic()
            await wait_until(lambda: all(backend.connections for backend in gateway.backends))
            await asyncio.sleep(0.1)
            assert len(gateway.request_ids()) == 1
            assert status in (502, 503) and answered_at_s - first_at_s[0] <= KEY_TTL_S + SLACK_S

    run(scene)


@pytest.mark.parametrize("is_sent", [False, True])
def test_a_partly_sent_repeat_is_withdrawn_as_its_key_expires_but_not_a_sent_one(is_sent):
    # Guards against a request whose last byte is sent after its key has expired.
    async def scene():
        options = {"send_within_s": 0.2}
        async with exchange_with_stopped_reader(is_sent, **options) as (sender, exchange, accepted):
            await asyncio.sleep(0.4)
            assert exchange.is_sent is is_sent and exchange.is_done is not is_sent
            if is_sent:
                accepted.sendall(EMPTY_RESPONSE)
            await wait_until(lambda: exchange.is_done)
            assert sender.outcomes() == [io.Outcome.OK if is_sent else io.Outcome.NOT_SENT]

    run(scene)


def test_a_sent_repeat_still_times_out_at_its_deadline():
    async def scene():
        backend = await Backend(lambda received, writer: asyncio.sleep(60.0)).start()
        sender = Sender(backend.port)
        exchange = sender.send(0, send_within_s=0.1, timeout_s=0.3)
        await wait_until(lambda: exchange.is_done)
        assert sender.outcomes() == [io.Outcome.TIMEOUT]
        backend.server.close()

    run(scene)


def test_a_repeat_that_is_already_too_late_is_not_sent():
    async def scene():
        backend = await Backend().start()
        sender = Sender(backend.port)
        sender.send(0, send_within_s=-0.1)
        assert sender.outcomes() == [io.Outcome.NOT_SENT] and not sender.backends.open_or_opening
        backend.server.close()

    run(scene)


def test_only_repeats_of_keyed_requests_have_to_be_sent_before_a_time():
    harness = GatewayHarness()
    for kind in ("read", "hold"):
        name, actions = harness.request(kind=kind)
        (first,) = of_type(actions, io.Send)
        assert first.send_before_ms == float("inf")
        sent_at = harness.now
        harness.advance(harness.now + 100.0)
        (repeat,) = of_type(harness.end_attempt(name, 0, io.Outcome.ERROR), io.Send)
        if kind == "read":
            assert repeat.send_before_ms == float("inf")
        else:  # the key is valid for 2 s
            assert sent_at + 1800.0 <= repeat.send_before_ms < sent_at + 2000.0


@pytest.mark.parametrize("elapsed_ms,answer", [(1000.0, io.Reject), (2500.0, io.Fail)])
def test_a_keyed_request_that_may_have_run_is_refused_only_while_its_key_is_valid(elapsed_ms, answer):
    # Guards against an answer that calls a retry harmless although the key has expired.
    keyed = io.RequestClass("hold", 4000.0, 4000.0, io.Idempotency.KEYED, "all", 2000.0)
    harness = GatewayHarness(("b1",), classes={"hold": keyed})
    name, _ = harness.request(kind="hold")
    harness.now += elapsed_ms
    harness.end_attempt(name, 0, io.Outcome.ERROR)
    assert [type(action) for action in final_answers(harness.actions, name)] == [answer]
