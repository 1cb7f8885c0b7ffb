"""Fault injection: faults of many kinds, each with a start, a duration, a share of targets and a size."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from cobaltline import interface as io
from scale.faults import FAULTS as FLEET_FAULTS

from .clients import IdleConnection
from .gateway import RESTART_DELAY_MS

DISCONNECT_WITHIN_MS = 200.0  # the "leavers" fault disconnects a client this soon after its first attempt
MAX_PAUSE_S = 0.4  # drawn by a search; after a pause of over 0.5 s every open answer would be too late
PAUSE_INTERVAL_MS = (200.0, 1500.0)  # between two pauses of a gateway
CROWD_WITHIN_MS = 200.0  # the connections of a "crowd" fault open within this time


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a run.

    `kind` is a key of `KINDS`. It starts `at_s` seconds into the run and lasts `for_s` seconds. `part` is
    the share of the possible targets that it hits; what `size` means depends on the kind. Raises ValueError
    on invalid values.
    """

    kind: str
    at_s: float = 5.0
    for_s: float = 5.0
    part: float = 0.25
    size: float = 1.0

    def __post_init__(self) -> None:
        if self.kind not in KINDS:
            raise ValueError(f"kind: {self.kind!r} is none of {', '.join(sorted(KINDS))}")
        for name, minimum in (("at_s", 0.0), ("for_s", 0.0), ("size", 0.0)):
            if not getattr(self, name) >= minimum:
                raise ValueError(f"{name}: {getattr(self, name)!r} is below {minimum:g}")
        if not 0.0 <= self.part <= 1.0:
            raise ValueError(f"part: {self.part!r} is not between 0 and 1")


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of fault.

    `about` describes it, `inject(world, fault, rng)` starts it. A search draws `Fault.part` from the range
    `parts` and `Fault.size` from the range `sizes`.
    """

    about: str
    inject: Callable
    parts: tuple[float, float] = (0.1, 1.0)
    sizes: tuple[float, float] = (1.0, 1.0)


def _sample(targets: list, fault: Fault, rng: Random) -> list:
    return rng.sample(targets, min(len(targets), max(1, round(fault.part * len(targets))))) if targets else []


def _sample_gateways(world, fault: Fault, rng: Random) -> list:
    return _sample(world.whole_gateways, fault, rng)


def _sample_backends(world, fault: Fault, rng: Random) -> list:
    candidates = [name for name, backend in world.backends.items() if name not in world.draining]
    return [world.servers[name] for name in _sample(candidates, fault, rng)]


def _at_end(world, fault: Fault, call: Callable, *args) -> None:
    world.clock.call_at(world.clock.now + fault.for_s * 1000.0, call, *args)


def _kill(world, fault: Fault, rng: Random) -> None:
    for gateway in _sample_gateways(world, fault, rng):
        world.kill_gateway(gateway.number)
        world.clock.call_at(world.clock.now + RESTART_DELAY_MS, world.restart_gateway, gateway.number)


def _drain(world, fault: Fault, rng: Random) -> None:
    gateways = _sample_gateways(world, fault, rng)
    for number, gateway in enumerate(gateways):
        at = world.clock.now + fault.for_s * 1000.0 * number / len(gateways)
        world.clock.call_at(at, _drain_one, world, gateway)


def _drain_one(world, gateway) -> None:
    if gateway.running:
        gateway.terminate()
        _restart_when_ended(world, gateway, gateway.incarnation)


def _restart_when_ended(world, gateway, incarnation: int) -> None:
    """Restart the gateway once its process has ended."""
    if gateway.incarnation != incarnation:
        return
    if gateway.running:
        world.clock.call_at(
            world.clock.now + RESTART_DELAY_MS, _restart_when_ended, world, gateway, incarnation
        )
    else:
        world.restart_gateway(gateway.number)


def _stand_still(world, fault: Fault, rng: Random) -> None:
    until = world.clock.now + fault.for_s * 1000.0
    for gateway in _sample_gateways(world, fault, rng):
        _pause_repeatedly(world, gateway, fault.size * 1000.0, until, rng)


def _pause_repeatedly(world, gateway, for_ms: float, until: float, rng: Random) -> None:
    if world.clock.now <= until:
        gateway.pause(for_ms)
        at = world.clock.now + for_ms + rng.uniform(*PAUSE_INTERVAL_MS)
        world.clock.call_at(at, _pause_repeatedly, world, gateway, for_ms, until, rng)


def _watch_silent(world, fault: Fault, rng: Random) -> None:
    for gateway in _sample_gateways(world, fault, rng):
        gateway.agent.silence_watches()


def _watch_reset(world, fault: Fault, rng: Random) -> None:
    for gateway in _sample_gateways(world, fault, rng):
        gateway.agent.reset_watches()


def _discovery_down(world, fault: Fault, rng: Random) -> None:
    world.discovery.is_down = True
    _at_end(world, fault, _discovery_back, world)


def _discovery_back(world) -> None:
    world.discovery.is_down = False
    world.discovery.resync()


def _hang(world, fault: Fault, rng: Random) -> None:
    for server in _sample_backends(world, fault, rng):
        server.hangs_until = world.clock.now + fault.for_s * 1000.0


def _slow(world, fault: Fault, rng: Random) -> None:
    for server in _sample_backends(world, fault, rng):
        server.backend.slowdown = 1.0 + fault.size
        _at_end(world, fault, setattr, server.backend, "slowdown", 1.0)


def _leave(world, fault: Fault, rng: Random) -> None:
    servers = _sample_backends(world, fault, rng)
    for server in servers:
        world.draining.add(server.backend.name)
    world.discovery.apply_changes(
        [world.backend_entry(server.backend, io.BackendState.DRAINING) for server in servers]
    )


def _fault_answers(attribute: str) -> Callable:
    def inject(world, fault: Fault, rng: Random) -> None:
        for server in world.servers.values():
            setattr(server, attribute, fault.part)
            _at_end(world, fault, setattr, server, attribute, 0.0)

    return inject


def _connect_late(world, fault: Fault, rng: Random) -> None:
    world.late_connects = (fault.part, fault.size * 1000.0)
    _at_end(world, fault, setattr, world, "late_connects", (0.0, 0.0))


def _connect_never(world, fault: Fault, rng: Random) -> None:
    world.failed_connect_share = fault.part
    _at_end(world, fault, setattr, world, "failed_connect_share", 0.0)


def _crowd(world, fault: Fault, rng: Random) -> None:
    for gateway in _sample_gateways(world, fault, rng):
        for _ in range(round(fault.size)):
            world.clock.call_at(
                world.clock.now + rng.uniform(0.0, CROWD_WITHIN_MS),
                _open_idle,
                world,
                gateway,
                fault.for_s * 1000.0,
            )


def _open_idle(world, gateway, for_ms: float) -> None:
    world.clock.call_at(world.clock.now + for_ms, IdleConnection(gateway.pool).close)


def _disconnect_clients(world, fault: Fault, rng: Random) -> None:
    world.disconnect_share = fault.part
    _at_end(world, fault, setattr, world, "disconnect_share", 0.0)


def _partition_zone(world, fault: Fault, rng: Random) -> None:
    world.links.partition([world.links.zones[-1]])
    _at_end(world, fault, _heal_partition, world)


def _heal_partition(world) -> None:
    world.links.heal()
    world.discovery.resync()


def _fleet_kind(name: str) -> Kind:
    fleet_fault = FLEET_FAULTS[name]
    return Kind(fleet_fault.about, lambda world, fault, rng: fleet_fault.inject(world, fault.for_s * 1000.0))


SMALL_PARTS = (0.02, 0.5)  # range of `part` of the more severe faults
KINDS: dict[str, Kind] = {
    **{name: _fleet_kind(name) for name in FLEET_FAULTS},
    "kill": Kind("part of the gateways are killed, and start again after 2 s", _kill),
    "drain": Kind("part of the gateways get SIGTERM, one after another, and start again", _drain),
    "stand-still": Kind(
        "part of the gateways pause repeatedly, for `size` s each",
        _stand_still,
        sizes=(0.05, MAX_PAUSE_S),
    ),
    "watch-silent": Kind("the open watches of part of the gateways fall silent", _watch_silent),
    "watch-reset": Kind("the open watches of part of the gateways are reset", _watch_reset),
    "discovery-down": Kind("discovery is down: its agents send nothing and get no updates", _discovery_down),
    "hang": Kind(
        "part of the backends take requests and answer them when the fault is over", _hang, SMALL_PARTS
    ),
    "slow": Kind("part of the backends take 1 + `size` times as long", _slow, sizes=(1.0, 9.0)),
    "leave": Kind("part of the backends begin to drain, and stay up", _leave, SMALL_PARTS),
    "lost": Kind(
        "part of the answers are lost, and their connections fall silent",
        _fault_answers("lost_share"),
        SMALL_PARTS,
    ),
    "reset": Kind("part of the answers are replaced by a reset", _fault_answers("reset_share"), SMALL_PARTS),
    "noise": Kind("part of the answers are not valid HTTP", _fault_answers("invalid_share"), SMALL_PARTS),
    "second": Kind(
        "part of the answers are sent twice, the second time some ms later", _fault_answers("duplicate_share")
    ),
    "connect-late": Kind(
        "part of the connections to backends are established up to `size` s late",
        _connect_late,
        sizes=(0.2, 1.5),
    ),
    "connect-never": Kind(
        "part of the connections to backends are never established", _connect_never, SMALL_PARTS
    ),
    "crowd": Kind("`size` idle connections are opened to part of the gateways", _crowd, sizes=(20.0, 400.0)),
    "leavers": Kind("the clients of part of the requests disconnect within 0.2 s", _disconnect_clients),
    "zone-cut": Kind("the last zone is partitioned from the others", _partition_zone),
}
