"""The client of the counter service: calls are pipelined over a few connections, each with one result."""

from __future__ import annotations

import asyncio
import logging
import zlib
from collections import deque
from collections.abc import Callable

from cobaltline import interface as io

from .wire import Address, ThrottledLog, parse_number

log = logging.getLogger(__name__)
throttled_log = ThrottledLog(log)

CONNECTION_COUNT = 4  # all calls for a name go over one, so that their results keep the order of the calls
RECONNECT_DELAY_S = 0.05  # after a failed connection; doubles with each further failure
MAX_RECONNECT_DELAY_S = 0.5
CONNECT_TIMEOUT_S = 0.5  # a connection that is not open by then never opens
SILENCE_TIMEOUT_S = 1.0  # a connection on which a call has been unanswered for this long is closed
PING_AFTER_S = 2.0  # keeps a connection open, as the counter closes those idle for some seconds
TICK_INTERVAL_S = 0.5
STALL_THRESHOLD_S = 0.003  # a timeout that fires later than this shows a stall of the event loop
MAX_LINE_BYTES = 256
MAX_TOTAL = 1e15


class Call:
    """One call, or a ping if `name` is empty.

    A call that has timed out stays in its connection's queue, since its answer may still arrive.
    `called_at_s` is in loop time.
    """

    __slots__ = ("name", "line", "called_at_s", "is_done", "has_rechecked", "timer")

    def __init__(self, name: str, line: bytes, called_at_s: float):
        self.name, self.line, self.called_at_s = name, line, called_at_s
        self.is_done = self.has_rechecked = False
        self.timer: asyncio.TimerHandle | None = None


