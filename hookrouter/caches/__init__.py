"""Caches, parents and the origin: their addresses, connections, sends and probes.

The interface allows another protocol than HTTP: it takes a CacheRequest and fires with a SendResult.
"""

from .pool import CachePool
from .requests import CacheRequest, SendResult

__all__ = ["CachePool", "SendResult", "CacheRequest"]
