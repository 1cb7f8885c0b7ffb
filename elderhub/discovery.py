"""The discovery client: keeps the list of backends current by a watch, reopened when it ends or falls silent.

A watch is a response of the discovery service that goes on for as long as its connection: a list of backends
or changes to it as JSON objects, with white space in between as a heartbeat.
"""

from __future__ import annotations

import asyncio
import logging
import random
import sys
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from itertools import islice

import httptools

from cobaltline import interface as io

from .address_owners import AddressOwners
from .lists import MAX_ENTRIES, ListPart, ListReader
from .wire import Address, ThrottledLog, parse_address

log = logging.getLogger(__name__)
throttled_log = ThrottledLog(log)

# Heartbeats come every 2 s. A gateway has to act on a change 6 s after discovery has it, so a silent watch is
# reopened well before that.
WATCH_SILENCE_TIMEOUT_S = 3.0
FIRST_ANSWER_TIMEOUT_S = 1.0  # for the first bytes of a new watch of an agent of the gateway's own
SHARED_ANSWER_TIMEOUT_S = 3.5  # the same of a service that all gateways share, where calls queue
MAX_PENDING_WATCHES = 3  # earlier watches of a shared service that may still be answered
STALL_RECHECK_S = 0.001  # timers run before input that arrived in a stall of the loop; this lets it be read
CONNECT_TIMEOUT_S = 1.0  # the agent is near: a connection that is not open by then never opens
# Before a new watch of an agent of the gateway's own, soon, as what the agent has counts as announced.
RETRY_DELAY_S = 0.1
# First delay before a new watch of a shared service: a share of the polling interval, with an upper bound.
SHARED_RETRY_SHARE = 0.25
MAX_FIRST_SHARED_RETRY_S = 2.5
# From the last input of a watch, or its start if there was none, to the next watch, for the same 6 s.
MAX_RECONNECT_GAP_S = 4.5
MAX_LEAVING_BACKENDS = 4096  # remembered as draining or removed, or the number of known backends if higher
ENTRIES_PER_SLICE = 8  # processed in one turn of the loop, about 0.1 ms of work, to keep requests going
NAMES_PER_SLICE = 64  # the same for known backends that are looked up in a complete list
MAX_KNOWN_BACKENDS = 2 * MAX_ENTRIES  # the entries of a list, and the backends that it is about to remove
PARSE_ERRORS = (ValueError, TypeError, KeyError, AttributeError)

LIFECYCLE_STATES = {
    "Ready": io.BackendState.UP,
    "Terminating": io.BackendState.DRAINING,
    "Gone": io.BackendState.REMOVED,
}


@dataclass(slots=True)
class Listing:
    """A list of backends or a change to one: the module's event, and the address of each backend by id."""

    event: io.BackendsChanged
    addresses: dict[str, Address]


def parse_listing(raw: dict) -> Listing:
    """Parses a list in discovery's JSON form, as cached in the configuration; raises one of PARSE_ERRORS.

    Malformed entries are skipped.
    """
    entries = [entry for entry in map(_parse_entry, raw.get("instances") or ()) if entry is not None]
    addresses = {backend.id: address for backend, address in entries if address is not None}
    version, backends = int(raw.get("generation") or 0), tuple(backend for backend, _ in entries)
    return Listing(io.BackendsChanged(io.ListKind.CACHED, version, backends), addresses)


def _parse_entry(raw: dict) -> tuple[io.Backend, Address | None] | None:
    """Returns a backend and its address, which is None if the backend is removed; None if malformed."""
    try:
        backend = io.Backend(
            id=str(raw["instanceId"]),
            zone=sys.intern(str(raw.get("zone", ""))),
            kind=sys.intern(str(raw.get("machineType", ""))),
            cell=int(raw.get("cell") or 0),
            state=LIFECYCLE_STATES[raw["lifecycle"]],
            weight=float(raw.get("weight", 1.0)),
            started_ms=float(raw.get("startedAtMs") or 0.0),
        )
        return backend, None if backend.state is io.BackendState.REMOVED else parse_address(raw["hostPort"])
    except PARSE_ERRORS as error:  # one malformed entry must not hide the others
        throttled_log.warning("discovery: skipping malformed entry %.200r: %r", raw, error)
        return None


