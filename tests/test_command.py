"""The command `rosehitch`."""

import dataclasses
import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from test_config import raw_config
from world import ROOT, Backend, World, request, run, settings

from emulator import command
from rosehitch.__main__ import main

TIMEOUT_S = 120.0  # long enough for a busy machine: it only detects a process that hangs


def run_check(tmp_path, configuration, **environ):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration))
    return path, CliRunner().invoke(main, ["check", str(path)], env={**os.environ, **environ})


def test_check_accepts_a_configuration_that_is_valid_with_the_environment(tmp_path):
    path, result = run_check(tmp_path, raw_config())
    assert result.exit_code == 0 and result.stdout.startswith(
        f"{path}: usable: 3 classes, 2 plans, 1 backends"
    )
    assert run_check(tmp_path, raw_config(listen=None))[1].exit_code == 2
    assert run_check(tmp_path, raw_config(listen=None), NODE_LISTEN="127.0.0.1:1")[1].exit_code == 0


@pytest.mark.parametrize(
    "configuration, field",
    [
        (raw_config(listen="7070"), "listen: "),
        (raw_config(limits={"sockets": 8}), "limits.sockets: "),
        (raw_config(known={"instances": 3}), "known.instances: "),
        (raw_config(peers=["127.0.0.1:1", "x"]), "peers[1]: "),
        (raw_config(settings=settings(plans=[{"name": "a", "depth": "6"}])), "settings.plans[0].depth: "),
        (
            raw_config(settings=settings(classes=[{"name": "a", "promiseMs": []}])),
            "settings.classes[0].promiseMs: ",
        ),
    ],
)
def test_check_reports_the_file_and_the_invalid_field(tmp_path, configuration, field):
    path, result = run_check(tmp_path, configuration)
    assert result.exit_code == 2 and result.stderr.startswith(f"rosehitch: {path}: {field}")
    assert result.stdout == "" and result.stderr.count("\n") == 1


class ServedWorld(World):
    """A gateway started by `rosehitch serve --config`, without NODE_CONFIG."""

    def command(self):
        arguments = ["serve", "--config", str(Path(self.dir.name) / "config.json")]
        return [
            "-c",
            "import os; del os.environ['NODE_CONFIG']\n"
            f"from rosehitch.__main__ import main\nmain({arguments!r})",
        ]


def test_serve_runs_a_gateway_until_sigterm():
    async def scene():
        async with ServedWorld({"b1": Backend()}) as world:
            assert (await world.call(request())).status == 200
            assert await world.stop() == 0

    run(scene)


def test_the_gateway_imports_nothing_of_the_command_and_the_command_imports_on_demand():
    for module, forbidden in (
        ("elderhub.__main__", "click rich hdrh numpy scale rosehitch"),
        ("rosehitch.__main__", "rich hdrh numpy scale elderhub uvloop"),
    ):
        code = f"import sys, {module}; print(set({forbidden!r}.split()) & set(sys.modules))"
        completed = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, timeout=TIMEOUT_S, capture_output=True
        )
        assert completed.stdout == b"set()\n", module


def start_demo(tmp_path, *arguments, patch=""):
    """Start a demo whose temporary files are in `tmp_path`; `patch` is run in its gateways."""
    code = (
        "import functools, sys\nfrom rosehitch import demo\nfrom rosehitch.__main__ import main\n"
        f"demo.Program = functools.partial(demo.Program, patch={patch!r})\n"
        f"main({['demo', *arguments]!r})"
    )
    return subprocess.Popen(
        [sys.executable, "-c", code],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        env=dict(os.environ, TMPDIR=str(tmp_path), PYTHONUNBUFFERED="1"),
    )


def test_a_short_demo_ends_with_its_summary_and_leaves_no_files(tmp_path):
    process = start_demo(tmp_path, "--seconds", "3")
    out, _ = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 0, out
    assert re.fullmatch(r"(\d+) of \1 requests answered: .*; rules kept: 6 of 6", out.splitlines()[-1])
    assert not list(tmp_path.iterdir())


def test_a_demo_reports_a_broken_rule_and_exits_with_1(tmp_path):
    """The gateways answer requests themselves, without a backend."""
    patch = (
        "from elderhub import checks, clients\n"
        "def made_up(*_):\n    raise checks.RequestError(200, 'made up')\n"
        "checks.parse_request = clients.parse_request = made_up\n"
    )
    process = start_demo(tmp_path, "--seconds", "3", patch=patch)
    out, _ = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 1
    assert "\nbroken: one final answer each, " in out and out.endswith("; rules kept: 5 of 6\n")


@pytest.mark.parametrize("signal_number", [signal.SIGINT, signal.SIGTERM])
def test_a_signal_stops_everything_that_the_demo_started(tmp_path, signal_number):
    process = start_demo(tmp_path, "--seconds", "600")
    while "asked" not in (line := process.stdout.readline()):
        assert line, "the demo ended by itself"
    children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
    assert len(children) == 3
    process.send_signal(signal_number)
    out, _ = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 128 + signal_number
    assert out.splitlines()[-1].startswith("interrupted; ") and out.endswith("; rules kept: 6 of 6\n")
    assert not list(tmp_path.iterdir())
    assert not any(Path(f"/proc/{child}").exists() for child in children)


EMULATE = ["emulate", "--gateways", "2", "--backends", "2", "--seconds", "1"]


def test_emulate_exits_with_0_only_if_all_rules_were_kept(tmp_path, monkeypatch):
    file = tmp_path / "record.json"
    result = CliRunner().invoke(main, [*EMULATE, "--fault", "leave,at_s=0.5,part=0.5", "--json", str(file)])
    assert result.exit_code == 0 and result.stdout.endswith("\nall rules kept\n")
    again = json.loads(file.read_text())["again"]
    assert "Fault(kind='leave', at_s=0.5, for_s=5.0, part=0.5, size=1.0)" in again
    play = command.play
    monkeypatch.setattr(
        command, "play", lambda options: dataclasses.replace(play(options), broken={"a rule": 2})
    )
    result = CliRunner().invoke(main, EMULATE)
    assert result.exit_code == 1 and "broken: a rule, 2 times" in result.stdout


@pytest.mark.parametrize(
    "fault, message",
    [
        ("storm", "kind: 'storm'"),
        ("kill,when=3", "'when' is none of at_s"),
        ("kill,at_s=x", "at_s: 'x'"),
        ("kill,part=2", "part: 2.0"),
    ],
)
def test_an_invalid_fault_is_reported_by_name(fault, message):
    result = CliRunner().invoke(main, [*EMULATE, "--fault", fault])
    assert result.exit_code == 2 and message in result.stderr


def test_a_command_with_missing_packages_names_the_extra_to_install(monkeypatch):
    monkeypatch.setitem(sys.modules, "emulator.command", None)
    result = CliRunner().invoke(main, EMULATE)
    assert result.exit_code == 1 and "pip install '.[scale]'" in result.stderr
    assert CliRunner().invoke(main, ["--help"]).exit_code == 0
