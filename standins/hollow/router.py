"""A hollow router: a fleet member and purge follower, assembled as in `hookrouter serve`."""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.defer import Deferred, succeed

from hookrouter.clock import steady
from hookrouter.command.router import sharing_member
from hookrouter.node.purging import purge_feed
from hookrouter.purges import Purge
from hookrouter.purges.fence import Fence
from hookrouter.purges.retention.archive import SliceState
from hookrouter.purges.types import Position as PurgePosition
from hookrouter.tables.deadlines import Deadlines

from .configuration import Sections
from .report import Position, RouterReport, Traffic
from .sockets import RouterReactor, SocketCounter
from .synthetic_state import SyntheticState, synthetic_caches

OFF = "off"  # lease state of a router without [purges]


class LeaseHolder:
    """Listener of a PurgeFeed: counts and drops the purges; the lease is held by the program's Fence."""

    def __init__(self, lease: int) -> None:
        """lease: of [purges], in tenths of a millisecond."""
        self.fence, self.received = Fence(lease), 0

    def on_epoch(self, epoch: int) -> None:
        """Does nothing; the feed keeps the epoch."""

    def on_purges(self, purges: Sequence[Purge]) -> None:
        """Counts purges, which arrive in order."""
        self.received += len(purges)

    def on_snapshot(self, purges: Sequence[Purge], newest: PurgePosition) -> None:
        """Counts the purges of a snapshot of all live ones."""
        self.received += len(purges)

    def adopt(self, state: SliceState) -> None:
        """Counts the keys of a sealed slice of the snapshot."""
        self.received += state.keys

    def on_grant(self, asked: int, wall: int, span: int, desk: int) -> None:
        """Extends the lease after an answered renewal."""
        self.fence.at(steady())
        self.fence.granted(asked, span)

    def acknowledged(self, n: int) -> PurgePosition:
        """Returns n as the position applied and served from, since purges are applied on receipt."""
        return PurgePosition(n, n)

    def lease_left(self) -> int:
        """Returns the remaining lease, which the admission control of reconnects asks for."""
        self.fence.at(steady())
        return self.fence.left()

    def state(self) -> str:
        """Returns the current state of the lease."""
        self.fence.at(steady())
        return self.fence.state


class HollowRouter:
    """A hollow router with sockets of its own, used from start() on."""

    def __init__(
        self,
        reactor: Any,
        sections: Sections,
        seed: int,
        caches: Sequence[str],
        log: Callable[..., None],
    ) -> None:
        """caches: whose loads are reported; if empty, synthetic ones of the zone."""
        fleet = sections["fleet"]
        self.name, self.traffic, self.counted = fleet["name"], Traffic(), Counter()
        self.reactor = RouterReactor(reactor)
        SocketCounter(self.reactor, self.traffic, fleet["keepers"])
        caches = caches or synthetic_caches(fleet["zone"])
        self.state = SyntheticState(f"{seed}/{self.name}", caches)
        self.member = sharing_member(self.reactor, log, sections, lambda: self.state)
        self.holder = self.feed = None
        if "purges" in sections:
            self._follow(sections, log)

    def _follow(self, sections: Sections, log: Callable[..., None]) -> None:
        purges = sections["purges"]
        self.holder = LeaseHolder(purges["lease"])
        self.feed = purge_feed(
            self.reactor,
            Deadlines(self.reactor),
            self.holder,
            purges,
            self.name,
            log,
            self._count,
            paced="admission" in sections,
        )

    def _count(self, name: str) -> None:
        self.counted[name] += 1

    def start(self) -> None:
        """Listens, joins the fleet and follows purges; twisted's CannotListenError if a port is in use."""
        self.member.start()
        if self.feed is not None:
            self.feed.start()

    def leave(self) -> Deferred:
        """Announces its leave; fires once the desk has been notified."""
        self.member.leave()
        return succeed(None) if self.feed is None else self.feed.leave()

    def end(self) -> None:
        """Closes the remaining sockets."""
        self.member.end()

    def report(self) -> RouterReport:
        """Returns the current report."""
        row = RouterReport(
            self.name, self.traffic, lease=OFF, members_alive=self.member.roster.view.alive_count
        )
        if self.feed is not None:
            row.newest_purge = Position(*self.feed.place.position)
            row.lease, row.purges_received = self.holder.state(), self.holder.received
        return row
