"""Sixteen times the backends behind the same gateways: limits on the growth of what a gateway needs."""

from random import Random

from helpers import settings

from cobaltline import interface as io
from cobaltline.gateway import Gateway

GATEWAYS, REQUESTS_PER_S, SECONDS = 200, 61.0, 30.0
ANSWER_MS = 20.0  # time to answer an attempt
KEEPALIVE_MS = 7500.0  # a connection idle for longer is not reused
# Connections made: at most this factor times those made among 200 backends, and this number more
MAX_GROWTH_FACTOR, MAX_EXTRA_COUNT = 2.5, 40


class ConnectionSimulation:
    """The connections of one gateway: an attempt reuses an idle one to its backend or makes a new one."""

    def __init__(self, backends):
        self.gateway = Gateway(settings(gateways=GATEWAYS, counter=False), seed=1)
        self.made_count, self.sent_count, self.idle_since, self.open_sends = 0, 0, {}, []
        entries = tuple(io.Backend(f"b{i}", zone="z1") for i in range(backends))
        self.deliver(0.0, io.BackendsChanged(io.ListKind.CACHED, 1, entries))

    def deliver(self, now, event):
        for send in (a for a in self.gateway.handle(now, event) if isinstance(a, io.Send)):
            usable_since = [at for at in self.idle_since.get(send.backend, ()) if at > now - KEEPALIVE_MS]
            self.made_count += not usable_since
            self.sent_count += 1
            self.idle_since[send.backend] = usable_since[:-1]
            self.open_sends.append((now + ANSWER_MS, send))

    def end_attempts(self, until):
        while self.open_sends and self.open_sends[0][0] <= until:
            ended_at, send = self.open_sends.pop(0)
            self.idle_since.setdefault(send.backend, []).append(ended_at)
            self.deliver(
                ended_at, io.AttemptEnded(send.request, 0, send.backend, io.Outcome.OK, True, ANSWER_MS)
            )

    def run(self):
        rng, now = Random(1), 1.0
        for number in range(int(REQUESTS_PER_S * SECONDS)):
            now += rng.expovariate(REQUESTS_PER_S / 1000.0)
            self.end_attempts(now)
            self.deliver(
                now,
                io.RequestArrived(f"r{number}", f"c{number % 50}", "free", "read", now + 4000.0, spread=2),
            )
        return self


def test_connections_made_grow_within_their_limit():
    usual, large = ConnectionSimulation(200).run(), ConnectionSimulation(16 * 200).run()
    assert min(usual.sent_count, large.sent_count) > 0.9 * REQUESTS_PER_S * SECONDS
    assert large.made_count <= MAX_GROWTH_FACTOR * usual.made_count + MAX_EXTRA_COUNT
