"""Reads and validates the configuration: the file that NODE_CONFIG names, and environment variables."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cobaltline import interface as io
from cobaltline.adapter import MalformedInput, parse_settings

from .discovery import PARSE_ERRORS, Listing, parse_listing
from .wire import Address, parse_address

MIN_SOCKETS = 64  # file descriptors; 24 are open at rest
DEFAULT_MEMORY_MB = 192.0
ADDRESS_FORM = "host:port, the port from 1 to 65535"  # for error messages
FIELD_ERRORS = (*PARSE_ERRORS, OverflowError)


class ConfigError(Exception):
    """A configuration that can't be used. The message names the file, the field and what is allowed."""


@dataclass(frozen=True, slots=True)
class Config:
    """The validated configuration of one gateway."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    seed: int
    sockets: int  # file descriptors that the process may hold
    memory_mb: float  # above which the process is killed
    keepalive_ms: float  # after which backends close an idle connection
    known: Listing  # the cached list of backends
    settings: io.Settings


def _read_file(environ: Mapping[str, str]) -> tuple[str, dict]:
    path = environ.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG names no file")
    try:
        raw = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not an object")
    return path, raw


def load_config(environ: Mapping[str, str]) -> Config:
    """Reads the configuration at the start; variables take precedence over the file. Raises ConfigError."""
    path, raw = _read_file(environ)
    for key, variable_name in (
        ("name", "NODE_NAME"),
        ("listen", "NODE_LISTEN"),
        ("discovery", "NODE_DISCOVERY"),
    ):
        if environ.get(variable_name):
            raw[key] = environ[variable_name]
    try:
        return _parse_config(raw)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def reload_addresses(environ: Mapping[str, str], config: Config) -> tuple[Address, Address | None]:
    """Rereads the addresses of discovery and the counter from the file; raises ConfigError.

    Environment variables are ignored, since a running process keeps those of its start.
    """
    path, raw = _read_file(environ)
    try:
        counter = _address_field(raw, "counter") if config.counter is not None else None
        return _address_field(raw, "discovery"), counter
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def _parse_field(name: str, allowed: str, parse: Callable[..., Any], *args: object) -> Any:
    """Returns `parse(*args)`; raises a ConfigError that names the field if that fails."""
    try:
        return parse(*args)
    except FIELD_ERRORS as error:
        raise ConfigError(f"{name}: {error} (allowed: {allowed})") from None


def _address_field(raw: dict, key: str) -> Address:
    return _parse_field(key, ADDRESS_FORM, parse_address, raw.get(key))


def _optional_address(raw: dict, key: str) -> Address | None:
    return _address_field(raw, key) if raw.get(key) else None


def _object_field(raw: dict, key: str, name: str) -> dict:
    value = raw.get(key) or {}
    if not isinstance(value, dict):
        raise ConfigError(f"{name}: {value!r:.60} is not an object (allowed: an object, or nothing)")
    return value


def _parse_config(raw: dict) -> Config:
    raw_settings = _object_field(raw, "settings", "settings")
    try:
        settings = parse_settings(raw_settings)
    except MalformedInput as error:
        raise ConfigError(f"settings.{error}") from None
    raw_peers = _parse_field("peers", f"a list of {ADDRESS_FORM}", tuple, raw.get("peers") or ())
    peers = tuple(
        _parse_field(f"peers[{index}]", ADDRESS_FORM, parse_address, peer)
        for index, peer in enumerate(raw_peers)
    )
    counter, peer_listen, peers_all = (
        _optional_address(raw, key) for key in ("counter", "peer_listen", "peers_all")
    )
    if settings.counter and counter is None:
        raise ConfigError(
            f"counter: none is named, but settings.familyInfo.counter allows one (allowed: {ADDRESS_FORM})"
        )
    limits = _object_field(raw, "limits", "limits")
    sockets = _parse_field(
        "limits.sockets",
        f"a whole number from {MIN_SOCKETS} on",
        int,
        limits.get("sockets") or 1024,
    )
    if sockets < MIN_SOCKETS:
        raise ConfigError(
            f"limits.sockets: {sockets} are too few to serve with (allowed: a whole number "
            f"from {MIN_SOCKETS} on)"
        )
    memory_mb = _parse_field(
        "limits.memory_mb",
        "a number above 0",
        _parse_memory_mb,
        limits.get("memory_mb") or DEFAULT_MEMORY_MB,
    )
    keepalive_ms = (
        _object_field(raw_settings, "policyLimits", "settings.policyLimits").get("keepaliveMs") or 15000.0
    )
    return Config(
        name=str(raw.get("name") or ""),
        listen=_address_field(raw, "listen"),
        discovery=_address_field(raw, "discovery"),
        counter=counter if settings.counter else None,
        peer_listen=peer_listen if settings.may_message_peers else None,
        peers=peers,
        peers_all=peers_all,
        seed=_parse_field("seed", "hexadecimal digits, as text", int, str(raw.get("seed") or "0"), 16),
        sockets=sockets,
        memory_mb=memory_mb,
        keepalive_ms=_parse_field("settings.policyLimits.keepaliveMs", "milliseconds", float, keepalive_ms),
        known=_parse_known(_object_field(raw, "known", "known")),
        settings=settings,
    )


def _parse_memory_mb(value: object) -> float:
    memory_mb = float(value)
    if not (memory_mb > 0.0 and math.isfinite(memory_mb)):
        raise ValueError(f"{value!r} MB are nothing to serve with")
    return memory_mb


def _parse_known(raw: dict) -> Listing:
    """Parses the cached list of backends. Malformed entries are skipped, as in any list."""
    _parse_field("known.generation", "a whole number", int, raw.get("generation") or 0)
    _parse_field("known.instances", "a list of objects", iter, raw.get("instances") or ())
    return parse_listing(raw)
