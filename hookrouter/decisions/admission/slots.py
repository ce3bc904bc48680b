"""Even slots, and the wait that is told for one: spread over its slot, and somewhat early, so that the next
is there when one ends and nobody is waited for.
"""

LEAD_SLOTS = (
    8  # slots: a comer is asked to be there that much early; ways of some gaps' length hide behind it
)
HOLD_SLOTS = (
    2 * LEAD_SLOTS
)  # slots: who comes that early is kept waiting on its connection, since a way back costs more
WAIT_FACTOR = (
    0.8  # of the span that is reckoned: it grows wrong with its length, and a comer that is told anew
)
# twice or three times costs less than a gate that has nobody to admit


def wait_for_slot(index, gap, rng, lead=LEAD_SLOTS):
    """The wait for the index-th slot from now, jittered over one slot."""
    return max(0, int((WAIT_FACTOR * index - lead + rng.random()) * gap))
