"""All ways to keep the names of a sealed slice that are weighed beside each other."""

from math import ceil, log

from .bloom_filters import bloom, probe_rows, transposed
from .cuckoo_filters import cuckoo
from .filter_types import Way
from .fuse_filters import fuse
from .sorted_filters import build_sorted, probe_sorted, quotients


def ways(capacity: int) -> list[Way]:
    """All that are weighed, for slices of that many names."""
    bits = ceil(log(capacity, 2))
    rows = [Way("sorted 64 bits", 1 << 64 - bits, build_sorted, probe_sorted)]
    rows.append(Way("sorted 40 bits", 1 << 40 - bits, *quotients(8, "I")))
    for exponent in (8, 12, 16):
        one_in = 1 << exponent
        rows.append(Way("sorted quotients", one_in, *quotients(bits + exponent - 16, "H")))
        builder, prober = bloom(exponent, capacity)
        rows.append(Way("Bloom", one_in, builder, prober))
        rows.append(Way("Bloom, bit-sliced", one_in, builder, probe_rows(exponent), transposed))
        rows.append(Way("binary fuse", one_in, *fuse(exponent, capacity)))
        rows.append(Way("cuckoo", one_in, *cuckoo(exponent + 3, capacity)))
    return rows
