"""What goes wrong: a small vocabulary whose words compose, each with a start, a length, a part and a size."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from cobaltline import interface as io
from scale.faults import FAULTS as WHOLE_FLEET

from .front import Idler
from .gateway import DOWN_MS

LEAVE_MS = 200.0  # a client that leaves in a burst does so within this of sending
STILL_MOST_S = 0.4  # drawn; one that stands still for over 0.5 s answers too late, whatever it does
STILL_EVERY_MS = (200.0, 1500.0)  # between the times that a gateway stands still
CROWD_MS = 200.0  # idle connections of a crowd come within this


@dataclass(frozen=True, slots=True)
class Fault:
    """`part` is a share of those it may hit, `size` what the word's text says. Times are s from the start."""

    kind: str
    at_s: float = 5.0
    for_s: float = 5.0
    part: float = 0.25
    size: float = 1.0

    def __post_init__(self) -> None:
        if self.kind not in KINDS:
            raise ValueError(f"kind: {self.kind!r} is none of {', '.join(sorted(KINDS))}")
        for name, least in (("at_s", 0.0), ("for_s", 0.0), ("size", 0.0)):
            if not getattr(self, name) >= least:
                raise ValueError(f"{name}: {getattr(self, name)!r} is below {least:g}")
        if not 0.0 <= self.part <= 1.0:
            raise ValueError(f"part: {self.part!r} is no share")


@dataclass(frozen=True, slots=True)
class Kind:
    """`parts` and `sizes`: what a search draws from."""

    about: str
    call: Callable
    parts: tuple[float, float] = (0.1, 1.0)
    sizes: tuple[float, float] = (1.0, 1.0)


def _chosen(found: list, fault: Fault, rng: Random) -> list:
    return rng.sample(found, min(len(found), max(1, round(fault.part * len(found))))) if found else []


def _gateways(world, fault: Fault, rng: Random) -> list:
    return _chosen(world.whole, fault, rng)


def _backends(world, fault: Fault, rng: Random) -> list:
    up = [name for name, backend in world.backends.items() if name not in world.leaving]
    return [world.servers[name] for name in _chosen(up, fault, rng)]


def _over(world, fault: Fault, call: Callable, *args) -> None:
    world.clock.call_at(world.clock.now + fault.for_s * 1000.0, call, *args)


def _kill(world, fault: Fault, rng: Random) -> None:
    for gateway in _gateways(world, fault, rng):
        world.kill_gateway(gateway.number)
        world.clock.call_at(world.clock.now + DOWN_MS, world.restart_gateway, gateway.number)


def _drain(world, fault: Fault, rng: Random) -> None:
    found = _gateways(world, fault, rng)
    for number, gateway in enumerate(found):
        at = world.clock.now + fault.for_s * 1000.0 * number / len(found)
        world.clock.call_at(at, _drain_one, world, gateway)


def _drain_one(world, gateway) -> None:
    if gateway.running:
        gateway.end()
        _again(world, gateway, gateway.life)


def _again(world, gateway, life: int) -> None:
    """Start it anew once it has ended."""
    if gateway.life != life:
        return
    if gateway.running:
        world.clock.call_at(world.clock.now + DOWN_MS, _again, world, gateway, life)
    else:
        world.restart_gateway(gateway.number)


def _stand_still(world, fault: Fault, rng: Random) -> None:
    until = world.clock.now + fault.for_s * 1000.0
    for gateway in _gateways(world, fault, rng):
        _still(world, gateway, fault.size * 1000.0, until, rng)


def _still(world, gateway, for_ms: float, until: float, rng: Random) -> None:
    if world.clock.now <= until:
        gateway.stand_still(for_ms)
        at = world.clock.now + for_ms + rng.uniform(*STILL_EVERY_MS)
        world.clock.call_at(at, _still, world, gateway, for_ms, until, rng)


def _watch_silent(world, fault: Fault, rng: Random) -> None:
    for gateway in _gateways(world, fault, rng):
        gateway.agent.fall_silent()


def _watch_reset(world, fault: Fault, rng: Random) -> None:
    for gateway in _gateways(world, fault, rng):
        gateway.agent.reset_watches()


def _discovery_down(world, fault: Fault, rng: Random) -> None:
    world.discovery.is_down = True
    _over(world, fault, _discovery_back, world)


