"""A keeper, a server of the replicated log: elections, replication, membership and duty placement.

Implements Raft as in Ongaro's thesis (2014): pre-vote, check quorum, leadership transfer, new servers joining
as learners, and one membership change at a time, only after an entry of the leader's own term is committed
(Ongaro's correction of 2015). In addition, a keeper whose store has lost data, by damage or because it was
restored from an older copy, excludes itself: it accepts entries, but neither votes nor counts towards a
majority until the others have removed it from the voters and added it again.

A message that depends on durable state is not among the effects until the host has reported the write.
"""

from .core import Keeper
from .states import STORE_FAILED

__all__ = ["STORE_FAILED", "Keeper"]
