"""The ordinary path: local milli-tokens, one borrow in flight, the cached retry time."""

from helpers import GatewayHarness, final_answers, of_type, settings

from cobaltline import interface as io
from cobaltline.fleet_time import FleetTime
from cobaltline.quota import Bucket

WINDOW = 24000.0  # of the shared count, in ms


def inside(now, customer="c"):
    """The time in ms since the customer's present window began; its windows have a start of their own."""
    return Bucket(
        customer, io.Plan("basic", rate=2.0, burst=6.0), 0, 1, settings(), now, FleetTime(is_known=True)
    ).clock(now)[1]


BEGIN = 5.0 * WINDOW - inside(5.0 * WINDOW)  # of a window of the customer that is not named otherwise


def play_on(p, out, totals):
    """Answer every call of these actions, and those that its answer brings about."""
    done = []
    while calls := of_type(out, io.CounterAdd):
        done += out
        out = p.answer_counts(calls, totals)
    return done + out


def test_an_unseen_customer_borrows_one_request_with_one_call():
    p = GatewayHarness(at=BEGIN + 10000.0)
    _, out = p.request(plan="basic")
    (call,) = of_type(out, io.CounterAdd)
    assert call.amount == 1.0 and len(call.name.encode()) <= 64
    totals = {call.name: 20.0}  # what has run over was counted before: the store is full
    assert of_type(p.answer_counts(out, totals), io.Send) and not of_type(p.actions[-1:], io.CounterAdd)


def test_who_opens_a_window_reads_the_one_before_once_and_adds_what_its_store_lacked():
    p = GatewayHarness(at=BEGIN + 500.0)
    name, out = p.request(plan="basic")
    (lease,) = of_type(out, io.CounterAdd)
    out = p.answer_counts(out, {})
    (before,) = of_type(out, io.CounterAdd)
    assert of_type(out, io.Send) and before.amount == 0.0 and before.name != lease.name
    # A store of 6 and 48 of refill were drawn but for 2: it lacked 4 of 6 at the window's end.
    (added,) = of_type(p.feed(io.CounterResult(before.name, io.Outcome.OK, 52.0, 2.0)), io.CounterAdd)
    assert (added.name, added.amount) == (lease.name, 4.0)
    p.feed(io.CounterResult(lease.name, io.Outcome.OK, 5.0, 2.0))
    out = p.answer_counts(p.request(plan="basic")[1], {lease.name: 5.0})
    assert of_type(out, io.Send) and not of_type(out, io.CounterAdd)


def test_windows_of_unlike_customers_begin_at_unlike_times():
    # At one moment, each customer's first calls of all would come at once to the counter.
    begun = sorted(inside(0.0, f"c{i}") for i in range(200))
    assert max(b - a for a, b in zip(begun, begun[1:], strict=False)) < 0.1 * WINDOW


def test_one_that_opens_no_window_does_not_read_the_one_before():
    p = GatewayHarness(at=BEGIN + 500.0)
    _, out = p.request(plan="basic")
    (lease,) = of_type(out, io.CounterAdd)
    assert not of_type(p.answer_counts(out, {lease.name: 2.0}), io.CounterAdd)


def test_refill_that_runs_over_is_added_to_the_count_and_is_not_there_to_be_spent():
    p = GatewayHarness(at=BEGIN + 10000.0)
    totals = {}
    _, out = p.request(plan="basic")
    (lease,) = of_type(out, io.CounterAdd)
    play_on(p, out, totals)
    assert totals[lease.name] == 2.0 * 10.0 + 1.0  # 20 units of refill, and the lease: the store holds 5 of 6


def test_a_deficit_that_no_store_can_have_is_taken_off_the_count():
    p = GatewayHarness(at=BEGIN + 3000.0)
    name, out = p.request(plan="basic")
    (lease,) = of_type(out, io.CounterAdd)
    totals = {lease.name: 99.0}
    assert final_answers(play_on(p, out, totals), name)
    assert totals[lease.name] == 6.0 + 6.0 + 6.0  # of 6 and 6 of refill, another 6 too many stay counted


