"""A counter that cannot answer all calls of the fleet: the gap between calls, and local admission."""

import heapq
import random

from helpers import GatewayHarness, final_answers, of_type, settings

from cobaltline import interface as io
from cobaltline.gateway import Gateway

GATEWAYS, TIMEOUT_MS, MAX_QUEUE_MS = 40, 50.0, 150.0


class SharedCounterFleet:
    """Gateways, with clocks in ms, that share a counter which answers one call after another.

    The counter rejects a call that would wait too long, and adds a call that times out all the same.
    """

    def __init__(self, calls_per_s, customers, **changes):
        self.now, self.seq, self.events = 100000.0, 0, []
        self.service_ms, self.free_at, self.totals = 1000.0 / calls_per_s, 0.0, {}
        self.plan = io.Plan("basic", rate=2.0, burst=6.0, overrun_cost=0.6)
        self.rng = random.Random(5)
        self.customer_weights = customers  # relative request rates
        self.levels, self.request_count, self.requested = {}, 0, {}
        self.units_within_quota = self.units_over_quota = self.answered_calls = self.failed_calls = 0.0
        self.gateways = [
            Gateway(
                settings(node_id=node_id, gateways=GATEWAYS, plans={"basic": self.plan}, **changes), node_id
            )
            for node_id in range(GATEWAYS)
        ]
        entries = tuple(io.Backend(f"b{k}", zone="z1") for k in range(40))
        for node_id in range(GATEWAYS):
            self.deliver(node_id, io.BackendsChanged(io.ListKind.CACHED, 1, entries))

    def schedule(self, delay_ms, callback, *arguments):
        self.seq += 1
        heapq.heappush(self.events, (self.now + delay_ms, self.seq, callback, arguments))

    def deliver(self, node_id, event):
        for action in self.gateways[node_id].handle(self.now, event):
            if isinstance(action, io.CounterAdd):
                self.on_counter_call(node_id, action)
            elif isinstance(action, io.SetTimer):
                self.schedule(action.delay_ms, self.deliver, node_id, io.TimerFired(action.token))
            elif isinstance(action, io.Send):
                self.record_send(action)
                ended = io.AttemptEnded(action.request, 0, action.backend, io.Outcome.OK, True, 20.0)
                self.schedule(20.0, self.deliver, node_id, ended)

    def on_counter_call(self, node_id, call):
        wait_ms = max(0.0, self.free_at - self.now)
        if wait_ms > MAX_QUEUE_MS:
            self.failed_calls += 1
            self.schedule(1.0, self.deliver, node_id, io.CounterResult(call.name, io.Outcome.OVERLOADED))
            return
        self.free_at = self.now + wait_ms + self.service_ms
        self.schedule(wait_ms, self.add_to_total, node_id, call, wait_ms + 1.0)
        if wait_ms + 1.0 > TIMEOUT_MS:
            self.failed_calls += 1
            self.schedule(TIMEOUT_MS, self.deliver, node_id, io.CounterResult(call.name, io.Outcome.TIMEOUT))
        else:
            self.answered_calls += 1

    def add_to_total(self, node_id, call, elapsed_ms):
        total = self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
        if elapsed_ms <= TIMEOUT_MS:
            self.schedule(
                1.0, self.deliver, node_id, io.CounterResult(call.name, io.Outcome.OK, total, elapsed_ms)
            )

    def record_send(self, send):
        customer, units = self.requested[send.request]
        level, updated_at = self.levels.get(customer, (self.plan.burst, self.now))
        level = min(self.plan.burst, level + self.plan.rate * (self.now - updated_at) / 1000.0)
        if level >= units:
            self.units_within_quota, level = self.units_within_quota + units, level - units
        else:
            self.units_over_quota += units
        self.levels[customer] = (level, self.now)

    def run(self, seconds, requests_per_s):
        for index in range(seconds * requests_per_s):
            self.schedule(index * 1000.0 / requests_per_s, self.send_request)
        end = self.now + seconds * 1000.0
        while self.events[0][0] <= end:  # the timers of the gateways never end
            self.now, _, callback, arguments = heapq.heappop(self.events)
            callback(*arguments)

    def send_request(self):
        (customer,) = self.rng.choices(range(len(self.customer_weights)), self.customer_weights)
        units = self.rng.choice((1.0, 1.0, 1.0, 4.0))
        self.request_count += 1
        self.requested[f"r{self.request_count}"] = (customer, units)
        self.deliver(
            self.rng.randrange(GATEWAYS),
            io.RequestArrived(
                f"r{self.request_count}",
                f"c{customer}",
                "basic",
                "read",
                self.now + 4000.0,
                units=units,
                spread=GATEWAYS,
            ),
        )


