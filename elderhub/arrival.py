"""When a request came, as far as that can be told: it may have lain unread while the gateway was held up, or
its connection may have waited in the queue of the listening socket."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from .system import System

LOOK_S = 0.05  # between two looks whether the loop was held up
HELD_UP_MS = 20.0  # a look that is later than this shows that it was
AT_ONCE_MS = 20.0  # what is read so soon after its connection was taken in may have come before


class ArrivalEstimator:
    """Tells since when what is being read now may have been there. Times are in ms of `now`."""

    def __init__(self, system: System, now: Callable[[], float]):
        self._loop, self._system, self._now = asyncio.get_running_loop(), system, now
        self._looked_at = now()
        self._held_up_since: float | None = None  # until the next look
        self._closed_since: float | None = None  # connections wait to be taken in

    def start(self) -> None:
        self._look()

    def _look(self) -> None:
        now = self._now()
        self._held_up_since = self._looked_at if self._held_up(now) else None
        self._looked_at = now
        self._loop.call_later(LOOK_S, self._look)

    def _held_up(self, now: float) -> bool:
        return now - self._looked_at > LOOK_S * 1000.0 + HELD_UP_MS

    def on_accept_paused(self) -> None:
        """No connection is taken in from here on."""
        if self._closed_since is None:
            self._closed_since = self._now()

    def on_backlog_drained(self) -> None:
        """None waits any more."""
        self._closed_since = None

    def backlogged_since_ms(self) -> float | None:
        """Since when a connection that is taken in now may have waited; none where it has not."""
        return self._closed_since

    def earliest_arrival_ms(
        self, sock: socket.socket, taken_in_at: float, waited_since: float | None
    ) -> float:
        """When what was read last may have come, at the earliest. The system may know it better."""
        now = self._now()
        since = self._looked_at if self._held_up(now) else self._held_up_since
        if waited_since is not None and now - taken_in_at <= AT_ONCE_MS:
            since = min(waited_since, now if since is None else since)
        if since is None:
            return now
        quiet_ms = self._system.received_ago_ms(sock)
        return since if quiet_ms is None else min(now, max(since, now - quiet_ms))
