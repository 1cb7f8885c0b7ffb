"""Faults that can be injected into a simulated fleet (`scale.world.World`)."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from cobaltline import interface as io

from .backends import Health

RACK_SHARE = 0.025  # of the gateways and of the backends
RESTARTED_GATEWAYS_SHARE = 0.1
GATEWAY_DOWNTIME_MS = 2000.0  # between the end of a gateway's process and its next start
REPLACED_BACKENDS_SHARE = 0.6
DRAIN_MS = 4000.0  # time from the start of draining until a backend ends
WORST_MINUTE_SHARE = 1.0 / 60.0  # share of a day's changes that fall into its worst minute
CHANGES_PER_DAY = 5900
COUNTER_SLOWDOWN = 20.0  # factor on the duration of calls
RESTART_INTERVAL_MS = 1000.0  # backends restart in three groups, this far apart


@dataclass(frozen=True, slots=True)
class Fault:
    """A kind of fault. `inject(world, duration_ms)` starts it in a world and schedules its end."""

    about: str
    inject: Callable


def _silence(world, backends: list, gateways: list[int]) -> None:
    for backend in backends:
        world.stop_backend(backend, Health.SILENT)
    for number in gateways:
        world.kill_gateway(number)


def _restart(world, backends: list, gateways: list[int]) -> None:
    """Restarts the backends, cold and in three groups, and the gateways without their state."""
    for third in range(3):
        world.clock.call_at(
            world.clock.now + third * RESTART_INTERVAL_MS, _start_backends, world, backends[third::3]
        )
    for number in gateways:
        world.restart_gateway(number)


def _start_backends(world, backends: list) -> None:
    for backend in backends:
        backend.start()
    if backends:
        world.discovery.apply_changes([world.backend_entry(backend) for backend in backends])


def _silence_for(world, duration_ms: float, backends: list, gateways: list[int]) -> None:
    _silence(world, backends, gateways)
    world.clock.call_at(world.clock.now + duration_ms, _restart, world, backends, gateways)


def lose_zone(world, duration_ms: float) -> None:
    """Silences the last zone; its backends and gateways restart when the fault ends."""
    lost_zone = world.links.zones[-1]
    backends = [backend for backend in world.backends.values() if backend.zone == lost_zone]
    gateways = [gateway.number for gateway in world.gateways if gateway.zone == lost_zone]
    _silence_for(world, duration_ms, backends, gateways)


def lose_rack(world, duration_ms: float) -> None:
    """Silences one rack of the last zone; its backends and gateways restart when the fault ends."""
    lost_zone = world.links.zones[-1]
    backends = [backend for backend in world.backends.values() if backend.zone == lost_zone]
    gateways = [gateway.number for gateway in world.gateways if gateway.zone == lost_zone]
    _silence_for(
        world,
        duration_ms,
        backends[: max(1, round(RACK_SHARE * len(world.backends)))],
        gateways[: max(1, round(RACK_SHARE * len(world.gateways)))],
    )


def partition_region(world, duration_ms: float) -> None:
    """Cuts the last region off from the others."""
    world.links.partition(world.links.zones_in_region(world.options.regions - 1))
    world.clock.call_at(world.clock.now + duration_ms, _heal, world)


def _heal(world) -> None:
    world.links.heal()
    world.discovery.resync()


def restart_gateways(world, duration_ms: float) -> None:
    """Kills some gateways at once; they restart after GATEWAY_DOWNTIME_MS. The duration has no effect."""
    count = max(1, round(RESTARTED_GATEWAYS_SHARE * len(world.gateways)))
    for number in world.rng.sample(range(len(world.gateways)), count):
        world.kill_gateway(number)
        world.clock.call_at(world.clock.now + GATEWAY_DOWNTIME_MS, world.restart_gateway, number)


def replace_backends(world, duration_ms: float) -> None:
    """Replaces most of the backends by cold ones, evenly over the duration."""
    old = world.rng.sample(
        list(world.backends.values()), round(REPLACED_BACKENDS_SHARE * len(world.backends))
    )
    for number, backend in enumerate(old):
        world.clock.call_at(
            world.clock.now + duration_ms * number / len(old), _replace_backend, world, backend
        )


def _replace_backend(world, old) -> None:
    new = world.add_backend(len(world.backends), old.zone)
    new.start()
    world.discovery.apply_changes(
        [world.backend_entry(new), world.backend_entry(old, io.BackendState.DRAINING)]
    )
    world.clock.call_at(world.clock.now + DRAIN_MS, _remove_backend, world, old)


def _remove_backend(world, backend) -> None:
    world.stop_backend(backend, Health.DEAD)
    world.discovery.apply_changes([world.backend_entry(backend, io.BackendState.REMOVED)])


def change_weights(world, duration_ms: float) -> None:
    """Changes the weight of random backends, at the rate of the worst minute of a day."""
    count = max(1, round(CHANGES_PER_DAY * WORST_MINUTE_SHARE * duration_ms / 60_000.0))
    names = list(world.backends)
    for change in range(count):
        name, weight = world.rng.choice(names), world.rng.uniform(0.8, 1.25)
        world.clock.call_at(
            world.clock.now + duration_ms * change / count, _change_weight, world, name, weight
        )


def _change_weight(world, name: str, weight: float) -> None:
    if name in world.discovery.entries:  # another fault may have removed it
        world.discovery.apply_changes([replace(world.discovery.entries[name], weight=weight)])


def slow_down_counter(world, duration_ms: float) -> None:
    """Slows down every call of the counter service."""
    world.counter.slowdown = COUNTER_SLOWDOWN
    world.clock.call_at(world.clock.now + duration_ms, setattr, world.counter, "slowdown", 1.0)


def stop_counter(world, duration_ms: float) -> None:
    """Silences the counter service, which loses its data."""
    world.counter.is_down = True
    world.clock.call_at(world.clock.now + duration_ms, _restore_counter, world)


def _restore_counter(world) -> None:
    world.counter.clear()
    world.counter.is_down = False


FAULTS: dict[str, Fault] = {
    "zone": Fault("the last zone is lost, gateways and backends, and comes back cold", lose_zone),
    "rack": Fault("one rack in forty falls silent in the last zone, and comes back cold", lose_rack),
    "region": Fault(
        "the last region is cut off from the others, with discovery and counter outside", partition_region
    ),
    "restart": Fault("a tenth of the gateways is killed and starts again after 2 s", restart_gateways),
    "replace": Fault("six in ten backends are replaced by cold ones", replace_backends),
    "changes": Fault(
        "5,900 changes a day at the pace of their worst minute, one in sixty of them", change_weights
    ),
    "counter-slow": Fault("each call takes the counter twenty times as long", slow_down_counter),
    "counter-gone": Fault("the counter is silent, and comes back empty", stop_counter),
}
