"""One follower's connection to a desk or relay: the order from its place on, no faster than it reads."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.web.server import Request

from ..purges import wire
from ..purges.tail import Snapshot

if TYPE_CHECKING:
    from .publisher import Publisher

READ_TIMEOUT = 5.0  # seconds that a follower may leave what was written unread; then it is cut, and resumes
EVENTS_PER_TURN = 8  # events written to one follower before the others get their turn
ADMISSION_READ_TIMEOUT = (
    0.02  # seconds that one who is being admitted may not read, until the next one's turn
)


class Stream:
    """One follower's connection: a push producer of its request.

    Nothing is kept for it but its place: what it has not read stays in the order.
    """

    def __init__(
        self,
        publisher: Publisher,
        request: Request,
        last_sent: int,
        snapshot: Snapshot | None,
        on_caught_up: Callable[[], None] | None = None,
    ) -> None:
        """n: the number of the last purge that it has, or has once snapshot is written; snapshot: None where
        it goes on from n. given(): called once when it is up to date, or reads too slowly to be waited for.
        """
        self.on_caught_up = on_caught_up
        self.publisher, self.request, self.last_sent = publisher, request, last_sent
        self.snapshot, self.end_event = (
            None,
            None,
        )  # purges of the snapshot that are not written yet, and its end
        self.paused_since, self.pumping, self.closed = None, False, False
        if snapshot is not None:
            newest, epoch, count = publisher.tail.newest, publisher.tail.epoch, len(snapshot.purges)
            self.snapshot = snapshot.purges
            self.end_event = wire.Event("end", epoch, n=newest.n, of=newest.epoch, count=count)
            self._write(wire.Event("begin", epoch, slices=snapshot.slices))
        request.registerProducer(self, True)

    # what the transport says

    def pauseProducing(self) -> None:
        """The connection's buffer is full: nothing more is written until the follower has read."""
        self.paused_since = self.publisher.reactor.seconds()
        if self.on_caught_up is not None:
            self.publisher.reactor.callLater(ADMISSION_READ_TIMEOUT, self._still_paused, self.paused_since)

    def resumeProducing(self) -> None:
        """The buffer has room again."""
        self.paused_since = None
        self.pump()

    def stopProducing(self) -> None:
        """The connection is over."""
        self.close()

    def close(self) -> None:
        """Ends it here; the connection is left to its own end."""
        if not self.closed:
            self.closed = True
            self.publisher.streams.pop(self, None)

    def abort(self) -> None:
        """Ends it and the connection at once; the follower comes again from its place."""
        if not self.closed:
            self.close()
            self.request.channel.forceAbortClient()

    # what it is given

    def _write(self, event: wire.Event) -> None:
        self.request.write(self.publisher.encode(event))

    def _still_paused(self, since: float) -> None:
        if self.paused_since == since:
            self._caught_up()

    def _caught_up(self) -> None:
        on_caught_up, self.on_caught_up = self.on_caught_up, None
        if on_caught_up is not None:
            on_caught_up()

    def pump(self) -> None:
        """Up to so many events now, the rest in the reactor's next turn, until it is up to date or paused."""
        self.pumping = False
        for _ in range(EVENTS_PER_TURN):
            if self.closed or self.paused_since is not None:
                return
            event = self._next()
            if event is None:
                self._caught_up()
                return
            self._write(event)
        self.pumping = True
        self.publisher.reactor.callLater(0, self._continue)

    def _continue(self) -> None:
        if self.pumping:
            self.pump()

    def _next(self) -> wire.Event | None:
        tail = self.publisher.tail
        if self.snapshot is not None:
            if self.snapshot:
                part, self.snapshot = self.snapshot[: wire.MOST_IN_EVENT], self.snapshot[wire.MOST_IN_EVENT :]
                return wire.Event("purges", tail.epoch, purges=part)
            self.snapshot, event = None, self.end_event
            return event
        if self.last_sent >= tail.newest.n:
            return None
        if not tail.recent or self.last_sent + 1 < tail.recent[0].n:
            self.abort()  # too far behind: it comes again, for a snapshot
            return None
        purges = tail.after(self.last_sent, wire.MOST_IN_EVENT)
        self.last_sent = purges[-1].n
        return wire.Event("purges", tail.epoch, purges=purges)

    def heartbeat(self) -> None:
        """Twice a second: a heartbeat where nothing else is written; who does not read for SLOW is cut."""
        if self.paused_since is None and not self.pumping:
            self._write(wire.Event("beat", self.publisher.tail.epoch, n=self.publisher.tail.newest.n))
        elif (
            self.paused_since is not None
            and self.publisher.reactor.seconds() - self.paused_since > READ_TIMEOUT
        ):
            self.publisher.log("follower does not read, cut; it resumes from its place")
            self.publisher.count("followers_cut")
            self.abort()
