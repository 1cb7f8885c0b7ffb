"""The experiment file: what it may say, and the runs that it asks for."""

from __future__ import annotations

import itertools
import tomllib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, fields, replace
from math import isfinite
from pathlib import Path

import click

from cobaltline import interface as io
from scale.__main__ import SpreadParam, hollow
from scale.faults import FAULTS
from scale.world import Options

from .play import Fault, Run, figure_names

MOST_RUNS = 2000  # of one experiment: a mistyped grid is told, not begun
MOST_SEEDS = 1000
MOST_SECONDS = 3600.0  # of a fault's start and length, as of a day
LOAD = ("rate", "load", "customers", "mix", "leave", "seconds", "warm_up")  # other options are the fleet's
NOT_HERE = ("seed", "faults", "fault_at", "fault_for")  # options that have a place of their own in the file
# What the module may be told otherwise than the world has it: settings that it decides by. Rules (classes,
# plans, clocks) are not among them.
MODULE = (
    "counter_price",
    "may_advise",
    "most_retry_after_ms",
    "most_attempts",
    "most_out",
    "cold_from",
    "cold_ms",
    "fall_multiple",
    "cross_zone_price",
)
PARTS = ("name", "question", "seeds", "fleet", "load", "module", "faults", "sweep", "compare")


class InvalidInput(Exception):
    """The file can't be used; says which file, which key, and what is allowed."""

    def __init__(self, file: str | Path, key: str, told: str):
        super().__init__(f"{file}: {key}: {told}" if key else f"{file}: {told}")


class _Refused(Exception):
    """The key in question, and what is allowed there."""


@dataclass(frozen=True, slots=True)
class Experiment:
    """A file that can be used. `text` is what it says, `runs` are in the order of the sweep."""

    name: str
    question: str
    text: bytes
    runs: tuple[Run, ...]
    figures: tuple[str, ...]  # of the record, to be compared


def _number(value: object, least: float, most: float, whole: bool = False) -> float | int:
    if isinstance(value, bool) or not isinstance(value, int if whole else (int, float)):
        raise ValueError(f"{value!r} is no {'whole ' if whole else ''}number")
    if not least <= value <= most:
        raise ValueError(f"{value!r} is not from {least:g} to {most:g}")
    return value if whole else float(value)


def _choice(value: object, allowed: Iterable[str]) -> str:
    allowed = tuple(allowed)
    if value not in allowed:
        raise ValueError(f"{value!r} is unknown; allowed: {', '.join(allowed)}")
    return str(value)


def _option(param: click.Parameter) -> Callable[[object], object]:
    """The check that `python -m scale hollow` makes of it, on a value whose type TOML tells."""
    kind = param.type

    def check(value: object) -> object:
        if isinstance(kind, click.Choice):
            return _choice(value, kind.choices)
        if isinstance(kind, SpreadParam) and isinstance(value, list):
            value = "-".join(map(str, value))
        elif isinstance(value, bool) or not isinstance(value, (int, float)) or not isfinite(value):
            raise ValueError(f"{value!r} is no number{', or two' if isinstance(kind, SpreadParam) else ''}")
        elif isinstance(kind, click.IntRange) and not isinstance(value, int):
            raise ValueError(f"{value!r} is no whole number")
        try:
            return kind.convert(value, None, None)
        except click.BadParameter as error:
            raise ValueError(error.message.rstrip(".")) from None

    return check


def _module_setting(name: str) -> Callable[[object], object]:
    usual = getattr(io.Settings(), name)

    def check(value: object) -> object:
        if isinstance(usual, bool):
            if not isinstance(value, bool):
                raise ValueError(f"{value!r} is neither true nor false")
            return value
        return _number(value, 1 if name == "most_attempts" else 0, 1e9, isinstance(usual, int))

    return check


