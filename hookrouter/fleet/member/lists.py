"""Lists lent to other members and pulled from them, over the streams between any two."""

import msgspec
from twisted.internet.defer import Deferred, succeed

from ...decisions.sharing import protocol
from ...decisions.sharing.pulls import Lender, Puller

MOST_PULLS = 16  # under way at once

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(protocol.Streamed).decode


class Lists:
    """send(name, data) carries a piece; makers: {topic: what gives the list's bytes, or None}."""

    def __init__(self, reactor, terms, clock, send, count):
        self.reactor, self.clock, self.send, self.count = reactor, clock, send, count
        self.lender, self.makers = Lender(terms), {}
        self.pulls, self.call, self.stopped = {}, None, False  # (name, topic) -> (Puller, Deferred, its call)

    def pull(self, name, topic, within):
        """Deferred of bytes, or of None where they did not come within that time."""
        if self.stopped or (name, topic) in self.pulls or len(self.pulls) >= MOST_PULLS:
            return succeed(None)
        done = Deferred()
        self.pulls[name, topic] = [Puller(topic, self.clock(), within), done, None]
        self.count("pulls")
        self._look(name, topic)
        return done

    def _look(self, name, topic):
        if (name, topic) in self.pulls:
            puller = self.pulls[name, topic][0]
            self._go_on(name, topic, puller.tick(self.clock()))

    def _go_on(self, name, topic, ask):
        if ask is not None:
            self.send(name, encode(ask))
        puller, done, call = self.pulls[name, topic]
        if call is not None and call.active():
            call.cancel()
        if puller.state is None:
            del self.pulls[name, topic]
            self.count("pulls_whole" if puller.result is not None else "pulls_lost")
            done.callback(puller.result)
        else:
            span = max(0.001, (puller.alarm() - self.clock()) / 10_000)
            self.pulls[name, topic][2] = self.reactor.callLater(span, self._look, name, topic)

    def heard(self, name, parcel):
        if self.stopped:
            return
        try:
            message = decode(parcel.data)
        except msgspec.MsgspecError:
            self.count("parcels_malformed")
            return
        if isinstance(message, protocol.Pull):
            make = self.makers.get(message.topic)
            if make is not None:
                self._give(self.lender.request(self.clock(), name, message, make))
        elif (name, message.topic) in self.pulls:
            puller = self.pulls[name, message.topic][0]
            self._go_on(name, message.topic, puller.receive(self.clock(), message))

    def _give(self, pieces):
        for name, piece in pieces:
            self.count("pieces_lent")
            self.send(name, encode(piece))
        wait = self.lender.wait(self.clock())
        if wait is not None and self.call is None:
            self.call = self.reactor.callLater(wait / 10_000, self._due)

    def _due(self):
        self.call = None
        self._give(self.lender.due_pieces(self.clock()))

    def stop(self):
        self.stopped = True
        if self.call is not None:
            self.call.cancel()
        for name, topic in list(self.pulls):
            _, done, call = self.pulls.pop((name, topic))
            if call is not None and call.active():
                call.cancel()
            done.callback(None)
