"""The control feed: numbered events, each told once and in order, as lists of caches and purges.

Another protocol can stand in for server-sent events: it makes the same two calls of its desk, listed and
purged.
"""

from .events import read_known
from .follower import Feed

__all__ = ["Feed", "read_known"]
