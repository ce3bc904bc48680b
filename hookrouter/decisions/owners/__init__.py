"""Ownership of duties: each piece of the fleet's work has one owner at a time, granted by a replicated log.

A few members, the keepers, replicate the log with a variant of Raft. Nothing here does I/O: events and a time
go in, effects come out. The interface is Keeper (a server of the log), Holder (a member that owns duties
under leases), Fence (the check by which a resource rejects a former owner) and the messages in protocol.
"""

from .fence import Fence
from .holder import Holder
from .keeper import Keeper
from .protocol import Settings, Stored

__all__ = ["Fence", "Holder", "Keeper", "Settings", "Stored"]
