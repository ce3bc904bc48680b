"""One of the few who decide: elections, the log, commit, who keeps; and, while it leads, who owns which duty.

After Raft as Ongaro's thesis has it (2014): pre-vote, check of the majority, transfer, learners first, one
change of keepers at a time and only after an entry of the leader's own term (his correction of 2015). Beyond
it: a store that has forgotten something, by damage or because it was put back from an older copy, sets its
keeper *aside*: it takes entries and neither votes nor counts until the others have struck it from the voters
and taken it in again.

Nothing that must be on disk first leaves before the host has said that it is: it is not among the effects
until then.
"""

from .core import Keeper
from .states import BROKEN

__all__ = ["BROKEN", "Keeper"]
