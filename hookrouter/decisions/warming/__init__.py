"""Warming, without I/O: what a cache that starts or inherits will be asked for is put there before.

What was asked is counted by each router (sketch), lent to others (lists), made into a plan for one cache by
its owner (plan), and filled in steps (steps) within what the cold cache and the sources bear (pace).
"""

from .fill_gate import FillGate
from .lender import Lender
from .lists import BorrowedLists
from .pace import Allowance, OverloadDetector, fair_share
from .planning import LocationState, make_plan
from .recent_purges import RecentPurges
from .sketch import Sketch, Summary, merge
from .steps import Warming

__all__ = (
    "Allowance",
    "BorrowedLists",
    "FillGate",
    "Lender",
    "RecentPurges",
    "LocationState",
    "Sketch",
    "OverloadDetector",
    "Summary",
    "Warming",
    "fair_share",
    "make_plan",
    "merge",
)
