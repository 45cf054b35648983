#!/bin/sh
# Builds what the cases 6 to 10 start, after the build of deploy/balancer.toml. The stand-ins are Python and need
# no build. Case 8 needs nothing more; cases 6, 7, 9 and 10 need the packages of the extra `tools`, which README
# names for servers with a features file and for the collector. Where they can't be installed, those exit with 2.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first"; exit 1; }
needed="import pydantic, ruamel.yaml, google.protobuf, click, structlog"
.venv/bin/python -c "$needed" 2>/dev/null || .venv/bin/pip -q install -e '.[tools]' \
  || echo "packages of the extra 'tools' could not be installed: cases 6, 7, 9 and 10 will exit with 2"
.venv/bin/python -m compileall -q review/shared2 review/6 review/7 review/8 review/9 review/10
