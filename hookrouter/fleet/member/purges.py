"""The desk of purges as a duty: its owner orders, the fleet's log keeps, any keeper takes and passes on.

An owner begins once its own copy holds all that was agreed before its grant, under an epoch that the log
gives it. Each append names the number of its grant, so what an earlier owner still has in its hands is
refused by the log; what it still says to followers bears a lower epoch, which they refuse. It answers nothing
without a live warrant.
"""

import time

from twisted.internet.defer import fail, gatherResults, succeed

from ...decisions.owners.duties import APPEND, DECLARE, FOLLOWERS, OPEN, SWEEP
from ...desk import web
from ...desk.desk import Desk
from ...desk.paced import paced
from ...stores.purge_rows import pack
from .command_stream import DutyLost
from .records import DUTY

SWEEP_DUTY = "sweep/purges"
COPY_CHECK_INTERVAL = 0.02  # seconds between looks whether the copy has come up to the grant
START_TIMEOUT = 2.0  # seconds; an owner that cannot begin by then lets another try
MAX_BATCH = 1_000  # purges in one entry of the log: a message takes as many of the longest
MAX_NAMES = 1_000  # followers' names in one entry
SWEEP_INTERVAL = 2.0  # seconds between steps
MAX_SWEPT = 5_000  # purges folded away in one step: some milliseconds of each copy's disk


class ReplicatedStore:
    """What the desk writes to, like a LocalStore; here each batch is an entry of the fleet's log."""

    def __init__(self, duty):
        self.duty = duty

    def _expect(self, result, wanted):
        if result[0] != wanted:
            raise DutyLost(f"the log says {result[0]}")

    def append(self, batch):
        first, bodies = batch[0][0].n, [pack(purge, key) for purge, key in batch]
        return self.duty.command(APPEND, [first, bodies]).addCallback(self._expect, "kept")

    def update_followers(self, joined, left):
        requests = [
            self.duty.command(FOLLOWERS, [joined[start : start + MAX_NAMES], left[start : start + MAX_NAMES]])
            for start in range(0, max(len(joined), len(left)), MAX_NAMES)
        ]
        return gatherResults(
            [request.addCallback(self._expect, "noted") for request in requests], consumeErrors=True
        )

    def fold(self, upto):
        return succeed(None)  # a duty of its own, below

    def seal(self):
        return succeed(False)  # each keeper's copy does so itself

    def reopen(self, least):
        return self.duty.open_epoch(least)

    def close(self):
        return succeed(None)

    def end(self):
        pass


class PurgesDuty:
    def __init__(self, reactor, log, sections, records, commands, clock, is_stored, give_up):
        """filed(index): whether the copy has all up to that entry; give_up(duty, why): the member's."""
        self.reactor, self.log, self.records, self.commands = reactor, log, records, commands
        self.purges, self.section, self.sections = sections["purges"], sections["desk"], sections
        self.clock, self.is_stored, self.give_up = clock, is_stored, give_up
        self.address = "{}:{}".format(*self.section["listen"])
        self.lease = self.desk = self.tree = None
        self.commands.submit(DECLARE, [DUTY]).addErrback(lambda _: None)
        self.commands.submit(DECLARE, [SWEEP_DUTY]).addErrback(lambda _: None)

    # ---- the duty

    def on_gained(self, lease):
        self.lease = lease
        self._await_copy(lease, self.reactor.seconds() + START_TIMEOUT)

    def _await_copy(self, lease, deadline):
        """All that was agreed before the grant has to be in the copy; of what an older owner appends later
        nothing counts.
        """
        if lease is not self.lease:
            return
        if self.is_stored(lease.fencing_token):
            # Above those of a fleet that began anew without its stores, as a desk of its own does.
            self.open_epoch(int(time.time() * 1_000)).addCallbacks(
                self._start_desk, self._start_failed, callbackArgs=(lease,), errbackArgs=(lease,)
            )
        elif self.reactor.seconds() >= deadline:
            self.give_up(DUTY, "its copy does not come up to the grant")
        else:
            self.reactor.callLater(COPY_CHECK_INTERVAL, self._await_copy, lease, deadline)

    def open_epoch(self, least):
        """A Deferred of what a desk reads at its start."""
        return self.command(OPEN, [least, self.address]).addCallback(self._on_opened)

    def _on_opened(self, result):
        if result[0] != "open":
            raise DutyLost(f"the log says {result[0]}")
        _, epoch, newest = result
        if self.records.copy.newest != newest:
            raise DutyLost(f"its copy ends at {self.records.copy.newest}, the log at {newest}")
        return self.records.read(epoch)

    def _start_desk(self, loaded, lease):
        if lease is not self.lease:
            return
        desk = Desk(
            self.reactor, self.log, self.purges, self.section, ReplicatedStore(self), loaded, MAX_BATCH
        )
        self.desk = paced(desk, self.sections, "desk", self.log)
        self.tree = web.tree(self.desk, self.purges["secret"], True)
        self.desk.start()
        self.log(
            "owns the desk",
            number=lease.fencing_token,
            epoch=self.desk.tail.epoch,
            newest=self.desk.tail.newest.n,
        )

    def _start_failed(self, failure, lease):
        if lease is self.lease:
            self.log("the desk cannot begin", failure.getErrorMessage(), level="error")
            self.give_up(DUTY, "it cannot begin")

    def on_lost(self):
        """What waits is refused at once with a time to come back; followers go to the next owner."""
        self.lease, desk, self.desk, self.tree = None, self.desk, None, None
        if desk is not None:
            desk.stop()
        self.commands.fail_pending()

    def is_live(self):
        """Looked at before anything is answered: this process may have stood still."""
        return self.desk is not None and self.lease.authorize(self.clock(), None) is not None

    def command(self, command, fields):
        """Under the number of the grant, or not at all."""
        fenced = None if self.lease is None else self.lease.authorize(self.clock(), fields)
        if fenced is None:
            return fail(DutyLost("the warrant is over"))
        return self.commands.submit(command, [fenced.duty, fenced.fencing_token, *fenced.action])


class SweepDuty:
    """Folds away what no copy of an object can be older than, in steps; the next owner goes on behind the
    last that was done.
    """

    def __init__(self, reactor, log, hold, records, commands, wall_clock, clock, last_step):
        """step(): the last that is known to be done; wall: tenths of a millisecond, as purges are stamped."""
        self.reactor, self.log, self.hold, self.records, self.commands = reactor, log, hold, records, commands
        self.wall_clock, self.clock, self.last_step, self.lease = wall_clock, clock, last_step, None

    def on_gained(self, lease):
        self.lease = lease
        self._look_for_old(lease)

    def on_lost(self):
        self.lease = None

    def _look_for_old(self, lease):
        if lease is not self.lease:
            return
        self.reactor.callLater(SWEEP_INTERVAL, self._look_for_old, lease)
        if self.records.has_all_records():
            self.records.older(self.wall_clock() - self.hold, MAX_SWEPT).addCallbacks(
                self._fold, lambda _: None, callbackArgs=(lease,)
            )

    def _fold(self, upto, lease):
        fenced = lease.authorize(self.clock(), upto) if upto and lease is self.lease else None
        if fenced is not None:
            step = self.last_step(SWEEP_DUTY) + 1
            self.commands.submit(
                SWEEP, [SWEEP_DUTY, fenced.fencing_token, step, DUTY, fenced.action]
            ).addCallbacks(self._on_folded, lambda _: None, callbackArgs=(upto,))

    def _on_folded(self, result, upto):
        if result[0] == "done":
            self.log("purges folded away", upto=upto, step=result[2])
