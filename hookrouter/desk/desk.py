"""The desk: accepts purges, makes them durable, publishes them in order, tracks when each takes effect."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from ..clock import steady
from ..log import Log
from ..purges import ledger
from ..purges.followers import Followers
from ..purges.guard import ROUNDING
from ..purges.submissions import Accepted, Refused, Submission
from ..purges.types import Purge
from ..stores.purge_log import LoadedPurges
from .clock import Clock
from .publisher import Publisher
from .recent import MAX_RECENT, RecentPurges
from .sealing import SealingLoop
from .store import RestoredOrder, Store

TRUNCATE_INTERVAL = 10.0  # seconds between removals of purges older than the hold
REOPEN_INTERVAL = 1.0  # seconds between attempts to read a store that failed


class Desk(Publisher):
    """Accepts submissions; applies the ledger's effects to the store and the followers."""

    def __init__(
        self,
        reactor: IReactorTime,
        log: Log,
        purges: Mapping[str, Any],
        desk: Mapping[str, Any],
        store: Store,
        restored: RestoredOrder,
        max_batch_size: int = ledger.MOST_BATCH,
    ) -> None:
        """purges, desk: sections of the operator's file. restored: the stored order, under its new epoch."""
        super().__init__(reactor, log)
        self.clock = Clock()
        self.limits = ledger.Limits(desk["most live"], desk["most patterns"], max_batch_size)
        self.pending_answers: dict[int, Deferred] = {}  # by the token of the submission
        self.last_token = 0
        self.store, (self.tail, keys, loaded) = store, restored
        # Follower names to be added to the store, and to be removed.
        self.names_to_add: dict[str, int] = {}
        self.names_to_remove: set[str] = set()
        self.writing_names = False
        self.recent = RecentPurges()
        self.sealing_loop = SealingLoop(reactor, self._seal, log, "old purges cannot be sealed in the store")
        now = steady()
        self.ledger = ledger.Ledger(self.tail, keys, self.limits)
        self.followers = Followers(purges["lease"], purges["skew"], ROUNDING, now, loaded.followers)
        self.stored_names = {name for name, _ in loaded.followers}  # known to be on disk
        self._load_recent(loaded)
        self._track_restored_purges(now)

    # ---- the store

    def _track_restored_purges(self, now: int) -> None:
        """Tracks the purges that a previous incarnation accepted recently: they may not be in effect yet.

        The margin allows for that incarnation having run on another machine's clock.
        """
        self.restored_at = self.clock()  # start of the wait for previous incarnations' purges
        accepted_since = self.restored_at - self.followers.doubt()
        self.followers.read_anew(
            now, [purge for purge in self.tail.recent if purge.timestamp >= accepted_since]
        )

    def _load_recent(self, loaded: LoadedPurges) -> None:
        """Loads the purges shown to operators from the store."""
        self.floor = loaded.floor  # number of the last purge removed from the start
        self.recent.restore(loaded.rows[-MAX_RECENT:])

    def _reopen(self, min_epoch: int = 0) -> None:
        """Reads the store again under a new epoch of at least min_epoch; retries until it succeeds."""
        if not self.stopped:
            self.store.reopen(min_epoch).addCallbacks(
                self._reopened, self._not_reopened, errbackArgs=(min_epoch,)
            )

    def _reopened(self, restored: RestoredOrder) -> None:
        self.tail, keys, loaded = restored
        self._apply(self.ledger.reopened(self.tail, keys))
        self._track_restored_purges(steady())
        self._load_recent(loaded)
        self.log("store read again", epoch=self.tail.epoch, newest=self.tail.newest.n)
        for stream in list(self.streams):
            stream.abort()  # each reconnects and resumes from its position in the order as it is now

    def _not_reopened(self, failure: Failure, min_epoch: int) -> None:
        self.log("store cannot be read, purges are refused", failure.getErrorMessage(), level="error")
        if not self.stopped:
            self.reactor.callLater(REOPEN_INTERVAL, self._reopen, min_epoch)

    def raise_epoch(self, highest_epoch: int) -> None:
        """Raises the epoch above one that a follower has seen: this store was restored from an older copy.

        Done once, however many followers report it.
        """
        if self.ledger.state == ledger.BROKEN:
            return
        self.log(
            "store is older than what followers know; purges since its copy are lost, repeat them",
            level="error",
            epoch=self.tail.epoch,
            heard=highest_epoch,
        )
        self.count("stores_restored")
        self._apply(self.ledger.restored(), highest_epoch + 1)

    # ---- submissions

    def submit(
        self, key: str, items: tuple[tuple[str, str], ...], everything: bool
    ) -> Deferred[Accepted | Refused]:
        """Submits purges (fields of a Submission). The Deferred fires once they are durable, or refused."""
        self.last_token += 1
        answer = self.pending_answers[self.last_token] = Deferred()
        self._apply(self.ledger.submit(self.clock(), Submission(self.last_token, key, items, everything)))
        return answer

    def _apply(self, effects: list[ledger.Effect], min_epoch: int = 0) -> None:
        for effect in effects:
            if isinstance(effect, ledger.Write):
                self.store.append(effect.batch).addCallbacks(self._batch_written, self._batch_failed)
            elif isinstance(effect, ledger.Publish):
                self._publish(effect.purges, effect.keys)
            elif isinstance(effect, ledger.Reopen):
                self._reopen(min_epoch)
            else:
                accepted = isinstance(effect, Accepted)
                self.count("submissions_accepted" if accepted else "submissions_refused")
                self.pending_answers.pop(effect.token).callback(effect)

    def _batch_written(self, _: object) -> None:
        self._apply(self.ledger.written())

    def _batch_failed(self, failure: Failure) -> None:
        self.log(
            "store cannot be written, what was to be written is refused",
            failure.getErrorMessage(),
            level="error",
        )
        self.count("batches_failed")
        self._apply(self.ledger.failed())

    def _publish(self, purges: Sequence[Purge], keys: Sequence[str]) -> None:
        now, wall = steady(), self.clock()
        self.followers.accepted(now, purges)
        self.recent.add(now, wall, purges, keys)
        self.publish()
        self.settle()

    def in_effect(self, number: int, accepted_at: int, effective_at: int) -> None:
        """Records when a purge took effect, converted from the steady clock to the desk's."""
        self.recent.in_effect(number, self.clock() + effective_at - steady())

    # ---- periodic work

    def start(self) -> None:
        """Starts heartbeats, the removal of old purges, and sealing."""
        super().start()
        self._truncate()
        self.sealing_loop.start()

    def _truncate(self) -> None:
        if self.stopped:
            return
        up_to = self.tail.fold(self.clock())
        self.ledger.folded()
        if up_to and self.ledger.state != ledger.BROKEN:
            self.floor = up_to
            self.store.truncate(up_to).addErrback(self._log_write_failure)
        self.reactor.callLater(TRUNCATE_INTERVAL, self._truncate)

    def _seal(self) -> Deferred[bool]:
        return succeed(False) if self.ledger.state == ledger.BROKEN else self.store.seal()

    def is_stored(self, name: str, generation: int) -> bool:
        """Returns whether the store holds this follower's name; if not, schedules its write."""
        if name in self.stored_names:
            return True
        self.names_to_add[name] = generation
        self.names_to_remove.discard(name)
        self._write_names()
        return False

    def follower_left(self, name: str) -> None:
        """Removes its name from the store."""
        self.names_to_add.pop(name, None)
        self.names_to_remove.add(name)
        self._write_names()

    def tick(self) -> None:
        """Removes followers that have long had no lease, and checks which purges are in effect."""
        self.names_to_remove.update(
            name for name in self.followers.struck_off() if name not in self.followers.rows
        )
        self._write_names()
        self.settle()

    def _write_names(self) -> None:
        """Writes name changes, one write at a time. An added name counts once it is on disk, a removed one no
        longer counts from now on, though its write may have to wait.
        """
        self.stored_names.difference_update(self.names_to_remove)
        if (
            self.writing_names
            or not (self.names_to_add or self.names_to_remove)
            or self.ledger.state == ledger.BROKEN
        ):
            return
        joined, left = sorted(self.names_to_add.items()), sorted(self.names_to_remove)
        self.names_to_add, self.names_to_remove, self.writing_names = {}, set(), True
        done = self.store.update_followers(joined, left)
        done.addCallbacks(
            lambda _: self.stored_names.update(name for name, _ in joined), self._log_write_failure
        ).addCallback(self._names_written)

    def _names_written(self, _: object) -> None:
        self.writing_names = False
        self._write_names()

    def _log_write_failure(self, failure: Failure) -> None:
        self.log("store cannot be written", failure.getErrorMessage(), level="error")

    def stop(self) -> Deferred[None]:
        """Stops the desk; the Deferred fires once the store is closed."""
        super().stop()
        self.sealing_loop.stop()
        done = self.store.close() if self.ledger.state != ledger.BROKEN else succeed(None)
        done.addErrback(lambda _: None)
        return done.addCallback(lambda _: self.reactor.callLater(0, self.store.release))

    # ---- status

    def purge_facts(self, number: int) -> dict[str, Any] | None:
        """Returns the facts of one of the newest purges, or None; see RecentPurges.facts."""
        return self.recent.facts(number, steady(), self.restored_at, self.followers)

    def newest(self, limit: int) -> tuple[list[dict[str, Any]], int]:
        """Returns (facts of up to limit of the newest purges, how many the store holds in total)."""
        rows = [self.purge_facts(number) | {"behind": None} for number in self.recent.newest(limit)]
        return rows, self.tail.newest.n - self.floor

    def facts(self) -> dict[str, Any]:
        """Returns the body of /v1/status at a desk."""
        return {
            **super().facts(),
            "patterns": self.ledger.patterns,
            "state": self.ledger.state,
            "role": "desk",
        }
