"""Many gateways: sums over all of them, homes that lend by messages, and what a garbled message does."""

import zlib

import pytest
from helpers import GatewayHarness, final_answers, of_type, settings

from cobaltline import interface as io
from cobaltline.fleet_time import FleetTime
from cobaltline.gateway import (
    BORROW_GRANT,
    BORROW_REQUEST,
    MESSAGE_HEADER,
    MESSAGE_VERSION,
    SAMPLE_SIZE,
    Bucket,
    Gateway,
    TrackedBackend,
)

IN_STEP = FleetTime(is_known=True)


class Fleet:
    """Gateways, one clock, and messages carried at once; `lose` drops those for which it is true."""

    def __init__(self, count, lose=lambda sender, to: False, **changes):
        self.now, self.lose, self.n, self.sent, self.calls = 100000.0, lose, 0, 0, 0
        self.gateways = [
            Gateway(settings(node_id=i, gateways=count, may_message_peers=True, **changes), i)
            for i in range(count)
        ]
        self.timers = []
        for i in range(count):
            entries = tuple(io.Backend(f"b{k}", zone="z1") for k in range(4))
            self.put(i, io.BackendsChanged(io.ListKind.CACHED, 1, entries))

    def put(self, i, event):
        for a in self.gateways[i].handle(self.now, event):
            if isinstance(a, io.SendPeerMessage) and not self.lose(i, a.to):
                self.put(a.to, io.PeerMessage(i, a.payload))
            elif isinstance(a, io.CounterAdd):  # the counter refuses
                self.calls += 1
                self.put(i, io.CounterResult(a.name, io.Outcome.OVERLOADED))
            elif isinstance(a, io.SetTimer):
                self.timers.append((self.now + a.delay_ms, i))
            elif isinstance(a, io.Send):
                self.sent += 1
                self.put(i, io.AttemptEnded(a.request, 0, a.backend, io.Outcome.OK, True, 50.0))

    def request(self, i, plan="basic", customer="c"):
        self.n += 1
        self.put(
            i,
            io.RequestArrived(
                f"r{self.n}", customer, plan, "read", self.now + 4000.0, spread=len(self.gateways)
            ),
        )

    def advance(self, ms):
        self.now += ms
        due = sorted(t for t in self.timers if t[0] <= self.now)
        self.timers = [t for t in self.timers if t[0] > self.now]
        for _, i in due:
            self.put(i, io.TimerFired("wake"))


@pytest.mark.parametrize("count", [2, 30, 300])
def test_with_the_counter_down_a_quota_is_still_served_once_over_all_gateways(count):
    fleet = Fleet(count)
    for k in range(240):  # 8 a second for 30 s, on a plan of 2 a second and 6 at once
        fleet.request(k * 7 % count)
        fleet.advance(125.0)
    quota = 6 + 2 * 30
    assert 0.7 * quota <= fleet.sent <= 1.15 * quota


def test_with_every_message_lost_shares_of_under_one_request_still_add_up_to_the_quota_at_most():
    fleet = Fleet(100, lose=lambda sender, to: True)
    for k in range(400):
        fleet.request(k * 7 % 100)
        fleet.advance(500.0)
    fleet.advance(2000.0)
    assert 0 < fleet.sent <= 6 + 6 / 2 + 6 / 3 + (2 + 1 + 0.7) * 200  # what its three homes and the rest may


def test_a_home_that_does_not_answer_is_passed_over_for_the_next():
    fleet = Fleet(50)
    first = Bucket("c", settings().plans["basic"], 0, 50, fleet.gateways[0].settings, 0.0, IN_STEP).homes[0]
    fleet.lose = lambda sender, to: first in (sender, to)
    asker = (first + 1) % 50
    fleet.request(asker)
    for _ in range(14):  # two asks in vain, then the next home
        fleet.advance(50.0)
    assert fleet.sent == 1 and fleet.gateways[asker].peer_skipped_until.get(first, 0.0) > fleet.now - 1000.0


def test_refused_askers_are_told_turns_of_their_own():
    fleet = Fleet(60)
    for k in range(60):
        fleet.request(k)
    waits = {round(b.retry_at) for g in fleet.gateways for b in g.buckets.values() if b.retry_at > fleet.now}
    assert len(waits) >= 3


def _home_of(play_settings, plan="basic"):
    return Bucket("c", play_settings.plans[plan], 0, 40, play_settings, 0.0, IN_STEP).homes[0]


