"""Many gateways: limits over all of them, borrowing from home gateways, and invalid messages."""

import zlib

import pytest
from helpers import GatewayHarness, final_answers, of_type, settings

from cobaltline import interface as io
from cobaltline.borrow_message import BORROW_GRANT, BORROW_REQUEST, MESSAGE_HEADER, MESSAGE_VERSION
from cobaltline.fleet_time import FleetTime
from cobaltline.gateway import SAMPLE_SIZE, Bucket, Gateway, TrackedBackend

KNOWN_TIME = FleetTime(is_known=True)


class Fleet:
    """Gateways with one clock, messages without delay, and a counter that rejects every call.

    `is_lost(sender, to)` tells which messages are dropped.
    """

    def __init__(self, count, is_lost=lambda sender, to: False, **changes):
        self.now, self.is_lost, self.request_count, self.sent_count, self.call_count = (
            100000.0,
            is_lost,
            0,
            0,
            0,
        )
        self.gateways = [
            Gateway(settings(node_id=node_id, gateways=count, may_message_peers=True, **changes), node_id)
            for node_id in range(count)
        ]
        self.timers = []
        for node_id in range(count):
            entries = tuple(io.Backend(f"b{k}", zone="z1") for k in range(4))
            self.deliver(node_id, io.BackendsChanged(io.ListKind.CACHED, 1, entries))

    def deliver(self, node_id, event):
        for action in self.gateways[node_id].handle(self.now, event):
            if isinstance(action, io.SendPeerMessage) and not self.is_lost(node_id, action.to):
                self.deliver(action.to, io.PeerMessage(node_id, action.payload))
            elif isinstance(action, io.CounterAdd):
                self.call_count += 1
                self.deliver(node_id, io.CounterResult(action.name, io.Outcome.OVERLOADED))
            elif isinstance(action, io.SetTimer):
                self.timers.append((self.now + action.delay_ms, node_id))
            elif isinstance(action, io.Send):
                self.sent_count += 1
                self.deliver(
                    node_id, io.AttemptEnded(action.request, 0, action.backend, io.Outcome.OK, True, 50.0)
                )

    def request(self, node_id, plan="basic", customer="c"):
        self.request_count += 1
        self.deliver(
            node_id,
            io.RequestArrived(
                f"r{self.request_count}", customer, plan, "read", self.now + 4000.0, spread=len(self.gateways)
            ),
        )

    def advance(self, elapsed_ms):
        self.now += elapsed_ms
        due = sorted(t for t in self.timers if t[0] <= self.now)
        self.timers = [t for t in self.timers if t[0] > self.now]
        for _, node_id in due:
            self.deliver(node_id, io.TimerFired("wake"))


@pytest.mark.parametrize("count", [2, 30, 300])
def test_with_the_counter_down_a_quota_is_still_served_once_over_all_gateways(count):
    fleet = Fleet(count)
    for k in range(240):  # 8 requests a second for 30 s; the plan has a rate of 2 and a burst of 6
        fleet.request(k * 7 % count)
        fleet.advance(125.0)
    quota = 6 + 2 * 30
    assert 0.7 * quota <= fleet.sent_count <= 1.15 * quota


def test_with_all_messages_lost_shares_below_one_request_stay_within_the_quota():
    fleet = Fleet(100, is_lost=lambda sender, to: True)
    for k in range(400):
        fleet.request(k * 7 % 100)
        fleet.advance(500.0)
    fleet.advance(2000.0)
    # the parts of the three home gateways and the rest
    assert 0 < fleet.sent_count <= 6 + 6 / 2 + 6 / 3 + (2 + 1 + 0.7) * 200


def test_a_home_gateway_that_does_not_answer_is_skipped_for_the_next():
    fleet = Fleet(50)
    first_home = Bucket(
        "c", settings().plans["basic"], 0, 50, fleet.gateways[0].settings, 0.0, KNOWN_TIME
    ).homes[0]
    fleet.is_lost = lambda sender, to: first_home in (sender, to)
    borrower = (first_home + 1) % 50
    fleet.request(borrower)
    for _ in range(14):  # two timeouts, then the next home gateway
        fleet.advance(50.0)
    assert (
        fleet.sent_count == 1
        and fleet.gateways[borrower].peer_skipped_until.get(first_home, 0.0) > fleet.now - 1000.0
    )


