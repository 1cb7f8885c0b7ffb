"""What a gateway takes from the system it runs on, beside its event loop: clocks, chance, sockets."""

from __future__ import annotations

import random
import select
import socket
import time


class System:
    """The real one. `Host` takes another with the same methods, as the emulator's."""

    unix_time = staticmethod(time.time)  # in s
    monotonic = staticmethod(time.monotonic)  # in s
    poll = staticmethod(select.poll)  # an object as `select.poll` makes it, for file numbers of connections

    def random(self) -> float:
        """Evenly from [0, 1)."""
        return random.random()

    def listen(self, host: str, port: int, backlog: int) -> socket.socket:
        """A listening socket that does not block; raises OSError. Its loop knows it by `add_reader`."""
        listening = socket.create_server((host, port), backlog=backlog)
        listening.setblocking(False)
        return listening


REAL = System()
