"""What the decision module knows of a request that is not answered yet: its attempts, cost and times."""

from __future__ import annotations

import math

from . import interface as io
from .interface import Idempotency
from .quota import MILLI_PER_UNIT, Bucket
from .tracked_backend import TrackedBackend

KEY_LIFETIME_SHARE = 0.95  # of an idempotency key's lifetime: a repeat is sent before this, as it takes time


class PeerBorrow:
    """A borrow that another gateway requests from this one as a home gateway of the customer.

    It waits in the bucket beside requests. `cost` is in milli-tokens.
    """

    def __init__(self, bucket: Bucket, cost: int, peer: int, nonce: int):
        self.bucket, self.cost, self.peer, self.nonce, self.done = bucket, cost, peer, nonce, False


class Attempt:
    """One attempt of a request at a backend.

    `may_have_run` is false once the attempt has ended without having been executed.
    """

    def __init__(self, backend: TrackedBackend, number: int, sent_at: float):
        self.backend, self.number, self.sent_at, self.is_open, self.may_have_run = (
            backend,
            number,
            sent_at,
            True,
            True,
        )


class Request:
    """A request that is not answered yet.

    `cost` and `charged` are in milli-tokens, `deadline_at` and `target_at` are times of the host's clock.
    """

    def __init__(self, event: io.RequestArrived, request_class: io.RequestClass, bucket: Bucket, now: float):
        self.id, self.request_class, self.bucket = event.request, request_class, bucket
        self.cost = max(0, round(event.units * MILLI_PER_UNIT))
        self.deadline_at = event.deadline_ms
        self.target_at = min(now + request_class.target_latency_ms, self.deadline_at)
        self.attempts: list[Attempt] = []
        self.timers: list[int] = []  # after which it is given up
        self.done = self.is_stream = False
        self.was_drawn = False  # set by the first draw of candidates
        self.charged = 0
        self.priority = request_class.worth * bucket.plan.price

    def first_possible_run(self) -> Attempt | None:
        """The first attempt that may have been executed; it sets the scope and age of an idempotency key."""
        return next((a for a in self.attempts if a.may_have_run), None)

    def send_before(self) -> float:
        """Until when a further attempt may be sent: unlimited, unless it would repeat a keyed request."""
        if self.request_class.idempotency is not Idempotency.KEYED:
            return math.inf
        first_run = self.first_possible_run()
        if first_run is None:
            return math.inf
        return first_run.sent_at + self.request_class.key_ttl_ms * KEY_LIFETIME_SHARE

    def may_reject(self, now: float) -> bool:
        """Whether a retry by the client is safe, so that the request may be rejected instead of failed.

        The client may retry anywhere, but as little as the gateway after the key has expired.
        """
        request_class = self.request_class
        if request_class.idempotency is Idempotency.SAFE or self.first_possible_run() is None:
            return True
        is_keyed_anywhere = (
            request_class.idempotency is Idempotency.KEYED and request_class.key_scope == "all"
        )
        return is_keyed_anywhere and now < self.send_before()
