"""The shared hash of a name with caches: the same order on every router, and as control's _rank has it."""

from hashlib import blake2b


def hashed(object, part):
    """Under which an object's part is hashed."""
    return f"{object}|{part}|"


def rank(name, ids):
    """ids by their hash with that name, the top candidate first (CoBlitz, 2006, section 3)."""
    return sorted(ids, key=lambda one: blake2b((name + one).encode(), digest_size=8).digest())
