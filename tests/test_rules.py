"""The five rules, by scripted events."""

import pytest
from helpers import GatewayHarness, final_answers, of_type

from cobaltline import interface as io


@pytest.mark.parametrize("kind", ["read", "hold", "pay", "nobody-knows"])
@pytest.mark.parametrize("backends", [(), ("b1",)])
def test_one_answer_in_time_when_no_backend_answers(kind, backends):
    p = GatewayHarness(backends)
    name, _ = p.request(kind=kind, timeout_ms=2000.0)
    end = p.now + 2000.0
    p.advance(end)
    assert len(final_answers(p.actions, name)) == 1
    p.advance(end + 5000.0)
    assert len(final_answers(p.actions, name)) == 1
    assert not [s for s in of_type(p.actions, io.Send) if s.deadline_ms > end]


def test_one_answer_when_every_backend_is_removed_meanwhile():
    p = GatewayHarness()
    name, out = p.request()
    p.update_backends()
    sends = of_type(p.actions, io.Send)
    p.end_attempt(name, 0, io.Outcome.RESET)
    assert of_type(p.actions, io.Send) == sends
    p.advance(p.now + 4000.0)
    assert len(final_answers(p.actions, name)) == 1


def test_one_answer_when_the_counter_never_answers():
    p = GatewayHarness()
    name, out = p.request(plan="basic")
    assert of_type(out, io.CounterAdd) and not of_type(out, io.Send)
    p.advance(p.now + 4000.0)
    assert len(final_answers(p.actions, name)) == 1


def test_nothing_goes_out_after_the_client_left():
    p = GatewayHarness()
    name, out = p.request(plan="basic")
    calls = of_type(out, io.CounterAdd)
    p.feed(io.ClientDisconnected(name))
    later = p.answer_counts(calls, {})
    assert not of_type(later, io.Send) and not final_answers(later, name)


@pytest.mark.parametrize("where", ["gate", "ready"])
def test_nothing_goes_out_for_a_client_that_left_while_its_request_waited_its_turn(where):
    p = GatewayHarness()
    if where == "gate":
        requests = [p.request(plan="open") for _ in range(3)]
    else:
        p.gateway.attempt_limit = 3.0
        requests = [p.request() for _ in range(5)]
    out = [name for name, acts in requests if of_type(acts, io.Send)]
    waiting = [name for name, acts in requests if not of_type(acts, io.Send)]
    assert out and len(waiting) >= 2
    p.feed(io.ClientDisconnected(waiting[0]))
    sent = []
    for name in out:
        p.now += 10.0
        sent += [s.request for s in of_type(p.end_attempt(name), io.Send)]
    assert waiting[1] in sent and waiting[0] not in sent


def test_the_end_and_the_leaving_in_one_batch():
    p = GatewayHarness()
    name, _ = p.request(kind="pay")
    out = p.end_attempt(name, 0, io.Outcome.TIMEOUT)
    assert of_type(out, io.Fail)
    assert not p.feed(io.ClientDisconnected(name))


def test_unsafe_is_neither_repeated_nor_refused_once_it_may_have_run():
    p = GatewayHarness()
    name, out = p.request(kind="pay")
    assert len(of_type(out, io.Send)) == 1
    p.advance(p.now + 1200.0)
    assert len(of_type(p.actions, io.Send)) == 1
    out = p.end_attempt(name, 0, io.Outcome.RESET)
    assert of_type(out, io.Fail) and not of_type(out, io.Reject) and not of_type(out, io.Send)


def test_unsafe_is_repeated_after_an_attempt_that_never_ran():
    p = GatewayHarness()
    name, out = p.request(kind="pay")
    first = of_type(out, io.Send)[0]
    second = of_type(p.end_attempt(name, 0, io.Outcome.CONNECT_FAILED), io.Send)[0]
    assert second.backend != first.backend


def test_unknown_class_is_unsafe():
    p = GatewayHarness()
    name, _ = p.request(kind="unheard-of")
    out = p.end_attempt(name, 0, io.Outcome.ERROR)
    assert of_type(out, io.Fail) and not of_type(out, io.Send)


def test_keyed_stays_in_its_zone_and_its_time():
    zones = [io.Backend("a1", "za"), io.Backend("a2", "za"), io.Backend("b1", "zb"), io.Backend("b2", "zb")]
    p = GatewayHarness(zones)
    name, out = p.request(kind="hold")
    first = of_type(out, io.Send)[0]
    second = of_type(p.end_attempt(name, 0, io.Outcome.RESET), io.Send)[0]
    assert second.backend[0] == first.backend[0] and second.backend != first.backend
    out = p.end_attempt(name, 1, io.Outcome.RESET)  # the zone has no third
    assert not of_type(out, io.Send) and of_type(out, io.Fail)


