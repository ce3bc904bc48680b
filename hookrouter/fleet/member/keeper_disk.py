"""The store of a keeper's log, with a thread of its own: writes reach the disk in the order of the calls."""

import sqlite3

from twisted.internet.threads import deferToThreadPool
from twisted.python.threadpool import ThreadPool

from ...stores import UnusableStore
from ...stores.keeper_log import KeeperLog


class KeeperDisk:
    """Opens the store and writes to it; each Deferred fires in the reactor's thread."""

    def __init__(self, reactor, path, name):
        """name: of the keeper. The store is opened by load()."""
        self._reactor, self._path, self._name = reactor, path, name
        self._store = None
        self._pool = ThreadPool(1, 1, "keeper's store")
        self._pool.start()

    def load(self):
        """Opens the store, again if it is open, and returns what it holds; raises UnusableStore."""
        if self._store is not None:
            self._store.close()
        self._store = KeeperLog(self._path, self._name)
        try:
            return self._store.load()
        except sqlite3.Error as error:
            self._store.close()
            raise UnusableStore(f"{self._path}: {error}") from None

    def write(self, persist):
        """Writes a protocol.Persist; the Deferred fires once it is on disk."""
        return deferToThreadPool(self._reactor, self._pool, self._store.write, persist)

    def reopen(self):
        """Opens the store again; the Deferred fires with what it holds once it can be written."""
        return deferToThreadPool(self._reactor, self._pool, self._reload_and_probe)

    def _reload_and_probe(self):
        """Loads the store, and proves by a write of existing data that it can be written again."""
        stored = self.load()
        self._store.probe()
        return stored

    def close(self):
        """Ends the thread after its calls, and closes the store. Blocks briefly."""
        self._pool.stop()
        if self._store is not None:
            self._store.close()
