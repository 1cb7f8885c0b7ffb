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

LIMIT_S = 120.0  # for a process: generous, as it only tells a hang


def checked(tmp_path, what, **environ):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(what))
    return path, CliRunner().invoke(main, ["check", str(path)], env={**os.environ, **environ})


def test_a_configuration_is_told_usable_if_it_is_with_the_variables_before_it(tmp_path):
    path, found = checked(tmp_path, raw_config())
    assert found.exit_code == 0 and found.stdout.startswith(f"{path}: usable: 3 classes, 2 plans, 1 backends")
    assert checked(tmp_path, raw_config(listen=None))[1].exit_code == 2
    assert checked(tmp_path, raw_config(listen=None), NODE_LISTEN="127.0.0.1:1")[1].exit_code == 0


@pytest.mark.parametrize(
    "what, field",
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
def test_what_is_wrong_is_told_by_file_and_field(tmp_path, what, field):
    path, found = checked(tmp_path, what)
    assert found.exit_code == 2 and found.stderr.startswith(f"rosehitch: {path}: {field}")
    assert found.stdout == "" and found.stderr.count("\n") == 1


class Served(World):
    """The gateway as the command starts it, from the option alone."""

    def command(self):
        line = ["serve", "--config", str(Path(self.dir.name) / "config.json")]
        return [
            "-c",
            f"import os; del os.environ['NODE_CONFIG']\nfrom rosehitch.__main__ import main\nmain({line!r})",
        ]


def test_serve_runs_a_gateway_until_it_is_told_to_end():
    async def scene():
        async with Served({"b1": Backend()}) as w:
            assert (await w.call(request())).status == 200
            assert await w.stop() == 0

    run(scene)


def test_the_gateway_imports_nothing_of_the_command_and_the_command_nothing_before_it_is_needed():
    for module, foreign in (
        ("elderhub.__main__", "click rich hdrh numpy scale rosehitch"),
        ("rosehitch.__main__", "rich hdrh numpy scale elderhub uvloop"),
    ):
        code = f"import sys, {module}; print(set({foreign!r}.split()) & set(sys.modules))"
        done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, timeout=LIMIT_S, capture_output=True)
        assert done.stdout == b"set()\n", module


def demo(tmp_path, *arguments, patch=""):
    """Its process, with a folder of its own for what it leaves behind."""
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


def test_a_short_demo_ends_with_its_last_line_and_leaves_nothing_behind(tmp_path):
    process = demo(tmp_path, "--seconds", "3")
    out, _ = process.communicate(timeout=LIMIT_S)
    assert process.returncode == 0, out
    assert re.fullmatch(r"(\d+) of \1 requests answered: .*; rules kept: 6 of 6", out.splitlines()[-1])
    assert not list(tmp_path.iterdir())


def test_a_broken_rule_is_told_and_ends_the_demo_with_another_code(tmp_path):
    """A gateway that makes up its answers."""
    patch = (
        "from elderhub import checks, clients\n"
        "def made_up(*_):\n    raise checks.RequestError(200, 'made up')\n"
        "checks.parse_request = clients.parse_request = made_up\n"
    )
    process = demo(tmp_path, "--seconds", "3", patch=patch)
    out, _ = process.communicate(timeout=LIMIT_S)
    assert process.returncode == 1
    assert "\nbroken: one final answer each, " in out and out.endswith("; rules kept: 5 of 6\n")


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupt_ends_all_that_the_demo_started(tmp_path, number):
    process = demo(tmp_path, "--seconds", "600")
    while "asked" not in (line := process.stdout.readline()):
        assert line, "it ended by itself"
    children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
    assert len(children) == 3
    process.send_signal(number)
    out, _ = process.communicate(timeout=LIMIT_S)
    assert process.returncode == 128 + number
    assert out.splitlines()[-1].startswith("interrupted; ") and out.endswith("; rules kept: 6 of 6\n")
    assert not list(tmp_path.iterdir())
    assert not any(Path(f"/proc/{child}").exists() for child in children)


EMULATE = ["emulate", "--gateways", "2", "--backends", "2", "--seconds", "1"]


def test_an_emulated_play_ends_with_0_only_if_all_rules_were_kept(tmp_path, monkeypatch):
    file = tmp_path / "record.json"
    found = CliRunner().invoke(main, [*EMULATE, "--fault", "leave,at_s=0.5,part=0.5", "--json", str(file)])
    assert found.exit_code == 0 and found.stdout.endswith("\nall rules kept\n")
    again = json.loads(file.read_text())["again"]
    assert "Fault(kind='leave', at_s=0.5, for_s=5.0, part=0.5, size=1.0)" in again
    play = command.play
    monkeypatch.setattr(
        command, "play", lambda options: dataclasses.replace(play(options), broken={"a rule": 2})
    )
    found = CliRunner().invoke(main, EMULATE)
    assert found.exit_code == 1 and "broken: a rule, 2 times" in found.stdout


@pytest.mark.parametrize(
    "fault, wrong",
    [
        ("storm", "kind: 'storm'"),
        ("kill,when=3", "'when' is none of at_s"),
        ("kill,at_s=x", "at_s: 'x'"),
        ("kill,part=2", "part: 2.0"),
    ],
)
def test_a_fault_that_cannot_be_played_is_told_by_name(fault, wrong):
    found = CliRunner().invoke(main, [*EMULATE, "--fault", fault])
    assert found.exit_code == 2 and wrong in found.stderr


def test_a_command_whose_packages_are_missing_says_which_extra_brings_them(monkeypatch):
    monkeypatch.setitem(sys.modules, "emulator.command", None)
    found = CliRunner().invoke(main, EMULATE)
    assert found.exit_code == 1 and "pip install '.[scale]'" in found.stderr
    assert CliRunner().invoke(main, ["--help"]).exit_code == 0
