"""Formulas of queueing and caching theory, to validate the simulation."""

import numpy as np
from scipy.optimize import brentq


def erlang_c_wait(rate, work, cores):
    """Mean wait in M/M/c (Erlang, 1917). rate: arrivals per unit of time; work: mean service time."""
    load = rate * work
    term, total = 1.0, 1.0
    for n in range(1, cores):
        term *= load / n
        total += term
    last = term * load / cores * cores / (cores - load)
    return last / (total + last) * work / (cores - load)


def shared_stay(rate, work):
    """Mean sojourn time in M/G/1 processor sharing (Kleinrock, 1967), for any distribution of work."""
    return work / (1 - rate * work)


def che_hits(weights, slots):
    """Hit ratio of an LRU cache with so many equal slots (Che, Tung and Wang, 2002)."""
    weights = np.asarray(weights) / np.sum(weights)
    characteristic_time = brentq(
        lambda candidate: np.sum(1 - np.exp(-weights * candidate)) - slots, 1e-9, 1e12
    )
    return float(np.sum(weights * (1 - np.exp(-weights * characteristic_time))))


def zipf(count, exponent):
    """Request shares of so many objects by rank."""
    weights = np.arange(1, count + 1, dtype=float) ** -exponent
    return weights / weights.sum()
