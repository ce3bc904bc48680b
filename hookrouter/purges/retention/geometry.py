"""Sizes of filters by kind of purge, and names under which purges are sealed: the same in every process."""

from .. import types

SLICES = 24  # of equal length make up the hold
ROWS_PER_KEY = 16  # bits of a slice's filter for each purge, at least
PROBES = 12  # at 16 to 20 bits a key some 3 false positives in 10,000 to 1 in 10,000 for each slice
LEAST_LOG2_BITS = 10
# Of the purges in a hold for which slices are sized, one in so many may be of that kind.
SHARES = {types.OBJECT: 1, types.TAG: 4, types.PREFIX: 8}
# Lengths under which prefixes are sealed. A longer one is cut to the next of these: it concerns more names
# than were purged, never fewer, and a lookup computes so many digests at most.
SEALED_LENGTHS = (*range(25), 32, 48, 64, 96, 128, 256)


def capacity(most: int) -> int:
    """Purges for which one slice is sized. most: of one kind in a hold."""
    return max(1, -(-most // SLICES))


def log2_bits(most: int) -> int:
    """Binary logarithm of the bits of a slice's filter. most: purges of one kind in a hold."""
    return max(LEAST_LOG2_BITS, (ROWS_PER_KEY * capacity(most) - 1).bit_length())


def sealed_length(prefix: str) -> int:
    """The length under which a prefix is sealed."""
    return max(length for length in SEALED_LENGTHS if length <= len(prefix))


def sealed_name(kind: str, what: str) -> str:
    """The name whose digest stands for a purge of that kind."""
    return what[: sealed_length(what)] if kind == types.PREFIX else what
