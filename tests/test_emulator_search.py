"""The search finds a run that breaks a rule, reduces it and prints how to repeat it."""

import pytest

import emulator
from elderhub import backends
from emulator import Fault, Options
from emulator.search import format_trace, replay_expression, search

FLEET = Options(gateways=2, backends=2, seconds=3.0)


def test_a_violation_is_found_reduced_and_repeated(monkeypatch):
    # Without the delay before reuse, a late duplicate answer is taken for the next request's answer.
    monkeypatch.setattr(backends, "REUSE_DELAY_S", 0.0)
    progress_lines = []
    found = search(FLEET, 2, 600.0, ("second", "slow", "connect-late"), progress_lines.append)
    assert found.rule == "served with what no backend made for it" and progress_lines
    assert [fault.kind for fault in found.options.faults] == ["second"]
    assert found.options.seconds <= found.drawn_options.seconds and found.options.leave == 0.0
    record = eval(
        replay_expression(found.options), {"emulator": emulator, "Options": Options, "Fault": Fault}
    )
    assert record.digest == found.record.digest and found.rule in record.broken
    trace = format_trace(record, found.rule)
    assert "client sends it to gateway" in trace and "client gets 200" in trace


def test_a_search_that_finds_nothing_ends_when_its_time_is_up():
    assert search(FLEET, 1, 0.1, ("slow",)) is None


def test_an_unknown_kind_of_fault_is_reported_before_any_run():
    with pytest.raises(ValueError, match="^kind: 'storm' is none of "):
        search(FLEET, 1, 600.0, ("slow", "storm"))