def test_refused_peers_get_different_retry_times():
    fleet = Fleet(60)
    for k in range(60):
        fleet.request(k)
    waits = {round(b.retry_at) for g in fleet.gateways for b in g.buckets.values() if b.retry_at > fleet.now}
    assert len(waits) >= 3


def _first_home(gateway_settings, plan="basic"):
    return Bucket("c", gateway_settings.plans[plan], 0, 40, gateway_settings, 0.0, KNOWN_TIME).homes[0]


def _harness_with_pending_borrow(seed=7):
    """A gateway that borrows from a home gateway of customer c: the harness, the request and the message."""
    gateway_settings = settings(gateways=40)
    homes = Bucket(
        "c",
        gateway_settings.plans["basic"],
        0,
        40,
        settings(gateways=40, may_message_peers=True),
        0.0,
        KNOWN_TIME,
    ).homes
    node_id = next(i for i in range(40) if i not in homes)
    harness = GatewayHarness(seed=seed, node_id=node_id, gateways=40, may_message_peers=True)
    harness.gateway.direct_share = 0.0
    name, actions = harness.request(plan="basic", spread=40)
    return harness, name, of_type(actions, io.SendPeerMessage)[0]


def _message(kind, nonce, amount, wait=0, clock=0, text="", version=MESSAGE_VERSION):
    body = MESSAGE_HEADER.pack(version, kind, nonce, amount, wait, clock) + text.encode()
    return body + zlib.crc32(body).to_bytes(4)


def test_a_grant_is_accepted_once_and_for_no_more_than_was_requested():
    harness, name, request = _harness_with_pending_borrow()
    nonce = MESSAGE_HEADER.unpack_from(request.payload)[2]
    grant = _message(BORROW_GRANT, nonce, 900000)
    assert of_type(harness.feed(io.PeerMessage(request.to, grant)), io.Send)
    bucket = next(iter(harness.gateway.buckets.values()))
    assert bucket.tokens == 0
    assert not harness.feed(io.PeerMessage(request.to, grant)) and bucket.tokens == 0


def test_a_grant_for_an_earlier_process_of_the_gateway_is_ignored():
    # Guards against nonces that each process counts from 1: it took grants for which another had asked.
    _, _, earlier_request = _harness_with_pending_borrow(seed=1)
    harness, _, request = _harness_with_pending_borrow(seed=2)
    grant = _message(BORROW_GRANT, MESSAGE_HEADER.unpack_from(earlier_request.payload)[2], 1000)
    assert request.to == earlier_request.to
    assert not harness.feed(io.PeerMessage(request.to, grant))
    nonce = MESSAGE_HEADER.unpack_from(request.payload)[2]
    assert of_type(harness.feed(io.PeerMessage(request.to, _message(BORROW_GRANT, nonce, 1000))), io.Send)


def test_a_grant_from_another_gateway_or_after_the_timeout_is_ignored():
    harness, name, request = _harness_with_pending_borrow()
    nonce = MESSAGE_HEADER.unpack_from(request.payload)[2]
    assert not of_type(
        harness.feed(io.PeerMessage((request.to + 1) % 40, _message(BORROW_GRANT, nonce, 1000))), io.Send
    )
    harness.advance(harness.now + 2 * harness.gateway.peer_timeout_ms + 50.0)
    before = next(iter(harness.gateway.buckets.values())).tokens
    harness.feed(io.PeerMessage(request.to, _message(BORROW_GRANT, nonce, 1000)))
    assert next(iter(harness.gateway.buckets.values())).tokens == before


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\x00",
        b"x" * 300,
        _message(BORROW_REQUEST, 1, 1000, text="0 40 basic c")[:-1],
        _message(BORROW_REQUEST, 1, 1000, clock=100000, text="0 40 basic c", version=9),
        _message(BORROW_REQUEST, 1, 1000, clock=100000, text="0 40 nosuchplan c"),
        _message(BORROW_REQUEST, 1, 1000, clock=100000, text="basic c"),
        _message(BORROW_REQUEST, 1, 1000, clock=100000, text="x y basic c"),
        _message(BORROW_REQUEST, 1, 0, clock=100000, text="0 40 basic c"),
        _message(7, 1, 1000, clock=100000, text="0 40 basic c"),
        _message(BORROW_GRANT, 12345, 1000),
        _message(BORROW_REQUEST, 1, 1000, clock=90000, text="0 40 basic c"),
        _message(BORROW_REQUEST, 1, 1000, clock=100000 + 3_600_000, text="0 40 basic c"),
        _message(BORROW_REQUEST, 1, 1000, clock=100000 - 3_600_000 & 0xFFFFFFFF, text="0 40 basic c"),
    ],
    ids=[
        "empty",
        "short",
        "oversized",
        "truncated",
        "version",
        "plan",
        "fields",
        "numbers",
        "zero amount",
        "kind",
        "not requested",
        "stale",
        "an hour ahead",
        "an hour behind",
    ],
)
def test_an_invalid_message_is_ignored(payload):
    gateway_settings = settings(gateways=40, may_message_peers=True)
    harness = GatewayHarness(node_id=_first_home(gateway_settings), gateways=40, may_message_peers=True)
    assert not harness.feed(io.PeerMessage(3, payload))


