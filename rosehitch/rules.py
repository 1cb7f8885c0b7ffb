"""The rules of the protocol, checked from outside: by what clients and backends saw alone.

Every call comes with its time, in seconds of one clock that never goes backwards. What a process on a busy
machine saw late is allowed for when the rules are judged: `Rules.evaluate` is told how late it ever was.
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

WIDER_S = 0.05  # every time limit is so much longer on sockets than in the settings
CEILING_WIDER_S = 0.15  # of its rate, by which the slack of a ceiling is wider on sockets
ANSWER_LATE_S = 0.5  # past a request's time, up to which an answer only earns nothing
# so much later the end of a connection may be seen than what was sent after it on another
OBSERVATION_DELAY_S = 0.05
BEYOND_SHARE = 0.1  # of the units sent on, that may go beyond quotas: they are counted by odds, not by rule
INSIDE_SHARE = 0.1  # of the requests, that may be refused for a quota with half of its store left: as many
INSIDE_LEFT = 0.5  # of a store: with that left, a customer is inside its quota
BEYOND_QUOTA = 429  # the refusal for a quota
REFUSALS = (BEYOND_QUOTA, 503)


@dataclass(slots=True)
class Store:
    """Of one customer: fills at `rate` units a second up to `most`."""

    rate: float
    most: float
    level: float
    at: float

    def draw(self, units: float, at: float) -> float:
        """What is left in it, below 0 where it holds less than that."""
        self.level = min(self.most, self.level + self.rate * max(0.0, at - self.at)) - units
        self.at = max(self.at, at)
        return self.level


@dataclass(slots=True)
class Attempt:
    request: str
    backend: str
    at: float  # its last byte
    ran: bool = True  # it may have: only an answer that it was turned away tells that it did not
    answered: bool = False
    closed_at: float | None = None  # its connection ended without an answer


@dataclass(slots=True)
class Request:
    customer: str
    plan: str
    safe: bool
    last_s: float  # when its client stops to wait
    attempts: list[Attempt] = field(default_factory=list)
    body: bytes | None = None  # of the last backend that served it
    answered: bool = False


class Rules:
    """What broke, by rule: `broken` once `evaluate` was called. `plans` are the settings' objects, by name.

    Requests are kept until the end: an attempt may come after the answer.
    """

    def __init__(self, plans: Mapping[str, dict], drain_s: float):
        self.broken: Counter[str] = Counter()
        self.examples: dict[str, str] = {}  # the first of each
        self._plans, self._drain_s = plans, drain_s
        self._requests: dict[str, Request] = {}
        self._told: dict[str, float] = {}
        self._late: list[tuple[float, str, str]] = []  # by how many seconds over its limit; rule, example
        self._twice: list[tuple[Attempt, Attempt]] = []  # an attempt and a second that came while it was out
        self._ceilings: dict[str, Store] = {}
        self._quotas: dict[str, Store] = {}
        self.units: Counter[str] = Counter()  # sent on, by plan
        self.beyond: Counter[str] = Counter()  # of these, by how much quotas were overdrawn
        self.inside: Counter[str] = (
            Counter()
        )  # requests refused for a quota with half of its store left, by plan

    def record_request(self, name: str, customer: str, plan: str, safe: bool, last_s: float) -> None:
        self._requests[name] = Request(customer, plan, safe, last_s)

    def record_response(self, name: str, status: int, body: bytes, at: float) -> None:
        """A client's request came to its end; status 0 is a connection that ended with no whole answer."""
        request = self._requests[name]
        if not status:
            self.add_violation(ONE_ANSWER_RULE, f"{name} got none: its connection ended")
        elif status == 200 and body != request.body:
            self.add_violation(ONE_ANSWER_RULE, f"{name} was served what no backend made for it")
        elif status in REFUSALS and not request.safe and any(attempt.ran for attempt in request.attempts):
            self.add_violation(
                UNSAFE_ONCE_RULE, f"{name} was refused as harmless to repeat, and may have run"
            )
        if status == BEYOND_QUOTA:
            self._refused(request, at)
        request.answered = True
        self._limit(at - request.last_s - ANSWER_LATE_S, ONE_ANSWER_RULE, f"{name} was answered too late")

    def withdraw_request(self, name: str) -> None:
        """Its client has taken a request back that was not read, and sends it once more by another name."""
        self._requests[name].answered = True

    def record_unsolicited(self, count: int) -> None:
        """So often an answer came to which no request was out."""
        if count:
            self.add_violation(ONE_ANSWER_RULE, f"{count} came with no request out")

    def record_attempt(self, name: str, backend: str, began: float, at: float) -> Attempt:
        """An attempt reached a backend: when its first and its last byte came."""
        attempt = Attempt(name, backend, at)
        request = self._requests.get(name)
        if request is None:
            self.add_violation(ONE_ANSWER_RULE, f"{name} at {backend}: nobody asked for it")
            return attempt
        if not request.attempts:
            self._draw(request, name, at)
        for before in request.attempts:
            if before.ran and not request.safe:
                self.add_violation(UNSAFE_ONCE_RULE, f"{name} at {before.backend}, then at {backend}")
            if not before.answered and before.closed_at is None:
                self._twice.append((before, attempt))
        if backend in self._told:
            self._limit(
                began - self._told[backend] - self._drain_s - WIDER_S, DRAIN_RULE, f"{name} at {backend}"
            )
        request.attempts.append(attempt)
        return attempt

    def record_served(self, attempt: Attempt, body: bytes) -> None:
        attempt.answered = True
        if attempt.request in self._requests:
            self._requests[attempt.request].body = body

    def record_rejected(self, attempt: Attempt) -> None:
        attempt.answered, attempt.ran = True, False

    def record_connection_end(self, attempt: Attempt, at: float) -> None:
        """The connection of an attempt ended."""
        if not attempt.answered and attempt.closed_at is None:
            attempt.closed_at = at

    def record_backend_leaving(self, backend: str, at: float) -> None:
        """All gateways were told that a backend drains or is gone."""
        self._told.setdefault(backend, at)

    def evaluate(self, at: float, late_s: float) -> None:
        """Judge. `late_s`: what was seen may have happened so much earlier, and no more."""
        for name, request in self._requests.items():
            if not request.answered and at > request.last_s + ANSWER_LATE_S + late_s:
                self.add_violation(ONE_ANSWER_RULE, f"{name} got none")
        for over_s, rule, example in self._late:
            if over_s > late_s:
                self.add_violation(rule, f"{example}, {over_s:.3f} s over the limit")
        for plan, units in self.units.items():
            if self.beyond[plan] > BEYOND_SHARE * units:
                self.add_violation(
                    QUOTA_RULE, f"{self.beyond[plan]:.1f} of {units} units of {plan} beyond its quotas"
                )
        refused = sum(self.inside.values())
        if refused > INSIDE_SHARE * len(self._requests):
            self.add_violation(
                WITHIN_QUOTA_RULE, f"{refused} of {len(self._requests)} requests with half of the store left"
            )
        for before, attempt in self._twice:
            if before.closed_at is None or before.closed_at > attempt.at + OBSERVATION_DELAY_S + late_s:
                self.add_violation(
                    NO_OVERLAP_RULE, f"{before.request} at {before.backend} and at {attempt.backend}"
                )

    def add_violation(self, rule: str, example: str) -> None:
        self.broken[rule] += 1
        self.examples.setdefault(rule, example)

    def _draw(self, request: Request, name: str, at: float) -> None:
        """The units of a request's first attempt, from its quota and under its ceiling."""
        plan, key = self._plans[request.plan], f"{request.plan}/{request.customer}"
        self.units[request.plan] += 1
        store = self._quota(request, at)
        if store is not None:
            if store.draw(1.0, at) < 0.0:
                self.beyond[request.plan] += min(1.0, -store.level)
                store.level = 0.0
        if rate := plan.get("hardRate"):
            most = plan["ceilingBurst"]
            store = self._ceilings.setdefault(key, Store(rate, most, most, at))
            short = -store.draw(1.0, at) - plan["tolerance"]
            self._limit(short / rate - CEILING_WIDER_S, QUOTA_RULE, f"{key}, by {name}")

    def _quota(self, request: Request, at: float) -> Store | None:
        """Of the request's customer, full at first; none where its plan has no quota."""
        plan = self._plans[request.plan]
        if not plan.get("unitsPerS"):
            return None
        full = Store(plan["unitsPerS"], plan["depth"], plan["depth"], at)
        return self._quotas.setdefault(f"{request.plan}/{request.customer}", full)

    def _refused(self, request: Request, at: float) -> None:
        """For its quota: whether its customer was inside it."""
        store = self._quota(request, at)
        if store is not None and store.draw(0.0, at) >= INSIDE_LEFT * store.most:
            self.inside[request.plan] += 1

    def _limit(self, over_s: float, rule: str, example: str) -> None:
        if over_s > 0.0:
            self._late.append((over_s, rule, example))
