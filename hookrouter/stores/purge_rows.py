"""The encoding of a purge that stores hash, and that keepers send each other."""

import struct

from ..purges.types import Purge
from ..tables.hash_chain import chained_hash

HEADER = struct.Struct(">QQQHH")


def pack(purge: Purge, key: str) -> bytes:
    """Encodes a purge and the key of its submission."""
    kind, what = purge.kind.encode(), purge.what.encode()
    packed = HEADER.pack(purge.epoch, purge.n, purge.timestamp, len(kind), len(what))
    return b"".join((packed, kind, what, key.encode()))


def unpack(body: bytes) -> tuple[Purge, str]:
    """Decodes the result of pack; raises ValueError or struct.error."""
    epoch, number, timestamp, kind_bytes, what_bytes = HEADER.unpack_from(body)
    kind_end = HEADER.size + kind_bytes
    what_end = kind_end + what_bytes
    kind, what = body[HEADER.size : kind_end].decode(), body[kind_end:what_end].decode()
    return Purge(epoch, number, timestamp, kind, what), body[what_end:].decode()


def purge_hash(previous_hash: bytes, purge: Purge, key: str) -> bytes:
    """Returns the chained hash of a purge. previous_hash: that of the purge before it."""
    return chained_hash(previous_hash, pack(purge, key))
