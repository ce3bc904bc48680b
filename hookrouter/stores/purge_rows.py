"""A purge as the bytes that a store seals, and that keepers send each other."""

import struct

from ..purges.types import Purge
from ..tables.hash_chain import chained_hash

HEADER = struct.Struct(">QQQHH")


def pack(purge: Purge, key: str) -> bytes:
    """The purge and the key of its submission."""
    kind, what = purge.kind.encode(), purge.what.encode()
    packed = HEADER.pack(purge.epoch, purge.n, purge.timestamp, len(kind), len(what))
    return b"".join((packed, kind, what, key.encode()))


def unpack(body: bytes) -> tuple[Purge, str]:
    """What pack was given; ValueError or struct.error where these bytes are none of it."""
    epoch, number, timestamp, kind_bytes, what_bytes = HEADER.unpack_from(body)
    kind_end = HEADER.size + kind_bytes
    what_end = kind_end + what_bytes
    kind, what = body[HEADER.size : kind_end].decode(), body[kind_end:what_end].decode()
    return Purge(epoch, number, timestamp, kind, what), body[what_end:].decode()


def seal(previous_seal: bytes, purge: Purge, key: str) -> bytes:
    """Over this purge and, by the seal before, all before it."""
    return chained_hash(previous_seal, pack(purge, key))
