"""Follows the desk or a relay: purges in order into a Place, and a lease renewed by what was applied."""

import time
from time import CLOCK_BOOTTIME, clock_gettime_ns

from ..purges import place as p
from ..purges import wire
from ..purges.place import Place
from ..purges.types import Position
from ..terms import SECOND
from .caller import Caller
from .follower import Feed
from .slices import SliceFetcher

RENEWALS = 4  # in one lease: three may be lost
CALL_WITHIN = 1.0  # seconds, and never longer than from one renewal to the next two
# Seconds until the next try where there was no lease: noting a name, or catching up, is quick.
DENIED_PAUSE = 0.05
LEAST_PAUSE = 0.002  # seconds between renewals: what comes in one burst is answered for at once


def steady():
    """A clock that no one sets, and that goes on while the machine sleeps; tenths of a millisecond."""
    return clock_gettime_ns(CLOCK_BOOTTIME) // 100_000


class PurgeFeed(Feed):
    """desk: who is told, heard(epoch), purged(purges), whole(purges, newest), granted(asked, answered, span,
    desk), each time in tenths of a millisecond, asked by the steady clock; adopt(slice), which takes in a
    sealed slice, a Deferred where that lasts; and place(n), what may be answered for."""

    path, counted = b"/v1/feed", "purge_connections"
    ended = "purge feed connection ended, a new one follows"

    def __init__(
        self,
        reactor,
        deadlines,
        desk,
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
        super().__init__(reactor, deadlines, desk, addresses[0], 0, log, count)
        self.addresses, self.hint = tuple(addresses), None
        self.place, self.name, self.relay = Place(), name, relay
        self.wall, self.steady = wall, steady
        self.generation = int(wall() * 1_000)  # a later life has a later one
        self.secret, self.skew = purges["secret"], purges["skew"]
        self.every = purges["lease"] / SECOND / RENEWALS
        self.caller = Caller(reactor, deadlines, addresses[0])
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
        self.again, self.timer, self.leaving = False, None, False
        self.pacing = None

    def pace(self):
        """With [admission]: it comes back by jitter, or when it is told to."""
        from .paced import Pacing

        self.pacing = Pacing(self.desk)

    def fields(self):
        paced = [] if self.pacing is None else self.pacing.fields()
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
            self.pacing.go()
        super().start()
        if self.timer is None and not self.stopped:
            self._renew_later(0)

    # ---- what comes

    def came(self, stream, data):
        if stream is not self.stream:
            return
        try:
            event = wire.read_event(data)
        except wire.Malformed as wrong:
            self.count("purges_malformed")
            self.end(stream, f"an event that cannot be read: {wrong}")
            return
        if not self.place.epoch(event.epoch):
            self.log(
                "purge feed speaks for a former life of the desk, not heard",
                epoch=event.epoch,
                heard=self.place.seen,
            )
            self.end(stream, "a former life of the desk")
            return
        self.desk.heard(event.epoch)
        if event.t != "begin" and self.place.parts is None:
            if self.pacing is not None:
                self.pacing.came()
            self.place.goes_on()
            self.slices.go()
        EVENTS[event.t](self, stream, event)

    def _purges(self, stream, event):
        applied = []
        for purge in wire.purges_of(event):
            done = self.place.purge(purge)
            if done == p.APPLY:
                applied.append(purge)
            elif done == p.CUT:
                self.count("purge_gaps")
                self.end(stream, f"purge {purge.epoch}.{purge.n} out of its place")
                break
        if applied:
            self.desk.purged(applied)
            self.renew_soon()

    def _begin(self, stream, event):
        self.place.begin(event.slices)

    def _end(self, stream, event):
        newest = Position(event.of, event.n)
        purges = self.place.end(newest, event.count)
        if purges is None:
            self.end(stream, "a snapshot that is not whole")
            return
        self.log(
            "purges taken over whole",
            newest=wire.number(newest),
            purges=len(purges),
        )
        self.desk.whole(purges, newest)
        self.slices.go()

    # ---- sealed purges

    def catching_up(self):
        """Whether slices are missing."""
        return self.place.catch_up.pending

    def adopt(self, state):
        return self.desk.adopt(state)

    def caught_up(self):
        self.renew_soon()

    def list_anew(self):
        self.place.list_anew()
        if self.stream is not None:
            self.end(self.stream, "slices have to be listed anew")

    def _beat(self, stream, event):
        """The silence of the feed is over; the lease has its own calls."""

    def refused(self, answer):
        """One that has not the desk says who has; believed where it is one of those that the file names."""
        if self.pacing is not None:
            self.pacing.told(answer)
        there = answer.fields.get(b"x-desk") or answer.fields.get(b"x-elsewhere") or b""
        host, _, port = there.decode("latin-1").rpartition(":")
        if port.isdecimal() and (host, int(port)) in self.addresses:
            self.hint = host, int(port)

    def went_down(self, stream, why):
        self.place.broken()
        stays = False
        if self.pacing is not None:
            self.pause, stays = self.pacing.pause(self.hint is not None)
        if len(self.addresses) > 1 and not self.stopped and not stays:
            after = self.addresses.index((self.host, self.port)) + 1
            self._turn(self.hint or self.addresses[after % len(self.addresses)])
            self.hint = None
        super().went_down(stream, why)

    def _turn(self, address):
        self.host, self.port = address
        self.caller.stop()
        self.caller = Caller(self.reactor, self.deadlines, address)

    # ---- the lease

    def renew_soon(self):
        """Once the call that is out has ended, or a moment from now."""
        if self.caller.busy():
            self.again = True
        elif not self.stopped and not self.leaving:
            self._renew_later(LEAST_PAUSE)

    def _renew_later(self, seconds):
        if self.timer is not None and not self.deadlines.sooner(self.timer, seconds):
            return
        self.deadlines.drop(self.timer)
        self.timer = self.deadlines.after(seconds, self._renew)

    def _renew(self):
        self.timer = None
        if self.caller.busy() or self.stopped:
            return
        self.again = False
        asked, wall = self.steady(), int(self.wall() * SECOND)
        call = self._call(False)
        call.addCallbacks(self._renewed, self._not_renewed, callbackArgs=(asked, wall))
        call.addErrback(lambda failure: self.log("renewal failed", failure.getTraceback(), level="error"))
        call.addCallback(self._call_ended)
        self._renew_later(self.every)

    def _call(self, leave):
        # Nothing is answered for while slices are missing.
        least, every = (-1, -1) if self.catching_up() else self.desk.place(self.place.position.n)
        body = wire.write(
            wire.Renew(
                self.name,
                self.generation,
                *self.place.position,
                least,
                every,
                self.place.seen,
                self.skew,
                self.relay,
                leave,
            )
        )
        fields = self._secret_field()
        return self.caller.start(b"POST", b"/v1/renew", fields, body, min(CALL_WITHIN, 2 * self.every))

    def _renewed(self, answer, asked, wall):
        status, body = answer
        if status == 503:  # not the desk any more, or not yet
            self.count("renewals_failed")
            return
        if status != 200:
            self.log("renewal of the lease refused", f"status {status}", level="error")
            self.count("renewals_refused")
            return
        granted = wire.read_granted(body)
        if not self.place.epoch(granted.epoch):
            self.count("renewals_refused")
            return
        self.desk.granted(asked, wall, granted.span, granted.at)
        if self.again or not granted.span:
            self._renew_later(LEAST_PAUSE if self.again else DENIED_PAUSE)

    def _not_renewed(self, failure):
        self.count("renewals_failed")

    def _call_ended(self, _):
        """A renewal that came due while the last one was out follows at once."""
        if self.timer is None and not self.stopped and not self.leaving:
            self._renew_later(LEAST_PAUSE)

    def move(self, addresses):
        """The desk is elsewhere now; place and lease go on."""
        self.addresses, self.hint = tuple(addresses), None
        if (self.host, self.port) not in self.addresses:
            address = self.addresses[0]
            self.caller.stop()
            self.caller = Caller(self.reactor, self.deadlines, address)
            super().move(address)

    def stop(self):
        super().stop()
        self.slices.stop()
        self.deadlines.drop(self.timer)
        self.caller.stop()

    def leave(self):
        """Says that it answers nothing any more, then stops. A Deferred that fires in any case."""
        self.leaving = True
        self.deadlines.drop(self.timer)
        self.caller.stop()
        return self._call(True).addErrback(lambda _: None).addCallback(lambda _: self.stop())


EVENTS = {
    "purges": PurgeFeed._purges,
    "begin": PurgeFeed._begin,
    "end": PurgeFeed._end,
    "beat": PurgeFeed._beat,
}
