#!/bin/sh
# Installs the packages that instances need into target/deps, and compiles
# the sources.
set -eu
cd "$(dirname "$0")/.."
stamp=target/deps.installed
# Compiled packages fit one kind of machine and one version of Python.
wanted="$(uname -m) $(python3 --version) $(cksum requirements.txt)"
if [ "$(cat $stamp 2>/dev/null || true)" != "$wanted" ]; then
    rm -rf target/deps $stamp
    python3 -m pip install -q --target target/deps -r requirements.txt
    echo "$wanted" > $stamp
fi
python3 -m compileall -q savorycross
