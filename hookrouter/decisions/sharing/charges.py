"""Those for whom a teller speaks: what each said last, summed up with its own loads into one block."""

from . import words as w
from .bounds import cut, share_of

MOST_CHARGES = 1_024  # members that one teller speaks for: a zone of 16,000


class Charges:
    def __init__(self, terms):
        self.terms, self.rows = terms, {}  # name -> (life, number, born, {key: (out, rate)})

    def put(self, now, block):
        """Whether it was news."""
        old = self.rows.get(block.teller)
        if block.count != 1 or block.age >= self.terms.silent_after:
            return False
        if old is not None and (block.life, block.number) <= old[:2]:
            return False
        if old is None and len(self.rows) >= MOST_CHARGES:
            return False
        loads = {(load.cache, load.source): (load.out, load.rate) for load in block.loads}
        if not block.whole and old is not None and old[0] == block.life:
            loads = dict(sorted({**old[3], **loads}.items())[: self.terms.most_caches])
        self.rows[block.teller] = block.life, block.number, now - block.age, loads
        return True

    def keep_only(self, names):
        """Others are spoken for elsewhere now."""
        names = set(names)
        self.rows = {name: row for name, row in self.rows.items() if name in names}

    def forget(self, now, living):
        for name in [
            name
            for name, row in self.rows.items()
            if now - row[2] >= self.terms.silent_after or living.get(name) != row[0]
        ]:
            del self.rows[name]

    def sums(self, own):
        """{(cache, source): (out, rate)} with own among them, each claim cut as the board cuts those of
        tellers: so one liar among a teller's moves that one's block no more than its stated share.
        """
        share = share_of(self.terms.share, 1 / (1 + len(self.rows)))
        claims = {key: ([out], [rate]) for key, (out, rate) in own.items()}
        for name in sorted(self.rows):
            for key, (out, rate) in self.rows[name][3].items():
                outs, rates = claims.setdefault(key, ([], []))
                outs.append(out)
                rates.append(rate)
        return {
            key: (
                cut(outs, [share] * len(outs), self.terms.floor_out * w.HUNDRED)[0],
                cut(rates, [share] * len(rates), self.terms.floor_rate * w.HUNDRED)[0],
            )
            for key, (outs, rates) in sorted(claims.items())[: self.terms.most_caches]
        }

    def age(self, now, own=1):
        """Mean age of what goes into the sums; own loads are of now, where they are among them."""
        return int(sum(now - row[2] for row in self.rows.values()) / max(1, own + len(self.rows)))
