"""The desk: takes purges, makes them durable, publishes them in order, says from when each is in effect."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from ..feed.purges import steady
from ..log import Log
from ..purges import ledger as g
from ..purges.followers import Followers
from ..purges.guard import ROUNDING
from ..purges.submissions import Accepted, Refused, Submission
from ..purges.types import Purge
from ..stores.purge_log import Loaded
from .clock import Clock
from .publisher import Publisher
from .recent import MOST_LATEST, RecentPurges
from .sealing import SealingLoop
from .store import Read, Store

FOLD_EVERY = 10.0  # seconds between looks at what is older than the hold
REOPEN_EVERY = 1.0  # seconds between tries to read a store that failed


class Desk(Publisher):
    """Takes submissions; carries out the ledger's effects on store and followers."""

    def __init__(
        self,
        reactor: IReactorTime,
        log: Log,
        purges: Mapping[str, Any],
        desk: Mapping[str, Any],
        store: Store,
        read: Read,
        most_batch: int = g.MOST_BATCH,
    ) -> None:
        """purges, desk: sections of the operator's file. read: what the store held, under its new epoch."""
        super().__init__(reactor, log)
        self.clock = Clock()
        self.limits = g.Limits(desk["most live"], desk["most patterns"], most_batch)
        self.waiting: dict[int, Deferred] = {}  # by the token of the submission
        self.token = 0
        self.store, (self.tail, keys, loaded) = store, read
        # Names to be noted in the store, and struck.
        self.joined: dict[str, int] = {}
        self.gone: set[str] = set()
        self.noting = False
        self.recent = RecentPurges()
        self.sealing = SealingLoop(reactor, self._seal, log, "old purges cannot be sealed in the store")
        now = steady()
        self.ledger = g.Ledger(self.tail, keys, self.limits)
        self.followers = Followers(purges["lease"], purges["skew"], ROUNDING, now, loaded.followers)
        self.names = {name for name, _ in loaded.followers}  # that are in the store for sure
        self._recall(loaded)
        self._doubtful(now)

    # ---- the store

    def _doubtful(self, now: int) -> None:
        """What a former life took lately may not be in effect yet; its clock may have been another's."""
        self.recalled = self.clock()  # from when this life counts what those before took
        since = self.recalled - self.followers.doubt()
        self.followers.read_anew(now, [purge for purge in self.tail.recent if purge.timestamp >= since])

    def _recall(self, loaded: Loaded) -> None:
        """What is shown of purges that the store holds."""
        self.floor = loaded.floor  # all up to there is folded away
        self.recent.recall(loaded.rows[-MOST_LATEST:])

    def _reopen(self, least: int = 0) -> None:
        """Reads the store again under a new epoch; tried until it can be read."""
        if not self.stopped:
            self.store.reopen(least).addCallbacks(self._reopened, self._not_reopened, errbackArgs=(least,))

    def _reopened(self, read: Read) -> None:
        self.tail, keys, loaded = read
        self._carry(self.ledger.reopened(self.tail, keys))
        self._doubtful(steady())
        self._recall(loaded)
        self.log("store read again", epoch=self.tail.epoch, newest=self.tail.newest.n)
        for stream in list(self.streams):
            stream.cut()  # each goes on from its place in the order as it is now

    def _not_reopened(self, failure: Failure, least: int) -> None:
        self.log("store cannot be read, purges are refused", failure.getErrorMessage(), level="error")
        if not self.stopped:
            self.reactor.callLater(REOPEN_EVERY, self._reopen, least)

    def raise_epoch(self, seen: int) -> None:
        """A follower has heard of a later life: this store is an older copy. Once for all that say so."""
        if self.ledger.state == g.BROKEN:
            return
        self.log(
            "store is older than what followers know; purges since its copy are lost, repeat them",
            level="error",
            epoch=self.tail.epoch,
            heard=seen,
        )
        self.count("stores_restored")
        self._carry(self.ledger.restored(), seen + 1)

    # ---- submissions

    def submit(
        self, key: str, items: tuple[tuple[str, str], ...], everything: bool
    ) -> Deferred[Accepted | Refused]:
        """The fields of a Submission; fires once it is durable, or refused."""
        self.token += 1
        answer = self.waiting[self.token] = Deferred()
        self._carry(self.ledger.submit(self.clock(), Submission(self.token, key, items, everything)))
        return answer

    def _carry(self, effects: list[g.Effect], least: int = 0) -> None:
        for effect in effects:
            if isinstance(effect, g.Write):
                self.store.append(effect.batch).addCallbacks(self._written, self._failed)
            elif isinstance(effect, g.Publish):
                self._publish(effect.purges, effect.keys)
            elif isinstance(effect, g.Reopen):
                self._reopen(least)
            else:
                accepted = isinstance(effect, Accepted)
                self.count("submissions_accepted" if accepted else "submissions_refused")
                self.waiting.pop(effect.token).callback(effect)

    def _written(self, _: object) -> None:
        self._carry(self.ledger.written())

    def _failed(self, failure: Failure) -> None:
        self.log(
            "store cannot be written, what was to be written is refused",
            failure.getErrorMessage(),
            level="error",
        )
        self.count("batches_failed")
        self._carry(self.ledger.failed())

    def _publish(self, purges: Sequence[Purge], keys: Sequence[str]) -> None:
        now, wall = steady(), self.clock()
        self.followers.accepted(now, purges)
        self.recent.add(now, wall, purges, keys)
        self.publish()
        self.settle()

    def in_effect(self, n: int, accepted: int, at: int) -> None:
        """Purge n is in effect from at on, by the steady clock: it is shown by the desk's."""
        self.recent.in_effect(n, self.clock() + at - steady())

    # ---- now and then

    def start(self) -> None:
        """Heartbeats and folding begin."""
        super().start()
        self._fold()
        self.sealing.start()

    def _fold(self) -> None:
        if self.stopped:
            return
        upto = self.tail.fold(self.clock())
        self.ledger.folded()
        if upto and self.ledger.state != g.BROKEN:
            self.floor = upto
            self.store.fold(upto).addErrback(self._not_noted)
        self.reactor.callLater(FOLD_EVERY, self._fold)

    def _seal(self) -> Deferred[bool]:
        return succeed(False) if self.ledger.state == g.BROKEN else self.store.seal()

    def noted(self, name: str, generation: int) -> bool:
        """Whether the store knows this follower; if not, it does soon."""
        if name in self.names:
            return True
        self.joined[name] = generation
        self.gone.discard(name)
        self._note()
        return False

    def follower_left(self, name: str) -> None:
        """Strikes it from the store."""
        self.joined.pop(name, None)
        self.gone.add(name)
        self._note()

    def tick(self) -> None:
        """Strikes those off that have had no lease for long, and looks what is in effect."""
        self.gone.update(name for name in self.followers.struck_off() if name not in self.followers.rows)
        self._note()
        self.settle()

    def _note(self) -> None:
        """One write at a time; a name counts as noted once it is on disk, and as struck before."""
        if self.noting or not (self.joined or self.gone) or self.ledger.state == g.BROKEN:
            return
        joined, left = sorted(self.joined.items()), sorted(self.gone)
        self.joined, self.gone, self.noting = {}, set(), True
        self.names.difference_update(left)
        done = self.store.update_followers(joined, left)
        done.addCallbacks(
            lambda _: self.names.update(name for name, _ in joined), self._not_noted
        ).addCallback(self._noted)

    def _noted(self, _: object) -> None:
        self.noting = False
        self._note()

    def _not_noted(self, failure: Failure) -> None:
        self.log("store cannot be written", failure.getErrorMessage(), level="error")

    def stop(self) -> Deferred[None]:
        """Fires once the store is closed."""
        super().stop()
        self.sealing.stop()
        done = self.store.close() if self.ledger.state != g.BROKEN else succeed(None)
        done.addErrback(lambda _: None)
        return done.addCallback(lambda _: self.reactor.callLater(0, self.store.end))

    # ---- what is shown

    def purge_facts(self, n: int) -> dict[str, Any] | None:
        """What is known of one of the newest purges, or None; see RecentPurges.facts."""
        return self.recent.facts(n, steady(), self.recalled, self.followers)

    def newest(self, most: int) -> tuple[list[dict[str, Any]], int]:
        """(facts of so many of the newest purges, how many the store holds in all)."""
        rows = [self.purge_facts(n) | {"behind": None} for n in self.recent.newest(most)]
        return rows, self.tail.newest.n - self.floor

    def facts(self) -> dict[str, Any]:
        """What /v1/status answers at a desk."""
        return {
            **super().facts(),
            "patterns": self.ledger.patterns,
            "state": self.ledger.state,
            "role": "desk",
        }
