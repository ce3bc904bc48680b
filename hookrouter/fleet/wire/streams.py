"""Authenticated streams between members. A frame without an open stream is dropped: senders retry.

Each side first sends a nonce, which the other includes in the MAC of its frames. Two keepers have one stream
in each direction; a member that does not listen is answered on the stream that it opened.
"""

import os

from twisted.internet.protocol import Factory
from twisted.protocols.basic import Int32StringReceiver

from . import frames

CONNECT_TIMEOUT = 1.0  # seconds
RECONNECT_DELAY = 0.2  # seconds between attempts to connect to one member
IDLE_TIMEOUT = 4.0  # seconds without received data until a stream is considered dead and closed
HANDSHAKE_TIMEOUT = 2.0  # seconds for the first valid frame on an incoming stream
MAX_PENDING = 64  # messages kept until the peer's nonce is known
MAX_STREAMS = 4_096
MAX_UNAUTHENTICATED = 64  # incoming streams without a valid frame yet


class Stream(Int32StringReceiver):
    """One connection to another member."""

    MAX_LENGTH = frames.MAX_FRAME_BYTES

    def __init__(self, peers, name):
        self.peers, self.name = peers, name  # name: the expected peer, None if incoming
        self.nonce, self.peer_nonce = os.urandom(frames.NONCE_BYTES), None
        self.sent_count = self.last_sequence = 0
        self.last_received_at, self.pending, self.paused = peers.reactor.seconds(), [], False

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.sendString(self.nonce)
        self.peers.on_opened(self)

    # called by the transport when its buffer is above or below the high-water mark
    def pauseProducing(self):
        self.paused = True

    def resumeProducing(self):
        self.paused = False

    def stopProducing(self):
        pass

    def lengthLimitExceeded(self, length):
        self.peers.reject(self, f"a frame of {length} bytes")

    def stringReceived(self, frame):
        self.last_received_at = self.peers.reactor.seconds()
        if self.peer_nonce is None:
            if len(frame) != frames.NONCE_BYTES:
                self.peers.reject(self, "no nonce")
                return
            self.peer_nonce = frame
            for message in self.pending:
                self.send_message(message)
            self.pending = []
            return
        try:
            received = frames.read(self.peers.secret, self.nonce, frame)
        except frames.Malformed as error:
            self.peers.reject(self, str(error))
            return
        if (
            received.sequence <= self.last_sequence
            or received.receiver != self.peers.name
            or self.name not in (None, received.sender)
        ):
            self.peers.reject(
                self, f"from {received.sender!r} for {received.receiver!r}, number {received.sequence}"
            )
            return
        self.last_sequence = received.sequence
        if self.name is None:
            self.name = received.sender
            self.peers.on_authenticated(self)
        if not self.peers.is_cut():
            self.peers.on_message(received.sender, received.message)

    def send_message(self, message):
        """Sends a message; keeps a few until the peer's nonce is known.

        Drops it while the transport's buffer is above its high-water mark: the reader hangs, and later
        messages repeat the content.
        """
        if self.peer_nonce is None:
            if len(self.pending) < MAX_PENDING:
                self.pending.append(message)
        elif not self.paused:
            self.sent_count += 1
            self.sendString(
                frames.write(
                    self.peers.secret, self.peer_nonce, self.peers.name, self.name, self.sent_count, message
                )
            )

    def connectionLost(self, reason):
        self.peers.on_closed(self)


class Peers:
    """Streams to all peers; on_message(sender, message) gets each valid frame.

    addresses: {name: (host, port)} of listening members; find_address(name): of others, or None.
    """

    def __init__(self, reactor, name, addresses, secret, on_message, log):
        self.reactor, self.name, self.addresses = reactor, name, addresses
        self.secret, self.on_message, self.log = secret, on_message, log
        # name -> stream; stream -> timer; name -> time of the last attempt
        self.streams, self.idle_timers, self.last_tried = {}, {}, {}
        self.connecting, self.port, self.stopped, self.unauthenticated = set(), None, False, 0
        self.find_address = lambda name: None
        self.cut_until = 0.0  # reactor time; traffic is dropped until then, for drills
        self.factory = Factory.forProtocol(lambda: None)
        self.factory.buildProtocol = self._incoming
        self.factory.noisy = False

    def listen(self, host, port):
        """Raises twisted's CannotListenError if the port is taken."""
        self.port = self.reactor.listenTCP(port, self.factory, backlog=256, interface=host)

    def _incoming(self, address):
        if self.unauthenticated >= MAX_UNAUTHENTICATED or len(self.idle_timers) >= MAX_STREAMS:
            return None
        self.unauthenticated += 1
        return Stream(self, None)

    def is_cut(self):
        """Whether a drill has cut this member off."""
        return self.reactor.seconds() < self.cut_until

    def send(self, receiver, message):
        if self.is_cut():
            return
        stream = self.streams.get(receiver)
        if stream is not None:
            stream.send_message(message)
        else:
            address = self.addresses.get(receiver) or self.find_address(receiver)
            if address is not None:
                self._connect(receiver, address, message)

    def _connect(self, receiver, address, message):
        now = self.reactor.seconds()
        if (
            self.stopped
            or receiver in self.connecting
            or now - self.last_tried.get(receiver, -RECONNECT_DELAY) < RECONNECT_DELAY
        ):
            return
        self.last_tried[receiver] = now
        self.connecting.add(receiver)
        from twisted.internet.endpoints import TCP4ClientEndpoint

        host, port = address
        factory = Factory.forProtocol(lambda: Stream(self, receiver))
        factory.noisy = False
        connecting = TCP4ClientEndpoint(self.reactor, host, port, CONNECT_TIMEOUT).connect(factory)
        connecting.addCallbacks(lambda stream: stream.send_message(message), lambda failure: None)
        connecting.addBoth(lambda _: self.connecting.discard(receiver))

    def on_opened(self, stream):
        """Registers a new stream and starts its idle timer."""
        if stream.name is not None:
            self.streams[stream.name] = stream
        self.idle_timers[stream] = self.reactor.callLater(
            IDLE_TIMEOUT if stream.name else HANDSHAKE_TIMEOUT, self._check_idle, stream
        )

    def on_authenticated(self, stream):
        """Registers an incoming stream after its first valid frame."""
        self.unauthenticated -= 1
        if stream.name not in self.streams:
            self.streams[stream.name] = stream

    def _check_idle(self, stream):
        if stream.name is None or self.reactor.seconds() - stream.last_received_at >= IDLE_TIMEOUT:
            self.idle_timers.pop(stream, None)
            stream.transport.abortConnection()
            return
        if self.streams.get(stream.name) is None:
            self.streams[stream.name] = stream
        self.idle_timers[stream] = self.reactor.callLater(IDLE_TIMEOUT / 2, self._check_idle, stream)

    def reject(self, stream, why):
        """Logs an invalid frame and closes its stream."""
        self.log("frame refused", why, level="warn", peer=str(stream.transport.getPeer().host))
        stream.transport.abortConnection()

    def on_closed(self, stream):
        """Removes a closed stream."""
        timer = self.idle_timers.pop(stream, None)
        if timer is not None and timer.active():
            timer.cancel()
        if stream.name is None:
            self.unauthenticated -= 1
        elif self.streams.get(stream.name) is stream:
            del self.streams[stream.name]

    def stop(self):
        self.stopped = True
        if self.port is not None:
            self.port.stopListening()
        for stream in list(self.idle_timers):
            stream.transport.abortConnection()
