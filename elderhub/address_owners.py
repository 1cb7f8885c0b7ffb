"""Which of the listed backends listens at an address that several of them are listed with."""

from __future__ import annotations

from cobaltline import interface as io

from .wire import Address


class AddressOwners:
    """The backend at each address: of those listed as up there, the one that started last.

    Discovery may list a process that has gone for some seconds after another one, with an id of its own, has
    taken its place. What is sent to the former would reach the latter. Start times of one address are of one
    machine's clock; where they are equal, no backend displaces the other.
    """

    def __init__(self) -> None:
        self._owners: dict[Address, io.Backend] = {}

    def claim(self, backend: io.Backend, address: Address) -> io.Backend | None:
        """Records a backend that is up; returns the one that it displaces, if any.

        A backend that is itself displaced by a later one is set to drain.
        """
        owner = self._owners.get(address)
        if owner is None or owner.id == backend.id or owner.started_ms < backend.started_ms:
            self._owners[address] = backend
            return None if owner is None or owner.id == backend.id else owner
        if owner.started_ms > backend.started_ms:
            backend.state = io.BackendState.DRAINING
        return None

    def release(self, name: str, address: Address) -> None:
        """Records that a backend does not listen at an address any more."""
        owner = self._owners.get(address)
        if owner is not None and owner.id == name:
            del self._owners[address]
