"""HTTP message framing for the simulated clients and backends, by Content-Length only."""

from __future__ import annotations

import re

CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)


def take_message(data: bytearray) -> tuple[bytes, bytes] | None:
    """Remove the first complete message from `data` and return its head and its body.

    The head includes the line end of its last line. Returns None and leaves `data` as it is while the
    message is incomplete.
    """
    head_end = data.find(b"\r\n\r\n")
    if head_end < 0:
        return None
    head = bytes(data[: head_end + 2])
    content_length = CONTENT_LENGTH.search(head)
    message_size = head_end + 4 + (int(content_length[1]) if content_length else 0)
    if len(data) < message_size:
        return None
    body = bytes(data[head_end + 4 : message_size])
    del data[:message_size]
    return head, body
