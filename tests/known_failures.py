"""Reads `KNOWN-RED.txt`: the tests that fail for a known fault, one line each, `test | cause | issue`."""

from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
KNOWN_FAILURES = ROOT / "KNOWN-RED.txt"
MOST = 3  # failures that may be known at once
SEPARATOR = " | "


@dataclass(frozen=True)
class KnownFailure:
    """A test by its pytest name without parameters, why it fails, and the issue that tracks it."""

    test: str
    cause: str
    issue: str


def known_failures(path: Path = KNOWN_FAILURES) -> list[KnownFailure]:
    """All lines of the list; none where there is no file. Raises ValueError, naming the line."""
    if not path.exists():
        return []
    failures = []
    for line in path.read_text(encoding="utf-8").splitlines():
        parts = line.split(SEPARATOR)
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"{path.name}: {line!r} is not 'test{SEPARATOR}cause{SEPARATOR}issue'")
        failures.append(KnownFailure(*parts))
    if len(failures) > MOST:
        raise ValueError(f"{path.name}: {len(failures)} lines, and {MOST} are allowed")
    return failures
