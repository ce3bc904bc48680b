"""A member of the fleet: where it keeps, the keeper's core and its store; and the duties that it holds."""

import sqlite3
import time

from twisted.internet.threads import deferToThreadPool
from twisted.python.threadpool import ThreadPool

from ..owners import Holder, Keeper, Terms
from ..owners import words as w
from ..owners.duties import DONE
from ..peers import Peers
from ..stores import Unusable
from ..stores.keeper_log import KeeperLog
from .steps import Steps

TENTHS = 10_000  # in a second
REOPEN_EVERY = 1.0  # seconds between tries to write again
ASK_AGAIN = 0.3  # seconds until a command without an answer is asked again
DRILL = "drill/"  # duties of that name are worked in steps at the register of [fleet] drill


def steady():
    """Tenths of a millisecond of a clock that nobody sets, and that stands still for no one."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 100_000


class Member:
    def __init__(self, reactor, log, fleet):
        """fleet: the section of the operator's file."""
        self.reactor, self.log, self.fleet = reactor, log, fleet
        self.name, self.stopped, self.call, self.store = fleet["name"], False, None, None
        keepers = fleet["keepers"]
        self.terms = Terms(self.name, int(time.time() * 1_000), tuple(keepers), lease=fleet["lease"])
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
            self.keeper = Keeper(self.terms, stored, steady(), self.terms.life)
        self.holder, self.to, self.asking, self.count = (
            Holder(self.name, self.terms.life, self.terms),
            None,
            None,
            0,
        )
        self.steps = Steps(reactor, fleet["drill"], self._done, log) if fleet["drill"] else None
        self.turn, self.held = 0, []

    def _read(self):
        if self.store is not None:
            self.store.close()
        self.store = KeeperLog(self.fleet["store"], self.name)
        try:
            return self.store.load()
        except sqlite3.Error as wrong:
            self.store.close()
            raise Unusable(f"{self.fleet['store']}: {wrong}") from None

    def start(self):
        self.peers.listen(*self.fleet["listen"])
        if self.keeper is not None:
            self._carry(self.keeper.take(steady(), w.Begin()))
        self._tick()

    # ---- time

    def _tick(self):
        now = steady()
        if self.keeper is not None and now >= self.keeper.alarm():
            self._carry(self.keeper.take(now, w.Tick()))
        renew, lost = self.holder.tick(now)
        self._lost(lost)
        if renew is not None:
            self._tell(renew)
        self._set()

    def _set(self):
        if self.call is not None and self.call.active():
            self.call.cancel()
        if not self.stopped:
            at = self.holder.alarm() if self.keeper is None else min(self.holder.alarm(), self.keeper.alarm())
            self.call = self.reactor.callLater(max(0.001, (at - steady()) / TENTHS), self._tick)

    # ---- messages

    def heard(self, sender, message):
        if self.stopped:
            return
        if isinstance(message, w.Renewed):
            gained, lost, renew = self.holder.heard(steady(), message)
            self._lost(lost)
            self._gained(gained)
            if renew is not None:
                self._tell(renew)
        elif isinstance(message, w.Answer):
            self._answered(message)
        elif self.keeper is not None:
            self._carry(self.keeper.take(steady(), w.Heard(sender, message)))
        self._set()

    def _carry(self, effects):
        for effect in effects:
            if isinstance(effect, w.Send):
                self._send(effect.to, effect.message)
            elif isinstance(effect, w.Persist):
                deferToThreadPool(self.reactor, self.pool, self.store.write, effect).addCallbacks(
                    self._wrote, self._not_written, callbackArgs=(effect.token,), errbackArgs=(effect.token,)
                )
            else:
                self.log(effect.what, **dict(effect.values))

    def _send(self, to, message):
        if to == self.name:  # its own holder, or its own keeper
            self.reactor.callLater(0, self.heard, to, message)
        else:
            self.peers.send(to, message)

    # ---- the disk

    def _wrote(self, _, token):
        if not self.stopped:
            self._carry(self.keeper.take(steady(), w.Wrote(token, True)))
            self._set()

    def _not_written(self, failure, token):
        self.log("keeper's store cannot be written", failure.getErrorMessage(), level="error")
        if not self.stopped:
            self._carry(self.keeper.take(steady(), w.Wrote(token, False)))
            self.reactor.callLater(REOPEN_EVERY, self._reopen)
            self._set()

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
        if not self.stopped:
            self._carry(self.keeper.take(steady(), w.Reopened(stored)))
            self._set()

    def _not_reopened(self, failure):
        self.log("keeper's store still cannot be written", failure.getErrorMessage(), level="error")
        if not self.stopped:
            self.reactor.callLater(REOPEN_EVERY, self._reopen)

    # ---- duties

    def _tell(self, message):
        """To the leader as far as it is known, else to the keepers in turn."""
        if self.to is None or self.holder.unheard(steady()):
            names = list(self.fleet["keepers"])
            self.turn += 1
            self._send(names[self.turn % len(names)], message)
        else:
            self._send(self.to, message)

    def _gained(self, gained):
        for duty, number, cause in gained:
            self.log("duty gained", duty=duty, number=number, why=cause)
            if self.steps is not None and duty.startswith(DRILL):
                self.steps.work(self.holder.warrants[duty], steady)

    def _lost(self, lost):
        for duty, number, cause in lost:
            self.log("duty lost", duty=duty, number=number, why=cause)

    def _done(self, duty, number, step):
        self.ask(DONE, [duty, number, step])

    def ask(self, command, fields):
        """One at a time; the newest is asked until it is answered."""
        self.count += 1
        self.asking = w.Ask(f"{self.name}#{self.terms.life}/{self.count}", command, fields)
        self._again(self.asking)

    def _again(self, asked):
        if self.asking is asked and not self.stopped:
            self._tell(asked)
            self.reactor.callLater(ASK_AGAIN, self._again, asked)

    def _answered(self, answer):
        if answer.elsewhere is not None or answer.result is None:
            self.to = answer.elsewhere
        elif self.asking is not None and answer.key == self.asking.key:
            self.asking = None

    # ---- the end

    def stop(self):
        """Duties are given up at once, so others have them within a round. Seconds until all is out."""
        renew, lost = self.holder.leave(steady())
        self._lost(lost)
        self._tell(renew)
        self.reactor.callLater(0.2, self._end)
        return 0.3

    def _end(self):
        self.stopped = True
        if self.call is not None and self.call.active():
            self.call.cancel()
        if self.steps is not None:
            self.steps.stop()
        self.peers.stop()
        if self.pool is not None:
            self.pool.stop()
            self.store.close()
