"""Connections in memory: what a kernel and the wire between two of them do, on one virtual clock.

Bytes go in order, late by the link, and may be cut anywhere. A window bounds what was sent and not yet read;
an end may be half open; closing over unread bytes resets; a listening socket's queue may be full; connections
may come up late or never, and a machine may be out of descriptors. All that is sent goes into one hash.
"""

from __future__ import annotations

import errno
import hashlib
import select
from collections import deque
from collections.abc import Callable
from random import Random

from scale.clock import Clock
from scale.links import Links

Address = tuple[str, int]

WINDOW_BYTES = 128 * 1024  # bytes of one direction that are sent and not yet read, both buffers together
SPLIT_SHARE = 0.02  # of what is sent comes in two pieces
SPLIT_DELAY_MS = (0.0, 3.0)  # the second so long after the first
JITTER = 0.1  # of the link's delay, at most
SYN_MS = (1000.0, 2000.0, 4000.0)  # a call for a connection that got no answer is made again after these
ERRORS = select.POLLERR | select.POLLHUP


class Machine:
    """Where sockets live. `descriptors` bounds them; a silent one neither hears nor says anything."""

    def __init__(self, network: Network, name: str, zone: str, descriptors: int | None = None, used: int = 0):
        self.network, self.name, self.zone = network, name, zone
        self.files: dict[int, Socket | Listener] = {}  # by descriptor, in the order they were opened
        self._descriptors, self._used = descriptors, used
        self._next = used
        self.most_files = used  # held at once
        self.dead = False  # its process has ended

    @property
    def silent(self) -> bool:
        return False

    @property
    def refuses(self) -> bool:
        """No process is there to listen."""
        return False

    def claim(self, what: Socket | Listener) -> int:
        """A descriptor; raises OSError where none is left."""
        if self.dead:
            raise OSError(errno.ESRCH, "No such process")
        held = len(self.files) + self._used
        if self._descriptors is not None and held >= self._descriptors:
            raise OSError(errno.EMFILE, "Too many open files")
        self._next += 1  # never one that was held before: nothing can be taken for what it is not
        self.files[self._next] = what
        self.most_files = max(self.most_files, held + 1)
        return self._next

    def listen(self, where: Address, backlog: int, ready: Callable[[], None]) -> Listener:
        """`ready` is called whenever a connection has come into the queue. Raises OSError."""
        if where in self.network.listening:
            raise OSError(errno.EADDRINUSE, f"{where} is in use")
        found = self.network.listening[where] = Listener(self, where, backlog, ready)
        return found

    def die(self, reset: bool = True) -> None:
        """The process ends: its connections are reset, or closed as they are, and new ones are refused."""
        self.dead = True
        for file in list(self.files.values()):
            if reset and isinstance(file, Socket):
                file.abort()
            else:
                file.close()


class Listener:
    """A listening socket."""

    def __init__(self, machine: Machine, where: Address, backlog: int, ready: Callable[[], None]):
        self.machine, self.where, self._backlog, self.ready = machine, where, backlog, ready
        self._number = machine.claim(self)
        self.queue: deque[Socket] = deque()
        self.dropped = 0  # calls that found the queue full

    def fileno(self) -> int:
        return self._number

    def full(self) -> bool:
        if len(self.queue) <= self._backlog:
            return False
        self.dropped += 1
        return True

    def accept(self) -> tuple[Socket, Address]:
        if not self.queue:
            raise BlockingIOError(errno.EAGAIN, "nobody waits")
        self.queue[0].own()
        return self.queue.popleft(), ("client", 0)

    def close(self) -> None:
        if self._number < 0:
            return
        del self.machine.files[self._number], self.machine.network.listening[self.where]
        self._number = -1
        while self.queue:
            self.queue.popleft().abort()


