"""The command line of the scale rig."""

import json

import pytest
from click.testing import CliRunner

from scale import measurements
from scale.__main__ import main


def test_the_short_form_prints_every_figure_of_the_hollow_tier(tmp_path):
    names = [series.name for series in measurements.SERIES]
    only = [part for name in names for part in ("--only", name)]
    file = tmp_path / "figures.json"
    found = CliRunner().invoke(main, ["figures", "--short", "--processes", "2", "--json", str(file), *only])
    assert found.exit_code == 0, found.output
    kept = json.loads(file.read_text())
    assert len(kept) == sum(len(series.values) for series in measurements.SERIES)
    for figure in kept:
        assert len(figure["points"]) >= 4 and figure["name"] in found.stdout
        assert figure["command"].startswith("python -m scale figures --only ")


def test_each_fault_is_played_beside_the_day_without_it(tmp_path):
    file = tmp_path / "faults.json"
    found = CliRunner().invoke(
        main,
        [
            "faults",
            "--gateways",
            "16",
            "--backends",
            "16",
            "--seconds",
            "16",
            "--processes",
            "2",
            "--only",
            "zone",
            "--only",
            "counter-gone",
            "--json",
            str(file),
        ],
    )
    assert found.exit_code == 0, found.output
    zone, counter = json.loads(file.read_text())
    # A zone holds one of the 16 gateways, whose requests are lost; without the counter all are harmed.
    assert zone["lost"] > 0 and zone["served_during"] < zone["served_before"]
    assert counter["lost"] == 0 and counter["served_before"] == zone["served_before"]
    assert counter["lower_for_s"] > 0.0


@pytest.mark.parametrize(
    "line, told",
    [
        (["hollow", "--gateways", "none"], "--gateways"),
        (["hollow", "--spread", "9-3"], "--spread"),
        (["hollow", "--fault", "flood"], "--fault"),
        (["figures", "--only", "this"], "--only"),
        (["faults", "--seconds", "17", "--fault-for", "30"], "--seconds"),
        (["hollow", "--colour"], "--colour"),
        (["hollow", "--regions", "3", "--zones", "2"], "--regions"),
    ],
)
def test_a_bad_option_is_told_by_name(line, told):
    found = CliRunner().invoke(main, line)
    assert found.exit_code == 2 and told in found.output
