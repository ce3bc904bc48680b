"""Even slots, and the wait that is told for one: spread over its slot, and somewhat early, so that the next
is there when one ends and nobody is waited for.
"""

LEAD = 8  # slots: a comer is asked to be there that much early; ways of some gaps' length hide behind it
NEAR = 2 * LEAD  # slots: who comes that early is kept waiting on its connection, since a way back costs more
SHORT = 0.8  # of the span that is reckoned: it grows wrong with its length, and a comer that is told anew
# twice or three times costs less than a gate that has nobody to admit


def told(index, gap, dice, lead=LEAD):
    """The wait for the index-th slot from now, jittered over one slot."""
    return max(0, int((SHORT * index - lead + dice.random()) * gap))
