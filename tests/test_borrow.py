"""Borrowing from the counter: leases, windows, the retry time, and requests that are counted later."""

from helpers import GatewayHarness, final_answers, of_type, settings

from cobaltline import interface as io
from cobaltline.fleet_time import FleetTime
from cobaltline.quota import Bucket

WINDOW_MS = 24000.0  # of the shared count


def ms_into_window(now, customer="c"):
    """The time in ms since the start of the customer's present window."""
    return Bucket(
        customer, io.Plan("basic", rate=2.0, burst=6.0), 0, 1, settings(), now, FleetTime(is_known=True)
    ).clock(now)[1]


WINDOW_START_MS = 5.0 * WINDOW_MS - ms_into_window(5.0 * WINDOW_MS)  # for the default customer of the harness


def answer_all_counts(harness, actions, totals):
    """Answer all counter calls among these actions and the calls that follow; returns all actions."""
    handled = []
    while calls := of_type(actions, io.CounterAdd):
        handled += actions
        actions = harness.answer_counts(calls, totals)
    return handled + actions


def test_a_new_customer_borrows_one_request_with_one_call():
    harness = GatewayHarness(at=WINDOW_START_MS + 10000.0)
    _, actions = harness.request(plan="basic")
    (call,) = of_type(actions, io.CounterAdd)
    assert call.amount == 1.0 and len(call.name.encode()) <= 64
    totals = {call.name: 20.0}  # all refill so far is counted: the bucket is full
    assert of_type(harness.answer_counts(actions, totals), io.Send) and not of_type(
        harness.actions[-1:], io.CounterAdd
    )


def test_opening_a_window_reads_the_previous_total_once_and_carries_over_the_shortfall():
    harness = GatewayHarness(at=WINDOW_START_MS + 500.0)
    name, actions = harness.request(plan="basic")
    (lease,) = of_type(actions, io.CounterAdd)
    actions = harness.answer_counts(actions, {})
    (before,) = of_type(actions, io.CounterAdd)
    assert of_type(actions, io.Send) and before.amount == 0.0 and before.name != lease.name
    # Of a burst of 6 and a refill of 48, all but 2 were used: 4 of 6 were missing at the end.
    (added,) = of_type(harness.feed(io.CounterResult(before.name, io.Outcome.OK, 52.0, 2.0)), io.CounterAdd)
    assert (added.name, added.amount) == (lease.name, 4.0)
    harness.feed(io.CounterResult(lease.name, io.Outcome.OK, 5.0, 2.0))
    actions = harness.answer_counts(harness.request(plan="basic")[1], {lease.name: 5.0})
    assert of_type(actions, io.Send) and not of_type(actions, io.CounterAdd)


def test_windows_of_different_customers_start_at_different_times():
    # With a common start, the first calls for all customers would reach the counter at once.
    offsets_ms = sorted(ms_into_window(0.0, f"c{i}") for i in range(200))
    assert max(b - a for a, b in zip(offsets_ms, offsets_ms[1:], strict=False)) < 0.1 * WINDOW_MS


def test_a_borrow_that_opens_no_window_does_not_read_the_previous_total():
    harness = GatewayHarness(at=WINDOW_START_MS + 500.0)
    _, actions = harness.request(plan="basic")
    (lease,) = of_type(actions, io.CounterAdd)
    assert not of_type(harness.answer_counts(actions, {lease.name: 2.0}), io.CounterAdd)


def test_refill_beyond_a_full_bucket_is_added_to_the_count():
    harness = GatewayHarness(at=WINDOW_START_MS + 10000.0)
    totals = {}
    _, actions = harness.request(plan="basic")
    (lease,) = of_type(actions, io.CounterAdd)
    answer_all_counts(harness, actions, totals)
    assert totals[lease.name] == 2.0 * 10.0 + 1.0  # 20 units of refill and the lease: the bucket holds 5 of 6


def test_an_impossible_deficit_is_subtracted_from_the_count():
    harness = GatewayHarness(at=WINDOW_START_MS + 3000.0)
    name, actions = harness.request(plan="basic")
    (lease,) = of_type(actions, io.CounterAdd)
    totals = {lease.name: 99.0}
    assert final_answers(answer_all_counts(harness, actions, totals), name)
    # a burst, a refill of 6 and the greatest deficit stay counted
    assert totals[lease.name] == 6.0 + 6.0 + 6.0


