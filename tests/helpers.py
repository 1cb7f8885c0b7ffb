"""A harness that feeds scripted events to a `Gateway` and records its actions."""

from cobaltline import interface as io
from cobaltline.gateway import Gateway


def settings(**changes):
    """Settings of one of two gateways, with four plans and three request classes; `changes` override."""
    defaults = dict(
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
    defaults.update(changes)
    return io.Settings(**defaults)


class GatewayHarness:
    """One gateway with a clock, in ms, that the test moves; `actions` holds all actions so far."""

    def __init__(self, backends=("b1", "b2", "b3"), at=100000.0, seed=7, **changes):
        self.now = at
        self.actions = []
        self.timers = []
        self.gateway = Gateway(settings(**changes), seed)
        self.request_count = 0
        self.update_backends(*backends, kind=io.ListKind.CACHED)

    def update_backends(self, *backends, kind=io.ListKind.COMPLETE):
        """Pass in a list of backends, given by name or as entries."""
        entries = tuple(
            backend if isinstance(backend, io.Backend) else io.Backend(backend, zone="z1")
            for backend in backends
        )
        return self.feed(io.BackendsChanged(kind, 1, entries))

    def feed(self, event, at=None):
        """Pass in an event, now or at the time `at`, and return the actions."""
        if at is not None:
            self.now = at
        actions = self.gateway.handle(self.now, event)
        self.actions.extend(actions)
        for action in actions:
            if isinstance(action, io.SetTimer):
                self.timers.append((self.now + action.delay_ms, action.token))
        return actions

    def advance(self, until):
        """Fire all timers that are due by `until`, in order, and return their actions."""
        actions = []
        while due := sorted(t for t in self.timers if t[0] <= until):
            self.timers.remove(due[0])
            actions += self.feed(io.TimerFired(due[0][1]), max(self.now, due[0][0]))
        self.now = until
        return actions

    def request(self, plan="free", kind="read", customer="c", units=1.0, timeout_ms=4000.0, spread=2):
        """Pass in a new request; returns its name and the actions."""
        self.request_count += 1
        name = f"r{self.request_count}"
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
        """End an attempt of a request, which is given by name or by a `Send`, and return the actions."""
        request = getattr(send_or_request, "request", send_or_request)
        final = outcome is io.Outcome.OK if final is None else final
        return self.feed(io.AttemptEnded(request, attempt, backend, outcome, final, elapsed_ms))

    def answer_all(self, actions, elapsed_ms=50.0):
        """Answer every attempt sent by `actions` with success, and return the actions that follow."""
        results = []
        for send in of_type(actions, io.Send):
            results += self.end_attempt(send, elapsed_ms=elapsed_ms)
        return results

    def answer_counts(self, calls, totals=None, outcome=io.Outcome.OK):
        """Answer the counter calls among `calls` and return the actions that follow.

        `totals` holds the totals by name and is updated; another outcome than OK fails the calls.
        """
        actions = []
        for call in of_type(calls, io.CounterAdd):
            total = 0.0
            if totals is not None and outcome is io.Outcome.OK:
                total = totals[call.name] = totals.get(call.name, 0.0) + call.amount
            actions += self.feed(io.CounterResult(call.name, outcome, total, 2.0))
        return actions


def of_type(actions, kind):
    """The actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


def final_answers(actions, request):
    """The rejections and failures of a request."""
    return [
        action for action in actions if isinstance(action, (io.Reject, io.Fail)) and action.request == request
    ]
