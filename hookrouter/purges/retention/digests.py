"""One 128-bit digest of a purged name, the same in each process and on each machine."""

from hashlib import blake2b

DIGEST_BYTES = 16
SEPARATOR = "\0"  # no kind of purge contains it, so (kind, name) is read in one way only


def digest_of(kind: str, name: str) -> int:
    """The digest of (kind of purge, name); computed once for all slices."""
    text = f"{kind}{SEPARATOR}{name}".encode("utf-8", "surrogatepass")
    return int.from_bytes(blake2b(text, digest_size=DIGEST_BYTES).digest(), "little")
