#!/bin/sh
# Installs what the cases need beside the build of the deploy file: the pinned packages of the project's own extras
# `features`, `ledger` and `tools` (README), without those that no case uses. All stand-ins are plain Python.
cd "$(dirname "$0")/.." || exit 1
python=.venv/bin/python
[ -x "$python" ] || { echo "no .venv: run the build of the deploy file first"; exit 1; }
"$python" -c 'import greenlet, pydantic, ruamel.yaml, google.protobuf, tzdata, click, structlog' 2>/dev/null && exit 0
packages=$("$python" - <<'END'
import tomllib

with open("pyproject.toml", "rb") as file:
    extras = tomllib.load(file)["project"]["optional-dependencies"]
unused = ("sablewheel", "psutil", "rich")
names = [name for extra in ("features", "ledger", "tools") for name in extras[extra]]
print(" ".join(name for name in names if not name.startswith(unused)))
END
) || exit 1
"$python" -m pip -q install $packages
