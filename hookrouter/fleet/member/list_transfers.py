"""Transfers of lists in pieces: served to other members and pulled from them, over their streams."""

import msgspec
from twisted.internet.defer import Deferred, succeed

from ...decisions.sharing import protocol
from ...decisions.sharing.pulls import Lender, Puller

MAX_PULLS = 16  # concurrent

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(protocol.Streamed).decode


class ListTransfers:
    """Serves lists to other members and pulls theirs.

    send(name, data) sends one piece; providers: {topic: function that returns the list's bytes or None}.
    """

    def __init__(self, reactor, terms, clock, send, count):
        self.reactor, self.clock, self.send, self.count = reactor, clock, send, count
        self.lender, self.providers = Lender(terms), {}
        # pulls: (name, topic) -> [Puller, Deferred, timer]
        self.pulls, self.timer, self.stopped = {}, None, False

    def pull(self, name, topic, timeout):
        """Returns a Deferred of the list's bytes, or of None if it does not arrive within the timeout."""
        if self.stopped or (name, topic) in self.pulls or len(self.pulls) >= MAX_PULLS:
            return succeed(None)
        deferred = Deferred()
        self.pulls[name, topic] = [Puller(topic, self.clock(), timeout), deferred, None]
        self.count("pulls")
        self._check_pull(name, topic)
        return deferred

    def _check_pull(self, name, topic):
        if (name, topic) in self.pulls:
            puller = self.pulls[name, topic][0]
            self._advance(name, topic, puller.tick(self.clock()))

    def _advance(self, name, topic, request):
        if request is not None:
            self.send(name, encode(request))
        puller, deferred, timer = self.pulls[name, topic]
        if timer is not None and timer.active():
            timer.cancel()
        if puller.state is None:
            del self.pulls[name, topic]
            self.count("pulls_whole" if puller.result is not None else "pulls_lost")
            deferred.callback(puller.result)
        else:
            delay = max(0.001, (puller.alarm() - self.clock()) / 10_000)
            self.pulls[name, topic][2] = self.reactor.callLater(delay, self._check_pull, name, topic)

    def on_parcel(self, name, parcel):
        """Handles a request for a list, or a piece of a list pulled from that member."""
        if self.stopped:
            return
        try:
            message = decode(parcel.data)
        except msgspec.MsgspecError:
            self.count("parcels_malformed")
            return
        if isinstance(message, protocol.Pull):
            provider = self.providers.get(message.topic)
            if provider is not None:
                self._send_pieces(self.lender.request(self.clock(), name, message, provider))
        elif (name, message.topic) in self.pulls:
            puller = self.pulls[name, message.topic][0]
            self._advance(name, message.topic, puller.receive(self.clock(), message))

    def _send_pieces(self, pieces):
        for name, piece in pieces:
            self.count("pieces_lent")
            self.send(name, encode(piece))
        delay = self.lender.wait(self.clock())
        if delay is not None and self.timer is None:
            self.timer = self.reactor.callLater(delay / 10_000, self._send_due_pieces)

    def _send_due_pieces(self):
        self.timer = None
        self._send_pieces(self.lender.due_pieces(self.clock()))

    def stop(self):
        """Ends all transfers; pending pulls give None."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        for name, topic in list(self.pulls):
            _, deferred, timer = self.pulls.pop((name, topic))
            if timer is not None and timer.active():
                timer.cancel()
            deferred.callback(None)
