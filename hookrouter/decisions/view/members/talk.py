"""News that goes out with each message, and what comes in."""

from math import ceil, log10

from .. import words as w
from .marks import bucket
from .records import ANSWERED

MOST_PARTS = 8  # datagrams of rows for one comparison: what is left comes with the next
MOST_SPOKE = 500  # words of others on their views: a member hears some 16 in the time that counts
MOST_RELAYED = 1_000  # probes for others under way


class Talk:
    def _news(self, to=None):
        """Rows that were sent least often, as many as a datagram takes; to a suspected one, that first."""
        most = self.terms.spread * ceil(log10(len(self.ring) + 2))
        rows, taken = [], []
        if to is not None and to.state == w.SUSPECT:
            rows.append(to)
        if self.me.key in self.news:
            rows.append(self.me)
        size = sum(row.size() for row in rows)
        for sent, tier in enumerate(self.tiers):
            for key in tier:
                row = self.rows[key]
                size += row.size()
                if size > w.MOST_NEWS or len(rows) >= w.MOST_ROWS:
                    break
                if row not in rows:
                    rows.append(row)
                taken.append((key, sent + 1))
            else:
                continue
            break
        for key, sent in taken:
            self._no_news(key)
            if sent < most:
                self._tier(key, sent)
        return rows

    def _compared(self, answer):
        return w.Compare(list(self.sums), answer, [self.me])

    def _differs(self, row, digest):
        """Another view than this one's was named."""
        if digest != self.digest and self.now >= self.compare_at:
            self.compare_at = self.now + self.terms.compare_every
            self._send(row, self._compared(False))

    def _said(self, key, digest):
        row = self.rows.get(key)
        if row is not None:
            self.spoke.append((self.now, key, digest))
            if len(self.spoke) > MOST_SPOKE:
                self.spoke.popleft()
            self._differs(row, digest)

    def _ping(self, key, heard, ping):
        row = self.rows.get(key)
        self.out.append(
            w.Send(
                heard.name,
                heard.address if row is None else row.address,
                w.Ack(ping.seq, self.digest, self.me.name, self.me.life, self._news(row)),
            )
        )
        if row is None:  # of one that is not known: who is it?
            self.out.append(w.Send(heard.name, heard.address, self._compared(False)))
        else:
            self._said(key, ping.digest)

    def _ack(self, key, heard, ack):
        relayed = self.relayed.pop(ack.seq, None)
        if relayed is not None:
            whose, theirs, _ = relayed
            if whose in self.rows:
                self._send(self.rows[whose], w.Ack(theirs, ack.digest, ack.name, ack.life))
        probe = self.probes.get(ack.seq)
        if probe is not None and probe.key == (ack.name, ack.life):
            self._step(ack.seq, ANSWERED)
        if key == (ack.name, ack.life):
            self._said(key, ack.digest)

    def _ping_for(self, key, heard, asked):
        target = self.rows.get((asked.name, asked.life))
        if target is None or key not in self.rows or len(self.relayed) >= MOST_RELAYED:
            return
        self.seq += 1
        self.relayed[self.seq] = key, asked.seq, self.now + self._wait()
        self._send(target, w.Ping(self.seq, self.digest, self._news(target)))

    def _nak(self, key, heard, nak):
        probe = self.probes.get(nak.seq)
        if probe is not None:
            probe.naks += 1

    def _compare(self, key, heard, compare):
        """Rows of the buckets that differ, from a place drawn at random on: the rest comes another time."""
        differ = {n for n, (a, b) in enumerate(zip(self.sums, compare.sums)) if a != b}
        address = self.rows[key].address if key in self.rows else heard.address
        if not compare.answer:
            self.out.append(w.Send(heard.name, address, self._compared(True)))
        rows = [row for row in self.rows.values() if bucket(row.key) in differ and row.key != key]
        start = self.random.randrange(len(rows)) if rows else 0
        part, size, parts = [], 0, 0
        for row in rows[start:] + rows[:start]:
            if size + row.size() > w.MOST_NEWS:
                self.out.append(w.Send(heard.name, address, w.Rows(part)))
                part, size, parts = [], 0, parts + 1
                if parts >= MOST_PARTS:
                    return
            part.append(row)
            size += row.size()
        if part:
            self.out.append(w.Send(heard.name, address, w.Rows(part)))

    def _rows_came(self, key, heard, message):
        """Its rows are learnt already."""

    def _leave(self, event):
        if event.final:
            self.left_at = self.now
        self._mine(self.me.incarnation + 1, w.LEFT if event.final else w.LEAVING)
        for row in self._sample(self.terms.helpers + 2):
            if row.key != self.me.key:
                self._send(row, w.Rows([self.me]))
