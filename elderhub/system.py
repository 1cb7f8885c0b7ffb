"""What a gateway takes from the system it runs on, beside its event loop: clocks, chance, sockets."""

from __future__ import annotations

import random
import select
import socket
import sys
import time

LAST_DATA_RECEIVED = 52  # where Linux's struct tcp_info has tcpi_last_data_recv, four bytes, in ms
TCP_INFO_BYTES = LAST_DATA_RECEIVED + 4


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

    def received_ago_ms(self, sock: socket.socket) -> float | None:
        """How long ago the last bytes came on a TCP connection; none where that is not known."""
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        except (OSError, AttributeError):
            return None
        if len(info) < TCP_INFO_BYTES:
            return None
        return float(int.from_bytes(info[LAST_DATA_RECEIVED:TCP_INFO_BYTES], sys.byteorder))


REAL_SYSTEM = System()
