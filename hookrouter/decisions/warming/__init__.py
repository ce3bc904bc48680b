"""Warming of caches that start or take over names: what they will be asked for is filled in advance. No I/O.

Each router counts its lookups (sketch) and lends its popularity list to others (lists). The owner of a
warming makes a plan for one cache from borrowed lists (planning) and fills it in steps (steps), within the
limits of the cold cache and of the sources (pace).
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
