"""The merge table: what the tellers of a zone said last, within a bound set by caches and tellers kept.

Of one teller and row the later (life, number) holds; of two copies of one saying the older age, which is
nearer the truth, for no way is counted. Where there are more tellers than are kept, those of the lowest hash
stay (bottom-k by a hash of the name; Cohen and Kaplan, 2007). The hash is of the name alone, so what is
dropped for it cannot come back by another order: the merge commutes, is associative, and twice is once. (Of a
liar who says two things under one number two boards may keep different ages, until its next number.)
"""

from hashlib import blake2b

from . import words as w
from .bounds import cut, fade, share_of


def rank(name):
    """Whom a zone keeps first: the same for all members, and chosen by none."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def mark(name, life):
    """One process in a sum."""
    return int.from_bytes(blake2b(f"{name}|{life}".encode(), digest_size=4).digest(), "big")


class Teller:
    """floor: number of its last saying that was whole; rows of earlier ones are void."""

    __slots__ = ("life", "number", "floor", "borns", "count", "rows", "rank", "mark")

    def __init__(self, name, life):
        self.life, self.number, self.floor, self.count = life, -1, -1, 1
        self.borns = {}  # number -> when it was said, by this clock: of the newest, the floor, and of rows
        self.rows = {}  # (cache, source) -> (number, out, rate in hundredths)
        self.rank, self.mark = rank(name), mark(name, life)

    @property
    def born(self):
        return self.borns[self.number]

    def tidy(self, most):
        """Rows of the highest numbers stay, and the times of what is there."""
        if len(self.rows) > most:
            for key in sorted(self.rows, key=lambda key: (-self.rows[key][0], key))[most:]:
                del self.rows[key]
        if len(self.borns) > 1:
            used = {self.number, self.floor, *(row[0] for row in self.rows.values())}
            self.borns = {number: born for number, born in self.borns.items() if number in used}


class Board:
    """keep: tellers at most; rows of each: terms.most_caches at most, those of the highest numbers."""

    cut, fade = staticmethod(cut), staticmethod(fade)

    def __init__(self, terms, keep=None):
        self.terms, self.keep = terms, keep or terms.tellers
        self.tellers = {}  # name -> Teller

    # ---- in

    def merge(self, now, block):
        """Whether it was news."""
        if block.age >= self.terms.silent_after:
            return False
        teller = self.tellers.get(block.teller)
        if teller is not None and not self._holds(block, teller):
            return False
        if teller is None or block.life != teller.life:  # a former life's rows are void
            teller = self.tellers[block.teller] = Teller(block.teller, block.life)
        changed = self._put(teller, block, now - block.age)
        self._bound()
        return changed and block.teller in self.tellers

    def _holds(self, block, teller):
        return block.life > teller.life or (block.life == teller.life and block.number >= teller.floor)

    def _put(self, teller, block, born):
        changed = self._lift(teller, block)
        teller.borns[block.number] = min(born, teller.borns.get(block.number, born))
        if block.number > teller.number:
            teller.number, teller.count, changed = block.number, block.count, True
        elif block.number == teller.number:
            teller.count = max(teller.count, block.count)
        for load in block.loads:
            key, row = (load.cache, load.source), (block.number, load.out, load.rate)
            old = teller.rows.get(key)
            if old is None or row > old:  # one number said twice differs by a liar only: all keep the same
                teller.rows[key], changed = row, True
        teller.tidy(self.terms.most_caches)
        return changed

    def _lift(self, teller, block):
        """Whether what it said before is void now."""
        if not block.whole or block.number <= teller.floor:
            return False
        teller.floor = block.number
        teller.rows = {key: row for key, row in teller.rows.items() if row[0] >= teller.floor}
        return True

    def _bound(self):
        if len(self.tellers) > self.keep:
            last = max(self.tellers, key=lambda name: (self.tellers[name].rank, name))
            del self.tellers[last]

    def forget(self, now, living=None):
        """What is too old goes, and whoever lives no more: {name: (life, number)}. living: {name: life}."""
        oldest, gone = now - self.terms.silent_after, {}
        for name, teller in list(self.tellers.items()):
            if teller.born <= oldest or (living is not None and living.get(name) != teller.life):
                gone[name] = teller.life, teller.number
                del self.tellers[name]
            elif len(teller.borns) > 1:
                teller.rows = {key: row for key, row in teller.rows.items() if teller.borns[row[0]] > oldest}
                teller.tidy(self.terms.most_caches)
        return gone

    # ---- out

    def blocks(self, now, name, after=-1):
        """What that teller said under higher numbers, to be sent on."""
        teller = self.tellers[name]
        by_number = {number: [] for number in {teller.number, teller.floor} if number > after}
        for key, row in teller.rows.items():
            if row[0] > after:
                by_number.setdefault(row[0], []).append(w.Load(*key, *row[1:]))
        return [
            w.Block(
                name,
                teller.life,
                number,
                max(0, now - teller.borns[number]),
                teller.count,
                number == teller.floor,
                loads,
            )
            for number, loads in sorted(by_number.items())
        ]

    def caches(self):
        """Ids of which anything is told, in order."""
        rows = (row for teller in self.tellers.values() for row in teller.rows)
        return sorted({cache for cache, source in rows if not source})

    def summary(self, now, cache, of, counts, source="", own=(0.0, 0.0), speaker="", mine=("", 0)):
        """Summary, or None where there is no news. of: other routers that live; counts: {teller: members it
        speaks for} by the view. speaker: who speaks for this one, own: (out, rate) as said in that one's
        block, taken off again; mine: (this one, age) where it speaks itself: own is what its charges have.
        """
        terms = self.terms
        told, weight, ages, most, late = [], 0.0, 0.0, 0.0, 0
        for name, teller in self.tellers.items():
            number, out, rate = teller.rows.get((cache, source)) or (teller.number, 0, 0)
            age = mine[1] if name == mine[0] else max(0, now - teller.borns[number])
            part = self.fade(age, terms.silent_after)
            count = min(teller.count, counts.get(name, 1)) - (name == speaker)
            if part <= 0 or count <= 0:
                continue
            out, rate = out / w.HUNDRED, rate / w.HUNDRED
            if name == mine[0]:
                out, rate = own
            elif name == speaker:
                out, rate = max(0.0, out - own[0]), max(0.0, rate - own[1])
            told.append((out * part, rate * part, count))
            weight, most, late = weight + part * count, max(most, part), late + count
            ages += part * count * age
        if not told or not of:
            return None
        shares = [share_of(terms.share, count / late) for _, _, count in told]
        out, cut_out = self.cut([row[0] for row in told], shares, terms.floor_out)
        rate, cut_rate = self.cut([row[1] for row in told], shares, terms.floor_rate)
        scale = min(of / weight, terms.most_scale) * most
        doubted = cut_out or cut_rate or most < 1 or 2 * late < of
        return w.Summary(cache, out * scale, rate * scale, int(ages / weight), min(late, of), of, doubted)
