"""What a request must look like: pure functions from what was read to the event of a request, or a refusal.

Clients of the usual kind send nothing that is turned down here. Whatever is turned down never reaches the
module: it has no bearing on a quota or on the standing of a backend.
"""

from __future__ import annotations

import re

from cobaltline import interface as io

from .wire import HOP_BY_HOP_HEADERS, parse_number

REQUEST_ID_HEADER, CLASS_HEADER, PLAN_HEADER, IDEMPOTENCY_KEY_HEADER = (
    b"x-request-id",
    b"x-priority-class",
    b"plan",
    b"idempotency-key",
)
TIMEOUT_HEADER, RETRIED_HEADER, QUOTA_HEADER, CONTENT_LENGTH_HEADER = (
    b"x-timeout",
    b"x-retried",
    b"quota-info",
    b"content-length",
)
SINGLE_VALUE_HEADERS = frozenset(
    {
        REQUEST_ID_HEADER,
        CLASS_HEADER,
        PLAN_HEADER,
        IDEMPOTENCY_KEY_HEADER,
        TIMEOUT_HEADER,
        RETRIED_HEADER,
        QUOTA_HEADER,
        CONTENT_LENGTH_HEADER,
        b"host",
        b"transfer-encoding",
    }
)
NEEDED = (b"host", REQUEST_ID_HEADER, CLASS_HEADER, PLAN_HEADER, TIMEOUT_HEADER, QUOTA_HEADER)
UNFORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {CONTENT_LENGTH_HEADER, b"expect", TIMEOUT_HEADER}
CUSTOMERS = 1 << 33
ROUNDING_MS = 1.0  # a time-out is told with some decimals

IDENTITY = re.compile(rb"[0-9a-f]{16}")
KEYS = re.compile(rb"[!-~]{1,128}")
WHERE = re.compile(rb"/(?:[!-~]*/)?([0-9A-Fa-f]{16})")
DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,32})?")
WHOLE = re.compile(rb"\d{1,6}")


class RequestError(Exception):
    """A request that is answered with this status and never reaches a backend."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status, self.reason = status, reason


class HttpRequest:
    """One request as it was read."""

    __slots__ = ("method", "target", "headers", "forwarded_headers", "body", "keep_alive", "received_at_ms")

    def __init__(self) -> None:
        self.method, self.target, self.body, self.keep_alive = b"", b"", b"", True
        self.received_at_ms = 0.0  # clock time of its last byte
        self.headers: dict[bytes, bytes] = {}
        self.forwarded_headers: list[bytes] = []

    def path(self) -> bytes:
        return self.target.partition(b"?")[0]

    def head(self) -> bytes:
        """The head as it goes on to a backend, but for the last lines."""
        length = b"Content-Length: %d\r\n" % len(self.body) if self.body or self.method != b"GET" else b""
        return b"%b %b HTTP/1.1\r\n%b%b" % (
            self.method,
            self.target,
            length,
            b"".join(self.forwarded_headers),
        )


def parse_request(message: HttpRequest, settings: io.Settings) -> io.RequestArrived:
    """The event of a request. The id is the host's to give."""
    headers = message.headers
    if message.method not in (b"GET", b"POST"):
        raise RequestError(405, "only GET and POST are served")
    found = WHERE.fullmatch(message.path())
    if found is None or int(found[1], 16) >= CUSTOMERS:
        raise RequestError(404, "the path names no customer")
    for name in NEEDED:
        if name not in headers:
            raise RequestError(400, f"missing: {name.decode()}")
    if not IDENTITY.fullmatch(headers[REQUEST_ID_HEADER]):
        raise RequestError(400, "x-request-id is not 16 hex digits")
    cls = settings.classes.get(headers[CLASS_HEADER].decode("latin-1"))
    plan = settings.plans.get(headers[PLAN_HEADER].decode("latin-1"))
    if cls is None or plan is None:
        raise RequestError(400, "no such class" if cls is None else "no such plan")
    _fits(message, cls)
    units, first, spread = _quota(headers[QUOTA_HEADER], settings)
    return io.RequestArrived(
        request="",
        customer=found[1].decode().lower(),
        plan=plan.name,
        kind=cls.name,
        deadline_ms=message.received_at_ms + _wait_ms(headers[TIMEOUT_HEADER], cls),
        units=units,
        first_gateway=first,
        spread=spread,
        is_retry=headers.get(RETRIED_HEADER) == b"1",
    )


def _fits(message: HttpRequest, cls: io.RequestClass) -> None:
    """The method follows from the class, and what may run again is told apart by its key."""
    safe = cls.idempotency is io.Idempotency.SAFE
    if message.method != (b"GET" if safe else b"POST"):
        raise RequestError(405, "another method than its class has")
    if safe and message.body:
        raise RequestError(400, "a body that its class has not")
    if cls.idempotency is io.Idempotency.KEYED and not KEYS.fullmatch(
        message.headers.get(IDEMPOTENCY_KEY_HEADER, b"")
    ):
        raise RequestError(400, "missing: idempotency-key")
    if message.headers.get(RETRIED_HEADER, b"1") not in (b"0", b"1"):
        raise RequestError(400, "x-retried is not 1")


def _wait_ms(text: bytes, cls: io.RequestClass) -> float:
    """No client waits longer than its class is given."""
    wait_ms = float(text) * 1000.0 if DECIMAL.fullmatch(text) else 0.0
    if not 0.0 < wait_ms <= cls.timeout_ms + ROUNDING_MS:
        raise RequestError(400, "x-timeout is not a number in range")
    return wait_ms


def _quota(text: bytes, settings: io.Settings) -> tuple[float, int, int]:
    """Units, and the customer's set: this gateway is in it, or the front would not have sent the request."""
    pairs = [pair.strip().partition(b"=")[::2] for pair in text.split(b",")]
    given = dict(pairs)
    if len(pairs) != 3 or given.keys() != {b"units", b"spread", b"first"}:
        raise RequestError(400, "quota-info is not units, spread and first")
    units = (
        parse_number(given[b"units"], 0.0, settings.max_units) if DECIMAL.fullmatch(given[b"units"]) else None
    )
    if not units:
        raise RequestError(400, "units out of range")
    if not (WHOLE.fullmatch(given[b"first"]) and WHOLE.fullmatch(given[b"spread"])):
        raise RequestError(400, "a set that is none")
    first, spread, gateways = int(given[b"first"]), int(given[b"spread"]), max(1, settings.gateways)
    if not (first < gateways and 0 < spread <= gateways and (settings.node_id - first) % gateways < spread):
        raise RequestError(400, "a set that is none of this gateway's")
    return units, first, spread
