"""The ids of requests that must not be sent to a backend again."""

from __future__ import annotations

from collections import deque

MEMORY_SHARE = 1.0 / 64.0  # of the limit on memory
ID_BYTES = 192  # memory of one id in the table, at most


class ExecutedIds:
    """The X-Request-IDs of requests that may have run and are not safe to repeat.

    Their number is bounded by the gateway's limit on memory (`limit_mb`); the oldest are forgotten first.
    """

    def __init__(self, limit_mb: float):
        self.max_count = max(1, int(limit_mb * MEMORY_SHARE * (1 << 20) / ID_BYTES))
        self._ids: set[bytes] = set()
        self._in_order: deque[bytes] = deque()

    def __contains__(self, request_id: bytes) -> bool:
        return request_id in self._ids

    def __len__(self) -> int:
        return len(self._ids)

    def add(self, request_id: bytes) -> None:
        """Adds the id of a request that may have run."""
        if request_id in self._ids:
            return
        self._ids.add(request_id)
        self._in_order.append(request_id)
        if len(self._in_order) > self.max_count:
            self._ids.discard(self._in_order.popleft())
