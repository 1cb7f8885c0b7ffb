"""Simulated backends, and the connection pool of a gateway to one backend."""

from __future__ import annotations

import heapq
import math
from collections import deque
from enum import Enum

from .clock import Clock

MAX_PENDING_PER_CORE = 32  # requests being served (4 to 12 at the site) or queued (11 to 38)
SPEED_RANGE = (0.85, 1.1)  # relative speed of a backend, drawn uniformly
COLD_FROM, COLD_MS = 0.24, 12000.0  # share of its speed at which a backend starts; duration of the slow start
# A cold backend fails if it receives more than this multiple of its present capacity within this span.
FALL_MULTIPLE, FALL_MS = 3.0, 3000.0
MAX_CONNECTIONS_PER_CORE = 640  # 470 to 830 at the site
HANDSHAKE_RTTS, HANDSHAKE_MS = 2.0, 1.0  # round trips, and processor time of the backend
CONNECT_TIMEOUT_MS = 250.0
KEEPALIVE_MS = 15000.0  # a backend closes a connection after this idle time
# Share of KEEPALIVE_MS after which a gateway does not reuse an idle connection (as `elderhub.backends`).
MAX_IDLE_SHARE = 0.5
REUSE_DELAY_MS = 20.0  # minimum idle time before a connection is reused (as `elderhub.backends`)
MAX_CONNECTIONS_PER_GATEWAY = 64  # to one backend (as `elderhub.backends`)


class Health(Enum):
    """State of a backend: UP; DEAD: it refuses and resets connections; SILENT: it does not respond at all."""

    UP = "up"
    DEAD = "dead"
    SILENT = "silent"


class Backend:
    """A simulated backend: cores with a bounded queue, a limit on connections, and a slow start.

    Requests occupy the core that is free first. A backend that has started recently ("cold") works below its
    full speed and fails if it is sent more than its budget. `work_ms` is the processor time of a mean
    request.
    """

    def __init__(self, clock: Clock, name: str, zone: str, cores: int, speed: float, work_ms: float):
        self.clock, self.name, self.zone, self.cores, self.speed = clock, name, zone, cores, speed
        self._mean_work_ms = work_ms
        self.start_time_ms, self.incarnation = 0.0, 0  # start time 0: started long ago
        self.health = Health.UP
        self.connections = self.peak_connections = 0
        self.attempts, self.busy_ms = 0, 0.0  # attempts received; processor time of accepted work
        self.slowdown = 1.0  # factor on the duration of work
        self._core_free_ms = [0.0] * cores
        self._end_times_ms: list[float] = []
        self.pending_attempts: set = set()  # attempts that wait for their answer
        # Attempts while cold: time, load in mean requests, and the part of it from informed gateways.
        self._cold_attempts: deque[tuple[float, float, float]] = deque()
        self._cold_load = self._informed_cold_load = 0.0
        self.peak_cold_load = 0.0  # highest load within a span of FALL_MS, as a share of the budget

    def speed_share(self, now_ms: float) -> float:
        """Returns the share of its full speed at which the backend works at that time."""
        if self.start_time_ms <= 0 or now_ms >= self.start_time_ms + COLD_MS:
            return 1.0
        return COLD_FROM + (1.0 - COLD_FROM) * (now_ms - self.start_time_ms) / COLD_MS

    def start(self) -> None:
        """Starts a new process, which is cold and keeps no state of an earlier one."""
        self.start_time_ms, self.health = self.clock.now, Health.UP
        self._cold_attempts.clear()
        self._cold_load = self._informed_cold_load = 0.0

    def stop(self, health: Health) -> list:
        """Ends the process with health DEAD or SILENT; returns the pending attempts, oldest first."""
        self.incarnation += 1
        self.health, self.connections = health, 0
        self._core_free_ms, self._end_times_ms = [0.0] * self.cores, []
        pending, self.pending_attempts = self.pending_attempts, set()
        return sorted(pending, key=lambda attempt: attempt.sequence)

    def count_attempt(self, work_ms: float, informed: bool) -> bool:
        """Counts an attempt that has reached the backend; returns whether it overloads a cold backend.

        `informed` says whether discovery has told the gateway of the backend's present start. With a budget
        of N mean requests per span, 2 * sqrt(N) + 2 more are tolerated as random variation.
        """
        now_ms = self.clock.now
        self.attempts += 1
        if self.start_time_ms <= 0 or now_ms >= self.start_time_ms + COLD_MS:
            return False
        load = work_ms / self._mean_work_ms
        self._cold_attempts.append((now_ms, load, load * informed))
        self._cold_load += load
        self._informed_cold_load += load * informed
        while self._cold_attempts[0][0] < now_ms - FALL_MS:
            _, old_load, old_informed = self._cold_attempts.popleft()
            self._cold_load -= old_load
            self._informed_cold_load -= old_informed
        capacity_per_ms = self.cores * self.speed * self.speed_share(now_ms) / self._mean_work_ms
        budget = FALL_MULTIPLE * capacity_per_ms * FALL_MS
        self.peak_cold_load = max(self.peak_cold_load, self._cold_load / budget)
        return self._cold_load > budget + 2.0 * math.sqrt(budget) + 2.0

    def informed_share(self) -> float:
        """Returns the share of the recent cold load from gateways that were told of the backend's start."""
        return self._informed_cold_load / self._cold_load

    def serve(self, work_ms: float) -> float | None:
        """Accepts a request; returns when its answer leaves, in ms, or None if the queue is full."""
        now_ms = self.clock.now
        while self._end_times_ms and self._end_times_ms[0] <= now_ms:
            heapq.heappop(self._end_times_ms)
        if len(self._end_times_ms) >= MAX_PENDING_PER_CORE * self.cores:
            return None
        begin_ms = max(now_ms, self._core_free_ms[0])
        duration_ms = work_ms * self.slowdown / (self.speed * self.speed_share(begin_ms))
        heapq.heapreplace(self._core_free_ms, begin_ms + duration_ms)
        heapq.heappush(self._end_times_ms, begin_ms + duration_ms)
        self.busy_ms += work_ms / self.speed
        return begin_ms + duration_ms

    def connect(self) -> bool:
        """Accepts a connection, at the processor time of a TLS handshake; returns False at the limit."""
        if self.connections >= MAX_CONNECTIONS_PER_CORE * self.cores:
            return False
        self.connections += 1
        self.peak_connections = max(self.peak_connections, self.connections)
        heapq.heapreplace(self._core_free_ms, max(self.clock.now, self._core_free_ms[0]) + HANDSHAKE_MS)
        return True


