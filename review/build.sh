#!/usr/bin/env bash
# Checks that the stand-ins of the cases compile; they use the standard
# library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standin
