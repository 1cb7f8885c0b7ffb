"""Validates requests: pure functions from a parsed HTTP request to the module's event, or an error.

A request that is refused here never reaches the module, so it affects neither a quota nor what is known of a
backend.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

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
REQUIRED_HEADERS = (b"host", REQUEST_ID_HEADER, CLASS_HEADER, PLAN_HEADER, TIMEOUT_HEADER, QUOTA_HEADER)
# Headers that the gateway reads itself; all others are only forwarded.
EXPECT_HEADER = b"expect"
KEPT_HEADERS = SINGLE_VALUE_HEADERS | {EXPECT_HEADER}
UNFORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {CONTENT_LENGTH_HEADER, EXPECT_HEADER, TIMEOUT_HEADER}
CUSTOMER_ID_LIMIT = 1 << 33  # exclusive
OBJECT_OVERHEAD_BYTES = 2048  # of a request as Python objects, beside its text
TIMEOUT_ROUNDING_MS = 1.0  # clients round X-Timeout to a few decimals

REQUEST_ID_PATTERN = re.compile(rb"[0-9a-f]{16}")
IDEMPOTENCY_KEY_PATTERN = re.compile(rb"[!-~]{1,128}")
CUSTOMER_PATH_PATTERN = re.compile(rb"/(?:[!-~]*/)?([0-9A-Fa-f]{16})")
DECIMAL_PATTERN = re.compile(rb"\d{1,9}(\.\d{1,32})?")
INTEGER_PATTERN = re.compile(rb"\d{1,6}")


@dataclass(frozen=True, slots=True)
class Refusal:
    """The answer to a request that never reaches a backend: its status, and the text of its body."""

    status: int
    reason: str


class RequestError(Exception):
    """A request that has to be refused.

    Only `refusal` is kept for later: an exception refers to the frames that it passed, and so to their input.
    """

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.refusal = Refusal(status, reason)


class HttpRequest:
    """One HTTP request as read from a client.

    `headers` holds those of KEPT_HEADERS, with names in lower case. What is forwarded is kept as one piece of
    text: an object for each header line or body chunk would take many times the memory of its bytes.
    `refusal`, where it is set, is the answer, and nothing else of the request is kept.
    """

    __slots__ = (
        "method",
        "target",
        "headers",
        "forwarded_headers",
        "body",
        "keep_alive",
        "received_at_ms",
        "refusal",
        "_kept_bytes",
    )

    def __init__(self) -> None:
        self.method, self.target, self.keep_alive = b"", b"", True
        self.refusal: Refusal | None = None
        self._kept_bytes = 0  # of the values in `headers`
        self.received_at_ms = 0.0  # host clock at its last byte
        self.headers: dict[bytes, bytes] = {}
        self.forwarded_headers = bytearray()  # header lines
        self.body = bytearray()

    def add_target(self, part: bytes) -> None:
        """Adds a part of the target."""
        if self.refusal is None:
            self.target += part

    def add_header(self, name: bytes, value: bytes) -> None:
        """Adds a header line; raises RequestError if the header may be given only once and was before."""
        if self.refusal is not None:
            return
        lower_name = name.lower()
        if lower_name in KEPT_HEADERS:
            if lower_name in self.headers and lower_name in SINGLE_VALUE_HEADERS:
                raise RequestError(400, "a header is given twice")
            self.headers[lower_name] = value
            self._kept_bytes += len(value)
        if lower_name not in UNFORWARDED_HEADERS:
            self.forwarded_headers += b"%b: %b\r\n" % (name, value)

    def add_body(self, part: bytes) -> None:
        """Adds a part of the body."""
        if self.refusal is None:
            self.body += part

    def held_bytes(self) -> int:
        """Returns about how much memory the request takes; nothing worth counting once it is refused."""
        if self.refusal is not None:
            return 0
        text_bytes = len(self.target) + self._kept_bytes + len(self.forwarded_headers) + len(self.body)
        return OBJECT_OVERHEAD_BYTES + text_bytes

    def refuse(self, refusal: Refusal) -> None:
        """Sets the answer and frees what the request holds."""
        self.refusal = refusal
        self.target, self.headers, self._kept_bytes = b"", {}, 0
        self.forwarded_headers = self.body = bytearray()

    def path(self) -> bytes:
        """Returns the target without its query."""
        return self.target.partition(b"?")[0]

    def head(self) -> bytes:
        """Returns the head as forwarded to a backend, without X-Timeout and the empty line at its end."""
        length = b"Content-Length: %d\r\n" % len(self.body) if self.body or self.method != b"GET" else b""
        return b"%b %b HTTP/1.1\r\n%b%b" % (self.method, self.target, length, self.forwarded_headers)


def parse_request(message: HttpRequest, settings: io.Settings) -> io.RequestArrived:
    """Returns the event of a request, with an empty id that the host fills in; raises RequestError."""
    headers = message.headers
    if message.method not in (b"GET", b"POST"):
        raise RequestError(405, "only GET and POST are served")
    match = CUSTOMER_PATH_PATTERN.fullmatch(message.path())
    if match is None or int(match[1], 16) >= CUSTOMER_ID_LIMIT:
        raise RequestError(404, "the path names no customer")
    for name in REQUIRED_HEADERS:
        if name not in headers:
            raise RequestError(400, f"missing: {name.decode()}")
    if not REQUEST_ID_PATTERN.fullmatch(headers[REQUEST_ID_HEADER]):
        raise RequestError(400, "x-request-id is not 16 hex digits")
    request_class = settings.classes.get(headers[CLASS_HEADER].decode("latin-1"))
    plan = settings.plans.get(headers[PLAN_HEADER].decode("latin-1"))
    if request_class is None or plan is None:
        raise RequestError(400, "no such class" if request_class is None else "no such plan")
    _check_class_rules(message, request_class)
    units, first, spread = _parse_quota(headers[QUOTA_HEADER], settings)
    return io.RequestArrived(
        request="",
        customer=match[1].decode().lower(),
        plan=plan.name,
        kind=request_class.name,
        deadline_ms=message.received_at_ms + _parse_timeout_ms(headers[TIMEOUT_HEADER], request_class),
        units=units,
        first_gateway=first,
        spread=spread,
        is_retry=headers.get(RETRIED_HEADER) == b"1",
    )


def _check_class_rules(message: HttpRequest, request_class: io.RequestClass) -> None:
    """Checks the method, body, key and retry mark against the request's class; raises RequestError."""
    safe = request_class.idempotency is io.Idempotency.SAFE
    if message.method != (b"GET" if safe else b"POST"):
        raise RequestError(405, "another method than its class has")
    if safe and message.body:
        raise RequestError(400, "a body that its class has not")
    if request_class.idempotency is io.Idempotency.KEYED and not IDEMPOTENCY_KEY_PATTERN.fullmatch(
        message.headers.get(IDEMPOTENCY_KEY_HEADER, b"")
    ):
        raise RequestError(400, "missing: idempotency-key")
    if message.headers.get(RETRIED_HEADER, b"1") not in (b"0", b"1"):
        raise RequestError(400, "x-retried is not 1")


