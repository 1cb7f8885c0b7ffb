"""A machine that runs a real program's code: an event loop of its own, and transports over in-memory sockets.

The loop runs while anything is to be done, at one moment of the clock that all machines share, and then the
machine sleeps until its next timer or until something comes. Timers go before what has come, as in uvloop,
also after the machine stood still.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from random import Random

from elderhub.system import System

from .network import Listener, Machine, Network, Poll, Socket
from .virtual import Loop

READ_BYTES = 256 * 1024  # at once, as uvloop's buffer
HIGH_BYTES, LOW_BYTES = 64 * 1024, 16 * 1024  # write buffer that pauses a protocol, and lets it go on
FILES_USED = 12  # descriptors at the start: standard streams, loop, signals
LAST_TURNS = 8  # of a loop that ends, for its tasks to hear of it


class MachineLoop(Loop):
    """`Loop` of one machine: stops where it would wait."""

    def __init__(self, machine: ProgramMachine):
        super().__init__()
        self._machine = machine

    def time(self) -> float:
        return self._machine.network.clock.now / 1000.0

    def rest(self, timeout_s: float | None) -> None:
        if self._machine.events and not self._machine.taking:
            self._machine.taking = True
            self.call_soon(self.call_soon, self._machine.take_events)  # timers that are due go first
        elif timeout_s is None or timeout_s > 0.0:
            self._machine.rests_s = timeout_s
            self.stop()

    async def create_connection(self, factory, host=None, port=None, **options):
        waiter = self.create_future()
        sock = self._machine.network.connect(
            self._machine,
            (host, port),
            lambda: self._machine.event(lambda: _done(waiter)),
            lambda error: self._machine.event(lambda: _done(waiter, error)),
        )
        try:
            await waiter
        except BaseException:
            sock.close()
            raise
        return await self._attach(factory, sock)

    async def connect_accepted_socket(self, factory, sock, **options):
        return await self._attach(factory, sock)

    async def _attach(self, factory, sock: Socket):
        protocol = factory()
        transport = Transport(self, self._machine, sock, protocol)
        try:
            await asyncio.sleep(0)  # as real loops tell of it a turn later: a time-out may come between
        except BaseException:
            transport.close()
            raise
        return transport, protocol

    def add_reader(self, listening: Listener, call: Callable, *args) -> None:
        self._machine.accepting[listening] = call
        self._machine.look(listening)

    def remove_reader(self, listening: Listener) -> bool:
        return self._machine.accepting.pop(listening, None) is not None


def _done(waiter: asyncio.Future, error: OSError | None = None) -> None:
    if waiter.done():
        return
    if error is None:
        waiter.set_result(None)
    else:
        waiter.set_exception(error)


class Transport(asyncio.Transport):
    """Between a protocol and a socket, with the manners of uvloop's."""

    def __init__(self, loop: MachineLoop, machine: ProgramMachine, sock: Socket, protocol: asyncio.Protocol):
        super().__init__()
        self._loop, self._machine, self._sock, self._protocol = loop, machine, sock, protocol
        self._buffer = bytearray()
        self._high, self._low = HIGH_BYTES, LOW_BYTES
        self._reading, self._paused, self._closing, self._over = True, False, False, False
        self._shut = False  # an end of the sending is wanted
        sock.reader = lambda: machine.event(self._readable, self)
        sock.writer = lambda: machine.event(self._writable, (self, "w"))
        protocol.connection_made(self)
        if sock.events():
            sock.reader()

    def get_extra_info(self, name, default=None):
        return self._sock if name == "socket" else default

    def is_closing(self) -> bool:
        return self._closing

    # Reading.

    def pause_reading(self) -> None:
        self._reading = False

    def resume_reading(self) -> None:
        if not self._reading and not self._closing:
            self._reading = True
            if self._sock.events():
                self._sock.reader()

    def _readable(self) -> None:
        if not self._reading or self._closing:
            return
        sock = self._sock
        data = sock.read(READ_BYTES)
        try:
            if data:
                self._protocol.data_received(data)
                if sock.events() and self._reading and not self._closing:
                    sock.reader()
            elif sock.reset:
                self._fail(ConnectionResetError("Connection reset by peer"))
            elif sock.ended and not self._protocol.eof_received():
                self.close()
        except Exception as error:
            self._loop.call_exception_handler(
                {"message": "a protocol failed", "exception": error, "protocol": self._protocol}
            )
            self._fail(error)

    # Writing.

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        self._high = HIGH_BYTES if high is None else high
        self._low = self._high // 4 if low is None else low

    def get_write_buffer_size(self) -> int:
        return len(self._buffer)

    def write(self, data: bytes) -> None:
        if self._closing or self._shut or not data:
            return
        try:
            taken = 0 if self._buffer else self._sock.send(data)
        except OSError as error:
            self._fail(error)
            return
        if taken < len(data):
            self._buffer += data[taken:]
            if len(self._buffer) > self._high and not self._paused:
                self._paused = True
                self._protocol.pause_writing()

    def _writable(self) -> None:
        if self._over:
            return
        try:
            while self._buffer and (taken := self._sock.send(self._buffer)):
                del self._buffer[:taken]
        except OSError as error:
            self._fail(error)
            return
        if self._paused and len(self._buffer) <= self._low:
            self._paused = False
            self._protocol.resume_writing()
        if not self._buffer:
            if self._closing:
                self._end(None)
            elif self._shut:
                self._sock.shutdown()

    def write_eof(self) -> None:
        if not (self._shut or self._closing):
            self._shut = True
            if not self._buffer:
                self._sock.shutdown()

    def can_write_eof(self) -> bool:
        return True

    # The end.

    def close(self) -> None:
        """What is buffered still goes out first."""
        if not self._closing:
            self._closing = True
            if not self._buffer:
                self._end(None)

    def abort(self) -> None:
        self._fail(None)

    def _fail(self, error: Exception | None) -> None:
        self._buffer.clear()
        self._closing = True
        self._end(error)

    def _end(self, error: Exception | None) -> None:
        if not self._over:
            self._over = True
            self._loop.call_soon(self._lost, error)

    def _lost(self, error: Exception | None) -> None:
        try:
            self._protocol.connection_lost(error)
        finally:
            self._sock.close()