def test_a_borrow_that_no_home_gateway_answers_goes_to_the_counter():
    harness, name, request = _harness_with_pending_borrow()
    later = []
    for _ in range(3):
        later += harness.advance(harness.now + 2 * harness.gateway.peer_timeout_ms + 50.0)
    assert of_type(later, io.CounterAdd)
    assert of_type(later + harness.answer_counts(later, {}), io.Send)


def test_a_home_gateway_grants_from_what_it_borrowed():
    gateway_settings = settings(gateways=40, may_message_peers=True)
    harness = GatewayHarness(node_id=_first_home(gateway_settings), gateways=40, may_message_peers=True)
    actions = harness.feed(
        io.PeerMessage(3, _message(BORROW_REQUEST, 5, 1000, clock=int(harness.now), text="0 40 basic c"))
    )
    messages = of_type(harness.answer_counts(actions, {}), io.SendPeerMessage)
    assert len(messages) == 1 and messages[0].to == 3
    assert MESSAGE_HEADER.unpack_from(messages[0].payload)[1:4] == (BORROW_GRANT, 5, 1000)


@pytest.mark.parametrize("spread", [0, 1, 41, 10**9])
def test_a_spread_out_of_range_is_served(spread):
    harness = GatewayHarness(node_id=0, gateways=40, may_message_peers=True)
    name, actions = harness.request(plan="basic", spread=spread)
    totals = {}
    sent = of_type(actions + harness.answer_counts(actions, totals), io.Send)
    assert sent or of_type(actions, io.SendPeerMessage) or final_answers(harness.actions, name)


@pytest.mark.parametrize("count", [2, 5, 48, 370])
def test_unconfirmed_grants_under_a_ceiling_add_up_to_at_most_the_ceiling_less_the_quota(count):
    plan = settings().plans["hard"]
    gateway_settings = [settings(node_id=i, gateways=count, may_message_peers=True) for i in range(count)]
    buckets = [Bucket("c", plan, 3, count, s, 0.0, KNOWN_TIME) for s in gateway_settings]
    assert sum(b.max_spare for b in buckets) <= 1000.0 * (plan.ceiling_burst - plan.burst) + 1e-6
    assert sum(b.spare_rate for b in buckets) <= plan.ceiling_rate - plan.rate + 1e-9
    assert max(b.max_spare for b in buckets) >= 2000.0


@pytest.mark.parametrize("count", [3, 100, 370])
def test_a_cold_backend_gets_no_more_from_many_gateways_than_from_few(count):
    """One request a second at each gateway, nine warm backends and a cold one with a low latency."""
    cold_count, total = 0, 0
    for node_id in range(count):
        backends = [io.Backend(f"w{k}", "z1") for k in range(9)]
        backends.append(io.Backend("cold", "z1", started_ms=99990.0))
        harness = GatewayHarness(backends, node_id=node_id, gateways=count)
        harness.gateway.rng.seed(node_id)
        harness.gateway.tracked["cold"].latency_ms = 1.0
        for _ in range(4):
            harness.now += 1000.0
            _, actions = harness.request()
            harness.answer_all(actions)
        sent = of_type(harness.actions, io.Send)
        cold_count += sum(s.backend == "cold" for s in sent)
        total += len(sent)
    assert cold_count <= max(3, 2.0 * total / 10)


