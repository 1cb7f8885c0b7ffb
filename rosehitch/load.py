"""The demo's load: its customers, their requests and the outcomes."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from hdrh.histogram import HdrHistogram

from scale.client import ConnectionPool, build_request

from .rules import REFUSAL_STATUSES, Rules

CLASSES = [
    {"name": "look", "idempotency": "safe", "promiseMs": 500.0, "giveUpMs": 2000.0, "worth": 1.0},
    {"name": "file", "idempotency": "unsafe", "promiseMs": 500.0, "giveUpMs": 2000.0, "worth": 1.0},
]
DEADLINE_S = 2.0  # of both classes, as giveUpMs above
SAFE_SHARE = 0.6  # of the requests; the others are unsafe
PLANS = {  # as in the gateways' settings
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
# Plan, number of customers, and requests per second of each. Some customers far exceed their quota.
DEMAND = (("small", 30, 0.8), ("small", 2, 6.0), ("large", 2, 12.0), ("large", 1, 50.0))
SPREAD = 2  # number of gateways in a customer's set
MAX_LATENCY_US, LATENCY_DIGITS = 60_000_000, 3  # range and precision of latency histograms

SERVED, REFUSED, FAILED, LOST = OUTCOMES = ("served", "refused", "failed", "lost")


def outcome_of(status: int) -> str:
    """The outcome of a request by its status; 0 means that its connection ended without an answer."""
    if status in REFUSAL_STATUSES:
        return REFUSED
    return SERVED if status == 200 else FAILED if status else LOST


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer with its plan and the first gateway of its set."""

    number: int
    plan: str
    first_gateway: int


@dataclass
class Tally:
    """The outcomes of a plan's requests.

    Latency covers served requests, from when each was due to the last byte of its answer.
    """

    request_count: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)  # keys are OUTCOMES
    latency_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, LATENCY_DIGITS))


class Load:
    """Open-loop load: requests arrive as a Poisson process, whether earlier ones were answered or not."""

    def __init__(self, gateways: list[tuple[str, int]], rules: Rules, random: Random):
        self._pools = [ConnectionPool(address) for address in gateways]
        self._rules, self._random, self._open_count = rules, random, 0
        self.tallies = {plan: Tally() for plan in PLANS}
        numbers = iter(range(1, 1 + sum(count for _, count, _ in DEMAND)))
        customers = [
            (Customer(number, plan, number % len(gateways)), rate)
            for plan, count, rate in DEMAND
            for number in (next(numbers) for _ in range(count))
        ]
        self._customers, self._rates = zip(*customers, strict=True)

    async def run(self, seconds: float) -> None:
        """Send requests for this long."""
        due = time.monotonic()
        end = due + seconds
        while (due := due + self._random.expovariate(sum(self._rates))) < end:
            if (wait_s := due - time.monotonic()) > 0.0:
                await asyncio.sleep(wait_s)
            self._send_request(due)

    async def wait_for_answers(self) -> None:
        """Wait until all requests are answered or overdue."""
        limit = time.monotonic() + 2 * DEADLINE_S
        while self._open_count and time.monotonic() < limit:
            await asyncio.sleep(0.01)

    def close(self) -> None:
        """Close all connections."""
        self._rules.record_unsolicited(sum(pool.unexpected_responses for pool in self._pools))
        for pool in self._pools:
            pool.close()

    def _send_request(self, due: float) -> None:
        [customer] = self._random.choices(self._customers, self._rates)
        safe = self._random.random() < SAFE_SHARE
        gateway = (customer.first_gateway + self._random.randrange(SPREAD)) % len(self._pools)
        name, tally = f"{self._random.getrandbits(64):016x}", self.tallies[customer.plan]

        def done(status: int, body: bytes) -> None:
            now = time.monotonic()
            self._open_count -= 1
            self._rules.record_response(name, status, body, now)
            tally.outcomes[outcome_of(status)] += 1
            if status == 200:
                tally.latency_us.record_value(min(MAX_LATENCY_US, max(1, int((now - due) * 1e6))))

        tally.request_count += 1
        self._open_count += 1
        self._rules.record_request(
            name, f"{customer.number:016x}", customer.plan, safe, time.monotonic() + DEADLINE_S
        )
        self._pools[gateway].send_request(
            build_request(
                customer.number,
                customer.plan,
                "look" if safe else "file",
                safe,
                name,
                SPREAD,
                customer.first_gateway,
                DEADLINE_S,
            ),
            done,
        )
