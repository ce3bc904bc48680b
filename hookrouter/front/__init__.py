"""Client connections in framed Thrift; each call is answered once, in any order.

The interface allows another protocol: it passes LookupRequests to the callbacks on_lookup, on_client_gone and
ready of its handler, and provides satisfied, unchanged, nacked, failed and read_pending.
"""

from .connections import Front
from .listener import Listener

__all__ = ["Front", "Listener"]
