"""Reads experiment files (TOML), checks them and derives the runs."""

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

MAX_RUNS = 2000  # of one experiment; rejects mistyped sweeps
MAX_SEEDS = 1000
MAX_SECONDS = 3600.0  # of the start and the length of a fault
# Options in the table `load`; the others belong to the table `fleet`.
LOAD_OPTIONS = ("rate", "load", "customers", "mix", "leave", "seconds", "warm_up")
# Options with an equivalent elsewhere in the file.
EXCLUDED_OPTIONS = ("seed", "faults", "fault_at", "fault_for")
# Settings of the decision module that an experiment may override. The rules that it has to keep (classes,
# plans,
# clocks) are not included.
MODULE_SETTINGS = (
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
TOP_LEVEL_KEYS = ("name", "question", "seeds", "fleet", "load", "module", "faults", "sweep", "compare")


class InvalidInput(Exception):
    """Raised for an unusable file or folder; the message names the file, the key and what is allowed."""

    def __init__(self, file: str | Path, key: str, message: str):
        super().__init__(f"{file}: {key}: {message}" if key else f"{file}: {message}")


class _InvalidEntry(Exception):
    """Raised for an invalid entry of the file, with its key and a message."""


@dataclass(frozen=True, slots=True)
class Experiment:
    """A valid experiment file. `text` is its content; `runs` are in the order of the sweep."""

    name: str
    question: str
    text: bytes
    runs: tuple[Run, ...]
    figures: tuple[str, ...]  # names of the figures to compare


def _check_number(value: object, minimum: float, maximum: float, whole: bool = False) -> float | int:
    if isinstance(value, bool) or not isinstance(value, int if whole else (int, float)):
        raise ValueError(f"{value!r} is not a {'whole ' if whole else ''}number")
    if not minimum <= value <= maximum:
        raise ValueError(f"{value!r} is not from {minimum:g} to {maximum:g}")
    return value if whole else float(value)


def _check_choice(value: object, allowed: Iterable[str]) -> str:
    allowed = tuple(allowed)
    if value not in allowed:
        raise ValueError(f"{value!r} is unknown; allowed: {', '.join(allowed)}")
    return str(value)


def _option_check(param: click.Parameter) -> Callable[[object], object]:
    """Returns the check of a command-line option of `python -m scale hollow` for values from TOML."""
    param_type = param.type

    def check(value: object) -> object:
        if isinstance(param_type, click.Choice):
            return _check_choice(value, param_type.choices)
        if isinstance(param_type, SpreadParam) and isinstance(value, list):
            value = "-".join(map(str, value))
        elif isinstance(value, bool) or not isinstance(value, (int, float)) or not isfinite(value):
            raise ValueError(
                f"{value!r} is not a number"
                f"{' or an array of two' if isinstance(param_type, SpreadParam) else ''}"
            )
        elif isinstance(param_type, click.IntRange) and not isinstance(value, int):
            raise ValueError(f"{value!r} is not a whole number")
        try:
            return param_type.convert(value, None, None)
        except click.BadParameter as error:
            raise ValueError(error.message.rstrip(".")) from None

    return check


def _module_setting_check(name: str) -> Callable[[object], object]:
    default = getattr(io.Settings(), name)

    def check(value: object) -> object:
        if isinstance(default, bool):
            if not isinstance(value, bool):
                raise ValueError(f"{value!r} is neither true nor false")
            return value
        return _check_number(value, 1 if name == "most_attempts" else 0, 1e9, isinstance(default, int))

    return check


def _setting_checks() -> dict[str, Callable[[object], object]]:
    """Returns the check of each setting by its dotted key; it returns the value or raises ValueError."""
    checks: dict[str, Callable[[object], object]] = {}
    options = {param.name: param for param in hollow.params}
    for field in fields(Options):
        if field.name not in EXCLUDED_OPTIONS:
            part = "load" if field.name in LOAD_OPTIONS else "fleet"
            checks[f"{part}.{field.name}"] = _option_check(options[field.name])
    for name in MODULE_SETTINGS:
        checks[f"module.{name}"] = _module_setting_check(name)
    for fault, key in itertools.product(FAULTS, ("at", "length")):
        checks[f"faults.{fault}.{key}"] = lambda value: _check_number(value, 0.0, MAX_SECONDS)
    return checks


SETTING_CHECKS = _setting_checks()


def _unknown_key_error(key: str) -> _InvalidEntry:
    """Returns the error for an unknown key, which lists the allowed keys at the first unknown level."""
    parts = key.split(".")
    for depth in range(len(parts)):
        prefix = "".join(f"{part}." for part in parts[:depth])
        known = sorted(
            {name.removeprefix(prefix).split(".")[0] for name in SETTING_CHECKS if name.startswith(prefix)}
        )
        if parts[depth] not in known:
            return _InvalidEntry(".".join(parts[: depth + 1]), f"no such key; allowed: {', '.join(known)}")
    return _InvalidEntry(key, "is a table, not a setting")


def _flatten(table: dict, prefix: str) -> dict[str, object]:
    """Returns the entries of a nested table by dotted key, with checked values."""
    flat: dict[str, object] = {}
    for name, value in table.items():
        key = f"{prefix}{name}"
        if key in SETTING_CHECKS:
            try:
                flat[key] = SETTING_CHECKS[key](value)
            except (ValueError, OverflowError) as error:
                raise _InvalidEntry(key, str(error)) from None
        elif value == {} and prefix:  # for example a fault without any keys
            raise _InvalidEntry(key, "is empty")
        elif isinstance(value, dict) and any(known.startswith(f"{key}.") for known in SETTING_CHECKS):
            flat.update(_flatten(value, f"{key}."))
        else:
            raise _unknown_key_error(key)
    return flat


def _read_axis(name: str, values: object) -> list[dict[str, object]]:
    """Returns the settings of each point of one axis of the sweep."""
    axis_key = f"sweep.{name}"
    if not isinstance(values, list) or not values:
        raise _InvalidEntry(axis_key, "must be an array of values or of tables of settings, and not empty")
    if not all(isinstance(value, dict) for value in values):
        if name not in SETTING_CHECKS:
            error_args = _unknown_key_error(name).args
            raise _InvalidEntry(
                axis_key,
                f"{error_args[0]}: {error_args[1]}; "
                "an axis with any other name needs tables of settings as values",
            )
        values = [{name: value} for value in values]
    try:
        points = [_flatten(value, "") for value in values]
    except _InvalidEntry as error:
        raise _InvalidEntry(f"{axis_key}: {error.args[0]}", error.args[1]) from None
    labels = [_label(point) for point in points]
    if len(set(labels)) < len(labels) or "" in labels:
        raise _InvalidEntry(axis_key, "contains the same point twice or an empty point")
    return points


def _label(point: dict[str, object]) -> str:
    """Returns the label of a point, such as `gateways=16 backends=64`; keys of faults include the fault's
    name."""
    return " ".join(f"{key.split('.', 1)[1]}={_format_value(value)}" for key, value in point.items())


def _format_value(value: object) -> str:
    return (
        "-".join(map(str, value))
        if isinstance(value, tuple)
        else (f"{value:g}" if isinstance(value, float) else str(value))
    )


def _make_run(settings: dict[str, object], label: str, seed: int) -> Run:
    options, module = {}, {}
    faults: dict[str, dict[str, float]] = {}
    for key, value in settings.items():
        part, name = key.split(".", 1)
        if part == "faults":
            fault, name = name.split(".")
            faults.setdefault(fault, {})[name] = value
        else:
            (module if part == "module" else options)[name] = value
    run_options = Options(seed=seed, **options)
    for fault, times in faults.items():
        for key in ("at", "length"):
            if key not in times:
                raise _InvalidEntry(f"faults.{fault}.{key}", "is missing")
        if times["at"] + times["length"] > run_options.seconds:
            raise _InvalidEntry(
                f"faults.{fault}", f"does not end within load.seconds ({run_options.seconds:g}) at {label!r}"
            )
    if run_options.regions > run_options.zones:
        raise _InvalidEntry(
            "fleet.regions", f"must not exceed the number of zones ({run_options.zones}) at {label!r}"
        )
    if run_options.warm_up >= run_options.seconds:
        raise _InvalidEntry(
            "load.warm_up", f"must be shorter than load.seconds ({run_options.seconds:g}) at {label!r}"
        )
    run_faults = tuple(Fault(fault, times["at"], times["length"]) for fault, times in sorted(faults.items()))
    return Run(label, seed, run_options, run_faults, tuple(sorted(module.items())))


def _read_text(table: dict, key: str) -> str:
    if not isinstance(table.get(key), str) or not table[key].strip():
        raise _InvalidEntry(key, "is missing, empty or not a string")
    return table[key]


def _read_seeds(table: dict) -> list[int]:
    seeds = table.get("seeds")
    if not isinstance(seeds, list) or not 1 <= len(seeds) <= MAX_SEEDS:
        raise _InvalidEntry("seeds", f"must be an array of 1 to {MAX_SEEDS} whole numbers")
    try:
        checked = [_check_number(seed, 0, 2**31, True) for seed in seeds]
    except ValueError as error:
        raise _InvalidEntry("seeds", str(error)) from None
    if len(set(checked)) < len(checked):
        raise _InvalidEntry("seeds", "contains the same seed twice")
    return checked


def _read_comparison(table: object, faults: bool) -> tuple[tuple[str, ...], bool]:
    """Returns the figures to compare, and whether each run is repeated without its faults."""
    if not isinstance(table, dict):
        raise _InvalidEntry("compare", "is missing or not a table")
    for key in table:
        if key not in ("figures", "without_faults"):
            raise _InvalidEntry(f"compare.{key}", "no such key; allowed: figures, without_faults")
    known, chosen = figure_names(), table.get("figures")
    if not isinstance(chosen, list) or not chosen:
        raise _InvalidEntry("compare.figures", f"must be an array of some of: {', '.join(known)}")
    for figure in chosen:
        if figure not in known:
            raise _InvalidEntry("compare.figures", f"{figure!r} is unknown; allowed: {', '.join(known)}")
    with_baseline = table.get("without_faults", False)
    if not isinstance(with_baseline, bool):
        raise _InvalidEntry("compare.without_faults", f"{with_baseline!r} is neither true nor false")
    if with_baseline and not faults:
        raise _InvalidEntry("compare.without_faults", "needs at least one fault in the experiment")
    return tuple(dict.fromkeys(chosen)), with_baseline


def _make_experiment(text: bytes, table: dict) -> Experiment:
    for key in table:
        if key not in TOP_LEVEL_KEYS:
            raise _InvalidEntry(key, f"no such key; allowed: {', '.join(TOP_LEVEL_KEYS)}")
    name, question, seeds = _read_text(table, "name"), _read_text(table, "question"), _read_seeds(table)
    parts = {key: table[key] for key in ("fleet", "load", "module", "faults") if key in table}
    base, sweep = _flatten(parts, ""), table.get("sweep", {})
    if not isinstance(sweep, dict):
        raise _InvalidEntry("sweep", "must be a table")
    axes = [_read_axis(axis, values) for axis, values in sweep.items()]
    swept: set[str] = set()
    for axis, points in zip(sweep, axes, strict=True):
        axis_settings = {setting for point in points for setting in point}
        if axis_settings & swept:
            raise _InvalidEntry(f"sweep.{axis}", f"{min(axis_settings & swept)} is on another axis too")
        swept |= axis_settings
    all_settings = [base, *itertools.chain.from_iterable(axes)]
    figures, with_baseline = _read_comparison(
        table.get("compare"),
        any(dotted_key.startswith("faults.") for group in all_settings for dotted_key in group),
    )
    count = len(seeds) * (2 if with_baseline else 1)
    for points in axes:
        count *= len(points)
    if count > MAX_RUNS:
        raise _InvalidEntry("sweep", f"defines {count:,} runs; allowed: {MAX_RUNS:,}")
    runs = []
    for points in itertools.product(*axes):
        settings = base | {key: value for point in points for key, value in point.items()}
        label = ", ".join(map(_label, points)) or "as told"
        for seed in seeds:
            run = _make_run(settings, label, seed)
            runs += [run, replace(run, faulted=False)] if with_baseline else [run]
    return Experiment(name, question, text, tuple(runs), figures)


def read(file: str | Path) -> Experiment:
    """Reads an experiment file; raises `InvalidInput` if it cannot be used."""
    try:
        text = Path(file).read_bytes()
        table = tomllib.loads(text.decode("utf-8"))
    except OSError as error:
        raise InvalidInput(file, "", error.strerror or str(error)) from None
    except ValueError as error:  # invalid TOML or UTF-8
        raise InvalidInput(file, "", f"not valid TOML: {error}") from None
    try:
        return _make_experiment(text, table)
    except _InvalidEntry as error:
        raise InvalidInput(file, *error.args) from None
