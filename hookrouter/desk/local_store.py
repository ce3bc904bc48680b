"""The desk's order on the local disk; what blocks runs in a thread, in the order of the calls."""

import sqlite3
import time

from twisted.internet.threads import deferToThreadPool
from twisted.python.threadpool import ThreadPool

from ..purges.tail import Tail
from ..stores import PurgeLog, Unusable


def replayed(loaded, hold, epoch):
    """(Tail, keys) of what a store held, for a life of that epoch."""
    tail, keys = Tail(hold, epoch, loaded.floor), {}
    for purge, key in loaded.rows:
        tail.add(purge)
        keys[key] = (*keys.get(key, ()), purge)
    return tail, keys


class LocalStore:
    """What keeps a desk's order: read or reopen, append, fold, update_followers, close. The other one is
    fleet/member/purges.py.
    """

    def __init__(self, reactor, path, hold):
        self.reactor, self.path, self.hold = reactor, path, hold
        self.store = None
        self.pool = ThreadPool(1, 1, "store")  # one thread: what it is given happens in order
        self.pool.start()

    def read(self, least):
        """(tail, keys, loaded) under a new epoch; blocks."""
        self.store = PurgeLog(self.path)
        try:
            loaded = self.store.load()
            epoch = self.store.begin(max(least, int(time.time() * 1_000)))
        except sqlite3.Error as wrong:
            self.store.close()
            raise Unusable(f"{self.path}: {wrong}") from None
        except BaseException:
            self.store.close()
            raise
        return *replayed(loaded, self.hold, epoch), loaded

    def _threaded(self, call, *args):
        return deferToThreadPool(self.reactor, self.pool, call, *args)

    def reopen(self, least):
        """As read, in the thread: behind what is being written."""
        return self._threaded(self._reread, least)

    def _reread(self, least):
        self.store.close()
        return self.read(least)

    def append(self, batch):
        return self._threaded(self.store.append, batch)

    def fold(self, upto):
        return self._threaded(self.store.fold, upto)

    def update_followers(self, joined, left):
        return self._threaded(self.store.update_followers, joined, left)

    def close(self):
        return self._threaded(self.store.close)

    def end(self):
        """After close has fired, or where nothing was read."""
        self.pool.stop()
