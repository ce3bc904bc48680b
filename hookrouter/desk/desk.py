"""The desk: takes purges, makes them durable, tells them in order, and says from when each is in effect."""

import time

from twisted.internet.defer import Deferred, succeed

from ..purges import ledger as g
from ..purges import wire
from ..purges.guard import ROUNDING
from ..purges.members import Members
from .above import Above, steady

SECOND = 10_000
FOLD_EVERY = 10.0  # seconds between looks at what is older than the hold
REOPEN_EVERY = 1.0  # seconds between tries to read a store that failed
MOST_LATEST = 10_000  # purges whose numbers and times are told on request


class Clock:
    """The wall's time in tenths of a millisecond, never back: steps back of the wall are not followed."""

    def __init__(self, wall=time.time, steady=steady):
        self.wall, self.steady = wall, steady
        self.at, self.since = int(wall() * SECOND), steady()

    def __call__(self):
        since = self.steady()
        self.at, self.since = max(self.at + since - self.since, int(self.wall() * SECOND)), since
        return self.at


class Desk(Above):
    def __init__(self, reactor, log, purges, desk, store, read, most_batch=g.MOST_BATCH):
        """purges, desk: the sections of the operator's file. store: as own.Own; read: what its read gave."""
        super().__init__(reactor, log)
        self.clock = Clock()
        self.limits = g.Limits(desk["most live"], desk["most patterns"], most_batch)
        self.waiting, self.token = {}, 0  # token -> its Deferred
        self.store, (self.tail, keys, loaded) = store, read
        # Names to be noted in the store, and struck.
        self.joined, self.gone, self.noting = {}, set(), False
        # n -> (Purge, wall time accepted, steady time; None: by a former life, key), the newest last
        self.accepted = {}
        self.effects = {}  # n -> wall time from which it is in effect
        now = steady()
        self.ledger = g.Ledger(self.tail, keys, self.limits)
        self.members = Members(purges["lease"], purges["skew"], ROUNDING, now, loaded.members)
        self.names = {name for name, _ in loaded.members}  # that are in the store for sure
        self._recall(loaded)
        self._doubtful(now)

    # ---- the store

    def _doubtful(self, now):
        """What a former life took lately may not be in effect yet; its clock may have been another's."""
        self.recalled = self.clock()  # from when this life counts what those before took
        since = self.recalled - 2 * self.members.span - self.members.skew
        self.members.read_anew(now, [purge for purge in self.tail.recent if purge.timestamp >= since])

    def _recall(self, loaded):
        """What is shown of purges that the store holds: those of this life stay as they are known."""
        self.floor = loaded.floor  # all up to there is folded away
        known, self.accepted = self.accepted, {}
        for purge, key in loaded.rows[-MOST_LATEST:]:
            row = known.get(purge.n)
            # The time of the order stands in for that of the acceptance, which is after it by one write.
            self.accepted[purge.n] = row if row and row[0] == purge else (purge, purge.timestamp, None, key)
        self.effects = {n: at for n, at in self.effects.items() if self.accepted.get(n) == known.get(n)}

    def _reopen(self, least=0):
        """Reads the store again under a new epoch; tried until it can be read."""
        if not self.stopped:
            self.store.reopen(least).addCallbacks(self._reopened, self._not_reopened, errbackArgs=(least,))

    def _reopened(self, read):
        self.tail, keys, loaded = read
        self._carry(self.ledger.reopened(self.tail, keys))
        self._doubtful(steady())
        self._recall(loaded)
        self.log("store read again", epoch=self.tail.epoch, newest=self.tail.newest.n)
        for stream in list(self.streams):
            stream.cut()  # each goes on from its place in the order as it is now

    def _not_reopened(self, failure, least):
        self.log("store cannot be read, purges are refused", failure.getErrorMessage(), level="error")
        if not self.stopped:
            self.reactor.callLater(REOPEN_EVERY, self._reopen, least)

    def raise_epoch(self, seen):
        """A follower has heard of a later life: this store is an older copy. Once for all that say so."""
        if self.ledger.state == g.BROKEN:
            return
        self.log(
            "store is older than what followers know; purges since its copy are lost, repeat them",
            level="error",
            epoch=self.tail.epoch,
            heard=seen,
        )
        self.count("stores_restored")
        self._carry(self.ledger.restored(), seen + 1)

    # ---- submissions

    def submit(self, key, items, everything):
        """A Deferred of g.Accepted or g.Refused."""
        self.token += 1
        answer = self.waiting[self.token] = Deferred()
        self._carry(self.ledger.submit(self.clock(), g.Submission(self.token, key, items, everything)))
        return answer

    def _carry(self, effects, least=0):
        for effect in effects:
            if isinstance(effect, g.Write):
                self.store.append(effect.batch).addCallbacks(self._written, self._failed)
            elif isinstance(effect, g.Tell):
                self._tell(effect.purges, effect.keys)
            elif isinstance(effect, g.Reopen):
                self._reopen(least)
            else:
                accepted = isinstance(effect, g.Accepted)
                self.count("submissions_accepted" if accepted else "submissions_refused")
                self.waiting.pop(effect.token).callback(effect)

    def _written(self, _):
        self._carry(self.ledger.written())

    def _failed(self, failure):
        self.log(
            "store cannot be written, what was to be written is refused",
            failure.getErrorMessage(),
            level="error",
        )
        self.count("batches_failed")
        self._carry(self.ledger.failed())

    def _tell(self, purges, keys):
        now, wall = steady(), self.clock()
        self.members.accepted(now, purges)
        for purge, key in zip(purges, keys):
            self.accepted.pop(purge.n, None)  # of before a store was restored
            self.effects.pop(purge.n, None)
            self.accepted[purge.n] = purge, wall, now, key
        while len(self.accepted) > MOST_LATEST:
            n = next(iter(self.accepted))
            del self.accepted[n]
            self.effects.pop(n, None)
        self.tell()
        self.settle()

    def in_effect(self, n, accepted, at):
        if n in self.accepted:
            self.effects[n] = self.clock() + at - steady()

    # ---- now and then

    def start(self):
        super().start()
        self._fold()

    def _fold(self):
        if self.stopped:
            return
        upto = self.tail.fold(self.clock())
        if upto and self.ledger.state != g.BROKEN:
            self.floor = upto
            self.ledger.fold(upto)
            self.store.fold(upto).addErrback(self._not_noted)
        self.reactor.callLater(FOLD_EVERY, self._fold)

    def noted(self, name, generation):
        """Whether the store knows this member; if not, it does soon."""
        if name in self.names:
            return True
        self.joined[name] = generation
        self.gone.discard(name)
        self._note()
        return False

    def member_left(self, name):
        self.joined.pop(name, None)
        self.gone.add(name)
        self._note()

    def tick(self):
        self.gone.update(name for name in self.members.struck_off() if name not in self.members.rows)
        self._note()
        self.settle()

    def _note(self):
        """One write at a time; a name counts as noted once it is on disk, and as struck before."""
        if self.noting or not (self.joined or self.gone) or self.ledger.state == g.BROKEN:
            return
        joined, left = sorted(self.joined.items()), sorted(self.gone)
        self.joined, self.gone, self.noting = {}, set(), True
        self.names.difference_update(left)
        done = self.store.members(joined, left)
        done.addCallbacks(
            lambda _: self.names.update(name for name, _ in joined), self._not_noted
        ).addCallback(self._noted)

    def _noted(self, _):
        self.noting = False
        self._note()

    def _not_noted(self, failure):
        self.log("store cannot be written", failure.getErrorMessage(), level="error")

    def stop(self):
        """A Deferred: fires once the store is closed."""
        super().stop()
        done = self.store.close() if self.ledger.state != g.BROKEN else succeed(None)
        done.addErrback(lambda _: None)
        return done.addCallback(lambda _: self.reactor.callLater(0, self.store.end))

    # ---- what is shown

    def purge_facts(self, n):
        """What is known of one of the newest purges, or None. With `by` it was in effect by in_effect_ms."""
        if n not in self.accepted:
            return None
        purge, wall, at, key = self.accepted[n]
        now, former, effect = steady(), at is None, self.effects.get(n)
        if former:
            latest = self.recalled + self.members.latest(0)
            # Not doubtful at the start of this life: in effect by the span that the doubt has, see _doubtful.
            if effect is None and wall < self.recalled - 2 * self.members.span - self.members.skew:
                effect = latest = wall + 2 * self.members.span + self.members.settling()
        else:
            latest = wall + self.members.latest(at) - at
        return {
            "number": wire.number(purge),
            "sort": purge.kind,
            "what": purge.what,
            "key": key,
            "accepted_ms": wall // 10,
            "in_effect_ms": effect // 10 if effect is not None else None,
            "by": former,
            "latest_ms": latest // 10,
            "members": len(self.members.rows),
            "behind": []
            if former and effect is not None
            else [
                {"name": name, "state": state, "n": place}
                for name, state, place in self.members.behind(now, n)[:100]
            ],
        }

    def newest(self, most):
        """(facts of so many of the newest purges, how many the store holds in all)."""
        numbers = list(self.accepted)[-most:]
        return [self.purge_facts(n) | {"behind": None} for n in numbers], self.tail.newest.n - self.floor

    def facts(self):
        return {
            **super().facts(),
            "patterns": self.ledger.patterns,
            "state": self.ledger.state,
            "role": "desk",
        }
