#!/bin/sh
# Installs pinned libraries and the workspace's own into target/deps.
set -eu
if ! [ target/deps/.requirements -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --target target/deps --requirement deploy/requirements.txt
    touch target/deps/.requirements
fi
rm -rf target/deps/mimosahoist
for library in core platform peers moves forward; do
    cp -R "libs/$library/src/." target/deps/
done
