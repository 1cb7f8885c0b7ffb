"""Stand-in for discovery: the list of backends, and when each gateway's agent has been told of a change."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from cobaltline import interface as io

from .clock import Clock
from .links import Links

SPREAD_MS = (250.0, 1900.0)  # from a change to a gateway's agent: the site's period and its spread


class Discovery:
    """One list with a version. A gateway gets changes late but in order, and the whole list after a gap."""

    def __init__(self, clock: Clock, links: Links, zone: str, rng: Random):
        self._clock, self._links, self._zone, self._rng = clock, links, zone, rng
        self.entries: dict[str, io.Backend] = {}
        self.version = 1
        self.is_down = False
        self.max_propagation_ms = 0.0  # the longest that a change took to reach a gateway
        self._told: dict = {}  # gateway in its present life -> version that it has
        self._due: dict = {}  # gateway -> time of the last list on its way, so that none overtakes another
        self._behind: dict = {}  # gateways that missed a change

    def start(self, entries: Iterable[io.Backend]) -> None:
        self.entries = {entry.id: entry for entry in entries}

    def subscribe(self, gateway) -> None:
        """A gateway has started: the list as it last had it comes at once, what it missed soon after."""
        entries = tuple(self.entries.values())
        gateway.backends_changed(io.BackendsChanged(io.ListKind.CACHED, self.version, entries))
        self._told[gateway] = self.version
        self._due[gateway] = 0.0

    def unsubscribe(self, gateway) -> None:
        self._told.pop(gateway, None)
        self._behind.pop(gateway, None)

    def apply_changes(self, entries: list[io.Backend]) -> None:
        """These entries are so from now on. What is removed leaves the list."""
        self.version += 1
        for entry in entries:
            if entry.state is io.BackendState.REMOVED:
                self.entries.pop(entry.id, None)
            else:
                self.entries[entry.id] = entry
        event = io.BackendsChanged(io.ListKind.DELTA, self.version, tuple(entries))
        for gateway in self._told:
            if self.is_down or gateway in self._behind or not self._links.can_reach(gateway.zone, self._zone):
                self._behind[gateway] = True
            else:
                self._on_the_way(gateway, event)
                self.max_propagation_ms = max(self.max_propagation_ms, self._due[gateway] - self._clock.now)

    def resync(self) -> None:
        """Discovery, or the link to it, is back: who missed anything gets the whole list."""
        event = io.BackendsChanged(io.ListKind.COMPLETE, self.version, tuple(self.entries.values()))
        behind, self._behind = self._behind, {}
        for gateway in behind:
            self._on_the_way(gateway, event)

    def send_full_list(self, gateway) -> None:
        event = io.BackendsChanged(io.ListKind.COMPLETE, self.version, tuple(self.entries.values()))
        self._on_the_way(gateway, event)

    def _on_the_way(self, gateway, event: io.BackendsChanged) -> None:
        due = max(self._clock.now + self._rng.uniform(*SPREAD_MS), self._due[gateway])
        self._due[gateway] = due
        self._clock.call_at(due, self._tell, gateway, event)

    def _tell(self, gateway, event: io.BackendsChanged) -> None:
        if gateway in self._told and event.version >= self._told[gateway]:
            self._told[gateway] = event.version
            gateway.backends_changed(event)
