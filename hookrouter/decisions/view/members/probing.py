"""Probes in turn, others asked to probe, and what a stall of its own tells."""

from .. import words as w
from .records import MOST_AWARE, OVERDUE, Probe

DOUBTS_A_PERIOD = 4  # told to those concerned
STALL = 4_000  # 400 ms later than due and this process has stood still


class Probing:
    def _tick(self, event):
        late = self.now - self.probe_at
        if late > STALL:
            self._stood_still(late)
        for seq in [seq for seq, probe in self.probes.items() if self.now >= probe.due]:
            self._step(seq, OVERDUE)
        for seq in [seq for seq, row in self.relayed.items() if self.now >= row[2]]:
            whose, theirs, _ = self.relayed.pop(seq)
            if whose in self.rows:
                self._send(self.rows[whose], w.Nak(theirs))
        self._bury()
        if self.now >= self.probe_at:
            self.probe_at = self.now + self.terms.period
            self._probe()
            self._again()
            self._tell_dead()
            self._forget()

    def _stood_still(self, span):
        """What did not answer meanwhile had nobody to answer to."""
        self.probes.clear()
        self.relayed.clear()
        self.spoke.clear()
        for suspicion in self.suspicions.values():
            suspicion.since += span
            suspicion.due += span
        self.heard_at = min(self.heard_at + span, self.now)
        self.aware = min(MOST_AWARE, self.aware + 1)
        self.out.append(w.Told("stood still", (("ms", span // 10),)))

    def _wait(self):
        """For an answer: the mean of those seen and four deviations (Jacobson, 1988), longer where this one
        is slow.
        """
        seen = int(self.wait_mean + 4 * self.wait_dev) if self.wait_mean else self.terms.least_wait
        return min(self.terms.most_wait, max(self.terms.least_wait, seen)) * (1 + self.aware)

    def _next(self):
        """The next one to probe: each once a round, in an order drawn anew. Every other probe goes to
        one that is suspected, where there is any: it learns of it, and what it says comes straight here.
        """
        self.turn = not self.turn
        if self.turn and self.suspicions:
            return self.rows[self.random.choice(list(self.suspicions))]
        for _ in range(len(self.ring) + 1):
            if self.at >= len(self.ring):
                self.ring = [key for key in self.ring if key in self.rows and self.rows[key].state < w.DEAD]
                self.random.shuffle(self.ring)
                self.at = 0
            if not self.ring:
                return None
            key = self.ring[self.at]
            self.at += 1
            row = self.rows.get(key)
            if row is not None and row.state < w.DEAD and key != self.me.key:
                return row
        return None

    def _probe(self):
        row = self._next()
        if row is None:
            return
        self.seq += 1
        self.probes[self.seq] = Probe(row.key, self.now, self.now + self._wait())
        self._send(row, w.Ping(self.seq, self.digest, self._news(row)))

    def _ask(self, seq, probe):
        """Others are asked to probe it."""
        row = self.rows.get(probe.key)
        able = [
            other
            for other in self._sample(self.terms.helpers + 2)
            if other.key not in (probe.key, self.me.key)
        ][: self.terms.helpers]
        probe.asked, probe.due = len(able), self.now + 2 * self._wait()
        if row is not None:
            for other in able:
                self._send(other, w.PingFor(seq, row.name, row.life, self._news(other)))

    def _sample(self, count):
        """Members that are not suspected, at random."""
        found = []
        for _ in range(3 * count):
            if not self.ring or len(found) >= count:
                break
            row = self.rows.get(self.random.choice(self.ring))
            if row is not None and row.state < w.SUSPECT and row not in found:
                found.append(row)
        return found

    def _answer_seen(self, seq, probe):
        span = self.now - probe.sent
        if not self.wait_mean:
            self.wait_mean, self.wait_dev = span, span / 2
        self.wait_dev += (abs(span - self.wait_mean) - self.wait_dev) / 4
        self.wait_mean += (span - self.wait_mean) / 8
        self.aware = max(0, self.aware - 1)

    def _again(self):
        """One that is dead, or a seed: so a split ends. One try a second, whatever the size."""
        if self.now < self.again_at:
            return
        self.again_at = self.now + self.random.randrange(
            self.terms.again_every // 2, 3 * self.terms.again_every // 2
        )
        known = {row.address for row in self.rows.values() if row.state < w.SUSPECT}
        seeds = [address for address in self.terms.seeds if address not in known]
        dead = [key for key in self.gone_at if self.rows[key].state == w.DEAD]
        if seeds and (not dead or self.random.random() < 0.5):
            self.out.append(w.Send("", self.random.choice(seeds), self._compared(False)))
        elif dead:
            row = self.rows[self.random.choice(dead)]
            self._send(row, w.Ping(0, self.digest, [row, self.me]))

    def _tell_dead(self):
        """Those whose death is told though not suspected here: they say that they live, or fail probes."""
        for key in list(self.doubts)[:DOUBTS_A_PERIOD]:
            row = self.doubts.pop(key)
            self._send(row, w.Ping(0, self.digest, [row]))