def _asking():
    """A gateway that is no home of customer c, with the counter failing, and the ask it sends."""
    s = settings(gateways=40)
    homes = Bucket(
        "c", s.plans["basic"], 0, 40, settings(gateways=40, may_message_peers=True), 0.0, IN_STEP
    ).homes
    me = next(i for i in range(40) if i not in homes)
    p = GatewayHarness(node_id=me, gateways=40, may_message_peers=True)
    p.gateway.direct_share = 0.0
    name, out = p.request(plan="basic", spread=40)
    return p, name, of_type(out, io.SendPeerMessage)[0]


def _message(kind, nonce, amount, wait=0, clock=0, text="", version=MESSAGE_VERSION):
    body = MESSAGE_HEADER.pack(version, kind, nonce, amount, wait, clock) + text.encode()
    return body + zlib.crc32(body).to_bytes(4)


def test_a_grant_is_believed_once_and_for_no_more_than_was_asked():
    p, name, ask = _asking()
    nonce = MESSAGE_HEADER.unpack_from(ask.payload)[2]
    grant = _message(BORROW_GRANT, nonce, 900000)
    assert of_type(p.feed(io.PeerMessage(ask.to, grant)), io.Send)
    bucket = next(iter(p.gateway.buckets.values()))
    assert bucket.tokens == 0
    assert not p.feed(io.PeerMessage(ask.to, grant)) and bucket.tokens == 0


def test_a_grant_from_somebody_else_or_after_its_time_gives_nothing():
    p, name, ask = _asking()
    nonce = MESSAGE_HEADER.unpack_from(ask.payload)[2]
    assert not of_type(
        p.feed(io.PeerMessage((ask.to + 1) % 40, _message(BORROW_GRANT, nonce, 1000))), io.Send
    )
    p.advance(p.now + 2 * p.gateway.peer_timeout_ms + 50.0)
    before = next(iter(p.gateway.buckets.values())).tokens
    p.feed(io.PeerMessage(ask.to, _message(BORROW_GRANT, nonce, 1000)))
    assert next(iter(p.gateway.buckets.values())).tokens == before


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
        "nothing",
        "kind",
        "unasked",
        "stale",
        "an hour ahead",
        "an hour behind",
    ],
)
def test_a_message_that_cannot_be_used_is_passed_over(payload):
    s = settings(gateways=40, may_message_peers=True)
    p = GatewayHarness(node_id=_home_of(s), gateways=40, may_message_peers=True)
    assert not p.feed(io.PeerMessage(3, payload))


def test_what_homes_whose_clocks_are_an_hour_off_do_not_answer_is_asked_of_the_counter():
    p, name, ask = _asking()
    later = []
    for _ in range(3):
        later += p.advance(p.now + 2 * p.gateway.peer_timeout_ms + 50.0)
    assert of_type(later, io.CounterAdd)
    assert of_type(later + p.answer_counts(later, {}), io.Send)


def test_a_home_lends_from_what_it_borrowed():
    s = settings(gateways=40, may_message_peers=True)
    p = GatewayHarness(node_id=_home_of(s), gateways=40, may_message_peers=True)
    out = p.feed(io.PeerMessage(3, _message(BORROW_REQUEST, 5, 1000, clock=int(p.now), text="0 40 basic c")))
    told = of_type(p.answer_counts(out, {}), io.SendPeerMessage)
    assert len(told) == 1 and told[0].to == 3
    assert MESSAGE_HEADER.unpack_from(told[0].payload)[1:4] == (BORROW_GRANT, 5, 1000)


@pytest.mark.parametrize("spread", [0, 1, 41, 10**9])
def test_an_odd_spread_is_served_all_the_same(spread):
    p = GatewayHarness(node_id=0, gateways=40, may_message_peers=True)
    name, out = p.request(plan="basic", spread=spread)
    totals = {}
    sent = of_type(out + p.answer_counts(out, totals), io.Send)
    assert sent or of_type(out, io.SendPeerMessage) or final_answers(p.actions, name)


@pytest.mark.parametrize("count", [2, 5, 48, 370])
def test_unconfirmed_grants_under_a_ceiling_add_up_to_what_ceiling_and_quota_leave(count):
    plan = settings().plans["hard"]
    known = [settings(node_id=i, gateways=count, may_message_peers=True) for i in range(count)]
    parts = [Bucket("c", plan, 3, count, s, 0.0, IN_STEP) for s in known]
    assert sum(b.max_spare for b in parts) <= 1000.0 * (plan.ceiling_burst - plan.burst) + 1e-6
    assert sum(b.spare_rate for b in parts) <= plan.ceiling_rate - plan.rate + 1e-9
    assert max(b.max_spare for b in parts) >= 2000.0


