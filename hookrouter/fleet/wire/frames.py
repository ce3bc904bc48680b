"""Frames between members: a MAC over the receiver's nonce of the stream and the payload, which names sender,
receiver and an increasing sequence number.

Frames of strangers and other fleets are rejected, as are replayed and reordered ones.
"""

import hmac

import msgspec

from ...decisions.owners.protocol import Message
from ...errors.wire import MalformedFrame as Malformed
from .post import Parcel

MAC_BYTES = 32  # HMAC-SHA256 (RFC 2104)
NONCE_BYTES = 16
MAX_FRAME_BYTES = 1_000_000  # bytes of a frame


class Frame(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """The payload of a frame after its MAC."""

    sender: str
    receiver: str
    sequence: int
    message: Message | Parcel


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Frame).decode


def compute_mac(secret, nonce, payload):
    """Returns the MAC of a payload sent on the stream with this nonce."""
    return hmac.digest(secret, nonce + payload, "sha256")


def write(secret, nonce, sender, receiver, sequence, message):
    """Encodes a frame; nonce: the receiver's."""
    payload = encode(Frame(sender, receiver, sequence, message))
    return compute_mac(secret, nonce, payload) + payload


def decode_sealed(decode, expected_mac, frame):
    """Verifies the MAC in front of the payload, then decodes it; raises Malformed."""
    if not hmac.compare_digest(expected_mac, frame[: len(expected_mac)]):
        raise Malformed("sealed with another secret, or not for this stream")
    try:
        return decode(frame[len(expected_mac) :])
    except msgspec.MsgspecError as error:
        raise Malformed(f"not a message of this version: {error}") from None


def read(secret, nonce, frame):
    """Decodes a frame; nonce: this side's own. Raises Malformed."""
    return decode_sealed(decode, compute_mac(secret, nonce, frame[MAC_BYTES:]), frame)
