#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start beside the project's own programs: stand-ins in Python, which
# need nothing beyond the interpreter of the environment that the deploy file's `build` makes.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/rig2
