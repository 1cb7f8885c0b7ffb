"""Sixteen times the backends behind the same gateways: what a gateway needs may grow only so far."""

from random import Random

from helpers import settings

from cobaltline import interface as io
from cobaltline.gateway import Gateway

GATEWAYS, REQUESTS_PER_S, SECONDS = 200, 61.0, 30.0
TOOK_MS = 20.0  # of an answer
KEPT_MS = 7500.0  # a connection that stood idle for longer is not used again
TIMES, MORE = (
    2.5,
    40,
)  # connections made to backends, at most: so many times those of the usual size, and more


class Connections:
    """One gateway's: an attempt needs a new one where none to its backend is idle and still good."""

    def __init__(self, backends):
        self.gateway = Gateway(settings(gateways=GATEWAYS, counter=False), seed=1)
        self.made, self.sent, self.idle, self.out = 0, 0, {}, []
        entries = tuple(io.Backend(f"b{i}", zone="z1") for i in range(backends))
        self.put(0.0, io.BackendsChanged(io.ListKind.CACHED, 1, entries))

    def put(self, now, event):
        for send in (a for a in self.gateway.handle(now, event) if isinstance(a, io.Send)):
            free = [at for at in self.idle.get(send.backend, ()) if at > now - KEPT_MS]
            self.made += not free
            self.sent += 1
            self.idle[send.backend] = free[:-1]
            self.out.append((now + TOOK_MS, send))

    def answered(self, until):
        while self.out and self.out[0][0] <= until:
            at, send = self.out.pop(0)
            self.idle.setdefault(send.backend, []).append(at)
            self.put(at, io.AttemptEnded(send.request, 0, send.backend, io.Outcome.OK, True, TOOK_MS))

    def play(self):
        rng, now = Random(1), 1.0
        for n in range(int(REQUESTS_PER_S * SECONDS)):
            now += rng.expovariate(REQUESTS_PER_S / 1000.0)
            self.answered(now)
            self.put(now, io.RequestArrived(f"r{n}", f"c{n % 50}", "free", "read", now + 4000.0, spread=2))
        return self


def test_connections_made_grow_within_their_limit():
    usual, large = Connections(200).play(), Connections(16 * 200).play()
    assert min(usual.sent, large.sent) > 0.9 * REQUESTS_PER_S * SECONDS
    assert large.made <= TIMES * usual.made + MORE
