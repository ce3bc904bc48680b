"""Caches, parents and the origin: their addresses, the connections to them, sends and probes.

Another protocol can stand in for HTTP here: it takes the same Errand and fires the same Ended.
"""

from .pool import CachePool
from .requests import CacheRequest, SendResult

__all__ = ["CachePool", "SendResult", "CacheRequest"]
