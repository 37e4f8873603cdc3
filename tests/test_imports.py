"""Which modules import one another: parts know no ingress, and nothing imports itself by a detour."""

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import fennelpoint

ROOT = Path(fennelpoint.__file__).parent


def graph() -> dict[str, set[str]]:
    """Every module with those that it names in an import, type checking included."""
    files = {".".join(("fennelpoint", *p.relative_to(ROOT).with_suffix("").parts)).removesuffix(".__init__"): p
             for p in ROOT.rglob("*.py")}
    out = {}
    for name, path in files.items():
        named = {f"{node.module}.{alias.name}" for node in ast.walk(ast.parse(path.read_text()))
                 if isinstance(node, ast.ImportFrom) and node.module for alias in node.names}
        named |= {one.rpartition(".")[0] for one in named}
        # A package's own page lists what it offers: that is no detour.
        out[name] = {one for one in named if one in files and one != "fennelpoint"} - {name}
    return out


def test_no_module_imports_itself_by_a_detour():
    try:
        TopologicalSorter(graph()).prepare()
    except CycleError as error:
        raise AssertionError(" -> ".join(error.args[1])) from None


def test_parts_and_network_know_neither_the_ingress_nor_each_other():
    named = graph()
    for name in named:
        if name.startswith("fennelpoint.net.") or name in ("fennelpoint.component", "fennelpoint.components"):
            assert "fennelpoint.__main__" not in named[name], name
    assert "fennelpoint.components" not in named["fennelpoint.net.controller_host"] | named["fennelpoint.component"]
    assert not any(one.startswith("fennelpoint.cells") for one in named["fennelpoint.net.controller_host"])
