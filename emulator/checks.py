"""The rules of the pages, held against what clients, backends and discovery saw.

Knows nothing of the gateway. Times are ms of the shared clock. `SentRequest` is one request by its id: what
its client sent and got, and what reached backends under that id. Rules that break are counted by name, and
the first of each are kept with the id.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from cobaltline import interface as io
from scale.clients import Try

SOCKETS_MS = 50.0  # the protocol page: on sockets every time limit is so much longer
LATE_MS = 500.0  # an answer may come so long after its time, and then earns nothing; later it is lost
LEFT_MS = 100.0  # an attempt that begins so long after its client left is begun for nobody
SILENT_MS = 6000.0  # what a silent watch misses counts as told so long after it fell silent
READY_MS = 6000.0  # a gateway that starts is ready by then
UNREAD_SHARE = 200  # of the requests, one in so many may find its new connection closed with no answer
CLOSED, TIME_UP = "its connection was ended", "its time is up"  # why there is no answer
KEPT = 5  # examples of each broken rule


@dataclass(slots=True)
class Attempt:
    """What one connection brought to a backend under this id, from the last byte on."""

    backend: str
    sent_at: float  # its first byte left the gateway
    began_at: float  # its last byte came
    peer: object  # the gateway's end of the connection: `send_closed_at` tells when it stopped sending
    ended_at: float = float("inf")  # answered, turned away, or the backend ended the connection
    ran: bool = True  # or may have

    def out(self, now: float) -> bool:
        return self.ended_at > now and self.peer.send_closed_at > now


@dataclass(slots=True)
class SentRequest:
    """One request of a client. `lost`: its gateway died with it, which nobody is blamed for."""

    name: str
    client_try: Try
    text: bytes  # method, target and body, as they are to reach a backend
    repeat: io.Idempotency
    gateway: int
    life: int  # of that gateway
    sent_at: float
    left_at: float = float("inf")  # its client's end has come to the gateway
    final_at: float = float("inf")  # the last byte of its answer left the gateway
    final: str = ""
    attempts: list[Attempt] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)  # that backends answered with
    trace: list[tuple[float, str]] = field(default_factory=list)


class Checks:
    """`crowded`: idle clients fill the descriptors; new connections may then be closed or left unread."""

    def __init__(self, crowded: bool = False) -> None:
        self._crowded = crowded
        self.unread = 0  # requests whose new connection was closed, and nothing sent on
        self.broken: Counter[str] = Counter()
        self.examples: list[tuple[float, str, str]] = []  # when, rule, id or whom it was about
        self.asked: dict[str, SentRequest] = {}
        self._left: dict[tuple[int, str], float] = {}  # gateway, backend: since when a leave counts as told

    def add_violation(self, now: float, rule: str, about: str) -> None:
        self.broken[rule] += 1
        if self.broken[rule] <= KEPT:
            self.examples.append((now, rule, about))

    # Clients.

    def record_request(self, asked: SentRequest) -> None:
        self.asked[asked.name] = asked
        asked.trace.append((asked.sent_at, f"client sends it to gateway {asked.gateway}"))

    def record_response(
        self, now: float, asked: SentRequest, status: int, body: bytes, sent_at: float
    ) -> str:
        """A whole answer has come, whose last byte left the gateway at `sent_at`; how it counts: `served`,
        `refused` or `failed`."""
        asked.trace.append((now, f"client gets {status}"))
        if asked.final:
            self.add_violation(now, "a second final answer", asked.name)
            return asked.final
        asked.final = "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        asked.final_at = sent_at
        if now > asked.client_try.deadline_ms + LATE_MS:
            self.add_violation(now, "no final answer in time", asked.name)
        if status == 200 and body not in asked.bodies:
            self.add_violation(now, "served with what no backend made for it", asked.name)
        if (
            asked.final == "refused"
            and asked.repeat is io.Idempotency.UNSAFE
            and any(attempt.ran for attempt in asked.attempts)
        ):
            self.add_violation(now, "refused what may have run", asked.name)
        if any(attempt.sent_at > sent_at for attempt in asked.attempts):
            self.add_violation(now, "sent on after its end", asked.name)
        return asked.final

    def record_no_response(self, now: float, asked: SentRequest, why: str, new: bool) -> None:
        """Its connection ended without an answer, or its time is up: it is lost. Not so on a new connection
        of which nothing was sent on: such may be closed, if they are few."""
        asked.trace.append((now, f"client gets no answer: {why}"))
        asked.final = asked.final or "lost"
        if new and not asked.attempts and (why == CLOSED or self._crowded):
            self.unread += 1
            if not self._crowded and self.unread > max(1, len(self.asked) // UNREAD_SHARE):
                self.add_violation(now, "too many new connections closed with no answer", asked.name)
        else:
            self.add_violation(now, f"no final answer: {why}", asked.name)

    def record_gateway_death(self, now: float, asked: SentRequest) -> None:
        """Its gateway has died with it."""
        asked.trace.append((now, "its gateway died"))
        asked.final = asked.final or "died"

    def record_client_leave(self, now: float, heard_at: float, asked: SentRequest) -> None:
        """Its client goes, which comes to the gateway then."""
        asked.trace.append((now, "client leaves"))
        asked.left_at, asked.final = heard_at, asked.final or "left"

    # Backends.

    def record_attempt(
        self, now: float, name: str, text: bytes, backend: str, gateway: int, peer, grace_ms: float
    ) -> tuple[SentRequest, Attempt] | None:
        """A request has come whole to a backend; None where nobody asked for it."""
        asked = self.asked.get(name)
        if asked is None:
            self.add_violation(now, "sent on what no client asked", name)
            return None
        attempt = Attempt(backend, peer.sent_at, now, peer)
        asked.trace.append((now, f"backend {backend} has it whole, number {len(asked.attempts)}"))
        if text != asked.text:
            self.add_violation(now, "passed on changed", name)
        if any(earlier.out(attempt.sent_at) for earlier in asked.attempts):
            self.add_violation(now, "two attempts at once", name)
        if asked.repeat is io.Idempotency.UNSAFE and any(earlier.ran for earlier in asked.attempts):
            self.add_violation(now, "an unsafe request sent again that may have run", name)
        if attempt.sent_at > asked.left_at + LEFT_MS:
            self.add_violation(now, "begun after its client left", name)
        if attempt.sent_at > asked.final_at:
            self.add_violation(now, "sent on after its end", name)
        told = self._left.get((gateway, backend))
        if told is not None and attempt.sent_at > told + grace_ms + SOCKETS_MS:
            self.add_violation(now, "sent to a backend that had left", name)
        asked.attempts.append(attempt)
        return asked, attempt

    # Discovery.

    def record_backend_change(self, gateway: int, backend: str, leaves: bool, counts_at: float) -> None:
        """A change counts as told from then on."""
        if not leaves:
            self._left.pop((gateway, backend), None)
        else:
            key = gateway, backend
            self._left[key] = min(self._left.get(key, counts_at), counts_at)
