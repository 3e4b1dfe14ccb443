#!/bin/sh
# Builds the stand-ins of the second review. They need nothing but Python's
# standard library, so that compiling them is all.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q testbed-2 6 7 8 9