def test_long_customer_names_fit_a_counter_name():
    harness = GatewayHarness()
    _, actions = harness.request(plan="basic", customer="x" * 200)
    assert all(len(c.name.encode()) <= 64 for c in of_type(actions, io.CounterAdd))


def test_a_second_request_waits_for_the_borrow_in_flight_and_is_then_admitted():
    harness = GatewayHarness()
    _, first = harness.request(plan="basic")
    _, second = harness.request(plan="basic")
    assert not of_type(second, io.CounterAdd)
    totals = {}
    actions = harness.answer_counts(first, totals)
    more = harness.answer_counts(actions, totals)
    assert len(of_type(actions, io.Send)) + len(of_type(more, io.Send)) == 2


def test_with_an_empty_bucket_requests_are_rejected_without_a_call_until_the_retry_time():
    harness = GatewayHarness(may_advise=True, most_retry_after_ms=5000.0)
    name, actions = harness.request(plan="basic")
    (call,) = of_type(actions, io.CounterAdd)
    # the burst, the refill so far and the lease
    total = 6.0 + 2.0 * ms_into_window(harness.now) / 1000.0 + 1.0
    actions = harness.feed(io.CounterResult(call.name, io.Outcome.OK, total))
    assert of_type(actions, io.CounterAdd)[0].amount == -1.0  # the excess is returned
    assert final_answers(actions, name)[0].retry_after_ms == 500.0  # one unit is refilled by then
    name, actions = harness.request(plan="basic")
    assert not of_type(actions, io.CounterAdd) and final_answers(actions, name)


def test_an_unspent_lease_is_returned_with_the_next_call_after_the_fill_time():
    harness = GatewayHarness(at=WINDOW_START_MS + 5000.0)
    totals = {}
    answer_all_counts(harness, harness.request(plan="basic")[1], totals)
    bucket = next(iter(harness.gateway.buckets.values()))
    bucket.tokens, bucket.is_filled = 3000, False
    harness.now += 2999.0  # 6 units at 2 a second
    assert not of_type(harness.request(plan="basic")[1], io.CounterAdd) and bucket.tokens == 2000
    harness.now += 2.0
    (call,) = of_type(harness.request(plan="basic")[1], io.CounterAdd)
    lease = 1.0 + 0.06 * 2.0  # the request and a part of the previous use
    assert abs(call.amount - (lease - 2.0)) < 1e-6


def test_a_late_answer_for_a_past_window_grants_nothing():
    harness = GatewayHarness(at=WINDOW_START_MS + WINDOW_MS - 10.0)
    _, actions = harness.request(plan="basic")
    harness.now += 20.0
    later = harness.answer_counts(actions, {})
    assert not of_type(later, io.Send) and of_type(later, io.CounterAdd)  # a new borrow in this window


def test_a_plan_without_a_rate_needs_no_counter():
    harness = GatewayHarness()
    _, actions = harness.request(plan="free")
    assert of_type(actions, io.Send) and not of_type(actions, io.CounterAdd)


def test_requests_over_the_concurrency_limit_wait_for_one_to_end():
    harness = GatewayHarness()
    first, actions = harness.request(plan="open")
    second, actions = harness.request(plan="open")
    assert not of_type(actions, io.Send) and not final_answers(actions, second)
    assert [s.request for s in of_type(harness.end_attempt(first), io.Send)] == [second]


def test_a_request_of_an_unknown_plan_is_rejected():
    harness = GatewayHarness()
    name, actions = harness.request(plan="unknown")
    assert len(final_answers(actions, name)) == 1


def test_with_a_failing_counter_the_local_share_is_bounded_and_calls_are_few():
    harness = GatewayHarness()
    sent = calls = 0
    for _ in range(400):
        harness.now += 25.0
        name, actions = harness.request(plan="basic")
        calls += len(of_type(actions, io.CounterAdd))
        actions += harness.answer_counts(actions, outcome=io.Outcome.CONNECT_FAILED)
        if of_type(actions, io.Send):
            sent += 1
            harness.end_attempt(name)
    assert 10 <= sent <= 6 + 2.0 * 10 + 1  # more than nothing, at most the whole quota
    assert calls < 60
    assert [a.text for a in of_type(harness.actions, io.Log)] == ["counter failing: begins"]


