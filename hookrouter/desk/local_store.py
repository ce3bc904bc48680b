"""The desk's store on the local disk. Blocking calls run in one thread, in the order of the calls."""

import sqlite3
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorThreads
from twisted.internet.threads import deferToThreadPool
from twisted.python.threadpool import ThreadPool

from ..clock import unix_milliseconds
from ..purges.submissions import MOST_ITEMS
from ..purges.tail import RECENT, Tail
from ..purges.types import Purge
from ..stores import PurgeLog, UnusableStore
from ..stores.purge_log import LoadedPurges
from ..stores.purge_slices import SealingTerms
from .store import RestoredOrder

MIN_UNSEALED = RECENT + MOST_ITEMS  # purges; covers the whole submissions of all that a tail keeps
SEAL_BATCH_SIZE = 500  # purges sealed per step: some milliseconds of the store's thread


def restore_order(loaded: LoadedPurges, hold: int, epoch: int) -> RestoredOrder:
    """Builds the order from what a store held, for the incarnation of that epoch. hold: as in PurgeTerms."""
    sealed = loaded.sealed
    tail, keys = Tail(hold, epoch, max(loaded.floor, sealed.through), archive=sealed.archive), {}
    tail.recall(sealed.exact, sealed.firsts)
    for purge, key in loaded.rows:
        tail.add(purge)
        keys[key] = (*keys.get(key, ()), purge)
    return RestoredOrder(tail, keys, loaded)


def sealing_terms(purges: Mapping[str, Any]) -> SealingTerms:
    """Returns the parameters of sealing. purges: section of the operator's file."""
    return SealingTerms(purges["hold"], purges["sealed"], MIN_UNSEALED)


class LocalStore:
    """Stores a desk's order in a local file. With the fleet's log, Kept of fleet/member/purges.py replaces
    it.

    Each Deferred fires once the change is on disk; it fails with sqlite3.Error, or UnusableStore on reopen.
    """

    def __init__(self, reactor: IReactorThreads, path: str, purges: Mapping[str, Any]) -> None:
        """purges: section of the operator's file. read() opens the file."""
        self.reactor, self.path = reactor, path
        self.terms = sealing_terms(purges)
        self.store: PurgeLog | None = None
        self.pool = ThreadPool(1, 1, "store")  # one thread, so calls run in order
        self.pool.start()

    def read(self, min_epoch: int) -> RestoredOrder:
        """Opens the file and reads it under a new epoch of at least min_epoch; blocks.

        Raises UnusableStore with the file and the fault.
        """
        self.store = PurgeLog(self.path)
        try:
            loaded = self.store.load(self.terms.hold, self.terms.most_sealed)
            epoch = self.store.begin_epoch(max(min_epoch, unix_milliseconds()))
        except sqlite3.Error as error:
            self.store.close()
            raise UnusableStore(f"{self.path}: {error}") from None
        except BaseException:
            self.store.close()
            raise
        return restore_order(loaded, self.terms.hold, epoch)

    def _run_in_thread(self, call: Callable, *args: object) -> Deferred:
        return deferToThreadPool(self.reactor, self.pool, call, *args)

    def reopen(self, min_epoch: int) -> Deferred[RestoredOrder]:
        """Closes the file and reads it again in the thread, after pending writes."""
        return self._run_in_thread(self._close_and_read, min_epoch)

    def _close_and_read(self, min_epoch: int) -> RestoredOrder:
        self.store.close()
        return self.read(min_epoch)

    def append(self, batch: tuple[tuple[Purge, str], ...]) -> Deferred[None]:
        """Appends the next purges of the order, each with the key of its submission."""
        return self._run_in_thread(self.store.append, batch)

    def truncate(self, up_to: int) -> Deferred[None]:
        """Removes the purges up to and including that number."""
        return self._run_in_thread(self.store.truncate, up_to)

    def seal(self) -> Deferred[bool]:
        """Seals one batch of old purges; the result says whether more are waiting."""
        return self._run_in_thread(self.store.seal_batch, self.terms, SEAL_BATCH_SIZE).addCallback(
            lambda count: count == SEAL_BATCH_SIZE
        )

    def update_followers(self, joined: list[tuple[str, int]], left: list[str]) -> Deferred[None]:
        """joined: (name, generation) of followers to be added; left: names of followers to be removed."""
        return self._run_in_thread(self.store.update_followers, joined, left)

    def close(self) -> Deferred[None]:
        """Closes the file after all earlier calls."""
        return self._run_in_thread(self.store.close)

    def release(self) -> None:
        """Stops the thread; called after close has fired, or if nothing was read."""
        self.pool.stop()
