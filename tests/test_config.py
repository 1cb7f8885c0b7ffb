"""What the gateway is told at its start, and how a broken start ends."""

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
        "limits": {"sockets": 900},
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


def loaded(tmp_path, what, **environ):
    path = tmp_path / "config.json"
    path.write_text(what if isinstance(what, str) else json.dumps(what))
    return load_config({"NODE_CONFIG": str(path), **environ})


def test_everything_is_read(tmp_path):
    config = loaded(tmp_path, raw_config())
    assert config.listen == ("127.0.0.1", 7070) and config.discovery == ("127.0.0.1", 8500)
    assert config.counter == ("127.0.0.1", 6400) and config.peers_all == ("127.3.255.1", 7946)
    assert config.seed == 0x8C1F30D27A5BE964 and config.sockets == 900 and config.keepalive_ms == 60000.0
    assert config.known.addresses == {"a": ("127.0.0.9", 80)} and config.settings.plans["basic"].burst == 2.0


def test_variables_go_before_the_file(tmp_path):
    config = loaded(
        tmp_path, raw_config(), NODE_NAME="n7", NODE_LISTEN="127.0.0.4:1", NODE_DISCOVERY="127.0.0.4:2"
    )
    assert (config.name, config.listen[1], config.discovery[1]) == ("n7", 1, 2)


def test_a_counter_or_peers_that_the_settings_do_not_allow_are_left_alone(tmp_path):
    changed = settings(familyInfo={"counter": False}, policyLimits={"peerMessages": False})
    config = loaded(tmp_path, raw_config(settings=changed))
    assert config.counter is None and config.peer_listen is None


def plan(**changes):
    return raw_config(settings=settings(plans=[{"name": "free"}, {"name": "basic", **changes}]))


BROKEN = {  # what an error names, and a configuration that has it wrong
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
    "settings.plans[1].unitsPerS: 'two' is not a number": plan(unitsPerS="two"),
    "settings.plans[1].concurrency: inf is not a whole number": plan(concurrency=float("inf")),
    "settings.familyInfo.countWaitMs: '5'": raw_config(settings=settings(familyInfo={"countWaitMs": "5"})),
    "settings.policyLimits.keepaliveMs: ": raw_config(
        settings=settings(policyLimits={"keepaliveMs": "long"})
    ),
    "settings.report.columns: 5": raw_config(settings=settings(report={"columns": 5})),
    "limits: 8": raw_config(limits=8),
    "limits.sockets: 8 are too few": raw_config(limits={"sockets": 8}),
    "seed: ": raw_config(seed="xyz"),
    "known: [1]": raw_config(known=[1]),
    "known.instances: ": raw_config(known={"instances": 3}),
    "known.generation: ": raw_config(known={"generation": "new"}),
}


@pytest.mark.parametrize("told_as, what", BROKEN.items(), ids=BROKEN)
def test_a_broken_configuration_is_told_by_file_and_field(tmp_path, told_as, what):
    with pytest.raises(ConfigError) as found:
        loaded(tmp_path, what)
    assert str(found.value).startswith(f"{tmp_path / 'config.json'}: {told_as}")
    assert "\n" not in str(found.value)


@pytest.mark.parametrize(
    "what",
    [None, "{", raw_config(listen="192.0.2.1:7070")],
    ids=["none", "broken", "an address that is not here"],
)
def test_a_broken_start_ends_with_one_line_and_a_code(tmp_path, what):
    path = tmp_path / "config.json"
    if what is not None:
        path.write_text(what if isinstance(what, str) else json.dumps(what))
    done = subprocess.run(
        [sys.executable, "-m", "elderhub"],
        cwd=ROOT,
        timeout=60,
        capture_output=True,
        env={"NODE_CONFIG": str(path)},
        text=True,
    )
    assert done.returncode not in (0, -15) and done.stderr.count("\n") == 1
    assert done.stderr.startswith("elderhub: ")
