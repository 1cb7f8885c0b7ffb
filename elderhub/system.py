"""What a gateway uses of its operating system beside the event loop: clocks, randomness and sockets."""

from __future__ import annotations

import random
import select
import socket
import sys
import time

TCP_INFO_LAST_DATA_RECV_OFFSET = 52  # of tcpi_last_data_recv in Linux's struct tcp_info: four bytes, in ms
TCP_INFO_BYTES = TCP_INFO_LAST_DATA_RECV_OFFSET + 4


class System:
    """The real system. `Host` also takes a substitute with the same methods, such as the emulator's."""

    unix_time = staticmethod(time.time)  # in s
    monotonic = staticmethod(time.monotonic)  # in s
    poll = staticmethod(select.poll)  # returns a poll object for the file descriptors of connections

    def random(self) -> float:
        """Returns a random number evenly distributed over [0, 1)."""
        return random.random()

    def listen(self, host: str, port: int, backlog: int) -> socket.socket:
        """Opens a non-blocking listening socket, usable with the loop's `add_reader`; raises OSError."""
        listener = socket.create_server((host, port), backlog=backlog)
        listener.setblocking(False)
        return listener

    def received_ago_ms(self, sock: socket.socket) -> float | None:
        """Returns how long ago, in ms, a TCP connection last received data; None if unknown."""
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        except (OSError, AttributeError):
            return None
        if len(info) < TCP_INFO_BYTES:
            return None
        return float(int.from_bytes(info[TCP_INFO_LAST_DATA_RECV_OFFSET:TCP_INFO_BYTES], sys.byteorder))


REAL_SYSTEM = System()
