"""The shared hash of a name with caches: it orders candidates alike on every router, and as Control does."""

from hashlib import blake2b


def hash_key(object, part):
    """Returns the hash key of a part of an object."""
    return f"{object}|{part}|"


def rank(name, ids):
    """Returns ids by their hash with that name, the top candidate first (CoBlitz, 2006, section 3)."""
    return sorted(ids, key=lambda cache: blake2b((name + cache).encode(), digest_size=8).digest())
