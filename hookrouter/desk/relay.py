"""A relay: follows the desk, passes on what it hears, and reports upwards for the followers below."""

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

NOTE = 0.01  # seconds


class Names:
    """The names of followers in a file, replaced whole: half a file is never read."""

    def __init__(self, path: str) -> None:
        """Neither read nor made here."""
        self.path = path

    def read(self) -> list[tuple[str, int]] | None:
        """(name, generation) of each, in order; None where the file is not as it was written."""
        try:
            with open(self.path, encoding="utf-8") as file:
                rows = json.load(file)
            return sorted((str(name), int(generation)) for name, generation in rows.items())
        except FileNotFoundError:
            return []
        except (OSError, ValueError, AttributeError, TypeError):
            return None

    def write(self, rows: Iterable[tuple[str, int]]) -> None:
        """On disk when it returns; OSError where it cannot be."""
        with open(f"{self.path}.new", "w", encoding="utf-8") as file:
            json.dump(dict(rows), file)
            file.flush()
            os.fsync(file.fileno())
        os.replace(f"{self.path}.new", self.path)


class Relay(Publisher):
    """Its followers' leases end with its own at the latest; it reports the least of what they applied."""

    def __init__(
        self,
        reactor: IReactorTime,
        deadlines: Deadlines,
        log: Log,
        purges: Mapping[str, Any],
        relay: Mapping[str, Any],
        paced: bool = False,
    ) -> None:
        """purges, relay: sections of the operator's file. paced: with [admission], it comes back when the
        upstream's gate says so.
        """
        super().__init__(reactor, log)
        self.clock = Clock()
        self.fence = Fence(purges["lease"])
        self.tail = Tail(purges["hold"], archive=Archive(purges["hold"], purges["sealed"]))
        self.names = Names(relay["store"])
        names = self.names.read()
        if names is None:
            log("relay's file of members cannot be read, begun anew", relay["store"], level="error")
        self.followers = Followers(purges["lease"], purges["skew"], ROUNDING, steady(), names or (), 0)
        self.noted_names = {name for name, _ in names or ()}  # that are in the file for sure
        self.new: set[str] = set()
        address = (relay["above"],) if relay["above"] else purges["desk"]
        self.feed = PurgeFeed(
            reactor, deadlines, self, address, purges, relay["name"], log, self.count, relay=True
        )
        if paced:
            self.feed.pace()

    def start(self) -> None:
        """Heartbeats begin, and it follows its upstream."""
        super().start()
        self.feed.start()

    def stop(self) -> Deferred[None]:
        """Fires once the upstream knows that this relay has left, or cannot be told."""
        super().stop()
        return self.feed.leave()

    def ready(self) -> bool:
        """Whether it has a place in the order, that is has heard of an epoch, and lacks no slices."""
        return self.tail.epoch > 0 and not self.feed.catching_up()

    # ---- from upstream

    def on_epoch(self, epoch: int) -> None:
        """The upstream spoke under that epoch."""
        self.tail.epoch = max(self.tail.epoch, epoch)

    def on_purges(self, purges: Iterable[Purge]) -> None:
        """The next purges of the order."""
        # How long a purge has been in effect is not known here: who lacks one gets no lease until it has it.
        for purge in purges:
            self.tail.add(purge)
        self.publish()
        self.settle()

    def on_snapshot(self, purges: Iterable[Purge], newest: Position) -> None:
        """A snapshot: those below go on from their places in the order as it is now."""
        self.tail.take(purges, newest)
        self.followers.other_branch()
        for stream in list(self.streams):
            stream.cut()

    def adopt(self, state: SliceState) -> None:
        """A sealed slice of the snapshot."""
        self.tail.merge(state)

    def on_grant(self, asked: int, answered: int, span: int, desk: int) -> None:
        """A renewal asked at that steady time was granted for span; answered, desk: wall times, not used."""
        self.fence.at(steady())
        self.fence.granted(asked, span)

    def lease_left(self) -> int:
        """Of its lease, for who paces those that come back."""
        return self.span_left()

    def acknowledged(self, n: int) -> tuple[int, int]:
        """(applied by all that are live, applied by all) of what this relay has itself."""
        live, every = self.followers.least(steady())
        return min(n, n if live is None else live), min(n, n if every is None else every)

    # ---- below

    def span_left(self) -> int:
        """Of its lease: those of its followers end with it."""
        self.fence.at(steady())
        return self.fence.left()

    def _settle(self) -> None:
        super()._settle()
        self.feed.renew_soon()

    def noted(self, name: str, generation: int) -> bool:
        """Whether the file has that name; if not, it does soon."""
        if name in self.noted_names:
            return True
        self.new.add(name)
        if len(self.new) == 1:
            self.reactor.callLater(NOTE, self._note)  # those that come together make one file
        return False

    def follower_left(self, name: str) -> None:
        """It is not in the next file."""
        self.noted_names.discard(name)

    def tick(self) -> None:
        """Strikes those off that have had no lease for long, and looks at its own lease."""
        struck = [name for name in self.followers.struck_off() if name not in self.followers.rows]
        self.noted_names.difference_update(struck)
        if self.new or struck:
            self._note()
        self.fence.at(steady())

    def _note(self) -> None:
        names = self.noted_names | self.new
        try:
            self.names.write((name, 0) for name in sorted(names))
        except OSError as wrong:
            self.log(
                "relay's file of members cannot be written, new ones get no lease", str(wrong), level="error"
            )
            return
        self.noted_names, self.new = names, set()

    def facts(self) -> dict[str, Any]:
        """What /v1/status answers at a relay."""
        return {**super().facts(), "role": "relay", "lease": self.fence.state}
