"""The decision modules stay within their limits on the amount of code and on line length."""

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
GATEWAY_MODULE = ROOT / "cobaltline" / "gateway.py"
MODULES_WITHOUT_LIMIT = {"cobaltline/__init__.py", "cobaltline/adapter.py", "cobaltline/interface.py"}
MAX_GATEWAY_STATEMENTS = 706
MAX_MODULE_STATEMENTS = 242  # for every other decision module


def count_statements(source: str) -> int:
    """The number of statements of a module, without docstrings and other bare constants."""
    return sum(
        isinstance(node, ast.stmt)
        and not (isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant))
        for node in ast.walk(ast.parse(source))
    )


def test_the_gateway_module_is_within_its_limits():
    source = GATEWAY_MODULE.read_text(encoding="utf-8")
    lines = source.splitlines()
    assert count_statements(source) <= MAX_GATEWAY_STATEMENTS
    assert max(len(line) for line in lines) <= 110
    assert "cobaltline/interface.py" in lines[0]


def test_the_policy_lists_every_decision_module_and_each_is_within_its_limits():
    policy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    modules = {f"cobaltline/{path.name}" for path in GATEWAY_MODULE.parent.glob("*.py")}
    assert modules - set(policy) == MODULES_WITHOUT_LIMIT
    for path in policy:
        source = (ROOT / path).read_text(encoding="utf-8")
        assert count_statements(source) <= (
            MAX_GATEWAY_STATEMENTS if path == "cobaltline/gateway.py" else MAX_MODULE_STATEMENTS
        ), path
        assert max(len(line) for line in source.splitlines()) <= 110, path