class Pool:
    """The connections of one gateway to one backend, reused by the rules of `elderhub.backends`."""

    __slots__ = ("backend", "_incarnation", "_idle_since_ms", "open_count")

    def __init__(self, backend: Backend):
        self.backend, self._incarnation = backend, backend.incarnation
        self._idle_since_ms: list[float] = []  # the last used is the last
        self.open_count = 0  # busy and idle connections

    def _discard_if_restarted(self) -> None:
        if self._incarnation != self.backend.incarnation:  # the connections were reset when the process ended
            self._incarnation, self._idle_since_ms, self.open_count = self.backend.incarnation, [], 0

    def acquire(self, now_ms: float) -> bool:
        """Takes the last used connection idle for at least REUSE_DELAY_MS; returns False if there is none."""
        self._discard_if_restarted()
        rested_before_ms, stale_before_ms = now_ms - REUSE_DELAY_MS, now_ms - KEEPALIVE_MS * MAX_IDLE_SHARE
        for index in range(len(self._idle_since_ms) - 1, -1, -1):
            if self._idle_since_ms[index] <= rested_before_ms:
                if self._idle_since_ms[index] <= stale_before_ms:
                    self.close_idle(now_ms)
                    return False
                del self._idle_since_ms[index]
                return True
        return False

    def open(self) -> bool:
        """Opens a connection; returns False if the gateway or the backend is at its limit."""
        self._discard_if_restarted()
        if self.open_count >= MAX_CONNECTIONS_PER_GATEWAY or not self.backend.connect():
            return False
        self.open_count += 1
        return True

    def release(self, now_ms: float, incarnation: int, keep: bool) -> None:
        """Ends an exchange on a connection to that incarnation of the backend; closes it unless `keep`."""
        self._discard_if_restarted()
        if incarnation != self._incarnation:
            return
        if keep:
            self._idle_since_ms.append(now_ms)
        else:
            self.open_count -= 1
            self.backend.connections -= 1

    def close_idle(self, now_ms: float, idle_ms: float = KEEPALIVE_MS * MAX_IDLE_SHARE) -> bool:
        """Closes connections idle for at least `idle_ms`; returns whether none is left open."""
        self._discard_if_restarted()
        expired = 0
        while expired < len(self._idle_since_ms) and self._idle_since_ms[expired] <= now_ms - idle_ms:
            expired += 1
        del self._idle_since_ms[:expired]
        self.open_count -= expired
        self.backend.connections -= expired
        return self.open_count == 0
