"""Sums of a view, and which of two rows of one process holds."""

from hashlib import blake2b

from msgspec.structs import replace

from .. import words as w


def mark(row):
    """A row's share in the sum of a view: what two views have to agree on. Not of who is gone: they are
    forgotten at different times.
    """
    if row.state >= w.DEAD:
        return 0
    text = f"{row.name}|{row.life}|{row.incarnation}|{row.state}".encode()
    return int.from_bytes(blake2b(text, digest_size=6).digest(), "big")


def bucket(key):
    return blake2b(f"{key[0]}|{key[1]}".encode(), digest_size=1).digest()[0] % w.BUCKETS


def holds(new, old):
    """Whether of two rows of one process the new one holds."""
    return (new.incarnation, new.state) > (old.incarnation, old.state)


def stated(row, state, by):
    return replace(row, state=state, by=by)
