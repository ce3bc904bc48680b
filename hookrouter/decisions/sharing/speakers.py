"""Who tells for whom in a zone: the members of the lowest hash are its tellers, and each other member has one
of them speak for it (rendezvous hashing; Thaler and Ravishankar, 1998). So all are counted, and what is told
does not grow with the fleet. Every member can work out for how many each teller speaks: none can claim more.
"""

from heapq import nsmallest

from .board import rank

MIX = 0x9E3779B97F4A7C15  # odd, of the golden ratio (Knuth, volume 3, 6.4): bits of both hashes reach the top
MASK = (1 << 64) - 1


def tellers_of(names, keep):
    return nsmallest(keep, names, key=lambda name: (rank(name), name))


def speakers_of(names, tellers):
    """{name: who speaks for it}; a teller speaks for itself."""
    ranks = [(rank(teller), teller) for teller in tellers]
    found = dict(zip(tellers, tellers))
    for name in names:
        if name not in found:
            own = rank(name)
            found[name] = max(ranks, key=lambda row: ((row[0] ^ own) * MIX & MASK, row[1]))[1]
    return found
