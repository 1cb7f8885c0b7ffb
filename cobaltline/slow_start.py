"""Slow start: estimates when backends started, and limits what a backend is sent while it is cold.

Discovery lists the start of each backend as Unix time. The wall clocks of the gateway and of the backends'
machines may be stepped, so a listed start time is used only as far as nothing contradicts it.

**Backends that appear while the gateway runs.** A start time that differs from the last one, earlier or
later, means another process. That process is no older than the delay of discovery and any outage of discovery
before allow. If the listed start time says otherwise, or lies in the future, the backend is taken to have
started just now. From then on its age is measured by the gateway's own clock, so no backend is cold for
longer than the settings say.

**Backends on the first list.** They may be as old as their start times say. The most recent starts are taken
to be as recent as the list allows, unless those backends are the majority: the others can then carry the
load.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random
from typing import Protocol

from . import interface as io
from .fleet_time import FleetTime

DISCOVERY_DELAY_MS = 10000.0  # the longest delay with which discovery reports a start
MIN_OFFSET_CHANGE_MS = 50.0  # of the fleet's time; starts are estimated again after a larger one
MAX_DEPARTED_COUNT = 4096  # backends that left and whose starts are remembered
# The rate of cold backends is computed as if at least this factor times the recently usable backends, divided
# by the overload multiple, were usable: the few that remain can't take over the load of many at once.
RECENT_COUNT_FACTOR = 1.5
MAX_SAVED_TOKENS = 1.5  # capacity of the token bucket of a cold backend, in requests


class DatedBackend(Protocol):
    """What `StartTimes` reads and writes of a backend. Times are in ms."""

    id: str
    start_ms: float  # the listed start, as Unix time
    first_heard_at: float  # when the process was first listed, by the gateway's own clock
    max_age_ms: float  # how old it can have been then
    started_at: float  # the estimated start, by the gateway's own clock; minus infinity = long ago


class StartTimes:
    """Estimates the starts of backends (`started_at`) on this gateway's own clock, in ms."""

    def __init__(self, settings: io.Settings, fleet_time: FleetTime):
        self._cold_ms, self._cold_from = settings.cold_ms, settings.cold_from
        self._fleet_time = fleet_time
        self._dated_offset_ms = fleet_time.offset_ms  # the offset with which starts were estimated
        self._newest_start_ms = 0.0  # on the first list, if few backends started about then
        self._departed: dict[str, tuple[float, float]] = {}  # listed and estimated starts, by id

    def load_first_list(self, backends: Iterable[io.Backend]) -> None:
        """Takes the first list, from which the most recent start is determined."""
        starts_ms = [backend.started_ms for backend in backends]
        newest_ms = max(starts_ms, default=0.0)
        young_count = sum(1 for start_ms in starts_ms if start_ms > newest_ms - self._cold_ms)
        if newest_ms > 0.0 and 2 * young_count < len(starts_ms):
            self._newest_start_ms = newest_ms

    def record_start(self, backend: DatedBackend, now: float, max_age_ms: float) -> None:
        """Estimates the start of a process that is listed for the first time.

        `max_age_ms` is how old it can be at most; infinity for processes on the first list.
        """
        backend.first_heard_at, backend.max_age_ms = now, max_age_ms
        departed_start_ms, started_at = self._departed.pop(backend.id, (None, 0.0))
        if departed_start_ms == backend.start_ms:
            backend.started_at = started_at
        else:
            self._estimate_start(backend)

    def _estimate_start(self, backend: DatedBackend) -> None:
        if backend.start_ms <= 0.0 or self._cold_ms <= 0.0:
            backend.started_at = -math.inf
            return
        age_ms = backend.first_heard_at + self._fleet_time.offset_ms - backend.start_ms
        if not 0.0 <= age_ms <= backend.max_age_ms:
            age_ms = 0.0
        if backend.max_age_ms == math.inf and 0.0 < self._newest_start_ms < backend.start_ms + self._cold_ms:
            age_ms = min(age_ms, max(0.0, self._newest_start_ms - backend.start_ms))
        backend.started_at = backend.first_heard_at - age_ms

    def on_offset_changed(self, backends: Iterable[DatedBackend]) -> None:
        """Estimates all starts again if the fleet's time has moved by more than `MIN_OFFSET_CHANGE_MS`."""
        if abs(self._fleet_time.offset_ms - self._dated_offset_ms) > MIN_OFFSET_CHANGE_MS:
            self._dated_offset_ms = self._fleet_time.offset_ms
            for backend in backends:
                self._estimate_start(backend)

    def forget(self, backends: Iterable[DatedBackend]) -> None:
        """Remembers the starts of backends that left; one that returns with the same start is the same."""
        for backend in backends:
            self._departed[backend.id] = backend.start_ms, backend.started_at
        while len(self._departed) > MAX_DEPARTED_COUNT:
            del self._departed[next(iter(self._departed))]

    def warm_share(self, backend: DatedBackend, now: float) -> float:
        """Returns the share of its capacity that a backend has at least, from `cold_from` up to 1."""
        age_ms = now - backend.started_at
        if age_ms >= self._cold_ms:
            return 1.0
        return self._cold_from + (1.0 - self._cold_from) * age_ms / self._cold_ms


class PacedBackend(Protocol):
    """What `ColdPacer` reads and writes of a backend."""

    cold_tokens: float  # number of requests that it may be sent
    cold_refilled_at: float  # when `cold_tokens` was last computed, in ms


class ColdPacer:
    """Limits the rate at which a gateway sends to each cold backend, with a token bucket per backend.

    While warm backends are preferred, each gateway may save up a request for each cold backend. When warm
    backends leave, all gateways turn to the cold ones at once, and the sum of the saved requests could
    overload them. Only as many of the full buckets then keep their request as the backend's budget allows
    besides the rate. The others continue from a random part of a request, so that the refills of the fleet's
    buckets are spread evenly and their sum follows the rate at once.
    """

    def __init__(self, settings: io.Settings, random: Random):
        self._random = random
        self._last_departure_at = -math.inf  # when backends last left
        # The budget is `fall_multiple` times a backend's capacity during `fall_ms`. Of this the rate uses up
        # to one time the capacity, or more if it is computed over fewer backends than there were.
        spare_multiple = settings.fall_multiple - max(1.0, settings.fall_multiple / RECENT_COUNT_FACTOR)
        self._spare_budget_ms = max(0.0, spare_multiple) * settings.fall_ms
        self._saved_share = 1.0 / max(1, settings.gateways)  # keeps one saved request of the whole fleet

    def on_backends_left(self, now: float) -> None:
        """Records that backends became unusable, so that their load moves to the remaining ones."""
        self._last_departure_at = now

    def may_send(self, backend: PacedBackend, now: float, rate: float) -> bool:
        """Whether a request may be sent to a cold backend now; `rate` is in requests per ms."""
        if backend.cold_refilled_at < self._last_departure_at:
            self._refill(backend, self._last_departure_at, rate)
            if backend.cold_tokens >= 1.0 and self._random.random() >= self._kept_share(rate):
                backend.cold_tokens = self._random.random()
        self._refill(backend, now, rate)
        return backend.cold_tokens >= 1.0

    def _kept_share(self, rate: float) -> float:
        """Returns the share of the fleet's saved requests that fits into the budget."""
        return self._spare_budget_ms * rate + self._saved_share

    def _refill(self, backend: PacedBackend, at: float, rate: float) -> None:
        tokens = backend.cold_tokens + rate * (at - backend.cold_refilled_at)
        backend.cold_tokens, backend.cold_refilled_at = min(MAX_SAVED_TOKENS, tokens), at
