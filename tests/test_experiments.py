"""Experiments: files that are refused, records that repeat, interrupts, and comparisons."""

import json
import os
import signal
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner

from experiments import noise, plan, results
from rosehitch.__main__ import main

ROOT = Path(__file__).parents[1]
TINY = """
name = "tiny <day>"
question = "Is it quick?"
seeds = [1, 2]
fleet = { gateways = 3, backends = 4, spread = [1, 3] }
load = { seconds = 2 }
faults.restart = { at = 0.5, length = 0.5 }
[sweep]
"load.load" = [0.3, 0.6]
[compare]
figures = ["served_worth_share", "served_worth_share_by_plan"]
without_faults = true
"""


def run(*line: object) -> object:
    return CliRunner().invoke(main, [str(part) for part in line])


def kept(folder: Path, text: str, processes: int = 2) -> Path:
    """The results of an experiment of that text."""
    file = folder.with_suffix(".toml")
    file.write_text(text)
    found = run("experiment", file, "--out", folder, "--processes", processes)
    assert found.exit_code == 0, found.output
    return folder


@pytest.mark.parametrize(
    "old, new, told",
    [
        ("gateways = 3", "gatways = 3", ["fleet.gatways", "gateways, regions"]),
        ("gateways = 3", "gateways = 0", ["fleet.gateways", "1<=x<=4000"]),
        ("gateways = 3", "gateways = 3.5", ["fleet.gateways", "whole number"]),
        ("faults.restart", "faults.flood", ["faults.flood", "counter-gone", "zone"]),
        ("length = 0.5", "length = 5", ["faults.restart", "load.seconds (2)"]),
        ("at = 0.5, ", "", ["faults.restart.at", "missing"]),
        ('"load.load"', '"load.heat"', ["sweep.load.heat", "rate", "warm_up"]),
        ("[0.3, 0.6]", "[0.3, 0.3]", ["sweep.load.load", "twice"]),
        ("[0.3, 0.6]", str([n / 1000 for n in range(1, 1001)]), ["sweep", "4,000 runs", "2,000"]),
        ("[sweep]", "[sweep]\nsize = [{ load.load = 0.5 }]", ["sweep.load.load", "another axis"]),
        ("{ at = 0.5, length = 0.5 }", "{}", ["faults.restart", "empty"]),
        ("seconds = 2", "rate = inf", ["load.rate", "inf is no number"]),
        ("seconds = 2", "rate = 1" + 400 * "0", ["load.rate", "too large"]),
        ("[1, 3]", '"1-3"', ["fleet.spread", "'1-3' is no number, or two"]),
        ("seeds = [1, 2]", "seeds = [1, -2]", ["seeds", "-2"]),
        (
            '"served_worth_share",',
            '"served",  "speed",',
            ["compare.figures", "'speed'", "served_worth_share"],
        ),
        ("name =", "title =", ["title", "name, question, seeds"]),
        ("[compare]", "[compare", ["no TOML"]),
    ],
)
def test_a_file_that_cannot_be_used_is_told_by_file_and_key_and_nothing_is_run(tmp_path, old, new, told):
    file, out = tmp_path / "bad.toml", tmp_path / "out"
    file.write_text(TINY.replace(old, new, 1))
    found = run("experiment", file, "--out", out)
    assert found.exit_code == 2 and str(file) in found.stderr and not out.exists()
    assert all(part in found.stderr for part in told), found.stderr
    checked = run("check", file)
    assert checked.exit_code == 2 and checked.stderr.split(": ", 1)[1] == found.stderr.split(": ", 1)[1]


def test_the_same_file_gives_the_same_results_whatever_the_processes(tmp_path):
    one, two = kept(tmp_path / "one", TINY, processes=1), kept(tmp_path / "two", TINY, processes=2)
    for name in (results.RECORDS_FILE, results.STATE_FILE, results.PAGE_FILE, results.EXPERIMENT_FILE):
        assert (one / name).read_bytes() == (two / name).read_bytes()
    found = results.read(one)
    assert [results.record_key(record) for record in found.records] == [
        (point, faulted, seed)
        for point in ("load=0.3", "load=0.6")
        for seed in (1, 2)
        for faulted in (True, False)
    ]
    for record in found.records:
        plans = record["figures"]["served_worth_share_by_plan"]
        assert set(plans) <= {"basico", "estandar", "ampliado"} and max(plans.values()) <= 1.0
        assert sum(record["seconds"]["tries"]) == record["figures"]["tries"]
        assert (record["figures"]["lost"] > 0) <= record["faulted"]  # without faults nothing is lost
    page = (one / results.PAGE_FILE).read_text()
    assert "tiny &lt;day&gt;" in page and "<script" not in page and "://" not in page


def test_a_setting_of_the_module_reaches_it(tmp_path):
    text = TINY.replace('"load.load" = [0.3, 0.6]', '"module.most_out" = [1, 1000]')
    served = {"most_out=1": 0, "most_out=1000": 0}
    for record in results.read(kept(tmp_path / "out", text)).records:
        served[record["point"]] += record["figures"]["served"]
    assert 0 < served["most_out=1"] < served["most_out=1000"]


