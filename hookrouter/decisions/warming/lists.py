"""Lists lent by neighbours: dated, bounded, under a purge's number; a liar's moves its share at most.

One list a lender, the newest; the sum over lenders is made from that table, in the order of their names. So
it is the same whatever came first, and twice is once. A lender's total counts for no more than the median of
all: of L lenders one cannot bring more than 2/L of all weight, whatever it says.
"""

from math import inf
from statistics import median

import msgspec

from ...errors.wire import UnusableList
from . import words as w

MOST_BYTES = 400_000  # of one list
MOST_LENDERS = 32
OLDEST = 600_000  # 1 min: what is older tells of another time of the day
LIAR = 2.0  # over the number of lenders: the most that one can bring of all weight


def lend(summary, age, position, span):
    """A Lent of this router's Summary: the heaviest rows first, ties by name."""
    rows = sorted(summary.rows.items(), key=lambda item: (-item[1][0], item[0]))[: w.MOST_ROWS]
    return w.Lent(
        age,
        position[0],
        position[1],
        int(summary.total * w.THOUSAND),
        span,
        [
            w.Row(*name[:2], name[2], group, min(int(size), w.MOST_SIZE), int(count * w.THOUSAND))
            for name, (count, size, group) in rows
        ],
    )


def read(data):
    """A Lent from bytes; UnusableList where it is none, or claims more than its own total."""
    if len(data) > MOST_BYTES:
        raise UnusableList(f"a list of {len(data)} bytes, {MOST_BYTES} are the most")
    try:
        lent = msgspec.msgpack.decode(data, type=w.Lent)
    except msgspec.DecodeError as wrong:
        raise UnusableList(f"a list cannot be read: {wrong}") from None
    return fit(lent)


def fit(lent):
    """The list, or UnusableList where it contradicts itself or is too old to be of use."""
    if lent.age > OLDEST:
        raise UnusableList("a list is older than a minute")
    if len({row.name for row in lent.rows}) != len(lent.rows):
        raise UnusableList("a list names something twice")
    if sum(row.weight for row in lent.rows) > lent.total:
        raise UnusableList("a list claims more than was asked for in all")
    return lent


class Borrowed:
    """The table of lists. A later list of the same lender takes the place of the earlier."""

    def __init__(self):
        self.lists = {}  # lender -> Lent

    def take(self, lender, lent):
        """Whether it was taken: no more than so many lenders, the newest list of each."""
        old = self.lists.get(lender)
        if old is None and len(self.lists) >= MOST_LENDERS:
            return False
        if old is None or (lent.epoch, lent.purge, -lent.age) >= (old.epoch, old.purge, -old.age):
            self.lists[lender] = lent
        return True

    def share(self):
        """Of all weight, the most that one lender can bring."""
        return min(1.0, LIAR / max(1, len(self.lists)))

    def cap(self):
        return median(lent.total for lent in self.lists.values()) if self.lists else 0

    def sum(self):
        """{name: Wanted}: weights a unit of time, each lender's capped, and who brings how much of it."""
        cap, found = self.cap(), {}
        for lender in sorted(self.lists):
            lent = self.lists[lender]
            scale = min(1.0, cap / lent.total) / max(1, lent.span) if lent.total else 0.0
            for row in lent.rows:
                wanted = found.get(row.name)
                if wanted is None:
                    wanted = found[row.name] = Wanted(row.name, row.group)
                wanted.add(lender, row, row.weight / w.THOUSAND * scale, (lent.epoch, lent.purge))
        return found


class Wanted:
    """A name that was asked for, by all lists together."""

    __slots__ = ("name", "group", "rate", "by", "sizes", "purge")

    def __init__(self, name, group):
        self.name, self.group, self.rate, self.by, self.sizes = name, group, 0.0, {}, []
        self.purge = inf, 0  # the oldest list's: what was purged since that is purged, whoever else says less

    def add(self, lender, row, rate, purge):
        self.rate += rate
        self.by[lender] = rate
        self.purge = min(self.purge, purge)
        if row.size:
            self.sizes.append(row.size)

    @property
    def size(self):
        """The middle one of those told: one lender of three cannot move it."""
        return median(self.sizes) if self.sizes else 0