def test_cold_backends_of_a_large_fleet_get_their_share_from_all_gateways_together():
    gateways, warm_count, cold_count, start = 40, 24, 36, 100000.0
    entries = tuple(io.Backend(f"w{k}", zone="z1") for k in range(warm_count)) + tuple(
        io.Backend(f"c{k}", zone="z1", started_ms=start) for k in range(cold_count)
    )
    sent = dict.fromkeys((entry.id for entry in entries), 0)
    for node_id in range(gateways):
        harness = GatewayHarness(entries, start, node_id=node_id, gateways=gateways)
        for _ in range(30):
            harness.now += 30.0
            (send,) = of_type(harness.request()[1], io.Send)
            sent[send.backend] += 1
            harness.end_attempt(send)
    mean = {
        "w": sum(n for b, n in sent.items() if b[0] == "w") / warm_count,
        "c": sum(n for b, n in sent.items() if b[0] == "c") / cold_count,
    }
    share = settings().cold_from  # grows to a quarter by the end
    assert 0.4 * share < mean["c"] / mean["w"] < 2.0 * share


def test_a_retry_after_an_attempt_that_was_not_executed_uses_no_retry_budget():
    names = [f"b{k}" for k in range(60)]
    harness = GatewayHarness(names, most_attempts=6, gateways=40)
    for _ in range(30):  # far more than the retry budget
        name, actions = harness.request(kind="pay")
        harness.end_attempt(name, 0, io.Outcome.CONNECT_FAILED)
        assert not final_answers(harness.actions, name)
        harness.end_attempt(name, 1)
        harness.now += 100.0


def test_an_attempt_limit_below_one_is_enforced_as_a_rate():
    harness = GatewayHarness(gateways=300)
    harness.gateway.attempt_limit, harness.gateway.mean_latency_ms = 0.1, 200.0  # one attempt in two seconds
    sent = 0
    for _ in range(100):
        harness.now += 100.0
        harness.gateway.attempt_limit, harness.gateway.mean_latency_ms, harness.gateway.latency_share = (
            0.1,
            200.0,
            0.32,
        )
        _, actions = harness.request()
        sent += len(of_type(actions, io.Send))
        harness.answer_all(actions, elapsed_ms=480.0)
    assert 3 <= sent <= 3 + 10.0 / 2.0 + 1


def test_the_cost_of_choosing_a_backend_does_not_grow_with_the_list(monkeypatch):
    harness = GatewayHarness([f"b{k}" for k in range(400)])
    calls = []
    monkeypatch.setattr(TrackedBackend, "expected_ms", lambda backend, now, mean: calls.append(1) or mean)
    assert of_type(harness.request()[1], io.Send)
    assert len(calls) <= SAMPLE_SIZE


def test_after_a_stall_answers_are_handled_before_overdue_timers():
    harness = GatewayHarness(("b1", "b2"))
    name, actions = harness.request()
    backend = of_type(actions, io.Send)[0].backend
    harness.now += 2000.0  # a stall: the timer fires first, then the answer arrives
    harness.feed(io.TimerFired("wake"))
    harness.end_attempt(name, elapsed_ms=60.0)
    harness.advance(harness.now + 20.0)
    assert not harness.gateway.tracked[backend].has_failed and len(of_type(harness.actions, io.Send)) == 1


def test_a_final_answer_is_not_delayed_by_a_stall():
    harness = GatewayHarness(("b1",))
    name, _ = harness.request(kind="pay", timeout_ms=1000.0)
    harness.now += 1500.0
    harness.feed(io.TimerFired("wake"))
    assert len(final_answers(harness.actions, name)) == 1


def test_a_timer_that_fires_a_moment_early_is_set_again():
    harness = GatewayHarness(("b1",))
    harness.request(kind="pay", timeout_ms=1000.0)
    due = min(harness.timers)[0]
    assert of_type(harness.feed(io.TimerFired("wake"), due - 0.0004), io.SetTimer)


def test_the_number_of_timers_per_request_is_bounded():
    harness = GatewayHarness(("b1",))
    for _ in range(20):
        harness.request(kind="pay", timeout_ms=1000.0)
    harness.advance(harness.now + 9000.0)
    assert len(of_type(harness.actions, io.SetTimer)) <= 20 * 6
