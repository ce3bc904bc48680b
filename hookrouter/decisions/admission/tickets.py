"""Tickets: a place in the order of one life of a gateway, sealed for the name that was given it.

The seal is an HMAC (RFC 2104) over gateway, life, number, turn and name. No time stands in it: what is said
of time is a wait, told beside it, so no clock is compared across machines. The turn is the place in that
life's order, which a later life, or another gateway, keeps among all that come with one.
"""

import hmac

import msgspec

from ...errors.wire import InvalidTicket

SEAL_BYTES = 16  # bytes of HMAC-SHA256: a guess costs a connection
MAX_CHARACTERS = 400  # characters: two names of 64, three numbers and the seal are below it


class Ticket(msgspec.Struct, array_like=True, forbid_unknown_fields=True, frozen=True):
    gateway: str
    incarnation: int
    number: int  # its own in that life
    turn: int  # place in that life's order
    name: str


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Ticket).decode


def derive_key(secret):
    """The key of the seal, from the secret that gateways share: not that of any other message."""
    return hmac.digest(secret, b"admission ticket", "sha256")


def write(key, ticket):
    """Text of a header field."""
    text = _encode(ticket)
    return (hmac.digest(key, text, "sha256")[:SEAL_BYTES] + text).hex()


def read(key, text, name):
    """The Ticket; InvalidTicket where it is not one of this key for that name."""
    if len(text) > MAX_CHARACTERS:
        raise InvalidTicket("longer than a ticket")
    try:
        data = bytes.fromhex(text)
    except ValueError:
        raise InvalidTicket("not a ticket's text") from None
    if not hmac.compare_digest(hmac.digest(key, data[SEAL_BYTES:], "sha256")[:SEAL_BYTES], data[:SEAL_BYTES]):
        raise InvalidTicket("another seal")
    try:
        ticket = _decode(data[SEAL_BYTES:])
    except msgspec.MsgspecError as error:
        raise InvalidTicket(f"not a ticket of this version: {error}") from None
    if ticket.name != name:
        raise InvalidTicket("another's ticket")
    return ticket
