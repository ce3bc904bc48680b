"""The purge desk as a duty: its owner orders purges, the replicated log stores them, any keeper accepts them.

An owner starts once its copy has every record committed before its grant, under an epoch assigned by the log.
Each append carries the fencing token of the grant, so the log rejects late appends of an earlier owner;
followers reject its late messages because of their lower epoch. Nothing is answered without a live lease.
"""

from twisted.internet.defer import fail, gatherResults, succeed

from ...clock import unix_milliseconds
from ...decisions.owners.duties import APPEND, DECLARE, FOLLOWERS, OPEN, SWEEP
from ...desk import web
from ...desk.desk import Desk
from ...desk.reconnect_pacing import add_admission
from ...stores.purge_rows import pack
from .command_stream import DutyLost
from .records import DUTY

SWEEP_DUTY = "sweep/purges"
COPY_CHECK_INTERVAL = 0.02  # seconds between checks whether the copy has caught up with the grant
START_TIMEOUT = 2.0  # seconds; an owner that cannot start by then gives up the duty
MAX_BATCH = 1_000  # purges in one log entry; that many of maximum length fit into a message
MAX_NAMES = 1_000  # follower names in one log entry
SWEEP_INTERVAL = 2.0  # seconds between steps
MAX_SWEPT = 5_000  # purges folded in one step: some milliseconds of disk time at each copy


class ReplicatedStore:
    """The desk's store, with the interface of LocalStore; each batch is an entry of the fleet's log."""

    def __init__(self, duty):
        self.duty = duty

    def _expect(self, result, wanted):
        if result[0] != wanted:
            raise DutyLost(f"the log says {result[0]}")

    def append(self, batch):
        """Appends purges as one log entry; fails with DutyLost if the log rejects it."""
        first, bodies = batch[0][0].n, [pack(purge, key) for purge, key in batch]
        return self.duty.command(APPEND, [first, bodies]).addCallback(self._expect, "kept")

    def update_followers(self, joined, left):
        """Records followers that joined or left."""
        requests = [
            self.duty.command(FOLLOWERS, [joined[start : start + MAX_NAMES], left[start : start + MAX_NAMES]])
            for start in range(0, max(len(joined), len(left)), MAX_NAMES)
        ]
        return gatherResults(
            [request.addCallback(self._expect, "noted") for request in requests], consumeErrors=True
        )

    def truncate(self, up_to):
        return succeed(None)  # done by SweepDuty

    def seal(self):
        return succeed(False)  # each keeper's copy seals by itself

    def reopen(self, min_epoch):
        """Opens a new epoch."""
        return self.duty.open_epoch(min_epoch)

    def close(self):
        return succeed(None)

    def release(self):
        pass


class PurgesDuty:
    """Runs the purge desk while this member holds its lease."""

    def __init__(self, reactor, log, sections, records, commands, clock, is_stored, give_up):
        """is_stored(index): whether the copy has all entries up to it; give_up(duty, why) releases it."""
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
        """Opens the epoch once the copy has all entries before the grant.

        Later appends of an older owner are rejected by their fencing token.
        """
        if lease is not self.lease:
            return
        if self.is_stored(lease.fencing_token):
            # Milliseconds since 1970 exceed the epochs of a fleet that restarted without its stores.
            self.open_epoch(unix_milliseconds()).addCallbacks(
                self._start_desk, self._start_failed, callbackArgs=(lease,), errbackArgs=(lease,)
            )
        elif self.reactor.seconds() >= deadline:
            self.give_up(DUTY, "its copy does not come up to the grant")
        else:
            self.reactor.callLater(COPY_CHECK_INTERVAL, self._await_copy, lease, deadline)

    def open_epoch(self, least):
        """Opens a new epoch; returns a Deferred of the state that a desk starts from."""
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
        self.desk = add_admission(desk, self.sections, "desk", self.log)
        self.tree = web.resource_tree(self.desk, self.purges["secret"], True)
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
        """Stops the desk: waiting requests are refused with Retry-After; followers move to the next owner."""
        self.lease, desk, self.desk, self.tree = None, self.desk, None, None
        if desk is not None:
            desk.stop()
        self.commands.fail_pending()

    def is_live(self):
        """Whether the lease is live; checked before each answer, as the process may have been paused."""
        return self.desk is not None and self.lease.authorize(self.clock(), None) is not None

    def command(self, command, fields):
        """Submits a command with the fencing token; fails with DutyLost without a live lease."""
        fenced = None if self.lease is None else self.lease.authorize(self.clock(), fields)
        if fenced is None:
            return fail(DutyLost("the lease has expired"))
        return self.commands.submit(command, [fenced.duty, fenced.fencing_token, *fenced.action])


class SweepDuty:
    """Folds purges older than the hold, in steps; the next owner continues after the last step."""

    def __init__(self, reactor, log, hold, records, commands, wall_clock, clock, last_step):
        """last_step(duty): last completed step; wall_clock(): tenths of a millisecond, as purges have."""
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
