"""The demo's rules: each violation in what clients and backends observe is found, and nothing else."""

import pytest

from rosehitch import rules
from rosehitch.rules import (
    DRAIN_RULE,
    NO_OVERLAP_RULE,
    ONE_ANSWER_RULE,
    QUOTA_RULE,
    UNSAFE_ONCE_RULE,
    WITHIN_QUOTA_RULE,
    Rules,
)

PLANS = {
    "free": {},
    "quota": {"unitsPerS": 2.0, "depth": 4.0},
    "hard": {"hardRate": 4.0, "ceilingBurst": 8.0, "tolerance": 1.0},
}
DRAIN_GRACE_S, DEADLINE_S = 1.0, 2.0


class ObservedRules(Rules):
    """Rules with short methods that report whole observations."""

    def __init__(self):
        super().__init__(PLANS, DRAIN_GRACE_S)

    def send(self, name, safe=True, plan="free", deadline=DEADLINE_S):
        self.record_request(name, "c", plan, safe, deadline)

    def report_attempt(self, name, backend="a", at=0.1, began_at=None):
        return self.record_attempt(name, backend, at if began_at is None else began_at, at)

    def serve(self, attempt, at=0.2):
        body = attempt.request.encode()
        self.record_served(attempt, body)
        self.record_response(attempt.request, 200, body, at)

    def serve_one(self, name, plan="free", at=0.1):
        self.send(name, plan=plan, deadline=at + DEADLINE_S)
        self.serve(self.report_attempt(name, at=at), at)


def attempt_again(observed, safe, how):
    """Report a second attempt after a first one that ended in the way `how`."""
    observed.send("r", safe=safe)
    first = observed.report_attempt("r")
    if how == "closed":
        observed.record_connection_end(first, 0.15)
    elif how == "rejected":
        observed.record_rejected(first)
    second = observed.report_attempt("r", "b", 0.2)
    if how == "closed, seen late":
        observed.record_connection_end(first, 0.2 + rules.OBSERVATION_DELAY_S)
    elif how == "closed after":
        observed.record_connection_end(first, 0.21 + rules.OBSERVATION_DELAY_S)
    observed.serve(second, 0.3)


def refuse_after_attempt(observed, how):
    observed.send("r", safe=False)
    first = observed.report_attempt("r")
    (observed.record_rejected(first) if how == "rejected" else observed.record_connection_end(first, 0.15))
    observed.record_response("r", 503, b"", 0.2)


def attempt_after_drain(observed, began_at):
    observed.record_backend_leaving("a", 1.0)
    observed.send("r")
    observed.serve(observed.report_attempt("r", at=began_at + 0.5, began_at=began_at), DEADLINE_S)


def answer(observed, status, body, at):
    observed.send("r")
    observed.record_served(observed.report_attempt("r"), b"theirs")
    observed.record_response("r", status, body, at)


def serve_many(observed, plan, count, interval_s):
    for n in range(count):
        observed.serve_one(f"r{n}", plan, n * interval_s)


def refuse_share(observed, status, level, share):
    """Refuse this share of 100 requests to a customer with `level` units left; the others have no quota."""
    for n in range(4 - level):
        observed.serve_one(f"spent{n}", "quota", 0.1)
    for n in range(100):
        is_refused = n < 100 * share
        observed.send(f"r{n}", plan="quota" if is_refused else "free")
        if is_refused:
            observed.record_response(f"r{n}", status, b"", 0.2)
        else:
            observed.serve(observed.report_attempt(f"r{n}", at=0.2), 0.2)


CASES = [
    (lambda observed: observed.serve_one("r"), None),
    (lambda observed: observed.send("r"), ONE_ANSWER_RULE),
    (lambda observed: observed.report_attempt("r"), ONE_ANSWER_RULE),
    (lambda observed: answer(observed, 200, b"theirs", 2.4), None),
    (lambda observed: answer(observed, 200, b"theirs", 2.6), ONE_ANSWER_RULE),
    (lambda observed: answer(observed, 200, b"ours", 0.2), ONE_ANSWER_RULE),
    (lambda observed: answer(observed, 0, b"", 0.2), ONE_ANSWER_RULE),
    (lambda observed: answer(observed, 502, b"", 0.2), None),
    (lambda observed: observed.record_unsolicited(1), ONE_ANSWER_RULE),
    (lambda observed: attempt_again(observed, True, "closed"), None),
    (lambda observed: attempt_again(observed, True, "closed, seen late"), None),
    (lambda observed: attempt_again(observed, True, "closed after"), NO_OVERLAP_RULE),
    (lambda observed: attempt_again(observed, True, "open"), NO_OVERLAP_RULE),
    (lambda observed: attempt_again(observed, False, "rejected"), None),
    (lambda observed: attempt_again(observed, False, "closed"), UNSAFE_ONCE_RULE),
    (lambda observed: refuse_after_attempt(observed, "rejected"), None),
    (lambda observed: refuse_after_attempt(observed, "closed"), UNSAFE_ONCE_RULE),
    (lambda observed: attempt_after_drain(observed, 2.04), None),
    (lambda observed: attempt_after_drain(observed, 2.06), DRAIN_RULE),
    (lambda observed: serve_many(observed, "hard", 9, 0.0), None),
    (lambda observed: serve_many(observed, "hard", 10, 0.0), QUOTA_RULE),
    (lambda observed: serve_many(observed, "quota", 20, 0.5), None),
    (lambda observed: serve_many(observed, "quota", 20, 0.25), QUOTA_RULE),
    (lambda observed: refuse_share(observed, 429, 4, 0.1), None),
    (lambda observed: refuse_share(observed, 429, 4, 0.11), WITHIN_QUOTA_RULE),
    (lambda observed: refuse_share(observed, 429, 2, 0.11), WITHIN_QUOTA_RULE),
    (lambda observed: refuse_share(observed, 429, 1, 0.5), None),
    (lambda observed: refuse_share(observed, 503, 4, 0.5), None),
]


@pytest.mark.parametrize("scene, broken", CASES)
def test_each_violation_is_found(scene, broken):
    observed = ObservedRules()
    scene(observed)
    observed.evaluate(10.0, 0.0)
    assert set(observed.broken) == ({broken} - {None})


def test_a_delay_within_the_observed_lateness_is_no_violation():
    observed = ObservedRules()
    attempt_after_drain(observed, 2.3)
    observed.evaluate(10.0, 0.3)
    assert not observed.broken
