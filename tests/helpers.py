"""Scripted events for a `Gateway`, and what came out."""

from cobaltline import interface as io
from cobaltline.gateway import Gateway


def settings(**changes):
    base = dict(
        node_id=0,
        gateways=2,
        zone="z1",
        tick_ms=4.0,
        counter=True,
        counter_timeout_ms=50.0,
        may_cancel=True,
        may_duplicate=True,
        most_attempts=4,
        answer_slack_ms=16.0,
        drain_grace_ms=500.0,
        cold_from=0.2,
        cold_ms=10000.0,
        fall_multiple=3.0,
        fall_ms=1000.0,
        classes={
            "read": io.RequestClass("read", 1500.0, 4000.0, io.Idempotency.SAFE),
            "hold": io.RequestClass("hold", 1500.0, 4000.0, io.Idempotency.KEYED, "zone", 2000.0),
            "pay": io.RequestClass("pay", 1500.0, 4000.0, io.Idempotency.UNSAFE),
        },
        plans={
            "free": io.Plan("free"),
            "basic": io.Plan("basic", rate=2.0, burst=6.0, overrun_cost=0.8),
            "open": io.Plan("open", max_concurrency=1),
            "hard": io.Plan("hard", rate=2.0, burst=6.0, ceiling_rate=4.0, ceiling_burst=12.0),
        },
    )
    base.update(changes)
    return io.Settings(**base)


class GatewayHarness:
    """One gateway, a clock, and the actions of every step."""

    def __init__(self, backends=("b1", "b2", "b3"), at=100000.0, **changes):
        self.now = at
        self.actions = []
        self.timers = []
        self.gateway = Gateway(settings(**changes), 7)
        self.n = 0
        self.update_backends(*backends, kind=io.ListKind.CACHED)

    def update_backends(self, *backends, kind=io.ListKind.COMPLETE):
        entries = tuple(b if isinstance(b, io.Backend) else io.Backend(b, zone="z1") for b in backends)
        return self.feed(io.BackendsChanged(kind, 1, entries))

    def feed(self, event, at=None):
        if at is not None:
            self.now = at
        out = self.gateway.handle(self.now, event)
        self.actions.extend(out)
        for a in out:
            if isinstance(a, io.SetTimer):
                self.timers.append((self.now + a.delay_ms, a.token))
        return out

    def advance(self, to):
        """Let every timer up to `to` fire in turn; the actions of all of them."""
        out = []
        while due := sorted(t for t in self.timers if t[0] <= to):
            self.timers.remove(due[0])
            out += self.feed(io.TimerFired(due[0][1]), max(self.now, due[0][0]))
        self.now = to
        return out

    def request(self, plan="free", kind="read", customer="c", units=1.0, timeout_ms=4000.0, spread=2):
        self.n += 1
        name = f"r{self.n}"
        return name, self.feed(
            io.RequestArrived(
                request=name,
                customer=customer,
                plan=plan,
                kind=kind,
                deadline_ms=self.now + timeout_ms,
                units=units,
                spread=spread,
            )
        )

    def end_attempt(
        self, send_or_request, attempt=0, outcome=io.Outcome.OK, final=None, elapsed_ms=50.0, backend=""
    ):
        request = getattr(send_or_request, "request", send_or_request)
        final = outcome is io.Outcome.OK if final is None else final
        return self.feed(io.AttemptEnded(request, attempt, backend, outcome, final, elapsed_ms))

    def answer_all(self, actions, elapsed_ms=50.0):
        """Every attempt just sent is answered well."""
        out = []
        for s in of_type(actions, io.Send):
            out += self.end_attempt(s, elapsed_ms=elapsed_ms)
        return out

    def answer_counts(self, calls, totals=None, outcome=io.Outcome.OK):
        """Answer counter calls: by a dict of totals kept here, or with a failure."""
        out = []
        for c in of_type(calls, io.CounterAdd):
            total = 0.0
            if totals is not None and outcome is io.Outcome.OK:
                total = totals[c.name] = totals.get(c.name, 0.0) + c.amount
            out += self.feed(io.CounterResult(c.name, outcome, total, 2.0))
        return out


def of_type(actions, kind):
    return [a for a in actions if isinstance(a, kind)]


def final_answers(actions, request):
    return [a for a in actions if isinstance(a, (io.Reject, io.Fail)) and a.request == request]
