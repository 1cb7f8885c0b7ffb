"""The known backends, indexed so that the cost of a change does not grow with their number."""

from __future__ import annotations

from collections.abc import Iterable


class BackendPool:
    """All known backends by id, and the usable ones as a list.

    Members have the attributes `id`, `zone`, `cell` and `weight`, and `usable` and `pool_index`, which the
    pool maintains. The order of the list `usable` depends on the events alone, so that runs are reproducible:
    the last backend takes the place of one that is removed.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, object] = {}
        self.usable: list = []
        self.max_weight = 1.0  # the largest weight of a usable backend
        self._weight_counts: dict[float, int] = {}  # number of usable backends by weight
        self._usable_by_scope: dict[tuple[str, str | int], list] = {}  # cache, by attribute and value
        self._departed: dict[str, object] = {}  # unusable and not swept yet

    def mark_usable(self, backend) -> None:
        """Adds a backend that is new or unusable to the usable ones."""
        self.by_id[backend.id] = backend
        self._departed.pop(backend.id, None)
        backend.usable, backend.pool_index = True, len(self.usable)
        self.usable.append(backend)
        self._weight_counts[backend.weight] = self._weight_counts.get(backend.weight, 0) + 1
        if len(self.usable) == 1 or backend.weight > self.max_weight:
            self.max_weight = backend.weight
        self._usable_by_scope.clear()

    def mark_unusable(self, backend) -> None:
        """Removes a backend from the usable ones, or adds one that is not usable.

        The largest weight is searched again only if the removed backend was the last one that had it.
        """
        self.by_id[backend.id] = self._departed[backend.id] = backend
        if not backend.usable:
            return
        backend.usable, last = False, self.usable.pop()
        if last is not backend:
            self.usable[backend.pool_index], last.pool_index = last, backend.pool_index
        self._weight_counts[backend.weight] -= 1
        if not self._weight_counts[backend.weight]:
            del self._weight_counts[backend.weight]
            if backend.weight == self.max_weight:
                self.max_weight = max(self._weight_counts, default=1.0)
        self._usable_by_scope.clear()

    def retain(self, ids: Iterable[str]) -> int:
        """Marks all backends not listed in `ids` as unusable; returns how many were usable before."""
        listed = set(ids)
        gone = [backend for backend in self.usable if backend.id not in listed]
        for backend in gone:
            self.mark_unusable(backend)
        return len(gone)

    def usable_in_same(self, attribute: str, reference) -> list:
        """Returns the usable backends whose `attribute` ("zone" or "cell") equals that of `reference`.

        The result is cached until the next change.
        """
        value = getattr(reference, attribute)
        if (attribute, value) not in self._usable_by_scope:
            self._usable_by_scope[attribute, value] = [
                backend for backend in self.usable if getattr(backend, attribute) == value
            ]
        return self._usable_by_scope[attribute, value]

    def sweep(self) -> list:
        """Removes unusable backends without open attempts; returns those that have not been replaced."""
        swept = []
        for backend in [backend for backend in self._departed.values() if not backend.open_attempts]:
            del self._departed[backend.id]
            if self.by_id[backend.id] is backend:
                del self.by_id[backend.id]
                swept.append(backend)
        return swept
