"""Connections in memory do what a kernel's do."""

import errno
import select
from random import Random

import pytest

from emulator.network import SPLIT_DELAY_MS, WINDOW_BYTES, Machine, Network, Poll, Stream
from scale.clock import Clock
from scale.links import Links


class End:
    """A stand-in that keeps what it hears."""

    def __init__(self, sock=None):
        self.data, self.over, self.pieces = b"", [], 0
        self.stream = None if sock is None else self.on(sock)

    def on(self, sock):
        self.stream = Stream(sock, self.hear, self.over.append)
        return self.stream

    def hear(self, data):
        self.data, self.pieces = self.data + data, self.pieces + 1


class Pair:
    """A client's machine in one zone and a listening one in another region."""

    def __init__(self, backlog=8, descriptors=None, accept=True):
        self.clock = Clock(0.0)
        self.links = Links(2, 2)
        self.network = Network(self.clock, self.links, Random(1))
        self.links.on_heal = self.network.send_held
        self.here = Machine(self.network, "here", "r0z0", descriptors)
        self.there = Machine(self.network, "there", "r1z1")
        self.listening = self.there.listen(("there", 1), backlog, self.accept if accept else lambda: None)
        self.accepted, self.up_at, self.failed = [], [], []

    def accept(self):
        self.accepted.append(End(self.listening.accept()[0]))

    def connect(self):
        end = End()

        def up():
            self.up_at.append(self.clock.now)
            end.on(sock)

        sock = self.network.connect(self.here, ("there", 1), up, self.failed.append)
        end.sock = sock
        return end

    def run(self, for_ms=1000.0):
        self.clock.run_until(self.clock.now + for_ms)


def test_bytes_come_whole_and_in_order_and_are_cut_now_and_then():
    p = Pair()
    end = p.connect()
    p.run()
    assert 30.0 <= p.up_at[0] < 33.0  # there and back between regions
    sent = b"".join(b"%d," % number for number in range(2000))
    for start in range(0, len(sent), 10):
        end.stream.send(sent[start : start + 10])
        p.run(1.0 + SPLIT_DELAY_MS[1])
    p.run()
    assert p.accepted[0].data == sent and p.accepted[0].pieces > len(sent) / 10


def test_an_end_may_be_half_open_and_a_close_over_unread_bytes_resets():
    p = Pair()
    end = p.connect()
    p.run()
    end.sock.shutdown()
    other = p.accepted[0]
    p.run()
    other.stream.send(b"still")
    p.run()
    assert other.over == [False] and end.data == b"still"
    with pytest.raises(BrokenPipeError):
        end.sock.send(b"x")
    other.stream.close()
    p.run()
    assert end.over == [False]

    unread = p.connect()
    p.run()
    sock = p.accepted[1].stream.sock
    sock.reader = lambda: None  # it reads no more
    unread.stream.send(b"unread")
    p.run()
    sock.close()
    p.run()
    assert unread.over == [True]
    with pytest.raises(ConnectionResetError):
        unread.sock.send(b"x")


def test_what_is_not_read_holds_the_sender_back():
    p = Pair()
    end = p.connect()
    p.run()
    sock = p.accepted[0].stream.sock
    sock.reader = lambda: None
    end.stream.send(b"x" * (WINDOW_BYTES + 5))
    p.run()
    assert len(sock.receive_buffer) == WINDOW_BYTES and end.sock.send(b"y") == 0
    assert sock.read(3) == b"xxx"
    p.run()
    assert len(sock.receive_buffer) == WINDOW_BYTES


def test_a_full_queue_lets_no_connection_in_until_there_is_room():
    p = Pair(backlog=1, accept=False)
    ends = [p.connect() for _ in range(3)]
    p.run(500.0)
    assert len(p.up_at) == 2 and p.listening.dropped == 1
    p.listening.accept()
    p.run(1000.0)
    assert len(p.up_at) == 3 and 1000.0 < p.up_at[-1] < 1100.0 and not p.failed
    p.there.die()
    p.run()
    assert [end.over for end in ends] == [[True]] * 3


def test_connections_are_refused_or_come_up_late_or_never():
    p = Pair()
    p.network.connect_delay_ms = lambda where, rng: 200.0
    p.connect()
    p.network.connect_delay_ms = lambda where, rng: None
    p.connect()
    p.run(20_000.0)
    assert len(p.up_at) == 1 and 230.0 <= p.up_at[0] < 233.0
    p.network.connect_delay_ms = lambda where, rng: 0.0
    p.there.die()
    p.connect()
    p.run()
    assert [error.errno for error in p.failed] == [errno.ECONNREFUSED]


def test_what_is_sent_over_a_cut_link_comes_once_it_is_healed():
    p = Pair()
    end = p.connect()
    p.run()
    p.links.partition(["r1z1"])
    end.stream.send(b"held")
    p.connect()
    p.run(500.0)
    assert p.accepted[0].data == b"" and len(p.up_at) == 1
    p.links.heal()
    p.run(1000.0)
    assert p.accepted[0].data == b"held" and len(p.up_at) == 2


def test_a_machine_runs_out_of_descriptors_and_a_closed_one_is_free_again():
    p = Pair(descriptors=2)
    first = p.connect()
    p.connect()
    with pytest.raises(OSError) as error:
        p.connect()
    assert error.value.errno == errno.EMFILE
    first.sock.close()
    p.connect()


def test_a_poll_tells_what_is_unread_and_what_has_ended():
    p = Pair()
    end = p.connect()
    p.run()
    poll = Poll(p.here)
    poll.register(end.sock.fileno(), select.POLLIN | select.POLLRDHUP)
    end.sock.reader = lambda: None
    assert poll.poll(0) == []
    p.accepted[0].stream.send(b"x")
    p.run()
    assert poll.poll(0) == [(end.sock.fileno(), select.POLLIN)]
    p.accepted[0].stream.close()
    p.run()
    assert poll.poll(0) == [(end.sock.fileno(), select.POLLIN | select.POLLRDHUP)]
