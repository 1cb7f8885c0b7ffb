"""The list of backends: the one remembered, then a watch that is resumed whenever it ends or falls silent."""

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

from .lists import MAX_ENTRIES, ListPart, ListReader
from .wire import Address, ThrottledLog, parse_address

log = logging.getLogger(__name__)
throttled_log = ThrottledLog(log)

# a watch says something every 2 s; what a silent one misses counts as told after 6 s
WATCH_SILENCE_TIMEOUT_S = 3.0
ANSWER_S = 1.0  # a new watch says something at once, as the agent is near; a silent agent is asked again
# but where calls wait their turn at a service that all gateways share, after this
SHARED_ANSWER_TIMEOUT_S = 3.5
LATE_MOST = 3  # calls there that may yet be answered, beside the last one
LOOK_S = 0.001  # timers go before what has come meanwhile: so long for that to be read
CONNECT_S = 1.0  # the agent is near: a connection that is not up by then never comes up
BACKOFF_S = 0.1  # wait before a new try: what the agent has counts as told, so it is soon asked again
CALM_SHARE = 0.25  # of the time between calls that the settings name: the first wait where calls are a load
CALM_MOST_S = 2.5  # and at most this
# from a watch's last word, or a call without one, to the next call: a change counts after 6 s
MAX_RECONNECT_GAP_S = 4.5
# backends that are kept in mind as leaving; as many as are known, if that is more
MAX_LEAVING_BACKENDS = 4096
# entries taken in at once, about 0.1 ms of work: a request needs some turns of the loop
ENTRIES_PER_SLICE = 8
NAMES_PER_SLICE = 64  # backends of which it is looked up at once whether a whole list named them
MAX_KNOWN_BACKENDS = 2 * MAX_ENTRIES  # backends: what a list names, and what it is about to leave out
PARSE_ERRORS = (ValueError, TypeError, KeyError, AttributeError)

LIFECYCLE_STATES = {
    "Ready": io.BackendState.UP,
    "Terminating": io.BackendState.DRAINING,
    "Gone": io.BackendState.REMOVED,
}


@dataclass(slots=True)
class Listing:
    """A list or changes of it: for the module, and where each backend listens."""

    event: io.BackendsChanged
    addresses: dict[str, Address]


def parse_listing(raw: dict) -> Listing:
    """Discovery's form of a list, as remembered; raises one of PARSE_ERRORS where it is none."""
    found = [entry for entry in map(_entry, raw.get("instances") or ()) if entry is not None]
    addresses = {backend.id: where for backend, where in found if where is not None}
    version, backends = int(raw.get("generation") or 0), tuple(backend for backend, _ in found)
    return Listing(io.BackendsChanged(io.ListKind.CACHED, version, backends), addresses)


def _entry(raw: dict) -> tuple[io.Backend, Address | None] | None:
    """A backend and where it listens, unless it is gone; none where it can't be read."""
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
    except PARSE_ERRORS as error:  # one bad entry must not hide the others
        throttled_log.warning("discovery: %.200r is passed over: %r", raw, error)
        return None


class Watch(asyncio.Protocol):
    """One watch, until its connection ends and what came over it is taken in. `take` does a slice of that;
    what is left is done after all else that waits, and until then nothing more is read."""

    def __init__(self, target: str, host: str, take: Callable[[ListReader], bool]):
        self._loop = asyncio.get_running_loop()
        self._request = f"GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode()
        self._take, self._reader = take, ListReader()
        self._busy = self._complete = self._lost = self._over = False
        self._parser = httptools.HttpResponseParser(self)
        self.ended = self._loop.create_future()
        self.transport: asyncio.Transport | None = None
        self.spoke, self.heard_at = False, self._loop.time()  # at all; when it last did, or came up
        self._blank: bool | None = None  # whether what came last is white space alone

    def connection_made(self, transport) -> None:
        if self._over:
            transport.abort()
            return
        self.transport, self.heard_at = transport, self._loop.time()
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        spoke_at, self._blank = self.heard_at, None
        self.spoke, self.heard_at = True, self._loop.time()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:  # what a callback raised is its context
            throttled_log.warning("discovery: %r", error.__context__ or error)
            self.stop()
            return
        if self._blank and self._reader.in_object:
            self.heard_at = spoke_at  # white space does not bring an object to its end
        if not self._busy:
            self._work()

    def on_headers_complete(self) -> None:
        if self._parser.get_status_code() != 200:
            raise ValueError(f"answered {self._parser.get_status_code()}")

    def on_body(self, body: bytes) -> None:
        self._blank = self._blank is not False and body.isspace()
        self._reader.feed(body)

    def on_message_complete(self) -> None:
        self._complete = True

    def _work(self) -> None:
        if self._over:
            return
        try:
            more = self._take(self._reader)
        except Exception as error:
            throttled_log.warning("discovery: %r", error)
            self.stop()
            return
        if more != self._busy and not self._lost:
            (self.transport.pause_reading if more else self.transport.resume_reading)()
        if self._busy or more:
            self.heard_at = self._loop.time()  # what came meanwhile is still to be read
        self._busy = more
        if more:
            self._loop.call_soon(self._work)
        elif self._lost:
            self._end()
        elif self._complete:
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self._parser = None  # they hold each other
        self._lost = True
        if not self._busy:
            self._end()

    def stop(self) -> None:
        """What is left of it is not heard."""
        self._over = True
        if self.transport is not None:
            self.transport.abort()
        self._end()

    def _end(self) -> None:
        if not self.ended.done():
            self.ended.set_result(None)

    async def fallen_silent(self, answer_s: float) -> None:
        """Until it has ended, or said nothing for so long that it is taken for dead."""
        while not self.ended.done():
            left_s = self.heard_at + (WATCH_SILENCE_TIMEOUT_S if self.spoke else answer_s) - self._loop.time()
            if left_s > 0.0:
                # it may speak meanwhile
                await asyncio.wait([self.ended], timeout=min(left_s, WATCH_SILENCE_TIMEOUT_S))
                continue
            heard_at = self.heard_at
            await asyncio.sleep(LOOK_S)  # we may have stood still ourselves
            if self.heard_at == heard_at:
                return


