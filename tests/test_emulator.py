"""Whole gateways in virtual time: the same bytes from the same seed, and rules that are seen to break."""

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
from elderhub.backends import Backends
from elderhub.clients import Client
from elderhub.host import Host
from emulator import Fault, Options
from emulator.checks import Checks, SentRequest

TROUBLED = Options(
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


def test_the_same_seed_gives_the_same_bytes_whatever_the_order_of_hash_tables():
    command = (
        "import json, emulator; from tests.test_emulator import TROUBLED; r = emulator.play(TROUBLED);"
        "print(json.dumps([r.digest, r.figures, r.broken, r.errors]))"
    )
    found = [
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
    assert found[0] == found[1]
    _, figures, broken, errors = json.loads(found[0])
    assert broken == {} and errors == []
    assert figures["served"] > 500 and figures["left"] > 10


def test_another_seed_gives_other_bytes():
    small = [emulator.play(Options(gateways=2, backends=2, seconds=1.0, seed=seed)) for seed in (1, 2)]
    assert small[0].digest != small[1].digest


def test_a_whole_gateway_serves_as_a_hollow_one_does():
    whole, hollow = (emulator.play(Options(hollow=number)) for number in (0, 4))
    assert whole.bytes > 1_000_000 and hollow.bytes == 0
    assert whole.figures["first_tries"] == hollow.figures["first_tries"]
    assert abs(whole.figures["served"] - hollow.figures["served"]) < 0.1 * hollow.figures["served"]


@pytest.mark.parametrize(
    "fault, rule, broken",
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
def test_a_gateway_that_breaks_a_rule_is_seen_to(monkeypatch, fault, rule, broken):
    monkeypatch.setattr("elderhub.__main__.READY_TIMEOUT_S", 60.0)
    for (owner, name), other in broken.items():
        monkeypatch.setattr(owner, name, other)
    # Requests of a client that has left go on only where an attempt fails.
    also = (Fault("reset", 0.0, 9.0, 0.5),) if fault.kind == "leavers" else ()
    found = emulator.play(Options(gateways=2, backends=4, seconds=6.0, faults=(fault, *also)))
    assert found.broken[rule] > 0
    assert any(rule == example[1] for example in found.examples)


class Seen(Checks):
    """A request whose attempts and answers a test tells."""

    def __init__(self, repeat=io.Idempotency.SAFE):
        super().__init__()
        self.one = SentRequest("a", SimpleNamespace(deadline_ms=1000.0), b"GET /\n", repeat, 0, 1, 0.0)
        self.record_request(self.one)

    def tried(self, at, send_closed_at=float("inf"), text=b"GET /\n", name="a", backend="b"):
        peer = SimpleNamespace(sent_at=at, send_closed_at=send_closed_at)
        found = self.record_attempt(at + 1.0, name, text, backend, 0, peer, 2000.0)
        return found and found[1]

    def got(self, at, status=200, body=b"made"):
        return self.record_response(at + 1.0, self.one, status, body, at)


def test_each_rule_is_kept_by_what_is_right():
    seen = Seen(io.Idempotency.UNSAFE)
    first = seen.tried(10.0)
    first.ran, first.ended_at = False, 20.0
    seen.tried(30.0)
    seen.one.bodies.append(b"made")
    assert seen.got(40.0) == "served" and not seen.broken
    seen.record_backend_change(0, "b", True, 100.0)
    safe = Seen()
    safe.record_backend_change(0, "b", True, 100.0)
    safe.tried(2149.0, send_closed_at=2160.0)
    safe.tried(2161.0, backend="c")  # the first was given up before
    assert not safe.broken


@pytest.mark.parametrize(
    "rule, events",
    [
        ("two attempts at once", lambda s: (s.tried(10.0), s.tried(20.0))),
        ("two attempts at once", lambda s: (s.tried(10.0, send_closed_at=21.0), s.tried(20.0))),
        (
            "an unsafe request sent again that may have run",
            lambda s: (s.tried(10.0, send_closed_at=15.0), s.tried(20.0)),
        ),
        ("refused what may have run", lambda s: (s.tried(10.0), s.got(20.0, 503))),
        ("a second final answer", lambda s: (s.got(20.0, 502), s.got(30.0, 502))),
        ("served with what no backend made for it", lambda s: (s.tried(10.0), s.got(20.0, 200, b"else"))),
        ("no final answer in time", lambda s: s.got(1501.0, 502)),
        ("sent on after its end", lambda s: (s.got(20.0, 502), s.tried(21.0))),
        ("begun after its client left", lambda s: (s.record_client_leave(10.0, 12.0, s.one), s.tried(113.0))),
        (
            "sent to a backend that had left",
            lambda s: (s.record_backend_change(0, "b", True, 100.0), s.tried(2151.0)),
        ),
        ("sent on what no client asked", lambda s: s.tried(10.0, name="x")),
        ("passed on changed", lambda s: s.tried(10.0, text=b"GET /?\n")),
    ],
)
def test_each_rule_breaks(rule, events):
    seen = Seen(io.Idempotency.UNSAFE)
    events(seen)
    assert seen.broken[rule] == 1


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
def test_options_that_cannot_be_played_are_told_by_name(make, name):
    with pytest.raises(ValueError, match=f"^{name}: "):
        make()
