"""A fleet member: the keeper core and its store where it is a keeper, and the duties that it holds."""

from ...clock import steady, unix_milliseconds, unix_seconds
from ...decisions.owners import Holder, Keeper, Settings, protocol
from ...decisions.owners.duties import DONE
from ...decisions.owners.keeper import STORE_FAILED
from ...terms import SECOND
from ..wire import Peers
from ..wire.post import Parcel
from .command_stream import CommandStream
from .drill import DrillWorker
from .keeper_disk import KeeperDisk
from .roster import SHARING_ROLE_SUFFIX, Roster

REOPEN_INTERVAL = 1.0  # seconds between attempts to reopen the store
WARM_PREFIX = "warm."  # prefix, followed by a zone: duties that warm a restarted cache
DRILL_PREFIX = "drill/"  # prefix: duties whose steps are sent to the register of [fleet] drill


class Member:
    """Connects keeper, lease holder and the parts of a member to sockets, timers and the disk."""

    def __init__(self, reactor, log, sections, routes=False):
        """sections: of the operator's file. A keeper with [purges] and [desk] has a copy of the purges and
        can own the desk. routes: this process serves lookups.
        """
        fleet = sections["fleet"]
        self.reactor, self.log, self.fleet = reactor, log, fleet
        self.name, self.stopped, self.timer = fleet["name"], False, None
        keepers = fleet["keepers"]
        self.terms = Settings(self.name, unix_milliseconds(), tuple(keepers), lease=fleet["lease"])
        self.peers = Peers(reactor, self.name, dict(keepers), fleet["secret"].value, self.on_message, log)
        self.keeper, self.disk = None, None
        if self.name in keepers:
            self.disk = KeeperDisk(reactor, fleet["store"], self.name)
            try:
                stored = self.disk.load()
            except BaseException:
                self.disk.close()
                raise
            self.keeper = Keeper(self.terms, stored, steady(), self.terms.generation)
        self.holder, self.leader_name, self.next_keeper = (
            Holder(self.name, self.terms.generation, self.terms, []),
            None,
            0,
        )
        self.command_streams = {
            stream: CommandStream(
                reactor, f"{self.name}#{self.terms.generation}.{stream}", self.send_to_leader
            )
            for stream in ("steps", "purges", "sweep")
        }
        self.drill_worker = (
            DrillWorker(reactor, fleet["drill"], self._report_step, log) if fleet["drill"] else None
        )
        self.spread = None
        self.warming = None  # the Warmer, if this member warms caches
        self.sharing = self.on_parcel = None  # on_parcel: called with (name, Parcel)
        role = ("keeper" if self.keeper else "member") + (
            SHARING_ROLE_SUFFIX if routes and "sharing" in sections else ""
        )
        self.roster = Roster(reactor, fleet, self.terms.generation, role, steady, log)
        self.records = self.port = None
        self.duty_workers = {}  # duty -> its worker
        if self.keeper is not None and "desk" in sections:
            try:
                self._set_up_purges(sections)
            except BaseException:
                self.disk.close()
                raise

    def _set_up_purges(self, sections):
        from ...desk.local_store import sealing_terms
        from .purge_endpoint import PurgeEndpoint
        from .purges import SWEEP_DUTY, PurgesDuty, SweepDuty
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
            self._on_records_stored,
            self._on_copies_reopened,
        )
        desk = PurgesDuty(
            self.reactor,
            self.log,
            sections,
            self.records,
            self.command_streams["purges"],
            steady,
            self._is_stored_up_to,
            self.give_up_duty,
        )
        self.duty_workers[DUTY] = desk
        self.duty_workers[SWEEP_DUTY] = SweepDuty(
            self.reactor,
            self.log,
            sections["purges"]["hold"],
            self.records,
            self.command_streams["sweep"],
            lambda: int(unix_seconds() * SECOND),
            steady,
            self._last_step,
        )
        self.purge_endpoint = PurgeEndpoint(desk, self.reactor, lambda: self._owner_address(DUTY))
        self.desk_listen = sections["desk"]["listen"]

    def start(self):
        """Listens and starts all parts; raises twisted's CannotListenError if a port is taken."""
        self.peers.listen(*self.fleet["listen"])
        if self.records is not None:
            from ...desk.web import bounded_site

            host, port = self.desk_listen
            self.port = self.reactor.listenTCP(
                port, bounded_site(self.purge_endpoint), backlog=512, interface=host
            )
        if self.keeper is not None:
            self._apply(self.keeper.take(steady(), protocol.Started()))
        self.roster.start()
        self._tick()
        if self.sharing is not None:
            self.sharing.start()
        if self.spread is not None:
            self.spread.start()

    # ---- timer

    def _tick(self):
        now = steady()
        if self.keeper is not None and now >= self.keeper.alarm():
            self._apply(self.keeper.take(now, protocol.Tick()))
        self._update_duty_kinds()
        renew, lost = self.holder.tick(now)
        self._on_lost(lost)
        if renew is not None:
            self.send_to_leader(renew)
        self._set_timer()

    def _update_duty_kinds(self):
        """Sets the duties that this member can own; gives up at once those that it no longer can."""
        can_own = (
            self.records is not None and self.keeper.state != STORE_FAILED and self.records.is_caught_up()
        )
        self.holder.duty_kinds = ["drill"] if self.drill_worker is not None else []
        if self.warming is not None:
            self.holder.duty_kinds.append(self.warming.duty_kind)
        for duty in self.duty_workers:
            if can_own:
                self.holder.duty_kinds.append(duty.partition("/")[0])
            else:
                self.give_up_duty(duty, "its copy cannot be written, or lacks something")

    def give_up_duty(self, duty, why):
        """Releases a duty, so that another member can own it."""
        renew, lost = self.holder.release(steady(), duty, why)
        self._on_lost(lost)
        if renew is not None:
            self.send_to_leader(renew)

    def _set_timer(self):
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if not self.stopped:
            alarm_at = (
                self.holder.alarm() if self.keeper is None else min(self.holder.alarm(), self.keeper.alarm())
            )
            self.timer = self.reactor.callLater(max(0.001, (alarm_at - steady()) / SECOND), self._tick)

    # ---- messages

    def on_message(self, sender, message):
        """Dispatches a message of another member, or of this member to itself."""
        if self.stopped:
            return
        if isinstance(message, protocol.Renewed):
            gained, lost, renew = self.holder.on_renewed(steady(), message)
            self._on_lost(lost)
            self._on_gained(gained)
            if renew is not None:
                self.send_to_leader(renew)
        elif isinstance(message, protocol.Answer):
            self._on_answer(message)
        elif isinstance(message, protocol.RosterRequest):
            found = self.roster.describe() if message.name is None else self.roster.history(message.name)
            if message.name is None and self.sharing is not None:
                found["shared"] = self.sharing.describe()
            if message.name is None and self.spread is not None:
                found["spread"] = self.spread.describe()
            self._send(sender, protocol.Answer(message.key, found))
        elif isinstance(message, Parcel):
            if self.on_parcel is not None:
                self.on_parcel(sender, message)
        elif isinstance(message, protocol.StatusRequest) and self.keeper is not None:
            self._send(
                sender, protocol.Answer(message.key, {**self.keeper.status(), "copies": self._copies()})
            )
        elif isinstance(message, protocol.DrillRequest):
            self._start_drill(sender, message)
        elif isinstance(message, protocol.Fetch | protocol.Fetched):
            if self.records is not None:
                self.records.on_message(sender, message)
        elif self.keeper is not None:
            self._apply(self.keeper.take(steady(), protocol.Received(sender, message)))
        self._set_timer()

    def _apply(self, effects):
        for effect in effects:
            if isinstance(effect, protocol.Send):
                self._send(effect.receiver, effect.message)
            elif isinstance(effect, protocol.Persist):
                self.disk.write(effect).addCallbacks(
                    self._on_written,
                    self._on_write_failed,
                    callbackArgs=(effect.write_id,),
                    errbackArgs=(effect.write_id,),
                )
            elif isinstance(effect, protocol.StoreRecords | protocol.SyncCopies):
                self.reactor.callLater(0, self._store_records, effect)
            else:
                self.log(effect.event, **dict(effect.fields))

    def _copies(self):
        """[[duty, state, newest, floor, seal]] of this keeper's copies on disk."""
        return [] if self.records is None else [self.records.describe()]

    def _start_drill(self, sender, message):
        if self.drill_worker is None:
            self._send(sender, protocol.Answer(message.key, ["no drills here: [fleet] drill is not set"]))
            return
        self._send(sender, protocol.Answer(message.key, ["cut"]))
        self.log("cut off for a drill", ms=message.span // 10, level="warn")
        until = self.reactor.seconds() + message.span / SECOND
        self.reactor.callLater(0, setattr, self.peers, "cut_until", until)
        self.roster.socket.cut_until = until

    # ---- copies of records; each call runs in its own reactor turn: the core takes one event at a time

    def _store_records(self, effect):
        if self.stopped:
            return
        if self.records is None:
            if isinstance(effect, protocol.StoreRecords) or effect.sequences:
                self.log(
                    "records come of which this keeper keeps no copy: [purges] and [desk] are missing",
                    level="error",
                )
                self._on_records_stored(effect.index)
        elif isinstance(effect, protocol.StoreRecords):
            self.records.store_committed(effect.index, effect.records)
        else:
            self.records.apply_snapshot(effect.index, effect.sequences)

    def _on_records_stored(self, index):
        self._handle_later(protocol.RecordsStored(index))

    def _on_copies_reopened(self):
        self._handle_later(protocol.CopiesReopened())

    def _handle_later(self, event):
        self.reactor.callLater(0, self._handle, event)

    def _handle(self, event):
        if not self.stopped:
            self._apply(self.keeper.take(steady(), event))
            self._set_timer()

    def _is_stored_up_to(self, index):
        """Whether all entries up to this index are applied and in the copy."""
        unfiled = self.keeper.unstored_entries
        return (
            self.keeper.applied >= index
            and (not unfiled or unfiled[0] > index)
            and self.records.has_all_records()
        )

    def _last_step(self, duty):
        row = self.keeper.duties.by_name.get(duty)
        return row.step if row is not None else 0

    def _owner_address(self, duty):
        """Address of the last owner known from the log, or ""."""
        order = self.keeper.duties.sequences.get(duty)
        return order.address if order is not None else ""

    def _send(self, receiver, message):
        if receiver == self.name:  # between this member's own holder and keeper
            self.reactor.callLater(0, self.on_message, receiver, message)
        else:
            self.peers.send(receiver, message)

    # ---- the disk

    def _on_written(self, _, write_id):
        self._handle(protocol.WriteFinished(write_id, True))

    def _on_write_failed(self, failure, write_id):
        self.log("keeper's store cannot be written", failure.getErrorMessage(), level="error")
        self._handle(protocol.WriteFinished(write_id, False))
        self.reactor.callLater(REOPEN_INTERVAL, self._reopen)

    def _reopen(self):
        if not self.stopped:
            self.disk.reopen().addCallbacks(self._on_store_reopened, self._on_reopen_failed)

    def _on_store_reopened(self, stored):
        self._handle(protocol.StoreReopened(stored))

    def _on_reopen_failed(self, failure):
        self.log("keeper's store still cannot be written", failure.getErrorMessage(), level="error")
        self.reactor.callLater(REOPEN_INTERVAL, self._reopen)

    # ---- duties

    def send_to_leader(self, message):
        """Sends to the leader if one is known and heard from, else to the keepers round-robin."""
        if self.leader_name is None or self.holder.leader_silent(steady()):
            names = list(self.fleet["keepers"])
            self.next_keeper += 1
            self._send(names[self.next_keeper % len(names)], message)
        else:
            self._send(self.leader_name, message)

    def _on_gained(self, gained):
        for duty, fencing_token, cause in gained:
            self.log("duty gained", duty=duty, number=fencing_token, why=cause)
            if self.drill_worker is not None and duty.startswith(DRILL_PREFIX):
                self.drill_worker.start_duty(self.holder.leases[duty], steady)
            elif duty in self.duty_workers:
                self.duty_workers[duty].on_gained(self.holder.leases[duty])
            elif self.warming is not None and duty.startswith(WARM_PREFIX):
                self.warming.on_gained(self.holder.leases[duty])

    def _on_lost(self, lost):
        for duty, fencing_token, cause in lost:
            self.log("duty lost", duty=duty, number=fencing_token, why=cause)
            if duty in self.duty_workers:
                self.duty_workers[duty].on_lost()
            elif self.warming is not None and duty.startswith(WARM_PREFIX):
                self.warming.on_lost(duty)

    def _report_step(self, duty, fencing_token, step):
        self.command_streams["steps"].submit(DONE, [duty, fencing_token, step]).addErrback(lambda _: None)

    def _on_answer(self, answer):
        if answer.leader is not None or answer.result is None:
            previous, self.leader_name = self.leader_name, answer.leader
            if self.leader_name not in (None, previous):
                for commands in self.command_streams.values():
                    commands.on_leader_changed()
        else:
            any(commands.on_answer(answer) for commands in self.command_streams.values())

    # ---- shutdown

    def leave(self):
        """Gives up all duties, so others get them within a round, and tells other members that it leaves."""
        if self.holder.leaving or self.stopped:
            return
        renew, lost = self.holder.leave(steady())
        self._on_lost(lost)
        self.send_to_leader(renew)
        self.roster.leave(False)

    def end(self):
        """Closes everything. Closing the store blocks briefly."""
        if self.stopped:
            return
        self.stopped = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.drill_worker is not None:
            self.drill_worker.stop()
        for commands in self.command_streams.values():
            commands.stop()
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
        if self.disk is not None:
            self.disk.close()
