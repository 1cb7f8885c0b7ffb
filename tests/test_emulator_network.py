"""In-memory connections behave as TCP connections of a kernel do."""

import errno
import select
from random import Random

import pytest

from emulator.network import SPLIT_DELAY_MS, WINDOW_BYTES, Machine, Network, Poll, Stream
from scale.clock import Clock
from scale.links import Links


class Endpoint:
    """One end of a connection, which collects what it receives."""

    def __init__(self, sock=None):
        self.data, self.closings, self.chunk_count = b"", [], 0  # closings: True for a reset
        self.stream = None if sock is None else self.attach(sock)

    def attach(self, sock):
        self.stream = Stream(sock, self.data_received, self.closings.append)
        return self.stream

    def data_received(self, data):
        self.data, self.chunk_count = self.data + data, self.chunk_count + 1


class ClientAndServer:
    """A client machine in one zone and a listening one in another region."""

    def __init__(self, backlog=8, descriptors=None, accept=True):
        self.clock = Clock(0.0)
        self.links = Links(2, 2)
        self.network = Network(self.clock, self.links, Random(1))
        self.links.on_heal = self.network.send_held
        self.client = Machine(self.network, "here", "r0z0", descriptors)
        self.server = Machine(self.network, "there", "r1z1")
        self.listening = self.server.listen(("there", 1), backlog, self.accept if accept else lambda: None)
        self.accepted, self.up_at, self.failed = [], [], []

    def accept(self):
        self.accepted.append(Endpoint(self.listening.accept()[0]))

    def connect(self):
        end = Endpoint()

        def connected():
            self.up_at.append(self.clock.now)
            end.attach(sock)

        sock = self.network.connect(self.client, ("there", 1), connected, self.failed.append)
        end.sock = sock
        return end

    def run(self, for_ms=1000.0):
        self.clock.run_until(self.clock.now + for_ms)


def test_bytes_arrive_complete_and_in_order_though_some_writes_are_split():
    pair = ClientAndServer()
    end = pair.connect()
    pair.run()
    assert 30.0 <= pair.up_at[0] < 33.0  # a round trip between regions
    sent = b"".join(b"%d," % number for number in range(2000))
    for start in range(0, len(sent), 10):
        end.stream.send(sent[start : start + 10])
        pair.run(1.0 + SPLIT_DELAY_MS[1])
    pair.run()
    assert pair.accepted[0].data == sent and pair.accepted[0].chunk_count > len(sent) / 10


def test_a_connection_can_be_half_closed_and_closing_with_unread_bytes_resets_it():
    pair = ClientAndServer()
    end = pair.connect()
    pair.run()
    end.sock.shutdown()
    other = pair.accepted[0]
    pair.run()
    other.stream.send(b"still")
    pair.run()
    assert other.closings == [False] and end.data == b"still"
    with pytest.raises(BrokenPipeError):
        end.sock.send(b"x")
    other.stream.close()
    pair.run()
    assert end.closings == [False]

    unread = pair.connect()
    pair.run()
    sock = pair.accepted[1].stream.sock
    sock.on_readable = lambda: None  # stop reading
    unread.stream.send(b"unread")
    pair.run()
    sock.close()
    pair.run()
    assert unread.closings == [True]
    with pytest.raises(ConnectionResetError):
        unread.sock.send(b"x")


def test_unread_bytes_block_the_sender():
    pair = ClientAndServer()
    end = pair.connect()
    pair.run()
    sock = pair.accepted[0].stream.sock
    sock.on_readable = lambda: None
    end.stream.send(b"x" * (WINDOW_BYTES + 5))
    pair.run()
    assert len(sock.receive_buffer) == WINDOW_BYTES and end.sock.send(b"y") == 0
    assert sock.read(3) == b"xxx"
    pair.run()
    assert len(sock.receive_buffer) == WINDOW_BYTES


def test_a_full_accept_queue_admits_no_connection_until_one_is_accepted():
    pair = ClientAndServer(backlog=1, accept=False)
    ends = [pair.connect() for _ in range(3)]
    pair.run(500.0)
    assert len(pair.up_at) == 2 and pair.listening.dropped == 1
    pair.listening.accept()
    pair.run(1000.0)
    assert len(pair.up_at) == 3 and 1000.0 < pair.up_at[-1] < 1100.0 and not pair.failed
    pair.server.die()
    pair.run()
    assert [end.closings for end in ends] == [[True]] * 3


def test_connections_can_be_refused_or_established_late_or_never():
    pair = ClientAndServer()
    pair.network.connect_delay_ms = lambda address, rng: 200.0
    pair.connect()
    pair.network.connect_delay_ms = lambda address, rng: None
    pair.connect()
    pair.run(20_000.0)
    assert len(pair.up_at) == 1 and 230.0 <= pair.up_at[0] < 233.0
    pair.network.connect_delay_ms = lambda address, rng: 0.0
    pair.server.die()
    pair.connect()
    pair.run()
    assert [error.errno for error in pair.failed] == [errno.ECONNREFUSED]


def test_bytes_sent_during_a_partition_arrive_once_it_heals():
    pair = ClientAndServer()
    end = pair.connect()
    pair.run()
    pair.links.partition(["r1z1"])
    end.stream.send(b"held")
    pair.connect()
    pair.run(500.0)
    assert pair.accepted[0].data == b"" and len(pair.up_at) == 1
    pair.links.heal()
    pair.run(1000.0)
    assert pair.accepted[0].data == b"held" and len(pair.up_at) == 2


def test_a_machine_runs_out_of_descriptors_and_closing_frees_one():
    pair = ClientAndServer(descriptors=2)
    first = pair.connect()
    pair.connect()
    with pytest.raises(OSError) as error:
        pair.connect()
    assert error.value.errno == errno.EMFILE
    first.sock.close()
    pair.connect()


def test_poll_reports_unread_bytes_and_the_end_of_a_connection():
    pair = ClientAndServer()
    end = pair.connect()
    pair.run()
    poll = Poll(pair.client)
    poll.register(end.sock.fileno(), select.POLLIN | select.POLLRDHUP)
    end.sock.on_readable = lambda: None
    assert poll.poll(0) == []
    pair.accepted[0].stream.send(b"x")
    pair.run()
    assert poll.poll(0) == [(end.sock.fileno(), select.POLLIN)]
    pair.accepted[0].stream.close()
    pair.run()
    assert poll.poll(0) == [(end.sock.fileno(), select.POLLIN | select.POLLRDHUP)]
