"""The search finds what breaks a rule, makes it small, and tells how to play it again."""

import pytest

import emulator
from elderhub import backends
from emulator import Fault, Options
from emulator.search import format_trace, replay_expression, search

FLEET = Options(gateways=2, backends=2, seconds=3.0)


def test_what_breaks_a_rule_is_found_made_small_and_played_again(monkeypatch):
    # a late second answer is taken for the next request's
    monkeypatch.setattr(backends, "REUSE_DELAY_S", 0.0)
    said = []
    found = search(FLEET, 2, 600.0, ("second", "slow", "connect-late"), said.append)
    assert found.rule == "served with what no backend made for it" and said
    assert [fault.kind for fault in found.options.faults] == ["second"]
    assert found.options.seconds <= found.drawn_options.seconds and found.options.leave == 0.0
    played = eval(
        replay_expression(found.options), {"emulator": emulator, "Options": Options, "Fault": Fault}
    )
    assert played.digest == found.record.digest and found.rule in played.broken
    told = format_trace(played, found.rule)
    assert "client sends it to gateway" in told and "client gets 200" in told


def test_a_search_that_finds_nothing_ends_when_its_time_is_up():
    assert search(FLEET, 1, 0.1, ("slow",)) is None


def test_an_unknown_kind_of_fault_is_told_before_anything_is_played():
    with pytest.raises(ValueError, match="^kind: 'storm' is none of "):
        search(FLEET, 1, 600.0, ("slow", "storm"))
