"""The exact quota of each customer over the whole fleet, computed from a global view of all requests."""

from __future__ import annotations

from cobaltline import interface as io

ROUNDING_UNITS = 1e-9  # tolerance for rounding errors when units are compared


class TokenBucket:
    """A token bucket that starts full, fills at `rate` units per second and holds at most `burst` units."""

    __slots__ = ("rate", "burst", "level", "updated_ms")

    def __init__(self, rate: float, burst: float, now_ms: float):
        self.rate, self.burst, self.level, self.updated_ms = rate, burst, burst, now_ms

    def fill(self, now_ms: float) -> float:
        """Adds the units accrued since the last call and returns the level in units."""
        self.level = min(self.burst, self.level + self.rate * (now_ms - self.updated_ms) / 1000.0)
        self.updated_ms = now_ms
        return self.level

    def take(self, now_ms: float, units: float) -> bool:
        """Takes the units if the bucket holds them; returns whether it did."""
        if self.fill(now_ms) < units - ROUNDING_UNITS:
            return False
        self.level -= units
        return True


class Account:
    """The exact quota, ceiling and concurrency of one customer.

    Two buckets have the quota's rate: one counts tries that were sent to a backend, the other all first
    tries, as a single gateway would that sees every request of the customer.
    """

    __slots__ = ("plan", "_quota", "_first_try_quota", "_ceiling", "in_flight")

    def __init__(self, plan: io.Plan, now_ms: float):
        self.plan = plan
        self._quota = TokenBucket(plan.rate, plan.burst, now_ms)
        self._first_try_quota = TokenBucket(plan.rate, plan.burst, now_ms)
        self._ceiling = (
            TokenBucket(plan.ceiling_rate, plan.ceiling_burst, now_ms) if plan.ceiling_rate else None
        )
        self.in_flight = 0  # attempts that have not ended

    def admits_first_try(self, now_ms: float, units: float) -> bool:
        """Records a first try; returns whether a single gateway that sees every request would admit it."""
        return self._first_try_quota.take(now_ms, units)

    def take_quota(self, now_ms: float, units: float) -> bool:
        """Records the first attempt of a try; returns whether it is within the quota and, if so, takes its
        units."""
        if self.plan.max_concurrency and self.in_flight >= self.plan.max_concurrency:
            return False
        return self._quota.take(now_ms, units)

    def exceeds_ceiling(self, now_ms: float, units: float) -> bool:
        """Draws the units of a try from the ceiling, also below zero; returns whether the tolerance is
        exceeded."""
        if self._ceiling is None:
            return False
        self._ceiling.level = self._ceiling.fill(now_ms) - units
        return self._ceiling.level < -self.plan.ceiling_tolerance - ROUNDING_UNITS

    def headroom(self, now_ms: float, units: float) -> tuple[bool, bool]:
        """Returns whether a try fits into every quota, and whether half of each quota is unused besides."""
        limit = self.plan.max_concurrency
        units_left = self._quota.fill(now_ms) - units
        has_room = units_left >= -ROUNDING_UNITS and (not limit or self.in_flight < limit)
        return has_room, has_room and units_left >= self.plan.burst / 2.0 and (
            not limit or self.in_flight <= limit / 2.0
        )
