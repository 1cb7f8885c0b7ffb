"""Measures how late this process runs, as on a busy machine; time limits are checked with this tolerance."""

from __future__ import annotations

import asyncio
import time

INTERVAL_S = 0.02  # between two measurements


class Lateness:
    """The worst lateness of the event loop in seconds, `worst_s`, while `measure` runs."""

    def __init__(self) -> None:
        self.worst_s = 0.0

    async def measure(self) -> None:
        """Measure until cancelled."""
        while True:
            started_at = time.monotonic()
            await asyncio.sleep(INTERVAL_S)
            self.worst_s = max(self.worst_s, time.monotonic() - started_at - INTERVAL_S)