class Watch(asyncio.Protocol):
    """One watch, until its connection has ended and its input is processed.

    `consume` processes a slice of the input that `ListReader` holds and returns whether there is more. The
    rest is processed in later turns of the loop, and until then nothing more is read from the socket.
    """

    def __init__(self, target: str, host: str, consume: Callable[[ListReader], bool]):
        self._loop = asyncio.get_running_loop()
        self._request = f"GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode()
        self._consume, self._reader = consume, ListReader()
        self._is_consuming = self._is_complete = self._is_lost = self._is_stopped = False
        self._parser = httptools.HttpResponseParser(self)
        self.ended = self._loop.create_future()
        self.transport: asyncio.Transport | None = None
        # Any input was received; loop time of the last input, or of the start.
        self.has_answered, self.heard_at_s = False, self._loop.time()
        self._is_blank: bool | None = None  # the last input is white space only; None without a body

    def connection_made(self, transport) -> None:
        if self._is_stopped:
            transport.abort()
            return
        self.transport, self.heard_at_s = transport, self._loop.time()
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        previous_heard_at_s, self._is_blank = self.heard_at_s, None
        self.has_answered, self.heard_at_s = True, self._loop.time()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:  # its context is the error that a callback raised
            throttled_log.warning("discovery: watch closed: %r", error.__context__ or error)
            self.stop()
            return
        if self._is_blank and self._reader.in_object:
            self.heard_at_s = previous_heard_at_s  # white space inside an object is no heartbeat
        if not self._is_consuming:
            self._run_consumer()

    def on_headers_complete(self) -> None:
        if self._parser.get_status_code() != 200:
            raise ValueError(f"answered {self._parser.get_status_code()}")

    def on_body(self, body: bytes) -> None:
        self._is_blank = self._is_blank is not False and body.isspace()
        self._reader.feed(body)

    def on_message_complete(self) -> None:
        self._is_complete = True

    def _run_consumer(self) -> None:
        if self._is_stopped:
            return
        try:
            more = self._consume(self._reader)
        except Exception as error:
            throttled_log.warning("discovery: watch closed: %r", error)
            self.stop()
            return
        if more != self._is_consuming and not self._is_lost:
            (self.transport.pause_reading if more else self.transport.resume_reading)()
        if self._is_consuming or more:
            self.heard_at_s = self._loop.time()  # reading was paused, so heartbeats may lie unread
        self._is_consuming = more
        if more:
            self._loop.call_soon(self._run_consumer)
        elif self._is_lost:
            self._end()
        elif self._is_complete:
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self._parser = None  # breaks the reference cycle with the parser
        self._is_lost = True
        if not self._is_consuming:
            self._end()

    def stop(self) -> None:
        """Closes the watch and drops its unprocessed input."""
        self._is_stopped = True
        if self.transport is not None:
            self.transport.abort()
        self._end()

    def _end(self) -> None:
        if not self.ended.done():
            self.ended.set_result(None)

    async def wait_for_silence(self, answer_timeout_s: float) -> None:
        """Returns once the watch has ended or been silent for too long.

        `answer_timeout_s` applies before its first input, WATCH_SILENCE_TIMEOUT_S after it.
        """
        while not self.ended.done():
            remaining_s = (
                self.heard_at_s
                + (WATCH_SILENCE_TIMEOUT_S if self.has_answered else answer_timeout_s)
                - self._loop.time()
            )
            if remaining_s > 0.0:
                # The first input shortens the timeout.
                await asyncio.wait([self.ended], timeout=min(remaining_s, WATCH_SILENCE_TIMEOUT_S))
                continue
            heard_at_s = self.heard_at_s
            await asyncio.sleep(STALL_RECHECK_S)  # the loop may have been stalled
            if self.heard_at_s == heard_at_s:
                return


