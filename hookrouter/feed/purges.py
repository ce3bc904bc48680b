"""Follows the desk or a relay: applies purges in order, and renews a lease by what was applied."""

from ..clock import steady, unix_seconds
from ..purges import place as place
from ..purges import wire
from ..purges.place import Place
from ..purges.types import Position
from .follower import Feed
from .renewals import Renewals
from .slices import SliceFetcher


class PurgeFeed(Feed):
    """Follower of the fleet-wide purges.

    handler: gets on_epoch(epoch), on_purges(purges), on_snapshot(purges, newest), on_grant(requested_at,
    wall, span, desk_wall) with times in tenths of a millisecond and requested_at by the steady clock, and
    adopt(slice), which merges a sealed slice and may return a Deferred; it is asked acknowledged(n) for the
    positions to acknowledge, and a relay's relied_on() when it leaves: whether routers below may answer yet.
    """

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
        wall=unix_seconds,
        steady=steady,
    ):
        """addresses: only one of them has the desk at a time; the next one is tried if it is not there."""
        super().__init__(reactor, deadlines, handler, addresses[0], 0, log, count)
        self.addresses, self.hint = tuple(addresses), None
        self.place, self.name, self.relay = Place(), name, relay
        self.generation = int(wall() * 1_000)  # higher after each restart
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

    def on_caught_up(self, stream):
        """Leases say how far this feed has been heard."""

    def pace(self):
        """Enables [admission]: reconnects by jitter, or when the server says so."""
        from .reconnect_pacing import ReconnectPacing

        self.pacing = ReconnectPacing(self.handler)

    def request_fields(self):
        """Header fields of the request: identity, position, slices, epoch, and the pacing's fields."""
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
        """Opens a connection and begins to renew the lease."""
        if self.pacing is not None:
            self.pacing.on_connect()
        super().start()
        self.renewals.start()

    # ---- events

    def on_event(self, stream, data):
        """Handles an event; invalid ones and those of a lower epoch end the connection."""
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
            self.abort(stream, "an event of a lower epoch")
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

    # ---- sealed slices

    def catching_up(self):
        """Whether slices are missing."""
        return self.place.catch_up.pending

    def adopt(self, state):
        """Passes a fetched slice to the handler."""
        return self.handler.adopt(state)

    def caught_up(self):
        """All slices are applied: acknowledges them."""
        self.renew_soon()

    def list_anew(self):
        """Requests another snapshot, as listed slices cannot be fetched."""
        self.place.list_anew()
        if self.stream is not None:
            self.abort(self.stream, "slices have to be listed anew")

    def _heartbeat(self, stream, event):
        """Nothing to do: it ends the silence of the feed, and the lease has calls of its own."""

    def on_rejected(self, answer):
        """A server without the desk names the one with it; used if it is a configured address."""
        if self.pacing is not None:
            self.pacing.on_rejected(answer)
        location = answer.fields.get(b"x-desk") or answer.fields.get(b"x-elsewhere") or b""
        host, _, port = location.decode("latin-1").rpartition(":")
        if port.isdecimal() and (host, int(port)) in self.addresses:
            self.hint = host, int(port)

    def on_disconnected(self, stream, reason):
        """Chooses the next address and the pause before it is tried."""
        self.place.broken()
        keep_address = False
        if self.pacing is not None:
            self.pause, keep_address = self.pacing.pause(self.hint is not None)
        if len(self.addresses) > 1 and not self.stopped and not keep_address:
            next_index = self.addresses.index((self.host, self.port)) + 1
            self._use_address(self.hint or self.addresses[next_index % len(self.addresses)])
            self.hint = None
        super().on_disconnected(stream, reason)

    def _use_address(self, address):
        self.host, self.port = address
        self.renewals.move(address)

    # ---- the lease

    def renew_soon(self):
        """Renews the lease soon, to acknowledge what was applied."""
        self.renewals.soon()

    def renewal(self, leave):
        """The renewal request to send now. leave: the follower stops answering."""
        # Nothing is acknowledged while slices are missing.
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
            # A relay that leaves with nobody below it is as a router that leaves.
            self.relay and (not leave or self.handler.relied_on()),
            leave,
        )

    def on_grant(self, requested_at, wall, granted):
        """A renewal was answered; False if the answer has a lower epoch and is ignored."""
        if not self.place.epoch(granted.epoch):
            return False
        self.handler.on_grant(requested_at, wall, granted.span, granted.at)
        return True

    def move(self, addresses):
        """Follows the desk at other addresses; position and lease stay."""
        self.addresses, self.hint = tuple(addresses), None
        if (self.host, self.port) not in self.addresses:
            self.renewals.move(self.addresses[0])
            super().move(self.addresses[0])

    def stop(self):
        """Closes all connections."""
        super().stop()
        self.slices.stop()
        self.renewals.stop()

    def leave(self):
        """Tells the desk that this follower stops answering, then stops; the Deferred never fails."""
        return self.renewals.leave().addErrback(lambda _: None).addCallback(lambda _: self.stop())


EVENTS = {
    "purges": PurgeFeed._purges,
    "begin": PurgeFeed._begin,
    "end": PurgeFeed._end,
    "beat": PurgeFeed._heartbeat,
}
