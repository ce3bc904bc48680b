"""Suspected before buried: witnesses, spans, and the end of a suspicion."""

from math import log10

from .. import words as w
from .marks import stated
from .records import MOST_AWARE, Suspicion

ALONE = 5  # times the longest suspicion: who hears nobody for that long buries the others after all


class Suspicions:
    def _spans(self):
        least = max(
            self.terms.least_suspicion, int(3 * log10(max(2, len(self.ring) + 1)) * self.terms.period)
        )
        return least, least * self.terms.stretch

    def _suspect(self, row, by):
        least, most = self._spans()
        self._put(row, "does not answer", (by,))
        # A small fleet has no more witnesses than there are others.
        wanted = min(self.terms.witnesses, max(0, self.living - 2))
        self.suspicions[row.key] = Suspicion(self.now, least, most, by, wanted)

    def _witness(self, row):
        suspicion = self.suspicions.get(row.key)
        if suspicion is not None and suspicion.witnessed(row.by):
            self.rows[row.key] = row  # the newest witness goes on with the news
            self._fresh(row.key)

    def _failed(self, seq, probe):
        row = self.rows.get(probe.key)
        if row is None or row.state >= w.DEAD:
            return
        # Helpers that said nothing at all: it may be this one that is slow or cut off (Lifeguard, 4.1).
        if probe.asked and not probe.naks:
            self.aware = min(MOST_AWARE, self.aware + 1)
        mine = stated(row, w.SUSPECT, self.me.name)
        if row.state == w.SUSPECT:
            self._witness(mine)
        else:
            self._suspect(mine, self.me.name)

    def _bury(self):
        for key, suspicion in list(self.suspicions.items()):
            if self.now < suspicion.due:
                continue
            # Who has heard nobody since is cut off itself, or the last one left: it takes its time.
            silent = self.heard_at <= suspicion.since
            if silent and self.now < suspicion.since + ALONE * suspicion.most:
                suspicion.due = self.now + self.terms.period
                continue
            self._put(
                stated(self.rows[key], w.DEAD, self.me.name), "suspicion ran out", tuple(suspicion.witnesses)
            )