def test_borrowing_resumes_after_the_counter_recovers():
    harness = GatewayHarness()
    for _ in range(20):
        harness.now += 100.0
        actions = harness.request(plan="basic")[1]
        harness.answer_all(actions + harness.answer_counts(actions, outcome=io.Outcome.TIMEOUT))
    totals, granted = {}, 0
    for _ in range(40):
        harness.now += 500.0
        name, actions = harness.request(plan="basic")
        actions = answer_all_counts(harness, actions, totals)
        granted += bool(of_type(actions, io.Send))
        harness.answer_all(actions)
    assert sum(totals.values()) > 0
    assert granted >= 35 and harness.gateway.call_gap_ms == 0.0


def test_own_use_is_restored_on_a_counter_that_lost_its_data():
    harness = GatewayHarness(at=WINDOW_START_MS + 10000.0)
    totals = {}
    for _ in range(3):
        answer_all_counts(harness, harness.request(plan="basic")[1], totals)
    bucket = harness.gateway.buckets["basic", "c"]
    before = bucket.capacity + bucket.rate * ms_into_window(harness.now) - 1000.0 * sum(totals.values())
    totals.clear()
    bucket.tokens, bucket.is_filled = 0, False
    _, actions = harness.request(plan="basic")
    answer_all_counts(harness, actions, totals)
    after = bucket.capacity + bucket.rate * ms_into_window(harness.now) - 1000.0 * sum(totals.values())
    # the previous level less the next lease
    assert len(of_type(actions, io.CounterAdd)) == 1 and after <= before - 1000.0 + 1e-6


def test_events_that_match_no_open_operation_are_ignored():
    harness = GatewayHarness()
    assert not harness.feed(io.CounterResult("nobody", io.Outcome.OK, 3.0))
    assert not harness.feed(io.TimerFired("nobody"))
    assert not harness.feed(io.AttemptEnded("nobody", 0, "b1", io.Outcome.OK, True))
    assert not harness.feed(object())


def test_a_lease_with_an_unknown_total_is_taken_back_and_borrowed_again():
    harness = GatewayHarness()
    totals = {}
    name, actions = harness.request(plan="basic")
    (lease,) = of_type(actions, io.CounterAdd)
    totals[lease.name] = lease.amount  # added, but the answer gives no total
    actions = harness.feed(io.CounterResult(lease.name, io.Outcome.OK, None, 2.0))
    retried = of_type(actions, io.CounterAdd)
    assert (
        [c.name for c in retried if c.name == lease.name]
        and harness.gateway.direct_share == 1.0
        and harness.gateway.call_gap_ms == 0.0
    )
    actions = harness.answer_counts(retried, totals)
    assert [s.request for s in of_type(actions, io.Send)] == [name]
    # The lease that was not known to fit is not counted.
    assert totals[lease.name] == lease.amount and sum(c.amount for c in retried) == 0.0
    harness.feed(io.CounterResult(lease.name, io.Outcome.OK, None, 2.0))  # an unexpected result


def test_a_counter_that_never_returns_a_total_is_not_called_endlessly():
    harness = GatewayHarness()
    name, actions = harness.request(plan="basic")
    call_count = 0
    while calls := of_type(actions, io.CounterAdd):
        call_count += len(calls)
        actions = [a for c in calls for a in harness.feed(io.CounterResult(c.name, io.Outcome.OK, None, 2.0))]
        assert call_count < 10
    assert of_type(actions, io.Send) or of_type(actions, io.Reject) or of_type(actions, io.SendPeerMessage)


def test_requests_refused_by_the_home_gateway_use_the_own_part_of_the_ceiling_while_the_counter_fails():
    # The home gateway grants only its own part of ceiling less quota; other gateways hold the rest.
    harness = GatewayHarness(may_message_peers=True)
    harness.request(plan="hard", customer="c1")
    bucket = harness.gateway.buckets["hard", "c1"]
    assert bucket.spare_rate > 0
    harness.advance(harness.now + 20000.0)
    harness.request(plan="hard", customer="c1")  # keeps the bucket from being dropped as idle
    bucket.tokens, bucket.pending, bucket.retry_at = 0, 0, harness.now + 1000.0
    bucket.waiting.clear()
    name, actions = harness.request(plan="hard", customer="c1")
    # the counter works: the refusal is final
    assert of_type(actions, io.Reject) and not of_type(actions, io.Send)
    harness.gateway.call_gap_ms = 100.0
    sent = 0
    for _ in range(20):
        name, actions = harness.request(plan="hard", customer="c1")
        sent += len(of_type(actions, io.Send))
        for s in of_type(actions, io.Send):
            harness.end_attempt(s)
    assert 1 <= sent <= bucket.max_spare / 1000.0 + 1
    assert bucket.spare < 1000.0


