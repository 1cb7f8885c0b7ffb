"""A backend as one gateway sees it: its own attempts there and the latency observed."""

from __future__ import annotations

from . import interface as io

LATENCY_HALF_LIFE_MS = 4000.0  # of a backend's deviation from the mean latency


class TrackedBackend:
    """A process listed by discovery. A restarted process is tracked by a new object.

    Times are on the gateway's own clock, in ms. `usable` and `pool_index` are maintained by `BackendPool`;
    `first_heard_at`, `max_age_ms` and `started_at` by `StartTimes`; `cold_tokens` and `cold_refilled_at` by
    `ColdPacer`.
    """

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

    def __init__(self, entry: io.Backend, now: float, initial_tokens: float):
        self.id, self.usable = entry.id, False
        self.open_attempts: dict[tuple[str, int], float] = {}  # when sent, by request and attempt
        self.latency_ms = self.latency_at = self.last_heard_at = 0.0
        self.has_failed, self.start_ms = False, entry.started_ms
        self.first_heard_at = self.max_age_ms = self.started_at = 0.0
        self.unusable_responses = 0  # consecutive, since the last good response
        # A random part of a request, as a whole one from each of many gateways could overload the backend.
        self.cold_tokens, self.cold_refilled_at = initial_tokens, now

    def update(self, entry: io.Backend) -> None:
        """Takes over the listed fields that may change while the process runs."""
        self.zone, self.cell, self.weight = entry.zone, entry.cell, max(entry.weight, 1e-3)

    def expected_ms(self, now: float, mean_ms: float) -> float:
        """Returns the expected latency in ms: the observed one, which decays to the mean of all backends.

        It is no less than the time for which the backend has been silent with an attempt in progress.
        """
        latency_ms = mean_ms
        if self.latency_ms:
            latency_ms += (self.latency_ms - mean_ms) * 0.5 ** (
                (now - self.latency_at) / LATENCY_HALF_LIFE_MS
            )
        if self.open_attempts:
            return max(latency_ms, now - max(self.last_heard_at, next(iter(self.open_attempts.values()))))
        return latency_ms
