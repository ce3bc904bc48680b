"""Which members report for which in a zone.

The members of the lowest hash are the zone's reporters, and each other member is assigned to one of them
(rendezvous hashing; Thaler and Ravishankar, 1998). So all members are counted, and the traffic does not grow
with the fleet. Every member can compute how many members each reporter covers, so none can claim more.
"""

from heapq import nsmallest

from .load_table import rank

# Odd, from the golden ratio (Knuth, volume 3, 6.4): bits of both hashes reach the top.
MIX = 0x9E3779B97F4A7C15
MASK = (1 << 64) - 1


def choose_reporters(names, count):
    """Returns the `count` names that report for all."""
    return nsmallest(count, names, key=lambda name: (rank(name), name))


def assign_reporters(names, reporters):
    """Returns {name: its reporter}; a reporter reports for itself."""
    ranks = [(rank(reporter), reporter) for reporter in reporters]
    assigned = dict(zip(reporters, reporters))
    for name in names:
        if name not in assigned:
            own = rank(name)
            assigned[name] = max(ranks, key=lambda row: ((row[0] ^ own) * MIX & MASK, row[1]))[1]
    return assigned
