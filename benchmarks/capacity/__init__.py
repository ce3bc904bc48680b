"""The capacity page: docs/CAPACITY.md worked out from measured slopes, and checked against them.

The figures come from docs/results/scale.json (slopes over the number of routers), docs/results/state.json
(bytes and times of the program's own tables) and the typed assumptions in this package. The page is a
template whose marked blocks are filled; no figure in a block is typed by hand.
"""

from .command import run

__all__ = ["run"]
