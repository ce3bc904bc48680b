"""The base of desk and relay: publishes the order of purges to followers, and renews their leases."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from twisted.internet.interfaces import IReactorTime
from twisted.web.server import Request

from ..clock import steady
from ..log import Log
from ..purges import tail as purge_tail
from ..purges import wire
from ..purges.followers import Followers, Renewal
from ..purges.types import START, Position
from .stream import Stream

if TYPE_CHECKING:
    from .admission import Admission

HEARTBEAT_INTERVAL = 0.5  # seconds between heartbeats: four within the shortest feed timeout of a follower
SETTLE_DELAY = 0.002  # seconds from an event to the check which purges are in effect
MAX_STREAMS = 2_000  # connected followers per desk or relay; larger fleets use relays
OUTDATED_FOLLOWER = "follower of a former version cannot be given sealed purges, turned away; update it"


class FollowRequest(NamedTuple):
    """A follower's request for the feed. position: where it resumes; highest_epoch: that it has seen."""

    position: Position
    highest_epoch: int
    sealed_through: Position | None  # it holds all slices up to there; None: it does not support slices


class Publisher:
    """Base of Desk and Relay. These set tail, followers (the lease decisions) and clock (the desk's, in
    tenths of a millisecond), and override what differs between them.
    """

    tail: purge_tail.Tail
    followers: Followers
    clock: Callable[[], int]

    def __init__(self, reactor: IReactorTime, log: Log) -> None:
        """Serves nothing before start()."""
        self.reactor, self.log = reactor, log
        self.streams: dict[Stream, bool] = {}  # an ordered set, in order of arrival
        self.counters: dict[str, int] = {}
        self.last_encoded: tuple[wire.Event | None, bytes] = None, b""  # the last event, and its bytes
        self.settle_call, self.settle_scheduled = None, False  # scheduled: within SETTLE_DELAY
        self.stopped = False
        self.admission: Admission | None = None  # set with [admission]: paces reconnects

    def encode(self, event: wire.Event) -> bytes:
        """Returns the event as bytes; cached, since the same event goes to many followers in a row."""
        if event != self.last_encoded[0]:
            self.last_encoded = event, b"data: " + wire.write(event) + b"\n\n"
        return self.last_encoded[1]

    def count(self, name: str) -> None:
        """Increments a counter."""
        self.counters[name] = self.counters.get(name, 0) + 1

    def start(self) -> None:
        """Starts the heartbeats."""
        self._heartbeat()

    def stop(self) -> None:
        """Aborts the connections of all followers and admits no more."""
        self.stopped = True
        if self.admission is not None:
            self.admission.stop()
        for stream in list(self.streams):
            stream.abort()

    def _heartbeat(self) -> None:
        if self.stopped:
            return
        for stream in list(self.streams):
            stream.heartbeat()
        self.tick()
        self.reactor.callLater(HEARTBEAT_INTERVAL, self._heartbeat)

    def tick(self) -> None:
        """Called twice a second; for subclasses."""

    def ready(self) -> bool:
        """Returns whether followers can be served yet."""
        return True

    def raise_epoch(self, highest_epoch: int) -> None:
        """Handles a follower that has seen a higher epoch than the desk's; only the desk can react to it."""

    def is_stored(self, name: str, generation: int) -> bool:
        """Returns whether this follower's name is durable; if not, schedules its write."""
        raise NotImplementedError

    def follower_left(self, name: str) -> None:
        """Called when a follower has left: its name need not be durable any more; for subclasses."""

    # ---- followers

    def follow(
        self, request: Request, follow_request: FollowRequest, on_caught_up: Callable[[], None] | None = None
    ) -> bool:
        """Starts a follower's stream from its position; returns False if it has to reconnect.

        on_caught_up: see Stream.
        """
        placement = self.tail.place(follow_request.position, follow_request.highest_epoch)
        if placement == purge_tail.RAISE:
            self.raise_epoch(follow_request.highest_epoch)
            return False
        if len(self.streams) >= MAX_STREAMS:
            self.log("more followers than one can tell, turned away")
            return False
        snapshot = (
            None
            if placement == purge_tail.RESUME
            else self.tail.snapshot(follow_request.sealed_through or START)
        )
        if snapshot is not None and snapshot.slices and follow_request.sealed_through is None:
            self.log(OUTDATED_FOLLOWER, level="error")
            self.count("followers_of_a_former_version")
            return False
        self.count("followers_resumed" if snapshot is None else "followers_given_snapshots")
        stream = Stream(
            self,
            request,
            follow_request.position.n if snapshot is None else self.tail.newest.n,
            snapshot,
            on_caught_up,
        )
        self.streams[stream] = True
        request.notifyFinish().addBoth(lambda _: stream.close())
        stream.pump()
        return True

    def slice(self, digest: str) -> bytes | None:
        """Returns the bytes of a sealed slice that a recent snapshot has listed, else None."""
        return self.tail.catalogue.body(digest)

    def publish(self) -> None:
        """Writes new purges to all followers that keep up."""
        for stream in list(self.streams):
            if not stream.pumping:
                stream.pump()

    def renew(self, request: wire.Renew) -> wire.Granted | None:
        """Renews a follower's lease; returns None if it is refused (see Followers.renew)."""
        now = steady()
        if request.leave:
            self._on_leave(request)
            return self._granted(0)
        # Otherwise a crash would leave a lease that no store records.
        if not self.is_stored(request.name, request.generation):
            return self._granted(0)
        on_branch = self.tail.place(Position(request.epoch, request.n), request.seen) == purge_tail.RESUME
        known = self.followers.rows.get(request.name)
        known_generation = None if known is None else known.generation
        renewal = Renewal(
            request.name,
            request.generation,
            on_branch,
            min(request.n, request.least),
            request.all,
            request.skew,
            request.relay,
        )
        span = self.followers.renew(now, renewal, self.tail.newest.n, self.remaining_lease())
        if span is None:
            self.count("members_refused")
            return None
        if known_generation != request.generation:
            self.log("member joined", name=request.name, generation=request.generation)
        self.settle()
        return self._granted(span)

    def _on_leave(self, request: wire.Renew) -> None:
        if self.followers.left(request.name, request.generation, relied_on=request.relay):
            self.follower_left(request.name)
        elif request.relay:
            self.log("relay has ended with routers below, purges wait for their leases", name=request.name)
        self.settle()

    def _granted(self, span: int) -> wire.Granted:
        return wire.Granted(span, self.tail.epoch, self.clock(), self.followers.settling())

    def remaining_lease(self) -> int | None:
        """Returns the rest of this publisher's own lease, which bounds those of its followers; None: no
        bound.
        """
        return None

    def settle(self) -> None:
        """Schedules the check which purges are in effect. It scans all followers, and many answer at once for
        one purge, so one check covers them.
        """
        if not self.settle_scheduled:
            self.settle_scheduled = True
            self._settle_in(SETTLE_DELAY)

    def _settle_in(self, seconds: float) -> None:
        if self.settle_call is not None and self.settle_call.active():
            self.settle_call.cancel()
        self.settle_call = self.reactor.callLater(seconds, self._settle)

    def _settle(self) -> None:
        self.settle_scheduled = False
        now = steady()
        for number, accepted_at, effective_at in self.followers.settle(now):
            self.in_effect(number, accepted_at, effective_at)
        due = self.followers.due(now)
        if due is not None and not self.stopped:
            self._settle_in(max(SETTLE_DELAY, (due - now) / 10_000))

    def in_effect(self, number: int, accepted_at: int, effective_at: int) -> None:
        """Called when a purge has taken effect; times are of the steady clock; for subclasses."""

    # ---- status

    def facts(self) -> dict[str, Any]:
        """Returns the body of /v1/status; its keys are an interface to operators."""
        now = steady()
        rows = self.followers.rows.values()
        return {
            "epoch": self.tail.epoch,
            "newest": wire.number(self.tail.newest),
            "live": self.tail.live(),
            "sealed": len(self.tail.archive),
            "followers": len(self.streams),
            "undone": len(self.followers.undone),
            "members": [
                {
                    "name": row.name,
                    "state": self.followers.state(now, row),
                    "n": row.n,
                    "all": row.all,
                    "relay": row.relay,
                    "generation": row.generation,
                    "heard_ms_ago": None if row.heard is None else (now - row.heard) // 10,
                }
                for row in sorted(rows, key=lambda row: row.name)
            ],
            "counters": dict(sorted(self.counters.items())),
            **({} if self.admission is None else {"admission": self.admission.facts()}),
        }
