"""Estimates when a request arrived.

It may have lain unread while the event loop was stalled, or its connection may have waited in the queue of
the listening socket. A deadline counts from the arrival, not from the read.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from .system import System

CHECK_INTERVAL_S = 0.05  # between two checks for a stall of the event loop
STALL_THRESHOLD_MS = 20.0  # a check that is later than this shows a stall
PROMPT_READ_MS = 20.0  # input read so soon after the accept may have arrived before it


class ArrivalEstimator:
    """Estimates since when the input that is being read now may have been there.

    `now_ms` is the clock that all times in ms here are of.
    """

    def __init__(self, system: System, now_ms: Callable[[], float]):
        self._loop, self._system, self._now_ms = asyncio.get_running_loop(), system, now_ms
        self._checked_at_ms = now_ms()
        self._stalled_since_ms: float | None = None  # start of the last stall, until the next check
        self._accept_paused_since_ms: float | None = None

    def start(self) -> None:
        """Starts the periodic checks for a stall."""
        self._check()

    def _check(self) -> None:
        now_ms = self._now_ms()
        self._stalled_since_ms = self._checked_at_ms if self._is_stalled(now_ms) else None
        self._checked_at_ms = now_ms
        self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _is_stalled(self, now_ms: float) -> bool:
        return now_ms - self._checked_at_ms > CHECK_INTERVAL_S * 1000.0 + STALL_THRESHOLD_MS

    def on_accept_paused(self) -> None:
        """Notes that connections wait in the queue of the listening socket from now on."""
        if self._accept_paused_since_ms is None:
            self._accept_paused_since_ms = self._now_ms()

    def on_backlog_drained(self) -> None:
        """Notes that the queue of the listening socket is empty."""
        self._accept_paused_since_ms = None

    def backlogged_since_ms(self) -> float | None:
        """Returns since when a connection accepted now may have waited; None if it has not."""
        return self._accept_paused_since_ms

    def earliest_arrival_ms(
        self, sock: socket.socket, accepted_at_ms: float, backlogged_since_ms: float | None
    ) -> float:
        """Returns the earliest time at which the input read last may have arrived.

        `accepted_at_ms` and `backlogged_since_ms` are those of its connection. The time of the last received
        segment, where the system tells it, narrows the estimate.
        """
        now_ms = self._now_ms()
        since_ms = self._checked_at_ms if self._is_stalled(now_ms) else self._stalled_since_ms
        if backlogged_since_ms is not None and now_ms - accepted_at_ms <= PROMPT_READ_MS:
            since_ms = min(backlogged_since_ms, now_ms if since_ms is None else since_ms)
        if since_ms is None:
            return now_ms
        received_ago_ms = self._system.received_ago_ms(sock)
        return since_ms if received_ago_ms is None else min(now_ms, max(since_ms, now_ms - received_ago_ms))
