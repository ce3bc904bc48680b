"""Authenticated datagrams between members; unauthenticated, replayed and misaddressed ones are dropped.

The MAC is HMAC-SHA256 truncated to half (RFC 2104, section 5) over sender, its generation, receiver, an
increasing sequence number and the message. A window of sequence numbers rejects replays (RFC 4303, section
3.4.3).
"""

import hmac

import msgspec
from twisted.internet.protocol import DatagramProtocol

from ...decisions.view.protocol import Message
from .frames import Malformed, decode_sealed
from .post import Post

MAC_BYTES = 16
MAX_DATAGRAM_BYTES = 1_400  # fits into one Ethernet packet
REPLAY_WINDOW = 1_024  # sequence numbers below the highest that are still accepted
MAX_SENDERS = 20_000  # with remembered sequence numbers; the least recently heard one is evicted


class Frame(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """The content of a datagram after its MAC."""

    sender: str
    generation: int
    receiver: str  # "" if only the address is known
    sequence: int
    message: Message | Post


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Frame).decode


def compute_mac(secret, payload):
    """Returns the truncated MAC of a payload."""
    return hmac.digest(secret, payload, "sha256")[:MAC_BYTES]


def write(secret, *fields):
    """Encodes a datagram; fields: those of Frame."""
    payload = encode(Frame(*fields))
    return compute_mac(secret, payload) + payload


def read(secret, data):
    """Returns the verified Frame, or raises Malformed."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise Malformed(f"{len(data)} bytes, {MAX_DATAGRAM_BYTES} at most")
    return decode_sealed(decode, compute_mac(secret, data[MAC_BYTES:]), data)


class ReplayFilter:
    """Remembers the sequence numbers received from each process, to reject replays."""

    def __init__(self):
        self.rows = {}  # (sender, generation) -> (highest number, bit mask of received ones)

    def accept(self, sender, generation, sequence):
        """Returns whether the sequence number is new, and records it."""
        highest, bits = self.rows.pop((sender, generation), (0, 0))
        if sequence > highest:
            bits = (
                (bits << (sequence - highest) | 1) & ((1 << REPLAY_WINDOW) - 1)
                if sequence - highest < REPLAY_WINDOW
                else 1
            )
            highest, is_new = sequence, True
        else:
            behind = highest - sequence
            is_new = behind < REPLAY_WINDOW and not bits >> behind & 1
            bits |= is_new << behind
        self.rows[sender, generation] = highest, bits
        if len(self.rows) > MAX_SENDERS:
            del self.rows[next(iter(self.rows))]
        return is_new


class Datagrams(DatagramProtocol):
    """A datagram socket; on_message(sender, generation, address, message) gets each valid message."""

    def __init__(self, reactor, name, secret, on_message, count):
        self.reactor, self.name, self.secret, self.on_message, self.count = (
            reactor,
            name,
            secret,
            on_message,
            count,
        )
        self.replays, self.sent_count, self.port = ReplayFilter(), 0, None
        self.cut_until = 0.0  # reactor time; traffic is dropped until then, for drills

    def listen(self, host, port):
        """Raises twisted's CannotListenError if the port is taken."""
        self.port = self.reactor.listenUDP(port, self, interface=host, maxPacketSize=MAX_DATAGRAM_BYTES + 1)

    def send(self, generation, receiver, address, message):
        if self.reactor.seconds() < self.cut_until:
            return
        self.sent_count += 1
        data = write(self.secret, self.name, generation, receiver, self.sent_count, message)
        if len(data) > MAX_DATAGRAM_BYTES or self.transport is None:
            self.count("datagrams_not_sent")
            return
        try:
            self.transport.write(data, address)
            self.count("datagrams_sent")
        except OSError:  # no route or full buffer: counts as a lost datagram
            self.count("datagrams_not_sent")

    def datagramReceived(self, data, address):
        if self.reactor.seconds() < self.cut_until:
            return
        try:
            frame = read(self.secret, data)
        except Malformed:
            self.count("datagrams_refused")
            return
        if frame.receiver not in ("", self.name) or not self.replays.accept(
            frame.sender, frame.generation, frame.sequence
        ):
            self.count("datagrams_refused")
            return
        self.on_message(frame.sender, frame.generation, address, frame.message)

    def stop(self):
        if self.port is not None:
            self.port.stopListening()