def test_long_customer_names_stay_within_a_counter_name():
    p = GatewayHarness()
    _, out = p.request(plan="basic", customer="x" * 200)
    assert all(len(c.name.encode()) <= 64 for c in of_type(out, io.CounterAdd))


def test_one_borrow_in_flight_and_the_queue_rechecks():
    p = GatewayHarness()
    _, first = p.request(plan="basic")
    _, second = p.request(plan="basic")
    assert not of_type(second, io.CounterAdd)
    totals = {}
    out = p.answer_counts(first, totals)
    more = p.answer_counts(out, totals)
    assert len(of_type(out, io.Send)) + len(of_type(more, io.Send)) == 2


def test_an_empty_window_is_refused_without_a_call_until_the_retry_time():
    p = GatewayHarness(may_advise=True, most_retry_after_ms=5000.0)
    name, out = p.request(plan="basic")
    (call,) = of_type(out, io.CounterAdd)
    total = 6.0 + 2.0 * inside(p.now) / 1000.0 + 1.0  # all that it can hold by now, and the lease
    out = p.feed(io.CounterResult(call.name, io.Outcome.OK, total))
    assert of_type(out, io.CounterAdd)[0].amount == -1.0  # the excess goes back
    assert final_answers(out, name)[0].retry_after_ms == 500.0  # a unit has come by then
    name, out = p.request(plan="basic")
    assert not of_type(out, io.CounterAdd) and final_answers(out, name)


def test_a_lease_that_was_not_spent_while_the_store_would_fill_goes_back_with_the_next_call():
    p = GatewayHarness(at=BEGIN + 5000.0)
    totals = {}
    play_on(p, p.request(plan="basic")[1], totals)
    b = next(iter(p.gateway.buckets.values()))
    b.tokens, b.is_filled = 3000, False
    p.now += 2999.0  # 6 units at 2 a second
    assert not of_type(p.request(plan="basic")[1], io.CounterAdd) and b.tokens == 2000
    p.now += 2.0
    (call,) = of_type(p.request(plan="basic")[1], io.CounterAdd)
    lease = 1.0 + 0.06 * 2.0  # the request, and a part of the use before
    assert abs(call.amount - (lease - 2.0)) < 1e-6


def test_a_late_answer_for_a_window_gone_by_grants_nothing():
    p = GatewayHarness(at=BEGIN + WINDOW - 10.0)
    _, out = p.request(plan="basic")
    p.now += 20.0
    later = p.answer_counts(out, {})
    assert not of_type(later, io.Send) and of_type(later, io.CounterAdd)  # borrows anew in this window


def test_a_plan_without_a_rate_needs_no_counter():
    p = GatewayHarness()
    _, out = p.request(plan="free")
    assert of_type(out, io.Send) and not of_type(out, io.CounterAdd)


def test_requests_over_the_open_limit_wait_for_one_to_end():
    p = GatewayHarness()
    first, out = p.request(plan="open")
    second, out = p.request(plan="open")
    assert not of_type(out, io.Send) and not final_answers(out, second)
    assert [s.request for s in of_type(p.end_attempt(first), io.Send)] == [second]


def test_an_unknown_plan_is_refused():
    p = GatewayHarness()
    name, out = p.request(plan="unheard-of")
    assert len(final_answers(out, name)) == 1


def test_a_counter_that_fails_leaves_a_bounded_local_share_and_few_calls():
    p = GatewayHarness()
    sent = calls = 0
    for _ in range(400):
        p.now += 25.0
        name, out = p.request(plan="basic")
        calls += len(of_type(out, io.CounterAdd))
        out += p.answer_counts(out, outcome=io.Outcome.CONNECT_FAILED)
        if of_type(out, io.Send):
            sent += 1
            p.end_attempt(name)
    assert 10 <= sent <= 6 + 2.0 * 10 + 1  # something, and no more than the whole quota
    assert calls < 60
    assert [a.text for a in of_type(p.actions, io.Log)] == ["counter failing: begins"]


