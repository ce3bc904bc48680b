"""Reads a client's messages from its bytes and checks them in the order of the stream; no I/O.

A call is unanswered from the moment its frame is read until it is answered or withdrawn. So the bound on
unanswered calls is the client's own: it does not depend on how much of what was read has been processed.
"""

from dataclasses import dataclass, field

from ..errors.wire import TooManyMessages
from ..parsers import thrift
from ..parsers.thrift import Malformed

MAX_FRAME_BYTES = 65_536  # the body of a write has at most 48,000, its fields some hundreds
MAX_UNANSWERED_CALLS = 32  # on one connection, as the protocol states
# In one turn of a connection, of messages that open no call: beyond the bound, of another method, or
# interrupts of nothing. Regular ones are some interrupts that cross the answers.
MAX_IDLE_MESSAGES = 256
# In one turn, of all, calls that are withdrawn as they are made among them. A regular client makes and
# withdraws some hundreds while the process is paused for seconds.
MAX_MESSAGES = 8_192
MAX_SHORT_FRAME_BYTES = 1_024  # of a message without a body: more of it is not kept
EXECUTE, INTERRUPT = b"execute", b"interrupt"


@dataclass(slots=True)
class Batch:
    """The messages that one read completed, up to the first that violates the protocol."""

    calls: list = field(default_factory=list)  # messages to be answered, in order
    withdrawn: list = field(default_factory=list)  # sequence numbers of calls that interrupts withdraw
    has_messages: bool = False
    violation: Malformed | None = None  # nothing that follows it can be read


class Intake:
    """The account of one client connection's messages."""

    def __init__(self):
        self.frames = thrift.Frames(MAX_FRAME_BYTES)
        self.latest_seqid = 0  # highest sequence number of a call
        self.calls_read = 0
        self.unanswered = {}  # sequence number of an execute call -> its message, None once processed
        self.excess = set()  # sequence numbers of those that were read beyond the bound
        self.messages = self.idle_messages = 0  # of the present turn, see MAX_MESSAGES, MAX_IDLE_MESSAGES

    def start_turn(self):
        """What was read before has been processed."""
        self.messages = self.idle_messages = 0

    def read(self, data):
        """Takes received bytes and returns a Batch; nothing may be read after one with a violation."""
        batch = Batch()
        try:
            for frame in self.frames.feed(data):
                self._add(thrift.Message(frame), batch)
            self.frames.feed(b"")  # raises at a bad length behind these frames
        except Malformed as error:
            batch.violation = error.with_traceback(None)  # which holds this frame, and with it the batch
            self.discard_partial()
        return batch

    def _add(self, message, batch):
        if self.messages >= MAX_MESSAGES:
            raise TooManyMessages(f"more than {MAX_MESSAGES} messages at once")
        self.messages += 1
        if message.kind == thrift.ONEWAY and message.name == INTERRUPT:
            self._withdraw(message.arguments().get(1), batch)
        else:
            self._check_call(message)
            batch.calls.append(message)
        batch.has_messages = True

    def _withdraw(self, seqid, batch):
        """Applies an interrupt; the number may be of any type, and name no call."""
        if not isinstance(seqid, int) or seqid not in self.unanswered:
            self._count_idle()
            return
        waiting = self.unanswered[seqid]
        if waiting is not None:
            waiting.drop_arguments()
        self.settle(seqid)
        batch.withdrawn.append(seqid)

    def _count_idle(self):
        """Counts a message that opens no call."""
        if self.idle_messages >= MAX_IDLE_MESSAGES:
            raise TooManyMessages(f"more than {MAX_IDLE_MESSAGES} messages at once that open no call")
        self.idle_messages += 1

    def _check_call(self, message):
        if message.kind != thrift.CALL or message.name == INTERRUPT:
            raise Malformed(f"a message of kind {message.kind}")
        if message.seqid <= self.latest_seqid:
            raise Malformed(f"sequence number {message.seqid} after {self.latest_seqid}")
        if message.name != EXECUTE:
            self._count_idle()
            if len(message.frame) > MAX_SHORT_FRAME_BYTES:
                message.drop_arguments()
        elif len(self.unanswered) >= MAX_UNANSWERED_CALLS:
            self._count_idle()
            message.drop_arguments()
            self.excess.add(message.seqid)
            self.unanswered[message.seqid] = None
        else:
            self.unanswered[message.seqid] = message
        self.latest_seqid = message.seqid
        self.calls_read += 1

    def is_withdrawn(self, message):
        """Whether a call that was read needs no answer any more."""
        return message.name == EXECUTE and message.seqid not in self.unanswered

    def release(self, message):
        """A call is processed now: its message is not kept any longer."""
        if message.seqid in self.unanswered:
            self.unanswered[message.seqid] = None

    def settle(self, seqid):
        """A call is answered or given up."""
        self.unanswered.pop(seqid, None)
        self.excess.discard(seqid)

    def partial_bytes(self):
        """Bytes of a frame that is not complete yet."""
        return len(self.frames.buffer)

    def close(self):
        """The connection ends: frees its incomplete frame and all messages."""
        self.discard_partial()
        self.unanswered.clear()
        self.excess.clear()

    def discard_partial(self):
        """Frees the bytes of an incomplete frame; nothing may be read afterwards."""
        self.frames.buffer.clear()