class Connection(asyncio.Protocol):
    """One connection to the counter; it reconnects whenever it ends, until it is retired."""

    def __init__(self, counter: CounterClient, address: Address):
        self._counter, self._address, self._loop = counter, address, asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None  # while connected
        self._unsent: deque[Call] = deque()
        self._sent: deque[Call] = deque()  # written and not answered, in order
        self._write_paused, self._partial_line, self._quiet_since_s = False, b"", 0.0
        self._reconnect_delay_s, self._is_opening = RECONNECT_DELAY_S, False
        self._has_answered = False  # since it last connected
        self.was_up = self.is_retired = False

    def open(self) -> None:
        """Starts to connect."""
        if self.is_retired:
            return
        self._is_opening = True
        self._counter.run_in_background(self._open())

    async def _open(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.create_connection(lambda: self, *self._address)
        except (OSError, TimeoutError):
            # The timeout may strike just after the connection opened; then `connection_lost` follows.
            if self._transport is None:
                self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        """Fails the calls that were not written, and reconnects after a delay."""
        self._is_opening = False
        unsent, self._unsent = self._unsent, deque()
        for call in unsent:
            self._counter.end_call(call, io.Outcome.CONNECT_FAILED)
        if not self.is_retired:
            self._loop.call_later(self._reconnect_delay_s, self.open)
        self._reconnect_delay_s = min(MAX_RECONNECT_DELAY_S, self._reconnect_delay_s * 2)

    def add(self, call: Call) -> None:
        """Writes a call, or queues it until it can be written; fails it where no connection is expected."""
        if self._transport is None and not self._is_opening:
            self._counter.end_call(call, io.Outcome.CONNECT_FAILED)
        elif self._transport is None or self._write_paused:
            self._unsent.append(call)
        else:
            self._write(call)

    def _write(self, call: Call) -> None:
        self._sent.append(call)
        self._quiet_since_s = self._loop.time()
        self._transport.write(call.line)
        if self._transport.is_closing():  # the write failed and sent nothing
            self._sent.pop()
            self._counter.end_call(call, io.Outcome.CONNECT_FAILED)

    def withdraw(self, call: Call) -> bool:
        """Removes a call that was not written yet; returns whether there was one."""
        if call in self._unsent:
            self._unsent.remove(call)
            return True
        return False

    def is_up(self) -> bool:
        """Whether it is connected."""
        return self._transport is not None

    def is_quiet(self) -> bool:
        """Whether no caller waits for a result here."""
        return all(call.is_done for call in (*self._sent, *self._unsent))

    def close(self) -> None:
        """Retires and closes the connection."""
        self.is_retired = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport) -> None:
        if self.is_retired:
            transport.abort()
            return
        # With limits of 0, `pause_writing` is called whenever a call was not sent at once.
        transport.set_write_buffer_limits(0)
        self._transport, self._is_opening, self._write_paused, self._partial_line = (
            transport,
            False,
            False,
            b"",
        )
        self._has_answered = False
        self._quiet_since_s = self._loop.time()
        self.resume_writing()

    def pause_writing(self) -> None:
        self._write_paused = True

    def resume_writing(self) -> None:
        self._write_paused = False
        while self._unsent and not self._write_paused:
            self._write(self._unsent.popleft())

    def data_received(self, data: bytes) -> None:
        self._reconnect_delay_s, self._has_answered, self.was_up = RECONNECT_DELAY_S, True, True
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            if not self._handle_answer(line.strip()):
                self._abort_after(line)
                return
        if len(self._partial_line) > MAX_LINE_BYTES:
            self._handle_answer(b"")
            self._abort_after(self._partial_line)

    def _abort_after(self, line: bytes) -> None:
        """Closes the connection after a malformed answer: later ones can't be matched to their calls."""
        throttled_log.warning("counter: unexpected answer %r; closing the connection", line[:60])
        self._transport.abort()

    def _handle_answer(self, line: bytes) -> bool:
        if not self._sent:
            return False
        call, (word, _, rest) = self._sent.popleft(), line.partition(b" ")
        total = parse_number(rest, -MAX_TOTAL, MAX_TOTAL)
        if word == b"ok" and total is not None and call.name:
            self._counter.end_call(call, io.Outcome.OK, total)
        elif word == b"busy":
            self._counter.end_call(call, io.Outcome.OVERLOADED)
        elif word == b"error":
            throttled_log.warning("counter: call %r was answered with an error", call.line)
            self._counter.end_call(call, io.Outcome.ERROR)
        elif word == b"pong" and not call.name:
            call.is_done = True
        else:  # the call was carried out, but its total is unknown
            self._counter.end_call(call, io.Outcome.OK, None)
            return False
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the calls that were written, which the counter may have carried out or not."""
        self._transport, self._write_paused = None, False
        sent, self._sent = self._sent, deque()
        for call in sent:
            self._counter.end_call(call, io.Outcome.RESET)
        if self._has_answered and not self.is_retired:  # a working connection: unsent calls wait for the next
            self.open()
        else:
            self._schedule_reconnect()

    def tick(self) -> None:
        """Closes a connection that does not answer, and sends a ping on an idle one."""
        if self._transport is None or self._transport.is_closing():
            return
        now = self._loop.time()
        if self._sent and now - self._sent[0].called_at_s > SILENCE_TIMEOUT_S:
            self._transport.abort()
        elif not self._sent and not self._write_paused and now - self._quiet_since_s > PING_AFTER_S:
            self._write(Call("", b"ping\r\n", now))


class CounterClient:
    """Makes calls to the counter service; each ends with one `CounterResult` for `on_result`."""

    def __init__(self, address: Address, timeout_ms: float, on_result: Callable[[io.CounterResult], None]):
        self._address, self._timeout_s, self._on_result = address, timeout_ms / 1000.0, on_result
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task] = set()
        self._connections = [Connection(self, address) for _ in range(CONNECTION_COUNT)]
        # Connections to a new address, each to replace the one with the same index.
        self._replacements: list[Connection | None] = [None] * CONNECTION_COUNT

    def start(self) -> None:
        """Opens the connections."""
        for connection in self._connections:
            connection.open()
        self._tick()

    def set_address(self, address: Address) -> None:
        """Moves to another address.

        Each new connection opens at once and takes over once it is connected and all calls on the old one
        have ended, so that the results for a name keep the order of its calls.
        """
        if address == self._address:
            return
        self._address = address
        for index, replacement in enumerate(self._replacements):
            if replacement is not None:
                replacement.close()
            self._connections[index].is_retired = True
            self._replacements[index] = Connection(self, address)
            self._replacements[index].open()

    def _connection(self, index: int) -> Connection:
        old, new = self._connections[index], self._replacements[index]
        if new is not None and old.is_quiet() and (new.is_up() or not old.is_up()):
            self._connections[index], self._replacements[index] = new, None
            old.close()
        return self._connections[index]

    def _tick(self) -> None:
        for index in range(CONNECTION_COUNT):
            self._connection(index).tick()
        self._loop.call_later(TICK_INTERVAL_S, self._tick)

    def run_in_background(self, work) -> None:
        """Runs a coroutine as a task and keeps a reference to it until it is done."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def add(self, action: io.CounterAdd) -> None:
        """Makes a call; its result comes within the timeout."""
        line = f"add {action.name} {action.amount:.7g} {max(1, round(action.ttl_ms))}\r\n".encode()
        call = Call(action.name, line, self._loop.time())
        connection = self._connection(zlib.crc32(action.name.encode()) % CONNECTION_COUNT)
        call.timer = self._loop.call_later(self._timeout_s, self._on_timeout, call, connection)
        connection.add(call)

    def _on_timeout(self, call: Call, connection: Connection) -> None:
        """Ends a call that was not answered in time; an answer that comes later is dropped."""
        if (
            self._loop.time() - call.called_at_s > self._timeout_s + STALL_THRESHOLD_S
            and not call.has_rechecked
        ):
            # The loop was stalled, and timers run before input that arrived meanwhile: read that first.
            call.has_rechecked = True
            call.timer = self._loop.call_later(0.001, self._on_timeout, call, connection)
            return
        self.end_call(call, io.Outcome.CONNECT_FAILED if connection.withdraw(call) else io.Outcome.TIMEOUT)

    def end_call(self, call: Call, outcome: io.Outcome, total: float | None = 0.0) -> None:
        if call.is_done:
            return
        call.is_done = True
        if call.timer is not None:
            call.timer.cancel()
        if call.name:
            self._on_result(
                io.CounterResult(call.name, outcome, total, (self._loop.time() - call.called_at_s) * 1000.0)
            )
