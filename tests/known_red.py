"""KNOWN-RED.txt: tests that are red for a real fault, one line each: test | cause | issue.

CI passes over just these, and prints them; one that passes again has to leave the list.
"""

import re
from pathlib import Path
from typing import NamedTuple

NAME = "KNOWN-RED.txt"
MOST = 3  # lines: they are mended first next time, and more could not be


class Red(NamedTuple):
    test: str  # file::function, its parameters in [] where only these are red
    cause: str
    issue: str

    def matches(self, nodeid):
        return nodeid == self.test or ("[" not in self.test and nodeid.startswith(self.test + "["))


class Wrong(ValueError):
    """What is wrong with the list, and what to do."""


def read(root):
    """The lines of the list in that folder; Wrong where one too many, unclear, or of no test there is."""
    path = Path(root) / NAME
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    reds = [parse(line) for line in lines if line.strip()]
    if len(reds) > MOST:
        raise Wrong(f"{NAME}: {len(reds)} lines, {MOST} at most; mend the others")
    for red in reds:
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
        raise Wrong(f"{NAME}: 'file::test | cause | issue' is wanted, not {line!r}")
    return Red(*parts)
