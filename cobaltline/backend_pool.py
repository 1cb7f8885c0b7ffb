"""The backends that the module knows: a change costs what it changes, however many there are."""

from __future__ import annotations

from collections.abc import Iterable


class BackendPool:
    """Its members have `id`, `zone`, `cell`, `weight`, and `usable` and `pool_index`, kept here. `usable`
    has an order that follows from the events alone: the last one takes the place of one that goes."""

    def __init__(self) -> None:
        self.by_id: dict[str, object] = {}
        self.usable: list = []
        self.max_weight = 1.0  # weight among the usable ones
        self._weights: dict[float, int] = {}  # of theirs, and how often each
        self._scopes: dict[tuple[str, str | int], list] = {}  # those of a zone or cell, once asked for
        self._left: dict[str, object] = {}  # not usable, and not yet swept away

    def mark_usable(self, x) -> None:
        self.by_id[x.id] = x
        self._left.pop(x.id, None)
        x.usable, x.pool_index = True, len(self.usable)
        self.usable.append(x)
        self._weights[x.weight] = self._weights.get(x.weight, 0) + 1
        if len(self.usable) == 1 or x.weight > self.max_weight:
            self.max_weight = x.weight
        self._scopes.clear()

    def mark_unusable(self, x) -> None:
        """No longer usable, or not at all. The weights are gone through where the heaviest goes that had no
        equal: there are few, or else one of many goes."""
        self.by_id[x.id] = self._left[x.id] = x
        if not x.usable:
            return
        x.usable, last = False, self.usable.pop()
        if last is not x:
            self.usable[x.pool_index], last.pool_index = last, x.pool_index
        self._weights[x.weight] -= 1
        if not self._weights[x.weight]:
            del self._weights[x.weight]
            if x.weight == self.max_weight:
                self.max_weight = max(self._weights, default=1.0)
        self._scopes.clear()

    def retain(self, names: Iterable[str]) -> int:
        """All others are gone; returns how many usable ones that were."""
        named = set(names)
        gone = [x for x in self.usable if x.id not in named]
        for x in gone:
            self.mark_unusable(x)
        return len(gone)

    def usable_in_same(self, kind: str, home) -> list:
        """The usable ones of the same zone or cell; all are gone through once after each change."""
        here = getattr(home, kind)
        if (kind, here) not in self._scopes:
            self._scopes[kind, here] = [x for x in self.usable if getattr(x, kind) == here]
        return self._scopes[kind, here]

    def sweep(self) -> list:
        """Forget what left and has no attempt out; returns those."""
        swept = []
        for x in [x for x in self._left.values() if not x.open_attempts]:
            del self._left[x.id]
            if self.by_id[x.id] is x:
                del self.by_id[x.id]
                swept.append(x)
        return swept
