"""The configuration of the gateway, and how a failed start ends."""

import json
import subprocess
import sys

import pytest
from world import ROOT, settings

from elderhub.config import ConfigError, load_config


def raw_config(**changes):
    return {
        "name": "n0",
        "listen": "127.0.0.1:7070",
        "discovery": "127.0.0.1:8500",
        "counter": "127.0.0.1:6400",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 900, "memory_mb": 80},
        "peer_listen": "127.0.0.1:7946",
        "peers": ["127.0.0.1:7946", "127.0.0.2:7946"],
        "peers_all": "127.3.255.1:7946",
        "settings": settings(),
        "known": {
            "generation": 4,
            "instances": [{"instanceId": "a", "hostPort": "127.0.0.9:80", "lifecycle": "Ready"}],
        },
        **changes,
    }


def load(tmp_path, raw, **environ):
    path = tmp_path / "config.json"
    path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
    return load_config({"NODE_CONFIG": str(path), **environ})


def test_every_field_is_read(tmp_path):
    config = load(tmp_path, raw_config())
    assert config.listen == ("127.0.0.1", 7070) and config.discovery == ("127.0.0.1", 8500)
    assert config.counter == ("127.0.0.1", 6400) and config.peers_all == ("127.3.255.1", 7946)
    assert (
        config.seed == 0x8C1F30D27A5BE964
        and (config.sockets, config.memory_mb) == (900, 80.0)
        and config.keepalive_ms == 60000.0
    )
    assert config.known.addresses == {"a": ("127.0.0.9", 80)} and config.settings.plans["basic"].burst == 2.0


def test_environment_variables_take_precedence_over_the_file(tmp_path):
    config = load(
        tmp_path, raw_config(), NODE_NAME="n7", NODE_LISTEN="127.0.0.4:1", NODE_DISCOVERY="127.0.0.4:2"
    )
    assert (config.name, config.listen[1], config.discovery[1]) == ("n7", 1, 2)


def test_a_counter_or_peers_that_the_settings_do_not_allow_are_ignored(tmp_path):
    changed = settings(familyInfo={"counter": False}, policyLimits={"peerMessages": False})
    config = load(tmp_path, raw_config(settings=changed))
    assert config.counter is None and config.peer_listen is None


def with_plan(**changes):
    return raw_config(settings=settings(plans=[{"name": "free"}, {"name": "basic", **changes}]))


INVALID = {  # the start of the error message, and the configuration that causes it
    "Expecting property name": "{",
    "not an object": "[]",
    "listen: '7070'": raw_config(listen="7070"),
    "listen: 'a:b'": raw_config(listen="a:b"),
    "discovery: None": raw_config(discovery=None),
    "peers: ": raw_config(peers=7),
    "counter: none is named": raw_config(counter=None),
    "peers[1]: 'x'": raw_config(peers=["127.0.0.1:1", "x"]),
    "settings: ": raw_config(settings=[1]),
    "settings.classes: 7": raw_config(settings={"classes": 7}),
    "settings.classes[0].name: None": raw_config(settings={"classes": [{"worth": 1}]}),
    "settings.classes[0].idempotency: ['safe']": raw_config(
        settings={"classes": [{"name": "a", "idempotency": ["safe"]}]}
    ),
    "settings.plans[1].unitsPerS: 'two' is not a number": with_plan(unitsPerS="two"),
    "settings.plans[1].concurrency: inf is not a whole number": with_plan(concurrency=float("inf")),
    "settings.familyInfo.countWaitMs: '5'": raw_config(settings=settings(familyInfo={"countWaitMs": "5"})),
    "settings.policyLimits.keepaliveMs: ": raw_config(
        settings=settings(policyLimits={"keepaliveMs": "long"})
    ),
    "settings.report.columns: 5": raw_config(settings=settings(report={"columns": 5})),
    "limits: 8": raw_config(limits=8),
    "limits.sockets: 8 are too few": raw_config(limits={"sockets": 8}),
    "limits.memory_mb: could not convert": raw_config(limits={"memory_mb": "much"}),
    "limits.memory_mb: -1 MB": raw_config(limits={"memory_mb": -1}),
    "limits.memory_mb: nan MB": raw_config(limits={"memory_mb": float("nan")}),
    "seed: ": raw_config(seed="xyz"),
    "known: [1]": raw_config(known=[1]),
    "known.instances: ": raw_config(known={"instances": 3}),
    "known.generation: ": raw_config(known={"generation": "new"}),
}


@pytest.mark.parametrize("message, raw", INVALID.items(), ids=INVALID)
def test_an_invalid_configuration_is_reported_by_file_and_field(tmp_path, message, raw):
    with pytest.raises(ConfigError) as error:
        load(tmp_path, raw)
    assert str(error.value).startswith(f"{tmp_path / 'config.json'}: {message}")
    assert "\n" not in str(error.value)


@pytest.mark.parametrize(
    "raw",
    [None, "{", raw_config(listen="192.0.2.1:7070")],
    ids=["none", "broken", "an address that is not here"],
)
def test_a_failed_start_prints_one_line_and_exits_with_an_error(tmp_path, raw):
    path = tmp_path / "config.json"
    if raw is not None:
        path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
    process = subprocess.run(
        [sys.executable, "-m", "elderhub"],
        cwd=ROOT,
        timeout=60,
        capture_output=True,
        env={"NODE_CONFIG": str(path)},
        text=True,
    )
    assert process.returncode not in (0, -15) and process.stderr.count("\n") == 1
    assert process.stderr.startswith("elderhub: ")
