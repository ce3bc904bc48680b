"""Bounds on the effect of one reporter: its share of a sum, the age of its reports, the numbers it may claim.

The capped sum is a winsorised sum (Tukey, 1962) whose caps depend on the result: S is the largest value with
S = sum of min(claim, share x S), each reporter with a share of its own. So a faulty reporter with share s
makes up s x S at most and the honest ones the rest: S <= (honest sum) / (1 - s). It raises the honest sum by
s / (1 - s) of it at most, or by the floor, whichever is more. The sum only grows with a claim, so the least
that a faulty reporter can do is to report nothing: then the sum is as if it were not there.
"""

from itertools import accumulate

SLACK = 16  # numbers that a reporter may be ahead of its time: a burst of reports after a stall


def allowed_share(max_share, part):
    """Returns the share of a sum allowed to a reporter that covers `part` of the routers covered.

    That is twice the part, or `max_share` where it is more.
    """
    return min(1.0, max(max_share, 2 * part))


def capped_sum(claims, shares, floor):
    """Returns (sum, whether a claim was capped); none counts for more than its share of it, or `floor`."""
    total = sum(claims)
    if all(claim <= max(share * total, floor) for claim, share in zip(claims, shares)):
        return total, False
    ordered = sorted(zip(claims, shares), key=lambda row: -row[0] / row[1])
    rests = [*accumulate(claim for claim, _ in reversed(ordered))][::-1]  # sum of that claim and all after it
    result, capped_shares = 0.0, 0.0  # the resulting sum; total share of the claims that are capped
    for above, ((claim, share), rest) in enumerate(zip(ordered, rests)):
        if capped_shares >= 1:  # the capped claims alone make up the sum
            last, last_share = ordered[above - 1]
            result = last / last_share
            break
        if claim <= share * rest / (1 - capped_shares):
            result = rest / (1 - capped_shares)
            break
        capped_shares += share
    return sum(min(claim, max(floor, share * result)) for claim, share in ordered), True


def age_weight(age, silent_after):
    """Returns the weight of a report: 1 for the first half of its time, then falling linearly to 0."""
    half = silent_after / 2
    return max(0.0, min(1.0, (silent_after - age) / half))


def too_far_ahead(number, before, elapsed, interval):
    """Whether a reporter cannot have reached this number in the time elapsed since the number before."""
    return number > before + SLACK + 2 * (elapsed // max(1, interval))
