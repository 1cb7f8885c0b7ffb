"""Stand-ins for clients: an open loop of first tries drawn ahead, and the tries that refusals bring."""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random

import numpy as np

from cobaltline import interface as io

# A day's classes and plans, within the ranges of the site that the bench plays.
MAX_UNITS = 8
TABLE_PER_S = 1.36  # requests a second of a customer of the table
UNITS_A_MEAN = 1.7  # units of a request of mean work, before they are rounded and bounded
CALM_USE, FULL_USE = (0.16, 0.4), (0.85, 1.0)  # of the rate, asked all day
HEAVY_USE, SPIKE_USE = (1.9, 4.3), (3.7, 7.7)
FULL, HEAVY, SPIKY = (0.1, 0.19), (0.09, 0.13), (0.12, 0.22)  # shares of the customers
SPIKE_S, SPIKE_EVERY_S = (1.2, 4.9), (15.0, 25.0)
SKEW = (0.2, 1.2)  # a customer's requests over its set: the k-th gateway gets 1 / k to this power
SHIFT_S = (10.0, 23.0)  # between two changes of which gateway that is
RETRIES = 2  # further tries of one request
BACKOFF_MS = (25.0, 200.0)  # before the first of them; doubles
HONOUR = 0.5  # of the clients wait as long as `Retry-After` says
NOTICE_MS = 1500.0  # until the front has seen that a gateway is down; the site draws 0.86 to 3.4 s
ELSEWHERE = 0.3  # of the further tries come in at another gateway of the set


@dataclass(frozen=True, slots=True)
class Kind:
    """A class of requests: its share of them, and the work of one (lognormal, in ms of a core)."""

    request_class: io.RequestClass
    share: float
    work_ms: float
    cv: float


REQUEST_KINDS = (
    Kind(io.RequestClass("check-photo", 1200.0, 5000.0, io.Idempotency.SAFE, worth=3.0), 0.55, 127.0, 1.1),
    Kind(io.RequestClass("file-result", 500.0, 1500.0, io.Idempotency.UNSAFE, worth=2.0), 0.45, 78.0, 0.8),
)
MEAN_WORK_MS = sum(kind.share * kind.work_ms for kind in REQUEST_KINDS)


@dataclass(frozen=True, slots=True)
class Tariff:
    """A plan, its share of what is asked inside quotas, and which mix of habits its customers have."""

    plan: io.Plan
    share: float


def calm_plans(rng: np.random.Generator) -> tuple[Tariff, ...]:
    """The three plans of the site, drawn from its ranges."""
    found = []
    for name, share, rate, burst_s, price, cost in (
        ("basico", 0.3, (1.6, 2.7), (3.2, 5.5), 0.72, 0.6),
        ("estandar", 0.44, (7.9, 14.0), (1.1, 2.7), 1.1, 0.6),
        ("ampliado", 0.26, (31.0, 55.0), (1.3, 2.5), 1.4, 0.8),
    ):
        drawn = float(rng.uniform(*rate))
        burst = max(2.0 * MAX_UNITS, drawn * float(rng.uniform(*burst_s)))
        found.append(Tariff(io.Plan(name, drawn, burst, price=price, overrun_cost=cost), share))
    top = found[-1].plan
    times = float(rng.uniform(1.7, 2.4))
    out = max(2, int(np.ceil(rng.uniform(2.0, 3.2) * top.rate / UNITS_A_MEAN * MEAN_WORK_MS / 1000.0)))
    ceiling_burst = max(4.0 * MAX_UNITS, top.burst * times)
    found[-1] = replace(
        found[-1],
        plan=replace(
            top,
            max_concurrency=out,
            ceiling_rate=top.rate * times,
            ceiling_burst=ceiling_burst,
            ceiling_tolerance=max(0.1 * ceiling_burst, float(MAX_UNITS)),
        ),
    )
    return tuple(found)


def table_plan() -> tuple[Tariff, ...]:
    """One plan for customers that use a quarter of it, at one unit a request and a burst of two seconds."""
    rate = 4.0 * TABLE_PER_S
    return (Tariff(io.Plan("table", rate, 2.0 * rate, overrun_cost=0.6), 1.0),)


class Try:
    """One try of a request, at one gateway. `request` is its id, fresh for each."""

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

    def __init__(self, request: str, customer: int, kind: int, units: float, work_ms: float, now: float):
        self.request, self.customer, self.kind = request, customer, kind
        self.units, self.work_ms, self.first_at = units, work_ms, now
        self.deadline_ms = now + REQUEST_KINDS[kind].request_class.timeout_ms
        self.number = 0  # of this try among those of its request
        self.inside = False  # what the first try asked was inside the quota
        self._again(now)

    def _again(self, now: float) -> None:
        self.arrived_ms, self.done, self.may_have_run = now, False, False
        self.within_quota = False  # sent on inside the quota
        self.attempt_count, self.in_flight_attempts = 0, {}
        self.gateway = -1

    def again(self, request: str, now: float) -> Try:
        other = Try(request, self.customer, self.kind, self.units, self.work_ms, self.first_at)
        other.number, other.inside, other.worth = self.number + 1, self.inside, self.worth
        other.arrived_ms = now
        return other


