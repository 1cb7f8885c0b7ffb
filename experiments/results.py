"""The results folder: the experiment file as it was, a record a line, how far it came, and the page."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from pathlib import Path

from .plan import Experiment, InvalidInput

EXPERIMENT_FILE, RECORDS_FILE, STATE_FILE, PAGE_FILE = (
    "experiment.toml",
    "records.jsonl",
    "state.json",
    "report.html",
)


def record_key(record: dict) -> tuple[str, bool, int]:
    """What a record is paired by: point of the sweep, with faults or without, seed."""
    return record["point"], record["faulted"], record["seed"]


@dataclass(frozen=True, slots=True)
class Results:
    """What a folder holds. `state` has name, question, figures, runs (asked for), ended, partial, failed."""

    folder: Path
    state: dict
    records: list[dict]

    @property
    def points(self) -> list[str]:
        """Of the sweep, in its order, as far as there are records."""
        return list(dict.fromkeys(record["point"] for record in self.records))


class ResultsWriter:
    """Fills a new folder. At every moment it can be read, marked as partial until `close` says otherwise."""

    def __init__(self, folder: Path, experiment: Experiment):
        """Raises OSError where the folder can't be made, or exists and is not empty."""
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.iterdir()):
            raise FileExistsError(17, "is not empty", str(folder))
        self.folder = folder
        self._order = {(run.point, run.faulted, run.seed): n for n, run in enumerate(experiment.runs)}
        self._lines: dict[int, str] = {}
        self.state = {
            "name": experiment.name,
            "question": experiment.question,
            "figures": experiment.figures,
            "runs": len(experiment.runs),
            "ended": 0,
            "partial": True,
            "failed": [],
        }
        (folder / EXPERIMENT_FILE).write_bytes(experiment.text)
        self._keep_state()
        self._records = (folder / RECORDS_FILE).open("w", encoding="utf-8")

    def add(self, record: dict) -> None:
        line = json.dumps(record) + "\n"
        self._records.write(line)
        self._records.flush()
        self._lines[self._order[record_key(record)]] = line
        self.state["ended"] = len(self._lines)

    def add_failure(self, what: str) -> None:
        self.state["failed"].append(what)

    def close(self) -> None:
        """Put the records in the order of the sweep, and say how far it came."""
        self._records.close()
        whole = "".join(self._lines[number] for number in sorted(self._lines))
        _replace(self.folder / RECORDS_FILE, whole)
        self.state["partial"] = self.state["ended"] < self.state["runs"]
        self._keep_state()

    def _keep_state(self) -> None:
        _replace(self.folder / STATE_FILE, json.dumps(self.state, indent=1) + "\n")


def _replace(path: Path, text: str) -> None:
    """At once, so that no reader sees a half."""
    new = path.with_name(path.name + ".new")
    new.write_text(text, encoding="utf-8")
    os.replace(new, path)


def read(folder: str | Path) -> Results:
    """Raises `InvalidInput`. Of a partial result, a last line that was cut short is left out."""
    folder = Path(folder)
    try:
        state = json.loads((folder / STATE_FILE).read_text(encoding="utf-8"))
        lines = (folder / RECORDS_FILE).read_text(encoding="utf-8").splitlines(keepends=True)
    except OSError as error:
        raise InvalidInput(folder, "", f"no results folder: {error.strerror}") from None
    except ValueError as error:
        raise InvalidInput(folder / STATE_FILE, "", f"no JSON: {error}") from None
    if state["partial"] and lines and not lines[-1].endswith("\n"):
        lines.pop()
    try:
        return Results(folder, state, [json.loads(line) for line in lines])
    except ValueError as error:
        raise InvalidInput(folder / RECORDS_FILE, "", f"no JSON: {error}") from None
