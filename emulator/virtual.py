"""An asyncio event loop on a virtual clock.

The clock stands still while there is work to do and then jumps to the next timer, so a run takes no real
time and gives the same result on any machine. `run` runs a coroutine on such a loop without a network: a
function replaces `create_connection`. `emulator.machine` runs many of these loops on one clock.
"""

from __future__ import annotations

import asyncio
import selectors


class VirtualSelector(selectors.SelectSelector):
    """Selector without files. Where it would wait, it calls the loop's `wait` instead."""

    def __init__(self, loop: VirtualLoop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        self._loop.wait(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on a virtual clock.

    `connect` is the coroutine function `(protocol, host, port)` that replaces the connecting of sockets.
    """

    def __init__(self, connect=None):
        self.now_s = 0.0
        super().__init__(VirtualSelector(self))
        self._connect = connect

    def time(self) -> float:
        return self.now_s

    def wait(self, timeout_s: float | None) -> None:
        """Advance the clock by `timeout_s`, in which nothing is to do (None: nothing ever is)."""
        assert timeout_s is not None, "the loop would wait forever: no timer is scheduled"
        self.now_s += timeout_s

    async def create_connection(self, factory, host=None, port=None, **options):
        return await self._connect(factory(), host, port)


class Transport(asyncio.Transport):
    """Transport without a socket: collects what is written, and calls `connection_lost` when it is closed."""

    def __init__(self, loop, protocol):
        super().__init__()
        self._loop, self._protocol, self._closed, self.written = loop, protocol, False, b""
        self.reading = True

    def write(self, data):
        self.written += data

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def abort(self):
        if not self._closed:
            self._closed = True
            self._loop.call_soon(self._protocol.connection_lost, None)

    close = abort

    def is_closing(self):
        return self._closed


def run(scene, connect=None):
    """Run the coroutine function `scene` on a new loop, which is its argument, and return its result.

    Tasks that it leaves running are cancelled.
    """
    loop = VirtualLoop(connect)
    try:
        return loop.run_until_complete(scene(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.01))
        loop.close()
