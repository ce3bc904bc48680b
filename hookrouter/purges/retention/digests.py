"""One 128-bit digest of a purged name, the same in each process and on each machine."""

from hashlib import blake2b

DIGEST_BYTES = 16
SEPARATOR = b"\0"  # no kind of purge contains it, so (kind, name) is read in one way only


def seed_of(kind: str) -> bytes:
    """What the text of each digest of that kind of purge begins with."""
    return kind.encode() + SEPARATOR


def digest_of(seed: bytes, name: str) -> int:
    """The digest of (kind of purge, name); computed once for all slices."""
    return int.from_bytes(blake2b(seed + name.encode(), digest_size=DIGEST_BYTES).digest(), "little")
