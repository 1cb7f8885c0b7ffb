"""In-memory stream sockets on a virtual clock, which behave as TCP sockets of a kernel do.

Bytes arrive in order, delayed by the link between the zones, and may be split at any point. A window bounds
the bytes that are sent and not yet read. A connection may be half closed, and closing a socket with unread
bytes resets its connection. The queue of a listening socket may be full, connections may be established
late or never, and a machine may run out of descriptors. A digest covers all bytes sent, to compare runs.
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

WINDOW_BYTES = 128 * 1024  # of one direction: bytes sent and not yet read, in both buffers
SPLIT_SHARE = 0.02  # of the writes arrive in two pieces
SPLIT_DELAY_MS = (0.0, 3.0)  # between the two pieces
MAX_JITTER_SHARE = 0.1  # of the link's delay, added at most
SYN_RETRY_MS = (1000.0, 2000.0, 4000.0)  # delays before an unanswered connection request is repeated
ERROR_EVENTS = select.POLLERR | select.POLLHUP


class Machine:
    """A machine with one process, which holds sockets.

    `descriptors`: how many descriptors the process may hold (None: no limit); `reserved`: how many of these
    are taken from the start. A silent machine neither sends nor receives.
    """

    def __init__(
        self, network: Network, name: str, zone: str, descriptors: int | None = None, reserved: int = 0
    ):
        self.network, self.name, self.zone = network, name, zone
        self.files: dict[int, Socket | Listener] = {}  # by descriptor, in the order they were opened
        self._max_descriptors, self._reserved = descriptors, reserved
        self._last_descriptor = reserved
        self.max_files = reserved  # descriptors held at once so far
        self.dead = False  # its process has ended

    @property
    def is_silent(self) -> bool:
        """Whether the machine neither sends nor receives."""
        return False

    @property
    def refuses_connections(self) -> bool:
        """Whether connections are refused because no process listens."""
        return False

    def allocate_descriptor(self, file: Socket | Listener) -> int:
        """Allocate a descriptor. Raises OSError if none is free or the process has ended."""
        if self.dead:
            raise OSError(errno.ESRCH, "No such process")
        held = len(self.files) + self._reserved
        if self._max_descriptors is not None and held >= self._max_descriptors:
            raise OSError(errno.EMFILE, "Too many open files")
        self._last_descriptor += 1  # numbers are not reused, so a stale one never names another socket
        self.files[self._last_descriptor] = file
        self.max_files = max(self.max_files, held + 1)
        return self._last_descriptor

    def listen(self, address: Address, backlog: int, on_connection: Callable[[], None]) -> Listener:
        """Open a listening socket; `on_connection` is called for each connection that enters its queue.

        Raises OSError if the address is in use or no descriptor is free.
        """
        if address in self.network.listening:
            raise OSError(errno.EADDRINUSE, f"{address} is in use")
        listener = self.network.listening[address] = Listener(self, address, backlog, on_connection)
        return listener

    def die(self, reset: bool = True) -> None:
        """End the process. Its connections are reset (or closed if `reset` is False), new ones refused."""
        self.dead = True
        for file in list(self.files.values()):
            if reset and isinstance(file, Socket):
                file.abort()
            else:
                file.close()


class Listener:
    """A listening socket with a bounded queue of connections to accept."""

    def __init__(self, machine: Machine, address: Address, backlog: int, on_connection: Callable[[], None]):
        self.machine, self.address, self._backlog, self.on_connection = (
            machine,
            address,
            backlog,
            on_connection,
        )
        self._descriptor = machine.allocate_descriptor(self)
        self.queue: deque[Socket] = deque()
        self.dropped = 0  # connection requests that found the queue full

    def fileno(self) -> int:
        return self._descriptor

    def is_full(self) -> bool:
        """Whether the queue takes no further connection; counts the request as dropped if so."""
        if len(self.queue) <= self._backlog:
            return False
        self.dropped += 1
        return True

    def accept(self) -> tuple[Socket, Address]:
        """Take the oldest connection. Raises OSError if there is none or no descriptor is free."""
        if not self.queue:
            raise BlockingIOError(errno.EAGAIN, "no connection is queued")
        self.queue[0].assign_descriptor()
        return self.queue.popleft(), ("client", 0)

    def close(self) -> None:
        """Stop listening and reset the connections that were not accepted."""
        if self._descriptor < 0:
            return
        del self.machine.files[self._descriptor], self.machine.network.listening[self.address]
        self._descriptor = -1
        while self.queue:
            self.queue.popleft().abort()


class Socket:
    """One end of a connection.

    `on_readable` is called when there are bytes to read or the peer has ended or reset the connection,
    `on_writable` when the send window opens again.
    """

    __slots__ = (
        "machine",
        "descriptor",
        "connection_id",
        "peer",
        "receive_buffer",
        "eof_received",
        "reset_received",
        "sending_shut_down",
        "closed",
        "send_window",
        "send_blocked",
        "last_arrival_ms",
        "on_readable",
        "on_writable",
        "send_closed_at",
        "sent_at",
        "established",
    )

    def __init__(self, machine: Machine, connection_id: int):
        # The connection's number, negative on the accepting side.
        self.machine, self.connection_id = machine, connection_id
        self.descriptor = -1
        self.peer: Socket | None = None
        self.receive_buffer = bytearray()
        self.eof_received = self.reset_received = False  # by the peer, once that has arrived
        self.sending_shut_down = self.closed = self.established = False
        self.send_closed_at = float("inf")  # when this side shut down sending, or closed
        self.send_window, self.send_blocked, self.last_arrival_ms = WINDOW_BYTES, False, 0.0
        self.sent_at = 0.0  # when bytes were last sent
        self.on_readable: Callable[[], None] = _no_callback
        self.on_writable: Callable[[], None] = _no_callback

    def assign_descriptor(self) -> Socket:
        """Allocate a descriptor for this socket. Raises OSError."""
        self.descriptor = self.machine.allocate_descriptor(self)
        return self

    def fileno(self) -> int:
        return self.descriptor

    def setblocking(self, flag: bool) -> None:
        """Does nothing: these sockets never block."""

    def send(self, data: bytes) -> int:
        """Send as much as the window takes and return how many bytes.

        Raises OSError on a closed connection.
        """
        if self.reset_received or self.closed:
            raise ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
        if self.sending_shut_down:
            raise BrokenPipeError(errno.EPIPE, "Broken pipe")
        taken = min(len(data), self.send_window)
        if taken < len(data):
            self.send_blocked = True
        if taken:
            self.send_window -= taken
            self.sent_at = self.machine.network.clock.now
            self.machine.network.transmit(self, bytes(data[:taken]))
        return taken

    def read(self, max_bytes: int) -> bytes:
        """Return up to `max_bytes` received bytes; empty if there are none."""
        data = bytes(self.receive_buffer[:max_bytes])
        if data:
            del self.receive_buffer[:max_bytes]
            peer = self.peer
            peer.send_window += len(data)
            if peer.send_blocked:
                peer.send_blocked = False
                self.machine.network.call_after_delay(self, _notify_writable, peer)
        return data

    def shutdown(self) -> None:
        """Shut down sending; received bytes can still be read."""
        if not (self.sending_shut_down or self.closed or self.reset_received):
            self.sending_shut_down, self.send_closed_at = True, self.machine.network.clock.now
            self.machine.network.transmit(self, None)

    def close(self) -> None:
        """Close the socket, with a reset if there are unread bytes."""
        if not self.closed:
            self._close(bool(self.receive_buffer))

    def abort(self) -> None:
        """Close the socket with a reset."""
        if not self.closed:
            self._close(True)

    def _close(self, reset: bool) -> None:
        self.closed = True
        self.send_closed_at = min(self.send_closed_at, self.machine.network.clock.now)
        self.receive_buffer.clear()
        self.machine.files.pop(self.descriptor, None)
        if self.peer is None or self.reset_received:
            return
        if reset or not self.established:
            self.machine.network.transmit(self, RESET)
        elif not self.sending_shut_down:
            self.machine.network.transmit(self, None)

    def deliver(self, data: bytes | None) -> None:
        """Handle the arrival of bytes, an end of stream (None) or a reset."""
        if self.machine.is_silent or self.reset_received:
            return
        if self.closed:
            if data is not RESET and data is not None:
                self.machine.network.transmit(self, RESET)
            return
        if data is RESET:
            self.reset_received = True
        elif data is None:
            self.eof_received = True
        else:
            self.receive_buffer += data
        self.on_readable()

    def poll_events(self) -> int:
        """The events that `select.poll` would report."""
        events = select.POLLIN if self.receive_buffer or self.eof_received or self.reset_received else 0
        if self.eof_received or self.reset_received:
            events |= select.POLLRDHUP
        if self.reset_received:
            events |= ERROR_EVENTS
        elif self.eof_received and self.sending_shut_down:
            events |= select.POLLHUP
        return events


RESET = b"\0reset"  # compared by identity, so no payload equals it


def _no_callback() -> None:
    """Callback of a socket that has no owner yet."""


def _notify_writable(sock: Socket) -> None:
    if not (sock.closed or sock.machine.is_silent):
        sock.on_writable()


class Poll:
    """Replaces a `select.poll` object on one machine."""

    def __init__(self, machine: Machine):
        self._files, self._wanted_events = machine.files, {}

    def register(self, descriptor: int, events: int) -> None:
        """Watch a descriptor for `events`."""
        self._wanted_events[descriptor] = events | ERROR_EVENTS

    def poll(self, timeout_ms: float) -> list[tuple[int, int]]:
        """Return the descriptors with events. Never waits."""
        reported = []
        for descriptor, wanted_events in self._wanted_events.items():
            sock = self._files.get(descriptor)
            events = sock.poll_events() & wanted_events if sock is not None else select.POLLNVAL
            if events:
                reported.append((descriptor, events))
        return reported


class Network:
    """The network between all machines, with its delays, splits and partitions."""

    def __init__(self, clock: Clock, links: Links, rng: Random):
        self.clock, self.links, self._rng = clock, links, rng
        self.listening: dict[Address, Listener] = {}
        self.bytes = self.connections = 0  # bytes sent; connections attempted
        self._digest = hashlib.blake2b(digest_size=16)
        self._held: list[tuple[Socket, bytes | None]] = []  # sent over partitioned links
        # Extra delay in ms before a connection to this address is established; None: it never is.
        self.connect_delay_ms: Callable[[Address, Random], float | None] = lambda address, rng: 0.0

    def digest(self) -> str:
        """Digest of everything sent so far: sender, arrival time and bytes."""
        return self._digest.hexdigest()

    def _delay(self, a: Machine, b: Machine) -> float:
        return self.links.delay_ms(a.zone, b.zone)

    def call_after_delay(self, sock: Socket, callback: Callable, *args) -> None:
        """Schedule `callback` for when a message from this socket would reach its peer."""
        self.clock.call_at(self.clock.now + self._delay(sock.machine, sock.peer.machine), callback, *args)

    def transmit(self, sock: Socket, data: bytes | None) -> None:
        """Transmit bytes, an end of stream (None) or a reset to the peer.

        While the link is partitioned, they wait until it heals.
        """
        if sock.machine.is_silent or sock.peer is None:
            return
        if not self.links.can_reach(sock.machine.zone, sock.peer.machine.zone):
            self._held.append((sock, data))
            return
        if data is None or data is RESET or len(data) < 2 or self._rng.random() >= SPLIT_SHARE:
            self._schedule_delivery(sock, data, 0.0)
        else:
            at = self._rng.randrange(1, len(data))
            self._schedule_delivery(sock, data[:at], 0.0)
            self._schedule_delivery(sock, data[at:], self._rng.uniform(*SPLIT_DELAY_MS))

    def _schedule_delivery(self, sock: Socket, data: bytes | None, wait_ms: float) -> None:
        delay = self._delay(sock.machine, sock.peer.machine) * (1.0 + MAX_JITTER_SHARE * self._rng.random())
        sock.last_arrival_ms = max(sock.last_arrival_ms, self.clock.now + delay + wait_ms)
        payload = data or b""
        self.bytes += len(payload) if data is not RESET else 0
        self._digest.update(b"%d %r %d " % (sock.connection_id, sock.last_arrival_ms, len(payload)))
        self._digest.update(payload)
        self.clock.call_at(sock.last_arrival_ms, sock.peer.deliver, data)

    def send_held(self) -> None:
        """Transmit what waited for a partition to heal."""
        held, self._held = self._held, []
        for sock, data in held:
            self.transmit(sock, data)

    def connect(
        self,
        machine: Machine,
        address: Address,
        on_connected: Callable[[], None],
        on_error: Callable[[OSError], None],
    ) -> Socket:
        """Open a connection and return its socket. Raises OSError if no descriptor is free.

        Later, `on_connected` is called when it is established or `on_error` when it is refused. Neither is
        called if it is never established or the socket was closed before.
        """
        self.connections += 1
        sock = Socket(machine, self.connections).assign_descriptor()
        wait_ms = self.connect_delay_ms(address, self._rng)
        if wait_ms is not None:
            self.clock.call_at(
                self.clock.now + wait_ms, self._send_syn, sock, address, on_connected, on_error, 0
            )
        return sock

    def _send_syn(self, sock: Socket, address: Address, on_connected, on_error, retry: int) -> None:
        if sock.closed:
            return
        listener = self.listening.get(address)
        zone = listener.machine.zone if listener is not None else self._unknown_zone(address, sock)
        if not self.links.can_reach(sock.machine.zone, zone):
            self._retry_syn(sock, address, on_connected, on_error, retry)
            return
        delay = self.links.delay_ms(sock.machine.zone, zone)
        self.clock.call_at(
            self.clock.now + delay, self._receive_syn, sock, address, on_connected, on_error, retry, delay
        )

    def _unknown_zone(self, address: Address, sock: Socket) -> str:
        return sock.machine.zone  # nobody listens there, so the refusal comes from the caller's own zone

    def _retry_syn(self, sock: Socket, address: Address, on_connected, on_error, retry: int) -> None:
        if retry < len(SYN_RETRY_MS):
            self.clock.call_at(
                self.clock.now + SYN_RETRY_MS[retry],
                self._send_syn,
                sock,
                address,
                on_connected,
                on_error,
                retry + 1,
            )

    def _receive_syn(
        self, sock: Socket, address: Address, on_connected, on_error, retry: int, delay: float
    ) -> None:
        if sock.closed:
            return
        listener = self.listening.get(address)
        if listener is None or listener.machine.refuses_connections:
            self.clock.call_at(self.clock.now + delay, self._refuse, sock, on_error)
        elif listener.machine.is_silent or listener.is_full():
            self._retry_syn(sock, address, on_connected, on_error, retry)
        else:
            accepted = Socket(listener.machine, -sock.connection_id)
            sock.peer, accepted.peer, accepted.established = accepted, sock, True
            listener.queue.append(accepted)
            self.clock.call_at(self.clock.now + delay, self._establish, sock, on_connected)
            listener.on_connection()

    def _refuse(self, sock: Socket, on_error: Callable[[OSError], None]) -> None:
        if not sock.closed:
            on_error(ConnectionRefusedError(errno.ECONNREFUSED, "Connection refused"))

    def _establish(self, sock: Socket, on_connected: Callable[[], None]) -> None:
        if not sock.closed:
            sock.established = True
            on_connected()


class Stream:
    """Buffered socket of a simulated client or server.

    `on_data` is called with received bytes, `on_end` once when the peer ends the connection (True: by a
    reset). Bytes that do not fit into the send window are buffered.
    """

    def __init__(self, sock: Socket, on_data: Callable[[bytes], None], on_end: Callable[[bool], None]):
        self.sock, self.on_data, self.on_end = sock, on_data, on_end
        self._unsent = bytearray()
        self._ended = False
        sock.on_readable, sock.on_writable = self._handle_readable, self._flush
        if sock.poll_events():
            sock.machine.network.clock.call_at(sock.machine.network.clock.now, self._handle_readable)

    def _handle_readable(self) -> None:
        sock = self.sock
        if sock.closed or not sock.established:
            return
        data = sock.read(WINDOW_BYTES)
        if data:
            self.on_data(data)
        if (sock.eof_received or sock.reset_received) and not self._ended and not sock.closed:
            self._ended = True
            self.on_end(sock.reset_received)

    def send(self, data: bytes) -> None:
        """Send bytes, or buffer them while the window is closed.

        Once the connection has ended, they are dropped; `on_end` reports the end.
        """
        self._unsent += data
        self._flush()

    def _flush(self) -> None:
        try:
            while self._unsent and (taken := self.sock.send(self._unsent)):
                del self._unsent[:taken]
        except OSError:
            self._unsent.clear()

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()

    def abort(self) -> None:
        """Reset the connection."""
        self.sock.abort()

    def peer_closed_at(self) -> float:
        """When the peer stopped sending or closed; infinite until then."""
        return self.sock.peer.send_closed_at