def test_an_interrupt_keeps_what_has_ended_and_leaves_a_partial_result_that_can_be_read(tmp_path):
    file, out = tmp_path / "long.toml", tmp_path / "out"
    file.write_text(TINY.replace("seeds = [1, 2]", f"seeds = {list(range(400))}"))
    process = subprocess.Popen(
        [sys.executable, "-m", "rosehitch", "experiment", str(file), "--out", str(out), "--processes", "2"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        stdout=subprocess.DEVNULL,
        text=True,
        start_new_session=True,
    )
    assert process.stderr.readline().startswith("1 of 1600")
    os.killpg(process.pid, signal.SIGINT)  # as a terminal does: to the workers too
    told = process.stderr.read()
    assert process.wait() == 130 and "Traceback" not in told
    found = results.read(out)
    assert found.state["partial"] and found.state["failed"] == []
    assert 1 <= len(found.records) == found.state["ended"] < 1600
    assert "Partial: " in (out / results.PAGE_FILE).read_text()


def test_compare_finds_a_difference_that_was_put_in_and_none_between_equal_ones(tmp_path):
    text = TINY.replace("[1, 2]", str(list(range(1, 9)))).replace("[0.3, 0.6]", "[0.5]")
    text = text.replace("true", "false").replace('"served_worth_share_by_plan"', '"counter_unanswered_share"')
    a, again = kept(tmp_path / "a", text), kept(tmp_path / "again", text)
    gone = text.replace("restart = { at = 0.5, length = 0.5", "counter-gone = { at = 0, length = 2")
    b = kept(tmp_path / "b", gone)
    same = json.loads(run("compare", a, again, "--json").stdout)
    assert {at["verdict"] for figure in same["figures"] for at in figure["differences"]} == {"equal"}
    assert same["settings"] == {} and same["without_partner"] == 0
    found = json.loads(run("compare", a, b, "--json").stdout)
    verdicts = {figure["figure"]: figure["differences"][0]["verdict"] for figure in found["figures"]}
    assert verdicts["counter_unanswered_share"] == "higher" and list(found["settings"]) == ["faults"]
    table = run("compare", a, b).stdout
    assert "counter_unanswered_share" in table and "higher" in table


def test_a_run_that_fails_is_told_and_the_others_go_on(tmp_path, monkeypatch):
    file, out = tmp_path / "half.toml", tmp_path / "out"
    file.write_text(TINY)
    real = plan.read(file)
    broken = tuple(
        replace(run, module=(("no such setting", 1),)) if run.seed == 2 else run for run in real.runs
    )
    monkeypatch.setattr(plan, "read", lambda path: replace(real, runs=broken))
    found = run("experiment", file, "--out", out, "--processes", 2)
    assert found.exit_code == 1 and "no such setting" in found.stderr
    kept = results.read(out)
    assert kept.state["partial"] and len(kept.state["failed"]) == 4
    assert {record["seed"] for record in kept.records} == {1} and len(kept.records) == 4
    again = run("experiment", file, "--out", out)
    assert again.exit_code == 2 and str(out) in again.stderr and "not empty" in again.stderr
    assert run("compare", out, tmp_path).exit_code == 2


def test_a_torn_last_line_is_left_out_only_of_a_partial_result(tmp_path):
    out = kept(tmp_path / "out", TINY)
    whole = (out / results.RECORDS_FILE).read_text()
    (out / results.RECORDS_FILE).write_text(whole[:-50])
    with pytest.raises(plan.InvalidInput, match="records.jsonl"):
        results.read(out)
    state = json.loads((out / results.STATE_FILE).read_text())
    (out / results.STATE_FILE).write_text(json.dumps({**state, "partial": True}))
    assert len(results.read(out).records) == len(whole.splitlines()) - 1


def test_the_verdict_counts_seeds_and_not_points():
    def records(by: float, seeds: int) -> list[dict]:
        return [
            {"point": point, "seed": seed, "figures": {"x": by + seed, "flat": 1.0}}
            for point in "abcd"
            for seed in range(seeds)
        ]

    def verdicts(by: float, seeds: int) -> list[set[str]]:
        found = noise.compare_records(records(0.0, seeds), records(by, seeds), ["x", "flat"])
        assert [at.point for at in found[0].differences] == ["a", "b", "c", "d", noise.ALL_POINTS]
        return [{at.verdict for at in figure.differences} for figure in found]

    assert verdicts(1.0, 7) == [{"higher"}, {"equal"}] and verdicts(-1.0, 7) == [{"lower"}, {"equal"}]
    assert verdicts(1.0, 3) == [{"too few seeds"}, {"equal"}]
    assert noise.sign_test([1, 1, 1, 1, 1, -1, 0]) == pytest.approx(14 / 64)
    assert noise.holm_correction([0.01, 0.04, 0.03]) == pytest.approx([0.03, 0.06, 0.06])


QUESTIONS = sorted((ROOT / "experiments" / "questions").glob("*.toml"))


@pytest.mark.parametrize("file", QUESTIONS, ids=lambda file: file.stem)
def test_the_questions_that_are_shipped_can_be_run(file):
    found = plan.read(file)
    assert run("check", file).stdout == f"{file}: usable: {len(found.runs)} runs\n"
    assert len({one.seed for one in found.runs}) >= 2 and len({one.point for one in found.runs}) >= 2
