"""Sealed slices of purges as bytes, the same wherever they are kept or sent; and which there are.

A slice is a msgpack array, compressed with zstd, and named by the BLAKE2b digest of these bytes.
"""

from hashlib import blake2b
from typing import Annotated, Literal, NamedTuple

import msgspec
import zstandard

from ..errors.wire import MalformedSlice
from .retention.archive import SliceKey, SliceState
from .retention.geometry import LEAST_LOG2_BITS, SEALED_LENGTHS

VERSION = 1
DIGEST_BYTES = 16
LEVEL = 1  # of compression: bits of a full slice cannot be compressed, those of an empty one shrink at any
MOST_BITS = 1 << 23  # bytes of a filter: a hold of 100 million purges
MOST = 1 << 53  # of any number, see wire.py
MOST_ENCODED = MOST_BITS + (1 << 16)  # bytes of a slice that is sent: a filter that does not compress

Whole = Annotated[int, msgspec.Meta(ge=0, le=MOST)]
Kind = Literal["object", "tag", "prefix"]
Digest = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{32}$")]


class Row(msgspec.Struct, array_like=True, frozen=True):
    """One slice that a follower may fetch: digest names its bytes, of which there are size."""

    kind: Kind
    span: Whole
    bound: Whole
    last: Whole
    digest: Digest
    size: Annotated[int, msgspec.Meta(ge=1, le=MOST_ENCODED)]


class Encoded(NamedTuple):
    """A slice as bytes, and the row by which a follower knows it."""

    row: Row
    body: bytes


class _Body(msgspec.Struct, array_like=True):
    version: Whole
    kind: Kind
    span: Whole
    bound: Whole
    last: Whole
    keys: Whole
    lengths: Annotated[list[Whole], msgspec.Meta(max_length=len(SEALED_LENGTHS))]
    bits: Annotated[bytes, msgspec.Meta(max_length=MOST_BITS)]


_decoder = msgspec.msgpack.Decoder(_Body)


def encode(state: SliceState) -> Encoded:
    """The slice as it stands."""
    kind, span = state.key
    text = _Body(VERSION, kind, span, state.bound, state.last, state.keys, list(state.lengths), state.bits)
    body = zstandard.ZstdCompressor(level=LEVEL).compress(msgspec.msgpack.encode(text))
    return Encoded(Row(kind, span, state.bound, state.last, digest_of(body), len(body)), body)


def digest_of(body: bytes) -> str:
    """The name of these bytes."""
    return blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def decode(body: bytes, digest: str) -> SliceState:
    """The slice of that digest; MalformedSlice where its bytes are not as encode made them."""
    if digest_of(body) != digest:
        raise MalformedSlice(f"{len(body)} bytes that are not those of slice {digest}")
    try:
        if zstandard.frame_content_size(body) > MOST_ENCODED:
            raise MalformedSlice(f"slice {digest} is larger than {MOST_ENCODED} bytes")
        text = zstandard.ZstdDecompressor().decompress(body, max_output_size=MOST_ENCODED)
        found = _decoder.decode(text)
    except (zstandard.ZstdError, msgspec.MsgspecError) as wrong:
        raise MalformedSlice(f"slice {digest} cannot be read: {wrong}") from None
    if found.version != VERSION:
        raise MalformedSlice(f"slice {digest} is of version {found.version}, this program reads {VERSION}")
    size = len(found.bits)
    if size & (size - 1) or size < 1 << (LEAST_LOG2_BITS - 3):
        raise MalformedSlice(f"slice {digest} has a filter of {size} bytes, no power of two")
    if not set(found.lengths) <= set(SEALED_LENGTHS):
        raise MalformedSlice(f"slice {digest} has prefixes of lengths that none are sealed under")
    key = SliceKey(found.kind, found.span)
    return SliceState(key, found.bound, found.last, found.keys, tuple(found.lengths), found.bits)


def decode_row(row: Row, body: bytes) -> SliceState:
    """The slice that a row stands for; MalformedSlice where the bytes are another's."""
    if len(body) != row.size:
        raise MalformedSlice(f"{len(body)} bytes of slice {row.digest}, it has {row.size}")
    state = decode(body, row.digest)
    if (state.key.kind, state.key.span, state.bound, state.last) != (row.kind, row.span, row.bound, row.last):
        raise MalformedSlice(f"slice {row.digest} is not the one of {row.kind} {row.span} that was told of")
    return state
