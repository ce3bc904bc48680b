"""Warming, without I/O: what a cache that starts or inherits will be asked for is put there before.

What was asked is counted by each router (sketch), lent to others (lists), made into a plan for one cache by
its owner (plan), and filled in steps (steps) within what the cold cache and the sources bear (pace).
"""

from .doors import Doors
from .lender import Lender
from .lists import Borrowed
from .pace import Allowance, Strain, fair
from .plan import Scene, make
from .purged import Purged
from .sketch import Sketch, Summary, merge
from .steps import Warming

__all__ = (
    "Allowance",
    "Borrowed",
    "Doors",
    "Lender",
    "Purged",
    "Scene",
    "Sketch",
    "Strain",
    "Summary",
    "Warming",
    "fair",
    "make",
    "merge",
)
