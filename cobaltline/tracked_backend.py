"""A backend as one gateway sees it: what it sent there, and what it learned of how long answers take."""

from __future__ import annotations

from . import interface as io

AVOID_HALF_MS = 4000.0  # half of what a backend was slower or faster than the mean is forgotten in this time


class TrackedBackend:
    __slots__ = (
        "id",
        "zone",
        "cell",
        "weight",
        "usable",
        "pool_index",
        "open_attempts",
        "latency_ms",
        "latency_at",
        "last_heard_at",
        "has_failed",
        "start_ms",
        "first_heard_at",
        "max_age_ms",
        "started_at",
        "unusable_responses",
        "cold_tokens",
        "cold_refilled_at",
    )

    def __init__(self, entry: io.Backend, now: float, turn: float):
        self.id, self.usable = entry.id, False
        self.open_attempts: dict[tuple[str, int], float] = {}  # attempts out, by time sent
        self.latency_ms = self.latency_at = self.last_heard_at = 0.0
        self.has_failed, self.start_ms = False, entry.started_ms
        self.first_heard_at = self.max_age_ms = self.started_at = 0.0  # kept by `StartTimes`
        self.unusable_responses = 0  # answers spoilt or broken off since the last good one
        # Part of a turn, drawn at random: one at once from each of many gateways would push it over.
        self.cold_tokens, self.cold_refilled_at = turn, now

    def update(self, entry: io.Backend) -> None:
        self.zone, self.cell, self.weight = entry.zone, entry.cell, max(entry.weight, 1e-3)

    def expected_ms(self, now: float, mean: float) -> float:
        """The latency to expect: what was seen here, fading into the mean of all backends."""
        latency = mean
        if self.latency_ms:
            latency += (self.latency_ms - mean) * 0.5 ** ((now - self.latency_at) / AVOID_HALF_MS)
        if self.open_attempts:
            return max(latency, now - max(self.last_heard_at, next(iter(self.open_attempts.values()))))
        return latency
