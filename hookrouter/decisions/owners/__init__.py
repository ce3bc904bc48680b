"""Owners: one at a time for each piece of the fleet's work, decided by a log that few keepers replicate.

Nothing here does I/O: events and a time go in, effects come out. Others use Keeper (one of the few who
decide), Holder (a member that bears duties), Fence (what a resource keeps to refuse an old owner), and the
words.
"""

from .fence import Fence
from .holder import Holder
from .keeper import Keeper
from .words import Stored, Terms

__all__ = ["Fence", "Holder", "Keeper", "Stored", "Terms"]
