"""Digests of members, and which of two records of one process supersedes the other."""

from hashlib import blake2b

from msgspec.structs import replace

from .. import protocol


def member_digest(member):
    """Returns a member's contribution to the digest of a view; XOR combines them.

    Dead members and those that left contribute nothing, since views forget them at different times.
    """
    if member.state >= protocol.DEAD:
        return 0
    text = f"{member.name}|{member.life}|{member.incarnation}|{member.state}".encode()
    return int.from_bytes(blake2b(text, digest_size=6).digest(), "big")


def bucket(key):
    """Returns the index of the bucket of digests that the member of this key belongs to."""
    return blake2b(f"{key[0]}|{key[1]}".encode(), digest_size=1).digest()[0] % protocol.BUCKETS


def supersedes(new, old):
    """Whether the first of two records of one process replaces the second."""
    return (new.incarnation, new.state) > (old.incarnation, old.state)


def with_state(member, state, accuser):
    """Returns a copy of the record in another state, as reported by `accuser`."""
    return replace(member, state=state, accuser=accuser)
