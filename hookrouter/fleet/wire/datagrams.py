"""Datagrams between members, each sealed: a stranger's, another fleet's, one that was sent before, or one for
another member changes nothing.

The seal is HMAC-SHA256 cut to half (RFC 2104, section 5) over sender, its life, receiver, a number that rises
and the message; a window over the numbers seen refuses what comes again (RFC 4303, section 3.4.3).
"""

import hmac

import msgspec
from twisted.internet.protocol import DatagramProtocol

from ...decisions.view.protocol import Message
from .post import Post
from .wire import Malformed, opened

SEAL = 16  # bytes
MOST = 1_400  # bytes of a datagram: within one packet of an Ethernet
WINDOW = 1_024  # numbers behind the highest that may come late
MOST_SENDERS = 20_000  # whose numbers are kept; beyond them the one heard longest ago goes


class Frame(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    sender: str
    life: int
    receiver: str  # "" where only an address is known
    number: int
    message: Message | Post


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Frame).decode


def seal(secret, text):
    return hmac.digest(secret, text, "sha256")[:SEAL]


def write(secret, *fields):
    text = encode(Frame(*fields))
    return seal(secret, text) + text


def read(secret, data):
    """Frame, or Malformed."""
    if len(data) > MOST:
        raise Malformed(f"{len(data)} bytes, {MOST} at most")
    return opened(decode, seal(secret, data[SEAL:]), data)


class Seen:
    """Numbers that came of each process, so that none counts twice."""

    def __init__(self):
        self.rows = {}  # (sender, life) -> (highest, bits of those behind it)

    def new(self, sender, life, number):
        highest, bits = self.rows.pop((sender, life), (0, 0))
        if number > highest:
            bits = (bits << (number - highest) | 1) & ((1 << WINDOW) - 1) if number - highest < WINDOW else 1
            highest, fresh = number, True
        else:
            behind = highest - number
            fresh = behind < WINDOW and not bits >> behind & 1
            bits |= fresh << behind
        self.rows[sender, life] = highest, bits
        if len(self.rows) > MOST_SENDERS:
            del self.rows[next(iter(self.rows))]
        return fresh


class Datagrams(DatagramProtocol):
    """heard(sender, life, address, message) is called for each sound one."""

    def __init__(self, reactor, name, secret, heard, count):
        self.reactor, self.name, self.secret, self.heard, self.count = reactor, name, secret, heard, count
        self.seen, self.sent, self.port = Seen(), 0, None
        self.cut_until = 0.0  # of the reactor's clock: a rehearsal

    def listen(self, host, port):
        """twisted's CannotListenError where it is taken."""
        self.port = self.reactor.listenUDP(port, self, interface=host, maxPacketSize=MOST + 1)

    def send(self, life, receiver, address, message):
        if self.reactor.seconds() < self.cut_until:
            return
        self.sent += 1
        data = write(self.secret, self.name, life, receiver, self.sent, message)
        if len(data) > MOST or self.transport is None:
            self.count("datagrams_not_sent")
            return
        try:
            self.transport.write(data, address)
            self.count("datagrams_sent")
        except OSError:  # no way there, or its buffer is full: as a datagram that was lost
            self.count("datagrams_not_sent")

    def datagramReceived(self, data, address):
        if self.reactor.seconds() < self.cut_until:
            return
        try:
            frame = read(self.secret, data)
        except Malformed:
            self.count("datagrams_refused")
            return
        if frame.receiver not in ("", self.name) or not self.seen.new(frame.sender, frame.life, frame.number):
            self.count("datagrams_refused")
            return
        self.heard(frame.sender, frame.life, address, frame.message)

    def stop(self):
        if self.port is not None:
            self.port.stopListening()
