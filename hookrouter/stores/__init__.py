"""Durable stores: they survive a kill at any moment and detect corruption."""

from .purge_log import DamagedStore, PurgeLog
from .sqlite import UnusableStore

__all__ = ["DamagedStore", "PurgeLog", "UnusableStore"]
