"""What theory says of the stations, to check the model against something other than itself."""

import numpy as np
from scipy.optimize import brentq


def erlang_c_wait(rate, work, cores):
    """Mean wait in M/M/c (Erlang, 1917): rate of arrivals a unit, mean work in units."""
    load = rate * work
    term, total = 1.0, 1.0
    for n in range(1, cores):
        term *= load / n
        total += term
    last = term * load / cores * cores / (cores - load)
    return last / (total + last) * work / (cores - load)


def shared_stay(rate, work):
    """Mean stay in M/G/1 processor sharing (Kleinrock, 1967), whatever the shape of the work."""
    return work / (1 - rate * work)


def che_hits(weights, slots):
    """Share of hits of a least-recently-used cache of so many equal slots (Che, Tung and Wang, 2002)."""
    weights = np.asarray(weights) / np.sum(weights)
    time = brentq(lambda t: np.sum(1 - np.exp(-weights * t)) - slots, 1e-9, 1e12)
    return float(np.sum(weights * (1 - np.exp(-weights * time))))


def zipf(count, exponent):
    """Shares of so many objects by rank."""
    weights = np.arange(1, count + 1, dtype=float) ** -exponent
    return weights / weights.sum()
