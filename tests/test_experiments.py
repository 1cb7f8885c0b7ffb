"""Tests of experiments: invalid files, reproducible records, interrupts, and comparisons."""

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


def run_experiment(folder: Path, text: str, processes: int = 2) -> Path:
    """Runs an experiment with the given file content and returns the results folder."""
    file = folder.with_suffix(".toml")
    file.write_text(text)
    result = run("experiment", file, "--out", folder, "--processes", processes)
    assert result.exit_code == 0, result.output
    return folder


@pytest.mark.parametrize(
    "old, new, named",
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
        ("seconds = 2", "rate = inf", ["load.rate", "inf is not a number"]),
        ("seconds = 2", "rate = 1" + 400 * "0", ["load.rate", "too large"]),
        ("[1, 3]", '"1-3"', ["fleet.spread", "'1-3' is not a number or an array of two"]),
        ("seeds = [1, 2]", "seeds = [1, -2]", ["seeds", "-2"]),
        (
            '"served_worth_share",',
            '"served",  "speed",',
            ["compare.figures", "'speed'", "served_worth_share"],
        ),
        ("name =", "title =", ["title", "name, question, seeds"]),
        ("[compare]", "[compare", ["not valid TOML"]),
    ],
)
def test_an_error_in_the_file_names_the_file_and_the_key_and_nothing_is_run(tmp_path, old, new, named):
    file, out = tmp_path / "bad.toml", tmp_path / "out"
    file.write_text(TINY.replace(old, new, 1))
    result = run("experiment", file, "--out", out)
    assert result.exit_code == 2 and str(file) in result.stderr and not out.exists()
    assert all(part in result.stderr for part in named), result.stderr
    checked = run("check", file)
    assert checked.exit_code == 2 and checked.stderr.split(": ", 1)[1] == result.stderr.split(": ", 1)[1]


def test_the_same_file_gives_the_same_results_for_any_number_of_processes(tmp_path):
    one, two = (
        run_experiment(tmp_path / "one", TINY, processes=1),
        run_experiment(tmp_path / "two", TINY, processes=2),
    )
    for name in (results.RECORDS_FILE, results.STATE_FILE, results.PAGE_FILE, results.EXPERIMENT_FILE):
        assert (one / name).read_bytes() == (two / name).read_bytes()
    stored = results.read(one)
    assert [results.record_key(record) for record in stored.records] == [
        (point, faulted, seed)
        for point in ("load=0.3", "load=0.6")
        for seed in (1, 2)
        for faulted in (True, False)
    ]
    for record in stored.records:
        plans = record["figures"]["served_worth_share_by_plan"]
        assert set(plans) <= {"basico", "estandar", "ampliado"} and max(plans.values()) <= 1.0
        assert sum(record["seconds"]["tries"]) == record["figures"]["tries"]
        assert (record["figures"]["lost"] > 0) <= record["faulted"]  # only faults lose requests
    page = (one / results.PAGE_FILE).read_text()
    assert "tiny &lt;day&gt;" in page and "<script" not in page and "://" not in page


def test_a_module_setting_takes_effect(tmp_path):
    text = TINY.replace('"load.load" = [0.3, 0.6]', '"module.most_out" = [1, 1000]')
    served = {"most_out=1": 0, "most_out=1000": 0}
    for record in results.read(run_experiment(tmp_path / "out", text)).records:
        served[record["point"]] += record["figures"]["served"]
    assert 0 < served["most_out=1"] < served["most_out=1000"]


def test_an_interrupt_keeps_the_finished_runs_and_marks_the_results_as_partial(tmp_path):
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
    os.killpg(process.pid, signal.SIGINT)  # a terminal also signals the whole process group
    errors = process.stderr.read()
    assert process.wait() == 130 and "Traceback" not in errors
    stored = results.read(out)
    assert stored.state["partial"] and stored.state["failed"] == []
    assert 1 <= len(stored.records) == stored.state["ended"] < 1600
    assert "Partial: " in (out / results.PAGE_FILE).read_text()


