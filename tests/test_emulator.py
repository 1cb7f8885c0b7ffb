"""The emulator: runs are reproducible from their seed, and its checks report every rule that breaks."""

import json
import os
import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest

import emulator
from cobaltline import interface as io
from elderhub import discovery
from elderhub.backends import Backends, Connection
from elderhub.clients import Client
from elderhub.host import Host
from emulator import Fault, Options
from emulator.checks import Checks, SentRequest
from emulator.world import World

MANY_FAULTS = Options(
    gateways=5,
    hollow=1,
    backends=6,
    seconds=8.0,
    leave=0.05,
    faults=(
        Fault("kill", 4.0, part=0.5),
        Fault("drain", 2.0, 1.0, 0.3),
        Fault("reset", 1.0, 5.0, 0.1),
        Fault("connect-late", 1.0, 6.0, 0.3, 1.0),
        Fault("leave", 3.0, part=0.3),
        Fault("watch-silent", 2.5, part=1.0),
        Fault("stand-still", 2.0, 3.0, 0.5, 0.3),
    ),
)


def test_a_seed_gives_the_same_bytes_whatever_the_hash_seed():
    command = (
        "import json, emulator; from tests.test_emulator import MANY_FAULTS; r = emulator.play(MANY_FAULTS);"
        "print(json.dumps([r.digest, r.figures, r.broken, r.errors]))"
    )
    outputs = [
        subprocess.run(
            [sys.executable, "-c", command],
            env={**os.environ, "PYTHONHASHSEED": seed},
            check=True,
            cwd=Path(__file__).parents[1],
            capture_output=True,
            text=True,
        ).stdout
        for seed in ("1", "2")
    ]
    assert outputs[0] == outputs[1]
    _, figures, broken, errors = json.loads(outputs[0])
    assert broken == {} and errors == []
    assert figures["served"] > 500 and figures["left"] > 10


def test_the_memory_that_is_counted_is_what_connections_and_requests_hold():
    # Guards against memory that is counted and never released, after which all requests would be refused.
    world, max_held_bytes = World(MANY_FAULTS), 0

    def check(_share):
        nonlocal max_held_bytes
        for gateway in world.whole_gateways:
            if gateway.host is None:
                continue
            host, held_bytes = gateway.host, gateway.host._memory.held_bytes
            connections = [x for x in host.backends.open_or_opening if isinstance(x, Connection)]
            holders = [*host.clients._open, *connections]
            expected_bytes = sum(holder._held_bytes for holder in holders)
            expected_bytes += sum(request.held_bytes for request in host._requests.values())
            assert held_bytes == expected_bytes
            max_held_bytes = max(max_held_bytes, held_bytes)

    world.play(check)
    assert max_held_bytes > 0


def test_different_seeds_give_different_bytes():
    records = [emulator.play(Options(gateways=2, backends=2, seconds=1.0, seed=seed)) for seed in (1, 2)]
    assert records[0].digest != records[1].digest


def test_whole_gateways_serve_about_as_many_requests_as_hollow_ones():
    whole, hollow = (emulator.play(Options(hollow=number)) for number in (0, 4))
    assert whole.bytes > 1_000_000 and hollow.bytes == 0
    assert whole.figures["first_tries"] == hollow.figures["first_tries"]
    assert abs(whole.figures["served"] - hollow.figures["served"]) < 0.1 * hollow.figures["served"]


@pytest.mark.parametrize(
    "fault, rule, patches",
    [
        (
            Fault("leave", 2.0, part=0.5),
            "sent to a backend that had left",
            {
                (discovery, "LIFECYCLE_STATES"): {
                    "Ready": io.BackendState.UP,
                    "Terminating": io.BackendState.UP,
                }
            },
        ),
        (
            Fault("leavers", 1.0, 4.0, 0.5),
            "begun after its client left",
            {
                (Host, "client_disconnected"): lambda self, client: None,
                (Client, "has_disconnected"): lambda self: False,
            },
        ),
        (
            Fault("drain", 1.0, 2.0, 1.0),
            "no final answer: its connection was ended",
            {
                (Host, "answer_open_requests"): lambda self: None,
                (Client, "respond"): lambda self, *answer: None,
            },
        ),
        (Fault("hang", 1.0, 9.0, 0.2), "not ready in time", {(Backends, "has_backend"): lambda self: False}),
    ],
)
def test_a_violation_by_a_gateway_is_reported(monkeypatch, fault, rule, patches):
    monkeypatch.setattr("elderhub.__main__.READY_TIMEOUT_S", 60.0)
    for (owner, name), replacement in patches.items():
        monkeypatch.setattr(owner, name, replacement)
    # A request whose client has left is sent again only if an attempt fails.
    further_faults = (Fault("reset", 0.0, 9.0, 0.5),) if fault.kind == "leavers" else ()
    record = emulator.play(Options(gateways=2, backends=4, seconds=6.0, faults=(fault, *further_faults)))
    assert record.broken[rule] > 0
    assert any(rule == example[1] for example in record.examples)