def _discovery_back(world) -> None:
    world.discovery.is_down = False
    world.discovery.resync()


def _hang(world, fault: Fault, rng: Random) -> None:
    for server in _backends(world, fault, rng):
        server.hangs_until = world.clock.now + fault.for_s * 1000.0


def _slow(world, fault: Fault, rng: Random) -> None:
    for server in _backends(world, fault, rng):
        server.backend.slowdown = 1.0 + fault.size
        _over(world, fault, setattr, server.backend, "slowdown", 1.0)


def _leave(world, fault: Fault, rng: Random) -> None:
    servers = _backends(world, fault, rng)
    for server in servers:
        world.leaving.add(server.backend.name)
    world.discovery.apply_changes(
        [world.backend_entry(server.backend, io.BackendState.DRAINING) for server in servers]
    )


def _answers(name: str) -> Callable:
    def call(world, fault: Fault, rng: Random) -> None:
        for server in world.servers.values():
            setattr(server, name, fault.part)
            _over(world, fault, setattr, server, name, 0.0)

    return call


def _connect_late(world, fault: Fault, rng: Random) -> None:
    world.late = (fault.part, fault.size * 1000.0)
    _over(world, fault, setattr, world, "late", (0.0, 0.0))


def _connect_never(world, fault: Fault, rng: Random) -> None:
    world.never = fault.part
    _over(world, fault, setattr, world, "never", 0.0)


def _crowd(world, fault: Fault, rng: Random) -> None:
    for gateway in _gateways(world, fault, rng):
        for _ in range(round(fault.size)):
            world.clock.call_at(
                world.clock.now + rng.uniform(0.0, CROWD_MS), _idle, world, gateway, fault.for_s * 1000.0
            )


def _idle(world, gateway, for_ms: float) -> None:
    world.clock.call_at(world.clock.now + for_ms, Idler(gateway.front).close)


def _leavers(world, fault: Fault, rng: Random) -> None:
    world.leavers = fault.part
    _over(world, fault, setattr, world, "leavers", 0.0)


def _zone_cut(world, fault: Fault, rng: Random) -> None:
    world.links.partition([world.links.zones[-1]])
    _over(world, fault, _healed, world)


def _healed(world) -> None:
    world.links.heal()
    world.discovery.resync()


def _of_fleet(name: str) -> Kind:
    found = WHOLE_FLEET[name]
    return Kind(found.about, lambda world, fault, rng: found.inject(world, fault.for_s * 1000.0))


FEW = (0.02, 0.5)
KINDS: dict[str, Kind] = {
    **{name: _of_fleet(name) for name in WHOLE_FLEET},
    "kill": Kind("part of the gateways are killed, and start again after 2 s", _kill),
    "drain": Kind("part of the gateways get SIGTERM, one after another, and start again", _drain),
    "stand-still": Kind(
        "part of the gateways stand still again and again, for `size` s",
        _stand_still,
        sizes=(0.05, STILL_MOST_S),
    ),
    "watch-silent": Kind("the open watches of part of the gateways say nothing any more", _watch_silent),
    "watch-reset": Kind("the open watches of part of the gateways are reset", _watch_reset),
    "discovery-down": Kind("discovery is down: its agents are silent and learn nothing", _discovery_down),
    "hang": Kind("part of the backends take requests and answer when it is over", _hang, FEW),
    "slow": Kind("part of the backends take `size` times as long on top", _slow, sizes=(1.0, 9.0)),
    "leave": Kind("part of the backends begin to drain, and stay up", _leave, FEW),
    "lost": Kind("part of the answers are lost, their connections silent", _answers("lost"), FEW),
    "reset": Kind("part of the answers are a reset", _answers("resets"), FEW),
    "noise": Kind("part of the answers can't be read", _answers("noise"), FEW),
    "second": Kind("part of the answers come a second time, some ms late", _answers("doubled")),
    "connect-late": Kind(
        "part of the connections to backends come up late, up to `size` s", _connect_late, sizes=(0.2, 1.5)
    ),
    "connect-never": Kind("part of the connections to backends never come up", _connect_never, FEW),
    "crowd": Kind("`size` idle connections come to part of the gateways", _crowd, sizes=(20.0, 400.0)),
    "leavers": Kind("part of the requests' clients go within 0.2 s", _leavers),
    "zone-cut": Kind("the last zone is cut off from the others", _zone_cut),
}