class Socket:
    """One end of a connection. `reader` is called when there is something to read, or an end; `writer` when
    more can be written."""

    __slots__ = (
        "machine",
        "number",
        "name",
        "peer",
        "receive_buffer",
        "ended",
        "reset",
        "shut",
        "closed",
        "window",
        "blocked",
        "due",
        "reader",
        "writer",
        "send_closed_at",
        "sent_at",
        "up",
    )

    def __init__(self, machine: Machine, name: int):
        self.machine, self.name = machine, name  # the connection's number, with its side as the sign
        self.number = -1
        self.peer: Socket | None = None
        self.receive_buffer = bytearray()
        self.ended = self.reset = False  # the other side has; as far as it has come here
        self.shut = self.closed = self.up = False
        self.send_closed_at = float("inf")  # when this side ended its sending, or closed
        self.window, self.blocked, self.due = WINDOW_BYTES, False, 0.0
        self.sent_at = 0.0  # when bytes last left
        self.reader: Callable[[], None] = _nobody
        self.writer: Callable[[], None] = _nobody

    def own(self) -> Socket:
        """Take a descriptor for it; raises OSError."""
        self.number = self.machine.claim(self)
        return self

    def fileno(self) -> int:
        return self.number

    def setblocking(self, flag: bool) -> None:
        """It never blocks."""

    def send(self, data: bytes) -> int:
        """How many bytes are taken; raises OSError where the connection has ended."""
        if self.reset or self.closed:
            raise ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
        if self.shut:
            raise BrokenPipeError(errno.EPIPE, "Broken pipe")
        taken = min(len(data), self.window)
        if taken < len(data):
            self.blocked = True
        if taken:
            self.window -= taken
            self.sent_at = self.machine.network.clock.now
            self.machine.network.carry(self, bytes(data[:taken]))
        return taken

    def read(self, most: int) -> bytes:
        """What has come, at most so much; empty where nothing has."""
        data = bytes(self.receive_buffer[:most])
        if data:
            del self.receive_buffer[:most]
            peer = self.peer
            peer.window += len(data)
            if peer.blocked:
                peer.blocked = False
                self.machine.network.later(self, _call_writer, peer)
        return data

    def shutdown(self) -> None:
        """End the sending; what comes is still read."""
        if not (self.shut or self.closed or self.reset):
            self.shut, self.send_closed_at = True, self.machine.network.clock.now
            self.machine.network.carry(self, None)

    def close(self) -> None:
        """Over unread bytes, a reset."""
        if not self.closed:
            self._end(bool(self.receive_buffer))

    def abort(self) -> None:
        if not self.closed:
            self._end(True)

    def _end(self, reset: bool) -> None:
        self.closed = True
        self.send_closed_at = min(self.send_closed_at, self.machine.network.clock.now)
        self.receive_buffer.clear()
        self.machine.files.pop(self.number, None)
        if self.peer is None or self.reset:
            return
        if reset or not self.up:
            self.machine.network.carry(self, RESET)
        elif not self.shut:
            self.machine.network.carry(self, None)

    def arrive(self, data: bytes | None) -> None:
        """Bytes, an end or a reset have come."""
        if self.machine.silent or self.reset:
            return
        if self.closed:
            if data is not RESET and data is not None:
                self.machine.network.carry(self, RESET)
            return
        if data is RESET:
            self.reset = True
        elif data is None:
            self.ended = True
        else:
            self.receive_buffer += data
        self.reader()

    def events(self) -> int:
        """As `poll` tells them."""
        found = select.POLLIN if self.receive_buffer or self.ended or self.reset else 0
        if self.ended or self.reset:
            found |= select.POLLRDHUP
        if self.reset:
            found |= ERRORS
        elif self.ended and self.shut:
            found |= select.POLLHUP
        return found


RESET = b"\0reset"  # told apart by identity


def _nobody() -> None:
    """Nobody looks at this end yet."""


def _call_writer(sock: Socket) -> None:
    if not (sock.closed or sock.machine.silent):
        sock.writer()


class Poll:
    """Stands in for `select.poll` on one machine."""

    def __init__(self, machine: Machine):
        self._files, self._wanted = machine.files, {}

    def register(self, number: int, events: int) -> None:
        self._wanted[number] = events | ERRORS

    def poll(self, timeout_ms: float) -> list[tuple[int, int]]:
        """What is so now; it never waits."""
        found = []
        for number, wanted in self._wanted.items():
            sock = self._files.get(number)
            events = sock.events() & wanted if sock is not None else select.POLLNVAL
            if events:
                found.append((number, events))
        return found