class ObservedRequest(Checks):
    """Checks with one request, whose attempts and answers a test reports."""

    def __init__(self, idempotency=io.Idempotency.SAFE):
        super().__init__()
        self.request = SentRequest(
            "a", SimpleNamespace(deadline_ms=1000.0), b"GET /\n", idempotency, 0, 1, 0.0
        )
        self.record_request(self.request)

    def attempt(self, at_ms, send_closed_at=float("inf"), content=b"GET /\n", name="a", backend="b"):
        peer = SimpleNamespace(sent_at=at_ms, send_closed_at=send_closed_at)
        recorded = self.record_attempt(at_ms + 1.0, name, content, backend, 0, peer, 2000.0)
        return recorded and recorded[1]

    def response(self, at_ms, status=200, body=b"made"):
        return self.record_response(at_ms + 1.0, self.request, status, body, at_ms)


def test_correct_behaviour_breaks_no_rule():
    checks = ObservedRequest(io.Idempotency.UNSAFE)
    first = checks.attempt(10.0)
    first.may_have_run, first.ended_at = False, 20.0
    checks.attempt(30.0)
    checks.request.response_bodies.append(b"made")
    assert checks.response(40.0) == "served" and not checks.broken
    checks.record_backend_change(0, "b", True, 100.0)
    safe_checks = ObservedRequest()
    safe_checks.record_backend_change(0, "b", True, 100.0)
    safe_checks.attempt(2149.0, send_closed_at=2160.0)
    safe_checks.attempt(2161.0, backend="c")  # the gateway had closed the first before
    assert not safe_checks.broken


@pytest.mark.parametrize(
    "rule, events",
    [
        ("two attempts at once", lambda checks: (checks.attempt(10.0), checks.attempt(20.0))),
        (
            "two attempts at once",
            lambda checks: (checks.attempt(10.0, send_closed_at=21.0), checks.attempt(20.0)),
        ),
        (
            "an unsafe request sent again that may have run",
            lambda checks: (checks.attempt(10.0, send_closed_at=15.0), checks.attempt(20.0)),
        ),
        ("refused what may have run", lambda checks: (checks.attempt(10.0), checks.response(20.0, 503))),
        ("a second final answer", lambda checks: (checks.response(20.0, 502), checks.response(30.0, 502))),
        (
            "served with what no backend made for it",
            lambda checks: (checks.attempt(10.0), checks.response(20.0, 200, b"else")),
        ),
        ("no final answer in time", lambda checks: checks.response(1501.0, 502)),
        ("sent on after its end", lambda checks: (checks.response(20.0, 502), checks.attempt(21.0))),
        (
            "begun after its client left",
            lambda checks: (checks.record_client_leave(10.0, 12.0, checks.request), checks.attempt(113.0)),
        ),
        (
            "sent to a backend that had left",
            lambda checks: (checks.record_backend_change(0, "b", True, 100.0), checks.attempt(2151.0)),
        ),
        ("sent on what no client asked", lambda checks: checks.attempt(10.0, name="x")),
        ("passed on changed", lambda checks: checks.attempt(10.0, content=b"GET /?\n")),
    ],
)
def test_each_violation_is_counted_once(rule, events):
    checks = ObservedRequest(io.Idempotency.UNSAFE)
    events(checks)
    assert checks.broken[rule] == 1


@pytest.mark.parametrize(
    "make, name",
    [
        (lambda: Options(gateways=0), "gateways"),
        (lambda: Options(sockets=63), "sockets"),
        (lambda: Options(seconds=0.0), "seconds"),
        (lambda: Options(hollow=9), "hollow"),
        (lambda: Options(spread=(3, 2)), "spread"),
        (lambda: Fault("storm"), "kind"),
        (lambda: Fault("kill", part=1.5), "part"),
        (lambda: Fault("kill", at_s=-1.0), "at_s"),
    ],
)
def test_invalid_options_are_reported_by_name(make, name):
    with pytest.raises(ValueError, match=f"^{name}: "):
        make()
