"""Where an HTTP message ends, for stand-ins that read requests or answers off a connection."""

from __future__ import annotations

import re

LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)


def take(data: bytearray) -> tuple[bytes, bytes] | None:
    """Take the first whole message off `data`: its head, up to the end of its last line, and its body. None,
    and nothing is taken, until it is whole."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    head = bytes(data[: end + 2])
    length = LENGTH.search(head)
    whole = end + 4 + (int(length[1]) if length else 0)
    if len(data) < whole:
        return None
    body = bytes(data[end + 4 : whole])
    del data[:whole]
    return head, body
