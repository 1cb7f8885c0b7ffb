"""Stand-ins for backends, and a gateway's connections to one of them."""

from __future__ import annotations

import heapq
import math
from collections import deque
from enum import Enum

from .clock import Clock

ROOM_PER_CORE = 32  # requests in work and in the queue; the site draws 4 to 12 and 11 to 38
SPEED_RANGE = (0.85, 1.1)  # of a backend, drawn evenly
COLD_FROM, COLD_MS = 0.24, 12000.0  # share of its speed that a backend starts with, and until when
FALL_MULTIPLE, FALL_MS = 3.0, 3000.0  # rule 4: so many times its present capacity, within any span so long
CAP_PER_CORE = 640  # connections; the site draws 470 to 830
HANDSHAKE_RTTS, HANDSHAKE_MS = 2.0, 1.0  # a new connection: round trips, and work of the backend
CONNECT_TIMEOUT_MS = 250.0  # a connection that is not up by then never comes up
KEEPALIVE_MS = 15000.0  # a backend closes what has stood idle so long
IDLE_SHARE = 0.5  # of that, after which a gateway no longer uses a connection (as `elderhub.backends`)
REUSE_DELAY_MS = 20.0  # a connection is used again after this (as `elderhub.backends`)
GATEWAY_MOST = 64  # connections from one gateway to one backend (as `elderhub.backends`)


class Health(Enum):
    """UP; DEAD: connections are refused and those open reset; SILENT: nothing is said any more."""

    UP = "up"
    DEAD = "dead"
    SILENT = "silent"


class Backend:
    """Cores that serve in turn, a room that bounds what is held, connections with a cap, a cold start."""

    def __init__(self, clock: Clock, name: str, zone: str, cores: int, speed: float, work_ms: float):
        self.clock, self.name, self.zone, self.cores, self.speed = clock, name, zone, cores, speed
        self._work_ms = work_ms  # of a mean request
        self.start_time_ms, self.incarnation = 0.0, 0  # 0 = long ago
        self.health = Health.UP
        self.connections = self.peak_connections = 0
        self.attempts, self.busy_ms = 0, 0.0  # that reached it; work taken on, in ms of a core
        self.slowdown = 1.0  # how much longer work takes than it should
        self._free = [0.0] * cores
        self._ends: list[float] = []
        self.pending_attempts: set = set()  # attempts that wait for their answer
        # What it was sent while cold: time, mean requests, and how much of these came from who knew.
        self._cold: deque[tuple[float, float, float]] = deque()
        self._cold_sum = self._cold_told = 0.0
        self.peak_cold_load = 0.0  # the most of its budget that came within a span, as a share

    def warmth(self, now: float) -> float:
        if self.start_time_ms <= 0 or now >= self.start_time_ms + COLD_MS:
            return 1.0
        return COLD_FROM + (1.0 - COLD_FROM) * (now - self.start_time_ms) / COLD_MS

    def start(self) -> None:
        """A new process: cold, with nothing from before."""
        self.start_time_ms, self.health = self.clock.now, Health.UP
        self._cold.clear()
        self._cold_sum = self._cold_told = 0.0

    def stop(self, health: Health) -> list:
        """It dies or falls silent. What it held is handed back, to be told or not."""
        self.incarnation += 1
        self.health, self.connections = health, 0
        self._free, self._ends = [0.0] * self.cores, []
        held, self.pending_attempts = self.pending_attempts, set()
        return sorted(held, key=lambda attempt: attempt.sequence)

    def record_attempt(self, work_ms: float, told: bool) -> bool:
        """An attempt has reached it, from a gateway that was told of its start or not. Whether it falls: it
        bears N mean requests in a span while cold, and 2 x root N + 2 more are put down to chance."""
        now = self.clock.now
        self.attempts += 1
        if self.start_time_ms <= 0 or now >= self.start_time_ms + COLD_MS:
            return False
        share = work_ms / self._work_ms
        self._cold.append((now, share, share * told))
        self._cold_sum += share
        self._cold_told += share * told
        while self._cold[0][0] < now - FALL_MS:
            _, old, old_told = self._cold.popleft()
            self._cold_sum -= old
            self._cold_told -= old_told
        per_ms = self.cores * self.speed * self.warmth(now) / self._work_ms
        budget = FALL_MULTIPLE * per_ms * FALL_MS
        self.peak_cold_load = max(self.peak_cold_load, self._cold_sum / budget)
        return self._cold_sum > budget + 2.0 * math.sqrt(budget) + 2.0

    def informed_share(self) -> float:
        """How much of what it was sent in the span came from gateways that had been told of its start."""
        return self._cold_told / self._cold_sum

    def serve(self, work_ms: float) -> float | None:
        """When the answer to this leaves; None: turned away, there is no room."""
        now = self.clock.now
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
        if len(self._ends) >= ROOM_PER_CORE * self.cores:
            return None
        begin = max(now, self._free[0])
        took = work_ms * self.slowdown / (self.speed * self.warmth(begin))
        heapq.heapreplace(self._free, begin + took)
        heapq.heappush(self._ends, begin + took)
        self.busy_ms += work_ms / self.speed
        return begin + took

    def connect(self) -> bool:
        """A new connection, if there is room for it: work, as a TLS handshake would be."""
        if self.connections >= CAP_PER_CORE * self.cores:
            return False
        self.connections += 1
        self.peak_connections = max(self.peak_connections, self.connections)
        heapq.heapreplace(self._free, max(self.clock.now, self._free[0]) + HANDSHAKE_MS)
        return True


class Pool:
    """One gateway's connections to one backend, used again by the rules of the real program."""

    __slots__ = ("backend", "_life", "_idle", "held")

    def __init__(self, backend: Backend):
        self.backend, self._life = backend, backend.incarnation
        self._idle: list[float] = []  # since when, the latest used last
        self.held = 0  # all connections, idle ones too

    def _look(self) -> None:
        if self._life != self.backend.incarnation:  # it was reset with the process it led to
            self._life, self._idle, self.held = self.backend.incarnation, [], 0

    def acquire(self, now: float) -> bool:
        """Whether an idle connection can be used: the latest that has rested."""
        self._look()
        rested, stale = now - REUSE_DELAY_MS, now - KEEPALIVE_MS * IDLE_SHARE
        for number in range(len(self._idle) - 1, -1, -1):
            if self._idle[number] <= rested:
                if self._idle[number] <= stale:
                    self.close_idle(now)
                    return False
                del self._idle[number]
                return True
        return False

    def open(self) -> bool:
        """A new connection; whether there was room for it on both sides."""
        self._look()
        if self.held >= GATEWAY_MOST or not self.backend.connect():
            return False
        self.held += 1
        return True

    def release(self, now: float, life: int, keep: bool) -> None:
        """An exchange on a connection made in that life of the backend is over."""
        self._look()
        if life != self._life:
            return
        if keep:
            self._idle.append(now)
        else:
            self.held -= 1
            self.backend.connections -= 1

    def close_idle(self, now: float, idle_ms: float = KEEPALIVE_MS * IDLE_SHARE) -> bool:
        """Close what has stood idle so long; whether nothing is left open."""
        self._look()
        old = 0
        while old < len(self._idle) and self._idle[old] <= now - idle_ms:
            old += 1
        del self._idle[:old]
        self.held -= old
        self.backend.connections -= old
        return self.held == 0
