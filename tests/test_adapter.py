"""The adapter parses the simulator's line protocol and encodes actions for it."""

import io as sio
import json
import subprocess
import sys
from pathlib import Path

import pytest

from cobaltline import adapter
from cobaltline import interface as io

ROOT = Path(__file__).parent.parent
SETTINGS = {
    "azs": ["z1"],
    "zone": "z1",
    "instances": 2,
    "me": 1,
    "resolutionMs": 4.0,
    "discovery": "push",
    "classes": [
        {"name": "read", "idempotency": "safe", "promiseMs": 900.0, "giveUpMs": 3000.0},
        {"name": "odd", "idempotency": "sometimes"},
    ],
    "plans": [{"name": "p", "unitsPerS": 2.0, "depth": 6.0, "concurrency": 3}],
    "familyInfo": {"counter": True, "countWaitMs": 40.0},
    "policyLimits": {"tryLimit": 3},
    "report": {"columns": ["busy_reqs"], "source": "inline"},
    "never-heard-of": {"a": 1},
}
START_BATCH = (
    "FRAME 1000.5 1\n"
    f"SPAWN gateway-1 42 {json.dumps(SETTINGS)}\n"
    "ROSTER_CHANGE gateway-1 Persisted 7 2\n"
    "ITEM 10.0.0.1:80 z1 box 0 up 1 -\n"
    "ITEM 10.0.0.2:80 z1 box 0 draining 1.5 900.0\n"
    "COMMIT\n"
)
REQUEST_BATCH = "FRAME 1004.5 2\nREQUEST gateway-1 rq_a 0 1 0 read 4004.5 2 p c-one\nCOMMIT\n"


def run_host(text):
    """Runs the adapter in this process; returns its output."""
    output = sio.StringIO()
    host = adapter.Host(sio.StringIO(text), output)
    host.run()
    return output.getvalue()


def run_adapter(text, cwd=ROOT, command=None):
    """Runs the adapter as a process of its own; returns the completed process."""
    command = command or [sys.executable, "-m", "cobaltline.adapter"]
    return subprocess.run(command, input=text.encode(), capture_output=True, cwd=cwd, timeout=60)


def test_settings_are_parsed_and_unknown_keys_ignored():
    parsed = adapter.parse_settings(SETTINGS)
    assert (
        parsed.node_id == 1
        and parsed.gateways == 2
        and parsed.counter
        and parsed.counter_timeout_ms == 40.0
        and parsed.most_attempts == 3
    )
    assert (
        parsed.classes["read"].idempotency is io.Idempotency.SAFE
        and parsed.classes["read"].target_latency_ms == 900.0
    )
    assert parsed.classes["odd"].idempotency is io.Idempotency.UNSAFE
    assert (
        parsed.plans["p"].rate == 2.0
        and parsed.plans["p"].burst == 6.0
        and parsed.plans["p"].max_concurrency == 3
    )
    assert parsed.load_report_fields == ("busy_reqs",) and parsed.has_inline_load_reports


def test_every_setting_is_optional():
    output = run_host("FRAME 1 1\nSPAWN gateway-0 1 {}\nROSTER_CHANGE gateway-0 Persisted 0 0\nCOMMIT\n")
    assert output.endswith("END 1\n") and "BAIL_OUT" not in output


def test_a_request_borrows_tokens_and_is_forwarded():
    output = run_host(START_BATCH + REQUEST_BATCH)
    assert output.count("ADD gateway-1 ") == 1
    calls = [line.split() for line in output.splitlines() if line.startswith("ADD")]
    results = "".join(f"SUM gateway-1 {call[4]} 0 {call[3]} 2.5\n" for call in calls)
    output = run_host(START_BATCH + REQUEST_BATCH + f"FRAME 1008.5 3\n{results}COMMIT\n")
    forwarded = [line for line in output.splitlines() if line.startswith("FORWARD")]
    assert forwarded == ["FORWARD gateway-1 rq_a 4004.500 10.0.0.1:80"]
    output = run_host(
        START_BATCH + REQUEST_BATCH + f"FRAME 1008.5 3\n{results}COMMIT\nFRAME 1050.5 4\n"
        "DONE gateway-1 rq_a 0 0 1 42.0 - - 10.0.0.1:80 busy_reqs:3\nCOMMIT\n"
    )
    assert "BAIL_OUT" not in output and output.endswith("END 4\n")


