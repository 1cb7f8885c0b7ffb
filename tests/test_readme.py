"""The example and the first commands of README.md work as written."""

import contextlib
import io
import os
import re
import shutil
import subprocess
from pathlib import Path

ROOT = Path(__file__).parent.parent
README = (ROOT / "README.md").read_text(encoding="utf-8")
IGNORED_FILES = shutil.ignore_patterns(
    ".git", ".venv*", "build", "*.egg-info", "__pycache__", ".*_cache", "journal"
)


def test_the_example_prints_the_chosen_backend():
    code = re.search(r"```python\n(.*?)```", README, re.S).group(1)
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        exec(compile(code, "README", "exec"), {})
    assert output.getvalue() == "r1 goes to 10.0.0.1:80\n"


def test_the_first_commands_succeed_in_a_clean_checkout(tmp_path):
    """The demo is shortened; the last command runs the tests, so it is only checked for being executable."""
    shutil.copytree(ROOT, tmp_path / "here", ignore=IGNORED_FILES)
    *commands, last = re.search(r"```sh\n(.*?)```", README, re.S).group(1).splitlines()
    assert [command.split("/")[-1] for command in commands] == [
        "python3 -m venv .venv-demo",
        "pip install .",
        "rosehitch demo",
    ]
    for command in commands:
        if command.endswith("rosehitch demo"):
            command += " --seconds 3"
        completed = subprocess.run(
            ["/bin/sh", "-c", command], cwd=tmp_path / "here", timeout=600, capture_output=True, text=True
        )
        assert completed.returncode == 0, (command, completed.stdout, completed.stderr)
    summary = completed.stdout.splitlines()[-1]
    assert re.fullmatch(r"(\d+) of \1 requests answered: .*; rules kept: 6 of 6", summary)
    assert os.access(tmp_path / "here" / last, os.X_OK)
