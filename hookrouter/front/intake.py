"""Reads a client's messages from its bytes and checks them in the order of the stream; no I/O.

A call is unanswered from the moment its frame is read until it is answered or withdrawn. So the bound on
unanswered calls is the client's own: it does not depend on how much of what was read has been processed.
"""

from typing import NamedTuple

from ..parsers import thrift
from ..parsers.thrift import Malformed

MAX_FRAME_BYTES = 65_536  # the body of a write has at most 48,000, its fields some hundreds
MAX_UNANSWERED_CALLS = 32  # on one connection, as the protocol states
EXECUTE, INTERRUPT = b"execute", b"interrupt"


class Batch(NamedTuple):
    """The messages that one read completed."""

    calls: list  # messages to be answered, in order
    withdrawn: list  # sequence numbers of the calls that interrupts withdraw, in order
    has_messages: bool


class Intake:
    """The account of one client connection's messages."""

    def __init__(self):
        self.frames = thrift.Frames(MAX_FRAME_BYTES)
        self.latest_seqid = 0  # highest sequence number of a call
        self.unanswered = set()  # sequence numbers of execute calls

    def read(self, data):
        """Takes received bytes; raises Malformed if any of the completed messages violates the protocol."""
        messages = [thrift.Message(frame) for frame in self.frames.feed(data)]
        calls, withdrawn = [], []
        for message in messages:
            if message.kind == thrift.ONEWAY and message.name == INTERRUPT:
                seqid = message.arguments().get(1)
                if (
                    isinstance(seqid, int) and seqid in self.unanswered
                ):  # it may be of any type, and name no call
                    self.unanswered.remove(seqid)
                    withdrawn.append(seqid)
                continue
            self._check_call(message)
            calls.append(message)
            if message.name == EXECUTE:
                self._add_call(message.seqid)
        return Batch(calls, withdrawn, bool(messages))

    def _check_call(self, message):
        if message.kind != thrift.CALL or message.name == INTERRUPT:
            raise Malformed(f"a message of kind {message.kind}")
        if message.seqid <= self.latest_seqid:
            raise Malformed(f"sequence number {message.seqid} after {self.latest_seqid}")
        self.latest_seqid = message.seqid

    def _add_call(self, seqid):
        if len(self.unanswered) >= MAX_UNANSWERED_CALLS:
            raise Malformed(f"more than {MAX_UNANSWERED_CALLS} calls open")
        self.unanswered.add(seqid)

    def is_withdrawn(self, message):
        """Whether a call that was read needs no answer any more."""
        return message.name == EXECUTE and message.seqid not in self.unanswered

    def settle(self, seqid):
        """A call is answered or given up."""
        self.unanswered.discard(seqid)

    def partial_bytes(self):
        """Bytes of a frame that is not complete yet."""
        return len(self.frames.buffer)
