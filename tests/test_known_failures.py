"""The list of known failures names existing tests, and hides no other failure."""

import ast

import pytest
from known_failures import ROOT, known_failures


def function_names(path):
    return {node.name for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.FunctionDef)}


def test_each_known_failure_names_an_existing_test():
    for failure in known_failures():
        path, _, name = failure.function.partition("::")
        assert name in function_names(ROOT / path), failure


def test_a_missing_or_empty_list_has_no_failures(tmp_path):
    assert known_failures(tmp_path / "none") == []
    (tmp_path / "empty").write_text("")
    assert known_failures(tmp_path / "empty") == []


COMMAND = "python -m pytest tests/test_a.py"


def list_line(test="tests/test_a.py::test_b", command=COMMAND, observed="broken", issue="issue 1"):
    return f"{test} | {command} | {observed} | {issue}\n"


@pytest.mark.parametrize(
    "text",
    [
        "tests/test_a.py::test_b\n",
        list_line(issue=""),
        list_line(observed=" "),
        list_line(command=""),
        "tests/test_a.py::test_b | broken | issue 1\n",
        list_line(observed="a | b"),
        list_line() + list_line(observed="broken otherwise"),
        list_line() + list_line(test="tests/test_a.py::test_b[1]"),
    ],
)
def test_a_line_with_missing_or_extra_fields_or_a_repeated_test_is_rejected(tmp_path, text):
    (tmp_path / "list").write_text(text)
    with pytest.raises(ValueError, match="list: "):
        known_failures(tmp_path / "list")


@pytest.mark.parametrize("command", [COMMAND, f"at times: {COMMAND}"])
def test_a_known_failure_that_passes_fails_the_run_unless_it_is_intermittent(
    run_with_known_failures, command
):
    completed = run_with_known_failures("def test_b():\n    pass\n", list_line(command=command))
    if command == COMMAND:
        assert completed.returncode == 1 and "XPASS(strict)" in completed.stdout
    else:
        assert completed.returncode == 0 and "XPASS" in completed.stdout


@pytest.mark.parametrize("command", [COMMAND, f"at times: {COMMAND}"])
def test_a_known_failure_is_reported_and_tolerated_and_any_other_failure_is_not(
    run_with_known_failures, command
):
    completed = run_with_known_failures("def test_b():\n    assert 0\n", list_line(command=command))
    assert completed.returncode == 0 and f"broken (issue 1; {command})" in completed.stdout
    completed = run_with_known_failures("def test_c():\n    assert 0\n", list_line(command=command))
    assert completed.returncode == 1


PARAMETRIZED_TEST = (
    "import pytest\n@pytest.mark.parametrize('n', [1, 2])\ndef test_b(n):\n    assert n == {}\n"
)


def test_one_case_of_a_parametrized_test_can_be_listed_without_hiding_the_others(run_with_known_failures):
    known_failure_lines = list_line(test="tests/test_a.py::test_b[1]")
    assert run_with_known_failures(PARAMETRIZED_TEST.format(2), known_failure_lines).returncode == 0
    assert run_with_known_failures(PARAMETRIZED_TEST.format(3), known_failure_lines).returncode == 1
