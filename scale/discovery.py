"""A simulated discovery service: the list of backends, and the delayed delivery of changes to each
gateway."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from cobaltline import interface as io

from .clock import Clock
from .links import Links

PROPAGATION_RANGE_MS = (250.0, 1900.0)  # range of the delay from a change until a gateway receives it


class Discovery:
    """A versioned list of backends.

    Gateways receive changes with a delay but in order. A gateway that has missed a change, because discovery
    was down or out of reach, receives the full list on `resync`.
    """

    def __init__(self, clock: Clock, links: Links, zone: str, rng: Random):
        self._clock, self._links, self._zone, self._rng = clock, links, zone, rng
        self.entries: dict[str, io.Backend] = {}
        self.version = 1
        self.is_down = False
        self.max_propagation_ms = 0.0  # longest delay of a change until a gateway received it
        self._received_version: dict = {}  # gateway -> version that it has received
        # Gateway -> delivery time of its last list in transit; keeps the lists in order.
        self._delivery_ms: dict = {}
        self._behind: dict = {}  # gateways that missed a change, in order

    def start(self, entries: Iterable[io.Backend]) -> None:
        """Sets the first version of the list."""
        self.entries = {entry.id: entry for entry in entries}

    def subscribe(self, gateway) -> None:
        """Registers a gateway that has started and delivers the current list to it at once, as cached."""
        entries = tuple(self.entries.values())
        gateway.backends_changed(io.BackendsChanged(io.ListKind.CACHED, self.version, entries))
        self._received_version[gateway] = self.version
        self._delivery_ms[gateway] = 0.0

    def unsubscribe(self, gateway) -> None:
        """Stops the delivery of lists to a gateway."""
        self._received_version.pop(gateway, None)
        self._behind.pop(gateway, None)

    def apply_changes(self, entries: list[io.Backend]) -> None:
        """Changes these entries, or removes those in state REMOVED, and sends the changes to all gateways."""
        self.version += 1
        for entry in entries:
            if entry.state is io.BackendState.REMOVED:
                self.entries.pop(entry.id, None)
            else:
                self.entries[entry.id] = entry
        event = io.BackendsChanged(io.ListKind.DELTA, self.version, tuple(entries))
        for gateway in self._received_version:
            if self.is_down or gateway in self._behind or not self._links.can_reach(gateway.zone, self._zone):
                self._behind[gateway] = True
            else:
                self._send(gateway, event)
                self.max_propagation_ms = max(
                    self.max_propagation_ms, self._delivery_ms[gateway] - self._clock.now
                )

    def resync(self) -> None:
        """Sends the full list to every gateway that missed a change, once discovery can reach it again."""
        event = io.BackendsChanged(io.ListKind.COMPLETE, self.version, tuple(self.entries.values()))
        behind, self._behind = self._behind, {}
        for gateway in behind:
            self._send(gateway, event)

    def send_full_list(self, gateway) -> None:
        """Sends the full list to a gateway."""
        event = io.BackendsChanged(io.ListKind.COMPLETE, self.version, tuple(self.entries.values()))
        self._send(gateway, event)

    def _send(self, gateway, event: io.BackendsChanged) -> None:
        delivery_ms = max(
            self._clock.now + self._rng.uniform(*PROPAGATION_RANGE_MS), self._delivery_ms[gateway]
        )
        self._delivery_ms[gateway] = delivery_ms
        self._clock.call_at(delivery_ms, self._deliver, gateway, event)

    def _deliver(self, gateway, event: io.BackendsChanged) -> None:
        if gateway in self._received_version and event.version >= self._received_version[gateway]:
            self._received_version[gateway] = event.version
            gateway.backends_changed(event)