def test_borrowing_resumes_by_itself():
    p = GatewayHarness()
    for _ in range(20):
        p.now += 100.0
        out = p.request(plan="basic")[1]
        p.answer_all(out + p.answer_counts(out, outcome=io.Outcome.TIMEOUT))
    totals, granted = {}, 0
    for _ in range(40):
        p.now += 500.0
        name, out = p.request(plan="basic")
        out = play_on(p, out, totals)
        granted += bool(of_type(out, io.Send))
        p.answer_all(out)
    assert sum(totals.values()) > 0
    assert granted >= 35 and p.gateway.call_gap_ms == 0.0


def test_own_use_is_put_back_on_a_counter_that_returned_empty():
    p = GatewayHarness(at=BEGIN + 10000.0)
    totals = {}
    for _ in range(3):
        play_on(p, p.request(plan="basic")[1], totals)
    b = p.gateway.buckets["basic", "c"]
    before = b.capacity + b.rate * inside(p.now) - 1000.0 * sum(totals.values())
    totals.clear()
    b.tokens, b.is_filled = 0, False
    _, out = p.request(plan="basic")
    play_on(p, out, totals)
    after = b.capacity + b.rate * inside(p.now) - 1000.0 * sum(totals.values())
    # what it was, less the next lease
    assert len(of_type(out, io.CounterAdd)) == 1 and after <= before - 1000.0 + 1e-6


def test_an_answer_for_nothing_held_is_passed_over():
    p = GatewayHarness()
    assert not p.feed(io.CounterResult("nobody", io.Outcome.OK, 3.0))
    assert not p.feed(io.TimerFired("nobody"))
    assert not p.feed(io.AttemptEnded("nobody", 0, "b1", io.Outcome.OK, True))
    assert not p.feed(object())


def test_a_lease_whose_total_was_not_told_is_taken_off_again_and_the_counter_asked_once_more():
    p = GatewayHarness()
    totals = {}
    name, out = p.request(plan="basic")
    (lease,) = of_type(out, io.CounterAdd)
    totals[lease.name] = lease.amount  # it was added, says the counter, and not to what
    out = p.feed(io.CounterResult(lease.name, io.Outcome.OK, None, 2.0))
    again = of_type(out, io.CounterAdd)
    assert (
        [c.name for c in again if c.name == lease.name]
        and p.gateway.direct_share == 1.0
        and p.gateway.call_gap_ms == 0.0
    )
    out = p.answer_counts(again, totals)
    assert [s.request for s in of_type(out, io.Send)] == [name]
    # What was not known to fit does not stay counted.
    assert totals[lease.name] == lease.amount and sum(c.amount for c in again) == 0.0
    p.feed(io.CounterResult(lease.name, io.Outcome.OK, None, 2.0))  # one that was never asked for


def test_a_counter_that_never_tells_a_total_is_not_asked_for_ever():
    p = GatewayHarness()
    name, out = p.request(plan="basic")
    asked = 0
    while calls := of_type(out, io.CounterAdd):
        asked += len(calls)
        out = [a for c in calls for a in p.feed(io.CounterResult(c.name, io.Outcome.OK, None, 2.0))]
        assert asked < 10
    assert of_type(out, io.Send) or of_type(out, io.Reject) or of_type(out, io.SendPeerMessage)


def test_what_home_turns_down_under_a_ceiling_may_draw_on_the_own_part_while_the_counter_fails():
    # Home grants no more than its own part of ceiling less quota; the rest lies at the others of the set.
    p = GatewayHarness(may_message_peers=True)
    p.request(plan="hard", customer="c1")
    b = p.gateway.buckets["hard", "c1"]
    assert b.spare_rate > 0
    p.advance(p.now + 20000.0)
    p.request(plan="hard", customer="c1")  # keeps the customer known
    b.tokens, b.pending, b.retry_at = 0, 0, p.now + 1000.0
    b.waiting.clear()
    name, out = p.request(plan="hard", customer="c1")
    assert of_type(out, io.Reject) and not of_type(out, io.Send)  # the counter is well: its word stands
    p.gateway.call_gap_ms = 100.0
    sent = 0
    for _ in range(20):
        name, out = p.request(plan="hard", customer="c1")
        sent += len(of_type(out, io.Send))
        for s in of_type(out, io.Send):
            p.end_attempt(s)
    assert 1 <= sent <= b.max_spare / 1000.0 + 1
    assert b.spare < 1000.0


