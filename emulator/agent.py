"""Stand-in for discovery's agent on one gateway's machine: what it was told, and watches over HTTP."""

from __future__ import annotations

import json
import re

from cobaltline import interface as io
from scale.links import SAME_ZONE_DELAY_MS

from .checks import SILENT_MS
from .network import Machine, Stream

HEARTBEAT_MS = 2000.0  # an empty line comes so often as long as nothing changes
CHANGES_KEPT = 256  # versions that a watch can be resumed from; else it gets the whole list
AFTER = re.compile(rb"[?&]after=(\d+)")
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LIFECYCLES = {
    io.BackendState.UP: "Ready",
    io.BackendState.DRAINING: "Terminating",
    io.BackendState.REMOVED: "Gone",
}


def entry(backend: io.Backend) -> dict:
    return {
        "instanceId": backend.id,
        "hostPort": backend.id,
        "zone": backend.zone,
        "machineType": backend.kind,
        "cell": backend.cell,
        "lifecycle": LIFECYCLES[backend.state],
        "weight": backend.weight,
        "startedAtMs": backend.started_ms,
    }


class Watch:
    """One watch of a gateway's."""

    def __init__(self, agent: Agent, sock):
        self._agent, self.head = agent, b""
        self.stream = Stream(sock, self._heard, self._over)
        self.mute = self.begun = False

    def _heard(self, data: bytes) -> None:
        if not self.begun:
            self.head += data
            if b"\r\n\r\n" in self.head:
                self._agent.asked(self)

    def _over(self, reset: bool) -> None:
        self.stream.close()
        self._agent.ended(self)

    def line(self, generation: int, reset: bool, entries) -> None:
        text = json.dumps(
            {"generation": generation, "reset": reset, "instances": list(map(entry, entries))}
        ).encode()
        self.chunk(text + b"\n")

    def chunk(self, data: bytes) -> None:
        self.stream.send(b"%x\r\n%b\r\n" % (len(data), data))


class Agent:
    """As `scale.discovery` sees a gateway: has a zone, and is told lists."""

    def __init__(self, world, number: int, zone: str):
        self._world, self.number, self.zone = world, number, zone
        self.address = (f"agent-{number}", 8500)
        self.known: dict[str, io.Backend] = {}
        self.version = 0
        self._changes: list[tuple[int, tuple[io.Backend, ...]]] = []
        self._watches: dict[Watch, None] = {}
        self._on_the_way: list[io.BackendsChanged] = []  # to it while it learned nothing
        self._silent_since: float | None = None  # the open watches are, and no new one has come
        machine = Machine(world.network, f"agent-{number}", zone)
        self._listener = machine.listen(self.address, 64, self._accept)
        self._beat()

    def _accept(self) -> None:
        Watch(self, self._listener.accept()[0])

    @property
    def _down(self) -> bool:
        """It learns nothing and says nothing."""
        w = self._world
        return w.discovery.is_down or not w.links.can_reach(self.zone, w.links.zones[0])

    def _beat(self) -> None:
        if not self._down:
            late, self._on_the_way = self._on_the_way, []
            for event in late:
                self._learn(event)
            self._answer_all()
            for watch in self._watches:
                if watch.begun and not watch.mute:
                    watch.chunk(b"\n")
        self._world.clock.call_at(self._world.clock.now + HEARTBEAT_MS, self._beat)

    def backends_changed(self, event: io.BackendsChanged) -> None:
        """Discovery has told it a list. While that is down, it learns nothing."""
        if self._down or self._on_the_way:
            self._on_the_way.append(event)
        else:
            self._learn(event)

    def _learn(self, event: io.BackendsChanged) -> None:
        """What a gateway's own agent has counts as told."""
        now = self._world.clock.now
        before = self.known
        if event.kind is io.ListKind.DELTA:
            self.known = dict(before)
            self._changes = [*self._changes[1 - CHANGES_KEPT :], (event.version, event.backends)]
        else:
            self.known, self._changes = {}, []
        for backend in event.backends:
            self.known[backend.id] = backend
            if backend.state is io.BackendState.REMOVED:
                del self.known[backend.id]
        self.version = event.version
        counts_at = now if self._silent_since is None else max(now, self._silent_since + SILENT_MS)
        for backend in event.backends:
            self._world.checks.record_backend_change(
                self.number, backend.id, backend.state is not io.BackendState.UP, counts_at
            )
        for name in before:
            if name not in self.known:
                self._world.checks.record_backend_change(self.number, name, True, counts_at)
        self._answer_all()
        for watch in self._watches:
            if watch.begun and not watch.mute:
                if event.kind is io.ListKind.DELTA:
                    watch.line(event.version, False, event.backends)
                else:
                    watch.line(event.version, True, self.known.values())

    def asked(self, watch: Watch) -> None:
        self._watches[watch] = None
        self._answer_all()

    def _answer_all(self) -> None:
        """Watches that were opened while it was silent are answered once it is not."""
        if self._down:
            return
        for watch in self._watches:
            if not watch.begun and not watch.mute:
                watch.begun = True
                self._begin(watch)

    def _begin(self, watch: Watch) -> None:
        if self._silent_since is not None:
            self._silent_since = None
            for backend in self.known.values():  # what was missed is told now, if it did not count before
                if backend.state is not io.BackendState.UP:
                    self._world.checks.record_backend_change(
                        self.number, backend.id, True, self._world.clock.now + SAME_ZONE_DELAY_MS
                    )
        watch.stream.send(HEAD)
        named = AFTER.search(watch.head)
        after = int(named[1]) if named else 0
        missed = [change for version, change in self._changes if version > after]
        oldest = self._changes[0][0] - 1 if self._changes else self.version
        if after and oldest <= after <= self.version:
            latest = {backend.id: backend for change in missed for backend in change}
            watch.line(self.version, False, latest.values())
        else:
            watch.line(self.version, True, self.known.values())

    def ended(self, watch: Watch) -> None:
        self._watches.pop(watch, None)

    # What may happen to it.

    def fall_silent(self) -> None:
        """The open watches say nothing any more; new ones do."""
        if self._watches:
            self._silent_since = self._world.clock.now
        for watch in self._watches:
            watch.mute = True

    def reset_watches(self) -> None:
        for watch in list(self._watches):
            watch.stream.abort()
            self.ended(watch)
