"""The incremental reader of lists: what it reads from pieces of any size, and what it refuses."""

import itertools
import json

import pytest

from elderhub import lists
from elderhub.lists import ListReader

ENTRIES = [
    {"instanceId": f"s-{i}", "zone": 'a"}]\\{[', "weight": 1.5e-3 * i, "more": {"of": [{}, [i], "é\u2028\n"]}}
    for i in range(30)
]
COMPLETE_LIST = {"generation": 41, "reset": True, "instances": ENTRIES}
LIST_WITH_LATE_GENERATION = {
    "other": {"instances": [1, 2]},
    "instances": ENTRIES[:3],
    "reset": False,
    "generation": 42,
}
LIST_WITHOUT_ENTRIES = {"generation": 43}


def stream(*objects, **form):
    return "\n\n".join(json.dumps(one, **form) for one in objects).encode() + b"\n"


def parts(data, size, max_entries):
    reader = ListReader()
    for position in range(0, len(data), size):
        reader.feed(data[position : position + size])
        while (part := reader.read(max_entries)) is not None:
            yield part


def objects(data, size=1 << 20, max_entries=7):
    """Returns the entries, generation and reset of each object, joined over its parts."""
    complete, entries = [], []
    for part in parts(data, size, max_entries):
        entries += part.entries
        if part.is_last:
            complete.append((entries, part.generation, part.reset))
            entries = []
    return complete


@pytest.mark.parametrize("size", [1, 2, 61, 1 << 20])
@pytest.mark.parametrize(
    "form", [{}, {"indent": 2}, {"indent": "\t", "ensure_ascii": False}, {"separators": (",", ":")}], ids=str
)
def test_objects_are_read_in_pieces_of_any_size_and_any_formatting(size, form):
    assert objects(stream(COMPLETE_LIST, LIST_WITH_LATE_GENERATION, LIST_WITHOUT_ENTRIES, **form), size) == [
        (ENTRIES, 41, True),
        (ENTRIES[:3], 42, False),
        ([], 43, None),
    ]


def test_entries_are_returned_as_they_arrive_up_to_a_maximum():
    reader, data = ListReader(), stream(COMPLETE_LIST)
    reader.feed(data[: len(data) // 2])
    early = list(iter(lambda: reader.read(4), None))
    assert sum(len(part.entries) for part in early) >= 14 and not any(part.is_last for part in early)
    assert all(part.generation == 41 and part.reset for part in early) and reader.in_object
    assert max(len(part.entries) for part in parts(data, len(data), 4)) == 4
    reader.feed(data[len(data) // 2 :])
    assert list(iter(lambda: reader.read(4), None))[-1].is_last
    assert not reader.in_object and not reader.has_unread()


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense",
        b"7",
        b"[]",
        b'{"a" 1}',
        b'{"a":1 "b":2}',
        b"{7:1}",
        b'{"instances":{"a":1}}',
        b'{"instances":[{"a":1} {"b":2}]}',
        b'{"instances":[{"a":tru}, {"instanceId":"a further one"}]}',
        b'{"instances":[{"a":"\n"}]}  and some more text',
        b'{"a":' + b"[" * 5000,
        b"\xff\xff",
    ],
    ids=repr,
)
def test_malformed_input_is_refused(data):
    with pytest.raises(ValueError):
        objects(data + b"\n")


@pytest.mark.parametrize(
    "prefix, piece",
    [
        (b'{"instances":["', b"x"),
        (b'{"instances":[[', b"7,"),
        (b'{"a":"', b"x"),
        (b'{"a":', b"7"),
        (b"{", b'"a":1,'),
        (b'{"instances":[', b"7,"),
        (b'{"instances":[', b'{"instanceId":"a"},'),
        (b'{"instances":[],', b'"a":"b",'),
    ],
)
def test_endless_input_is_refused_with_bounded_memory(monkeypatch, prefix, piece):
    monkeypatch.setattr(lists, "MAX_ENTRIES", 10000)
    reader, size = ListReader(), 1 << 12
    reader.feed(prefix)
    with pytest.raises(ValueError):
        for _ in range(1000):
            reader.feed(piece * (size // len(piece)))
            for part in iter(lambda: reader.read(8), None):
                assert len(part.entries) <= 8
            assert len(reader._text) - reader._position <= lists.MAX_ENTRY_CHARS + size


def test_white_space_is_not_kept():
    reader = ListReader()
    for space in itertools.islice(itertools.cycle([b"\n", b" " * 5000]), 100):
        reader.feed(space)
        assert reader.read(8) is None and not reader.has_unread()