def test_a_call_whose_connection_broke_is_repeated_and_does_not_count_as_a_failure():
    harness = GatewayHarness()
    name, actions = harness.request(plan="basic")
    (lease,) = of_type(actions, io.CounterAdd)
    actions = harness.feed(io.CounterResult(lease.name, io.Outcome.RESET, 0.0, 2.0))
    retried = of_type(actions, io.CounterAdd)
    assert (
        retried
        and retried[-1].amount == lease.amount
        and (harness.gateway.direct_share, harness.gateway.call_gap_ms) == (1.0, 0.0)
    )
    assert [s.request for s in of_type(harness.answer_counts(retried, {}), io.Send)] == [name]


def empty_bucket_total(harness, burst=16.0, rate=2.0, customer="c"):
    """The total, in units, of a bucket that was full at the start of the window and is empty now."""
    return burst + rate * ms_into_window(harness.now, customer) / 1000.0


def thin_share_harness(**changes):
    """One of 40 gateways, whose part of the plan's burst is less than a unit."""
    return GatewayHarness(gateways=40, plans={"basic": io.Plan("basic", rate=2.0, burst=16.0)}, **changes)


def test_with_thin_shares_a_borrow_is_one_call():
    harness = thin_share_harness()
    _, actions = harness.request(plan="basic", spread=40)
    (call,) = of_type(actions, io.CounterAdd)
    assert call.amount == 1.0
    assert len(of_type(harness.answer_counts([call], {}), io.Send)) == 1


def test_while_calls_fail_only_customers_not_found_short_are_admitted():
    harness = thin_share_harness()
    harness.gateway.rng.random = lambda: 0.99  # a random draw that does not grant a small share
    _, actions = harness.request(plan="basic", customer="quiet", spread=40, units=4.0)
    assert of_type(harness.answer_counts(actions, outcome=io.Outcome.OVERLOADED), io.Send)

    harness.now += 1000.0
    name, actions = harness.request(plan="basic", customer="heavy", spread=40, units=4.0)
    (call,) = of_type(actions, io.CounterAdd)
    assert final_answers(
        answer_all_counts(harness, [call], {call.name: empty_bucket_total(harness, customer="heavy")}), name
    )
    harness.now += 8000.0  # the bucket is full again
    name, actions = harness.request(plan="basic", customer="heavy", spread=40, units=4.0)
    assert final_answers(harness.answer_counts(actions, outcome=io.Outcome.OVERLOADED), name)


def test_an_empty_bucket_causes_no_call_before_it_has_refilled_far_enough():
    harness = thin_share_harness()
    name, actions = harness.request(plan="basic", spread=40, units=4.0)
    (call,) = of_type(actions, io.CounterAdd)
    refused = harness.answer_counts([call], {call.name: empty_bucket_total(harness)})
    assert final_answers(refused, name) and [c.amount for c in of_type(refused, io.CounterAdd)] == [-4.0]
    harness.now += 1999.0  # 4 units at 2 a second
    name, actions = harness.request(plan="basic", spread=40)
    assert final_answers(actions, name) and not of_type(actions, io.CounterAdd)
    harness.now += 2.0
    assert of_type(harness.request(plan="basic", spread=40)[1], io.CounterAdd)


def test_with_spaced_calls_a_short_customer_is_retried_at_half_a_bucket():
    harness = thin_share_harness()
    _, actions = harness.request(plan="basic", spread=40, units=4.0)
    harness.gateway.call_gap_ms = 64.0
    harness.answer_counts(actions, {of_type(actions, io.CounterAdd)[0].name: empty_bucket_total(harness)})
    bucket = harness.gateway.buckets["basic", "c"]
    assert bucket.retry_at == harness.now + 4000.0


def test_a_request_that_does_not_fit_returns_its_whole_lease():
    harness = thin_share_harness()
    name, actions = harness.request(plan="basic", spread=40, units=4.0)
    (call,) = of_type(actions, io.CounterAdd)
    refused = harness.answer_counts([call], {call.name: empty_bucket_total(harness) - 2.0})
    assert final_answers(refused, name)
    assert [c.amount for c in of_type(refused, io.CounterAdd)] == [-4.0]