class PendingList:
    """State of the list or change that is being received."""

    def __init__(self) -> None:
        self.version: int | None = None
        self.is_stale: bool | None = None  # older than the newest one; None until its version is known
        # A dict of strings only is not tracked by the garbage collector, while a set would be traversed.
        self.listed_ids: dict[str, None] = {}
        # Entries that can be judged only once it is known whether the list is stale.
        self.undecided: list[tuple[io.Backend, Address | None]] = []
        # Known backends still to be checked for absence, after the end of a complete list.
        self.unlisted_ids: Iterator[str] | None = None


class DiscoveryClient:
    """Keeps a watch open and calls `on_change` with what each list changes, in parts.

    The last part of a list may be empty. `version` is that of the cached list. `poll_interval_s` is above 0
    where discovery is a service that all gateways share and calls are a load for it. `random_unit` returns
    numbers evenly distributed over [0, 1).
    """

    def __init__(
        self,
        address: Address,
        version: int,
        on_change: Callable[[Listing], None],
        poll_interval_s: float = 0.0,
        random_unit: Callable[[], float] | None = None,
    ):
        self._poll_interval_s = poll_interval_s
        self._retry_wait_s, self._random_unit = 0.0, random_unit or random.random
        self._address, self._version, self._on_change = address, version, on_change
        self._watch: Watch | None = None
        self._pending_watches: deque[Watch] = deque()  # not answered in time, but may still be
        self._heard_at_s = 0.0  # loop time of the last input before this watch, or of the start
        self._silent_since_s: float | None = None  # the same, until the first object of this watch
        self._list_count = 0  # received so far
        self._newest_version = version  # over all addresses of discovery
        # As last reported, without removed ones.
        self._known: dict[str, tuple[io.Backend, Address]] = {}
        self._owners = AddressOwners()
        self._leaving: dict[str, float] = {}  # start time of backends that drain or were removed
        self._current_list = PendingList()
        self._task: asyncio.Task | None = None
        self.first_list_received = asyncio.Event()  # set by the first list of a watch, not by the cached one

    def set_known_backends(self, listing: Listing) -> None:
        """Sets the backends that are known before the first watch; one that is displaced is set to drain."""
        self._known = {
            backend.id: (backend, listing.addresses[backend.id])
            for backend in listing.event.backends
            if backend.state is not io.BackendState.REMOVED
        }
        for backend, address in self._known.values():
            if backend.state is io.BackendState.UP:
                displaced = self._owners.claim(backend, address)
                if displaced is not None:
                    displaced.state = io.BackendState.DRAINING

    def start(self) -> None:
        """Starts to watch."""
        if self._watch is None:
            self._heard_at_s = asyncio.get_running_loop().time()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Closes all watches and opens no more."""
        if self._task is not None:
            self._task.cancel()
        if self._watch is not None:
            self._watch.stop()
        while self._pending_watches:
            self._pending_watches.pop().stop()

    def restart(self, full: bool = False) -> None:
        """Reopens the watch; with `full`, it starts with the complete list."""
        if full:
            self._version = 0
        if self._watch is not None and self._watch.transport is not None:
            self._watch.stop()

    def set_address(self, address: Address) -> None:
        """Moves the watch to another address.

        It starts there with the complete list, as versions of the old address may have no meaning there.
        """
        if address != self._address:
            self.stop()
            self._address, self._version, self._retry_wait_s = address, 0, 0.0
            self.start()

    async def _run(self) -> None:
        while True:
            list_count = self._list_count
            await self._watch_until_silent()
            silent_s = asyncio.get_running_loop().time() - self._watch.heard_at_s
            await asyncio.sleep(self._retry_delay_s(self._list_count > list_count, silent_s))

    def _retry_delay_s(self, had_list: bool, silent_s: float) -> float:
        """Returns the delay before the next watch, in seconds.

        `had_list` says whether the last watch brought a list, `silent_s` how long ago its last input, or else
        its start, was. For a shared service the delay is random and grows, since the watches of many gateways
        may end at the same moment.
        """
        if self._poll_interval_s <= 0.0:
            return RETRY_DELAY_S
        first_wait_s = min(MAX_FIRST_SHARED_RETRY_S, self._poll_interval_s * SHARED_RETRY_SHARE)
        self._retry_wait_s = (
            first_wait_s if had_list else min(self._poll_interval_s, self._retry_wait_s * 2 or first_wait_s)
        )
        return min(self._retry_wait_s, max(0.0, MAX_RECONNECT_GAP_S - silent_s)) * self._random_unit()

    async def _watch_until_silent(self) -> None:
        """Follows one watch until it ends or falls silent; an earlier one that is answered replaces it."""
        try:
            if not self._has_answering_watch():
                await self._open()
            watch = None
            while watch is not self._watch:
                watch = self._watch
                await watch.wait_for_silence(
                    SHARED_ANSWER_TIMEOUT_S if self._poll_interval_s > 0.0 else FIRST_ANSWER_TIMEOUT_S
                )
            self._give_up_watch(watch)
        except asyncio.CancelledError:  # further input of an old address is ignored
            self._watch.stop()
            raise

    def _has_answering_watch(self) -> bool:
        """Whether an earlier watch has been answered since and is still open."""
        return self._watch is not None and self._watch.has_answered and not self._watch.ended.done()

    async def _open(self) -> None:
        target = "/v1/servers?watch=1" + (f"&after={self._version}" if self._version else "")
        host = f"{self._address[0]}:{self._address[1]}"
        loop = asyncio.get_running_loop()
        # An interrupted list removes no backend; its entries up to then stay applied.
        self._current_list = PendingList()
        if self._watch is not None and self._watch.has_answered:
            self._heard_at_s = self._watch.heard_at_s
        self._silent_since_s = self._heard_at_s
        watch = self._watch = Watch(target, host, lambda reader: self._consume_from(watch, reader))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: watch, *self._address)
        except (OSError, TimeoutError):
            watch.stop()

    def _give_up_watch(self, watch: Watch) -> None:
        """Closes a watch, unless it may still wait for its turn at a shared service.

        Replacing such a watch by a new one each time would mean that none is ever answered.
        """
        if self._poll_interval_s <= 0.0 or watch.has_answered or watch.ended.done():
            watch.stop()
            return
        self._pending_watches.append(watch)
        if len(self._pending_watches) > MAX_PENDING_WATCHES:
            self._pending_watches.popleft().stop()

    def _consume_from(self, watch: Watch, reader: ListReader) -> bool:
        """Processes a slice of a watch's input. The first watch that is answered is kept, the others end."""
        if watch in self._pending_watches:
            self._pending_watches.remove(watch)
            if watch is not self._watch:
                replaced, self._watch = self._watch, watch
                replaced.stop()
        while self._pending_watches:
            self._pending_watches.pop().stop()
        return self._consume_slice(reader)

    def _consume_slice(self, reader: ListReader) -> bool:
        """Processes and reports a slice of the input; returns whether there is more."""
        pending, changes = self._current_list, Listing(io.BackendsChanged(io.ListKind.DELTA), {})
        backends: list[io.Backend] = []
        if pending.unlisted_ids is None:
            part = reader.read(ENTRIES_PER_SLICE)
            if part is None:
                return False
            self._consume_entries(part, backends, changes.addresses)
            is_last = part.is_last
        if pending.unlisted_ids is not None:
            ids = list(islice(pending.unlisted_ids, NAMES_PER_SLICE))
            backends += [self._remove_unlisted(name) for name in ids if name not in pending.listed_ids]
            is_last = len(ids) < NAMES_PER_SLICE
        if backends or is_last:
            changes.event.version, changes.event.backends = pending.version or 0, tuple(backends)
            if self._silent_since_s is not None:
                changes.event.outage_ms = (self._watch.heard_at_s - self._silent_since_s) * 1000.0
            self._on_change(changes)
        if is_last:
            self._silent_since_s = None
            self._version, self._list_count, self._current_list = (
                pending.version,
                self._list_count + 1,
                PendingList(),
            )
            self.first_list_received.set()
        return reader.has_unread() or self._current_list.unlisted_ids is not None

    def _consume_entries(
        self, part: ListPart, backends: list[io.Backend], addresses: dict[str, Address]
    ) -> None:
        """Adds the entries of a part that change anything to `backends` and `addresses`."""
        pending = self._current_list
        if pending.version is None and (part.is_last or part.generation is not None):
            pending.version = int(part.generation or 0)
            pending.is_stale = pending.version < self._newest_version
            self._newest_version = max(self._newest_version, pending.version)
        entries = map(_parse_entry, part.entries)
        if pending.undecided and pending.is_stale is not None:
            entries, pending.undecided = [*pending.undecided, *entries], []
        for backend, address in (entry for entry in entries if entry is not None):
            for changed in self._apply_entry(backend, address):
                backends.append(changed)
                addresses[changed.id] = address
        if part.is_last and part.reset:
            pending.unlisted_ids = iter(list(self._known))

    def _apply_entry(self, backend: io.Backend, address: Address | None) -> list[io.Backend]:
        """Records an entry; returns what differs from what is known: it and a backend that it displaces.

        In a stale list, as another address of discovery may have, a leaving backend stays draining unless it
        has restarted.
        """
        name, pending, known = backend.id, self._current_list, self._known.get(backend.id)
        # The id object that is kept in `_known`, so that the one just decoded is freed.
        pending.listed_ids[known[0].id if known else name] = None
        if backend.state is io.BackendState.UP and backend.started_ms <= self._leaving.get(name, -1.0):
            if pending.is_stale is None:
                pending.undecided.append((backend, address))
                return []
            if pending.is_stale:
                backend.state = io.BackendState.DRAINING
        changed = self._claim_address(backend, address)
        if backend.state is io.BackendState.UP:
            self._leaving.pop(name, None)
        else:
            self._note_leaving(name, max(backend.started_ms, known[0].started_ms if known else 0.0))
        if backend.state is io.BackendState.REMOVED:
            return [*changed, backend] if self._known.pop(name, None) is not None else changed
        if known == (backend, address):
            return changed
        if known is None and len(self._known) >= MAX_KNOWN_BACKENDS:
            raise ValueError(f"over {MAX_KNOWN_BACKENDS} backends")
        self._known[name] = backend, address
        return [*changed, backend]

    def _claim_address(self, backend: io.Backend, address: Address | None) -> list[io.Backend]:
        """Records which backend listens at an address; returns the one that is displaced there, draining.

        `backend` itself is set to drain if a process that started later is listed with its address.
        """
        known = self._known.get(backend.id)
        if known is not None and (backend.state is not io.BackendState.UP or known[1] != address):
            self._owners.release(backend.id, known[1])
        if backend.state is not io.BackendState.UP:
            return []
        displaced = self._owners.claim(backend, address)
        if displaced is None:
            return []
        throttled_log.warning("%s has taken the address of %s", backend.id, displaced.id)
        displaced = replace(displaced, state=io.BackendState.DRAINING)
        self._known[displaced.id] = displaced, address
        self._note_leaving(displaced.id, displaced.started_ms)
        return [displaced]

    def _remove_unlisted(self, name: str) -> io.Backend:
        backend, address = self._known.pop(name)
        self._owners.release(name, address)
        self._note_leaving(name, backend.started_ms)
        return replace(backend, state=io.BackendState.REMOVED)

    def _note_leaving(self, name: str, started_ms: float) -> None:
        self._leaving[name] = started_ms
        while len(self._leaving) > max(MAX_LEAVING_BACKENDS, len(self._known)):
            del self._leaving[next(iter(self._leaving))]