class ProgramMachine(Machine):
    """Runs one program. `crashed` is told of what no part of the program has caught."""

    def __init__(
        self, network: Network, name: str, zone: str, descriptors: int, crashed: Callable[[str], None]
    ):
        super().__init__(network, name, zone, descriptors, FILES_USED)
        self._crashed = crashed
        self.accepting: dict[Listener, Callable] = {}
        self.events: dict[object, Callable[[], None]] = {}  # that came and were not looked at, in order
        self.taking = False  # they are about to be looked at
        self.rests_s: float | None = None
        self._awake = False  # a turn at this moment is already set
        self._wakes_at = float("inf")
        self._still_until = 0.0
        self.loop = MachineLoop(self)
        self.loop.set_exception_handler(self._unhandled)

    def _unhandled(self, loop, context: dict) -> None:
        self._crashed(f"{context.get('message')}: {context.get('exception')!r}")

    def start(self, program) -> None:
        """Begin a coroutine on it."""
        task = self.loop.create_task(program)
        task.add_done_callback(self._returned)
        self._turn_soon()

    def _returned(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._crashed(f"the program ended: {task.exception()!r}")

    def listen(self, where, backlog: int) -> Listener:
        found = super().listen(where, backlog, lambda: self.look(found))
        return found

    # Turns.

    def event(self, call: Callable[[], None], key: object = None) -> None:
        """Something has come: its loop is to call this, once for each key."""
        if not self.dead:
            self.events[key if key is not None else call] = call
            self._turn_soon()

    def look(self, listening: Listener) -> None:
        if listening.queue and listening in self.accepting:
            self.event(lambda: self._accept(listening), listening)

    def _accept(self, listening: Listener) -> None:
        call = self.accepting.get(listening)
        if call is not None and listening.queue:
            call()
            self.look(listening)

    def take_events(self) -> None:
        self.taking = False
        events, self.events = self.events, {}
        for call in events.values():
            call()

    def _turn_soon(self) -> None:
        clock = self.network.clock
        if not self._awake:
            self._awake = True
            clock.call_at(max(clock.now, self._still_until), self._turn)

    def stand_still(self, for_ms: float) -> None:
        """It does nothing for so long, while its kernel goes on."""
        self._still_until = max(self._still_until, self.network.clock.now + for_ms)

    def _turn(self) -> None:
        clock = self.network.clock
        self._awake = False
        if self.dead:
            return
        if clock.now < self._still_until:
            self._turn_soon()
            return
        self.loop.run_forever()
        if self.rests_s is not None and not self.dead:
            due = clock.now + self.rests_s * 1000.0
            if due < self._wakes_at:
                self._wakes_at = due
                clock.call_at(due, self._wake, due)

    def _wake(self, due: float) -> None:
        if due == self._wakes_at:
            self._wakes_at = float("inf")
            self._turn_soon()

    def die(self, reset: bool = True) -> None:
        """The process ends at this moment; nothing of it is left."""
        super().die(reset)
        loop = self.loop
        loop.set_exception_handler(lambda loop, context: None)
        self.events.clear()
        for task in asyncio.all_tasks(loop):
            task.cancel()
        for _ in range(LAST_TURNS):
            loop.call_soon(loop.stop)
            loop.run_forever()
        with contextlib.suppress(RuntimeError):
            loop.close()


class VirtualSystem(System):
    """What `elderhub` takes from the system, on one machine. Its Unix time is the clock's own."""

    def __init__(self, machine: ProgramMachine, rng: Random):
        self._machine, self._rng = machine, rng

    def unix_time(self) -> float:
        return self._machine.network.clock.now / 1000.0

    monotonic = unix_time

    def poll(self) -> Poll:
        return Poll(self._machine)

    def random(self) -> float:
        return self._rng.random()

    def listen(self, host: str, port: int, backlog: int) -> Listener:
        return self._machine.listen((host, port), backlog)

    def received_ago_ms(self, sock) -> None:
        """Not known here."""
        return None