class Taken:
    """What has been taken in of the object that is under way."""

    def __init__(self) -> None:
        self.version: int | None = None
        self.stale: bool | None = None  # older than one before
        # Of text and nothing else, so that the collector passes it over; a set it would go through.
        self.listed_ids: dict[str, None] = {}
        self.held: list[tuple[io.Backend, Address | None]] = []  # until it shows whether it is stale
        self.unnamed: Iterator[str] | None = None  # after the end of a whole list: what it may have left out


class DiscoveryClient:
    """Keeps a watch open; tells `told` what each list changes, in parts. The last part may hold nothing."""

    def __init__(
        self,
        where: Address,
        version: int,
        told: Callable[[Listing], None],
        ask_every_s: float = 0.0,
        draw: Callable[[], float] | None = None,
    ):
        self._ask_every_s = ask_every_s  # above 0 where calls load a service that all gateways share
        self._wait, self._draw = 0.0, draw or random.random  # evenly from [0, 1)
        self._where, self._version, self._told = where, version, told
        self._watch: Watch | None = None
        self._late: deque[Watch] = deque()  # calls that were not answered in time, and may be yet
        self._heard_at = 0.0  # when discovery was last heard before this watch, or this began
        self._silent_since: float | None = None  # before the first object of this watch
        self._lists = 0  # heard so far
        self._newest = version  # of all places so far
        self._known: dict[str, tuple[io.Backend, Address]] = {}  # those not gone, as last told
        self._leaving: dict[str, float] = {}  # or left out of a whole list; with their start
        self._current_list = Taken()
        self._task: asyncio.Task | None = None
        self.first_list_received = asyncio.Event()  # set with the first list that is not merely remembered

    def set_known_backends(self, found: Listing) -> None:
        """What is known before the first watch."""
        self._known = {
            backend.id: (backend, found.addresses[backend.id])
            for backend in found.event.backends
            if backend.state is not io.BackendState.REMOVED
        }

    def start(self) -> None:
        if self._watch is None:
            self._heard_at = asyncio.get_running_loop().time()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
        if self._watch is not None:
            self._watch.stop()
        while self._late:
            self._late.pop().stop()

    def restart(self, full: bool = False) -> None:
        """Watch anew, from the whole list if that is wanted."""
        if full:
            self._version = 0
        if self._watch is not None and self._watch.transport is not None:
            self._watch.stop()

    def set_address(self, where: Address) -> None:
        """Watch there, at once, and from the whole list: versions of the old place may mean nothing there."""
        if where != self._where:
            self.stop()
            self._where, self._version, self._wait = where, 0, 0.0
            self.start()

    async def _run(self) -> None:
        while True:
            before = self._lists
            await self._watched()
            silent_s = asyncio.get_running_loop().time() - self._watch.heard_at
            await asyncio.sleep(self._retry_delay_s(self._lists > before, silent_s))

    def _retry_delay_s(self, heard: bool, silent_s: float) -> float:
        """The wait before the next watch, in s; `heard`: the last one brought a list; `silent_s`: since its
        last word, or its call. Drawn at random where all gateways share the service: many watches end at
        one moment, and would all be back at one."""
        if self._ask_every_s <= 0.0:
            return BACKOFF_S
        least = min(CALM_MOST_S, self._ask_every_s * CALM_SHARE)
        self._wait = least if heard else min(self._ask_every_s, self._wait * 2 or least)
        return min(self._wait, max(0.0, MAX_RECONNECT_GAP_S - silent_s)) * self._draw()

    async def _watched(self) -> None:
        """One watch from its start to its end, or another that was given up before and speaks first."""
        try:
            if not self._speaks():
                await self._open()
            watch = None
            while watch is not self._watch:
                watch = self._watch
                await watch.fallen_silent(SHARED_ANSWER_TIMEOUT_S if self._ask_every_s > 0.0 else ANSWER_S)
            self._put_off(watch)
        except asyncio.CancelledError:  # what an old place still says is not heard
            self._watch.stop()
            raise

    def _speaks(self) -> bool:
        """Whether a watch that was given up has spoken since."""
        return self._watch is not None and self._watch.spoke and not self._watch.ended.done()

    async def _open(self) -> None:
        target = "/v1/servers?watch=1" + (f"&after={self._version}" if self._version else "")
        host = f"{self._where[0]}:{self._where[1]}"
        loop = asyncio.get_running_loop()
        self._current_list = Taken()  # a list that broke off leaves out nothing; what it said stands
        if self._watch is not None and self._watch.spoke:
            self._heard_at = self._watch.heard_at
        self._silent_since = self._heard_at
        watch = self._watch = Watch(target, host, lambda reader: self._take_from(watch, reader))
        try:
            async with asyncio.timeout(CONNECT_S):
                await loop.create_connection(lambda: watch, *self._where)
        except (OSError, TimeoutError):
            watch.stop()

    def _put_off(self, watch: Watch) -> None:
        """A call that has its turn yet to come at a shared service is not given up for the next one: it would
        never be heard. All else ends."""
        if self._ask_every_s <= 0.0 or watch.spoke or watch.ended.done():
            watch.stop()
            return
        self._late.append(watch)
        if len(self._late) > LATE_MOST:
            self._late.popleft().stop()

    def _take_from(self, watch: Watch, reader: ListReader) -> bool:
        """What a watch says. The first one to speak is the one that counts; the others end."""
        if watch in self._late:
            self._late.remove(watch)
            if watch is not self._watch:
                before, self._watch = self._watch, watch
                before.stop()
        while self._late:
            self._late.pop().stop()
        return self._take_slice(reader)

    def _take_slice(self, reader: ListReader) -> bool:
        """Take in a slice of what came; whether there is more to do."""
        taken, changes = self._current_list, Listing(io.BackendsChanged(io.ListKind.DELTA), {})
        backends: list[io.Backend] = []
        if taken.unnamed is None:
            part = reader.read(ENTRIES_PER_SLICE)
            if part is None:
                return False
            self._entries(part, backends, changes.addresses)
            ends = part.is_last
        if taken.unnamed is not None:
            names = list(islice(taken.unnamed, NAMES_PER_SLICE))
            backends += [self._gone(name) for name in names if name not in taken.listed_ids]
            ends = len(names) < NAMES_PER_SLICE
        if backends or ends:
            changes.event.version, changes.event.backends = taken.version or 0, tuple(backends)
            if self._silent_since is not None:
                changes.event.outage_ms = (self._watch.heard_at - self._silent_since) * 1000.0
            self._told(changes)
        if ends:
            self._silent_since = None
            self._version, self._lists, self._current_list = taken.version, self._lists + 1, Taken()
            self.first_list_received.set()
        return reader.has_unread() or self._current_list.unnamed is not None

    def _entries(self, part: ListPart, backends: list[io.Backend], addresses: dict[str, Address]) -> None:
        """What of a part is a change."""
        taken = self._current_list
        if taken.version is None and (part.is_last or part.generation is not None):
            taken.version = int(part.generation or 0)
            taken.stale = taken.version < self._newest
            self._newest = max(self._newest, taken.version)
        found = map(_entry, part.entries)
        if taken.held and taken.stale is not None:
            found, taken.held = [*taken.held, *found], []
        for entry in found:
            if entry is not None and self._changes(*entry):
                backends.append(entry[0])
                addresses[entry[0].id] = entry[1]
        if part.is_last and part.reset:
            taken.unnamed = iter(list(self._known))

    def _changes(self, backend: io.Backend, where: Address | None) -> bool:
        """Whether an entry differs from what is known, which it then is. A list older than one before, as a
        new place may have that is behind, takes no leave back: only another process under that name does."""
        name, taken, known = backend.id, self._current_list, self._known.get(backend.id)
        # the one that is kept: the other goes at once
        taken.listed_ids[known[0].id if known else name] = None
        if backend.state is io.BackendState.UP and backend.started_ms <= self._leaving.get(name, -1.0):
            if taken.stale is None:
                taken.held.append((backend, where))
                return False
            if taken.stale:
                backend.state = io.BackendState.DRAINING
        if backend.state is io.BackendState.UP:
            self._leaving.pop(name, None)
        else:
            self._leave(name, max(backend.started_ms, known[0].started_ms if known else 0.0))
        if backend.state is io.BackendState.REMOVED:
            return self._known.pop(name, None) is not None
        if known == (backend, where):
            return False
        if known is None and len(self._known) >= MAX_KNOWN_BACKENDS:
            raise ValueError(f"over {MAX_KNOWN_BACKENDS} backends")
        self._known[name] = backend, where
        return True

    def _gone(self, name: str) -> io.Backend:
        backend, _ = self._known.pop(name)
        self._leave(name, backend.started_ms)
        return replace(backend, state=io.BackendState.REMOVED)

    def _leave(self, name: str, started: float) -> None:
        self._leaving[name] = started
        while len(self._leaving) > max(MAX_LEAVING_BACKENDS, len(self._known)):
            del self._leaving[next(iter(self._leaving))]
