"""The listening port: accepts no more connections than there are slots, and outlasts failures of accept().

What cannot be accepted now waits in the queue of the system. The port neither ends nor spins.
"""

import errno

from twisted.internet import fdesc, tcp

from .transport import ClientTransport

RETRY_DELAY = 0.05  # seconds until a failed accept() is tried again
# By accept(2) on Linux these are errors of a connection that has failed already: the next one may be well.
CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.EPERM,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
    }
)
MAX_FAILED_CONNECTIONS = 8  # in a row; then the port pauses, too


class Listener(tcp.Port):
    """Listening port of a Front, its factory."""

    transport = ClientTransport
    paused = False  # after a failure of accept()

    def doRead(self):
        """Accepts the queued connections for which there are slots."""
        if self.factory.full():
            self.stopReading()
            return
        failed_count = 0
        for _ in range(self.factory.free()):
            try:
                accepted, address = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                failed_count += 1
                if error.errno in CONNECTION_ERRORS and failed_count < MAX_FAILED_CONNECTIONS:
                    self.factory.on_accept_failed(error, "a connection had failed before it was accepted")
                    continue
                self.factory.on_accept_failed(error, "cannot accept, clients wait in the queue")
                self._pause()
                return
            failed_count = 0
            self._connect(accepted, address)

    def _connect(self, accepted, address):
        """Creates the protocol and transport of an accepted connection."""
        fdesc._setCloseOnExec(accepted.fileno())
        protocol = self.factory.buildProtocol(self._buildAddr(address))
        number, self.sessionno = self.sessionno, self.sessionno + 1
        transport = self.transport(accepted, protocol, address, self, number, self.reactor)
        protocol.makeConnection(transport)

    def _pause(self):
        self.paused = True
        self.stopReading()
        self.factory.deadlines.after(RETRY_DELAY, self._resume)

    def _resume(self):
        self.paused = False
        if self.connected and not self.factory.full():
            self.startReading()

    def accept_queued(self):
        """Accepts the queued connections: to their clients they are connected and may carry a call.

        Returns whether the queue is empty; it is not while slots or accept() fail.
        """
        before = None
        while not self.paused and not self.factory.full() and len(self.factory.connections) != before:
            before = len(self.factory.connections)
            self.doRead()
        return not self.paused and not self.factory.full()
