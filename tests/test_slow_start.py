"""The start of a backend is estimated correctly although wall clocks may have been stepped."""

import math

import pytest
from helpers import settings

from cobaltline import interface as io
from cobaltline.fleet_time import FleetTime
from cobaltline.slow_start import DISCOVERY_DELAY_MS, StartTimes
from cobaltline.tracked_backend import TrackedBackend

COLD_MS = 10000.0
NOW_MS = 1_800_000_000_000.0


def track_backend(start_ms, max_age_ms, start_times=None, backend_id="b"):
    """Returns a backend listed for the first time at `NOW_MS`."""
    backend = TrackedBackend(io.Backend(backend_id, started_ms=start_ms), NOW_MS, 0.0)
    (start_times or StartTimes(settings(), FleetTime(is_known=True))).record_start(
        backend, NOW_MS, max_age_ms
    )
    return backend


@pytest.mark.parametrize(
    "listed_age_ms,max_age_ms,age_ms",
    [
        (2000.0, DISCOVERY_DELAY_MS, 2000.0),  # within the delay of discovery
        (3_600_000.0, DISCOVERY_DELAY_MS, 0.0),  # beyond that delay: a clock is wrong
        (-3_600_000.0, DISCOVERY_DELAY_MS, 0.0),
        (30_000.0, DISCOVERY_DELAY_MS + 40_000.0, 30_000.0),  # within an outage of discovery
        (3_600_000.0, math.inf, 3_600_000.0),  # on the first list
        (-3_600_000.0, math.inf, 0.0),
    ],
)
def test_a_listed_start_is_used_unless_it_is_contradicted(listed_age_ms, max_age_ms, age_ms):
    assert track_backend(NOW_MS - listed_age_ms, max_age_ms).started_at == NOW_MS - age_ms


def test_a_backend_without_a_listed_start_is_warm():
    assert track_backend(0.0, DISCOVERY_DELAY_MS).started_at == -math.inf


def test_a_minority_of_recent_starts_on_the_first_list_is_taken_to_be_recent():
    start_times = StartTimes(settings(), FleetTime(is_known=True))
    old_ms, new_ms, newest_ms = (NOW_MS - 7_200_000.0 - ms for ms in (3_600_000.0, 4_000.0, 0.0))
    start_times.load_first_list([io.Backend(f"b{i}", started_ms=old_ms) for i in range(5)])
    # All starts are alike, so none is known to be recent.
    assert track_backend(old_ms, math.inf, start_times).started_at == old_ms
    start_times.load_first_list(
        [
            *(io.Backend(f"b{i}", started_ms=old_ms) for i in range(5)),
            io.Backend("c", started_ms=new_ms),
            io.Backend("d", started_ms=newest_ms),
        ]
    )
    assert track_backend(old_ms, math.inf, start_times).started_at == old_ms
    assert track_backend(new_ms, math.inf, start_times).started_at == NOW_MS - 4_000.0
    assert track_backend(newest_ms, math.inf, start_times).started_at == NOW_MS


def test_starts_are_estimated_again_when_the_fleets_time_becomes_known():
    fleet_time = FleetTime(is_known=False)
    start_times = StartTimes(settings(), fleet_time)
    # The own clock is an hour ahead.
    backend = track_backend(NOW_MS - 3_600_000.0 - 1000.0, math.inf, start_times)
    fleet_time.offset_ms, fleet_time.is_known = -3_600_000.0, True
    start_times.on_offset_changed([backend])
    assert backend.started_at == NOW_MS - 1000.0


def test_a_backend_that_returns_with_the_same_start_is_the_same_process():
    start_times = StartTimes(settings(), FleetTime(is_known=True))
    backend = track_backend(NOW_MS - 1000.0, DISCOVERY_DELAY_MS, start_times)
    start_times.forget([backend])
    returned = TrackedBackend(io.Backend("b", started_ms=NOW_MS - 1000.0), NOW_MS, 0.0)
    start_times.record_start(returned, NOW_MS + 60_000.0, DISCOVERY_DELAY_MS)
    assert returned.started_at == backend.started_at
    assert start_times.warm_share(returned, NOW_MS + 60_000.0) == 1.0
    start_times.forget([returned])
    restarted = TrackedBackend(io.Backend("b", started_ms=NOW_MS - 500.0), NOW_MS, 0.0)
    start_times.record_start(restarted, NOW_MS + 60_000.0, DISCOVERY_DELAY_MS)
    assert start_times.warm_share(restarted, NOW_MS + 60_000.0) == settings().cold_from
