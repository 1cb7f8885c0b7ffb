"""Shared parsing: addresses, limits and headers of HTTP/1.1, numbers, load reports; and a throttled log."""

from __future__ import annotations

import logging
import re
import time

Address = tuple[str, int]

MAX_MESSAGE_BYTES = 64 * 1024  # of a body, and of a head
MAX_HEADER_LINES = 512  # of a message with its trailers; each costs processor time

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def parse_address(text: object) -> Address:
    """Parses `host:port`; raises ValueError."""
    if not isinstance(text, str):
        raise ValueError(f"{text!r} is not an address")
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isascii() and port.isdecimal() and 0 < int(port) < 65536):
        raise ValueError(f"{text!r} is not an address")
    return host, int(port)


NUMBER_PATTERN = re.compile(rb"[+-]?\d{1,15}(\.\d{1,32})?([eE][+-]?\d{1,2})?")


def parse_number(text: bytes, minimum: float, maximum: float) -> float | None:
    """Parses a decimal number; returns None if it is out of range or not of this form.

    `float` alone accepts nan, inf and 1_0 as well.
    """
    if not NUMBER_PATTERN.fullmatch(text):
        return None
    value = float(text)
    return value if minimum <= value <= maximum else None


def parse_load_report(text: bytes | None) -> dict[str, float] | None:
    """Parses a load report of `name=value` pairs, skipping malformed ones; None without a report."""
    if not text:
        return None
    report = {}
    for pair in text.split(b","):
        name, _, value = pair.strip().partition(b"=")
        number = parse_number(value.strip(), 0.0, 1e9)
        if name and number is not None:
            report[name.decode("latin-1")] = number
    return report


class ThrottledLog:
    """Logs warnings that remote parties cause, at most one a second, so that they can't flood the log."""

    def __init__(self, log: logging.Logger):
        self._log, self._next_allowed_s, self._suppressed_count = log, 0.0, 0

    def warning(self, text: str, *args: object) -> None:
        """Logs a warning, with the number of those suppressed before it."""
        now = time.monotonic()
        if now < self._next_allowed_s:
            self._suppressed_count += 1
            return
        if self._suppressed_count:
            text += f" ({self._suppressed_count} earlier warnings suppressed)"
        self._next_allowed_s, self._suppressed_count = now + 1.0, 0
        self._log.warning(text, *args)