def test_calls_are_spaced_so_that_most_are_answered_and_the_counter_is_kept_busy():
    # Guards against a gap that settles where nearly every second call fails.
    fleet = SharedCounterFleet(100, [1.0] * 100)
    fleet.run(10, 400)
    answered_before, failed = fleet.answered_calls, fleet.failed_calls
    fleet.run(20, 400)
    answered, failed = fleet.answered_calls - answered_before, fleet.failed_calls - failed
    assert failed < 0.25 * (answered + failed)
    assert answered > 0.6 * 20 * 100


def test_overruns_are_bounded_over_the_fleet_while_the_counter_answers_only_some_calls():
    # One customer in four requests many times its quota, of which each gateway sees little.
    fleet = SharedCounterFleet(100, [2.0 if i % 4 == 0 else 0.5 for i in range(100)])
    fleet.run(20, 400)
    assert fleet.units_over_quota < 1.6 * fleet.units_within_quota


def thin_share_harness(**changes):
    """One of 40 gateways, whose part of the plans' bursts is less than a unit."""
    return GatewayHarness(
        gateways=GATEWAYS,
        plans={
            "basic": io.Plan("basic", rate=2.0, burst=16.0, overrun_cost=0.8),
            "cheap": io.Plan("cheap", rate=2.0, burst=16.0),
        },
        **changes,
    )


def test_a_large_request_gets_its_call_before_a_small_one():
    harness = thin_share_harness()
    harness.gateway.call_gap_ms, harness.gateway.next_call_at = 100.0, harness.now + 50.0
    assert not of_type(harness.request(plan="basic", spread=40, customer="small")[1], io.CounterAdd)
    assert of_type(harness.request(plan="basic", spread=40, customer="large", units=8.0)[1], io.CounterAdd)


def test_local_admission_depends_on_the_share_of_short_borrows_and_on_the_overrun_cost():
    harness = thin_share_harness()
    harness.gateway.rng.random = lambda: 0.5
    harness.gateway.call_gap_ms, harness.gateway.next_call_at = 800.0, harness.now + 1e6
    assert of_type(harness.request(plan="basic", spread=40, customer="a")[1], io.Send)
    harness.gateway.short_share = 0.5
    name, actions = harness.request(plan="basic", spread=40, customer="b")
    assert final_answers(actions, name) and not of_type(actions, io.Send)
    assert of_type(harness.request(plan="cheap", spread=40, customer="b")[1], io.Send)


def test_the_share_of_short_borrows_follows_the_totals_of_the_counter():
    harness = thin_share_harness()
    for i in range(200):
        _, actions = harness.request(plan="basic", spread=40, customer=f"c{i}")
        (call,) = of_type(actions, io.CounterAdd)
        harness.answer_counts([call], {call.name: 99.0 if i % 2 else 0.0})
    assert 0.4 < harness.gateway.short_share < 0.6


def test_calls_return_to_their_usual_rate_soon_after_an_outage_of_the_counter():
    harness = thin_share_harness()
    for i in range(20):
        harness.now += 1000.0
        harness.answer_counts(
            harness.request(plan="basic", spread=40, customer=f"a{i}")[1], outcome=io.Outcome.OVERLOADED
        )
    assert harness.gateway.call_gap_ms > 500.0
    for i in range(10):
        harness.now += 1000.0
        harness.answer_counts(harness.request(plan="basic", spread=40, customer=f"b{i}")[1], {})
    assert harness.gateway.call_gap_ms < 20.0


def test_a_counter_with_a_long_round_trip_does_not_count_as_congested():
    harness = thin_share_harness()
    for i in range(50):
        harness.now += 100.0
        (call,) = of_type(harness.request(plan="basic", spread=40, customer=f"a{i}")[1], io.CounterAdd)
        # The timeout is 50 ms.
        harness.feed(io.CounterResult(call.name, io.Outcome.OK, 1.0, 31.0 if i % 2 else 33.0))
        assert harness.gateway.call_gap_ms == 0.0
    (call,) = of_type(harness.request(plan="basic", spread=40, customer="late")[1], io.CounterAdd)
    harness.feed(io.CounterResult(call.name, io.Outcome.OK, 1.0, 45.0))
    assert harness.gateway.call_gap_ms > 0.0
