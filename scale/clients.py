"""Simulated clients: first tries in an open loop, drawn in advance, and the retries that follow refusals."""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random

import numpy as np

from cobaltline import interface as io

MAX_UNITS = 8  # of a request
TABLE_REQUESTS_PER_S = 1.36  # request rate of each customer of the mix "table"
UNITS_PER_MEAN_REQUEST = 1.7  # units of a request with mean work, before rounding and limiting
# Ranges of a customer's demand, as a multiple of its plan's rate. Spikes come on top of the calm demand.
CALM_USE_RANGE, FULL_USE_RANGE = (0.16, 0.4), (0.85, 1.0)
HEAVY_USE_RANGE, SPIKE_USE_RANGE = (1.9, 4.3), (3.7, 7.7)
# Ranges of the shares of customers with these habits; all others are calm.
FULL_SHARE_RANGE, HEAVY_SHARE_RANGE, SPIKY_SHARE_RANGE = (0.1, 0.19), (0.09, 0.13), (0.12, 0.22)
SPIKE_DURATION_RANGE_S, SPIKE_INTERVAL_RANGE_S = (1.2, 4.9), (15.0, 25.0)
SKEW_RANGE = (0.2, 1.2)  # s: the k-th gateway of a customer's set gets requests in proportion to 1 / k**s
SHIFT_INTERVAL_RANGE_S = (10.0, 23.0)  # after which the ranks of the gateways in the sets change
MAX_RETRIES = 2
BACKOFF_RANGE_MS = (25.0, 200.0)  # before the first retry; doubles with each further one
HONOURED_RETRY_AFTER_SHARE = 0.5  # share of the retries that wait as long as `Retry-After` says
# Until the load balancer in front notices that a gateway is down; 0.86 to 3.4 s at the site.
DOWN_DETECTION_MS = 1500.0
OTHER_GATEWAY_SHARE = 0.3  # share of the retries that go to a random gateway of the set


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A class of requests, its share of all requests, and the lognormal distribution of their work.

    `work_ms` is the mean processor time of a request, `cv` the coefficient of variation.
    """

    request_class: io.RequestClass
    share: float
    work_ms: float
    cv: float


REQUEST_KINDS = (
    RequestKind(
        io.RequestClass("check-photo", 1200.0, 5000.0, io.Idempotency.SAFE, worth=3.0), 0.55, 127.0, 1.1
    ),
    RequestKind(
        io.RequestClass("file-result", 500.0, 1500.0, io.Idempotency.UNSAFE, worth=2.0), 0.45, 78.0, 0.8
    ),
)
MEAN_WORK_MS = sum(kind.share * kind.work_ms for kind in REQUEST_KINDS)


@dataclass(frozen=True, slots=True)
class PlanShare:
    """A plan and the share of its customers in the demand within quotas."""

    plan: io.Plan
    share: float


def calm_plans(rng: np.random.Generator) -> tuple[PlanShare, ...]:
    """Returns three plans with random rates and bursts; the largest has a ceiling and a concurrency limit."""
    plan_shares = []
    for name, share, rate, burst_s, price, cost in (
        ("basico", 0.3, (1.6, 2.7), (3.2, 5.5), 0.72, 0.6),
        ("estandar", 0.44, (7.9, 14.0), (1.1, 2.7), 1.1, 0.6),
        ("ampliado", 0.26, (31.0, 55.0), (1.3, 2.5), 1.4, 0.8),
    ):
        plan_rate = float(rng.uniform(*rate))
        burst = max(2.0 * MAX_UNITS, plan_rate * float(rng.uniform(*burst_s)))
        plan_shares.append(PlanShare(io.Plan(name, plan_rate, burst, price=price, overrun_cost=cost), share))
    top = plan_shares[-1].plan
    ceiling_factor = float(rng.uniform(1.7, 2.4))
    concurrency = max(
        2, int(np.ceil(rng.uniform(2.0, 3.2) * top.rate / UNITS_PER_MEAN_REQUEST * MEAN_WORK_MS / 1000.0))
    )
    ceiling_burst = max(4.0 * MAX_UNITS, top.burst * ceiling_factor)
    plan_shares[-1] = replace(
        plan_shares[-1],
        plan=replace(
            top,
            max_concurrency=concurrency,
            ceiling_rate=top.rate * ceiling_factor,
            ceiling_burst=ceiling_burst,
            ceiling_tolerance=max(0.1 * ceiling_burst, float(MAX_UNITS)),
        ),
    )
    return tuple(plan_shares)


def table_plan() -> tuple[PlanShare, ...]:
    """Returns one plan with four times the rate that its customers use and a burst of two seconds.

    A request of its customers has one unit.
    """
    rate = 4.0 * TABLE_REQUESTS_PER_S
    return (PlanShare(io.Plan("table", rate, 2.0 * rate, overrun_cost=0.6), 1.0),)


class Try:
    """One try of a client's request, at one gateway.

    `request` is the request id, a new one for each try. `number` counts the tries of a client's request from
    0. `inside` says whether the first try was within the quota, `within_quota` whether this one was when it
    was first sent to a backend. Times are in ms.
    """

    __slots__ = (
        "request",
        "customer",
        "kind",
        "units",
        "work_ms",
        "first_at",
        "arrived_ms",
        "deadline_ms",
        "number",
        "inside",
        "within_quota",
        "done",
        "attempt_count",
        "in_flight_attempts",
        "may_have_run",
        "worth",
        "gateway",
    )

    def __init__(self, request: str, customer: int, kind: int, units: float, work_ms: float, now_ms: float):
        self.request, self.customer, self.kind = request, customer, kind
        self.units, self.work_ms, self.first_at = units, work_ms, now_ms
        self.deadline_ms = now_ms + REQUEST_KINDS[kind].request_class.timeout_ms
        self.number = 0
        self.inside = False
        self._reset(now_ms)

    def _reset(self, now_ms: float) -> None:
        self.arrived_ms, self.done, self.may_have_run = now_ms, False, False
        self.within_quota = False
        self.attempt_count, self.in_flight_attempts = 0, {}
        self.gateway = -1

    def retry(self, request: str, now_ms: float) -> Try:
        """Returns the next try of the same client request, with a new request id."""
        next_try = Try(request, self.customer, self.kind, self.units, self.work_ms, self.first_at)
        next_try.number, next_try.inside, next_try.worth = self.number + 1, self.inside, self.worth
        next_try.arrived_ms = now_ms
        return next_try


class Clients:
    """All customers of a world and their requests.

    `world` provides the clock, the gateways and the record. The random generator of NumPy draws customers and
    first tries in advance; `rng` draws retries while the simulation runs.
    """

    def __init__(
        self, world, plan_shares: tuple[PlanShare, ...], numpy_rng: np.random.Generator, rng: Random
    ):
        self._world, self._rng = world, rng
        options = world.options
        self._skew = numpy_rng.uniform(*SKEW_RANGE)
        self._draw_customers(plan_shares, numpy_rng)
        self._draw_arrivals(numpy_rng, options.seconds)
        self._request_count = 0
        self._leave_share = options.leave
        if len(self._arrival_times_ms):
            world.clock.call_at(self._arrival_times_ms[0], self._send_first_try, 0)

    # Customers and first tries, drawn in advance.

    def _draw_customers(self, plan_shares: tuple[PlanShare, ...], numpy_rng: np.random.Generator) -> None:
        options = self._world.options
        varied = options.mix == "calm"
        units = UNITS_PER_MEAN_REQUEST if varied else 1.0
        habit_share = np.array(
            [
                numpy_rng.uniform(*SPIKY_SHARE_RANGE),
                numpy_rng.uniform(*HEAVY_SHARE_RANGE),
                numpy_rng.uniform(*FULL_SHARE_RANGE),
            ]
        )
        habit_shares = [1.0 - habit_share.sum(), *habit_share] if varied else [1.0, 0.0, 0.0, 0.0]
        # Mean use of the quota by habit; a spike takes the burst first and then the rate.
        mean_use = np.dot(habit_shares, [0.28, 0.4, 1.0, 0.92]) if varied else 0.25
        units_per_s = options.rate_per_s * units
        counts = [
            max(1, round(units_per_s * entry.share / (entry.plan.rate * mean_use))) for entry in plan_shares
        ]
        if options.customers and not varied:
            # The total demand stays, each customer's use of its quota changes.
            counts = [options.customers]
        elif options.customers:
            # The total demand and the use of quotas stay, the quotas change.
            quota_factor = sum(counts) / options.customers
            counts = [max(1, round(count / quota_factor)) for count in counts]
            plan_shares = tuple(
                replace(
                    entry,
                    plan=replace(
                        entry.plan,
                        rate=entry.plan.rate * quota_factor,
                        burst=max(2.0 * MAX_UNITS, entry.plan.burst * quota_factor),
                    ),
                )
                for entry in plan_shares
            )
        self.plans = {entry.plan.name: entry.plan for entry in plan_shares}
        self._customer_plans, self._set_starts, self._set_sizes, self._request_rates, spikes = (
            [],
            [],
            [],
            [],
            [],
        )
        low, high = options.spread
        for plan_share, count in zip(plan_shares, counts, strict=True):
            plan = plan_share.plan
            max_spread = min(high, options.gateways)
            # The protocol limits the set so that the ceiling holds two of the largest requests per gateway.
            if plan.ceiling_rate:
                max_spread = min(max_spread, max(2, int(plan.ceiling_burst / (2 * MAX_UNITS))))
            spread = numpy_rng.integers(min(low, max_spread), max_spread + 1, count)
            habit_index = numpy_rng.choice(4, count, p=habit_shares)
            use = np.choose(
                habit_index,
                [
                    numpy_rng.uniform(*CALM_USE_RANGE, count),
                    numpy_rng.uniform(*CALM_USE_RANGE, count),
                    numpy_rng.uniform(*HEAVY_USE_RANGE, count),
                    numpy_rng.uniform(*FULL_USE_RANGE, count),
                ],
            )
            if not varied:
                use = np.full(count, units_per_s / count / plan.rate)
            first_index = len(self._customer_plans)
            spikes += [
                (first_index + int(offset), plan.rate / units) for offset in np.flatnonzero(habit_index == 1)
            ]
            self._customer_plans += [plan] * count
            # If only a part of the fleet is simulated, no set wraps around its end.
            start_limits = (
                options.gateways - spread + 1 if options.fleet else np.full(count, options.gateways)
            )
            self._set_starts += numpy_rng.integers(0, start_limits).tolist()
            self._set_sizes += spread.tolist()
            self._request_rates += (use * plan.rate / units).tolist()
        self._spike_customers = spikes
        self._customer_keys = [
            f"{int(key):016x}" for key in numpy_rng.integers(0, 2**33, len(self._customer_plans))
        ]
        self.customers = len(self._customer_plans)

    def _draw_arrivals(self, numpy_rng: np.random.Generator, seconds: float) -> None:
        """Draws the first tries: a Poisson process per customer, spread over its set with changing
        weights."""
        counts = numpy_rng.poisson(np.array(self._request_rates) * seconds)
        customer_parts = [np.repeat(np.arange(len(counts)), counts)]
        time_parts_s = [numpy_rng.uniform(0.0, seconds, int(counts.sum()))]
        for number, rate in self._spike_customers:
            begin_s = numpy_rng.uniform(-5.0, SPIKE_INTERVAL_RANGE_S[1])
            while begin_s < seconds:
                end_s = min(seconds, begin_s + numpy_rng.uniform(*SPIKE_DURATION_RANGE_S))
                duration_s = max(0.0, end_s - max(0.0, begin_s))
                count = numpy_rng.poisson(numpy_rng.uniform(*SPIKE_USE_RANGE) * rate * duration_s)
                customer_parts.append(np.full(count, number))
                time_parts_s.append(
                    numpy_rng.uniform(max(0.0, begin_s), max(0.0, begin_s) + duration_s, count)
                )
                begin_s += numpy_rng.uniform(*SPIKE_INTERVAL_RANGE_S)
        times_s, arrival_customers = np.concatenate(time_parts_s), np.concatenate(customer_parts)
        order = np.argsort(times_s, kind="stable")
        times_s, arrival_customers = times_s[order], arrival_customers[order]
        total = len(times_s)
        # Gateway within the set: a rank drawn by weight, rotated by the customer's current offset.
        spread = np.array(self._set_sizes)[arrival_customers]
        rank = np.zeros(total, dtype=np.int64)
        for size in np.unique(spread):
            weights = np.arange(1, size + 1, dtype=float) ** -self._skew
            of_size = spread == size
            drawn = np.searchsorted(np.cumsum(weights) / weights.sum(), numpy_rng.random(int(of_size.sum())))
            rank[of_size] = np.minimum(drawn, size - 1)
        shift_interval_s = numpy_rng.uniform(*SHIFT_INTERVAL_RANGE_S)
        rotations = numpy_rng.integers(0, 1 << 30, (self.customers, int(seconds / shift_interval_s) + 1))
        position = (rank + rotations[arrival_customers, (times_s / shift_interval_s).astype(int)]) % spread
        self._arrival_gateways = (
            (np.array(self._set_starts)[arrival_customers] + position) % self._world.options.gateways
        ).tolist()
        kind = numpy_rng.choice(len(REQUEST_KINDS), total, p=[entry.share for entry in REQUEST_KINDS])
        mean_work_ms, work_cv = (
            np.array([entry.work_ms for entry in REQUEST_KINDS])[kind],
            np.array([entry.cv for entry in REQUEST_KINDS])[kind],
        )
        sigma = np.sqrt(np.log1p(work_cv**2))
        work_ms = mean_work_ms * np.exp(sigma * numpy_rng.standard_normal(total) - sigma**2 / 2.0)
        units = np.clip(np.round(UNITS_PER_MEAN_REQUEST * work_ms / MEAN_WORK_MS), 1, MAX_UNITS)
        self._arrival_units = (units if self._world.options.mix == "calm" else np.ones(total)).tolist()
        self._arrival_times_ms = (self._world.start_ms + times_s * 1000.0).tolist()
        self._arrival_customers, self._arrival_kinds, self._arrival_work_ms = (
            arrival_customers.tolist(),
            kind.tolist(),
            work_ms.tolist(),
        )

    # The simulation.

    def _next_request_id(self) -> str:
        self._request_count += 1
        return f"r{self._request_count}"

    def _send_first_try(self, number: int) -> None:
        world = self._world
        now_ms, customer = world.clock.now, self._arrival_customers[number]
        if number + 1 < len(self._arrival_times_ms):
            world.clock.call_at(self._arrival_times_ms[number + 1], self._send_first_try, number + 1)
        client_try = Try(
            self._next_request_id(),
            customer,
            self._arrival_kinds[number],
            self._arrival_units[number],
            self._arrival_work_ms[number],
            now_ms,
        )
        plan = self._customer_plans[customer]
        client_try.worth = REQUEST_KINDS[client_try.kind].request_class.worth * plan.price * client_try.units
        client_try.inside = world.account_of(customer, plan).admits_first_try(now_ms, client_try.units)
        world.record.first_tries += 1
        if client_try.inside:
            world.record.worth_asked += client_try.worth
            second = world.second_at(now_ms)
            second.asked += client_try.worth
            second.asked_by_plan[plan.name] += client_try.worth
        self._send_try(client_try, self._arrival_gateways[number])

    def _send_try(self, client_try: Try, gateway: int) -> None:
        world, plan = self._world, self._customer_plans[client_try.customer]
        world.record.tries += 1
        world.record.tries_by_plan[plan.name] += 1
        world.second_at(world.clock.now).tries += 1
        if self._leave_share and self._rng.random() < self._leave_share:
            world.clock.call_at(world.clock.now + self._rng.uniform(0.0, 200.0), self._disconnect, client_try)
        client_try.gateway = gateway = self._choose_gateway(client_try.customer, gateway)
        event = io.RequestArrived(
            client_try.request,
            self._customer_keys[client_try.customer],
            plan.name,
            REQUEST_KINDS[client_try.kind].request_class.name,
            client_try.deadline_ms,
            client_try.units,
            self._set_starts[client_try.customer],
            self._set_sizes[client_try.customer],
        )
        if not world.gateways[gateway].handle_request(client_try, event):
            self.handle_outcome(client_try, "unreachable")

    def _choose_gateway(self, customer: int, gateway: int) -> int:
        """Returns the gateway, or the next one of the customer's set that is not known to be down.

        The load balancer notices DOWN_DETECTION_MS after a gateway's end that it is down.
        """
        world = self._world
        first, spread, count = self._set_starts[customer], self._set_sizes[customer], world.options.gateways
        for offset in range(spread):
            candidate = (first + (gateway - first + offset) % count % spread) % count
            if world.gateways[candidate].died_at > world.clock.now - DOWN_DETECTION_MS:
                return candidate
        return gateway

    def _disconnect(self, client_try: Try) -> None:
        if not client_try.done:
            self._world.gateways[client_try.gateway].client_disconnected(client_try)
            self._world.record.abandoned += 1

    def handle_outcome(self, client_try: Try, outcome: str, retry_after_ms: float = 0.0) -> None:
        """Records the end of a try and schedules a retry where the client makes one.

        The outcome is `served`, `refused` or `failed` (the gateway's final answer), `lost` (the gateway has
        died) or `unreachable` (no gateway accepted the try).
        """
        world = self._world
        now_ms = world.clock.now
        if outcome == "served":
            world.record.served += 1
            world.record.answered.record_value(max(1, int((now_ms - client_try.first_at) * 1000.0)))
            if now_ms - client_try.first_at > REQUEST_KINDS[client_try.kind].request_class.target_latency_ms:
                world.record.served_late += 1
            elif client_try.inside:
                world.record.worth_served += client_try.worth
                second = world.second_at(client_try.first_at)
                second.served += client_try.worth
                second.served_by_plan[self._customer_plans[client_try.customer].name] += client_try.worth
            return
        safe = REQUEST_KINDS[client_try.kind].request_class.idempotency is io.Idempotency.SAFE
        if client_try.number >= MAX_RETRIES or not safe and outcome not in ("refused", "unreachable"):
            return
        wait_ms = self._rng.uniform(*BACKOFF_RANGE_MS) * 2.0**client_try.number
        if retry_after_ms and self._rng.random() < HONOURED_RETRY_AFTER_SHARE:
            wait_ms = max(wait_ms, retry_after_ms)
        if now_ms + wait_ms < client_try.deadline_ms:
            gateway, spread = client_try.gateway, self._set_sizes[client_try.customer]
            if outcome in ("unreachable", "lost") or self._rng.random() < OTHER_GATEWAY_SHARE:
                gateway = (
                    self._set_starts[client_try.customer] + self._rng.randrange(spread)
                ) % world.options.gateways
            world.clock.call_at(now_ms + wait_ms, self._send_retry, client_try, gateway)

    def _send_retry(self, client_try: Try, gateway: int) -> None:
        self._send_try(client_try.retry(self._next_request_id(), self._world.clock.now), gateway)
