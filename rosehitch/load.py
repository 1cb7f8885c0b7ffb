"""The demo's customers: who asks what, how often and through which gateways, and what came of it."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from hdrh.histogram import HdrHistogram

from scale.client import ConnectionPool, build_request

from .rules import REFUSALS, Rules

CLASSES = [
    {"name": "look", "idempotency": "safe", "promiseMs": 500.0, "giveUpMs": 2000.0, "worth": 1.0},
    {"name": "file", "idempotency": "unsafe", "promiseMs": 500.0, "giveUpMs": 2000.0, "worth": 1.0},
]
DEADLINE_S = 2.0  # of both
SAFE_SHARE = 0.6  # of the requests
PLANS = {  # in the settings' form: units a second and at once, and what no customer may be sent beyond
    "small": {"name": "small", "unitsPerS": 2.0, "depth": 6.0},
    "large": {
        "name": "large",
        "unitsPerS": 20.0,
        "depth": 30.0,
        "hardRate": 30.0,
        "ceilingBurst": 45.0,
        "tolerance": 5.0,
    },
}
ASKS = (("small", 30, 0.8), ("small", 2, 6.0), ("large", 2, 12.0), ("large", 1, 50.0))
"""Plan, customers, and how many requests a second each asks for: some ask for far more than they have."""
SPREAD = 2  # gateways that a customer's requests come through
TOP_US, DIGITS = 60_000_000, 3  # a latency histogram's highest value, and its precision


SERVED, REFUSED, FAILED, LOST = ENDS = ("served", "refused", "failed", "lost")


def end_of(status: int) -> str:
    """Of a request; status 0 is a connection that ended."""
    if status in REFUSALS:
        return REFUSED
    return SERVED if status == 200 else FAILED if status else LOST


@dataclass(frozen=True, slots=True)
class Customer:
    number: int
    plan: str
    first: int  # gateway of its set


@dataclass
class Tally:
    """What came of a plan's requests. Latency in microseconds, from when a request was due to its answer's
    last byte, of those that were served."""

    asked: int = 0
    ends: Counter[str] = field(default_factory=Counter)  # by one of ENDS
    latency_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, TOP_US, DIGITS))


class Load:
    """Requests at random moments (a Poisson process), whether others were answered or not."""

    def __init__(self, gateways: list[tuple[str, int]], rules: Rules, random: Random):
        self._connections = [ConnectionPool(where) for where in gateways]
        self._rules, self._random, self._out = rules, random, 0
        self.tallies = {plan: Tally() for plan in PLANS}
        numbers = iter(range(1, 1 + sum(count for _, count, _ in ASKS)))
        customers = [
            (Customer(n, plan, n % len(gateways)), rate)
            for plan, count, rate in ASKS
            for n in (next(numbers) for _ in range(count))
        ]
        self._customers, self._weights = zip(*customers, strict=True)

    async def run(self, seconds: float) -> None:
        due = time.monotonic()
        end = due + seconds
        while (due := due + self._random.expovariate(sum(self._weights))) < end:
            if (wait_s := due - time.monotonic()) > 0.0:
                await asyncio.sleep(wait_s)
            self._ask(due)

    async def all_answered(self) -> None:
        """Once all are, or overdue."""
        limit = time.monotonic() + 2 * DEADLINE_S
        while self._out and time.monotonic() < limit:
            await asyncio.sleep(0.01)

    def close(self) -> None:
        self._rules.record_unsolicited(
            sum(connections.unexpected_responses for connections in self._connections)
        )
        for connections in self._connections:
            connections.close()

    def _ask(self, due: float) -> None:
        [customer] = self._random.choices(self._customers, self._weights)
        safe = self._random.random() < SAFE_SHARE
        gateway = (customer.first + self._random.randrange(SPREAD)) % len(self._connections)
        name, tally = f"{self._random.getrandbits(64):016x}", self.tallies[customer.plan]

        def done(status: int, body: bytes) -> None:
            now = time.monotonic()
            self._out -= 1
            self._rules.record_response(name, status, body, now)
            tally.ends[end_of(status)] += 1
            if status == 200:
                tally.latency_us.record_value(min(TOP_US, max(1, int((now - due) * 1e6))))

        tally.asked += 1
        self._out += 1
        self._rules.record_request(
            name, f"{customer.number:016x}", customer.plan, safe, time.monotonic() + DEADLINE_S
        )
        self._connections[gateway].send_request(
            build_request(
                customer.number,
                customer.plan,
                "look" if safe else "file",
                safe,
                name,
                SPREAD,
                customer.first,
                DEADLINE_S,
            ),
            done,
        )
