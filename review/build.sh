#!/bin/sh
# Prepares the stand-ins that the scripts of the cases start: those of the project (platform/standin) and review/harness.py.
# They are Python on the libraries that the build of the deploy file puts into target/deps; nothing is downloaded.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/tornado ] || sh deploy/build.sh
python3 -m compileall -q platform review
PYTHONPATH=target/deps:platform:review PYTHONDONTWRITEBYTECODE=1 python3 -c 'import harness'
