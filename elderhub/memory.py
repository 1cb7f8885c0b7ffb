"""Bounds the memory that requests and responses hold together, as a part of the gateway's limit on memory."""

from __future__ import annotations

from collections.abc import Callable

# Of the limit on memory. The rest is for the program, its tables and what the allocator can't reuse.
BUDGET_SHARE = 0.25
MIN_BUDGET_BYTES = 1 << 20
RECLAIM_SHARE = 0.9  # of the budget, down to which is freed; each search goes through all connections


class MemoryBudget:
    """Counts the bytes that requests and responses hold and asks for some back where they are too many.

    `limit_mb` is the gateway's limit on memory. `reclaim` is called when the budget is exceeded; it has to
    report what is held no longer, and to free more until `is_reclaimed` if it can. Its owner sets it.
    """

    def __init__(self, limit_mb: float):
        self.max_bytes = max(MIN_BUDGET_BYTES, int(limit_mb * BUDGET_SHARE * (1 << 20)))
        self.held_bytes = 0
        self.reclaim: Callable[[], None] | None = None
        self._is_reclaiming = False

    def adjust(self, change_bytes: int) -> bool:
        """Counts memory that is held from now on, or no longer if negative; returns whether there is room."""
        self.held_bytes += change_bytes
        return change_bytes <= 0 or self.has_room()

    def has_room(self) -> bool:
        """Returns whether no more is held than the budget allows, after a call of `reclaim` if needed."""
        if self.held_bytes > self.max_bytes and self.reclaim is not None and not self._is_reclaiming:
            self._is_reclaiming = True
            try:
                self.reclaim()
            finally:
                self._is_reclaiming = False
        return self.held_bytes <= self.max_bytes

    def is_reclaimed(self) -> bool:
        """Whether `reclaim` has freed enough."""
        return self.held_bytes <= self.max_bytes * RECLAIM_SHARE
