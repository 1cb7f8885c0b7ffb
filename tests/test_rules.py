"""The rules for every request: one answer in time, no unsafe retries, quotas, draining, slow start."""

import pytest
from helpers import GatewayHarness, final_answers, of_type

from cobaltline import interface as io


@pytest.mark.parametrize("kind", ["read", "hold", "pay", "unknown"])
@pytest.mark.parametrize("backends", [(), ("b1",)])
def test_one_answer_in_time_when_no_backend_answers(kind, backends):
    harness = GatewayHarness(backends)
    name, _ = harness.request(kind=kind, timeout_ms=2000.0)
    deadline = harness.now + 2000.0
    harness.advance(deadline)
    assert len(final_answers(harness.actions, name)) == 1
    harness.advance(deadline + 5000.0)
    assert len(final_answers(harness.actions, name)) == 1
    assert not [s for s in of_type(harness.actions, io.Send) if s.deadline_ms > deadline]


def test_one_answer_when_every_backend_is_removed_during_the_request():
    harness = GatewayHarness()
    name, actions = harness.request()
    harness.update_backends()
    sends = of_type(harness.actions, io.Send)
    harness.end_attempt(name, 0, io.Outcome.RESET)
    assert of_type(harness.actions, io.Send) == sends
    harness.advance(harness.now + 4000.0)
    assert len(final_answers(harness.actions, name)) == 1


def test_one_answer_when_the_counter_never_answers():
    harness = GatewayHarness()
    name, actions = harness.request(plan="basic")
    assert of_type(actions, io.CounterAdd) and not of_type(actions, io.Send)
    harness.advance(harness.now + 4000.0)
    assert len(final_answers(harness.actions, name)) == 1


def test_nothing_is_sent_after_the_client_disconnected():
    harness = GatewayHarness()
    name, actions = harness.request(plan="basic")
    calls = of_type(actions, io.CounterAdd)
    harness.feed(io.ClientDisconnected(name))
    later = harness.answer_counts(calls, {})
    assert not of_type(later, io.Send) and not final_answers(later, name)


@pytest.mark.parametrize("queue", ["concurrency limit", "send queue"])
def test_a_queued_request_is_not_sent_after_its_client_disconnected(queue):
    harness = GatewayHarness()
    if queue == "concurrency limit":
        requests = [harness.request(plan="open") for _ in range(3)]
    else:
        harness.gateway.attempt_limit = 3.0
        requests = [harness.request() for _ in range(5)]
    sent_names = [name for name, actions in requests if of_type(actions, io.Send)]
    waiting_names = [name for name, actions in requests if not of_type(actions, io.Send)]
    assert sent_names and len(waiting_names) >= 2
    harness.feed(io.ClientDisconnected(waiting_names[0]))
    later_sent = []
    for name in sent_names:
        harness.now += 10.0
        later_sent += [s.request for s in of_type(harness.end_attempt(name), io.Send)]
    assert waiting_names[1] in later_sent and waiting_names[0] not in later_sent


def test_a_disconnect_after_the_final_answer_has_no_effect():
    harness = GatewayHarness()
    name, _ = harness.request(kind="pay")
    actions = harness.end_attempt(name, 0, io.Outcome.TIMEOUT)
    assert of_type(actions, io.Fail)
    assert not harness.feed(io.ClientDisconnected(name))


def test_an_unsafe_request_that_may_have_run_is_neither_retried_nor_rejected():
    harness = GatewayHarness()
    name, actions = harness.request(kind="pay")
    assert len(of_type(actions, io.Send)) == 1
    harness.advance(harness.now + 1200.0)
    assert len(of_type(harness.actions, io.Send)) == 1
    actions = harness.end_attempt(name, 0, io.Outcome.RESET)
    assert of_type(actions, io.Fail) and not of_type(actions, io.Reject) and not of_type(actions, io.Send)


def test_an_unsafe_request_is_retried_after_an_attempt_that_was_not_executed():
    harness = GatewayHarness()
    name, actions = harness.request(kind="pay")
    first = of_type(actions, io.Send)[0]
    second = of_type(harness.end_attempt(name, 0, io.Outcome.CONNECT_FAILED), io.Send)[0]
    assert second.backend != first.backend


def test_a_request_of_an_unknown_class_is_unsafe():
    harness = GatewayHarness()
    name, _ = harness.request(kind="unknown")
    actions = harness.end_attempt(name, 0, io.Outcome.ERROR)
    assert of_type(actions, io.Fail) and not of_type(actions, io.Send)


def test_a_keyed_request_is_retried_only_in_its_zone():
    zones = [io.Backend("a1", "za"), io.Backend("a2", "za"), io.Backend("b1", "zb"), io.Backend("b2", "zb")]
    harness = GatewayHarness(zones)
    name, actions = harness.request(kind="hold")
    first = of_type(actions, io.Send)[0]
    second = of_type(harness.end_attempt(name, 0, io.Outcome.RESET), io.Send)[0]
    assert second.backend[0] == first.backend[0] and second.backend != first.backend
    actions = harness.end_attempt(name, 1, io.Outcome.RESET)  # no third backend in the zone
    assert not of_type(actions, io.Send) and of_type(actions, io.Fail)