def test_a_call_whose_connection_broke_is_made_once_more_and_says_nothing_against_the_counter():
    p = GatewayHarness()
    name, out = p.request(plan="basic")
    (lease,) = of_type(out, io.CounterAdd)
    out = p.feed(io.CounterResult(lease.name, io.Outcome.RESET, 0.0, 2.0))
    again = of_type(out, io.CounterAdd)
    assert (
        again
        and again[-1].amount == lease.amount
        and (p.gateway.direct_share, p.gateway.call_gap_ms) == (1.0, 0.0)
    )
    assert [s.request for s in of_type(p.answer_counts(again, {}), io.Send)] == [name]


def full(p, burst=16.0, rate=2.0, customer="c"):
    """The units counted by now of a store that was full at the window's start and is empty."""
    return burst + rate * inside(p.now, customer) / 1000.0


def thin(**changes):
    """A gateway of 40, and a customer whose burst leaves none of them a unit."""
    return GatewayHarness(gateways=40, plans={"basic": io.Plan("basic", rate=2.0, burst=16.0)}, **changes)


def test_where_no_gateway_has_a_unit_of_the_burst_a_borrow_is_one_call():
    p = thin()
    _, out = p.request(plan="basic", spread=40)
    (call,) = of_type(out, io.CounterAdd)
    assert call.amount == 1.0
    assert len(of_type(p.answer_counts([call], {}), io.Send)) == 1


def test_who_was_not_found_short_is_let_in_while_calls_fail_and_who_was_is_not():
    p = thin()
    p.gateway.rng.random = lambda: 0.99  # by odds, a share under one request would not be granted
    _, out = p.request(plan="basic", customer="quiet", spread=40, units=4.0)
    assert of_type(p.answer_counts(out, outcome=io.Outcome.OVERLOADED), io.Send)

    p.now += 1000.0
    name, out = p.request(plan="basic", customer="heavy", spread=40, units=4.0)
    (call,) = of_type(out, io.CounterAdd)
    assert final_answers(play_on(p, [call], {call.name: full(p, customer="heavy")}), name)
    p.now += 8000.0  # the store is full again
    name, out = p.request(plan="basic", customer="heavy", spread=40, units=4.0)
    assert final_answers(p.answer_counts(out, outcome=io.Outcome.OVERLOADED), name)


def test_an_empty_store_is_not_asked_about_before_it_has_refilled_so_far():
    p = thin()
    name, out = p.request(plan="basic", spread=40, units=4.0)
    (call,) = of_type(out, io.CounterAdd)
    refused = p.answer_counts([call], {call.name: full(p)})
    assert final_answers(refused, name) and [c.amount for c in of_type(refused, io.CounterAdd)] == [-4.0]
    p.now += 1999.0  # 4 units at 2 a second
    name, out = p.request(plan="basic", spread=40)
    assert final_answers(out, name) and not of_type(out, io.CounterAdd)
    p.now += 2.0
    assert of_type(p.request(plan="basic", spread=40)[1], io.CounterAdd)


def test_while_calls_are_scarce_who_was_found_short_is_asked_about_with_half_a_store():
    p = thin()
    _, out = p.request(plan="basic", spread=40, units=4.0)
    p.gateway.call_gap_ms = 64.0
    p.answer_counts(out, {of_type(out, io.CounterAdd)[0].name: full(p)})
    b = p.gateway.buckets["basic", "c"]
    assert b.retry_at == p.now + 4000.0


def test_a_unit_that_is_left_is_not_lost_to_a_larger_request():
    p = thin()
    name, out = p.request(plan="basic", spread=40, units=4.0)
    (call,) = of_type(out, io.CounterAdd)
    refused = p.answer_counts([call], {call.name: full(p) - 2.0})
    assert final_answers(refused, name)
    assert [c.amount for c in of_type(refused, io.CounterAdd)] == [-4.0]


