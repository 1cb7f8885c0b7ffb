"""What goes wrong in a world, and what each of it does to the fleet."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from cobaltline import interface as io

from .backends import Health

RACK = 0.025  # of the gateways and backends: one rack in forty
RESTARTED = 0.1  # of the gateways
DOWN_MS = 2000.0  # from a gateway's end to its next life
REPLACED = 0.6  # of the backends, evenly over the fault's time
PARTING_MS = 4000.0  # a backend that drains lives so long
WORST_MINUTE = 1.0 / 60.0  # of a day's changes come in its worst minute
CHANGES_A_DAY = 5900
COUNTER_SLOW = 20.0  # times as long as usual for each call
COLD_BOOT_MS = 1000.0  # between two thirds of what comes back: not all starts in one moment


@dataclass(frozen=True, slots=True)
class Fault:
    """`inject` sets it off in a world (`scale.world.World`), for so many ms."""

    about: str
    inject: Callable


def _silence(world, backends: list, gateways: list[int]) -> None:
    for backend in backends:
        world.stop_backend(backend, Health.SILENT)
    for number in gateways:
        world.kill_gateway(number)


def _return(world, backends: list, gateways: list[int]) -> None:
    """What was lost is back: backends cold, in thirds, and gateways that know nothing."""
    for third in range(3):
        world.clock.call_at(world.clock.now + third * COLD_BOOT_MS, _start, world, backends[third::3])
    for number in gateways:
        world.restart_gateway(number)


def _start(world, backends: list) -> None:
    for backend in backends:
        backend.start()
    if backends:
        world.discovery.apply_changes([world.backend_entry(backend) for backend in backends])


def _away(world, for_ms: float, backends: list, gateways: list[int]) -> None:
    _silence(world, backends, gateways)
    world.clock.call_at(world.clock.now + for_ms, _return, world, backends, gateways)


def zone(world, for_ms: float) -> None:
    lost = world.links.zones[-1]
    backends = [backend for backend in world.backends.values() if backend.zone == lost]
    gateways = [gateway.number for gateway in world.gateways if gateway.zone == lost]
    _away(world, for_ms, backends, gateways)


def rack(world, for_ms: float) -> None:
    lost = world.links.zones[-1]
    backends = [backend for backend in world.backends.values() if backend.zone == lost]
    gateways = [gateway.number for gateway in world.gateways if gateway.zone == lost]
    _away(
        world,
        for_ms,
        backends[: max(1, round(RACK * len(world.backends)))],
        gateways[: max(1, round(RACK * len(world.gateways)))],
    )


def region(world, for_ms: float) -> None:
    world.links.partition(world.links.zones_in_region(world.options.regions - 1))
    world.clock.call_at(world.clock.now + for_ms, _heal, world)


def _heal(world) -> None:
    world.links.heal()
    world.discovery.resync()


def restart(world, for_ms: float) -> None:
    count = max(1, round(RESTARTED * len(world.gateways)))
    for number in world.rng.sample(range(len(world.gateways)), count):
        world.kill_gateway(number)
        world.clock.call_at(world.clock.now + DOWN_MS, world.restart_gateway, number)


def replace_backends(world, for_ms: float) -> None:
    old = world.rng.sample(list(world.backends.values()), round(REPLACED * len(world.backends)))
    for number, backend in enumerate(old):
        world.clock.call_at(world.clock.now + for_ms * number / len(old), _replace, world, backend)


def _replace(world, old) -> None:
    new = world.add_backend(len(world.backends), old.zone)
    new.start()
    world.discovery.apply_changes(
        [world.backend_entry(new), world.backend_entry(old, io.BackendState.DRAINING)]
    )
    world.clock.call_at(world.clock.now + PARTING_MS, _part, world, old)


def _part(world, backend) -> None:
    world.stop_backend(backend, Health.DEAD)
    world.discovery.apply_changes([world.backend_entry(backend, io.BackendState.REMOVED)])


def changes(world, for_ms: float) -> None:
    count = max(1, round(CHANGES_A_DAY * WORST_MINUTE * for_ms / 60_000.0))
    names = list(world.backends)
    for number in range(count):
        name, weight = world.rng.choice(names), world.rng.uniform(0.8, 1.25)
        world.clock.call_at(world.clock.now + for_ms * number / count, _reweigh, world, name, weight)


def _reweigh(world, name: str, weight: float) -> None:
    if name in world.discovery.entries:  # not removed meanwhile
        world.discovery.apply_changes([replace(world.discovery.entries[name], weight=weight)])


def counter_slow(world, for_ms: float) -> None:
    world.counter.slowdown = COUNTER_SLOW
    world.clock.call_at(world.clock.now + for_ms, setattr, world.counter, "slowdown", 1.0)


def counter_gone(world, for_ms: float) -> None:
    world.counter.is_down = True
    world.clock.call_at(world.clock.now + for_ms, _counter_back, world)


def _counter_back(world) -> None:
    world.counter.clear()
    world.counter.is_down = False


FAULTS: dict[str, Fault] = {
    "zone": Fault("the last zone is lost, gateways and backends, and comes back cold", zone),
    "rack": Fault("one rack in forty falls silent in the last zone, and comes back cold", rack),
    "region": Fault("the last region is cut off from the others, with discovery and counter outside", region),
    "restart": Fault("a tenth of the gateways is killed and starts again after 2 s", restart),
    "replace": Fault("six in ten backends are replaced by cold ones", replace_backends),
    "changes": Fault("5,900 changes a day at the pace of their worst minute, one in sixty of them", changes),
    "counter-slow": Fault("each call takes the counter twenty times as long", counter_slow),
    "counter-gone": Fault("the counter is silent, and comes back empty", counter_gone),
}