def _settings() -> dict[str, Callable[[object], object]]:
    """Each setting by its dotted key, with the check that returns its value or raises ValueError."""
    found: dict[str, Callable[[object], object]] = {}
    options = {param.name: param for param in hollow.params}
    for field in fields(Options):
        if field.name not in NOT_HERE:
            part = "load" if field.name in LOAD else "fleet"
            found[f"{part}.{field.name}"] = _option(options[field.name])
    for name in MODULE:
        found[f"module.{name}"] = _module_setting(name)
    for fault, key in itertools.product(FAULTS, ("at", "length")):
        found[f"faults.{fault}.{key}"] = lambda value: _number(value, 0.0, MOST_SECONDS)
    return found


SETTINGS = _settings()


def _unknown(key: str) -> _Refused:
    """Names what is allowed on the level where the key stops being known."""
    parts = key.split(".")
    for depth in range(len(parts)):
        head = "".join(f"{part}." for part in parts[:depth])
        known = sorted({name.removeprefix(head).split(".")[0] for name in SETTINGS if name.startswith(head)})
        if parts[depth] not in known:
            return _Refused(".".join(parts[: depth + 1]), f"no such key; allowed: {', '.join(known)}")
    return _Refused(key, "is a table")


def _flat(table: dict, head: str) -> dict[str, object]:
    """A nested table as dotted keys with checked values."""
    found: dict[str, object] = {}
    for name, value in table.items():
        key = f"{head}{name}"
        if key in SETTINGS:
            try:
                found[key] = SETTINGS[key](value)
            except (ValueError, OverflowError) as error:
                raise _Refused(key, str(error)) from None
        elif value == {} and head:  # a fault without its keys, for instance
            raise _Refused(key, "is empty")
        elif isinstance(value, dict) and any(known.startswith(f"{key}.") for known in SETTINGS):
            found.update(_flat(value, f"{key}."))
        else:
            raise _unknown(key)
    return found


def _axis(name: str, values: object) -> list[dict[str, object]]:
    """The settings of each point of one axis of the sweep."""
    where = f"sweep.{name}"
    if not isinstance(values, list) or not values:
        raise _Refused(where, "has to be an array of values, or of tables of settings")
    if not all(isinstance(value, dict) for value in values):
        if name not in SETTINGS:
            told = _unknown(name).args
            raise _Refused(where, f"{told[0]}: {told[1]}; or tables of such settings as values")
        values = [{name: value} for value in values]
    try:
        points = [_flat(value, "") for value in values]
    except _Refused as error:
        raise _Refused(f"{where}: {error.args[0]}", error.args[1]) from None
    labels = [_label(point) for point in points]
    if len(set(labels)) < len(labels) or "" in labels:
        raise _Refused(where, "has the same point twice, or an empty one")
    return points


def _label(point: dict[str, object]) -> str:
    """`gateways=16 backends=64`; a fault's keys with its name."""
    return " ".join(f"{key.split('.', 1)[1]}={_plain(value)}" for key, value in point.items())


def _plain(value: object) -> str:
    return (
        "-".join(map(str, value))
        if isinstance(value, tuple)
        else (f"{value:g}" if isinstance(value, float) else str(value))
    )


def _run(settings: dict[str, object], label: str, seed: int) -> Run:
    options, module = {}, {}
    faults: dict[str, dict[str, float]] = {}
    for key, value in settings.items():
        part, name = key.split(".", 1)
        if part == "faults":
            fault, name = name.split(".")
            faults.setdefault(fault, {})[name] = value
        else:
            (module if part == "module" else options)[name] = value
    made = Options(seed=seed, **options)
    for fault, told in faults.items():
        for key in ("at", "length"):
            if key not in told:
                raise _Refused(f"faults.{fault}.{key}", "is missing")
        if told["at"] + told["length"] > made.seconds:
            raise _Refused(
                f"faults.{fault}", f"is not over within load.seconds ({made.seconds:g}) at {label!r}"
            )
    if made.regions > made.zones:
        raise _Refused("fleet.regions", f"there are no more regions than zones ({made.zones}) at {label!r}")
    if made.warm_up >= made.seconds:
        raise _Refused("load.warm_up", f"the day is over by then ({made.seconds:g} s) at {label!r}")
    plan = tuple(Fault(fault, told["at"], told["length"]) for fault, told in sorted(faults.items()))
    return Run(label, seed, made, plan, tuple(sorted(module.items())))


