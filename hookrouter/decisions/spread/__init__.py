"""Spreads load evenly by what routers tell each other: estimates of the others' load on each cache, leased
shares of the capacity of cold caches, and coordinated probing of caches that were set aside. No I/O.
"""

from .messages import SpreadTerms
from .spread import Spread, spread_terms

__all__ = ["Spread", "SpreadTerms", "spread_terms"]