EVENTS = [
    (
        "DONE",
        "gateway-1 rq_a 13 2 0 18.5 86 3 b:1 busy_reqs:7,cpu_share:0.5",
        io.AttemptEnded(
            "rq_a", 2, "b:1", io.Outcome.ERROR, False, 18.5, 85, 3.0, {"busy_reqs": 7.0, "cpu_share": 0.5}
        ),
    ),
    ("SUM", "gateway-1 n 4 - 50", io.CounterResult("n", io.Outcome.TIMEOUT, 0.0, 50.0)),
    ("ALARM", "gateway-1 sweep", io.TimerFired("sweep")),
    ("CLIENT_LEFT", "gateway-1 rq_a", io.ClientDisconnected("rq_a")),
    ("FIRST", "gateway-1 rq_a 5.5 b:1 1", io.StreamStarted("rq_a", 1, "b:1", 5.5)),
    ("STATUS_BACK", "gateway-1 b:1 0 3 -", io.ProbeResult("b:1", io.Outcome.OK, 3.0, None)),
    ("NEIGHBOUR_SAYS", "gateway-1 2 aGkgNw==", io.PeerMessage(2, b"hi 7")),
    (
        "REQUEST",
        "gateway-1 rq_a 1 2 6 read 99.5 3 p c",
        io.RequestArrived("rq_a", "c", "p", "read", 99.5, 2.0, 1, 3, True, True),
    ),
]


@pytest.mark.parametrize("name,text,event", EVENTS, ids=[case[0] for case in EVENTS])
def test_events_are_decoded(name, text, event):
    count, parse = adapter.EVENTS[name]
    fields = text.split(" ")
    assert len(fields) == count and parse(fields) == event


ACTIONS = [
    (io.Send("r", "b:1", 90.25), "FORWARD w r 90.250 b:1"),
    (io.Reject("r", 12.0), "BUSY w r 12.000"),
    (io.Fail("r"), "FINISH_ERROR w r"),
    (io.Cancel("r", 2), "UNDO_SEND w r 2"),
    (io.CounterAdd("n", -1.5, 3000.0), "ADD w 3000.000 -1.5 n"),
    (io.SetTimer("t", 5.0), "WAKE_AT w 5.000 t"),
    (io.SendPeerMessage(b"hi 7"), "NOTIFY w all aGkgNw=="),
    (io.SendPeerMessage(b"", 3), "NOTIFY w 3 -"),
    (io.Probe("b:1"), "ASK_LOAD w b:1"),
    (io.CloseIdle("b:1"), "CLOSE w b:1"),
    (io.Subscribe(False), "OBSERVE w 0"),
    (io.Fetch(), "PULL w"),
    (io.Log("a\nb"), "LOG w a b"),
]


@pytest.mark.parametrize(
    "action,line", ACTIONS, ids=[type(case).__name__ + line[-3:] for case, line in ACTIONS]
)
def test_actions_are_encoded(action, line):
    assert adapter.encode("w", action) == line


def test_unknown_events_are_ignored():
    output = run_host(START_BATCH + "FRAME 1004.5 2\nSOMETHING_NEW gateway-1 1 2 3\nCOMMIT\n")
    assert output.endswith("END 2\n") and "BAIL_OUT" not in output


@pytest.mark.parametrize(
    "lines,line",
    [
        ("hello\n", 7),
        ("FRAME x 2\n", 7),
        ("FRAME 1004.5 2\nREQUEST gateway-1 rq_a\nCOMMIT\n", 8),
        ("FRAME 1004.5 2\nDONE gateway-1 rq_a 77 0 1 1 - - b -\nCOMMIT\n", 8),
        ("FRAME 1004.5 2\nALARM gateway-9 t\nCOMMIT\n", 8),
        ("FRAME 1004.5 2\nROSTER_CHANGE gateway-1 Partial 8 1\nCOMMIT\n", 9),
        ("FRAME 1004.5 2\nSPAWN gateway-2 1 {nonsense\nCOMMIT\n", 8),
        ("FRAME 1004.5 2\nALARM gateway-1", 8),
        ("FRAME 1004.5 2\n", 8),
    ],
)
def test_a_malformed_line_ends_the_adapter_with_a_one_line_error(lines, line):
    process = run_adapter(START_BATCH + lines)
    assert process.returncode != 0
    message = process.stderr.decode()
    assert message.count("\n") == 1 and "Traceback" not in message
    assert f"line {line}:" in message or lines.endswith("2\n")


def test_the_end_of_the_input_ends_the_adapter_with_exit_status_0():
    process = run_adapter(START_BATCH)
    assert process.returncode == 0 and not process.stderr


def test_an_exception_of_the_module_is_reported_to_the_simulator(monkeypatch):
    monkeypatch.setattr(adapter.Gateway, "handle", lambda *_: 1 // 0)
    assert "BAIL_OUT gateway-1 ZeroDivisionError" in run_host(START_BATCH)


def test_exit_removes_the_gateway():
    with pytest.raises(adapter.MalformedInput):
        run_host(START_BATCH + "FRAME 1004.5 2\nEXIT gateway-1\nALARM gateway-1 t\nCOMMIT\n")


def test_the_same_events_give_the_same_actions():
    assert run_host(START_BATCH + REQUEST_BATCH) == run_host(START_BATCH + REQUEST_BATCH)
