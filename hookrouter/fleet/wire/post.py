"""Envelopes for messages between parts of members: a topic, and bytes that only that part decodes.

The transport needs no knowledge of the parts; messages for a part that is off are counted and dropped.
"""

from typing import Annotated

import msgspec

MAX_POST_BYTES = 1_150  # data of a datagram: with header and MAC it stays below 1,400 bytes
MAX_PARCEL_BYTES = 131_072  # data of a frame in a stream

Topic = Annotated[str, msgspec.Meta(min_length=1, max_length=16)]


class Post(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """A message of a part, sent as a datagram."""

    topic: Topic
    data: Annotated[bytes, msgspec.Meta(max_length=MAX_POST_BYTES)]


class Parcel(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """A message of a part, sent over a stream."""

    topic: Topic
    data: Annotated[bytes, msgspec.Meta(max_length=MAX_PARCEL_BYTES)]
