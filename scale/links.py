"""Network links between zones: one-way delays and partitions."""

from __future__ import annotations

from collections.abc import Callable

# One-way delays.
SAME_ZONE_DELAY_MS = 0.2  # 0.08 to 0.35 at the site
SAME_REGION_DELAY_MS = 2.0  # between zones of one region; 1.4 to 2.6 at the site
CROSS_REGION_DELAY_MS = 15.0  # some thousand km of fibre


class Links:
    """Links between the zones of a fleet.

    Zones are named `r<region>z<number>` and assigned to the regions in turn. `on_heal` is called when a
    partition ends.
    """

    def __init__(self, zones: int, regions: int):
        self.zones = [f"r{number % regions}z{number}" for number in range(zones)]
        self._region = {zone: number % regions for number, zone in enumerate(self.zones)}
        self.cut: set[str] = set()  # zones that reach only zones of the same partition
        self._partition_of: dict[str, int] = {}
        self.on_heal: Callable[[], None] = lambda: None
        self._delay_ms = {
            (source, destination): self._one_way_delay_ms(source, destination)
            for source in self.zones
            for destination in self.zones
        }

    def _one_way_delay_ms(self, source: str, destination: str) -> float:
        if source == destination:
            return SAME_ZONE_DELAY_MS
        return (
            SAME_REGION_DELAY_MS
            if self._region[source] == self._region[destination]
            else CROSS_REGION_DELAY_MS
        )

    def delay_ms(self, source: str, destination: str) -> float:
        """Returns the one-way delay in milliseconds between two zones."""
        return self._delay_ms[source, destination]

    def zones_in_region(self, number: int) -> list[str]:
        """Returns the names of the zones in a region."""
        return [zone for zone in self.zones if self._region[zone] == number]

    def partition(self, zones: list[str]) -> None:
        """Cuts these zones off from all others; they still reach one another."""
        self.cut.update(zones)
        for zone in zones:
            self._partition_of[zone] = 1

    def heal(self) -> None:
        """Ends the partition and calls `on_heal`."""
        self.cut.clear()
        self._partition_of.clear()
        self.on_heal()

    def can_reach(self, source: str, destination: str) -> bool:
        """Returns whether no partition separates the two zones."""
        return not self.cut or self._partition_of.get(source, 0) == self._partition_of.get(destination, 0)
