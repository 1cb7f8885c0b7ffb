"""The validation of requests."""

import pytest
from world import CUSTOMER

from cobaltline import interface as io
from elderhub import checks

SETTINGS = io.Settings(
    node_id=1,
    gateways=4,
    max_units=2.0,
    plans={"p": io.Plan("p")},
    classes={
        "read": io.RequestClass("read", timeout_ms=7000.0, idempotency=io.Idempotency.SAFE),
        "hold": io.RequestClass("hold", timeout_ms=7000.0, idempotency=io.Idempotency.KEYED),
    },
)


TARGET = f"/api/{CUSTOMER}?q=1".encode()


def message(method=b"GET", target=TARGET, body=b"", **headers):
    out = checks.HttpRequest()
    out.method, out.target, out.body, out.received_at_ms = method, target, body, 5000.0
    fields = {
        "host": b"h",
        "x-request-id": b"9b1f03aa5c7e2d41",
        "x-priority-class": b"read",
        "plan": b"p",
        "x-timeout": b"0.480",
        "quota-info": b"units=2,spread=3,first=1",
    }
    fields.update({name.replace("_", "-"): value for name, value in headers.items()})
    out.headers = {name.encode(): value for name, value in fields.items() if value is not None}
    return out


def test_a_deadline_counts_from_the_arrival_of_the_request():
    assert checks.parse_request(message(x_retried=b"1"), SETTINGS) == io.RequestArrived(
        "", CUSTOMER, "p", "read", 5480.0, 2.0, 1, 3, is_retry=True
    )


@pytest.mark.parametrize(
    "changes",
    [
        dict(target=f"/{CUSTOMER.upper()}".encode()),
        dict(x_timeout=b"7"),
        dict(x_timeout=b"0.001"),
        dict(x_timeout=b"0.48000000000000004"),  # a float as programs print it
        dict(quota_info=b"units=1.30000000000000004,spread=3,first=1"),
        dict(quota_info=b"first=3, spread=3, units=0.5"),
        dict(quota_info=b"units=1,spread=4,first=2"),
        dict(method=b"POST", x_priority_class=b"hold", idempotency_key=b"k", body=b"two nights"),
    ],
)
def test_valid_requests_are_accepted(changes):
    assert checks.parse_request(message(**changes), SETTINGS).customer == CUSTOMER


INVALID = [
    (dict(method=b"HEAD"), 405),
    (dict(method=b"POST"), 405),
    (dict(x_priority_class=b"hold", idempotency_key=b"k"), 405),
    (dict(method=b"POST", x_priority_class=b"hold"), 400),
    (dict(body=b"x"), 400),
    (dict(method=b"POST", x_priority_class=b"hold", idempotency_key=b"two words"), 400),
    (dict(target=b"/api/somebody"), 404),
    (dict(target=b"/api/" + b"f" * 16), 404),
    (dict(target=b"/api/0_000000b4d65521"), 404),
    (dict(target=CUSTOMER.encode()), 404),
    (dict(target=b"/api/"), 404),
    (dict(target=f"/api/{CUSTOMER}/x".encode()), 404),
    *[
        ({name: None}, 400)
        for name in ("host", "x_request_id", "x_priority_class", "plan", "x_timeout", "quota_info")
    ],
    *[(dict(x_request_id=x), 400) for x in (b"", b"r1", b"G" * 16, b"a" * 17, b"A" * 16)],
    (dict(x_priority_class=b"reads"), 400),
    (dict(x_priority_class=b"\xff"), 400),
    (dict(plan=b"q"), 400),
    (dict(plan=b""), 400),
    (dict(x_retried=b"yes"), 400),
    *[
        (dict(x_timeout=x), 400)
        for x in (b"soon", b"", b"nan", b"inf", b"-1", b"0", b"1_0", b"1e1", b"7.1", b"1" + b"0" * 22, b" 1")
    ],
    *[
        (dict(quota_info=b"units=%b,spread=3,first=1" % x), 400)
        for x in (b"", b"x", b"nan", b"inf", b"-1", b"0", b"2.1", b"1_0", b"1e0", b"9" * 400)
    ],
    *[
        (dict(quota_info=b"units=1,spread=%b,first=1" % x), 400)
        for x in (b"", b"0", b"5", b"-1", b"2.0", b"x", b"9" * 400)
    ],
    *[(dict(quota_info=b"units=1,spread=2,first=%b" % x), 400) for x in (b"", b"4", b"-1", b"1.0", b"2")],
    *[
        (dict(quota_info=x), 400)
        for x in (
            b"",
            b"units=1",
            b"units=1,spread=2",
            b"units=1,units=1,spread=2,first=1",
            b"units=1,spread=2,first=1,more=1",
        )
    ],
]


@pytest.mark.parametrize("changes,status", INVALID)
def test_invalid_requests_are_rejected(changes, status):
    with pytest.raises(checks.RequestError) as error:
        checks.parse_request(message(**changes), SETTINGS)
    assert error.value.refusal.status == status
