"""When backends started, as far as clocks that may have been stepped can tell."""

import math

import pytest
from helpers import settings

from cobaltline import interface as io
from cobaltline.fleet_time import FleetTime
from cobaltline.slow_start import DISCOVERY_DELAY_MS, StartTimes
from cobaltline.tracked_backend import TrackedBackend

COLD_MS = 10000.0  # of the settings
NOW = 1_800_000_000_000.0


def dated(stamp_ms, max_age_ms, dates=None, name="b"):
    server = TrackedBackend(io.Backend(name, started_ms=stamp_ms), NOW, 0.0)
    (dates or StartTimes(settings(), FleetTime(is_known=True))).record_start(server, NOW, max_age_ms)
    return server


@pytest.mark.parametrize(
    "ago_ms,max_age_ms,age_ms",
    [
        (2000.0, DISCOVERY_DELAY_MS, 2000.0),  # told late, as discovery may
        (3_600_000.0, DISCOVERY_DELAY_MS, 0.0),  # later than it may: a clock is off
        (-3_600_000.0, DISCOVERY_DELAY_MS, 0.0),
        (30_000.0, DISCOVERY_DELAY_MS + 40_000.0, 30_000.0),  # discovery was silent meanwhile
        (3_600_000.0, math.inf, 3_600_000.0),  # on the list at the start
        (-3_600_000.0, math.inf, 0.0),
    ],
)
def test_a_stamp_is_believed_as_far_as_nothing_contradicts_it(ago_ms, max_age_ms, age_ms):
    assert dated(NOW - ago_ms, max_age_ms).started_at == NOW - age_ms


def test_a_stamp_of_nothing_is_long_ago():
    assert dated(0.0, DISCOVERY_DELAY_MS).started_at == -math.inf


def test_of_those_at_the_start_the_last_few_are_as_young_as_the_list_allows():
    dates = StartTimes(settings(), FleetTime(is_known=True))
    old, new, newest = (NOW - 7_200_000.0 - ms for ms in (3_600_000.0, 4_000.0, 0.0))
    dates.load_first_list([io.Backend(f"b{i}", started_ms=old) for i in range(5)])
    assert dated(old, math.inf, dates).started_at == old  # all alike: nothing tells which are young
    dates.load_first_list(
        [
            *(io.Backend(f"b{i}", started_ms=old) for i in range(5)),
            io.Backend("c", started_ms=new),
            io.Backend("d", started_ms=newest),
        ]
    )
    assert dated(old, math.inf, dates).started_at == old
    assert dated(new, math.inf, dates).started_at == NOW - 4_000.0
    assert dated(newest, math.inf, dates).started_at == NOW


def test_starts_are_dated_anew_when_the_fleets_time_is_known():
    time = FleetTime(is_known=False)
    dates = StartTimes(settings(), time)
    server = dated(NOW - 3_600_000.0 - 1000.0, math.inf, dates)  # our own clock is an hour ahead
    time.offset_ms, time.is_known = -3_600_000.0, True
    dates.on_offset_changed([server])
    assert server.started_at == NOW - 1000.0


def test_what_left_and_comes_back_with_its_stamp_is_no_other_process():
    dates = StartTimes(settings(), FleetTime(is_known=True))
    server = dated(NOW - 1000.0, DISCOVERY_DELAY_MS, dates)
    dates.forget([server])
    again = TrackedBackend(io.Backend("b", started_ms=NOW - 1000.0), NOW, 0.0)
    dates.record_start(again, NOW + 60_000.0, DISCOVERY_DELAY_MS)
    assert again.started_at == server.started_at
    assert dates.warm_share(again, NOW + 60_000.0) == 1.0
    dates.forget([again])
    other = TrackedBackend(io.Backend("b", started_ms=NOW - 500.0), NOW, 0.0)
    dates.record_start(other, NOW + 60_000.0, DISCOVERY_DELAY_MS)
    assert dates.warm_share(other, NOW + 60_000.0) == settings().cold_from
