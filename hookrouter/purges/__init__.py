"""Fleet-wide purges: which copies may answer, in what order purges count, and from when they are in effect.

Decisions only: events and a time go in, effects or values come out. The desk, its relays and the followers
that move the bytes are in hookrouter/desk and hookrouter/feed; what outlives a process is in
hookrouter/stores. Times are whole tenths of a millisecond.
"""

from .guard import Guard
from .types import Position, Purge, PurgeTerms

__all__ = ["Guard", "Position", "Purge", "PurgeTerms"]