def test_compare_detects_a_difference_and_reports_equal_results_as_equal(tmp_path):
    text = TINY.replace("[1, 2]", str(list(range(1, 9)))).replace("[0.3, 0.6]", "[0.5]")
    text = text.replace("true", "false").replace('"served_worth_share_by_plan"', '"counter_unanswered_share"')
    a, again = run_experiment(tmp_path / "a", text), run_experiment(tmp_path / "again", text)
    outage_text = text.replace("restart = { at = 0.5, length = 0.5", "counter-gone = { at = 0, length = 2")
    b = run_experiment(tmp_path / "b", outage_text)
    same = json.loads(run("compare", a, again, "--json").stdout)
    assert {difference["verdict"] for figure in same["figures"] for difference in figure["differences"]} == {
        "equal"
    }
    assert same["settings"] == {} and same["without_partner"] == 0
    different = json.loads(run("compare", a, b, "--json").stdout)
    verdicts = {figure["figure"]: figure["differences"][0]["verdict"] for figure in different["figures"]}
    assert verdicts["counter_unanswered_share"] == "higher" and list(different["settings"]) == ["faults"]
    table = run("compare", a, b).stdout
    assert "counter_unanswered_share" in table and "higher" in table


def test_a_failing_run_is_reported_and_the_others_continue(tmp_path, monkeypatch):
    file, out = tmp_path / "half.toml", tmp_path / "out"
    file.write_text(TINY)
    valid = plan.read(file)
    runs = tuple(
        replace(run, module=(("no such setting", 1),)) if run.seed == 2 else run for run in valid.runs
    )
    monkeypatch.setattr(plan, "read", lambda path: replace(valid, runs=runs))
    result = run("experiment", file, "--out", out, "--processes", 2)
    assert result.exit_code == 1 and "no such setting" in result.stderr
    stored = results.read(out)
    assert stored.state["partial"] and len(stored.state["failed"]) == 4
    assert {record["seed"] for record in stored.records} == {1} and len(stored.records) == 4
    again = run("experiment", file, "--out", out)
    assert again.exit_code == 2 and str(out) in again.stderr and "not empty" in again.stderr
    assert run("compare", out, tmp_path).exit_code == 2


def test_an_incomplete_last_line_is_ignored_only_in_partial_results(tmp_path):
    out = run_experiment(tmp_path / "out", TINY)
    complete_text = (out / results.RECORDS_FILE).read_text()
    (out / results.RECORDS_FILE).write_text(complete_text[:-50])
    with pytest.raises(plan.InvalidInput, match="records.jsonl"):
        results.read(out)
    state = json.loads((out / results.STATE_FILE).read_text())
    (out / results.STATE_FILE).write_text(json.dumps({**state, "partial": True}))
    assert len(results.read(out).records) == len(complete_text.splitlines()) - 1


def test_the_verdict_counts_seeds_and_not_points():
    def records(offset: float, seeds: int) -> list[dict]:
        return [
            {"point": point, "seed": seed, "figures": {"x": offset + seed, "flat": 1.0}}
            for point in "abcd"
            for seed in range(seeds)
        ]

    def verdicts(offset: float, seeds: int) -> list[set[str]]:
        compared = noise.compare_records(records(0.0, seeds), records(offset, seeds), ["x", "flat"])
        assert [difference.point for difference in compared[0].differences] == [
            "a",
            "b",
            "c",
            "d",
            noise.ALL_POINTS,
        ]
        return [{difference.verdict for difference in figure.differences} for figure in compared]

    assert verdicts(1.0, 7) == [{"higher"}, {"equal"}] and verdicts(-1.0, 7) == [{"lower"}, {"equal"}]
    assert verdicts(1.0, 3) == [{"too few seeds"}, {"equal"}]
    assert noise.sign_test([1, 1, 1, 1, 1, -1, 0]) == pytest.approx(14 / 64)
    assert noise.holm_correction([0.01, 0.04, 0.03]) == pytest.approx([0.03, 0.06, 0.06])


QUESTIONS = sorted((ROOT / "experiments" / "questions").glob("*.toml"))


@pytest.mark.parametrize("file", QUESTIONS, ids=lambda file: file.stem)
def test_the_experiment_files_in_the_repository_are_valid(file):
    experiment = plan.read(file)
    assert run("check", file).stdout == f"{file}: usable: {len(experiment.runs)} runs\n"
    assert (
        len({one.seed for one in experiment.runs}) >= 2 and len({one.point for one in experiment.runs}) >= 2
    )
