"""The rules of the protocol, checked only by what clients and backends observe.

All times are in seconds on one monotonic clock. On a busy machine observations are late; `Rules.evaluate`
takes the worst lateness and tolerates it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

ONE_ANSWER_RULE = "one final answer each"
NO_OVERLAP_RULE = "never two attempts of a request at once"
UNSAFE_ONCE_RULE = "unsafe never twice"
DRAIN_RULE = "nothing new to a backend that was told to drain"
QUOTA_RULE = "quotas kept within what the plans allow"
WITHIN_QUOTA_RULE = "customers inside their quotas not refused for them"
RULES = (ONE_ANSWER_RULE, NO_OVERLAP_RULE, UNSAFE_ONCE_RULE, DRAIN_RULE, QUOTA_RULE, WITHIN_QUOTA_RULE)

SOCKET_TOLERANCE_S = 0.05  # added to every time limit of the settings on sockets
CEILING_TOLERANCE_S = 0.15  # added tolerance of a ceiling on sockets, as the units of its rate in this time
LATE_ANSWER_S = 0.5  # how long past its deadline a request's answer may come
# The end of a connection may be observed this much later than data sent after it on another connection.
OBSERVATION_DELAY_S = 0.05
MAX_BEYOND_QUOTA_SHARE = 0.1  # of the units sent; quotas shared by all gateways are not enforced exactly
MAX_REFUSED_INSIDE_SHARE = 0.1  # of the requests, refused for a quota though the customer is inside it
INSIDE_LEVEL_SHARE = 0.5  # of a bucket: a customer with this much left is inside its quota
QUOTA_EXCEEDED_STATUS = 429  # status of a refusal for a quota
REFUSAL_STATUSES = (QUOTA_EXCEEDED_STATUS, 503)


@dataclass(slots=True)
class TokenBucket:
    """The token bucket of one customer, refilled at `rate` units per second up to `capacity`."""

    rate: float
    capacity: float
    level: float
    at: float

    def withdraw(self, units: float, at: float) -> float:
        """Take units and return the new level, which is negative if there were too few."""
        self.level = min(self.capacity, self.level + self.rate * max(0.0, at - self.at)) - units
        self.at = max(self.at, at)
        return self.level


@dataclass(slots=True)
class Attempt:
    """An attempt of a request that reached a backend."""

    request: str
    backend: str
    received_at: float  # when its last byte arrived
    may_have_run: bool = True  # False only once the backend has rejected it
    answered: bool = False
    closed_at: float | None = None  # when its connection ended without an answer


@dataclass(slots=True)
class Request:
    """A request of a client, with its attempts."""

    customer: str
    plan: str
    safe: bool
    deadline: float  # when its client gives up
    attempts: list[Attempt] = field(default_factory=list)
    body: bytes | None = None  # of the latest answer by a backend
    answered: bool = False


class Rules:
    """Collects observations and, once `evaluate` was called, the violations: `broken` counts them by rule.

    `plans`: the plans of the gateways' settings by name; `drain_grace_s`: how long a gateway may go on
    sending to a backend that leaves. Requests are kept to the end, as an attempt may arrive after the
    answer.
    """

    def __init__(self, plans: Mapping[str, dict], drain_grace_s: float):
        self.broken: Counter[str] = Counter()
        self.examples: dict[str, str] = {}  # the first violation of each rule
        self._plans, self._drain_grace_s = plans, drain_grace_s
        self._requests: dict[str, Request] = {}
        self._leaving_since: dict[str, float] = {}
        self._limit_excesses: list[tuple[float, str, str]] = []  # seconds over a time limit, rule, example
        # An attempt, and another of its request that arrived while it was open.
        self._overlaps: list[tuple[Attempt, Attempt]] = []
        self._ceiling_buckets: dict[str, TokenBucket] = {}
        self._quota_buckets: dict[str, TokenBucket] = {}
        self.units_sent: Counter[str] = Counter()  # sent to backends, by plan
        self.beyond_quota: Counter[str] = Counter()  # units by which quotas were overdrawn, by plan
        # Requests refused for a quota though INSIDE_LEVEL_SHARE of the bucket was left, by plan.
        self.refused_inside_quota: Counter[str] = Counter()

    def record_request(self, name: str, customer: str, plan: str, safe: bool, deadline: float) -> None:
        """A client sends a request, for whose answer it waits until `deadline`."""
        self._requests[name] = Request(customer, plan, safe, deadline)

    def record_response(self, name: str, status: int, body: bytes, at: float) -> None:
        """A request ended; status 0 means that its connection ended without a complete answer."""
        request = self._requests[name]
        if not status:
            self.add_violation(ONE_ANSWER_RULE, f"{name} got no answer: its connection ended")
        elif status == 200 and body != request.body:
            self.add_violation(ONE_ANSWER_RULE, f"{name} was served a body that no backend sent for it")
        elif (
            status in REFUSAL_STATUSES
            and not request.safe
            and any(attempt.may_have_run for attempt in request.attempts)
        ):
            self.add_violation(UNSAFE_ONCE_RULE, f"{name} was refused though it may have run")
        if status == QUOTA_EXCEEDED_STATUS:
            self._count_quota_refusal(request, at)
        request.answered = True
        self._check_limit(
            at - request.deadline - LATE_ANSWER_S, ONE_ANSWER_RULE, f"{name} was answered too late"
        )

    def withdraw_request(self, name: str) -> None:
        """A client withdraws a request that was not read, to send it again under another id."""
        self._requests[name].answered = True

    def record_unsolicited(self, count: int) -> None:
        """`count` answers arrived that belong to no request."""
        if count:
            self.add_violation(ONE_ANSWER_RULE, f"{count} answers arrived without an open request")

    def record_attempt(self, name: str, backend: str, began_at: float, at: float) -> Attempt:
        """An attempt reached a backend: its first byte at `began_at`, its last byte at `at`."""
        attempt = Attempt(name, backend, at)
        request = self._requests.get(name)
        if request is None:
            self.add_violation(ONE_ANSWER_RULE, f"{name} at {backend}: no client sent it")
            return attempt
        if not request.attempts:
            self._charge(request, name, at)
        for earlier in request.attempts:
            if earlier.may_have_run and not request.safe:
                self.add_violation(UNSAFE_ONCE_RULE, f"{name} at {earlier.backend}, then at {backend}")
            if not earlier.answered and earlier.closed_at is None:
                self._overlaps.append((earlier, attempt))
        if backend in self._leaving_since:
            self._check_limit(
                began_at - self._leaving_since[backend] - self._drain_grace_s - SOCKET_TOLERANCE_S,
                DRAIN_RULE,
                f"{name} at {backend}",
            )
        request.attempts.append(attempt)
        return attempt

    def record_served(self, attempt: Attempt, body: bytes) -> None:
        """The backend answers an attempt with this body."""
        attempt.answered = True
        if attempt.request in self._requests:
            self._requests[attempt.request].body = body

    def record_rejected(self, attempt: Attempt) -> None:
        """The backend rejects an attempt without running it."""
        attempt.answered, attempt.may_have_run = True, False

    def record_connection_end(self, attempt: Attempt, at: float) -> None:
        """The connection of an attempt ended."""
        if not attempt.answered and attempt.closed_at is None:
            attempt.closed_at = at

    def record_backend_leaving(self, backend: str, at: float) -> None:
        """All gateways were informed that a backend drains or is gone."""
        self._leaving_since.setdefault(backend, at)

    def evaluate(self, at: float, lateness_s: float) -> None:
        """Check the rules at the end of a run.

        `lateness_s`: by how many seconds observations were late at most.
        """
        for name, request in self._requests.items():
            if not request.answered and at > request.deadline + LATE_ANSWER_S + lateness_s:
                self.add_violation(ONE_ANSWER_RULE, f"{name} got no answer")
        for excess_s, rule, example in self._limit_excesses:
            if excess_s > lateness_s:
                self.add_violation(rule, f"{example}, {excess_s:.3f} s over the limit")
        for plan, units in self.units_sent.items():
            if self.beyond_quota[plan] > MAX_BEYOND_QUOTA_SHARE * units:
                self.add_violation(
                    QUOTA_RULE, f"{self.beyond_quota[plan]:.1f} of {units} units of {plan} beyond its quotas"
                )
        refused = sum(self.refused_inside_quota.values())
        if refused > MAX_REFUSED_INSIDE_SHARE * len(self._requests):
            self.add_violation(
                WITHIN_QUOTA_RULE,
                f"{refused} of {len(self._requests)} requests refused with half of the quota left",
            )
        for earlier, attempt in self._overlaps:
            if (
                earlier.closed_at is None
                or earlier.closed_at > attempt.received_at + OBSERVATION_DELAY_S + lateness_s
            ):
                self.add_violation(
                    NO_OVERLAP_RULE, f"{earlier.request} at {earlier.backend} and at {attempt.backend}"
                )

    def add_violation(self, rule: str, example: str) -> None:
        """Count a violation, and keep the first example of each rule."""
        self.broken[rule] += 1
        self.examples.setdefault(rule, example)

    def _charge(self, request: Request, name: str, at: float) -> None:
        """Charge a request's first attempt to its customer's quota and ceiling."""
        plan, key = self._plans[request.plan], f"{request.plan}/{request.customer}"
        self.units_sent[request.plan] += 1
        bucket = self._quota_bucket(request, at)
        if bucket is not None:
            if bucket.withdraw(1.0, at) < 0.0:
                self.beyond_quota[request.plan] += min(1.0, -bucket.level)
                bucket.level = 0.0
        if rate := plan.get("hardRate"):
            capacity = plan["ceilingBurst"]
            bucket = self._ceiling_buckets.setdefault(key, TokenBucket(rate, capacity, capacity, at))
            shortage = -bucket.withdraw(1.0, at) - plan["tolerance"]
            self._check_limit(shortage / rate - CEILING_TOLERANCE_S, QUOTA_RULE, f"{key}, by {name}")

    def _quota_bucket(self, request: Request, at: float) -> TokenBucket | None:
        """The quota bucket of the request's customer, full at first; None if its plan has no quota."""
        plan = self._plans[request.plan]
        if not plan.get("unitsPerS"):
            return None
        full = TokenBucket(plan["unitsPerS"], plan["depth"], plan["depth"], at)
        return self._quota_buckets.setdefault(f"{request.plan}/{request.customer}", full)

    def _count_quota_refusal(self, request: Request, at: float) -> None:
        """Count a request refused for its quota if its customer was inside it."""
        bucket = self._quota_bucket(request, at)
        if bucket is not None and bucket.withdraw(0.0, at) >= INSIDE_LEVEL_SHARE * bucket.capacity:
            self.refused_inside_quota[request.plan] += 1

    def _check_limit(self, excess_s: float, rule: str, example: str) -> None:
        if excess_s > 0.0:
            self._limit_excesses.append((excess_s, rule, example))