class Clients:
    """All customers of a world and what they ask. `world` has the clock, the gateways and the record."""

    def __init__(self, world, tariffs: tuple[Tariff, ...], draw: np.random.Generator, rng: Random):
        self._world, self._rng = world, rng
        o = world.options
        self._skew = draw.uniform(*SKEW)
        self._draw_customers(tariffs, draw)
        self._draw_arrivals(draw, o.seconds)
        self._number = 0
        self._leave = o.leave
        if len(self._at):
            world.clock.call_at(self._at[0], self._arrive, 0)

    # What is drawn ahead.

    def _draw_customers(self, tariffs: tuple[Tariff, ...], draw: np.random.Generator) -> None:
        o = self._world.options
        habits = o.mix == "calm"
        units = UNITS_A_MEAN if habits else 1.0
        share = np.array([draw.uniform(*SPIKY), draw.uniform(*HEAVY), draw.uniform(*FULL)])
        odds = [1.0 - share.sum(), *share] if habits else [1.0, 0.0, 0.0, 0.0]
        # Used inside the quota on average: a spike takes what the store holds and then the rate.
        inside = np.dot(odds, [0.28, 0.4, 1.0, 0.92]) if habits else 0.25
        asked = o.rate_per_s * units
        counts = [max(1, round(asked * t.share / (t.plan.rate * inside))) for t in tariffs]
        if o.customers and not habits:  # as many as told, who use more or less of the same quota
            counts = [o.customers]
        elif o.customers:  # whose quotas are larger or smaller, and their use as it was
            factor = sum(counts) / o.customers
            counts = [max(1, round(count / factor)) for count in counts]
            tariffs = tuple(
                replace(
                    t,
                    plan=replace(
                        t.plan, rate=t.plan.rate * factor, burst=max(2.0 * MAX_UNITS, t.plan.burst * factor)
                    ),
                )
                for t in tariffs
            )
        self.plans = {t.plan.name: t.plan for t in tariffs}
        self._plan, self._first, self._spread, self._rate, spikes = [], [], [], [], []
        low, high = o.spread
        for tariff, count in zip(tariffs, counts, strict=True):
            plan = tariff.plan
            most = min(high, o.gateways)
            if plan.ceiling_rate:  # the protocol: no more than its ceiling bears
                most = min(most, max(2, int(plan.ceiling_burst / (2 * MAX_UNITS))))
            spread = draw.integers(min(low, most), most + 1, count)
            habit = draw.choice(4, count, p=odds)
            use = np.choose(
                habit,
                [
                    draw.uniform(*CALM_USE, count),
                    draw.uniform(*CALM_USE, count),
                    draw.uniform(*HEAVY_USE, count),
                    draw.uniform(*FULL_USE, count),
                ],
            )
            if not habits:
                use = np.full(count, asked / count / plan.rate)
            base = len(self._plan)
            spikes += [(base + int(n), plan.rate / units) for n in np.flatnonzero(habit == 1)]
            self._plan += [plan] * count
            # Where only a part of the fleet is played, no set lies across its end.
            firsts = o.gateways - spread + 1 if o.fleet else np.full(count, o.gateways)
            self._first += draw.integers(0, firsts).tolist()
            self._spread += spread.tolist()
            self._rate += (use * plan.rate / units).tolist()
        self._spikes = spikes
        self._key = [f"{int(key):016x}" for key in draw.integers(0, 2**33, len(self._plan))]
        self.customers = len(self._plan)

    def _draw_arrivals(self, draw: np.random.Generator, seconds: float) -> None:
        """Poisson, at each customer's own rate; and over its set, with weights that shift now and then."""
        counts = draw.poisson(np.array(self._rate) * seconds)
        customer = [np.repeat(np.arange(len(counts)), counts)]
        at = [draw.uniform(0.0, seconds, int(counts.sum()))]
        for number, rate in self._spikes:
            begin = draw.uniform(-5.0, SPIKE_EVERY_S[1])
            while begin < seconds:
                end = min(seconds, begin + draw.uniform(*SPIKE_S))
                length = max(0.0, end - max(0.0, begin))
                found = draw.poisson(draw.uniform(*SPIKE_USE) * rate * length)
                customer.append(np.full(found, number))
                at.append(draw.uniform(max(0.0, begin), max(0.0, begin) + length, found))
                begin += draw.uniform(*SPIKE_EVERY_S)
        times, who = np.concatenate(at), np.concatenate(customer)
        order = np.argsort(times, kind="stable")
        times, who = times[order], who[order]
        total = len(times)
        # Which of the set: ranks by their weights, turned by as much as the customer's present shift says.
        spread = np.array(self._spread)[who]
        rank = np.zeros(total, dtype=np.int64)
        for size in np.unique(spread):
            weights = np.arange(1, size + 1, dtype=float) ** -self._skew
            mine = spread == size
            found = np.searchsorted(np.cumsum(weights) / weights.sum(), draw.random(int(mine.sum())))
            rank[mine] = np.minimum(found, size - 1)
        every = draw.uniform(*SHIFT_S)
        turns = draw.integers(0, 1 << 30, (self.customers, int(seconds / every) + 1))
        place = (rank + turns[who, (times / every).astype(int)]) % spread
        self._gateway = ((np.array(self._first)[who] + place) % self._world.options.gateways).tolist()
        kind = draw.choice(len(REQUEST_KINDS), total, p=[k.share for k in REQUEST_KINDS])
        means, cvs = (
            np.array([k.work_ms for k in REQUEST_KINDS])[kind],
            np.array([k.cv for k in REQUEST_KINDS])[kind],
        )
        sigma = np.sqrt(np.log1p(cvs**2))
        work = means * np.exp(sigma * draw.standard_normal(total) - sigma**2 / 2.0)
        sized = np.clip(np.round(UNITS_A_MEAN * work / MEAN_WORK_MS), 1, MAX_UNITS)
        self._units = (sized if self._world.options.mix == "calm" else np.ones(total)).tolist()
        self._at = (self._world.start_ms + times * 1000.0).tolist()
        self._who, self._kind, self._work = who.tolist(), kind.tolist(), work.tolist()

    # The day.

    def _name(self) -> str:
        self._number += 1
        return f"r{self._number}"

    def _arrive(self, number: int) -> None:
        w = self._world
        now, who = w.clock.now, self._who[number]
        if number + 1 < len(self._at):
            w.clock.call_at(self._at[number + 1], self._arrive, number + 1)
        t = Try(self._name(), who, self._kind[number], self._units[number], self._work[number], now)
        plan = self._plan[who]
        t.worth = REQUEST_KINDS[t.kind].request_class.worth * plan.price * t.units
        t.inside = w.account_of(who, plan).admits_first_try(now, t.units)
        w.record.first_tries += 1
        if t.inside:
            w.record.worth_asked += t.worth
            second = w.second_at(now)
            second.asked += t.worth
            second.asked_by_plan[plan.name] += t.worth
        self._go(t, self._gateway[number])

    def _go(self, t: Try, gateway: int) -> None:
        w, plan = self._world, self._plan[t.customer]
        w.record.tries += 1
        w.record.tries_by_plan[plan.name] += 1
        w.second_at(w.clock.now).tries += 1
        if self._leave and self._rng.random() < self._leave:
            w.clock.call_at(w.clock.now + self._rng.uniform(0.0, 200.0), self._go_away, t)
        t.gateway = gateway = self._front(t.customer, gateway)
        event = io.RequestArrived(
            t.request,
            self._key[t.customer],
            plan.name,
            REQUEST_KINDS[t.kind].request_class.name,
            t.deadline_ms,
            t.units,
            self._first[t.customer],
            self._spread[t.customer],
        )
        if not w.gateways[gateway].handle_request(t, event):
            self.handle_outcome(t, "unreachable")

    def _front(self, customer: int, gateway: int) -> int:
        """Where the front sees a gateway down, the next of the customer's set that it does not."""
        w = self._world
        first, spread, count = self._first[customer], self._spread[customer], w.options.gateways
        for turn in range(spread):
            found = (first + (gateway - first + turn) % count % spread) % count
            if w.gateways[found].died_at > w.clock.now - NOTICE_MS:
                return found
        return gateway

    def _go_away(self, t: Try) -> None:
        if not t.done:
            self._world.gateways[t.gateway].client_disconnected(t)
            self._world.record.abandoned += 1

    def handle_outcome(self, t: Try, how: str, retry_after_ms: float = 0.0) -> None:
        """The try has its final answer: `served`, `refused` or `failed`; or `lost` with its gateway; or the
        gateway was `unreachable`."""
        w = self._world
        now = w.clock.now
        if how == "served":
            w.record.served += 1
            w.record.answered.record_value(max(1, int((now - t.first_at) * 1000.0)))
            if now - t.first_at > REQUEST_KINDS[t.kind].request_class.target_latency_ms:
                w.record.served_late += 1
            elif t.inside:
                w.record.worth_served += t.worth
                second = w.second_at(t.first_at)
                second.served += t.worth
                second.served_by_plan[self._plan[t.customer].name] += t.worth
            return
        safe = REQUEST_KINDS[t.kind].request_class.idempotency is io.Idempotency.SAFE
        if t.number >= RETRIES or not safe and how not in ("refused", "unreachable"):
            return
        wait = self._rng.uniform(*BACKOFF_MS) * 2.0**t.number
        if retry_after_ms and self._rng.random() < HONOUR:
            wait = max(wait, retry_after_ms)
        if now + wait < t.deadline_ms:
            gateway, spread = t.gateway, self._spread[t.customer]
            if how in ("unreachable", "lost") or self._rng.random() < ELSEWHERE:
                gateway = (self._first[t.customer] + self._rng.randrange(spread)) % w.options.gateways
            w.clock.call_at(now + wait, self._once_more, t, gateway)

    def _once_more(self, t: Try, gateway: int) -> None:
        self._go(t.again(self._name(), self._world.clock.now), gateway)
