"""Tests of the command line of the scale test rig."""

import json

import pytest
from click.testing import CliRunner

from scale import measurements
from scale.__main__ import main


def test_the_short_form_prints_every_figure_of_the_hollow_tier(tmp_path):
    names = [series.name for series in measurements.SERIES]
    only = [argument for name in names for argument in ("--only", name)]
    file = tmp_path / "figures.json"
    result = CliRunner().invoke(main, ["figures", "--short", "--processes", "2", "--json", str(file), *only])
    assert result.exit_code == 0, result.output
    figures = json.loads(file.read_text())
    assert len(figures) == sum(len(series.values) for series in measurements.SERIES)
    for figure in figures:
        assert len(figure["points"]) >= 4 and figure["name"] in result.stdout
        assert figure["command"].startswith("python -m scale figures --only ")


def test_faults_are_compared_with_the_same_run_without_them(tmp_path):
    file = tmp_path / "faults.json"
    result = CliRunner().invoke(
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
    assert result.exit_code == 0, result.output
    zone, counter = json.loads(file.read_text())
    # The lost zone has one of the 16 gateways, whose requests are lost; the counter outage affects all of
    # them.
    assert zone["lost"] > 0 and zone["served_during"] < zone["served_before"]
    assert counter["lost"] == 0 and counter["served_before"] == zone["served_before"]
    assert counter["lower_for_s"] > 0.0


@pytest.mark.parametrize(
    "arguments, named",
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
def test_an_error_names_the_invalid_option(arguments, named):
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 2 and named in result.output