def _text(table: dict, key: str) -> str:
    if not isinstance(table.get(key), str) or not table[key].strip():
        raise _Refused(key, "is missing, or no text")
    return table[key]


def _seeds(table: dict) -> list[int]:
    seeds = table.get("seeds")
    if not isinstance(seeds, list) or not 1 <= len(seeds) <= MOST_SEEDS:
        raise _Refused("seeds", f"has to be an array of 1 to {MOST_SEEDS} whole numbers")
    try:
        found = [_number(seed, 0, 2**31, True) for seed in seeds]
    except ValueError as error:
        raise _Refused("seeds", str(error)) from None
    if len(set(found)) < len(found):
        raise _Refused("seeds", "has the same seed twice")
    return found


def _compared(table: object, faults: bool) -> tuple[tuple[str, ...], bool]:
    """The figures to compare, and whether each run has a twin without its faults."""
    if not isinstance(table, dict):
        raise _Refused("compare", "is missing, or no table")
    for key in table:
        if key not in ("figures", "without_faults"):
            raise _Refused(f"compare.{key}", "no such key; allowed: figures, without_faults")
    known, chosen = figure_names(), table.get("figures")
    if not isinstance(chosen, list) or not chosen:
        raise _Refused("compare.figures", f"has to be an array of some of: {', '.join(known)}")
    for figure in chosen:
        if figure not in known:
            raise _Refused("compare.figures", f"{figure!r} is unknown; allowed: {', '.join(known)}")
    twins = table.get("without_faults", False)
    if not isinstance(twins, bool):
        raise _Refused("compare.without_faults", f"{twins!r} is neither true nor false")
    if twins and not faults:
        raise _Refused("compare.without_faults", "there are no faults to leave out")
    return tuple(dict.fromkeys(chosen)), twins


def _experiment(text: bytes, table: dict) -> Experiment:
    for key in table:
        if key not in PARTS:
            raise _Refused(key, f"no such key; allowed: {', '.join(PARTS)}")
    name, question, seeds = _text(table, "name"), _text(table, "question"), _seeds(table)
    parts = {key: table[key] for key in ("fleet", "load", "module", "faults") if key in table}
    base, sweep = _flat(parts, ""), table.get("sweep", {})
    if not isinstance(sweep, dict):
        raise _Refused("sweep", "has to be a table")
    axes = [_axis(axis, values) for axis, values in sweep.items()]
    swept: set[str] = set()
    for axis, points in zip(sweep, axes, strict=True):
        mine = {setting for point in points for setting in point}
        if mine & swept:
            raise _Refused(f"sweep.{axis}", f"{min(mine & swept)} is on another axis too")
        swept |= mine
    whole = [base, *itertools.chain.from_iterable(axes)]
    figures, twins = _compared(table.get("compare"), any(k.startswith("faults.") for t in whole for k in t))
    count = len(seeds) * (2 if twins else 1)
    for points in axes:
        count *= len(points)
    if count > MOST_RUNS:
        raise _Refused("sweep", f"asks for {count:,} runs; allowed: {MOST_RUNS:,}")
    runs = []
    for points in itertools.product(*axes):
        settings = base | {key: value for point in points for key, value in point.items()}
        label = ", ".join(map(_label, points)) or "as told"
        for seed in seeds:
            run = _run(settings, label, seed)
            runs += [run, replace(run, faulted=False)] if twins else [run]
    return Experiment(name, question, text, tuple(runs), figures)


def read(file: str | Path) -> Experiment:
    """The experiment that the file tells of; raises `InvalidInput`."""
    try:
        text = Path(file).read_bytes()
        table = tomllib.loads(text.decode("utf-8"))
    except OSError as error:
        raise InvalidInput(file, "", error.strerror or str(error)) from None
    except ValueError as error:  # no TOML, or no UTF-8
        raise InvalidInput(file, "", f"no TOML: {error}") from None
    try:
        return _experiment(text, table)
    except _Refused as error:
        raise InvalidInput(file, *error.args) from None
