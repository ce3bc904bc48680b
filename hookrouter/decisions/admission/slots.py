"""Evenly spaced slots, and the wait that a deferred follower is told: jittered over its slot and slightly
early, so that the next follower is connected when an admission completes.
"""

# Followers return this many slots early, which hides network delays of several slots.
LEAD_SLOTS = 8
# A follower that is within this many slots waits on its connection, since another connection costs more.
HOLD_SLOTS = 2 * LEAD_SLOTS
# Part of the computed wait that is told: the estimate gets worse with its length, and telling a follower two
# or three times costs less than an idle gate.
WAIT_FACTOR = 0.8


def wait_for_slot(index, gap, rng, lead=LEAD_SLOTS):
    """Returns the wait for the index-th slot from now, jittered over one slot, in the unit of gap."""
    return max(0, int((WAIT_FACTOR * index - lead + rng.random()) * gap))
