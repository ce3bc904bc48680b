"""Follows the desk or a relay: purges in order into a Place, and a lease renewed by what was applied."""

import time
from time import CLOCK_BOOTTIME, clock_gettime_ns

from ..purges import place as place
from ..purges import wire
from ..purges.place import Place
from ..purges.types import Position
from .follower import Feed
from .renewals import Renewals
from .slices import SliceFetcher


def steady():
    """A clock that no one sets, and that goes on while the machine sleeps; tenths of a millisecond."""
    return clock_gettime_ns(CLOCK_BOOTTIME) // 100_000


class PurgeFeed(Feed):
    """desk: who is told, heard(epoch), purged(purges), whole(purges, newest), granted(asked, answered, span,
    desk), each time in tenths of a millisecond, asked by the steady clock; adopt(slice), which takes in a
    sealed slice, a Deferred where that lasts; and place(n), what may be answered for."""

    path, connection_counter = b"/v1/feed", "purge_connections"
    ended_message = "purge feed connection ended, a new one follows"

    def __init__(
        self,
        reactor,
        deadlines,
        handler,
        addresses,
        purges,
        name,
        log,
        count,
        relay=False,
        wall=time.time,
        steady=steady,
    ):
        """addresses: of which one has the desk at a time; the next is tried where one has not."""
        super().__init__(reactor, deadlines, handler, addresses[0], 0, log, count)
        self.addresses, self.hint = tuple(addresses), None
        self.place, self.name, self.relay = Place(), name, relay
        self.generation = int(wall() * 1_000)  # a later life has a later one
        self.secret, self.skew = purges["secret"], purges["skew"]
        self.renewals = Renewals(
            reactor,
            deadlines,
            addresses[0],
            self,
            self._secret_field(),
            purges["lease"],
            log,
            count,
            wall,
            steady,
        )
        self.slices = SliceFetcher(
            reactor,
            deadlines,
            self._secret_field(),
            self._address,
            self,
            self.place.catch_up,
            log,
            count,
        )
        self.pacing = None

    def pace(self):
        """With [admission]: it comes back by jitter, or when it is told to."""
        from .reconnect_pacing import ReconnectPacing

        self.pacing = ReconnectPacing(self.handler)

    def request_fields(self):
        paced = [] if self.pacing is None else self.pacing.request_fields()
        return [
            *paced,
            *self._secret_field(),
            (b"X-Position", wire.number(self.place.position).encode()),
            (b"X-Slices", wire.number(self.place.whole()).encode()),
            (b"X-Epoch", b"%d" % self.place.seen),
            (b"X-Member", self.name.encode()),
        ]

    def _secret_field(self):
        return [(b"Authorization", b"Bearer " + self.secret.value)]

    def _address(self):
        return self.host, self.port

    def start(self):
        if self.pacing is not None:
            self.pacing.on_connect()
        super().start()
        self.renewals.start()

    # ---- what comes

    def on_event(self, stream, data):
        if stream is not self.stream:
            return
        try:
            event = wire.read_event(data)
        except wire.Malformed as error:
            self.count("purges_malformed")
            self.abort(stream, f"an event that cannot be read: {error}")
            return
        if not self.place.epoch(event.epoch):
            self.log(
                "purge feed speaks for a former life of the desk, not heard",
                epoch=event.epoch,
                heard=self.place.seen,
            )
            self.abort(stream, "a former life of the desk")
            return
        self.handler.on_epoch(event.epoch)
        if event.t != "begin" and self.place.parts is None:
            if self.pacing is not None:
                self.pacing.on_admitted()
            self.place.goes_on()
            self.slices.go()
        EVENTS[event.t](self, stream, event)

    def _purges(self, stream, event):
        applied = []
        for purge in wire.purges_of(event):
            action = self.place.purge(purge)
            if action == place.APPLY:
                applied.append(purge)
            elif action == place.CUT:
                self.count("purge_gaps")
                self.abort(stream, f"purge {purge.epoch}.{purge.n} out of its place")
                break
        if applied:
            self.handler.on_purges(applied)
            self.renew_soon()

    def _begin(self, stream, event):
        self.place.begin(event.slices)

    def _end(self, stream, event):
        newest = Position(event.of, event.n)
        purges = self.place.end(newest, event.count)
        if purges is None:
            self.abort(stream, "a snapshot that is not whole")
            return
        self.log(
            "purges taken over whole",
            newest=wire.number(newest),
            purges=len(purges),
        )
        self.handler.on_snapshot(purges, newest)
        self.slices.go()

    # ---- sealed purges

    def catching_up(self):
        """Whether slices are missing."""
        return self.place.catch_up.pending

    def adopt(self, state):
        return self.handler.adopt(state)

    def caught_up(self):
        self.renew_soon()

    def list_anew(self):
        self.place.list_anew()
        if self.stream is not None:
            self.abort(self.stream, "slices have to be listed anew")

    def _heartbeat(self, stream, event):
        """The silence of the feed is over; the lease has its own calls."""

    def on_rejected(self, answer):
        """One that has not the desk says who has; believed where it is one of those that the file names."""
        if self.pacing is not None:
            self.pacing.on_rejected(answer)
        location = answer.fields.get(b"x-desk") or answer.fields.get(b"x-elsewhere") or b""
        host, _, port = location.decode("latin-1").rpartition(":")
        if port.isdecimal() and (host, int(port)) in self.addresses:
            self.hint = host, int(port)

    def on_disconnected(self, stream, why):
        self.place.broken()
        keep_address = False
        if self.pacing is not None:
            self.pause, keep_address = self.pacing.pause(self.hint is not None)
        if len(self.addresses) > 1 and not self.stopped and not keep_address:
            next_index = self.addresses.index((self.host, self.port)) + 1
            self._use_address(self.hint or self.addresses[next_index % len(self.addresses)])
            self.hint = None
        super().on_disconnected(stream, why)

    def _use_address(self, address):
        self.host, self.port = address
        self.renewals.move(address)

    # ---- the lease

    def renew_soon(self):
        """It has news: what it has applied is answered for."""
        self.renewals.soon()

    def renewal(self, leave):
        # Nothing is answered for while slices are missing.
        min_live, min_all = (
            (-1, -1) if self.catching_up() else self.handler.acknowledged(self.place.position.n)
        )
        return wire.Renew(
            self.name,
            self.generation,
            *self.place.position,
            min_live,
            min_all,
            self.place.seen,
            self.skew,
            self.relay,
            leave,
        )

    def on_grant(self, requested_at, wall, granted):
        if not self.place.epoch(granted.epoch):
            return False
        self.handler.on_grant(requested_at, wall, granted.span, granted.at)
        return True

    def move(self, addresses):
        """The desk is elsewhere now; place and lease go on."""
        self.addresses, self.hint = tuple(addresses), None
        if (self.host, self.port) not in self.addresses:
            self.renewals.move(self.addresses[0])
            super().move(self.addresses[0])

    def stop(self):
        super().stop()
        self.slices.stop()
        self.renewals.stop()

    def leave(self):
        """Says that it answers nothing any more, then stops. A Deferred that fires in any case."""
        return self.renewals.leave().addErrback(lambda _: None).addCallback(lambda _: self.stop())


EVENTS = {
    "purges": PurgeFeed._purges,
    "begin": PurgeFeed._begin,
    "end": PurgeFeed._end,
    "beat": PurgeFeed._heartbeat,
}
