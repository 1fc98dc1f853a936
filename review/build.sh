#!/bin/sh
# Builds the stand-ins of the cases; run it after the build of deploy/system.toml.
# They are Python modules that need only the libraries in target/deps.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/aiohttp ] || {
    echo "target/deps is missing: run the build of deploy/system.toml first" >&2
    exit 2
}
python3 -m compileall -q review
PYTHONPATH=target/deps:review python3 -c "import small_site"