@pytest.mark.parametrize("count", [3, 100, 370])
def test_a_cold_backend_gets_no_more_from_many_gateways_than_from_few(count):
    """One request a second at each gateway, nine warm backends and a cold one that answers at once."""
    sends, total = 0, 0
    for i in range(count):
        backends = [io.Backend(f"w{k}", "z1") for k in range(9)]
        backends.append(io.Backend("cold", "z1", started_ms=99990.0))
        p = GatewayHarness(backends, node_id=i, gateways=count)
        p.gateway.rng.seed(i)
        p.gateway.tracked["cold"].latency_ms = 1.0
        for _ in range(4):
            p.now += 1000.0
            _, out = p.request()
            p.answer_all(out)
        made = of_type(p.actions, io.Send)
        sends += sum(s.backend == "cold" for s in made)
        total += len(made)
    assert sends <= max(3, 2.0 * total / 10)


def test_cold_backends_of_a_large_fleet_get_what_they_can_bear_from_all_gateways_together():
    gateways, warm, cold, at = 40, 24, 36, 100000.0
    entries = tuple(io.Backend(f"w{k}", zone="z1") for k in range(warm)) + tuple(
        io.Backend(f"c{k}", zone="z1", started_ms=at) for k in range(cold)
    )
    sent = dict.fromkeys((entry.id for entry in entries), 0)
    for me in range(gateways):
        p = GatewayHarness(entries, at, node_id=me, gateways=gateways)
        for _ in range(30):
            p.now += 30.0
            (send,) = of_type(p.request()[1], io.Send)
            sent[send.backend] += 1
            p.end_attempt(send)
    mean = {
        "w": sum(n for b, n in sent.items() if b[0] == "w") / warm,
        "c": sum(n for b, n in sent.items() if b[0] == "c") / cold,
    }
    share = settings().cold_from  # which has grown to a quarter by the end
    assert 0.4 * share < mean["c"] / mean["w"] < 2.0 * share


def test_a_backend_that_never_ran_a_request_costs_no_further_attempts():
    names = [f"b{k}" for k in range(60)]
    p = GatewayHarness(names, most_attempts=6, gateways=40)
    for _ in range(30):  # far more than the budget of further attempts
        name, out = p.request(kind="pay")
        p.end_attempt(name, 0, io.Outcome.CONNECT_FAILED)
        assert not final_answers(p.actions, name)
        p.end_attempt(name, 1)
        p.now += 100.0


def test_limits_on_attempts_out_below_one_a_gateway_are_kept_as_a_pace():
    p = GatewayHarness(gateways=300)
    p.gateway.attempt_limit, p.gateway.mean_latency_ms = 0.1, 200.0  # an attempt each two seconds
    sent = 0
    for _ in range(100):
        p.now += 100.0
        p.gateway.attempt_limit, p.gateway.mean_latency_ms, p.gateway.latency_share = 0.1, 200.0, 0.32
        _, out = p.request()
        sent += len(of_type(out, io.Send))
        p.answer_all(out, elapsed_ms=480.0)
    assert 3 <= sent <= 3 + 10.0 / 2.0 + 1


def test_the_work_of_a_choice_does_not_grow_with_the_fleet(monkeypatch):
    p = GatewayHarness([f"b{k}" for k in range(400)])
    looked = []
    monkeypatch.setattr(TrackedBackend, "expected_ms", lambda x, now, mean: looked.append(1) or mean)
    assert of_type(p.request()[1], io.Send)
    assert len(looked) <= SAMPLE_SIZE


def test_after_an_own_pause_answers_are_taken_before_what_was_due():
    p = GatewayHarness(("b1", "b2"))
    name, out = p.request()
    backend = of_type(out, io.Send)[0].backend
    p.now += 2000.0  # the gateway stood still; first the alarm is found, then the answer
    p.feed(io.TimerFired("wake"))
    p.end_attempt(name, elapsed_ms=60.0)
    p.advance(p.now + 20.0)
    assert not p.gateway.tracked[backend].has_failed and len(of_type(p.actions, io.Send)) == 1


def test_a_final_answer_is_not_put_off_by_an_own_pause():
    p = GatewayHarness(("b1",))
    name, _ = p.request(kind="pay", timeout_ms=1000.0)
    p.now += 1500.0
    p.feed(io.TimerFired("wake"))
    assert len(final_answers(p.actions, name)) == 1


def test_a_timer_that_fires_a_moment_early_is_set_again():
    p = GatewayHarness(("b1",))
    p.request(kind="pay", timeout_ms=1000.0)
    due = min(p.timers)[0]
    assert of_type(p.feed(io.TimerFired("wake"), due - 0.0004), io.SetTimer)


def test_timers_do_not_multiply():
    p = GatewayHarness(("b1",))
    for _ in range(20):
        p.request(kind="pay", timeout_ms=1000.0)
    p.advance(p.now + 9000.0)
    assert len(of_type(p.actions, io.SetTimer)) <= 20 * 6
