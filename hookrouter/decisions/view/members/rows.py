"""Rows of members: which of two holds, what is forgotten, what is learnt of others and of itself."""

from msgspec.structs import replace

from .. import words as w
from .marks import bucket, stated
from .records import MOST_AWARE, MOST_DOUBTS

MOST_MEMBERS = 20_000


class Rows:
    def _put(self, row, why, witnesses, spread=True):
        """The one place where a row is replaced. spread: whether it is news for others, too."""
        old = self.rows.get(row.key)
        if old is None:
            if len(self.rows) >= MOST_MEMBERS:
                if not self.gone_at:
                    return
                self._drop(next(iter(self.gone_at)))
            self.lives.setdefault(row.name, set()).add(row.key)
        self.living += (row.state < w.DEAD) - (old is not None and old.state < w.DEAD)
        self.rows[row.key] = row
        changed = self.mark(row) ^ (self.mark(old) if old is not None else 0)
        if changed:
            self.sums[bucket(row.key)] ^= changed
            self.digest ^= changed
            self.same_since = self.now
        if row.state >= w.DEAD:
            self.gone_at.setdefault(row.key, self.now)
        else:
            self.gone_at.pop(row.key, None)
            if old is None or old.state >= w.DEAD:
                self.ring.insert(self.random.randrange(len(self.ring) + 1), row.key)
        if row.state != w.SUSPECT:
            self.suspicions.pop(row.key, None)
        if spread:
            self._fresh(row.key)
        if old is None or old.state != row.state:
            self.out.append(w.Changed(row, None if old is None else old.state, why, witnesses))

    def _forget(self):
        while self.gone_at:
            key, at = next(iter(self.gone_at.items()))  # who went first stands first
            if self.now - at < self.terms.forget:
                return
            self._drop(key)

    def _drop(self, key):
        del self.gone_at[key], self.rows[key]
        self.lives[key[0]].discard(key)
        if not self.lives[key[0]]:
            del self.lives[key[0]]
        self._no_news(key)

    def _fresh(self, key):
        """A row is news, from now on."""
        self._no_news(key)
        self._tier(key, 0)

    def _tier(self, key, sent):
        while len(self.tiers) <= sent:
            self.tiers.append({})
        self.news[key] = sent
        self.tiers[sent][key] = None

    def _no_news(self, key):
        sent = self.news.pop(key, None)
        if sent is not None:
            del self.tiers[sent][key]

    def _mine(self, incarnation, state=None):
        state = self.me.state if state is None else state
        self.me = replace(self.me, incarnation=incarnation, state=state)
        self._put(self.me, "says so itself", ())

    def _learn(self, row, teller, spread):
        """News that came."""
        if row.key == self.me.key:
            if row.state in (w.SUSPECT, w.DEAD, w.LEFT) and row.incarnation >= self.me.incarnation:
                # Who is suspected though it answers may be slow itself (Lifeguard, 4.1).
                self.aware = min(MOST_AWARE, self.aware + 1)
                self._mine(row.incarnation + 1)
            return
        if row.name == self.me.name and row.state < w.DEAD:
            if row.address != self.me.address:
                self._twin(row)
            elif row.life > self.me.life:
                # A later process at this very address can only be a former one of a clock that went back.
                self._rise(row.life + 1)
        old = self.rows.get(row.key)
        if old is None and row.state >= w.DEAD:
            return  # of one that was never known here: nothing to bury
        if old is not None and row.state == w.SUSPECT == old.state and row.incarnation == old.incarnation:
            self._witness(row)
            return
        if old is not None and not self.holds(row, old):
            return
        if row.state < w.DEAD and any(
            later[1] > row.life
            and self.rows[later].state < w.DEAD
            and self.rows[later].address == row.address
            for later in self.lives.get(row.name, ())
        ):
            return  # a later process stands at its address: this is old
        if row.state == w.SUSPECT:
            self._suspect(row, row.by)
        elif row.state == w.DEAD:
            self._said_dead(row, old)
        else:
            self._put(row, "says so itself", (teller,), spread)
            self._replaces(row)

    def _said_dead(self, row, old):
        """On another's word one is buried that was suspected here for the least time. One that was not is
        told of its death itself, and nobody else is: after a split both sides bring news of deaths that
        never were, and a liar can bring any.
        """
        if old.state < w.SUSPECT or row.incarnation > old.incarnation:
            if len(self.doubts) < MOST_DOUBTS:
                self.doubts[row.key] = row
            return
        suspicion = self.suspicions[row.key]
        suspicion.due = min(suspicion.due, suspicion.since + suspicion.least)
        if self.now >= suspicion.due:
            self._put(row, "another's suspicion ran out", tuple(suspicion.witnesses))

    def _replaces(self, row):
        """A later life at the same address ends those before."""
        if row.state < w.DEAD:
            lives = [self.rows[key] for key in sorted(self.lives[row.name])]
            for old in [
                old
                for old in lives
                if old.life < row.life and old.address == row.address and old.state < w.DEAD
            ]:
                self._put(stated(old, w.DEAD, self.me.name), "a later process stands at its address", ())

    def _rise(self, life):
        self._put(stated(self.me, w.LEFT, ""), "begins anew under a later life", ())
        self.me = replace(self.me, life=life, incarnation=0, state=w.ALIVE)
        self._put(self.me, "begins anew under a later life", ())
        self.out.append(w.Told("life raised: the clock was set back", (("life", life),)))

    def _twin(self, row):
        if row.key not in self.twins and len(self.twins) < MOST_MEMBERS:
            self.twins.add(row.key)
            self.out.append(
                w.Told(
                    "another process has this name",
                    (("address", f"{row.host}:{row.port}"), ("life", row.life)),
                )
            )
