"""A keeper's on-disk copy of the purge sequence: carries out the decisions of replicas/record_copy.py.

It has its own store and thread, separate from the keeper's store, so votes never wait for purge writes.
"""

import os
import sqlite3

from twisted.internet.threads import deferToThreadPool
from twisted.python.threadpool import ThreadPool

from ...decisions.owners import protocol
from ...decisions.owners.duties import INITIAL_HASH
from ...decisions.replicas import record_copy
from ...desk.local_store import SEAL_BATCH_SIZE, restore_order
from ...desk.sealing import SealingLoop
from ...errors.stores import CopyDiffers, DamagedStore
from ...stores import PurgeLog, UnusableStore

DUTY = "purges"
MAX_FETCH_BYTES = 400_000  # bytes of records in one reply to a fetch; fits into a frame
MAX_NAMES = 10_000
REOPEN_INTERVAL = 1.0  # seconds between tries to open a store that failed
MAX_SET_ASIDE = 3  # renamed files of damaged or different copies that are kept; older ones are overwritten


class Records:
    """The local copy of the purge records and its exchange with the other keepers."""

    def __init__(self, reactor, path, terms, other_keepers, clock, log, send, on_stored, on_reopened):
        """terms: sealing terms. send(receiver, message); on_stored(index): entries up to it are on disk;
        on_reopened(): the store was opened again.
        """
        self.reactor, self.path, self.other_keepers, self.clock, self.log = (
            reactor,
            path,
            other_keepers,
            clock,
            log,
        )
        self.terms = terms
        self.sealing = SealingLoop(reactor, self._seal, log, "old purges cannot be sealed in the copy")
        self.send, self.on_stored, self.on_reopened = send, on_stored, on_reopened
        self.stopped, self.timer, self.fetches_served, self.set_aside_count = False, None, 0, 0
        self.pool = ThreadPool(1, 1, "copy of purges")
        self.pool.start()
        self.store = None
        try:
            self.copy = record_copy.RecordCopy(DUTY, other_keepers, self._open())
        except BaseException:
            self.pool.stop()
            raise
        self.sealing.start()

    def _seal(self):
        """Seals one batch of old purges, so the next desk owner need not read them one by one."""
        return self._in_thread(lambda: self.store.seal_batch(self.terms, SEAL_BATCH_SIZE) == SEAL_BATCH_SIZE)

    # ---- the store; blocking, run in its thread

    def _open(self):
        """Opens the store and checks its seals; a damaged one is set aside and refetched."""
        if self.store is not None:
            self.store.close()
            self.store = None
        try:
            self.store = PurgeLog(self.path)
            self.store.load(self.terms.hold, self.terms.most_sealed)
            return record_copy.StorePosition(*self.store.position())
        except DamagedStore as error:
            self.log("copy is damaged, put away and filled anew", str(error), level="error")
            return self._set_aside()
        except sqlite3.Error as error:
            raise UnusableStore(f"{self.path}: {error}") from None

    def _set_aside(self):
        if self.store is not None:
            self.store.close()
            self.store = None
        self.set_aside_count = self.set_aside_count % MAX_SET_ASIDE + 1
        for suffix in ("", "-wal", "-shm"):
            if os.path.exists(self.path + suffix):
                os.replace(self.path + suffix, f"{self.path}.away{self.set_aside_count}{suffix}")
        self.store = PurgeLog(self.path)
        return record_copy.StorePosition(*self.store.position())

    def _in_thread(self, call, *args):
        return deferToThreadPool(self.reactor, self.pool, call, *args)

    # ---- events

    def store_committed(self, index, records):
        """Writes the records of a committed log entry."""
        self._apply(self.copy.on_committed(self.clock(), index, records))
        if not self.copy.queue and self.copy.writing is None and self.copy.state == record_copy.COMPLETE:
            self.on_stored(index)  # no record of this copy is pending

    def apply_snapshot(self, index, orders):
        """Compares the copy with the position in a snapshot of the log, and fetches what is missing."""
        newest, seal = {duty: rest for duty, *rest in orders}.get(DUTY, (0, INITIAL_HASH))
        self._apply(self.copy.on_snapshot(self.clock(), index, newest, seal))

    def on_message(self, sender, message):
        """Handles a Fetch or Fetched message of another keeper."""
        if message.duty != DUTY or sender not in self.other_keepers:
            return
        if isinstance(message, protocol.Fetched):
            self._apply(self.copy.on_fetched(self.clock(), sender, message))
        elif not self.fetches_served:  # one at a time, so serving fetches does not slow this keeper
            self.fetches_served += 1
            self._in_thread(self._read_for_fetch, message).addCallbacks(
                lambda reply: self.send(sender, reply), lambda _: None
            ).addBoth(self._on_fetch_served)

    def _read_for_fetch(self, fetch):
        start, seal, bodies, agrees = self.store.read_part(fetch.after, fetch.chain_hash, MAX_FETCH_BYTES)
        index, names = self.store.position()[3], None
        if fetch.names:
            bodies, names = [], self.store.follower_names()[:MAX_NAMES]
        return protocol.Fetched(DUTY, fetch.request_id, start, seal, bodies, agrees, index, names)

    def _on_fetch_served(self, _):
        self.fetches_served -= 1

    def _apply(self, effects):
        for effect in effects:
            if isinstance(effect, record_copy.Write):
                self._in_thread(self.store.apply_steps, effect.steps, effect.index).addCallbacks(
                    self._write_done,
                    self._write_failed,
                    callbackArgs=(effect.write_id,),
                    errbackArgs=(effect.write_id,),
                )
            elif isinstance(effect, record_copy.SendFetch):
                self.send(effect.receiver, effect.message)
            elif isinstance(effect, record_copy.RecordsStored):
                self.on_stored(effect.index)
            elif effect is record_copy.REPLACE_STORE:
                self.reactor.callLater(REOPEN_INTERVAL, self._reopen, self._set_aside)
            elif effect is record_copy.REOPEN_STORE:
                self.reactor.callLater(REOPEN_INTERVAL, self._reopen, self._open)
            else:
                self.log(effect.event, level="warn", **dict(effect.fields))
        self._set_timer()

    def _set_timer(self):
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        alarm_at = self.copy.alarm()
        if alarm_at is not None and not self.stopped:
            self.timer = self.reactor.callLater(max(0.001, (alarm_at - self.clock()) / 10_000), self._tick)

    def _tick(self):
        self._apply(self.copy.tick(self.clock()))

    def _write_done(self, _, write_id):
        if not self.stopped:
            self._apply(self.copy.on_written(self.clock(), write_id, True))

    def _write_failed(self, failure, write_id):
        if self.stopped:
            return
        differs = failure.check(CopyDiffers) is not None
        self.log(
            "copy of purges: " + ("differs" if differs else "cannot be written"),
            failure.getErrorMessage(),
            level="error",
        )
        self._apply(self.copy.on_written(self.clock(), write_id, False, differs))

    def _reopen(self, open_store):
        if not self.stopped:
            self._in_thread(open_store).addCallbacks(
                self._on_store_opened, self._on_open_failed, errbackArgs=(open_store,)
            )

    def _on_store_opened(self, store):
        if not self.stopped:
            self._apply(self.copy.on_opened(self.clock(), store))
            self.on_reopened()

    def _on_open_failed(self, failure, open_store):
        self.log("copy of purges cannot be opened", failure.getErrorMessage(), level="error")
        if not self.stopped:
            self.reactor.callLater(REOPEN_INTERVAL, self._reopen, open_store)

    # ---- used by the duties that need the copy

    def describe(self):
        """[duty, state, newest, floor, seal] for operators."""
        copy = self.copy
        return [DUTY, copy.state, copy.newest, copy.floor, copy.chain_hash.hex()]

    def has_all_records(self):
        """Whether all committed records are in the copy."""
        return self.copy.is_complete()

    def is_caught_up(self):
        """Whether the copy is complete apart from writes in progress."""
        return self.copy.state == record_copy.COMPLETE

    def read(self, epoch):
        """Returns a Deferred of the restored store, as LocalStore does."""

        def reading():
            loaded = self.store.load(self.terms.hold, self.terms.most_sealed)
            return restore_order(loaded, self.terms.hold, epoch)

        return self._in_thread(reading)

    def older(self, timestamp, limit):
        """Returns a Deferred of PurgeLog.last_older_than()."""
        return self._in_thread(self.store.last_older_than, timestamp, limit)

    def stop(self):
        """Stops; the store is closed after the queued calls."""
        self.stopped = True
        self.sealing.stop()
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.store is not None:
            self._in_thread(self.store.close).addErrback(lambda _: None)
        self.pool.stop()  # after the queued calls