def _parse_timeout_ms(text: bytes, request_class: io.RequestClass) -> float:
    """Parses X-Timeout, in seconds, which may not exceed the class's timeout; raises RequestError."""
    wait_ms = float(text) * 1000.0 if DECIMAL_PATTERN.fullmatch(text) else 0.0
    if not 0.0 < wait_ms <= request_class.timeout_ms + TIMEOUT_ROUNDING_MS:
        raise RequestError(400, "x-timeout is not a number in range")
    return wait_ms


def _parse_quota(text: bytes, settings: io.Settings) -> tuple[float, int, int]:
    """Parses Quota-Info into units and the first gateway and size of the customer's set; raises RequestError.

    This gateway has to be in the set, or the load balancer would not have sent the request.
    """
    pairs = [pair.strip().partition(b"=")[::2] for pair in text.split(b",")]
    given = dict(pairs)
    if len(pairs) != 3 or given.keys() != {b"units", b"spread", b"first"}:
        raise RequestError(400, "quota-info is not units, spread and first")
    units = (
        parse_number(given[b"units"], 0.0, settings.max_units)
        if DECIMAL_PATTERN.fullmatch(given[b"units"])
        else None
    )
    if not units:
        raise RequestError(400, "units out of range")
    if not (INTEGER_PATTERN.fullmatch(given[b"first"]) and INTEGER_PATTERN.fullmatch(given[b"spread"])):
        raise RequestError(400, "a set that is none")
    first, spread, gateways = int(given[b"first"]), int(given[b"spread"]), max(1, settings.gateways)
    if not (first < gateways and 0 < spread <= gateways and (settings.node_id - first) % gateways < spread):
        raise RequestError(400, "a set that is none of this gateway's")
    return units, first, spread
