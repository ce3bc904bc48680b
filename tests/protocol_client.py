"""A client that keeps the protocol and records what becomes of each of its calls, on a real socket."""

import select
import socket
import time
from itertools import count
from random import Random

from fleet import message

from hookrouter.parsers import thrift

MAX_OPEN_CALLS = 32  # of one client's connection, by the protocol
SILENT, LARGE = "9", "7"  # parts that the stand-in cache never answers, and answers with a long body


SEEDS = count(1_000_000)


class ProtocolClient:
    """Counts its own open calls: made, and neither answered nor withdrawn."""

    def __init__(self, port, seed=None, receive_buffer=None):
        """seed: of its draws and ids; None: another one for each client."""
        self.dice, self.seqid, self.frames = (
            Random(next(SEEDS) if seed is None else seed),
            0,
            thrift.Frames(10**7),
        )
        self.socket = socket.socket()
        if receive_buffer is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.connect(("127.0.0.1", port))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open_calls, self.made, self.withdrawn, self.replies = [], [], set(), {}
        self.deadlines = {}  # id of a call -> when its client stops waiting, by the monotonic clock
        self.ended = None  # None, "fin" or "reset"

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.socket.close()

    def next_call(self, part=SILENT, allow=1_000):
        """The bytes of a further call, which counts as made."""
        self.seqid += 1
        self.made.append(self.seqid)
        self.open_calls.append(self.seqid)
        assert len(self.open_calls) <= MAX_OPEN_CALLS
        ref = f"{self.dice.getrandbits(64):016x}"
        self.deadlines[ref] = time.monotonic() + allow / 1000
        return message(
            self.seqid,
            ref=ref,
            lookup=f"{self.dice.getrandbits(64):016x}",
            part=part,
            allow=str(allow),
        )

    def next_withdrawal(self, call=None):
        """The bytes of an interrupt of one of its open calls, any or the given one."""
        call = self.dice.choice(self.open_calls) if call is None else call
        self.open_calls.remove(call)
        self.withdrawn.add(call)
        self.seqid += 1
        return message(self.seqid, b"interrupt", interrupted=call)

    def send(self, data):
        """Writes bytes; an end of the connection is noted, not raised."""
        try:
            self.socket.sendall(data)
        except OSError:
            self.ended = self.ended or "reset"

    def receive(self, seconds=0.0):
        """Reads what arrives within so many seconds, or until all open calls are answered."""
        end = time.monotonic() + seconds
        while self.ended is None:
            left = max(0.0, end - time.monotonic())
            if not select.select([self.socket], [], [], left)[0]:
                return
            self._read()
            if seconds and not self.open_calls:
                return

    def _read(self):
        try:
            piece = self.socket.recv(65536)
        except OSError:
            self.ended = "reset"
            return
        if not piece:
            self.ended = "fin"
        for frame in self.frames.feed(piece):
            reply = thrift.Message(frame)
            assert reply.seqid not in self.replies, "a second answer"
            self.replies[reply.seqid] = reply.arguments()
        self.open_calls = [call for call in self.open_calls if call not in self.replies]

    def unanswered(self):
        """Calls that it made, did not withdraw and got no whole answer for."""
        return [call for call in self.made if call not in self.withdrawn and call not in self.replies]

    def outcome(self, call):
        """How a call was answered: satisfied, nacked or failed."""
        return {0: "satisfied", 1: "nacked", 2: "failed"}[next(iter(self.replies[call]))]
