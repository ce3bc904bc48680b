"""The transport of a client connection: lets others go first, pauses early, tells what it has not sent."""

import fcntl
import sys
import termios

from twisted.internet import tcp

MAX_UNSENT_BYTES = 8_192  # in the transport of a client that reads: what is beyond it is counted as unread


class ClientTransport(tcp.Server):
    """A Twisted server transport whose buffer counts as full beyond MAX_UNSENT_BYTES."""

    def doRead(self) -> Exception | None:
        """Reads what has arrived, unless it is much and others go first: the reactor reports it again."""
        reader = self.protocol.input
        if reader.is_late() and reader.lets_others_first(self.unread_bytes()):
            return None
        return super().doRead()

    def unread_bytes(self) -> int:
        """Bytes that have arrived and were not read; 0 where the system does not tell."""
        try:
            count = fcntl.ioctl(self.fileno(), termios.FIONREAD, bytes(4))
        except OSError:
            return 0
        return int.from_bytes(count, sys.byteorder, signed=True)

    def _isSendBufferFull(self) -> bool:
        return self.unsent_bytes() > MAX_UNSENT_BYTES

    def unsent_bytes(self) -> int:
        """Bytes that were written and that the system has not taken yet."""
        return len(self.dataBuffer) - self.offset + self._tempDataLen