def test_a_keyed_request_is_not_retried_after_its_key_expired():
    harness = GatewayHarness(
        classes={"hold": io.RequestClass("hold", 3500.0, 4000.0, io.Idempotency.KEYED, "zone", 300.0)},
        may_duplicate=False,
    )
    name, _ = harness.request(kind="hold")
    harness.advance(harness.now + 400.0)
    actions = harness.end_attempt(name, 0, io.Outcome.RESET, elapsed_ms=400.0)
    assert not of_type(actions, io.Send) and of_type(actions, io.Fail)


def test_no_hedge_is_sent_where_duplicates_are_not_allowed():
    harness = GatewayHarness(may_duplicate=False)
    harness.request()
    harness.advance(harness.now + 1400.0)
    assert len(of_type(harness.actions, io.Send)) == 1


def test_no_request_is_sent_to_a_draining_or_removed_backend():
    harness = GatewayHarness(("b1", "b2"))
    harness.gateway.attempt_limit = 50.0  # not to limit this test
    harness.update_backends(io.Backend("b1", "z1", state=io.BackendState.DRAINING), kind=io.ListKind.DELTA)
    # By its latency, the draining backend would be chosen.
    harness.gateway.tracked["b1"].latency_ms, harness.gateway.tracked["b2"].latency_ms = 10.0, 500.0
    for _ in range(6):
        harness.answer_all(harness.request()[1])
    assert {s.backend for s in of_type(harness.actions, io.Send)} == {"b2"}
    harness.update_backends("b3")
    mark = len(harness.actions)
    for _ in range(4):
        harness.request()
    assert {s.backend for s in of_type(harness.actions[mark:], io.Send)} == {"b3"}


def test_a_cold_backend_gets_less_than_an_equal_share():
    start = 100000.0
    cold = io.Backend("cold", "z1", started_ms=start - 10.0)
    harness = GatewayHarness([cold, "w0", "w1", "w2", "w3"], at=start, gateways=1)
    harness.gateway.tracked["cold"].latency_ms = 1.0  # fast while it has little load
    harness.gateway.attempt_limit = 50.0  # not to limit this test
    for _ in range(100):
        harness.now += 20.0
        harness.request()
        if len(harness.gateway.in_flight) >= 14:
            harness.end_attempt(next(iter(harness.gateway.in_flight))[0], elapsed_ms=90.0)
    sends = of_type(harness.actions, io.Send)
    cold = sum(s.backend == "cold" for s in sends)
    assert 1 <= cold <= 0.6 * len(sends) / 5


def test_the_ceiling_holds_with_the_counter_down():
    harness = GatewayHarness()
    sent = 0
    start = harness.now
    for _ in range(400):
        harness.now += 25.0
        name, actions = harness.request(plan="hard", timeout_ms=2000.0)
        harness.answer_counts(actions, outcome=io.Outcome.TIMEOUT)
        if any(s.request == name for s in of_type(harness.actions[-12:], io.Send)):
            sent += 1
            harness.end_attempt(name)
    seconds = (harness.now - start) / 1000.0
    plan = harness.gateway.settings.plans["hard"]
    allowed = ((plan.ceiling_rate - plan.rate) * seconds + plan.ceiling_burst - plan.burst) / 2
    assert 0 < sent <= allowed


def test_a_restarted_gateway_assumes_no_full_bucket_under_a_ceiling():
    harness = GatewayHarness()
    name, actions = harness.request(plan="hard")
    actions = harness.answer_counts(actions, outcome=io.Outcome.TIMEOUT)
    assert not of_type(actions, io.Send) and len(final_answers(actions, name)) == 1


def test_requests_are_sent_when_every_backend_is_penalized():
    harness = GatewayHarness(("b1", "b2"))
    for backend in harness.gateway.tracked.values():
        harness.gateway.penalize(harness.now, backend, 5000.0)
    _, actions = harness.request(kind="pay")
    assert of_type(actions, io.Send)


def test_a_penalized_backend_is_avoided_and_later_tried_again():
    harness = GatewayHarness(("b1", "b2", "b3"))
    for _ in range(20):
        harness.now += 20.0
        harness.answer_all(harness.request()[1])
    harness.gateway.penalize(harness.now, harness.gateway.tracked["b1"], 5000.0)
    mark = len(harness.actions)
    for _ in range(50):
        harness.now += 20.0
        harness.answer_all(harness.request()[1])
    assert "b1" not in {s.backend for s in of_type(harness.actions[mark:], io.Send)}
    harness.now += 60000.0  # the penalty has faded
    mark = len(harness.actions)
    for _ in range(9):
        harness.request()
    assert "b1" in {s.backend for s in of_type(harness.actions[mark:], io.Send)}


def test_unsafe_requests_do_not_probe_a_backend_that_failed():
    harness = GatewayHarness(("b1", "b2"))
    for _ in range(20):
        harness.now += 20.0
        harness.answer_all(harness.request()[1])
    harness.gateway.penalize(harness.now, harness.gateway.tracked["b1"], 5000.0)
    harness.now += 60000.0
    for _ in range(20):
        harness.now += 20.0
        name, actions = harness.request(kind="pay")
        assert of_type(actions, io.Send)[0].backend == "b2"
        harness.answer_all(actions)


