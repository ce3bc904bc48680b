"""The mistakes that tests seed on purpose, for the benchmarks that count which are found."""

import sys
from importlib import import_module
from pathlib import Path


def mistakes(name):
    """MISTAKES of that module of the tests."""
    sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))
    return import_module(name).MISTAKES
