"""Tickets: a place in the order of one incarnation of a gateway, sealed for the follower that received it.

The seal is an HMAC (RFC 2104) over gateway, incarnation, number, turn and name. A ticket contains no time,
since waits are told beside it and clocks are not compared across machines. The turn is the place in the order
of that incarnation; a later incarnation, or another gateway, keeps that order among all tickets.
"""

import hmac

import msgspec

from ...errors.wire import InvalidTicket

SEAL_BYTES = 16  # of HMAC-SHA256: each guess costs a connection
MAX_CHARACTERS = 400  # two names of 64 characters, three numbers and the seal take less


class Ticket(msgspec.Struct, array_like=True, forbid_unknown_fields=True, frozen=True):
    """The content of a ticket."""

    gateway: str
    incarnation: int
    number: int  # unique in that incarnation
    turn: int  # place in the order of that incarnation
    name: str


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Ticket).decode


def derive_key(secret):
    """Derives the key of the seal from the secret that gateways share, separate from the keys of other
    messages.
    """
    return hmac.digest(secret, b"admission ticket", "sha256")


def write(key, ticket):
    """Returns the sealed ticket as the text of a header field."""
    text = _encode(ticket)
    return (hmac.digest(key, text, "sha256")[:SEAL_BYTES] + text).hex()


def read(key, text, name):
    """Returns the Ticket; raises InvalidTicket where the text is not sealed by this key for this name."""
    if len(text) > MAX_CHARACTERS:
        raise InvalidTicket("the ticket is too long")
    try:
        data = bytes.fromhex(text)
    except ValueError:
        raise InvalidTicket("the ticket is not hexadecimal") from None
    if not hmac.compare_digest(hmac.digest(key, data[SEAL_BYTES:], "sha256")[:SEAL_BYTES], data[:SEAL_BYTES]):
        raise InvalidTicket("the seal of the ticket is invalid")
    try:
        ticket = _decode(data[SEAL_BYTES:])
    except msgspec.MsgspecError as error:
        raise InvalidTicket(f"the ticket cannot be decoded: {error}") from None
    if ticket.name != name:
        raise InvalidTicket("the ticket is for another name")
    return ticket
