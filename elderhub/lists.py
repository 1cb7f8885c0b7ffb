"""Reads a stream of JSON objects that hold lists, in pieces: what comes is decoded entry by entry."""

from __future__ import annotations

import codecs
import json
import re
from collections.abc import Iterator

MAX_ENTRY_CHARS = 1 << 16  # characters of an entry, and of all in an object that is none; ours have under 300
MAX_ENTRIES = 1 << 17  # entries of one object: five times what is designed for
TOKEN_MOST = 16  # characters: what is wrong farther from the end than a token is long is not merely cut short

_space = re.compile(r"[ \t\r\n]*")
_decode = json.JSONDecoder().scan_once  # the decoder in C, which also tells where a value ends


class ListPart:
    """What was read at once of one object, and what is known by now of the whole of it."""

    def __init__(self, generation: object = None, reset: object = None):
        self.entries: list = []  # of `instances`, decoded
        self.generation, self.reset = generation, reset
        self.is_last = False  # the object


class ListReader:
    """Of an object's keys, `generation`, `reset` and `instances` are kept, in whichever order. It may be
    spread over lines and come in any pieces; between two objects there is white space alone. What is no such
    object, or has no end, raises ValueError: what is kept undecoded is MAX_ENTRY_CHARS and what
    was fed last."""

    def __init__(self) -> None:
        self._codec = codecs.getincrementaldecoder("utf-8")()
        self._text, self._position = "", 0
        self._part, self._most, self._others = ListPart(), 0, 0
        self._steps = self._objects()
        self.in_object = False  # an object has begun that has not ended

    def feed(self, data: bytes) -> None:
        self._text, self._position = self._text[self._position :] + self._codec.decode(data), 0

    def read(self, most: int) -> ListPart | None:
        """The next entries of one object, so many at most; none where all else has yet to come."""
        self._most = most
        if not next(self._steps) and not self._part.entries:
            return None
        part = self._part
        self._part = ListPart() if part.is_last else ListPart(part.generation, part.reset)
        return part

    def has_unread(self) -> bool:
        """Whether anything that was fed is unread. It may be cut short."""
        return self._position < len(self._text)

    # Each of these yields whether there is a part to be had; if not, it goes on once there is more to read.

    def _objects(self) -> Iterator[bool]:
        while True:
            yield from self._one("{")
            self.in_object, self._others = True, 0
            while (yield from self._next()) != "}":
                key = yield from self._value()
                yield from self._one(":")
                if not isinstance(key, str):
                    raise ValueError(f"{key!r} is no key")
                if key == "instances" and (yield from self._next()) == "[":
                    yield from self._entries()
                else:
                    value = yield from self._value()
                    if key == "generation":
                        self._part.generation = value
                    elif key == "reset":
                        self._part.reset = value
                    elif key == "instances" and value is not None:
                        raise ValueError("instances are no list")
                yield from self._comma("}")
            self._position = _space.match(self._text, self._position + 1).end()
            self.in_object, self._part.is_last = False, True
            yield True

    def _entries(self) -> Iterator[bool]:
        self._position += 1
        count = 0
        while (yield from self._next()) != "]":
            entry = yield from self._value(other=False)
            self._part.entries.append(entry)
            count += 1
            if count > MAX_ENTRIES:
                raise ValueError(f"over {MAX_ENTRIES} entries")
            yield from self._comma("]")
            if len(self._part.entries) >= self._most:
                yield True
        self._position += 1

    def _next(self) -> Iterator[bool]:
        """Returns the next character that is no space."""
        while True:
            self._position = _space.match(self._text, self._position).end()
            if self._position < len(self._text):
                return self._text[self._position]
            yield False

    def _one(self, what: str) -> Iterator[bool]:
        found = yield from self._next()
        if found != what:
            raise ValueError(f"{found!r} in place of {what!r}")
        self._position += 1

    def _comma(self, end: str) -> Iterator[bool]:
        if (yield from self._next()) != end:
            yield from self._one(",")

    def _value(self, other: bool = True) -> Iterator[bool]:
        """Returns the next value. A number is whole only once something follows, and so all are taken."""
        yield from self._next()
        while True:
            try:
                value, end = _decode(self._text, self._position)
            except StopIteration as error:
                self._cut_short(error.value)
            except json.JSONDecodeError as error:
                self._cut_short(len(self._text) if error.msg.startswith("Unterminated string") else error.pos)
            except RecursionError:
                raise ValueError("too deep") from None
            else:
                if end < len(self._text):
                    break
            if len(self._text) - self._position > MAX_ENTRY_CHARS:
                raise ValueError("a value without an end")
            yield False
        self._others += (end - self._position) * other
        if self._others > MAX_ENTRY_CHARS:
            raise ValueError("an object without an end")
        self._position = end
        return value

    def _cut_short(self, at: int) -> None:
        """Raises ValueError where more text could not mend what is wrong there."""
        if at < len(self._text.rstrip()) - TOKEN_MOST:
            raise ValueError(f"no value at {self._text[at : at + 2 * TOKEN_MOST]!r}")
