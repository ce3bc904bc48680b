"""What outlives a process: stores that survive a kill at any moment and say so when they are damaged."""

from .purge_log import DamagedStore, PurgeLog
from .sqlite import UnusableStore

__all__ = ["DamagedStore", "PurgeLog", "UnusableStore"]
