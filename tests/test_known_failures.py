"""The list of known failures names tests that exist, and can't hide any other failure."""

import ast

import pytest
from known_failures import ROOT, known_failures


def functions(path):
    return {node.name for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.FunctionDef)}


def test_each_known_failure_names_a_test_that_exists():
    for failure in known_failures():
        path, _, name = failure.test.partition("::")
        assert name in functions(ROOT / path), failure


def test_a_list_that_does_not_exist_or_is_empty_holds_no_failures(tmp_path):
    assert known_failures(tmp_path / "none") == []
    (tmp_path / "empty").write_text("")
    assert known_failures(tmp_path / "empty") == []


@pytest.mark.parametrize(
    "text", ["tests/test_a.py::test_b\n", "tests/test_a.py::test_b | cause | \n", "a | b | c\n" * 4]
)
def test_a_line_without_cause_or_issue_and_a_fourth_line_are_refused(tmp_path, text):
    (tmp_path / "list").write_text(text)
    with pytest.raises(ValueError, match="list: "):
        known_failures(tmp_path / "list")


def test_a_known_failure_that_passes_again_fails_the_run(known_failures_run):
    outcome = known_failures_run("def test_b():\n    pass\n", "tests/test_a.py::test_b | cause | issue 1\n")
    assert outcome.returncode == 1 and "XPASS(strict)" in outcome.stdout


def test_a_known_failure_is_passed_over_and_printed_and_another_failure_is_not(known_failures_run):
    outcome = known_failures_run(
        "def test_b():\n    assert 0\n", "tests/test_a.py::test_b | broken | issue 1\n"
    )
    assert outcome.returncode == 0 and "broken (issue 1)" in outcome.stdout
    outcome = known_failures_run(
        "def test_c():\n    assert 0\n", "tests/test_a.py::test_b | broken | issue 1\n"
    )
    assert outcome.returncode == 1
