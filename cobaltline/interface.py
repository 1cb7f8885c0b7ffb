"""Settings, events and actions: the interface between the decision module and its host.

The module (`cobaltline.gateway.Gateway`) does no I/O, in the manner of h11. The host creates it with
`Settings` and a seed, passes each event to `Gateway.handle` with the time at which it happened, and carries
out the returned actions in order.

Rules for a host:

* `now_ms` is supplied by the host and never decreases. Names of counter windows are derived from it, so the
  clocks of all gateways of a deployment agree within a few milliseconds, or `Settings.clocks_in_sync` is
  false.
* Each process has one `Gateway`; instances share no state.
* The first event is `BackendsChanged` with the last known list. Each `Send` is followed by exactly one
  `AttemptEnded`, each `CounterAdd` by one `CounterResult`, each `Probe` by one `ProbeResult`, and each
  `SetTimer` by one `TimerFired`.
* `Stopping` is passed once, before an orderly end of the process.
* A request ends with an `AttemptEnded` that has `final` set, with `Reject`, with `Fail`, or with
  `ClientDisconnected`.

Times and durations are in milliseconds. A field described as "clock time" is on the clock of `now_ms`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    SAFE = "safe"  # may always be repeated
    KEYED = "keyed"  # has an idempotency key, which backends honour within the key's scope and lifetime
    UNSAFE = "unsafe"  # must not be repeated once it may have been executed


class Outcome(Enum):
    """The result of an attempt, a probe or a counter call."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"  # refused, as the backend or the counter is at its limit
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # the connection was closed before the response was complete
    # The response is malformed or rejects the request itself; it says nothing about the backend's health.
    UNUSABLE_RESPONSE = "spoilt"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"  # the host dropped the attempt before sending it


