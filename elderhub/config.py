"""What the gateway is told at its start: NODE_CONFIG and the variables beside it, checked."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cobaltline import interface as io
from cobaltline.adapter import MalformedInput, parse_settings

from .discovery import PARSE_ERRORS, Listing, parse_listing
from .wire import Address, parse_address

SOCKETS_LEAST = 64  # file descriptors: 24 are held at rest
ADDRESS = "host:port, the port from 1 to 65535"  # what is allowed, in the words of an error
UNREADABLE = (*PARSE_ERRORS, OverflowError)


class ConfigError(Exception):
    """The gateway can't start with what it was told. Names the file, and the field with what is allowed."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    seed: int
    sockets: int  # file descriptors that the process may hold
    keepalive_ms: float  # backends close a connection that stood idle so long
    known: Listing  # the list of backends as last had
    settings: io.Settings


def _read(environ: Mapping[str, str]) -> tuple[str, dict]:
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
    path, raw = _read(environ)
    for key, variable in (("name", "NODE_NAME"), ("listen", "NODE_LISTEN"), ("discovery", "NODE_DISCOVERY")):
        if environ.get(variable):
            raw[key] = environ[variable]
    try:
        return _config(raw)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def reload_addresses(environ: Mapping[str, str], config: Config) -> tuple[Address, Address | None]:
    """Where discovery and the counter are by now. The file alone says: the variables are of the start."""
    path, raw = _read(environ)
    try:
        counter = _address(raw, "counter") if config.counter is not None else None
        return _address(raw, "discovery"), counter
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def _field(name: str, allowed: str, read: Callable[..., Any], *args: object) -> Any:
    """What `read` makes of a field; an error that names it where it can't be read."""
    try:
        return read(*args)
    except UNREADABLE as error:
        raise ConfigError(f"{name}: {error} (allowed: {allowed})") from None


def _address(raw: dict, key: str) -> Address:
    return _field(key, ADDRESS, parse_address, raw.get(key))


def _optional(raw: dict, key: str) -> Address | None:
    return _address(raw, key) if raw.get(key) else None


def _object(raw: dict, key: str, name: str) -> dict:
    found = raw.get(key) or {}
    if not isinstance(found, dict):
        raise ConfigError(f"{name}: {found!r:.60} is not an object (allowed: an object, or nothing)")
    return found


def _config(raw: dict) -> Config:
    info = _object(raw, "settings", "settings")
    try:
        settings = parse_settings(info)
    except MalformedInput as error:
        raise ConfigError(f"settings.{error}") from None
    listed = _field("peers", f"a list of {ADDRESS}", tuple, raw.get("peers") or ())
    peers = tuple(_field(f"peers[{i}]", ADDRESS, parse_address, peer) for i, peer in enumerate(listed))
    counter, peer_listen, peers_all = (_optional(raw, key) for key in ("counter", "peer_listen", "peers_all"))
    if settings.counter and counter is None:
        raise ConfigError(
            f"counter: none is named, but settings.familyInfo.counter allows one (allowed: {ADDRESS})"
        )
    sockets = _field(
        "limits.sockets",
        f"a whole number from {SOCKETS_LEAST} on",
        int,
        _object(raw, "limits", "limits").get("sockets") or 1024,
    )
    if sockets < SOCKETS_LEAST:
        raise ConfigError(
            f"limits.sockets: {sockets} are too few to serve with (allowed: a whole number "
            f"from {SOCKETS_LEAST} on)"
        )
    keepalive_ms = _object(info, "policyLimits", "settings.policyLimits").get("keepaliveMs") or 15000.0
    return Config(
        name=str(raw.get("name") or ""),
        listen=_address(raw, "listen"),
        discovery=_address(raw, "discovery"),
        counter=counter if settings.counter else None,
        peer_listen=peer_listen if settings.may_message_peers else None,
        peers=peers,
        peers_all=peers_all,
        seed=_field("seed", "hexadecimal digits, as text", int, str(raw.get("seed") or "0"), 16),
        sockets=sockets,
        keepalive_ms=_field("settings.policyLimits.keepaliveMs", "milliseconds", float, keepalive_ms),
        known=_known(_object(raw, "known", "known")),
        settings=settings,
    )


def _known(raw: dict) -> Listing:
    """The list as it was last had. Entries that can't be read are passed over, as in any list."""
    _field("known.generation", "a whole number", int, raw.get("generation") or 0)
    _field("known.instances", "a list of objects", iter, raw.get("instances") or ())
    return parse_listing(raw)
