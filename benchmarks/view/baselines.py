"""What the view is held against, on its own engine: SWIM as first published, and heartbeats of all to all."""

from random import Random

from msgspec.structs import replace

from hookrouter.decisions.view import View
from hookrouter.decisions.view import words as w


class PlainSwim(View):
    """Das, Gupta, Motivala (2002): suspicions of one span, no witnesses, no awareness, deaths believed."""

    def _suspect(self, row, by):
        super()._suspect(row, by)
        suspicion = self.suspicions[row.key]
        suspicion.due = self.now + suspicion.least

    def _witness(self, row):
        pass

    def _said_dead(self, row, old):
        self._put(row, "on another's word", (row.by,))

    def _failed(self, seq, probe):
        super()._failed(seq, probe)
        self.aware = 0

    def _stood_still(self, span):
        self.probes.clear()

    def _next(self):
        self.turn = True  # no other probe for those that are suspected
        return super()._next()

    def _again(self):
        """A join is asked for; the dead are not tried again."""
        if self.living == 1:
            super()._again()


class Beats:
    """All tell all once a second that they live; one that is silent for three is dead."""

    EVERY, SILENT = 10_000, 30_000

    def __init__(self, terms, me, now, seed):
        self.terms, self.me, self.random = terms, me, Random(seed)
        self.rows, self.at, self.gone = {me.key: me}, {}, {}
        self.next_at, self.now, self.same_since = now, now, now
        self.suspicions, self.digest, self.aware = {}, 0, 0

    def take(self, now, event):
        self.now, out = now, []
        if isinstance(event, w.Heard):
            for row in event.message.news:
                if row.key == self.me.key or row.key in self.gone and row.key != (event.name, event.life):
                    continue
                if row.key not in self.rows:
                    self.rows[row.key] = row
                    self.at[row.key] = now
                    self.gone.pop(row.key, None)
            self.at[event.name, event.life] = now
        for key, at in list(self.at.items()):
            if key in self.rows and now - at > self.SILENT:
                row = self.rows.pop(key)
                self.gone[key] = now
                out.append(w.Changed(replace(row, state=w.DEAD), w.ALIVE, "silent", ()))
        if now >= self.next_at:
            self.next_at = now + self.EVERY
            others = [row for row in self.rows.values() if row.key != self.me.key]
            to = {row.address for row in others} | (set(self.terms.seeds) if len(others) < 3 else set())
            some = self.random.sample(others, min(8, len(others)))
            out += [w.Send("", address, w.Rows([self.me, *some])) for address in sorted(to)]
        return out

    def alarm(self):
        return self.next_at

    def alive(self):
        return list(self.rows.values())

    def settled(self):
        return None
