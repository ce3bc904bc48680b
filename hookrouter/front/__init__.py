"""Client connections in framed Thrift: calls in, each answered once, in any order.

Another protocol can stand in for this one: it hands the same Asked to the same three calls of its desk,
taken, left and ready, and answers to the same five, satisfied, unchanged, nacked, failed and catch_up.
"""

from .connections import Front, Listener

__all__ = ["Front", "Listener"]
