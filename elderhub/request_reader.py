"""Reads requests from the input of one client connection, within limits on their size."""

from __future__ import annotations

from typing import Protocol

import httptools

from .checks import CONTENT_LENGTH_HEADER, EXPECT_HEADER, HttpRequest, Refusal, RequestError
from .wire import MAX_HEADER_LINES, MAX_MESSAGE_BYTES


class RequestConsumer(Protocol):
    """What a reader needs of its connection."""

    def request_began(self) -> None:
        """Notes the beginning of a request; raises RequestError if there are too many."""

    def request_expects_continue(self) -> None:
        """Notes that the client waits for 100 Continue."""

    def request_completed(self, request: HttpRequest) -> None:
        """Takes a request with its method, body and `keep_alive`."""


class RequestReader:
    """Parses the input of one connection and passes each request to `consumer` once it is complete.

    Reading ends with a refusal, an offer to upgrade or `close`; `feed` is not called after that.
    """

    def __init__(self, consumer: RequestConsumer):
        self._consumer: RequestConsumer | None = consumer
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.incoming: HttpRequest | None = None  # being read
        self.is_upgrade_offered = False  # the last request offered to change the protocol
        self._in_head = False
        self._part_bytes = self._parsed_bytes = 0  # of the head or the body so far; of all of the request
        self._raw_bytes = 0  # of the request so far, if it began with an input of its own
        self._first_raw_bytes = 0  # of the input in which it began behind another request
        self._header_lines = 0  # of the head and trailers so far

    def feed(self, data: bytes) -> Refusal | None:
        """Parses input; returns the refusal of what can't be read, if any."""
        self._raw_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.is_upgrade_offered = True
        except httptools.HttpParserError as error:
            return _refusal_of(error)
        if self.incoming is not None and not self._raw_bytes:
            self._first_raw_bytes = len(data)
        if self.incoming is not None and self._raw_bytes > 2 * MAX_MESSAGE_BYTES:
            # An endless line triggers no callback of the parser.
            return Refusal(431, "the request is too large")
        return None

    def close(self) -> None:
        """Drops the request that is being read, and the parser with the part of a line that it may hold."""
        self.incoming = None
        self._parser = self._consumer = None  # breaks the reference cycles

    def held_bytes(self) -> int:
        """Returns about how much memory the request takes that is being read."""
        if self.incoming is None:
            return 0
        # The parser holds a line of the head or the trailers until it is complete.
        parser_bytes = self._raw_bytes + self._first_raw_bytes - self._parsed_bytes
        return self.incoming.held_bytes() + max(0, parser_bytes)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        self._consumer.request_began()
        self.incoming, self._in_head = HttpRequest(), True
        self._part_bytes = self._parsed_bytes = self._header_lines = 0

    def on_url(self, url: bytes) -> None:
        self._count_bytes(len(url), 431)
        self.incoming.add_target(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._header_lines += 1
        if self._header_lines > MAX_HEADER_LINES:
            raise RequestError(431, "too many header lines")
        if not self._in_head:  # trailers are ignored
            self._parsed_bytes += len(name) + len(value)
            return
        self._count_bytes(len(name) + len(value), 431)
        self.incoming.add_header(name, value)

    def on_headers_complete(self) -> None:
        self._in_head, self._part_bytes = False, 0
        headers = self.incoming.headers
        if int(headers.get(CONTENT_LENGTH_HEADER, b"0")) > MAX_MESSAGE_BYTES:
            raise RequestError(413, "the request is too large")
        if headers.get(EXPECT_HEADER, b"").lower() == b"100-continue":
            self._consumer.request_expects_continue()

    def on_body(self, body: bytes) -> None:
        self._count_bytes(len(body), 413)
        self.incoming.add_body(body)

    def on_message_complete(self) -> None:
        request, self.incoming = self.incoming, None
        self._raw_bytes = self._first_raw_bytes = 0
        request.method, request.keep_alive = self._parser.get_method(), self._parser.should_keep_alive()
        self._consumer.request_completed(request)

    def _count_bytes(self, size: int, status: int) -> None:
        self._part_bytes += size
        self._parsed_bytes += size
        if self._part_bytes > MAX_MESSAGE_BYTES:
            raise RequestError(status, "the request is too large")


def _refusal_of(error: httptools.HttpParserError) -> Refusal:
    """Returns the refusal that a callback raised, or else the one of input that can't be parsed."""
    cause = error.__context__
    return cause.refusal if isinstance(cause, RequestError) else Refusal(400, "not a request")
