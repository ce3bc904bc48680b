"""KNOWN-RED.txt: tests that fail because of a known fault, one line each.

A line is `file::test | command, seed, what was seen | issue`.

CI expects only these to fail and prints them; a test that passes again must be removed from the list.
"""

import re
from pathlib import Path
from typing import NamedTuple

NAME = "KNOWN-RED.txt"


class Red(NamedTuple):
    """A test that is expected to fail."""

    test: str  # file::function, with its parameters in [] if only these fail
    cause: str
    issue: str

    def matches(self, nodeid):
        return nodeid == self.test or ("[" not in self.test and nodeid.startswith(self.test + "["))


class Wrong(ValueError):
    """An error in the list, with what to do about it."""


def read(root):
    """Reads the list in that folder; raises Wrong for a test listed twice, a malformed line or an unknown test."""
    path = Path(root) / NAME
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    reds = [parse(line) for line in lines if line.strip()]
    for position, red in enumerate(reds):
        if any(red.matches(other.test) for other in reds[:position] + reds[position + 1 :]):
            raise Wrong(f"{NAME}: {red.test} stands twice; take one line off")
        file, _, name = red.test.partition("::")
        source = Path(root) / file
        function = re.escape(name.partition("[")[0])
        if not (
            source.is_file() and re.search(rf"^def {function}\(", source.read_text(encoding="utf-8"), re.M)
        ):
            raise Wrong(f"{NAME}: there is no test {red.test}; take its line off")
    return reds


def parse(line):
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != 3 or not all(parts) or "::test_" not in parts[0]:
        raise Wrong(f"{NAME}: 'file::test | command, seed, what was seen | issue' is wanted, not {line!r}")
    return Red(*parts)
