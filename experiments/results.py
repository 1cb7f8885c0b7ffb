"""The results folder: a copy of the experiment file, the records (one per line), the state and the page."""

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
    """Returns the key by which records are paired: point of the sweep, with or without faults, seed."""
    return record["point"], record["faulted"], record["seed"]


@dataclass(frozen=True, slots=True)
class Results:
    """The contents of a results folder.

    `state` has the keys name, question, figures, runs (the number requested), ended (the number finished),
    partial and failed.
    """

    folder: Path
    state: dict
    records: list[dict]

    @property
    def points(self) -> list[str]:
        """The points of the sweep that have records, in the order of the sweep."""
        return list(dict.fromkeys(record["point"] for record in self.records))


class ResultsWriter:
    """Writes the results of an experiment into a new folder.

    The folder can be read at any time; the results are marked as partial until `close`.
    """

    def __init__(self, folder: Path, experiment: Experiment):
        """Creates the folder. Raises OSError if that fails or if the folder is not empty."""
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.iterdir()):
            raise FileExistsError(17, "is not empty", str(folder))
        self.folder = folder
        self._order = {(run.point, run.faulted, run.seed): index for index, run in enumerate(experiment.runs)}
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
        self._write_state()
        self._records = (folder / RECORDS_FILE).open("w", encoding="utf-8")

    def add(self, record: dict) -> None:
        """Appends the record of a run."""
        line = json.dumps(record) + "\n"
        self._records.write(line)
        self._records.flush()
        self._lines[self._order[record_key(record)]] = line
        self.state["ended"] = len(self._lines)

    def add_failure(self, description: str) -> None:
        """Notes that a run has failed."""
        self.state["failed"].append(description)

    def close(self) -> None:
        """Sorts the records into the order of the sweep and writes the final state."""
        self._records.close()
        text = "".join(self._lines[index] for index in sorted(self._lines))
        _write_atomically(self.folder / RECORDS_FILE, text)
        self.state["partial"] = self.state["ended"] < self.state["runs"]
        self._write_state()

    def _write_state(self) -> None:
        _write_atomically(self.folder / STATE_FILE, json.dumps(self.state, indent=1) + "\n")


def _write_atomically(path: Path, text: str) -> None:
    """Replaces a file atomically."""
    new_path = path.with_name(path.name + ".new")
    new_path.write_text(text, encoding="utf-8")
    os.replace(new_path, path)


def read(folder: str | Path) -> Results:
    """Reads a results folder; raises `InvalidInput` if it is not one.

    If the results are partial, an incomplete last line is left out.
    """
    folder = Path(folder)
    try:
        state = json.loads((folder / STATE_FILE).read_text(encoding="utf-8"))
        lines = (folder / RECORDS_FILE).read_text(encoding="utf-8").splitlines(keepends=True)
    except OSError as error:
        raise InvalidInput(folder, "", f"not a results folder: {error.strerror}") from None
    except ValueError as error:
        raise InvalidInput(folder / STATE_FILE, "", f"not valid JSON: {error}") from None
    if state["partial"] and lines and not lines[-1].endswith("\n"):
        lines.pop()
    try:
        return Results(folder, state, [json.loads(line) for line in lines])
    except ValueError as error:
        raise InvalidInput(folder / RECORDS_FILE, "", f"not valid JSON: {error}") from None