def well_filled(spread, units=1.0, **changes):
    """A customer of `spread` gateways whose store was seen full, and the totals of the counter."""
    plans = {"basic": io.Plan("basic", rate=2.0, burst=24.0, overrun_cost=0.6)}
    p, totals = (
        GatewayHarness(gateways=40, at=BEGIN + 20000.0, plans=plans, counter_price=0.02, **changes),
        {},
    )
    play_on(p, p.request(plan="basic", spread=spread)[1], totals)
    return p, totals


def test_where_a_store_was_seen_well_filled_a_request_goes_out_at_once_and_is_counted_behind():
    p, totals = well_filled(spread=4)
    calls, sent = 0, 0
    for _ in range(20):
        p.now += 3000.0
        out = p.request(plan="basic", spread=4)[1]
        sent += bool(of_type(out, io.Send))  # before any answer of the counter
        calls += len(of_type(out, io.CounterAdd))
        p.answer_all(play_on(p, out, totals))
    assert sent == 20 and calls <= 0.35 * 20  # each second one of them puts right what has run over
    counted = sum(totals.values())
    assert counted >= 15.0  # nothing of it is forgotten but what the store has refilled since


def test_a_customer_that_comes_much_quicker_than_it_used_to_is_counted_at_once_and_then_asked_about():
    p, totals = well_filled(spread=4)
    for _ in range(8):
        p.now += 3000.0
        p.answer_all(play_on(p, p.request(plan="basic", spread=4)[1], totals))
    p.now += 3000.0
    p.answer_all(play_on(p, p.request(plan="basic", spread=4)[1], totals))
    p.now += 10.0
    out = p.request(plan="basic", spread=4)[1]
    assert of_type(out, io.Send) and of_type(out, io.CounterAdd)
    play_on(p, out, totals)
    p.now += 10.0
    out = p.request(plan="basic", spread=4)[1]
    assert not of_type(out, io.Send) and of_type(out, io.CounterAdd)


def test_what_is_let_in_before_it_is_counted_stays_within_this_gateways_part_of_what_was_left():
    p, totals = well_filled(spread=4)
    out = []
    for _ in range(10):
        p.now += 500.0
        out += p.request(plan="basic", spread=4)[1]  # and the counter is silent
    assert len(of_type(out, io.Send)) <= 0.7 * 24 / 4


def test_where_a_part_is_under_a_request_doubt_decides_whether_it_is_counted_first():
    p, totals = well_filled(spread=40)
    p.now += 3000.0
    assert not of_type(p.request(plan="basic", spread=40)[1], io.Send)
    p, totals = well_filled(spread=40)
    p.now += 3000.0
    p.gateway.overrun_share = 0.001
    assert of_type(p.request(plan="basic", spread=40)[1], io.Send)


def test_with_little_doubt_more_than_this_gateways_part_is_let_in_but_no_more_than_the_store_held():
    p, totals = well_filled(spread=12)
    p.gateway.overrun_share = 0.0
    out = []
    for _ in range(30):
        p.now += 500.0
        out += p.request(plan="basic", spread=12, units=3.0)[1]  # and the counter is silent
    assert 24 / 12 < 3.0 * len(of_type(out, io.Send)) <= 0.7 * 24


def test_doubt_follows_what_counts_find_of_stores_that_were_thought_well_filled():
    p, totals = well_filled(spread=40)
    for _ in range(100):
        p.now += 3000.0
        p.answer_all(play_on(p, p.request(plan="basic", spread=40)[1], totals))
    least = p.gateway.overrun_share
    assert least < 0.2 * 0.05
    (call,) = of_type(p.request(plan="basic", spread=40)[1], io.CounterAdd) or p.actions[-1:]
    b = p.gateway.buckets["basic", "c"]
    b.uncounted_requests, b.quick_streak, p.gateway.overrun_share, before = 0, 2, 0.01, 0.01
    out = p.request(plan="basic", spread=40)[1]
    for c in of_type(out, io.CounterAdd) or [call]:
        p.feed(io.CounterResult(c.name, io.Outcome.OK, full(p, 24.0) + 9.0, 2.0))
    assert p.gateway.overrun_share > before
