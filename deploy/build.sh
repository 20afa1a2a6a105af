#!/bin/sh
# Installs pinned libraries and the workspace's own into target/deps, with their byte code: an
# instance may not be able to write it, and would compile all modules at each start.
set -eu
if ! [ target/deps/.requirements -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --target target/deps --requirement deploy/requirements.txt
    # Some packages ship files for other versions of Python, which do not compile and are not imported.
    python3 -m compileall -q -f --invalidation-mode unchecked-hash target/deps || true
    touch target/deps/.requirements
fi
rm -rf target/deps/mimosahoist
for library in core platform peers moves forward; do
    cp -R "libs/$library/src/." target/deps/
done
find target/deps/mimosahoist -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q --invalidation-mode unchecked-hash target/deps/mimosahoist
