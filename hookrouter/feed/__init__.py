"""The platform's control feed: numbered events, each delivered once and in order, with cache lists and
purges.

The interface allows another protocol than server-sent events: it calls on_cache_list and on_purge of its
handler.
"""

from .events import read_known
from .follower import Feed

__all__ = ["Feed", "read_known"]