def test_keyed_is_not_repeated_when_its_key_is_forgotten():
    p = GatewayHarness(
        classes={"hold": io.RequestClass("hold", 3500.0, 4000.0, io.Idempotency.KEYED, "zone", 300.0)},
        may_duplicate=False,
    )
    name, _ = p.request(kind="hold")
    p.advance(p.now + 400.0)
    out = p.end_attempt(name, 0, io.Outcome.RESET, elapsed_ms=400.0)
    assert not of_type(out, io.Send) and of_type(out, io.Fail)


def test_no_second_copy_where_copies_are_forbidden():
    p = GatewayHarness(may_duplicate=False)
    p.request()
    p.advance(p.now + 1400.0)
    assert len(of_type(p.actions, io.Send)) == 1


def test_nothing_new_to_a_backend_that_drains_or_is_gone():
    p = GatewayHarness(("b1", "b2"))
    p.gateway.attempt_limit = 50.0  # not what is tried here
    p.update_backends(io.Backend("b1", "z1", state=io.BackendState.DRAINING), kind=io.ListKind.DELTA)
    # it would be the better choice
    p.gateway.tracked["b1"].latency_ms, p.gateway.tracked["b2"].latency_ms = 10.0, 500.0
    for _ in range(6):
        p.answer_all(p.request()[1])
    assert {s.backend for s in of_type(p.actions, io.Send)} == {"b2"}
    p.update_backends("b3")
    mark = len(p.actions)
    for _ in range(4):
        p.request()
    assert {s.backend for s in of_type(p.actions[mark:], io.Send)} == {"b3"}


def test_a_cold_backend_is_brought_in_slowly():
    start = 100000.0
    cold = io.Backend("cold", "z1", started_ms=start - 10.0)
    p = GatewayHarness([cold, "w0", "w1", "w2", "w3"], at=start, gateways=1)
    p.gateway.tracked["cold"].latency_ms = 1.0  # quick as long as it has little to do
    p.gateway.attempt_limit = 50.0  # not what is tried here
    for _ in range(100):
        p.now += 20.0
        p.request()
        if len(p.gateway.in_flight) >= 14:
            p.end_attempt(next(iter(p.gateway.in_flight))[0], elapsed_ms=90.0)
    sends = of_type(p.actions, io.Send)
    cold = sum(s.backend == "cold" for s in sends)
    assert 1 <= cold <= 0.6 * len(sends) / 5


def test_the_ceiling_holds_with_the_counter_down():
    p = GatewayHarness()
    sent = 0
    start = p.now
    for _ in range(400):
        p.now += 25.0
        name, out = p.request(plan="hard", timeout_ms=2000.0)
        p.answer_counts(out, outcome=io.Outcome.TIMEOUT)
        if any(s.request == name for s in of_type(p.actions[-12:], io.Send)):
            sent += 1
            p.end_attempt(name)
    seconds = (p.now - start) / 1000.0
    plan = p.gateway.settings.plans["hard"]
    part = ((plan.ceiling_rate - plan.rate) * seconds + plan.ceiling_burst - plan.burst) / 2
    assert 0 < sent <= part


def test_a_restarted_gateway_assumes_no_full_store_under_a_ceiling():
    p = GatewayHarness()
    name, out = p.request(plan="hard")
    out = p.answer_counts(out, outcome=io.Outcome.TIMEOUT)
    assert not of_type(out, io.Send) and len(final_answers(out, name)) == 1


def test_requests_still_go_out_when_every_backend_looks_silent():
    p = GatewayHarness(("b1", "b2"))
    for server in p.gateway.tracked.values():
        p.gateway.penalize(p.now, server, 5000.0)
    _, out = p.request(kind="pay")
    assert of_type(out, io.Send)


def test_a_silent_backend_is_left_and_tried_again_with_care():
    p = GatewayHarness(("b1", "b2", "b3"))
    for _ in range(20):
        p.now += 20.0
        p.answer_all(p.request()[1])
    p.gateway.penalize(p.now, p.gateway.tracked["b1"], 5000.0)
    mark = len(p.actions)
    for _ in range(50):
        p.now += 20.0
        p.answer_all(p.request()[1])
    assert "b1" not in {s.backend for s in of_type(p.actions[mark:], io.Send)}
    p.now += 60000.0  # forgotten by then: tried again, by itself
    mark = len(p.actions)
    for _ in range(9):
        p.request()
    assert "b1" in {s.backend for s in of_type(p.actions[mark:], io.Send)}


def test_what_must_not_run_twice_does_not_try_out_a_backend_that_failed():
    p = GatewayHarness(("b1", "b2"))
    for _ in range(20):
        p.now += 20.0
        p.answer_all(p.request()[1])
    p.gateway.penalize(p.now, p.gateway.tracked["b1"], 5000.0)
    p.now += 60000.0
    for _ in range(20):
        p.now += 20.0
        name, out = p.request(kind="pay")
        assert of_type(out, io.Send)[0].backend == "b2"
        p.answer_all(out)


