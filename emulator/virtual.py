"""An event loop whose clock stands still while anything is to be done, and else jumps to the next timer.

What it plays takes no real time and is the same on any machine. `run` plays a scene on one loop of its own,
with no network: `connect` stands in. `emulator.machine` sets many such loops on one clock.
"""

from __future__ import annotations

import asyncio
import selectors


class Selector(selectors.SelectSelector):
    """Asks the loop in place of waiting. Nothing real ever happens to it."""

    def __init__(self, loop: Loop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        self._loop.rest(timeout)
        return []


class Loop(asyncio.SelectorEventLoop):
    def __init__(self, connect=None):
        self.now_s = 0.0  # s
        super().__init__(Selector(self))
        self._connect = connect

    def time(self) -> float:
        return self.now_s

    def rest(self, timeout_s: float | None) -> None:
        """Nothing is to be done for so long (0: something is; None: nothing ever)."""
        assert timeout_s is not None, "nothing will ever happen"
        self.now_s += timeout_s

    async def create_connection(self, factory, host=None, port=None, **options):
        return await self._connect(factory(), host, port)


class Transport(asyncio.Transport):
    """This side's end of a connection: keeps what was written, and tells the protocol of the end."""

    def __init__(self, loop, protocol):
        super().__init__()
        self._loop, self._protocol, self._over, self.written = loop, protocol, False, b""
        self.reading = True

    def write(self, data):
        self.written += data

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def abort(self):
        if not self._over:
            self._over = True
            self._loop.call_soon(self._protocol.connection_lost, None)

    close = abort

    def is_closing(self):
        return self._over


def run(scene, connect=None):
    """Play a scene; nothing of it may be left open."""
    loop = Loop(connect)
    try:
        return loop.run_until_complete(scene(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.01))
        loop.close()
