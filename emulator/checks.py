"""Checks the protocol's rules against what clients, backends and discovery observed.

The checks do not look into the gateway. All times are in ms on the virtual clock. `SentRequest` holds
everything observed about one request id: what its client sent and received, and the attempts that reached
backends. Violations are counted by rule, and the first few of each rule are kept as examples.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from cobaltline import interface as io
from scale.clients import Try

SOCKET_TOLERANCE_MS = 50.0  # added to every time limit of the protocol where it is measured on sockets
LATE_ANSWER_MS = 500.0  # how long past its deadline a request's answer counts as late, not as missing
ATTEMPT_AFTER_DISCONNECT_MS = 100.0  # no attempt may start later than this after the client disconnected
SILENT_WATCH_MS = 6000.0  # a gateway has to notice within this time that its discovery watch is silent
READY_TIMEOUT_MS = 6000.0  # a starting gateway has to be ready within this time
REQUESTS_PER_UNREAD = 200  # one request in this many may have its new connection closed without an answer
# Reasons for a missing answer.
CONNECTION_ENDED, DEADLINE_PASSED = "its connection was ended", "its time is up"
MAX_EXAMPLES = 5  # examples kept of each broken rule


@dataclass(slots=True)
class Attempt:
    """One attempt of a request, recorded when its last byte reaches the backend."""

    backend: str
    sent_at: float  # when its bytes last left the gateway
    received_at: float  # when its last byte reached the backend
    peer: object  # the gateway's socket, whose `send_closed_at` tells when it stopped sending
    ended_at: float = float("inf")  # answered, rejected, or closed by the backend
    may_have_run: bool = True  # False only where the backend rejected it

    def in_flight(self, now: float) -> bool:
        """Whether the attempt is unanswered and the gateway has not closed its connection."""
        return self.ended_at > now and self.peer.send_closed_at > now


@dataclass(slots=True)
class SentRequest:
    """One request as its client sent it, and everything that clients and backends observed of it."""

    name: str
    client_try: Try
    content: bytes  # method, target and body that a backend has to receive
    idempotency: io.Idempotency
    gateway: int
    incarnation: int  # of that gateway: the number of its process
    sent_at: float
    client_left_at: float = float("inf")  # when the client's disconnect reached the gateway
    answered_at: float = float("inf")  # when the last byte of its answer left the gateway
    outcome: str = ""
    attempts: list[Attempt] = field(default_factory=list)
    response_bodies: list[bytes] = field(default_factory=list)  # of the responses that backends sent
    trace: list[tuple[float, str]] = field(default_factory=list)


class Checks:
    """Records requests, attempts and backend changes, and counts the rules that they break.

    `crowded`: idle connections use up the gateway's descriptors, so new connections may be closed or left
    unread.
    """

    def __init__(self, crowded: bool = False) -> None:
        self._crowded = crowded
        self.unread_count = 0  # requests lost on a new connection without any attempt
        self.broken: Counter[str] = Counter()
        self.examples: list[tuple[float, str, str]] = []  # time, rule, request id or other subject
        self.requests: dict[str, SentRequest] = {}
        # When a gateway has to know that a backend leaves, by gateway and backend.
        self._leave_known_at: dict[tuple[int, str], float] = {}

    def add_violation(self, now: float, rule: str, subject: str) -> None:
        """Count a violation of `rule` by `subject`, a request id or a gateway or backend."""
        self.broken[rule] += 1
        if self.broken[rule] <= MAX_EXAMPLES:
            self.examples.append((now, rule, subject))

    # Clients.

    def record_request(self, request: SentRequest) -> None:
        """A client sends a request."""
        self.requests[request.name] = request
        request.trace.append((request.sent_at, f"client sends it to gateway {request.gateway}"))

    def record_response(
        self, now: float, request: SentRequest, status: int, body: bytes, sent_at: float
    ) -> str:
        """A client received a complete answer whose last byte left the gateway at `sent_at`.

        Returns its outcome: `served`, `refused` or `failed`.
        """
        request.trace.append((now, f"client gets {status}"))
        if request.outcome:
            self.add_violation(now, "a second final answer", request.name)
            return request.outcome
        request.outcome = "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        request.answered_at = sent_at
        if now > request.client_try.deadline_ms + LATE_ANSWER_MS:
            self.add_violation(now, "no final answer in time", request.name)
        if status == 200 and body not in request.response_bodies:
            self.add_violation(now, "served with what no backend made for it", request.name)
        if (
            request.outcome == "refused"
            and request.idempotency is io.Idempotency.UNSAFE
            and any(attempt.may_have_run for attempt in request.attempts)
        ):
            self.add_violation(now, "refused what may have run", request.name)
        if any(attempt.sent_at > sent_at for attempt in request.attempts):
            self.add_violation(now, "sent on after its end", request.name)
        return request.outcome

    def record_no_response(self, now: float, request: SentRequest, reason: str, new_connection: bool) -> None:
        """A request's connection ended without an answer, or its deadline passed, for `reason`.

        This is a violation, except on a new connection without any attempt: the gateway may close a few of
        those.
        """
        request.trace.append((now, f"client gets no answer: {reason}"))
        request.outcome = request.outcome or "lost"
        if new_connection and not request.attempts and (reason == CONNECTION_ENDED or self._crowded):
            self.unread_count += 1
            if not self._crowded and self.unread_count > max(1, len(self.requests) // REQUESTS_PER_UNREAD):
                self.add_violation(now, "too many new connections closed with no answer", request.name)
        else:
            self.add_violation(now, f"no final answer: {reason}", request.name)

    def record_gateway_death(self, now: float, request: SentRequest) -> None:
        """The gateway died while the request was open, which breaks no rule."""
        request.trace.append((now, "its gateway died"))
        request.outcome = request.outcome or "died"

    def record_client_leave(self, now: float, received_at: float, request: SentRequest) -> None:
        """The client disconnects, which reaches the gateway at `received_at`."""
        request.trace.append((now, "client leaves"))
        request.client_left_at, request.outcome = received_at, request.outcome or "left"

    # Backends.

    def record_attempt(
        self, now: float, name: str, content: bytes, backend: str, gateway: int, peer, grace_ms: float
    ) -> tuple[SentRequest, Attempt] | None:
        """A complete request reached a backend. Returns None if no client sent it.

        `grace_ms`: how long the gateway may go on sending to a backend that leaves.
        """
        request = self.requests.get(name)
        if request is None:
            self.add_violation(now, "sent on what no client asked", name)
            return None
        attempt = Attempt(backend, peer.sent_at, now, peer)
        request.trace.append((now, f"backend {backend} receives it, attempt {len(request.attempts)}"))
        if content != request.content:
            self.add_violation(now, "passed on changed", name)
        if any(earlier.in_flight(attempt.sent_at) for earlier in request.attempts):
            self.add_violation(now, "two attempts at once", name)
        if request.idempotency is io.Idempotency.UNSAFE and any(
            earlier.may_have_run for earlier in request.attempts
        ):
            self.add_violation(now, "an unsafe request sent again that may have run", name)
        if attempt.sent_at > request.client_left_at + ATTEMPT_AFTER_DISCONNECT_MS:
            self.add_violation(now, "begun after its client left", name)
        if attempt.sent_at > request.answered_at:
            self.add_violation(now, "sent on after its end", name)
        leave_known_at = self._leave_known_at.get((gateway, backend))
        if leave_known_at is not None and attempt.sent_at > leave_known_at + grace_ms + SOCKET_TOLERANCE_MS:
            self.add_violation(now, "sent to a backend that had left", name)
        request.attempts.append(attempt)
        return request, attempt

    # Discovery.

    def record_backend_change(self, gateway: int, backend: str, leaving: bool, known_at: float) -> None:
        """A gateway is told that a backend is up or leaves, and has to follow it from `known_at` on."""
        if not leaving:
            self._leave_known_at.pop((gateway, backend), None)
        else:
            key = gateway, backend
            self._leave_known_at[key] = min(self._leave_known_at.get(key, known_at), known_at)