def well_filled_harness(spread, units=1.0, **changes):
    """A harness with a customer of `spread` gateways whose bucket was seen full, and the counter's totals."""
    plans = {"basic": io.Plan("basic", rate=2.0, burst=24.0, overrun_cost=0.6)}
    harness, totals = (
        GatewayHarness(gateways=40, at=WINDOW_START_MS + 20000.0, plans=plans, counter_price=0.02, **changes),
        {},
    )
    answer_all_counts(harness, harness.request(plan="basic", spread=spread)[1], totals)
    return harness, totals


def test_with_a_well_filled_bucket_requests_are_sent_at_once_and_counted_later():
    harness, totals = well_filled_harness(spread=4)
    calls, sent = 0, 0
    for _ in range(20):
        harness.now += 3000.0
        actions = harness.request(plan="basic", spread=4)[1]
        sent += bool(of_type(actions, io.Send))  # before the counter answers
        calls += len(of_type(actions, io.CounterAdd))
        harness.answer_all(answer_all_counts(harness, actions, totals))
    assert sent == 20 and calls <= 0.35 * 20  # half of them correct the count for overflow
    counted = sum(totals.values())
    assert counted >= 15.0  # all but what was refilled since


def test_much_more_frequent_requests_are_counted_at_once_and_then_before_they_are_sent():
    harness, totals = well_filled_harness(spread=4)
    for _ in range(8):
        harness.now += 3000.0
        harness.answer_all(answer_all_counts(harness, harness.request(plan="basic", spread=4)[1], totals))
    harness.now += 3000.0
    harness.answer_all(answer_all_counts(harness, harness.request(plan="basic", spread=4)[1], totals))
    harness.now += 10.0
    actions = harness.request(plan="basic", spread=4)[1]
    assert of_type(actions, io.Send) and of_type(actions, io.CounterAdd)
    answer_all_counts(harness, actions, totals)
    harness.now += 10.0
    actions = harness.request(plan="basic", spread=4)[1]
    assert not of_type(actions, io.Send) and of_type(actions, io.CounterAdd)


def test_uncounted_requests_stay_within_this_gateways_part_of_the_bucket():
    harness, totals = well_filled_harness(spread=4)
    actions = []
    for _ in range(10):
        harness.now += 500.0
        actions += harness.request(plan="basic", spread=4)[1]  # the counter does not answer
    assert len(of_type(actions, io.Send)) <= 0.7 * 24 / 4


def test_with_a_part_smaller_than_a_request_the_overrun_share_decides_whether_to_count_first():
    harness, totals = well_filled_harness(spread=40)
    harness.now += 3000.0
    assert not of_type(harness.request(plan="basic", spread=40)[1], io.Send)
    harness, totals = well_filled_harness(spread=40)
    harness.now += 3000.0
    harness.gateway.overrun_share = 0.001
    assert of_type(harness.request(plan="basic", spread=40)[1], io.Send)


def test_with_a_low_overrun_share_uncounted_requests_are_bounded_by_the_whole_bucket():
    harness, totals = well_filled_harness(spread=12)
    harness.gateway.overrun_share = 0.0
    actions = []
    for _ in range(30):
        harness.now += 500.0
        actions += harness.request(plan="basic", spread=12, units=3.0)[1]  # the counter does not answer
    assert 24 / 12 < 3.0 * len(of_type(actions, io.Send)) <= 0.7 * 24


def test_the_overrun_share_follows_the_counts_of_buckets_thought_well_filled():
    harness, totals = well_filled_harness(spread=40)
    for _ in range(100):
        harness.now += 3000.0
        harness.answer_all(answer_all_counts(harness, harness.request(plan="basic", spread=40)[1], totals))
    lowest = harness.gateway.overrun_share
    assert lowest < 0.2 * 0.05
    (call,) = of_type(harness.request(plan="basic", spread=40)[1], io.CounterAdd) or harness.actions[-1:]
    bucket = harness.gateway.buckets["basic", "c"]
    bucket.uncounted_requests, bucket.quick_streak, harness.gateway.overrun_share, before = 0, 2, 0.01, 0.01
    actions = harness.request(plan="basic", spread=40)[1]
    for counted in of_type(actions, io.CounterAdd) or [call]:
        harness.feed(
            io.CounterResult(counted.name, io.Outcome.OK, empty_bucket_total(harness, 24.0) + 9.0, 2.0)
        )
    assert harness.gateway.overrun_share > before
