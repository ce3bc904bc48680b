"""How much one teller moves: its share of a sum, its age, the numbers it may claim.

The cut is a winsorised sum (Tukey, 1962) whose bounds are set by the sum that comes out: S is the largest
with S = sum of min(claim, share x S), each teller under a share of its own. So one liar of share s has s x S
at most, and the honest the rest: S <= (what they said) / (1 - s), and it raises their sum by s / (1 - s) of
it at most, or by the floor, whichever is more. The sum only grows with a claim, so the least that a liar can
do is to say nothing: then the sum is as if it were not there.
"""

from itertools import accumulate

SLACK = 16  # numbers that a teller may be ahead of its time: a burst of sayings after it stood still


def share_of(share, part):
    """Of a sum, for one who speaks for that part of those who told: twice the part, where that is more."""
    return min(1.0, max(share, 2 * part))


def cut(claims, shares, floor):
    """(sum, whether a claim was cut): none counts for more than its share of the sum, or floor."""
    total = sum(claims)
    if all(claim <= max(share * total, floor) for claim, share in zip(claims, shares)):
        return total, False
    ordered = sorted(zip(claims, shares), key=lambda row: -row[0] / row[1])
    rests = [*accumulate(claim for claim, _ in reversed(ordered))][::-1]  # that claim and all after it
    whole, taken = 0.0, 0.0  # the sum that comes out; shares of those that are cut
    for above, ((claim, share), rest) in enumerate(zip(ordered, rests)):
        if taken >= 1:  # they make it up between them
            last, least = ordered[above - 1]
            whole = last / least
            break
        if claim <= share * rest / (1 - taken):
            whole = rest / (1 - taken)
            break
        taken += share
    return sum(min(claim, max(floor, share * whole)) for claim, share in ordered), True


def fade(age, silent_after):
    """Weight of news: whole for the first half of its time, then falling to none without a step."""
    half = silent_after / 2
    return max(0.0, min(1.0, (silent_after - age) / half))


def too_far(number, before, span, every):
    """Whether a number is ahead of what a teller can have said in that span since the one before."""
    return number > before + SLACK + 2 * (span // max(1, every))
