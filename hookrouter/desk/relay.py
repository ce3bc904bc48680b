"""A relay: follows the desk, passes purges on to its own followers, and reports their positions upstream."""

import json
import os
from collections.abc import Iterable, Mapping
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from ..feed.purges import PurgeFeed
from ..log import Log
from ..purges.fence import Fence
from ..purges.followers import Followers
from ..purges.guard import ROUNDING
from ..purges.retention.archive import Archive, SliceState
from ..purges.tail import Tail
from ..purges.types import Position, Purge
from ..tables.deadlines import Deadlines
from .clock import Clock
from .publisher import Publisher, steady

WRITE_DELAY = 0.01  # seconds; names that arrive within it share one write


class FollowerNamesFile:
    """A file of follower names, replaced atomically."""

    def __init__(self, path: str) -> None:
        """Neither reads nor creates the file."""
        self.path = path

    def read(self) -> list[tuple[str, int]] | None:
        """Returns (name, generation) of each follower by name; None if the file is corrupted."""
        try:
            with open(self.path, encoding="utf-8") as file:
                rows = json.load(file)
            return sorted((str(name), int(generation)) for name, generation in rows.items())
        except FileNotFoundError:
            return []
        except (OSError, ValueError, AttributeError, TypeError):
            return None

    def write(self, rows: Iterable[tuple[str, int]]) -> None:
        """Replaces the file; it is on disk on return. Raises OSError."""
        with open(f"{self.path}.new", "w", encoding="utf-8") as file:
            json.dump(dict(rows), file)
            file.flush()
            os.fsync(file.fileno())
        os.replace(f"{self.path}.new", self.path)


class Relay(Publisher):
    """A publisher below the desk. Its followers' leases end with its own at the latest; it reports the lowest
    position that they have applied.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        deadlines: Deadlines,
        log: Log,
        purges: Mapping[str, Any],
        relay: Mapping[str, Any],
        paced: bool = False,
    ) -> None:
        """purges, relay: sections of the operator's file. paced: set with [admission]; the relay reconnects
        when the upstream's gate says so.
        """
        super().__init__(reactor, log)
        self.clock = Clock()
        self.fence = Fence(purges["lease"])
        self.tail = Tail(purges["hold"], archive=Archive(purges["hold"], purges["sealed"]))
        self.names_file = FollowerNamesFile(relay["store"])
        names = self.names_file.read()
        if names is None:
            log("relay's file of members cannot be read, begun anew", relay["store"], level="error")
        self.followers = Followers(purges["lease"], purges["skew"], ROUNDING, steady(), names or (), 0)
        self.stored_names = {name for name, _ in names or ()}  # known to be on disk
        self.new_names: set[str] = set()
        address = (relay["above"],) if relay["above"] else purges["desk"]
        self.feed = PurgeFeed(
            reactor, deadlines, self, address, purges, relay["name"], log, self.count, relay=True
        )
        if paced:
            self.feed.pace()

    def start(self) -> None:
        """Starts heartbeats and the feed from upstream."""
        super().start()
        self.feed.start()

    def stop(self) -> Deferred[None]:
        """Stops the relay; the Deferred fires once the upstream knows that it left, or is unreachable."""
        super().stop()
        return self.feed.leave()

    def ready(self) -> bool:
        """Returns whether it has a position in the order (has learned an epoch) and lacks no slices."""
        return self.tail.epoch > 0 and not self.feed.catching_up()

    # ---- from upstream

    def on_epoch(self, epoch: int) -> None:
        """Handles a message from upstream under that epoch."""
        self.tail.epoch = max(self.tail.epoch, epoch)

    def on_purges(self, purges: Iterable[Purge]) -> None:
        """Handles the next purges of the order."""
        # A relay does not know when a purge took effect: a follower that lacks one gets no lease until it has
        # it.
        for purge in purges:
            self.tail.add(purge)
        self.publish()
        self.settle()

    def on_snapshot(self, purges: Iterable[Purge], newest: Position) -> None:
        """Handles a snapshot; the followers reconnect and resume from their positions in the new order."""
        self.tail.take(purges, newest)
        self.followers.other_branch()
        for stream in list(self.streams):
            stream.abort()

    def adopt(self, state: SliceState) -> None:
        """Adds a sealed slice of the snapshot."""
        self.tail.merge(state)

    def on_grant(self, asked: int, answered: int, span: int, desk: int) -> None:
        """Handles a renewal, requested at steady time asked, that was granted for span. answered, desk: wall-
        clock times, unused here.
        """
        self.fence.at(steady())
        self.fence.granted(asked, span)

    def lease_left(self) -> int:
        """Returns the rest of its lease, for the pacing of reconnects."""
        return self.remaining_lease()

    def acknowledged(self, number: int) -> tuple[int, int]:
        """Returns (number applied by all live followers, number applied by all followers), at most number."""
        live, every = self.followers.least(steady())
        return min(number, number if live is None else live), min(number, number if every is None else every)

    # ---- followers

    def remaining_lease(self) -> int:
        """Returns the rest of its lease: its followers' leases end with it. 0 once it stops."""
        self.fence.at(steady())
        return 0 if self.stopped else self.fence.left()

    def relied_on(self) -> bool:
        """Returns whether routers below may answer by a lease, or without one from young copies."""
        return self.followers.relied_on(steady())

    def _settle(self) -> None:
        super()._settle()
        self.feed.renew_soon()

    def is_stored(self, name: str, generation: int) -> bool:
        """Returns whether the file holds that name; if not, schedules its write."""
        if name in self.stored_names:
            return True
        self.new_names.add(name)
        if len(self.new_names) == 1:
            self.reactor.callLater(WRITE_DELAY, self._write_names)  # one write for names that arrive together
        return False

    def follower_left(self, name: str) -> None:
        """Leaves the name out of the next write."""
        self.stored_names.discard(name)

    def tick(self) -> None:
        """Removes followers that have long had no lease, and updates its own lease."""
        removed = [name for name in self.followers.struck_off() if name not in self.followers.rows]
        self.stored_names.difference_update(removed)
        if self.new_names or removed:
            self._write_names()
        self.fence.at(steady())

    def _write_names(self) -> None:
        names = self.stored_names | self.new_names
        try:
            self.names_file.write((name, 0) for name in sorted(names))
        except OSError as error:
            self.log(
                "relay's file of members cannot be written, new ones get no lease", str(error), level="error"
            )
            return
        self.stored_names, self.new_names = names, set()

    def facts(self) -> dict[str, Any]:
        """Returns the body of /v1/status at a relay."""
        return {**super().facts(), "role": "relay", "lease": self.fence.state}
