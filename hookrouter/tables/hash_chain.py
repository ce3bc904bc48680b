"""Seals over records: each over its own bytes and the seal before it, so one stands for all up to there."""

from hashlib import blake2b

HASH_BYTES = 16  # bytes: what is guarded against is damage and copies that differ, not a forger
INITIAL_HASH = bytes(HASH_BYTES)


def chained_hash(*parts):
    return blake2b(b"".join(parts), digest_size=HASH_BYTES).digest()
