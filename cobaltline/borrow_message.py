"""The messages between gateways: a borrow that one requests of another, and the grant that answers it."""

from __future__ import annotations

import struct
import zlib
from typing import NamedTuple

# Version, kind, nonce, amount (milli-tokens), wait (ms), sender's clock (ms). Text follows, then the CRC-32.
MESSAGE_HEADER = struct.Struct(">BBIIII")
MESSAGE_VERSION, BORROW_REQUEST, BORROW_GRANT, MAX_UINT32 = 1, 1, 2, 0xFFFFFFFF
CHECKSUM_BYTES = 4
MAX_MESSAGE_BYTES = 256


class BorrowMessage(NamedTuple):
    """A request for tokens or its answer. A grant of 0 is a refusal, and `wait_ms` the time until a retry.

    `nonce` matches a grant to its request. `sent_clock` is the sender's clock in ms modulo 2**32.
    """

    kind: int  # BORROW_REQUEST or BORROW_GRANT
    nonce: int
    amount: int  # milli-tokens
    wait_ms: int
    sent_clock: int
    text: str = ""  # of a request: the first gateway and size of the customer's set, the plan, the customer

    def encode(self) -> bytes | None:
        """Returns the message as bytes, or None if it would be longer than MAX_MESSAGE_BYTES."""
        amount = min(self.amount, MAX_UINT32)
        header = MESSAGE_HEADER.pack(
            MESSAGE_VERSION, self.kind, self.nonce, amount, self.wait_ms, self.sent_clock
        )
        body = header + self.text.encode()
        if len(body) + CHECKSUM_BYTES > MAX_MESSAGE_BYTES:
            return None
        return body + zlib.crc32(body).to_bytes(CHECKSUM_BYTES)

    @classmethod
    def decode(cls, payload: bytes) -> BorrowMessage | None:
        """Returns the message of these bytes, or None if it is damaged or of another version."""
        body, checksum = payload[:-CHECKSUM_BYTES], payload[-CHECKSUM_BYTES:]
        if len(body) < MESSAGE_HEADER.size or zlib.crc32(body).to_bytes(CHECKSUM_BYTES) != checksum:
            return None
        version, *fields = MESSAGE_HEADER.unpack_from(body)
        if version != MESSAGE_VERSION:
            return None
        return cls(*fields, body[MESSAGE_HEADER.size :].decode(errors="replace"))
