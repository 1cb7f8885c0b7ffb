"""What the quotas truly hold: each customer's store over the whole fleet, kept by who sees everything."""

from __future__ import annotations

from cobaltline import interface as io

EXACT = 1e-9  # units; under this, a store holds what is asked


class Store:
    """A token bucket: fills at `rate` units a second, holds `burst` units at most, starts full."""

    __slots__ = ("rate", "burst", "level", "at")

    def __init__(self, rate: float, burst: float, now: float):
        self.rate, self.burst, self.level, self.at = rate, burst, burst, now

    def fill(self, now: float) -> float:
        """Its level now, in units."""
        self.level = min(self.burst, self.level + self.rate * (now - self.at) / 1000.0)
        self.at = now
        return self.level

    def take(self, now: float, units: float) -> bool:
        """Whether it holds the units, which it then gives."""
        if self.fill(now) < units - EXACT:
            return False
        self.level -= units
        return True


class Account:
    """One customer: what was truly sent on, and what a single gateway would have let in."""

    __slots__ = ("plan", "_quota", "_asked", "_ceiling", "in_flight")

    def __init__(self, plan: io.Plan, now: float):
        self.plan = plan
        self._quota = Store(plan.rate, plan.burst, now)
        self._asked = Store(plan.rate, plan.burst, now)
        self._ceiling = Store(plan.ceiling_rate, plan.ceiling_burst, now) if plan.ceiling_rate else None
        self.in_flight = 0  # attempts out

    def admits_first_try(self, now: float, units: float) -> bool:
        """A first try has come; whether one gateway that saw all of these would let it in."""
        return self._asked.take(now, units)

    def take_quota(self, now: float, units: float) -> bool:
        """A try is sent on for the first time; whether it is inside the quota, whose units it then takes."""
        if self.plan.max_concurrency and self.in_flight >= self.plan.max_concurrency:
            return False
        return self._quota.take(now, units)

    def exceeds_ceiling(self, now: float, units: float) -> bool:
        """The same try, against the ceiling: it draws whether there is room or not."""
        if self._ceiling is None:
            return False
        self._ceiling.level = self._ceiling.fill(now) - units
        return self._ceiling.level < -self.plan.ceiling_tolerance - EXACT

    def headroom(self, now: float, units: float) -> tuple[bool, bool]:
        """A try is refused: whether it was inside each quota, and half of each was unused besides."""
        limit = self.plan.max_concurrency
        left = self._quota.fill(now) - units
        fits = left >= -EXACT and (not limit or self.in_flight < limit)
        return fits, fits and left >= self.plan.burst / 2.0 and (not limit or self.in_flight <= limit / 2.0)
