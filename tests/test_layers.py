"""Imports have no cycles between modules or packages, including imports for the type checker only."""

from __future__ import annotations

import ast
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

import sablewheel
from sablewheel.program.feature_file import Features, Section, Top
from sablewheel.program.feature_registry import DECLARED

ROOT = Path(sablewheel.__file__).parent
# The packages whose names differ from the names of their sections in the features file.
PACKAGES = {
    "ledger": "usage_metering",
    "recall": "result_store",
    "policy": "feature_policy",
    "affinity": "session_affinity",
}


def imports(file: Path) -> Iterator[str]:
    """Yield the modules of sablewheel that a file imports, at any place in it."""
    package = ("sablewheel", *file.relative_to(ROOT).parent.parts)
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom):
            base = list(package[: len(package) + 1 - node.level]) if node.level else []
            parts = [*base, *(node.module.split(".") if node.module else [])]
            if parts[:1] == ["sablewheel"]:
                for alias in node.names:
                    path = ROOT.joinpath(*parts[1:], alias.name)
                    is_module = path.is_dir() or path.with_suffix(".py").exists()
                    yield ".".join([*parts, alias.name] if is_module else parts)
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names if alias.name.startswith("sablewheel."))


def module_graph() -> dict[str, set[str]]:
    graph = {}
    for file in sorted(ROOT.rglob("*.py")):
        name = ".".join(["sablewheel", *file.relative_to(ROOT).with_suffix("").parts])
        graph[name.removesuffix(".__init__")] = set(imports(file))
    return graph


def package_graph(modules: dict[str, set[str]]) -> dict[str, set[str]]:
    """Return the imports between packages; a module outside of all packages counts as a package."""
    graph: dict[str, set[str]] = {}
    for name, imported in modules.items():
        package = ".".join(name.split(".")[:2])
        graph.setdefault(package, set()).update(".".join(module.split(".")[:2]) for module in imported)
        graph[package] -= {package, "sablewheel"}
    return graph


def find_cycle(graph: dict[str, set[str]]) -> list[str]:
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        return list(error.args[1])
    return []


def test_modules_and_packages_have_no_import_cycles() -> None:
    modules = module_graph()
    assert "sablewheel.serving.exchange" in modules["sablewheel.serving.idempotency_keys"]
    assert find_cycle(modules) == [] and find_cycle(package_graph(modules)) == []
    modules["sablewheel.serving.exchange"].add("sablewheel.serving.idempotency_keys")
    assert find_cycle(modules)  # the check finds an existing cycle
    modules["sablewheel.serving.exchange"].add("sablewheel.program.feature_registry")
    assert find_cycle(package_graph(modules))


def test_features_are_declared_after_those_that_they_need() -> None:
    order = [declaration.section for declaration in DECLARED]
    for name in order:
        section = next(
            candidate
            for candidate in Top.model_fields[name].annotation.__args__  # type: ignore[union-attr]
            if isinstance(candidate, type) and issubclass(candidate, Section)
        )
        assert name in Features.__dataclass_fields__
        assert all(order.index(needed) < order.index(name) for needed in section.needs)


@pytest.mark.parametrize("section", [declaration.section for declaration in DECLARED])
def test_the_package_of_a_disabled_section_is_not_imported(section: str) -> None:
    """The registry imports a feature's package only when it builds the feature; plans are plain values."""
    program = (
        "import sys, sablewheel.program.feature_registry;"
        f"sys.exit(any(name.startswith('sablewheel.{PACKAGES.get(section, section)}.') and"
        " name.split('.')[-1] not in ('plan', 'periods', 'view') for name in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", program], timeout=30).returncode == 0


def test_the_deploy_file_lists_each_module_of_the_overload_controller() -> None:
    deploy = tomllib.loads((ROOT.parent / "deploy" / "balancer.toml").read_text())
    modules = sorted(str(file.relative_to(ROOT.parent)) for file in (ROOT / "overload").rglob("*.py"))
    assert deploy["policy"] == modules


def test_nothing_of_the_program_is_imported_before_signals_are_blocked() -> None:
    """A termination signal that comes before kills the process; each import makes that moment longer."""
    program = (
        "import sys, sablewheel.__main__;"
        "loaded = {name for name in sys.modules if name.startswith('sablewheel.')};"
        "sys.exit(loaded != {'sablewheel.__main__'})"
    )
    assert subprocess.run([sys.executable, "-c", program], timeout=30).returncode == 0