def test_an_overdue_answer_sends_the_next_requests_elsewhere():
    harness = GatewayHarness(("b1", "b2"))
    _, actions = harness.request(kind="pay")
    missed = of_type(actions, io.Send)[0].backend
    harness.advance(harness.now + harness.gateway.mean_latency_ms + 5 * harness.gateway.latency_dev_ms)
    others = [of_type(harness.request(kind="pay")[1], io.Send)[0].backend for _ in range(2)]
    assert missed not in others


def test_a_backend_that_rejects_every_attempt_is_avoided():
    harness = GatewayHarness(("b1", "b2", "b3"))
    rejected_count = 0
    for i in range(60):
        harness.now += 20.0
        if i == 0:
            harness.gateway.tracked["b2"].latency_ms = harness.gateway.tracked["b3"].latency_ms = (
                2 * harness.gateway.mean_latency_ms
            )
        name, actions = harness.request()
        while sends := of_type(actions, io.Send):
            is_rejected = sends[0].backend == "b1"
            rejected_count += is_rejected
            attempt = len([s for s in of_type(harness.actions, io.Send) if s.request == name]) - 1
            actions = harness.end_attempt(
                name, attempt, io.Outcome.OVERLOADED if is_rejected else io.Outcome.OK, elapsed_ms=1.0
            )
    assert 1 <= rejected_count <= 10


def test_one_good_answer_ends_a_penalty():
    harness = GatewayHarness(("b1", "b2", "b3"))
    b1 = harness.gateway.tracked["b1"]
    for _ in range(6):
        harness.gateway.penalize(harness.now, b1, 0.0)
    assert b1.expected_ms(harness.now, harness.gateway.mean_latency_ms) > 10 * harness.gateway.mean_latency_ms
    harness.gateway.tracked["b2"].usable = harness.gateway.tracked["b3"].usable = False
    harness.gateway.usable = [b1]
    harness.answer_all(harness.request()[1])
    assert b1.expected_ms(harness.now, harness.gateway.mean_latency_ms) <= harness.gateway.mean_latency_ms


def test_a_restarted_backend_starts_without_a_penalty():
    harness = GatewayHarness(("b1", "b2"))
    harness.gateway.penalize(harness.now, harness.gateway.tracked["b1"], 5000.0)
    harness.update_backends(io.Backend("b1", "z1", started_ms=harness.now), kind=io.ListKind.DELTA)
    assert not harness.gateway.tracked["b1"].has_failed and harness.gateway.tracked["b1"].latency_ms == 0.0


@pytest.mark.parametrize("outcome", [io.Outcome.UNUSABLE_RESPONSE, io.Outcome.RESET])
def test_only_several_unusable_answers_in_a_row_penalize_a_backend(outcome):
    harness = GatewayHarness(("b1",))
    b1 = harness.gateway.tracked["b1"]
    for i in range(4):
        harness.advance(harness.now + 1000.0)
        name, actions = harness.request(kind="pay")
        assert of_type(actions, io.Send)
        harness.end_attempt(name, outcome=outcome)
        assert b1.has_failed is (i == 3)
        assert len(final_answers(harness.actions, name)) == 1 and isinstance(
            final_answers(harness.actions, name)[0], io.Fail
        )
    harness.advance(harness.now + 10000.0)
    name, actions = harness.request()
    harness.end_attempt(name)
    assert not b1.has_failed and b1.unusable_responses == 0


def test_no_state_is_kept_of_removed_backends():
    harness = GatewayHarness(())
    for i in range(50):
        harness.update_backends(f"b{i}")
        name, actions = harness.request(kind="pay")
        if of_type(actions, io.Send):
            harness.end_attempt(name, outcome=io.Outcome.CONNECT_FAILED)
        harness.gateway.penalize(harness.now, harness.gateway.tracked[f"b{i}"], 1e6)
        harness.advance(harness.now + 2000.0)
    harness.update_backends()
    harness.advance(harness.now + 30000.0)
    assert not harness.gateway.tracked and not [key for key in harness.gateway.logged_states if key[1]]
    assert not harness.gateway.in_flight and not harness.gateway.requests and len(harness.gateway.timers) < 5


@pytest.mark.parametrize("poll_interval_ms", [4000.0, 10000.0, 60000.0])
def test_the_list_is_polled_again_in_time_after_each_failed_call(poll_interval_ms):
    # Changes must be followed within 6 s once discovery can be reached.
    harness = GatewayHarness(must_poll=True, poll_interval_ms=poll_interval_ms)
    for _ in range(5):
        harness.feed(io.BackendsChanged(io.ListKind.FAILED, 0, ()))
        failed_at = harness.now
        while not of_type(harness.advance(harness.now + 100.0), io.Subscribe):
            assert harness.now - failed_at < 3000.0
        assert harness.now - failed_at >= 900.0
