"""A member of the fleet: where it keeps, the keeper's core and its store; and the duties that it holds."""

import sqlite3
import time

from twisted.internet.threads import deferToThreadPool
from twisted.python.threadpool import ThreadPool

from ...decisions.owners import Holder, Keeper, Settings, protocol
from ...decisions.owners.duties import DONE
from ...decisions.owners.keeper import STORE_FAILED
from ...feed.purges import steady
from ...stores import UnusableStore
from ...stores.keeper_log import KeeperLog
from ...terms import SECOND
from ..wire import Peers
from ..wire.post import Parcel
from .asker import Asker
from .roster import SHARES, Roster
from .steps import Steps

REOPEN_EVERY = 1.0  # seconds between tries to write again
WARM = "warm."  # duties of that name and a zone fill a cache that started
DRILL = "drill/"  # duties of that name are worked in steps at the register of [fleet] drill


class Member:
    def __init__(self, reactor, log, sections, routes=False):
        """sections: of the operator's file; [purges] and [desk] beside [fleet]: this keeper has a copy of the
        order of purges, and bears the desk. routes: this process runs lookups.
        """
        fleet = sections["fleet"]
        self.reactor, self.log, self.fleet = reactor, log, fleet
        self.name, self.stopped, self.call, self.store = fleet["name"], False, None, None
        keepers = fleet["keepers"]
        self.terms = Settings(self.name, int(time.time() * 1_000), tuple(keepers), lease=fleet["lease"])
        self.peers = Peers(reactor, self.name, dict(keepers), fleet["secret"].value, self.heard, log)
        self.keeper, self.pool = None, None
        if self.name in keepers:
            self.pool = ThreadPool(1, 1, "keeper's store")  # one thread: batches reach the disk in order
            self.pool.start()
            try:
                stored = self._read()
            except BaseException:
                self.pool.stop()
                raise
            self.keeper = Keeper(self.terms, stored, steady(), self.terms.generation)
        self.holder, self.to, self.turn = Holder(self.name, self.terms.generation, self.terms, []), None, 0
        self.askers = {
            stream: Asker(reactor, f"{self.name}#{self.terms.generation}.{stream}", self._tell)
            for stream in ("steps", "purges", "sweep")
        }
        self.steps = Steps(reactor, fleet["drill"], self._done, log) if fleet["drill"] else None
        self.spread = None
        self.warming = None  # who works the duties warm/..., where this member does
        self.sharing = self.parcelled = None  # parcelled: called for what further parts say: name, Parcel
        role = ("keeper" if self.keeper else "member") + (SHARES if routes and "sharing" in sections else "")
        self.roster = Roster(reactor, fleet, self.terms.generation, role, steady, log)
        self.records = self.port = None
        self.work = {}  # duty -> who does it
        if self.keeper is not None and "desk" in sections:
            try:
                self._bear_purges(sections)
            except BaseException:
                self.pool.stop()
                self.store.close()
                raise

    def _bear_purges(self, sections):
        from ...desk.local_store import sealing_terms
        from .purge_door import Door
        from .purges import SWEEPING, PurgesDuty, Sweeping
        from .records import DUTY, Records

        others = [name for name in self.fleet["keepers"] if name != self.name]
        self.records = Records(
            self.reactor,
            sections["desk"]["store"],
            sealing_terms(sections["purges"]),
            others,
            steady,
            self.log,
            self._send,
            self._filed,
            self._recall,
        )
        desk = PurgesDuty(
            self.reactor,
            self.log,
            sections,
            self.records,
            self.askers["purges"],
            steady,
            self._filed_upto,
            self._give_up,
        )
        self.work[DUTY] = desk
        self.work[SWEEPING] = Sweeping(
            self.reactor,
            self.log,
            sections["purges"]["hold"],
            self.records,
            self.askers["sweep"],
            lambda: int(time.time() * SECOND),
            steady,
            self._step_of,
        )
        self.door = Door(desk, self.reactor, lambda: self._where(DUTY))
        self.desk_listen = sections["desk"]["listen"]

    def _read(self):
        if self.store is not None:
            self.store.close()
        self.store = KeeperLog(self.fleet["store"], self.name)
        try:
            return self.store.load()
        except sqlite3.Error as wrong:
            self.store.close()
            raise UnusableStore(f"{self.fleet['store']}: {wrong}") from None

    def start(self):
        self.peers.listen(*self.fleet["listen"])
        if self.records is not None:
            from ...desk.web import bounded_site

            host, port = self.desk_listen
            self.port = self.reactor.listenTCP(port, bounded_site(self.door), backlog=512, interface=host)
        if self.keeper is not None:
            self._carry(self.keeper.take(steady(), protocol.Started()))
        self.roster.start()
        self._tick()
        if self.sharing is not None:
            self.sharing.start()
        if self.spread is not None:
            self.spread.start()

    # ---- time

    def _tick(self):
        now = steady()
        if self.keeper is not None and now >= self.keeper.alarm():
            self._carry(self.keeper.take(now, protocol.Tick()))
        self._bear()
        renew, lost = self.holder.tick(now)
        self._lost(lost)
        if renew is not None:
            self._tell(renew)
        self._set()

    def _bear(self):
        """What this member can do now; what it cannot any more it gives up at once."""
        whole = self.records is not None and self.keeper.state != STORE_FAILED and self.records.sound()
        self.holder.duty_kinds = ["drill"] if self.steps is not None else []
        if self.warming is not None:
            self.holder.duty_kinds.append(self.warming.sort)
        for duty in self.work:
            if whole:
                self.holder.duty_kinds.append(duty.partition("/")[0])
            else:
                self._give_up(duty, "its copy cannot be written, or lacks something")

    def _give_up(self, duty, why):
        renew, lost = self.holder.release(steady(), duty, why)
        self._lost(lost)
        if renew is not None:
            self._tell(renew)

    def _set(self):
        if self.call is not None and self.call.active():
            self.call.cancel()
        if not self.stopped:
            at = self.holder.alarm() if self.keeper is None else min(self.holder.alarm(), self.keeper.alarm())
            self.call = self.reactor.callLater(max(0.001, (at - steady()) / SECOND), self._tick)

    # ---- messages

    def heard(self, sender, message):
        if self.stopped:
            return
        if isinstance(message, protocol.Renewed):
            gained, lost, renew = self.holder.on_renewed(steady(), message)
            self._lost(lost)
            self._gained(gained)
            if renew is not None:
                self._tell(renew)
        elif isinstance(message, protocol.Answer):
            self._answered(message)
        elif isinstance(message, protocol.RosterRequest):
            found = self.roster.shown() if message.name is None else self.roster.explained(message.name)
            if message.name is None and self.sharing is not None:
                found["shared"] = self.sharing.shown()
            if message.name is None and self.spread is not None:
                found["spread"] = self.spread.shown()
            self._send(sender, protocol.Answer(message.key, found))
        elif isinstance(message, Parcel):
            if self.parcelled is not None:
                self.parcelled(sender, message)
        elif isinstance(message, protocol.StatusRequest) and self.keeper is not None:
            self._send(
                sender, protocol.Answer(message.key, {**self.keeper.status(), "copies": self._copies()})
            )
        elif isinstance(message, protocol.DrillRequest):
            self._drill(sender, message)
        elif isinstance(message, protocol.Fetch | protocol.Fetched):
            if self.records is not None:
                self.records.heard(sender, message)
        elif self.keeper is not None:
            self._carry(self.keeper.take(steady(), protocol.Received(sender, message)))
        self._set()

    def _carry(self, effects):
        for effect in effects:
            if isinstance(effect, protocol.Send):
                self._send(effect.receiver, effect.message)
            elif isinstance(effect, protocol.Persist):
                deferToThreadPool(self.reactor, self.pool, self.store.write, effect).addCallbacks(
                    self._wrote,
                    self._not_written,
                    callbackArgs=(effect.write_id,),
                    errbackArgs=(effect.write_id,),
                )
            elif isinstance(effect, protocol.StoreRecords | protocol.SyncCopies):
                self.reactor.callLater(0, self._file, effect)
            else:
                self.log(effect.event, **dict(effect.fields))

    def _copies(self):
        """[[duty, state, newest, floor, seal]] of what this keeper has on its own disk."""
        return [] if self.records is None else [self.records.shown()]

    def _drill(self, sender, message):
        if self.steps is None:
            self._send(sender, protocol.Answer(message.key, ["no drills here: [fleet] drill is not set"]))
            return
        self._send(sender, protocol.Answer(message.key, ["cut"]))
        self.log("cut off for a drill", ms=message.span // 10, level="warn")
        until = self.reactor.seconds() + message.span / SECOND
        self.reactor.callLater(0, setattr, self.peers, "cut_until", until)
        self.roster.socket.cut_until = until

    # ---- copies of records; each call in a turn of its own, for one event at a time goes into the core

    def _file(self, effect):
        if self.stopped:
            return
        if self.records is None:
            if isinstance(effect, protocol.StoreRecords) or effect.sequences:
                self.log(
                    "records come of which this keeper keeps no copy: [purges] and [desk] are missing",
                    level="error",
                )
                self._filed(effect.index)
        elif isinstance(effect, protocol.StoreRecords):
            self.records.agreed(effect.index, effect.records)
        else:
            self.records.caught(effect.index, effect.sequences)

    def _filed(self, index):
        self._later(protocol.RecordsStored(index))

    def _recall(self):
        self._later(protocol.CopiesReopened())

    def _later(self, event):
        self.reactor.callLater(0, self._take, event)

    def _take(self, event):
        if not self.stopped:
            self._carry(self.keeper.take(steady(), event))
            self._set()

    def _filed_upto(self, index):
        """Whether all that was agreed up to that entry is in the copy."""
        unfiled = self.keeper.unstored_entries
        return self.keeper.applied >= index and (not unfiled or unfiled[0] > index) and self.records.whole()

    def _step_of(self, duty):
        row = self.keeper.duties.by_name.get(duty)
        return row.step if row is not None else 0

    def _where(self, duty):
        """Of the owner that the log knows last."""
        order = self.keeper.duties.sequences.get(duty)
        return order.address if order is not None else ""

    def _send(self, to, message):
        if to == self.name:  # its own holder, or its own keeper
            self.reactor.callLater(0, self.heard, to, message)
        else:
            self.peers.send(to, message)

    # ---- the disk

    def _wrote(self, _, token):
        self._take(protocol.WriteFinished(token, True))

    def _not_written(self, failure, token):
        self.log("keeper's store cannot be written", failure.getErrorMessage(), level="error")
        self._take(protocol.WriteFinished(token, False))
        self.reactor.callLater(REOPEN_EVERY, self._reopen)

    def _reopen(self):
        if not self.stopped:
            deferToThreadPool(self.reactor, self.pool, self._reread).addCallbacks(
                self._reopened, self._not_reopened
            )

    def _reread(self):
        """Read anew, and room for a batch is shown by writing one: what was there, and nothing more."""
        stored = self._read()
        self.store.probe()
        return stored

    def _reopened(self, stored):
        self._take(protocol.StoreReopened(stored))

    def _not_reopened(self, failure):
        self.log("keeper's store still cannot be written", failure.getErrorMessage(), level="error")
        self.reactor.callLater(REOPEN_EVERY, self._reopen)

    # ---- duties

    def _tell(self, message):
        """To the leader as far as it is known, else to the keepers in turn."""
        if self.to is None or self.holder.leader_silent(steady()):
            names = list(self.fleet["keepers"])
            self.turn += 1
            self._send(names[self.turn % len(names)], message)
        else:
            self._send(self.to, message)

    def _gained(self, gained):
        for duty, number, cause in gained:
            self.log("duty gained", duty=duty, number=number, why=cause)
            if self.steps is not None and duty.startswith(DRILL):
                self.steps.work(self.holder.leases[duty], steady)
            elif duty in self.work:
                self.work[duty].gained(self.holder.leases[duty])
            elif self.warming is not None and duty.startswith(WARM):
                self.warming.gained(self.holder.leases[duty])

    def _lost(self, lost):
        for duty, number, cause in lost:
            self.log("duty lost", duty=duty, number=number, why=cause)
            if duty in self.work:
                self.work[duty].lost()
            elif self.warming is not None and duty.startswith(WARM):
                self.warming.lost(duty)

    def _done(self, duty, number, step):
        self.askers["steps"].ask(DONE, [duty, number, step]).addErrback(lambda _: None)

    def _answered(self, answer):
        if answer.leader is not None or answer.result is None:
            before, self.to = self.to, answer.leader
            if self.to not in (None, before):
                for asker in self.askers.values():
                    asker.moved()
        else:
            any(asker.answered(answer) for asker in self.askers.values())

    # ---- the end

    def leave(self):
        """Duties are given up at once, so others have them within a round; all are told that it ends."""
        if self.holder.leaving or self.stopped:
            return
        renew, lost = self.holder.leave(steady())
        self._lost(lost)
        self._tell(renew)
        self.roster.leave(False)

    def end(self):
        """All is closed; the store, too, so it blocks for a moment."""
        if self.stopped:
            return
        self.stopped = True
        if self.call is not None and self.call.active():
            self.call.cancel()
        if self.steps is not None:
            self.steps.stop()
        for asker in self.askers.values():
            asker.stop()
        if self.warming is not None:
            self.warming.stop()
        if self.sharing is not None:
            self.sharing.stop()
        if self.spread is not None:
            self.spread.stop()
        self.roster.leave(True)
        self.roster.stop()
        if self.port is not None:
            self.port.stopListening()
        if self.records is not None:
            self.records.stop()
        self.peers.stop()
        if self.pool is not None:
            self.pool.stop()
            self.store.close()