def test_a_missed_answer_sends_the_next_request_elsewhere():
    p = GatewayHarness(("b1", "b2"))
    _, out = p.request(kind="pay")
    missed = of_type(out, io.Send)[0].backend
    p.advance(p.now + p.gateway.mean_latency_ms + 5 * p.gateway.latency_dev_ms)
    others = [of_type(p.request(kind="pay")[1], io.Send)[0].backend for _ in range(2)]
    assert missed not in others


def test_a_backend_that_turns_all_away_is_left_alone():
    p = GatewayHarness(("b1", "b2", "b3"))
    full = 0
    for i in range(60):
        p.now += 20.0
        if i == 0:
            p.gateway.tracked["b2"].latency_ms = p.gateway.tracked["b3"].latency_ms = (
                2 * p.gateway.mean_latency_ms
            )
        name, out = p.request()
        while sends := of_type(out, io.Send):
            turned = sends[0].backend == "b1"
            full += turned
            attempt = len([s for s in of_type(p.actions, io.Send) if s.request == name]) - 1
            out = p.end_attempt(
                name, attempt, io.Outcome.OVERLOADED if turned else io.Outcome.OK, elapsed_ms=1.0
            )
    assert 1 <= full <= 10


def test_one_good_answer_ends_an_ejection():
    p = GatewayHarness(("b1", "b2", "b3"))
    b1 = p.gateway.tracked["b1"]
    for _ in range(6):
        p.gateway.penalize(p.now, b1, 0.0)
    assert b1.expected_ms(p.now, p.gateway.mean_latency_ms) > 10 * p.gateway.mean_latency_ms
    p.gateway.tracked["b2"].usable = p.gateway.tracked["b3"].usable = False
    p.gateway.usable = [b1]
    p.answer_all(p.request()[1])
    assert b1.expected_ms(p.now, p.gateway.mean_latency_ms) <= p.gateway.mean_latency_ms


def test_a_restarted_backend_starts_without_its_past():
    p = GatewayHarness(("b1", "b2"))
    p.gateway.penalize(p.now, p.gateway.tracked["b1"], 5000.0)
    p.update_backends(io.Backend("b1", "z1", started_ms=p.now), kind=io.ListKind.DELTA)
    assert not p.gateway.tracked["b1"].has_failed and p.gateway.tracked["b1"].latency_ms == 0.0


@pytest.mark.parametrize("outcome", [io.Outcome.UNUSABLE_RESPONSE, io.Outcome.RESET])
def test_a_spoilt_answer_says_nothing_against_its_backend_but_many_in_a_row_do(outcome):
    p = GatewayHarness(("b1",))
    b1 = p.gateway.tracked["b1"]
    for i in range(4):
        p.advance(p.now + 1000.0)
        name, out = p.request(kind="pay")
        assert of_type(out, io.Send)
        p.end_attempt(name, outcome=outcome)
        assert b1.has_failed is (i == 3)
        assert len(final_answers(p.actions, name)) == 1 and isinstance(
            final_answers(p.actions, name)[0], io.Fail
        )
    p.advance(p.now + 10000.0)
    name, out = p.request()
    p.end_attempt(name)
    assert not b1.has_failed and b1.unusable_responses == 0


def test_nothing_is_kept_of_backends_that_are_gone():
    p = GatewayHarness(())
    for i in range(50):
        p.update_backends(f"b{i}")
        name, out = p.request(kind="pay")
        if of_type(out, io.Send):
            p.end_attempt(name, outcome=io.Outcome.CONNECT_FAILED)
        p.gateway.penalize(p.now, p.gateway.tracked[f"b{i}"], 1e6)
        p.advance(p.now + 2000.0)
    p.update_backends()
    p.advance(p.now + 30000.0)
    assert not p.gateway.tracked and not [key for key in p.gateway.logged_states if key[1]]
    assert not p.gateway.in_flight and not p.gateway.requests and len(p.gateway.timers) < 5


@pytest.mark.parametrize("poll_interval_ms", [4000.0, 10000.0, 60000.0])
def test_lists_are_asked_for_again_in_time_after_each_failed_call(poll_interval_ms):
    # A change counts as told 6 s after discovery had it and could be reached.
    p = GatewayHarness(must_poll=True, poll_interval_ms=poll_interval_ms)
    for _ in range(5):
        p.feed(io.BackendsChanged(io.ListKind.FAILED, 0, ()))
        failed = p.now
        while not of_type(p.advance(p.now + 100.0), io.Subscribe):
            assert p.now - failed < 3000.0
        assert p.now - failed >= 900.0
