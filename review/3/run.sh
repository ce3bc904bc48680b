#!/bin/sh
cd "$(dirname "$0")" || exit 2
exec ../../.venv/bin/python case.py
