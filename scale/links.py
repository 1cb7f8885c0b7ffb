"""Links between places: their delay by zone and region, and what is cut off from what."""

from __future__ import annotations

from collections.abc import Callable

SAME_ZONE_DELAY_MS = 0.2  # one way inside a zone; the site draws 0.08 to 0.35
ZONE_MS = 2.0  # between zones of a region; the site draws 1.4 to 2.6
REGION_MS = 15.0  # between regions, some thousand km of fibre apart


class Links:
    """Zones are named `r<region>z<number>`, dealt out over the regions in turn."""

    def __init__(self, zones: int, regions: int):
        self.zones = [f"r{number % regions}z{number}" for number in range(zones)]
        self._region = {zone: number % regions for number, zone in enumerate(self.zones)}
        self.cut: set[str] = set()  # zones that reach only what is in a zone of the same group
        self._group: dict[str, int] = {}
        self.on_heal: Callable[[], None] = lambda: None
        self._delay = {(a, b): self._between(a, b) for a in self.zones for b in self.zones}

    def _between(self, a: str, b: str) -> float:
        if a == b:
            return SAME_ZONE_DELAY_MS
        return ZONE_MS if self._region[a] == self._region[b] else REGION_MS

    def delay_ms(self, a: str, b: str) -> float:
        """One way, in ms."""
        return self._delay[a, b]

    def zones_in_region(self, number: int) -> list[str]:
        return [zone for zone in self.zones if self._region[zone] == number]

    def partition(self, zones: list[str]) -> None:
        """Cut these off from all others; among one another they still reach."""
        self.cut.update(zones)
        for zone in zones:
            self._group[zone] = 1

    def heal(self) -> None:
        self.cut.clear()
        self._group.clear()
        self.on_heal()

    def can_reach(self, a: str, b: str) -> bool:
        return not self.cut or self._group.get(a, 0) == self._group.get(b, 0)
