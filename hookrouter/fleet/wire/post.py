"""Envelopes for what further parts of a member say to each other: a topic, and bytes that only that part
reads.

So the wire knows no part, and a part that is off costs nothing: what comes for it is counted and dropped.
"""

from typing import Annotated

import msgspec

MAX_POST_BYTES = 1_150  # bytes in a datagram: with head and seal within the 1,400 of one
MAX_PARCEL_BYTES = 131_072  # bytes in a stream's frame

Topic = Annotated[str, msgspec.Meta(min_length=1, max_length=16)]


class Post(msgspec.Struct, tag=True, array_like=True, frozen=True):
    topic: Topic
    data: Annotated[bytes, msgspec.Meta(max_length=MAX_POST_BYTES)]


class Parcel(msgspec.Struct, tag=True, array_like=True, frozen=True):
    topic: Topic
    data: Annotated[bytes, msgspec.Meta(max_length=MAX_PARCEL_BYTES)]
