"""The demo's rules, by what clients and backends would have seen: each is found broken where it is."""

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
DRAIN_S, LAST_S = 1.0, 2.0


class Seen(Rules):
    def __init__(self):
        super().__init__(PLANS, DRAIN_S)

    def ask(self, name, safe=True, plan="free", last_s=LAST_S):
        self.record_request(name, "c", plan, safe, last_s)

    def reach(self, name, backend="a", at=0.1, began=None):
        return self.record_attempt(name, backend, at if began is None else began, at)

    def serve(self, attempt, at=0.2):
        body = attempt.request.encode()
        self.record_served(attempt, body)
        self.record_response(attempt.request, 200, body, at)

    def one(self, name, plan="free", at=0.1):
        self.ask(name, plan=plan, last_s=at + LAST_S)
        self.serve(self.reach(name, at=at), at)


def again(seen, safe, how):
    """A second attempt after a first that ended thus."""
    seen.ask("r", safe=safe)
    first = seen.reach("r")
    if how == "closed":
        seen.record_connection_end(first, 0.15)
    elif how == "turned away":
        seen.record_rejected(first)
    second = seen.reach("r", "b", 0.2)
    if how == "closed, seen late":
        seen.record_connection_end(first, 0.2 + rules.OBSERVATION_DELAY_S)
    elif how == "closed after":
        seen.record_connection_end(first, 0.21 + rules.OBSERVATION_DELAY_S)
    seen.serve(second, 0.3)


def refused(seen, how):
    seen.ask("r", safe=False)
    first = seen.reach("r")
    (seen.record_rejected(first) if how == "turned away" else seen.record_connection_end(first, 0.15))
    seen.record_response("r", 503, b"", 0.2)


def drained(seen, began):
    seen.record_backend_leaving("a", 1.0)
    seen.ask("r")
    seen.serve(seen.reach("r", at=began + 0.5, began=began), LAST_S)


def answered(seen, status, body, at):
    seen.ask("r")
    seen.record_served(seen.reach("r"), b"theirs")
    seen.record_response("r", status, body, at)


def flood(seen, plan, count, each_s):
    for n in range(count):
        seen.one(f"r{n}", plan, n * each_s)


def turned_down(seen, status, level, share):
    """A customer whose store holds so much is refused so often, of 100 requests; the others have no quota."""
    for n in range(4 - level):
        seen.one(f"spent{n}", "quota", 0.1)
    for n in range(100):
        refused = n < 100 * share
        seen.ask(f"r{n}", plan="quota" if refused else "free")
        if refused:
            seen.record_response(f"r{n}", status, b"", 0.2)
        else:
            seen.serve(seen.reach(f"r{n}", at=0.2), 0.2)


CASES = [
    (lambda s: s.one("r"), None),
    (lambda s: s.ask("r"), ONE_ANSWER_RULE),
    (lambda s: s.reach("r"), ONE_ANSWER_RULE),
    (lambda s: answered(s, 200, b"theirs", 2.4), None),
    (lambda s: answered(s, 200, b"theirs", 2.6), ONE_ANSWER_RULE),
    (lambda s: answered(s, 200, b"ours", 0.2), ONE_ANSWER_RULE),
    (lambda s: answered(s, 0, b"", 0.2), ONE_ANSWER_RULE),
    (lambda s: answered(s, 502, b"", 0.2), None),
    (lambda s: s.record_unsolicited(1), ONE_ANSWER_RULE),
    (lambda s: again(s, True, "closed"), None),
    (lambda s: again(s, True, "closed, seen late"), None),
    (lambda s: again(s, True, "closed after"), NO_OVERLAP_RULE),
    (lambda s: again(s, True, "out"), NO_OVERLAP_RULE),
    (lambda s: again(s, False, "turned away"), None),
    (lambda s: again(s, False, "closed"), UNSAFE_ONCE_RULE),
    (lambda s: refused(s, "turned away"), None),
    (lambda s: refused(s, "closed"), UNSAFE_ONCE_RULE),
    (lambda s: drained(s, 2.04), None),
    (lambda s: drained(s, 2.06), DRAIN_RULE),
    (lambda s: flood(s, "hard", 9, 0.0), None),
    (lambda s: flood(s, "hard", 10, 0.0), QUOTA_RULE),
    (lambda s: flood(s, "quota", 20, 0.5), None),
    (lambda s: flood(s, "quota", 20, 0.25), QUOTA_RULE),
    (lambda s: turned_down(s, 429, 4, 0.1), None),
    (lambda s: turned_down(s, 429, 4, 0.11), WITHIN_QUOTA_RULE),
    (lambda s: turned_down(s, 429, 2, 0.11), WITHIN_QUOTA_RULE),
    (lambda s: turned_down(s, 429, 1, 0.5), None),
    (lambda s: turned_down(s, 503, 4, 0.5), None),
]


@pytest.mark.parametrize("scene, broken", CASES)
def test_a_rule_is_found_broken_where_it_is(scene, broken):
    seen = Seen()
    scene(seen)
    seen.evaluate(10.0, 0.0)
    assert set(seen.broken) == ({broken} - {None})


def test_what_may_have_been_seen_late_does_not_count_as_late():
    seen = Seen()
    drained(seen, 2.3)
    seen.evaluate(10.0, 0.3)
    assert not seen.broken
