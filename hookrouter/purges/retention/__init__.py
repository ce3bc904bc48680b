"""Retention of purges: what a router keeps of purges that are too many to be kept one by one.

Purges past the exact tables are sealed into slices by time. A slice answers whether a name may have been
purged in it, without false negatives, and carries one bound, the newest purge time in it. A slice is dropped
whole once its bound is older than the hold. Decisions only: no clock, file, socket or random number.
"""

from .bank import BitSlicedBloom, FilterBank
from .digests import digest_of, seed_of
from .filters import BloomFilter
from .slices import Slices

__all__ = [
    "BitSlicedBloom",
    "BloomFilter",
    "FilterBank",
    "Slices",
    "digest_of",
    "seed_of",
]
