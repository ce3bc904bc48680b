"""A follower's feed connection at a desk or relay, written no faster than the follower reads."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.web.server import Request

from ..purges import wire
from ..purges.tail import Snapshot

if TYPE_CHECKING:
    from .publisher import Publisher

READ_TIMEOUT = 5.0  # seconds that a follower may leave data unread before it is disconnected; it then resumes
EVENTS_PER_TURN = 8  # events written to one follower before the others are served
ADMISSION_READ_TIMEOUT = 0.02  # seconds an admitted follower may not read before the next one is admitted


class Stream:
    """One follower's connection: a push producer of its request.

    Keeps only the follower's position: purges that it has not read are taken from the order later.
    """

    def __init__(
        self,
        publisher: Publisher,
        request: Request,
        last_sent: int,
        snapshot: Snapshot | None,
        on_caught_up: Callable[[], None] | None = None,
    ) -> None:
        """last_sent: number of the last purge that the follower has, or has once snapshot is written.
        snapshot: None if it resumes from last_sent. on_caught_up(): called once, when it is up to date or
        reads too slowly to be waited for.
        """
        self.on_caught_up = on_caught_up
        self.publisher, self.request, self.last_sent = publisher, request, last_sent
        self.snapshot, self.end_event = None, None  # unwritten purges of a snapshot, and its last event
        self.paused_since, self.pumping, self.closed = None, False, False
        if snapshot is not None:
            newest, epoch, count = publisher.tail.newest, publisher.tail.epoch, len(snapshot.purges)
            self.snapshot = snapshot.purges
            self.end_event = wire.Event("end", epoch, n=newest.n, of=newest.epoch, count=count)
            self._write(wire.Event("begin", epoch, slices=snapshot.slices))
        request.registerProducer(self, True)

    # ---- transport callbacks

    def pauseProducing(self) -> None:
        """Stops writing: the connection's buffer is full."""
        self.paused_since = self.publisher.reactor.seconds()
        if self.on_caught_up is not None:
            self.publisher.reactor.callLater(ADMISSION_READ_TIMEOUT, self._still_paused, self.paused_since)

    def resumeProducing(self) -> None:
        """Writes again: the buffer has room."""
        self.paused_since = None
        self.pump()

    def stopProducing(self) -> None:
        """Handles the end of the connection."""
        self.close()

    def close(self) -> None:
        """Ends the stream; does not close the connection."""
        if not self.closed:
            self.closed = True
            self.publisher.streams.pop(self, None)

    def abort(self) -> None:
        """Ends the stream and aborts the connection; the follower reconnects and resumes."""
        if not self.closed:
            self.close()
            self.request.channel.forceAbortClient()

    # ---- events

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
        """Writes up to EVENTS_PER_TURN events now and the rest in later turns, until up to date or paused."""
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
            self.abort()  # too far behind: it reconnects and gets a snapshot
            return None
        purges = tail.after(self.last_sent, wire.MOST_IN_EVENT)
        self.last_sent = purges[-1].n
        return wire.Event("purges", tail.epoch, purges=purges)

    def heartbeat(self) -> None:
        """Called twice a second: writes a heartbeat if idle; disconnects after READ_TIMEOUT without reads."""
        if self.paused_since is None and not self.pumping:
            self._write(wire.Event("beat", self.publisher.tail.epoch, n=self.publisher.tail.newest.n))
        elif (
            self.paused_since is not None
            and self.publisher.reactor.seconds() - self.paused_since > READ_TIMEOUT
        ):
            self.publisher.log("follower does not read, cut; it resumes from its place")
            self.publisher.count("followers_cut")
            self.abort()
