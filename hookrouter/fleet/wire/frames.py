"""A frame among members: a seal over sender, receiver, the receiver's nonce of this stream, a number that
only rises in it, and the text. A stranger, a replayed frame, another fleet's member and a relay that swaps
frames change nothing.
"""

import hmac

import msgspec

from ...decisions.owners.protocol import Message
from ...errors.wire import MalformedFrame as Malformed
from .post import Parcel

MAC_BYTES = 32  # bytes: HMAC-SHA256 (RFC 2104)
NONCE_BYTES = 16
MAX_FRAME_BYTES = 1_000_000  # bytes of a frame


class Frame(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    sender: str
    receiver: str
    sequence: int
    message: Message | Parcel


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Frame).decode


def compute_mac(secret, nonce, payload):
    return hmac.digest(secret, nonce + payload, "sha256")


def write(secret, nonce, sender, receiver, sequence, message):
    payload = encode(Frame(sender, receiver, sequence, message))
    return compute_mac(secret, nonce, payload) + payload


def decode_sealed(decode, expected_mac, frame):
    """What is in a frame, or Malformed. wanted: the seal that has to stand before the text: nothing is read
    before that is found right.
    """
    if not hmac.compare_digest(expected_mac, frame[: len(expected_mac)]):
        raise Malformed("sealed with another secret, or not for this stream")
    try:
        return decode(frame[len(expected_mac) :])
    except msgspec.MsgspecError as error:
        raise Malformed(f"not a message of this version: {error}") from None


def read(secret, nonce, frame):
    return decode_sealed(decode, compute_mac(secret, nonce, frame[MAC_BYTES:]), frame)