class Network:
    """The wire between all machines, with what goes wrong on it."""

    def __init__(self, clock: Clock, links: Links, rng: Random):
        self.clock, self.links, self._rng = clock, links, rng
        self.listening: dict[Address, Listener] = {}
        self.bytes = self.connections = 0  # sent; made or tried
        self._digest = hashlib.blake2b(digest_size=16)
        self._held: list[tuple[Socket, bytes | None]] = []  # sent over links that are cut
        # What a connection to this address has to wait before it comes up, in ms; None: it never does.
        self.connect_delay_ms: Callable[[Address, Random], float | None] = lambda where, rng: 0.0

    def digest(self) -> str:
        """Over all that was sent so far: by which end, when it comes, and its bytes."""
        return self._digest.hexdigest()

    def _delay(self, a: Machine, b: Machine) -> float:
        return self.links.delay_ms(a.zone, b.zone)

    def later(self, sock: Socket, call: Callable, *args) -> None:
        """When a word from this end has reached the other."""
        self.clock.call_at(self.clock.now + self._delay(sock.machine, sock.peer.machine), call, *args)

    def carry(self, sock: Socket, data: bytes | None) -> None:
        """Bytes, an end (None) or a reset, to the other end. Over a cut link they wait until it is healed."""
        if sock.machine.silent or sock.peer is None:
            return
        if not self.links.can_reach(sock.machine.zone, sock.peer.machine.zone):
            self._held.append((sock, data))
            return
        if data is None or data is RESET or len(data) < 2 or self._rng.random() >= SPLIT_SHARE:
            self._bring(sock, data, 0.0)
        else:
            at = self._rng.randrange(1, len(data))
            self._bring(sock, data[:at], 0.0)
            self._bring(sock, data[at:], self._rng.uniform(*SPLIT_DELAY_MS))

    def _bring(self, sock: Socket, data: bytes | None, wait_ms: float) -> None:
        delay = self._delay(sock.machine, sock.peer.machine) * (1.0 + JITTER * self._rng.random())
        sock.due = max(sock.due, self.clock.now + delay + wait_ms)
        body = data or b""
        self.bytes += len(body) if data is not RESET else 0
        self._digest.update(b"%d %r %d " % (sock.name, sock.due, len(body)))
        self._digest.update(body)
        self.clock.call_at(sock.due, sock.peer.arrive, data)

    def send_held(self) -> None:
        """Links may reach again: what waited goes on."""
        held, self._held = self._held, []
        for sock, data in held:
            self.carry(sock, data)

    def connect(
        self, machine: Machine, where: Address, up: Callable[[], None], failed: Callable[[OSError], None]
    ) -> Socket:
        """Begin a connection; raises OSError where there is no descriptor. One of the two is called later, or
        none where it never comes up; none once the socket was closed."""
        self.connections += 1
        sock = Socket(machine, self.connections).own()
        wait_ms = self.connect_delay_ms(where, self._rng)
        if wait_ms is not None:
            self.clock.call_at(self.clock.now + wait_ms, self._call, sock, where, up, failed, 0)
        return sock

    def _call(self, sock: Socket, where: Address, up, failed, turn: int) -> None:
        if sock.closed:
            return
        there = self.listening.get(where)
        zone = there.machine.zone if there is not None else self._zone(where, sock)
        if not self.links.can_reach(sock.machine.zone, zone):
            self._call_again(sock, where, up, failed, turn)
            return
        delay = self.links.delay_ms(sock.machine.zone, zone)
        self.clock.call_at(self.clock.now + delay, self._called, sock, where, up, failed, turn, delay)

    def _zone(self, where: Address, sock: Socket) -> str:
        return sock.machine.zone  # of a place where nobody listens: its neighbour says so

    def _call_again(self, sock: Socket, where: Address, up, failed, turn: int) -> None:
        if turn < len(SYN_MS):
            self.clock.call_at(self.clock.now + SYN_MS[turn], self._call, sock, where, up, failed, turn + 1)

    def _called(self, sock: Socket, where: Address, up, failed, turn: int, delay: float) -> None:
        if sock.closed:
            return
        there = self.listening.get(where)
        if there is None or there.machine.refuses:
            self.clock.call_at(self.clock.now + delay, self._refused, sock, failed)
        elif there.machine.silent or there.full():
            self._call_again(sock, where, up, failed, turn)
        else:
            other = Socket(there.machine, -sock.name)
            sock.peer, other.peer, other.up = other, sock, True
            there.queue.append(other)
            self.clock.call_at(self.clock.now + delay, self._up, sock, up)
            there.ready()

    def _refused(self, sock: Socket, failed: Callable[[OSError], None]) -> None:
        if not sock.closed:
            failed(ConnectionRefusedError(errno.ECONNREFUSED, "Connection refused"))

    def _up(self, sock: Socket, up: Callable[[], None]) -> None:
        if not sock.closed:
            sock.up = True
            up()


class Stream:
    """A stand-in's end of a connection: `heard` gets what comes, `over` is told once of the end (True: by a
    reset). What the window does not take waits here."""

    def __init__(self, sock: Socket, heard: Callable[[bytes], None], over: Callable[[bool], None]):
        self.sock, self.heard, self.over = sock, heard, over
        self._waiting = bytearray()
        self._over = False
        sock.reader, sock.writer = self._read, self._write
        if sock.events():
            sock.machine.network.clock.call_at(sock.machine.network.clock.now, self._read)

    def _read(self) -> None:
        sock = self.sock
        if sock.closed or not sock.up:
            return
        data = sock.read(WINDOW_BYTES)
        if data:
            self.heard(data)
        if (sock.ended or sock.reset) and not self._over and not sock.closed:
            self._over = True
            self.over(sock.reset)

    def send(self, data: bytes) -> None:
        """What can no longer be sent is dropped: the end is told by `over`."""
        self._waiting += data
        self._write()

    def _write(self) -> None:
        try:
            while self._waiting and (taken := self.sock.send(self._waiting)):
                del self._waiting[:taken]
        except OSError:
            self._waiting.clear()

    def close(self) -> None:
        self.sock.close()

    def abort(self) -> None:
        self.sock.abort()

    def other_shut_at(self) -> float:
        """When the other end stopped sending, or closed; infinite while it has not."""
        return self.sock.peer.send_closed_at
