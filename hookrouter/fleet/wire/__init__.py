"""Authenticated transport between fleet members: reconnecting, bounded streams, and datagrams."""

from .streams import Peers

__all__ = ["Peers"]
