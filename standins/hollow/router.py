"""One hollow router: a member of the fleet and a follower of purges, assembled as `hookrouter serve` does."""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.defer import Deferred, succeed

from hookrouter.command.router import sharing_member
from hookrouter.feed.purges import steady
from hookrouter.node.purging import purge_feed
from hookrouter.purges import Purge
from hookrouter.purges.fence import Fence
from hookrouter.purges.retention.archive import SliceState
from hookrouter.purges.types import Position as PurgePosition
from hookrouter.tables.deadlines import Deadlines

from .configuration import Sections
from .loads import MadeUpState, made_up_caches
from .report import Position, RouterReport, Traffic
from .sockets import RouterReactor, SocketCounter

OFF = "off"  # the lease of a router without [purges]


class LeaseHolder:
    """What a PurgeFeed tells: purges are counted and dropped, the lease is held by the program's Fence."""

    def __init__(self, lease: int) -> None:
        """lease: of [purges], in tenths of a millisecond."""
        self.fence, self.received = Fence(lease), 0

    def on_epoch(self, epoch: int) -> None:
        """The feed keeps the epoch."""

    def on_purges(self, purges: Sequence[Purge]) -> None:
        """Purges in their order."""
        self.received += len(purges)

    def on_snapshot(self, purges: Sequence[Purge], newest: PurgePosition) -> None:
        """A snapshot of all that are live."""
        self.received += len(purges)

    def adopt(self, state: SliceState) -> None:
        """A sealed slice of the snapshot."""
        self.received += state.keys

    def on_grant(self, asked: int, wall: int, span: int, desk: int) -> None:
        """A renewal was answered."""
        self.fence.at(steady())
        self.fence.granted(asked, span)

    def acknowledged(self, n: int) -> PurgePosition:
        """All that was received is taken in, and may be answered for."""
        return PurgePosition(n, n)

    def lease_left(self) -> int:
        """Of the lease, for who paces those that come back."""
        self.fence.at(steady())
        return self.fence.left()

    def state(self) -> str:
        """Of the lease now."""
        self.fence.at(steady())
        return self.fence.state


class HollowRouter:
    """Speaks on sockets of its own from start() on."""

    def __init__(
        self,
        reactor: Any,
        sections: Sections,
        seed: int,
        caches: Sequence[str],
        log: Callable[..., None],
    ) -> None:
        """caches: of which loads are told; none: made-up ones of its zone."""
        fleet = sections["fleet"]
        self.name, self.traffic, self.counted = fleet["name"], Traffic(), Counter()
        self.reactor = RouterReactor(reactor)
        SocketCounter(self.reactor, self.traffic, fleet["keepers"])
        caches = caches or made_up_caches(fleet["zone"])
        self.state = MadeUpState(f"{seed}/{self.name}", caches)
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
        """Listens, joins the fleet and follows purges; twisted's CannotListenError where a port is taken."""
        self.member.start()
        if self.feed is not None:
            self.feed.start()

    def leave(self) -> Deferred:
        """Says that it ends; fires once the desk was told."""
        self.member.leave()
        return succeed(None) if self.feed is None else self.feed.leave()

    def end(self) -> None:
        """Closes what is left."""
        self.member.end()

    def report(self) -> RouterReport:
        """As it stands now."""
        row = RouterReport(self.name, self.traffic, lease=OFF, members_alive=self.member.roster.view.living)
        if self.feed is not None:
            row.newest_purge = Position(*self.feed.place.position)
            row.lease, row.purges_received = self.holder.state(), self.holder.received
        return row
