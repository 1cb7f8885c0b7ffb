"""Simulated discovery agent on one gateway's machine, which serves watches of its list over HTTP."""

from __future__ import annotations

import json
import re

from cobaltline import interface as io
from scale.links import SAME_ZONE_DELAY_MS

from .checks import SILENT_WATCH_MS
from .network import Machine, Stream

HEARTBEAT_MS = 2000.0  # interval of the empty lines that keep a watch alive
MAX_CHANGES = 256  # changes kept to resume watches; a watch from further back gets the full list
AFTER_PARAMETER = re.compile(rb"[?&]after=(\d+)")
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LIFECYCLES = {
    io.BackendState.UP: "Ready",
    io.BackendState.DRAINING: "Terminating",
    io.BackendState.REMOVED: "Gone",
}


def encode_backend(backend: io.Backend) -> dict:
    """Encode a backend as an entry of a discovery list."""
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
    """A watch that the gateway has opened. Nothing more is sent on it once `silent` is set."""

    def __init__(self, agent: Agent, sock):
        self._agent, self.request_head = agent, b""
        self.stream = Stream(sock, self._data_received, self._closed)
        self.silent = self.answered = False

    def _data_received(self, data: bytes) -> None:
        if not self.answered:
            self.request_head += data
            if b"\r\n\r\n" in self.request_head:
                self._agent.watch_requested(self)

    def _closed(self, reset: bool) -> None:
        self.stream.close()
        self._agent.watch_closed(self)

    def send_list(self, generation: int, reset: bool, entries) -> None:
        """Send a list as one line; `reset` marks a full list."""
        body = json.dumps(
            {"generation": generation, "reset": reset, "instances": list(map(encode_backend, entries))}
        ).encode()
        self.send_chunk(body + b"\n")

    def send_chunk(self, data: bytes) -> None:
        """Send data as one chunk of the response's body."""
        self.stream.send(b"%x\r\n%b\r\n" % (len(data), data))


class Agent:
    """The discovery agent of one gateway.

    It subscribes to `scale.discovery.Discovery` in the place of a gateway: it has a zone and receives lists.
    """

    def __init__(self, world, number: int, zone: str):
        self._world, self.number, self.zone = world, number, zone
        self.address = (f"agent-{number}", 8500)
        self.known_backends: dict[str, io.Backend] = {}
        self.version = 0
        self._changes: list[tuple[int, tuple[io.Backend, ...]]] = []
        self._watches: dict[Watch, None] = {}
        self._pending_events: list[io.BackendsChanged] = []  # received while the agent was down
        # Since when the open watches are silent; None once a later watch is answered.
        self._silent_since: float | None = None
        machine = Machine(world.network, f"agent-{number}", zone)
        self._listener = machine.listen(self.address, 64, self._accept)
        self._send_heartbeats()

    def _accept(self) -> None:
        Watch(self, self._listener.accept()[0])

    @property
    def _is_down(self) -> bool:
        """Whether the agent neither receives lists nor answers."""
        world = self._world
        return world.discovery.is_down or not world.links.can_reach(self.zone, world.links.zones[0])

    def _send_heartbeats(self) -> None:
        if not self._is_down:
            pending, self._pending_events = self._pending_events, []
            for event in pending:
                self._apply_list(event)
            self._answer_waiting()
            for watch in self._watches:
                if watch.answered and not watch.silent:
                    watch.send_chunk(b"\n")
        self._world.clock.call_at(self._world.clock.now + HEARTBEAT_MS, self._send_heartbeats)

    def backends_changed(self, event: io.BackendsChanged) -> None:
        """Receive a list from discovery. While the agent is down, lists are kept for later."""
        if self._is_down or self._pending_events:
            self._pending_events.append(event)
        else:
            self._apply_list(event)

    def _apply_list(self, event: io.BackendsChanged) -> None:
        """Apply a list, report its changes to the checks and send it to the watches.

        The gateway counts as informed of a change once its own agent has it.
        """
        now = self._world.clock.now
        previous = self.known_backends
        if event.kind is io.ListKind.DELTA:
            self.known_backends = dict(previous)
            self._changes = [*self._changes[1 - MAX_CHANGES :], (event.version, event.backends)]
        else:
            self.known_backends, self._changes = {}, []
        for backend in event.backends:
            self.known_backends[backend.id] = backend
            if backend.state is io.BackendState.REMOVED:
                del self.known_backends[backend.id]
        self.version = event.version
        known_at = now if self._silent_since is None else max(now, self._silent_since + SILENT_WATCH_MS)
        for backend in event.backends:
            self._world.checks.record_backend_change(
                self.number, backend.id, backend.state is not io.BackendState.UP, known_at
            )
        for backend_id in previous:
            if backend_id not in self.known_backends:
                self._world.checks.record_backend_change(self.number, backend_id, True, known_at)
        self._answer_waiting()
        for watch in self._watches:
            if watch.answered and not watch.silent:
                if event.kind is io.ListKind.DELTA:
                    watch.send_list(event.version, False, event.backends)
                else:
                    watch.send_list(event.version, True, self.known_backends.values())

    def watch_requested(self, watch: Watch) -> None:
        """The head of a watch's request has arrived."""
        self._watches[watch] = None
        self._answer_waiting()

    def _answer_waiting(self) -> None:
        """Answer the new watches; those opened while the agent is down wait."""
        if self._is_down:
            return
        for watch in self._watches:
            if not watch.answered and not watch.silent:
                watch.answered = True
                self._answer(watch)

    def _answer(self, watch: Watch) -> None:
        if self._silent_since is not None:
            self._silent_since = None
            # The new watch reports what the silent ones missed, so it counts from now at the latest.
            for backend in self.known_backends.values():
                if backend.state is not io.BackendState.UP:
                    self._world.checks.record_backend_change(
                        self.number, backend.id, True, self._world.clock.now + SAME_ZONE_DELAY_MS
                    )
        watch.stream.send(RESPONSE_HEAD)
        after_match = AFTER_PARAMETER.search(watch.request_head)
        after = int(after_match[1]) if after_match else 0
        missed = [change for version, change in self._changes if version > after]
        oldest = self._changes[0][0] - 1 if self._changes else self.version
        if after and oldest <= after <= self.version:
            latest = {backend.id: backend for change in missed for backend in change}
            watch.send_list(self.version, False, latest.values())
        else:
            watch.send_list(self.version, True, self.known_backends.values())

    def watch_closed(self, watch: Watch) -> None:
        """The gateway has closed a watch."""
        self._watches.pop(watch, None)

    # Faults.

    def silence_watches(self) -> None:
        """Send nothing more on the open watches; later ones work."""
        if self._watches:
            self._silent_since = self._world.clock.now
        for watch in self._watches:
            watch.silent = True

    def reset_watches(self) -> None:
        """Reset the connections of all open watches."""
        for watch in list(self._watches):
            watch.stream.abort()
            self.watch_closed(watch)
