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
from ...desk.reconnect_pacing import add_admission
from ...stores.purge_rows import pack
from .asker import DutyLost
from .records import DUTY

SWEEPING = "sweep/purges"
LOOK = 0.02  # seconds between looks whether the copy has come up to the grant
BEGIN_WITHIN = 2.0  # seconds; an owner that cannot begin by then lets another try
MOST_BATCH = 1_000  # purges in one entry of the log: a message takes as many of the longest
MOST_NAMES = 1_000  # followers' names in one entry
SWEEP_EVERY = 2.0  # seconds between steps
MOST_SWEPT = 5_000  # purges folded away in one step: some milliseconds of each copy's disk


class Kept:
    """What the desk writes to, like a LocalStore; here each batch is an entry of the fleet's log."""

    def __init__(self, duty):
        self.duty = duty

    def _told(self, result, wanted):
        if result[0] != wanted:
            raise DutyLost(f"the log says {result[0]}")

    def append(self, batch):
        first, bodies = batch[0][0].n, [pack(purge, key) for purge, key in batch]
        return self.duty.command(APPEND, [first, bodies]).addCallback(self._told, "kept")

    def update_followers(self, joined, left):
        parts = [
            self.duty.command(FOLLOWERS, [joined[at : at + MOST_NAMES], left[at : at + MOST_NAMES]])
            for at in range(0, max(len(joined), len(left)), MOST_NAMES)
        ]
        return gatherResults([part.addCallback(self._told, "noted") for part in parts], consumeErrors=True)

    def truncate(self, up_to):
        return succeed(None)  # a duty of its own, below

    def seal(self):
        return succeed(False)  # each keeper's copy does so itself

    def reopen(self, min_epoch):
        return self.duty.opened(min_epoch)

    def close(self):
        return succeed(None)

    def release(self):
        pass


class PurgesDuty:
    def __init__(self, reactor, log, sections, records, asker, clock, filed, give_up):
        """filed(index): whether the copy has all up to that entry; give_up(duty, why): the member's."""
        self.reactor, self.log, self.records, self.asker = reactor, log, records, asker
        self.purges, self.section, self.sections = sections["purges"], sections["desk"], sections
        self.clock, self.filed, self.give_up = clock, filed, give_up
        self.where = "{}:{}".format(*self.section["listen"])
        self.warrant = self.desk = self.tree = None
        self.asker.ask(DECLARE, [DUTY]).addErrback(lambda _: None)
        self.asker.ask(DECLARE, [SWEEPING]).addErrback(lambda _: None)

    # ---- the duty

    def gained(self, warrant):
        self.warrant = warrant
        self._await(warrant, self.reactor.seconds() + BEGIN_WITHIN)

    def _await(self, warrant, until):
        """All that was agreed before the grant has to be in the copy; of what an older owner appends later
        nothing counts.
        """
        if warrant is not self.warrant:
            return
        if self.filed(warrant.fencing_token):
            # Above those of a fleet that began anew without its stores, as a desk of its own does.
            self.opened(int(time.time() * 1_000)).addCallbacks(
                self._began, self._not_begun, callbackArgs=(warrant,), errbackArgs=(warrant,)
            )
        elif self.reactor.seconds() >= until:
            self.give_up(DUTY, "its copy does not come up to the grant")
        else:
            self.reactor.callLater(LOOK, self._await, warrant, until)

    def opened(self, least):
        """A Deferred of what a desk reads at its start."""
        return self.command(OPEN, [least, self.where]).addCallback(self._opened)

    def _opened(self, result):
        if result[0] != "open":
            raise DutyLost(f"the log says {result[0]}")
        _, epoch, newest = result
        if self.records.copy.newest != newest:
            raise DutyLost(f"its copy ends at {self.records.copy.newest}, the log at {newest}")
        return self.records.read(epoch)

    def _began(self, read, warrant):
        if warrant is not self.warrant:
            return
        desk = Desk(self.reactor, self.log, self.purges, self.section, Kept(self), read, MOST_BATCH)
        self.desk = add_admission(desk, self.sections, "desk", self.log)
        self.tree = web.resource_tree(self.desk, self.purges["secret"], True)
        self.desk.start()
        self.log(
            "owns the desk",
            number=warrant.fencing_token,
            epoch=self.desk.tail.epoch,
            newest=self.desk.tail.newest.n,
        )

    def _not_begun(self, failure, warrant):
        if warrant is self.warrant:
            self.log("the desk cannot begin", failure.getErrorMessage(), level="error")
            self.give_up(DUTY, "it cannot begin")

    def lost(self):
        """What waits is refused at once with a time to come back; followers go to the next owner."""
        self.warrant, desk, self.desk, self.tree = None, self.desk, None, None
        if desk is not None:
            desk.stop()
        self.asker.drop()

    def live(self):
        """Looked at before anything is answered: this process may have stood still."""
        return self.desk is not None and self.warrant.authorize(self.clock(), None) is not None

    def command(self, command, fields):
        """Under the number of the grant, or not at all."""
        act = None if self.warrant is None else self.warrant.authorize(self.clock(), fields)
        if act is None:
            return fail(DutyLost("the warrant is over"))
        return self.asker.ask(command, [act.duty, act.fencing_token, *act.action])


class Sweeping:
    """Folds away what no copy of an object can be older than, in steps; the next owner goes on behind the
    last that was done.
    """

    def __init__(self, reactor, log, hold, records, asker, wall, clock, step):
        """step(): the last that is known to be done; wall: tenths of a millisecond, as purges are stamped."""
        self.reactor, self.log, self.hold, self.records, self.asker = reactor, log, hold, records, asker
        self.wall, self.clock, self.step, self.warrant = wall, clock, step, None

    def gained(self, warrant):
        self.warrant = warrant
        self._look(warrant)

    def lost(self):
        self.warrant = None

    def _look(self, warrant):
        if warrant is not self.warrant:
            return
        self.reactor.callLater(SWEEP_EVERY, self._look, warrant)
        if self.records.whole():
            self.records.older(self.wall() - self.hold, MOST_SWEPT).addCallbacks(
                self._found, lambda _: None, callbackArgs=(warrant,)
            )

    def _found(self, upto, warrant):
        act = warrant.authorize(self.clock(), upto) if upto and warrant is self.warrant else None
        if act is not None:
            step = self.step(SWEEPING) + 1
            self.asker.ask(SWEEP, [SWEEPING, act.fencing_token, step, DUTY, act.action]).addCallbacks(
                self._swept, lambda _: None, callbackArgs=(upto,)
            )

    def _swept(self, result, upto):
        if result[0] == "done":
            self.log("purges folded away", upto=upto, step=result[2])
