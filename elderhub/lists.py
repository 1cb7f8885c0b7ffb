"""An incremental reader of JSON objects that hold long lists: entries are decoded as they arrive."""

from __future__ import annotations

import codecs
import json
import re
from collections.abc import Iterator

MAX_ENTRY_CHARS = 1 << 16  # of one entry (usually under 300), and of all of an object that is not an entry
MAX_ENTRIES = 1 << 17  # of one object: five times the design size
MAX_TOKEN_CHARS = 16  # an error farther than this from the end of the text is not caused by truncation

_WHITESPACE = re.compile(r"[ \t\r\n]*")
_scan_value = json.JSONDecoder().scan_once  # implemented in C; also returns where the value ends


class ListPart:
    """Some entries of one object, with the `generation` and `reset` of the object as far as read."""

    def __init__(self, generation: object = None, reset: object = None):
        self.entries: list = []  # decoded entries of `instances`
        self.generation, self.reset = generation, reset
        self.is_last = False  # the object ends with this part


class ListReader:
    """Reads a stream of objects with the keys `generation`, `reset` and `instances`, in any order.

    Other keys are ignored. Text may arrive in pieces of any size, with any white space in and between
    objects. `read` raises ValueError for malformed or endless input. At most MAX_ENTRY_CHARS, beside what was
    fed last, are kept undecoded.
    """

    def __init__(self) -> None:
        self._codec = codecs.getincrementaldecoder("utf-8")()
        self._text, self._position = "", 0
        self._part, self._max_entries, self._other_chars = ListPart(), 0, 0
        self._parser = self._parse_objects()
        self.in_object = False  # within an object

    def feed(self, data: bytes) -> None:
        """Adds input; raises ValueError if it is not UTF-8."""
        self._text, self._position = self._text[self._position :] + self._codec.decode(data), 0

    def read(self, max_entries: int) -> ListPart | None:
        """Returns up to `max_entries` entries of one object, or None if more input is needed."""
        self._max_entries = max_entries
        if not next(self._parser) and not self._part.entries:
            return None
        part = self._part
        self._part = ListPart() if part.is_last else ListPart(part.generation, part.reset)
        return part

    def has_unread(self) -> bool:
        """Whether any input is unread, which may be an incomplete value."""
        return self._position < len(self._text)

    # The parser is a chain of generators, which yield True when a part is ready and False when they need more
    # input.

    def _parse_objects(self) -> Iterator[bool]:
        while True:
            yield from self._expect("{")
            self.in_object, self._other_chars = True, 0
            while (yield from self._peek()) != "}":
                key = yield from self._parse_value()
                yield from self._expect(":")
                if not isinstance(key, str):
                    raise ValueError(f"{key!r} is no key")
                if key == "instances" and (yield from self._peek()) == "[":
                    yield from self._parse_entries()
                else:
                    value = yield from self._parse_value()
                    if key == "generation":
                        self._part.generation = value
                    elif key == "reset":
                        self._part.reset = value
                    elif key == "instances" and value is not None:
                        raise ValueError("instances are no list")
                yield from self._expect_comma("}")
            self._position = _WHITESPACE.match(self._text, self._position + 1).end()
            self.in_object, self._part.is_last = False, True
            yield True

    def _parse_entries(self) -> Iterator[bool]:
        self._position += 1
        count = 0
        while (yield from self._peek()) != "]":
            entry = yield from self._parse_value(is_other=False)
            self._part.entries.append(entry)
            count += 1
            if count > MAX_ENTRIES:
                raise ValueError(f"over {MAX_ENTRIES} entries")
            yield from self._expect_comma("]")
            if len(self._part.entries) >= self._max_entries:
                yield True
        self._position += 1

    def _peek(self) -> Iterator[bool]:
        """Returns the next character that is not white space, without consuming it."""
        while True:
            self._position = _WHITESPACE.match(self._text, self._position).end()
            if self._position < len(self._text):
                return self._text[self._position]
            yield False

    def _expect(self, expected: str) -> Iterator[bool]:
        found = yield from self._peek()
        if found != expected:
            raise ValueError(f"{found!r} in place of {expected!r}")
        self._position += 1

    def _expect_comma(self, end: str) -> Iterator[bool]:
        if (yield from self._peek()) != end:
            yield from self._expect(",")

    def _parse_value(self, is_other: bool = True) -> Iterator[bool]:
        """Returns the next value. It has to be followed by a character, as a number may be incomplete."""
        yield from self._peek()
        while True:
            try:
                value, end = _scan_value(self._text, self._position)
            except StopIteration as error:
                self._check_truncated(error.value)
            except json.JSONDecodeError as error:
                self._check_truncated(
                    len(self._text) if error.msg.startswith("Unterminated string") else error.pos
                )
            except RecursionError:
                raise ValueError("too deep") from None
            else:
                if end < len(self._text):
                    break
            if len(self._text) - self._position > MAX_ENTRY_CHARS:
                raise ValueError("a value without an end")
            yield False
        self._other_chars += (end - self._position) * is_other
        if self._other_chars > MAX_ENTRY_CHARS:
            raise ValueError("an object without an end")
        self._position = end
        return value

    def _check_truncated(self, error_position: int) -> None:
        """Raises ValueError if the error there is not due to input that is still to come."""
        if error_position < len(self._text.rstrip()) - MAX_TOKEN_CHARS:
            raise ValueError(
                f"no value at {self._text[error_position : error_position + 2 * MAX_TOKEN_CHARS]!r}"
            )