# Outcomes of attempts that no backend executed.
NEVER_RAN = frozenset({Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


class ListKind(Enum):
    """What a `BackendsChanged` event contains."""

    DELTA = "changes"  # only the entries that changed
    COMPLETE = "whole"  # every backend; those not listed are gone
    CACHED = "remembered"  # every backend of the last known list, as stored before this start
    FAILED = "failed"  # nothing: the call to discovery failed


class BackendState(Enum):
    """The state of a backend as discovery reports it; only `UP` receives new attempts."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(slots=True)
class RequestClass:
    """The service level and the retry rules of a class of requests."""

    name: str = ""
    target_latency_ms: float = 1000.0  # a response within this time is on time
    timeout_ms: float = 4000.0  # clients abandon a request after this time
    idempotency: Idempotency = Idempotency.UNSAFE
    # Backends at which a KEYED request may be repeated: "all", or the "zone" or "cell" of its first attempt.
    key_scope: str = "cell"
    key_ttl_ms: float = 0.0  # backends remember an idempotency key for this long
    late_worth: float = 0.0  # part of `worth` that a late response keeps; not used by the module
    target_stretch: float = 0.0  # not used by the module
    worth: float = 1.0  # of a response on time, relative to other classes
    stream: bool = False  # responses are streamed


@dataclass(slots=True)
class Plan:
    """What a customer may use. A unit is the cost of an ordinary request."""

    name: str = ""
    rate: float = 0.0  # quota in units per second; 0 = no quota
    burst: float = 0.0  # capacity of the quota's token bucket, in units
    max_concurrency: int = 0  # concurrent attempts of a customer over all gateways; 0 = no limit
    ceiling_rate: float = 0.0  # hard limit in units per second; 0 = no ceiling
    ceiling_burst: float = 0.0  # capacity of the ceiling's token bucket, in units
    ceiling_tolerance: float = 0.0  # units by which the ceiling may be exceeded
    excess_worth: float = 0.0  # value of a request served beyond the quota, as a part of its worth
    overrun_cost: float = 0.0  # cost of a request sent beyond the quota, as a part of its worth
    price: float = 1.0  # factor on the worth of this plan's requests


@dataclass(slots=True)
class Settings:
    """The configuration of one gateway. Every field has a default; prices are in units of request worth."""

    node_id: int = 0  # index of this gateway, from 0
    gateways: int = 1  # number of gateways in the fleet
    zone: str = ""  # zone of this gateway
    tick_ms: float = 1.0  # resolution of timers
    clocks_in_sync: bool = True  # of all machines; if false, the gateways agree on a time over the counter
    clock_origin_ms: float | None = None  # `now_ms` at which the machine's monotonic clock was 0, if known
    classes: dict[str, RequestClass] = field(default_factory=dict)  # by name
    plans: dict[str, Plan] = field(default_factory=dict)  # by name
    must_poll: bool = False  # discovery sends no changes on its own; the list is requested
    poll_interval_ms: float = 10000.0
    counter: bool = False  # whether a counter service is available
    counter_timeout_ms: float = 50.0
    counter_price: float = 0.0  # of a counter call
    has_settled_units: bool = False  # a response states the units that its request really cost
    meter_ms: float = 0.0  # period of the backends' utilization meter; not used by the module
    max_units: float = 1.0  # the largest cost that a request may state
    peer_messages_in_per_s: float = 0.0  # messages per second that a gateway accepts from its peers
    may_cancel: bool = False
    may_probe: bool = False
    may_message_peers: bool = False
    may_duplicate: bool = False  # a second attempt may start while the first is still running (hedging)
    may_advise: bool = False  # clients are given `Reject.retry_after_ms`
    most_retry_after_ms: float = 0.0
    most_attempts: int = 1  # attempts per request, including the first
    most_out: float = math.inf  # concurrent attempts of this gateway, limited by its connections
    max_customers: int = 1 << 16  # known at a time; those used longest ago are forgotten beyond that
    connect_timeout_ms: float = 250.0
    answer_slack_ms: float = 0.0  # how long after its deadline a request may still be answered
    drain_grace_ms: float = 0.0  # a backend that is draining may still be sent requests for this long
    cold_from: float = 0.1  # share of its capacity that a backend has when it starts
    cold_ms: float = 0.0  # time from a backend's start until it has its full capacity
    fall_multiple: float = 1.0  # load, as a multiple of its capacity, under which a backend fails
    fall_ms: float = 1000.0  # how long a backend bears such a load before it fails
    cross_zone_price: float = 0.0  # of an attempt sent to another zone
    waste_price: float = 0.0  # of an attempt whose response is not used
    late_fail_price: float = 0.0  # of a late failure
    probe_price: float = 0.0  # of a probe
    load_report_fields: tuple[str, ...] = ()  # names of the values in a load report
    has_inline_load_reports: bool = False  # load reports come with responses, not only with probes
    weights: str = "off"  # accuracy of the listed weights: "off" (none), "nominal", "rough" or "live"


@dataclass(slots=True)
class Backend:
    """An entry of the list of backends."""

    id: str
    zone: str = ""
    kind: str = ""  # type of machine
    cell: int = 0
    state: BackendState = BackendState.UP
    weight: float = 1.0  # relative capacity
    started_ms: float = 0.0  # Unix time of the process's start, by the backend's clock; 0 = long ago


# Events: what the host passes to `Gateway.handle`.


@dataclass(slots=True)
class RequestArrived:
    """A client sent a request. It leads to `Send`, `Reject` or `Fail`, at once or later."""

    request: str  # unique among the requests in progress
    customer: str
    plan: str  # name of the customer's plan; an unknown one is rejected
    kind: str  # name of the request class
    deadline_ms: float  # clock time at which the client gives up
    units: float = 1.0  # cost
    first_gateway: int = 0  # index of the first gateway of the customer's set
    spread: int = 1  # number of gateways in the customer's set
    is_retry: bool = False  # the client marks it as a retry
    is_write: bool = False  # the client marks it as a write


@dataclass(slots=True)
class StreamStarted:
    """A streamed response has begun: from now on the request is neither hedged nor given up."""

    request: str
    attempt: int
    backend: str
    elapsed_ms: float = 0.0  # since the attempt was sent


@dataclass(slots=True)
class AttemptEnded:
    """An attempt is over. Follows each `Send` exactly once, also after a `Cancel`."""

    request: str
    attempt: int  # index among the request's attempts, from 0
    backend: str
    outcome: Outcome
    final: bool  # its response went to the client, so the request is over
    elapsed_ms: float = 0.0  # since the attempt was sent
    utilization_percent: int | None = None  # of the backend, as its meter shows it; None without a meter
    settled_units: float | None = None  # what the request really cost, if the response states it
    report: dict[str, float] | None = None  # inline load report, by field name


@dataclass(slots=True)
class ClientDisconnected:
    """The client is gone; the request gets no answer."""

    request: str


@dataclass(slots=True)
class CounterResult:
    """The result of a `CounterAdd`. Results for one name come in the order of their calls."""

    name: str
    outcome: Outcome
    total: float | None = 0.0  # after the addition; None = added, but the total could not be read
    elapsed_ms: float = 0.0  # since the call was sent


@dataclass(slots=True)
class BackendsChanged:
    """The list of backends, or a part of it, as discovery sent it."""

    kind: ListKind
    version: int = 0
    backends: tuple[Backend, ...] = ()
    outage_ms: float = 0.0  # for how long discovery had been silent before this list


@dataclass(slots=True)
class TimerFired:
    """The delay of a `SetTimer` is over."""

    token: str


@dataclass(slots=True)
class ProbeResult:
    """The result of a `Probe`."""

    backend: str
    outcome: Outcome
    elapsed_ms: float = 0.0  # since the probe was sent
    report: dict[str, float] | None = None  # load report, by field name


@dataclass(slots=True)
class Stopping:
    """The process is about to end: it completes the requests it has, and another process may replace it."""


@dataclass(slots=True)
class PeerMessage:
    """A message from another gateway. It may be late, duplicated, corrupt or lost."""

    sender: int  # `Settings.node_id` of the sender
    payload: bytes


# Actions: what `Gateway.handle` returns, to be carried out in order.


@dataclass(slots=True)
class Send:
    """Send the request to a backend; its attempts are numbered from 0 in the order of their `Send`.

    The host may need time before it can send, as for a new connection. If the last byte is not sent before
    `send_before_ms`, the attempt is dropped and ends with `NOT_SENT`.
    """

    request: str
    backend: str
    deadline_ms: float = 0.0  # clock time; 0 = the client's deadline
    send_before_ms: float = math.inf  # clock time


@dataclass(slots=True)
class Reject:
    """Answer the request as refused: it was not executed, or may be repeated safely."""

    request: str
    retry_after_ms: float = 0.0  # when the client may try again; 0 = not stated


@dataclass(slots=True)
class Fail:
    """Answer the request as failed: it may or may not have been executed."""

    request: str


@dataclass(slots=True)
class Cancel:
    """Abort an attempt that is in progress."""

    request: str
    attempt: int


@dataclass(slots=True)
class CounterAdd:
    """Add `amount` to a named number on the counter service; an amount of 0 reads it."""

    name: str
    amount: float
    ttl_ms: float  # lifetime of the number, from its creation


@dataclass(slots=True)
class SetTimer:
    """Pass a `TimerFired` with this token after the delay."""

    token: str
    delay_ms: float


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to another gateway, without confirmation of delivery."""

    payload: bytes
    to: int | None = None  # `Settings.node_id` of the receiver; None = every peer


@dataclass(slots=True)
class Probe:
    """Request a backend's health and load report."""

    backend: str


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a backend."""

    backend: str


@dataclass(slots=True)
class Subscribe:
    """Start (`on`) or stop receiving the list of backends from discovery."""

    on: bool = True


@dataclass(slots=True)
class Fetch:
    """Request the complete list of backends from discovery once."""


@dataclass(slots=True)
class Log:
    """Write a line to the host's log."""

    text: str
