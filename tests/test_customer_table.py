"""What a gateway knows of customers is bounded, and forgetting a customer costs no quota."""

from helpers import GatewayHarness, of_type

from cobaltline import interface as io
from elderhub.host import max_customers

MAX_CUSTOMERS = 20


def serve(harness, **options):
    """Passes in a request and answers its counter calls and attempts; returns the actions."""
    _, actions = harness.request(**options)
    todo = list(actions)
    while todo:
        action = todo.pop(0)
        if isinstance(action, io.CounterAdd):
            todo += harness.answer_counts([action], harness.totals)
        elif isinstance(action, io.Send):
            todo += harness.end_attempt(action)
    return actions


def new_harness():
    harness = GatewayHarness([f"b{number}" for number in range(100)], max_customers=MAX_CUSTOMERS)
    harness.totals = {}
    return harness


def test_customers_that_come_once_are_bounded_and_usual_ones_are_kept():
    # Guards against customers kept for 10 or 120 s whatever their number: 86 MB on one connection in 6 s.
    harness = new_harness()
    serve(harness, plan="basic", customer="usual")
    usual = harness.gateway.buckets["basic", "usual"]
    for number in range(50 * MAX_CUSTOMERS):
        serve(harness, plan="basic", customer=f"once{number}")
        if number % (MAX_CUSTOMERS // 2) == 0:
            serve(harness, plan="basic", customer="usual")
        assert len(harness.gateway.buckets) <= MAX_CUSTOMERS
    assert harness.gateway.buckets["basic", "usual"] is usual
    assert not harness.gateway.calls and not harness.gateway.requests


def test_customers_with_open_requests_are_not_forgotten_at_the_limit():
    harness = new_harness()
    waiting = [harness.request(plan="basic", customer=f"open{number}")[1] for number in range(MAX_CUSTOMERS)]
    for number in range(MAX_CUSTOMERS):
        serve(harness, plan="free", customer=f"once{number}")
    buckets = harness.gateway.buckets
    assert all(("basic", f"open{number}") in buckets for number in range(MAX_CUSTOMERS))
    for actions in waiting:  # each still gets its answer
        assert of_type(harness.answer_counts(actions, harness.totals), io.Send)
    for number in range(2 * MAX_CUSTOMERS):
        serve(harness, plan="free", customer=f"again{number}")
    assert len(buckets) <= 2 * MAX_CUSTOMERS


def test_what_a_forgotten_customer_used_is_counted_and_what_it_did_not_use_is_returned():
    harness = new_harness()
    serve(harness, plan="basic", customer="c")
    bucket = harness.gateway.buckets["basic", "c"]
    bucket.uncounted_tokens, bucket.tokens = 3000, 1000
    name = f"{bucket.counter_name}/{bucket.window}"
    harness.actions.clear()
    for number in range(MAX_CUSTOMERS):
        serve(harness, plan="free", customer=f"once{number}")
    assert ("basic", "c") not in harness.gateway.buckets
    assert [call.amount for call in of_type(harness.actions, io.CounterAdd) if call.name == name] == [2.0]


def test_the_number_of_customers_follows_the_limit_on_memory():
    assert max_customers(0.001) == 1
    assert 1500 < max_customers(32.0) < max_customers(192.0) < 10_000
