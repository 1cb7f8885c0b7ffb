"""The decision module stays within its limits on lines and line length."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
GATEWAY_MODULE = ROOT / "cobaltline" / "gateway.py"
MODULES_WITHOUT_LIMIT = {"cobaltline/__init__.py", "cobaltline/adapter.py", "cobaltline/interface.py"}


def test_the_gateway_module_is_within_its_limits():
    lines = GATEWAY_MODULE.read_text(encoding="utf-8").splitlines()
    assert sum(1 for line in lines if line.strip()) <= 800
    assert max(len(line) for line in lines) <= 110
    assert "cobaltline/interface.py" in lines[0]


def test_the_policy_lists_every_decision_module_and_each_is_within_its_limits():
    policy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    modules = {f"cobaltline/{path.name}" for path in GATEWAY_MODULE.parent.glob("*.py")}
    assert modules - set(policy) == MODULES_WITHOUT_LIMIT
    for path in policy:
        lines = (ROOT / path).read_text(encoding="utf-8").splitlines()
        assert sum(1 for line in lines if line.strip()) <= (
            800 if path == "cobaltline/gateway.py" else 300
        ), path
        assert max(len(line) for line in lines) <= 110, path
