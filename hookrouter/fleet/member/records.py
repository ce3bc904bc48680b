"""A keeper's copy of the order of purges on disk: what replicas/record_copy.py decides,
done in a thread of its own.

Apart from the keeper's own store, so that a vote never waits behind what is filed here.
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
PART = 400_000  # bytes of records sent to one that fetches, at a time: a frame takes them
MOST_NAMES = 10_000
REOPEN_EVERY = 1.0  # seconds between tries to open a store that failed
AWAY = 3  # files of copies that differed, kept under other names; older ones are written over


class Records:
    def __init__(self, reactor, path, terms, others, clock, log, send, filed, recall):
        """terms: how old purges are sealed. send(to, message), filed(index), recall(): the member's."""
        self.reactor, self.path, self.others, self.clock, self.log = reactor, path, others, clock, log
        self.terms = terms
        self.sealing = SealingLoop(reactor, self._seal, log, "old purges cannot be sealed in the copy")
        self.send, self.filed, self.recall = send, filed, recall
        self.stopped, self.call, self.serving, self.away = False, None, 0, 0
        self.pool = ThreadPool(1, 1, "copy of purges")
        self.pool.start()
        self.store = None
        try:
            self.copy = record_copy.RecordCopy(DUTY, others, self._open())
        except BaseException:
            self.pool.stop()
            raise
        self.sealing.start()

    def _seal(self):
        """A step that seals old purges, so that the next owner of the desk need not read them one by one."""
        return self._threaded(lambda: self.store.seal_batch(self.terms, SEAL_BATCH_SIZE) == SEAL_BATCH_SIZE)

    # ---- the store; blocks

    def _open(self):
        """What is there, each seal checked; what is damaged is put away, and fetched from the others."""
        if self.store is not None:
            self.store.close()
            self.store = None
        try:
            self.store = PurgeLog(self.path)
            self.store.load(self.terms.hold, self.terms.most_sealed)
            return record_copy.StorePosition(*self.store.position())
        except DamagedStore as wrong:
            self.log("copy is damaged, put away and filled anew", str(wrong), level="error")
            return self._put_away()
        except sqlite3.Error as wrong:
            raise UnusableStore(f"{self.path}: {wrong}") from None

    def _put_away(self):
        if self.store is not None:
            self.store.close()
            self.store = None
        self.away = self.away % AWAY + 1
        for ending in ("", "-wal", "-shm"):
            if os.path.exists(self.path + ending):
                os.replace(self.path + ending, f"{self.path}.away{self.away}{ending}")
        self.store = PurgeLog(self.path)
        return record_copy.StorePosition(*self.store.position())

    def _threaded(self, call, *args):
        return deferToThreadPool(self.reactor, self.pool, call, *args)

    # ---- told

    def agreed(self, index, records):
        self._carry(self.copy.on_committed(self.clock(), index, records))
        if not self.copy.queue and self.copy.writing is None and self.copy.state == record_copy.COMPLETE:
            self.filed(index)  # nothing of it was this copy's

    def caught(self, index, orders):
        newest, seal = {duty: rest for duty, *rest in orders}.get(DUTY, (0, INITIAL_HASH))
        self._carry(self.copy.on_snapshot(self.clock(), index, newest, seal))

    def heard(self, sender, message):
        """A Fetch or Fetched."""
        if message.duty != DUTY or sender not in self.others:
            return
        if isinstance(message, protocol.Fetched):
            self._carry(self.copy.on_fetched(self.clock(), sender, message))
        elif not self.serving:  # one at a time: who serves is not slowed by who catches up
            self.serving += 1
            self._threaded(self._part, message).addCallbacks(
                lambda told: self.send(sender, told), lambda _: None
            ).addBoth(self._served)

    def _part(self, asked):
        start, seal, bodies, agrees = self.store.read_part(asked.after, asked.chain_hash, PART)
        index, names = self.store.position()[3], None
        if asked.names:
            bodies, names = [], self.store.follower_names()[:MOST_NAMES]
        return protocol.Fetched(DUTY, asked.request_id, start, seal, bodies, agrees, index, names)

    def _served(self, _):
        self.serving -= 1

    def _carry(self, effects):
        for effect in effects:
            if isinstance(effect, record_copy.Write):
                self._threaded(self.store.apply_steps, effect.steps, effect.index).addCallbacks(
                    self._written,
                    self._not_written,
                    callbackArgs=(effect.write_id,),
                    errbackArgs=(effect.write_id,),
                )
            elif isinstance(effect, record_copy.SendFetch):
                self.send(effect.receiver, effect.message)
            elif isinstance(effect, record_copy.RecordsStored):
                self.filed(effect.index)
            elif effect is record_copy.REPLACE_STORE:
                self.reactor.callLater(REOPEN_EVERY, self._again, self._put_away)
            elif effect is record_copy.REOPEN_STORE:
                self.reactor.callLater(REOPEN_EVERY, self._again, self._open)
            else:
                self.log(effect.event, level="warn", **dict(effect.fields))
        self._set()

    def _set(self):
        if self.call is not None and self.call.active():
            self.call.cancel()
        at = self.copy.alarm()
        if at is not None and not self.stopped:
            self.call = self.reactor.callLater(max(0.001, (at - self.clock()) / 10_000), self._tick)

    def _tick(self):
        self._carry(self.copy.tick(self.clock()))

    def _written(self, _, token):
        if not self.stopped:
            self._carry(self.copy.on_written(self.clock(), token, True))

    def _not_written(self, failure, token):
        if self.stopped:
            return
        differs = failure.check(CopyDiffers) is not None
        self.log(
            "copy of purges: " + ("differs" if differs else "cannot be written"),
            failure.getErrorMessage(),
            level="error",
        )
        self._carry(self.copy.on_written(self.clock(), token, False, differs))

    def _again(self, how):
        if not self.stopped:
            self._threaded(how).addCallbacks(self._opened, self._not_opened, errbackArgs=(how,))

    def _opened(self, store):
        if not self.stopped:
            self._carry(self.copy.on_opened(self.clock(), store))
            self.recall()

    def _not_opened(self, failure, how):
        self.log("copy of purges cannot be opened", failure.getErrorMessage(), level="error")
        if not self.stopped:
            self.reactor.callLater(REOPEN_EVERY, self._again, how)

    # ---- asked by who owns the duties on it

    def shown(self):
        copy = self.copy
        return [DUTY, copy.state, copy.newest, copy.floor, copy.chain_hash.hex()]

    def whole(self):
        return self.copy.is_complete()

    def sound(self):
        """Whether it only has to take in what comes."""
        return self.copy.state == record_copy.COMPLETE

    def read(self, epoch):
        """A Deferred of RestoredOrder, as LocalStore gives it."""

        def reading():
            loaded = self.store.load(self.terms.hold, self.terms.most_sealed)
            return restore_order(loaded, self.terms.hold, epoch)

        return self._threaded(reading)

    def older(self, timestamp, most):
        return self._threaded(self.store.last_older_than, timestamp, most)

    def stop(self):
        self.stopped = True
        self.sealing.stop()
        if self.call is not None and self.call.active():
            self.call.cancel()
        if self.store is not None:
            self._threaded(self.store.close).addErrback(lambda _: None)
        self.pool.stop()  # behind what it was given
