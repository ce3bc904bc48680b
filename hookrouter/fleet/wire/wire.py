"""A frame among members: a seal over sender, receiver, the receiver's nonce of this stream, a number that
only rises in it, and the text. A stranger, a replayed frame, another fleet's member and a relay that swaps
frames change nothing.
"""

import hmac

import msgspec

from ...decisions.owners.protocol import Message
from ...errors.wire import MalformedFrame as Malformed
from .post import Parcel

SEAL = 32  # bytes: HMAC-SHA256 (RFC 2104)
NONCE = 16
MOST = 1_000_000  # bytes of a frame


class Frame(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    sender: str
    receiver: str
    number: int
    message: Message | Parcel


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Frame).decode


def seal(secret, nonce, text):
    return hmac.digest(secret, nonce + text, "sha256")


def write(secret, nonce, sender, receiver, number, message):
    text = encode(Frame(sender, receiver, number, message))
    return seal(secret, nonce, text) + text


def opened(decode, wanted, frame):
    """What is in a frame, or Malformed. wanted: the seal that has to stand before the text: nothing is read
    before that is found right.
    """
    if not hmac.compare_digest(wanted, frame[: len(wanted)]):
        raise Malformed("sealed with another secret, or not for this stream")
    try:
        return decode(frame[len(wanted) :])
    except msgspec.MsgspecError as wrong:
        raise Malformed(f"not a message of this version: {wrong}") from None


def read(secret, nonce, frame):
    return opened(decode, seal(secret, nonce, frame[SEAL:]), frame)
