#!/usr/bin/env bash
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" && exec ../../.venv/bin/python test.py
