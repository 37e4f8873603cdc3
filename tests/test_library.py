"""The library for a new user: the example in the documentation, invalid settings, the import rules."""

import ast
import re
import tomllib
from pathlib import Path

import pytest
from conftest import make_settings

from fennelpoint import Controller
from fennelpoint import interface as api

PAGE = Path(__file__).parent.parent / "docs/module.md"


def test_documented_example_prints_the_documented_output(capsys):
    text = PAGE.read_text()
    (example,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    exec(compile(ast.parse(example), "module.md", "exec"), {})
    printed = capsys.readouterr().out.splitlines()
    (expected,) = re.findall(r"second line printed is `(.*)`", text)
    assert printed[1] == expected


READ = api.RequestClass("read", aim=1.0, deadline=4.0, worth=1.0, effect=api.Effect.SAFE)


@pytest.mark.parametrize("changes, says", [
    (dict(classes=[]), "classes"),
    (dict(plans=[]), "plans"),
    (dict(ingresses=0), "ingresses"),
    (dict(max_attempts=0), "max_attempts"),
    (dict(tick=float("nan")), "tick"),
    (dict(cold_share=-0.1), "cold_share"),
    (dict(classes=[READ, api.RequestClass("slow", 5.0, 4.0, 1.0, api.Effect.SAFE)]), r"classes\[1\].aim"),
    (dict(plans=[api.Plan("basic", price=1.0, rate=-1.0)]), r"plans\[0\].rate"),
    (dict(plans=[api.Plan("basic", price=float("inf"))]), r"plans\[0\].price"),
])
def test_invalid_settings_are_rejected_with_the_name_of_the_field(changes, says):
    with pytest.raises(ValueError, match=says):
        make_settings(**changes)


def test_instances_are_independent_and_deterministic():
    def run(control: Controller) -> list:
        entries = [api.BackendEntry(f"b{i}", api.BackendState.READY) for i in range(30)]
        out = control.start(0.0) + control.handle(api.Roster(api.RosterKind.FULL, 1, entries), 0.0)
        for i in range(50):
            ask = api.Request(i, 0, 0, i % 5, 4.0, 1.0, 2.0, 0.0)
            out += control.handle(ask, 0.1 * i)
        return out

    one, two = (Controller(make_settings(), seed=3, now=0.0) for _ in range(2))
    assert run(one) == run(two)
    assert run(Controller(make_settings(), seed=4, now=0.0)) != run(one)


def test_no_import_goes_upward_or_in_a_cycle():
    """The decision module does not import the network code, and no two modules import each other."""
    package = Path(__file__).parent.parent / "fennelpoint"
    imports = {path.relative_to(package).with_suffix("").as_posix().replace("/", "."):
             set(re.findall(r"^from fennelpoint\.([\w.]+) import", path.read_text(), re.M))
             for path in package.rglob("*.py")}
    cycles = [(a, b) for a, known in imports.items() for b in known if a in imports.get(b, ())]
    assert not cycles
    policy = tomllib.loads((package.parent / "deploy/balancer.toml").read_text())["policy"]
    pure = [name for name in imports if f"fennelpoint/{name}.py" in policy or name.startswith("cells.")]
    assert len(pure) > 10
    assert [(n, m) for n in pure for m in imports[n] if m.startswith("net.")] == []
