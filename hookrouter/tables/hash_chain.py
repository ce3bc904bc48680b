"""Hash chain over records: each hash covers a record's bytes and the previous hash, so one hash identifies
all records up to its own.
"""

from hashlib import blake2b

HASH_BYTES = 16  # enough against damage and diverging copies; it does not protect against a forger
INITIAL_HASH = bytes(HASH_BYTES)


def chained_hash(*parts):
    """The hash of the concatenated parts, the previous hash among them."""
    return blake2b(b"".join(parts), digest_size=HASH_BYTES).digest()
