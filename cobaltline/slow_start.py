"""When backends started, by a clock of this gateway's own: a young one is cold, and gets less.

A list says when a backend last started, as Unix time. Wall clocks may be stepped, the gateway's own and those
of the machines that backends run on, so such a stamp is believed only as far as nothing contradicts it.

**What it knows.** A stamp that differs from the one before, earlier or later, is another process. What a
gateway hears while it runs started no longer ago than discovery tells late, and than discovery was silent
before: a stamp that says otherwise, or that lies ahead, is not believed, and the backend started just now.
From then on the gateway's own clock counts, so nothing is cold for longer than the settings say.

**What it can't know.** What was on the list at the gateway's start may be as old as its stamp says. The last
ones to start are taken for as young as the list allows, as long as they are fewer than the others: these can
bear the load meanwhile.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random
from typing import Protocol

from . import interface as io
from .fleet_time import FleetTime

DISCOVERY_DELAY_MS = 10000.0  # discovery tells of a start no later than that
MIN_OFFSET_CHANGE_MS = 50.0  # by which the fleet's time has to move before starts are dated anew
FORGOTTEN_MOST = 4096  # backends that left, of which the start is kept in mind
# The load of cold backends is worked out over so many of those usable of late, over the multiple that pushes
# one over, at least: few that are left can't bear at once what many did.
RECENT_COUNT_FACTOR = 1.5
SAVED_MOST = 1.5  # requests to a cold backend that a gateway may have saved


class Dated(Protocol):
    """What a backend needs to have: `start_ms` as the list says it, in Unix ms; by the gateway's own clock,
    when it was heard of, how old it can have been then, and when it started (minus infinity: long ago)."""

    id: str
    start_ms: float
    first_heard_at: float
    max_age_ms: float
    started_at: float


class StartTimes:
    """Dates the starts of backends: `started_at`, in ms of this gateway's own clock."""

    def __init__(self, settings: io.Settings, fleet_time: FleetTime):
        self._cold_ms, self._cold_from = settings.cold_ms, settings.cold_from
        self._fleet_time = fleet_time
        self._offset_ms = fleet_time.offset_ms  # that starts were dated by
        self._newest = 0.0  # stamp on the list at the gateway's start, where few are about as new
        self._forgotten: dict[str, tuple[float, float]] = {}  # stamp and start of those that left

    def load_first_list(self, backends: Iterable[io.Backend]) -> None:
        """The list as it is at the gateway's start."""
        stamps = [backend.started_ms for backend in backends]
        newest = max(stamps, default=0.0)
        young = sum(1 for stamp in stamps if stamp > newest - self._cold_ms)
        if newest > 0.0 and 2 * young < len(stamps):
            self._newest = newest

    def record_start(self, backend: Dated, now: float, max_age_ms: float) -> None:
        """Another process, which was heard of now: it can't be older than `max_age_ms`, which is infinite
        for what was on the list at the gateway's start."""
        backend.first_heard_at, backend.max_age_ms = now, max_age_ms
        stamp, started_at = self._forgotten.pop(backend.id, (None, 0.0))
        if stamp == backend.start_ms:
            backend.started_at = started_at
        else:
            self._date(backend)

    def _date(self, backend: Dated) -> None:
        if backend.start_ms <= 0.0 or self._cold_ms <= 0.0:
            backend.started_at = -math.inf
            return
        age_ms = backend.first_heard_at + self._fleet_time.offset_ms - backend.start_ms
        if not 0.0 <= age_ms <= backend.max_age_ms:
            age_ms = 0.0
        if backend.max_age_ms == math.inf and 0.0 < self._newest < backend.start_ms + self._cold_ms:
            age_ms = min(age_ms, max(0.0, self._newest - backend.start_ms))
        backend.started_at = backend.first_heard_at - age_ms

    def on_offset_changed(self, backends: Iterable[Dated]) -> None:
        """The fleet's time may be known better by now."""
        if abs(self._fleet_time.offset_ms - self._offset_ms) > MIN_OFFSET_CHANGE_MS:
            self._offset_ms = self._fleet_time.offset_ms
            for backend in backends:
                self._date(backend)

    def forget(self, backends: Iterable[Dated]) -> None:
        """These have left; what comes back with the stamp that it had is no other process."""
        for backend in backends:
            self._forgotten[backend.id] = backend.start_ms, backend.started_at
        while len(self._forgotten) > FORGOTTEN_MOST:
            del self._forgotten[next(iter(self._forgotten))]

    def warm_share(self, backend: Dated, now: float) -> float:
        """The part of its capacity that a backend has by now, at least."""
        age_ms = now - backend.started_at
        if age_ms >= self._cold_ms:
            return 1.0
        return self._cold_from + (1.0 - self._cold_from) * age_ms / self._cold_ms


class Paced(Protocol):
    """What a cold backend needs to have: the requests that it may be sent by now, and when that was worked
    out."""

    cold_tokens: float
    cold_refilled_at: float


class ColdPacer:
    """Spaces what a gateway sends to each cold backend: a token bucket each, filled at the backend's rate.

    While warm backends are preferred, each gateway of the fleet may have saved a request for each cold
    one. When warm ones leave, all gateways turn to the cold ones in the same moment, and nothing bounds
    the sum of what they have saved. So of the buckets that hold a request then, only as many keep it as
    the backend's budget has room for beside the rate. The others get a part of a request, drawn at random,
    and go on from there: the fleet's buckets are filled at moments spread evenly, and let out the sum of
    their rates from the first moment on.
    """

    def __init__(self, settings: io.Settings, random: Random):
        self._random = random
        self._left_at = -math.inf  # when backends left last
        # Of the budget, which is so many times a backend's capacity for a span, the rate takes up to one time
        # at full load, or more where that is worked out over fewer backends than there were.
        room = settings.fall_multiple - max(1.0, settings.fall_multiple / RECENT_COUNT_FACTOR)
        self._room_ms = max(0.0, room) * settings.fall_ms
        self._saved_share = 1.0 / max(1, settings.gateways)  # one request of the whole fleet is always kept

    def on_backends_left(self, now: float) -> None:
        """Some are no longer usable: the others will be asked for what they did."""
        self._left_at = now

    def may_send(self, backend: Paced, now: float, rate: float) -> bool:
        """Whether a request may be sent there now. `rate`: requests in a ms."""
        if backend.cold_refilled_at < self._left_at:
            self._refill(backend, self._left_at, rate)
            if backend.cold_tokens >= 1.0 and self._random.random() >= self._kept(rate):
                backend.cold_tokens = self._random.random()
        self._refill(backend, now, rate)
        return backend.cold_tokens >= 1.0

    def _kept(self, rate: float) -> float:
        """The share of the fleet's saved requests that the budget has room for."""
        return self._room_ms * rate + self._saved_share

    def _refill(self, backend: Paced, at: float, rate: float) -> None:
        tokens = backend.cold_tokens + rate * (at - backend.cold_refilled_at)
        backend.cold_tokens, backend.cold_refilled_at = min(SAVED_MOST, tokens), at
