"""The objects of a crowd: size and content follow from the id alone, for clients and caches alike."""

import math
from functools import lru_cache
from hashlib import blake2b

MEAN_KB = 200.0  # mean size of a part
SIZE_SIGMA = 1.0  # standard deviation of the logarithm of sizes
LARGEST_KB = 4_000.0  # KB
FLOW_KB_PER_S = 5_000.0  # rate of one transfer at full speed
BYTES_PER_KB = 10  # bytes sent for each KB of nominal size
GROUPS = 256
PARTS = 4  # of an object of a kind that has parts

# kind -> effect, whether it writes at the origin, whether it has parts, fresh ms, grace ms, share of lookups
KINDS = {
    "clip": ("free", False, True, 60_000, 10_000, 0.80),
    "page": ("free", False, False, 20_000, 5_000, 0.14),
    "hold": ("guarded", True, False, 0, 0, 0.03),
    "order": ("single_shot", True, False, 0, 0, 0.03),
}


@lru_cache(None)
def name(rank):
    """Returns the id, 16 hex digits, of the object of a popularity rank."""
    return blake2b(b"%d" % rank, digest_size=8).hexdigest()


def group(object_):
    """Returns the number of the object's group."""
    return int(object_[:2], 16)


@lru_cache(100_000)
def size(object_):
    """Returns the KB of each part of an object, log-normal with the mean MEAN_KB."""
    one, other = (int(half, 16) + 1 for half in (object_[:8], object_[8:]))
    normal = math.sqrt(-2 * math.log(one / 2**32 if one < 2**32 else 1)) * math.cos(math.tau * other / 2**32)
    return round(min(LARGEST_KB, MEAN_KB * math.exp(SIZE_SIGMA * normal - SIZE_SIGMA**2 / 2)), 1)


def body(kind, object_, part, created_ms):
    """Returns the bytes of a copy; created_ms: Unix ms at which the origin served it."""
    head = f"{kind} {object_} {part} {created_ms} ".encode()
    return head + b"." * max(0, int(size(object_) * BYTES_PER_KB) - len(head))


def creation_ms(kind, object_, part, data):
    """Returns the creation ms of a copy's bytes, None if they are incomplete or of another object."""
    words = data[:80].split(b" ")
    if len(words) < 5 or not words[3].isdigit():
        return None
    created_ms = int(words[3])
    return created_ms if data == body(kind, object_, part, created_ms) else None
