"""Costly input of some clients does not keep the requests of others waiting."""

import asyncio
import itertools
import string
import time

from test_host import InProcessGateway
from world import Backend, World, request, request_id, run, wait_until

from elderhub.input_scheduler import CHEAP_INPUT_S, TURN_BUDGET_S, InputScheduler

COSTLY_CLIENT_COUNT = 200
REQUESTS_PER_COSTLY_CLIENT = 16
FIELDS = {
    f"X-{a}{b}": "v" for a, b in itertools.islice(itertools.product(string.ascii_lowercase, repeat=2), 490)
}
MAX_LATENCY_S = 1.0
WARM_UP_REQUESTS = 10  # of each usual client, as the first ones of a process take longer


class FakeLoop:
    """Collects the callbacks of the next turn."""

    def __init__(self):
        self.callbacks, self.now_s = [], 0.0

    def call_soon(self, callback):
        self.callbacks.append(callback)

    def time(self):
        return self.now_s

    def run_turn(self):
        callbacks, self.callbacks = self.callbacks, []
        for callback in callbacks:
            callback()


class Source:
    """A connection each of whose bytes costs `byte_cost_s` to process."""

    def __init__(self, loop, scheduler, byte_cost_s, processed):
        self._loop, self._scheduler, self._byte_cost_s = loop, scheduler, byte_cost_s
        self._processed, self._kept, self.input_cost_s = processed, b"", 0.0

    def process_input(self, data):
        self._loop.now_s += self._byte_cost_s * len(data)
        self._processed.append(bytes(data))

    def postpone_input(self, data):
        self._kept = data

    def resume_input(self):
        self._scheduler.process(self, self._kept)


def new_sources(*byte_costs_s):
    loop, processed = FakeLoop(), []
    scheduler = InputScheduler(loop, loop.time)
    return loop, scheduler, processed, [Source(loop, scheduler, c, processed) for c in byte_costs_s]


def test_a_turn_postpones_what_it_has_no_time_for_and_processes_the_cheapest_first():
    loop, scheduler, processed, (costly, other, cheap) = new_sources(
        TURN_BUDGET_S, TURN_BUDGET_S, 2 * CHEAP_INPUT_S
    )
    for source in (costly, other, cheap):  # so that their costs are known
        scheduler.receive(source, b"x")
        loop.run_turn()
    processed.clear()
    scheduler.receive(costly, b"a")
    for source, data in ((costly, b"b"), (other, b"c"), (cheap, b"d")):
        scheduler.receive(source, data)
    assert processed == [b"a"]
    loop.run_turn()
    assert processed == [b"a", b"d", b"b"]
    loop.run_turn()
    assert processed == [b"a", b"d", b"b", b"c"]
    loop.run_turn()
    assert not loop.callbacks and scheduler.has_time()


def test_cheap_input_is_not_postponed():
    # Guards against input whose postponement costs more than the input: small pieces kept the loop busy.
    loop, scheduler, processed, (costly, cheap) = new_sources(TURN_BUDGET_S, CHEAP_INPUT_S / 2)
    scheduler.receive(cheap, b"a")
    for source, data in ((costly, b"b"), (costly, b"c"), (cheap, b"d")):
        scheduler.receive(source, data)
    assert processed == [b"a", b"b", b"d"]


def test_a_connection_whose_input_was_held_up_once_is_soon_taken_for_cheap_again():
    loop, scheduler, processed, (costly, usual) = new_sources(TURN_BUDGET_S, 2 * CHEAP_INPUT_S)
    scheduler.receive(usual, b"x" * 1500)  # 0.15 s
    for source, data in ((costly, b"x"), *((usual, b"x") for _ in range(6))):
        loop.run_turn()
        scheduler.receive(source, data)
    loop.run_turn()
    processed.clear()
    for source, data in ((costly, b"a"), (costly, b"b"), (usual, b"c")):
        scheduler.receive(source, data)
    loop.run_turn()
    assert processed == [b"a", b"c", b"b"]


def test_input_of_unknown_cost_is_taken_for_costly_if_it_is_long():
    loop, scheduler, processed, (costly, long, short) = new_sources(TURN_BUDGET_S, 0.0, 0.0)
    scheduler.receive(costly, b"a")
    scheduler.receive(long, b"b" * 8000)
    scheduler.receive(short, b"c" * 400)
    loop.run_turn()
    assert [data[:1] for data in processed] == [b"a", b"c", b"b"]


def test_many_clients_with_heads_of_many_fields_do_not_delay_usual_requests():
    # Guards against processing all input as it is read: usual clients got no answer for up to 4.5 s.
    async def scene():
        # Of no class, so that they don't take the backends' time too.
        costly_request = request(X_Priority_Class="none", **FIELDS)
        costly_input = costly_request * REQUESTS_PER_COSTLY_CLIENT
        async with World({"b1": Backend(), "b2": Backend()}) as world:
            usual = [await world.connect() for _ in range(5)]
            for client in usual * WARM_UP_REQUESTS:
                client.send(request())
                await client.read_response()
            costly = [await world.connect() for _ in range(COSTLY_CLIENT_COUNT)]
            for client in costly:
                client.send(costly_input)
            await asyncio.sleep(0.05)
            for _ in range(5):
                sent_at_s = time.monotonic()
                for client in usual:
                    client.send(request())
                statuses = [(await client.read_response()).status for client in usual]
                assert statuses == [200] * len(usual)
                assert time.monotonic() - sent_at_s < MAX_LATENCY_S
            for client in costly:
                client.writer.transport.abort()

    run(scene)


def test_input_that_waited_for_its_turn_has_less_time_left(tmp_path):
    # Guards against deadlines that count from the turn in which a request was processed.
    async def scene():
        async with InProcessGateway(tmp_path) as gateway:
            gateway.gate.open.set()
            client = await gateway.connect()
            scheduler = gateway.host.clients.input_scheduler
            scheduler.has_time = lambda: False
            client.send(request(X_Timeout="2.0"))
            await asyncio.sleep(0.5)
            assert not gateway.backend.requests
            del scheduler.has_time
            assert (await client.read_response()).status == 200
            (received,) = gateway.backend.requests
            assert 1.0 < float(received.headers["x-timeout"]) <= 1.55

    run(scene)


def test_input_that_waits_for_its_turn_is_dropped_as_its_client_leaves(tmp_path):
    async def scene():
        async with InProcessGateway(tmp_path) as gateway:
            gateway.gate.open.set()
            client, other = await gateway.connect(), await gateway.connect()
            scheduler = gateway.host.clients.input_scheduler
            scheduler.has_time = lambda: False
            client.send(request(name="left"))
            await asyncio.sleep(0.1)
            client.writer.transport.abort()
            await asyncio.sleep(0.1)
            del scheduler.has_time
            other.send(request(name="stays"))
            assert (await other.read_response()).status == 200
            await wait_until(lambda: len(gateway.host.clients._open) == 1)
            assert gateway.request_ids() == [request_id("stays")]
            assert not gateway.host._requests and not gateway.host._memory.held_bytes

    run(scene)
