"""Lists lent by neighbours: dated, bounded, under a purge's number; a liar's moves its share at most.

One list a lender, the newest; the sum over lenders is made from that table, in the order of their names. So
it is the same whatever came first, and twice is once. A lender's total counts for no more than the median of
all: of L lenders one cannot bring more than 2/L of all weight, whatever it says.
"""

from math import inf
from statistics import median

import msgspec

from ...errors.wire import UnusableList
from . import messages

MAX_BYTES = 400_000  # of one list
MAX_LENDERS = 32
MAX_AGE = 600_000  # 1 min: what is older tells of another time of the day
MAX_WEIGHT_FACTOR = 2.0  # over the number of lenders: the most that one can bring of all weight


def make_list(summary, age, position, span):
    """A Lent of this router's Summary: the heaviest rows first, ties by name."""
    rows = sorted(summary.rows.items(), key=lambda item: (-item[1][0], item[0]))[: messages.MAX_ROWS]
    return messages.PopularityList(
        age,
        position[0],
        position[1],
        int(summary.total * messages.WEIGHT_SCALE),
        span,
        [
            messages.Row(
                *name[:2],
                name[2],
                group,
                min(int(size), messages.MAX_SIZE),
                int(count * messages.WEIGHT_SCALE),
            )
            for name, (count, size, group) in rows
        ],
    )


def read(data):
    """A Lent from bytes; UnusableList where it is none, or claims more than its own total."""
    if len(data) > MAX_BYTES:
        raise UnusableList(f"a list of {len(data)} bytes, {MAX_BYTES} are the most")
    try:
        popularity = msgspec.msgpack.decode(data, type=messages.PopularityList)
    except msgspec.DecodeError as error:
        raise UnusableList(f"a list cannot be read: {error}") from None
    return validate(popularity)


def validate(popularity):
    """The list, or UnusableList where it contradicts itself or is too old to be of use."""
    if popularity.age > MAX_AGE:
        raise UnusableList("a list is older than a minute")
    if len({row.name for row in popularity.rows}) != len(popularity.rows):
        raise UnusableList("a list names something twice")
    if sum(row.weight for row in popularity.rows) > popularity.total:
        raise UnusableList("a list claims more than was asked for in all")
    return popularity


class BorrowedLists:
    """The table of lists. A later list of the same lender takes the place of the earlier."""

    def __init__(self):
        self.lists = {}  # lender -> Lent

    def add(self, lender, popularity):
        """Whether it was taken: no more than so many lenders, the newest list of each."""
        previous = self.lists.get(lender)
        if previous is None and len(self.lists) >= MAX_LENDERS:
            return False
        if previous is None or (popularity.epoch, popularity.purge, -popularity.age) >= (
            previous.epoch,
            previous.purge,
            -previous.age,
        ):
            self.lists[lender] = popularity
        return True

    def max_share(self):
        """Of all weight, the most that one lender can bring."""
        return min(1.0, MAX_WEIGHT_FACTOR / max(1, len(self.lists)))

    def total_cap(self):
        return median(popularity.total for popularity in self.lists.values()) if self.lists else 0

    def combined(self):
        """{name: Wanted}: weights a unit of time, each lender's capped, and who brings how much of it."""
        limit, combined_names = self.total_cap(), {}
        for lender in sorted(self.lists):
            popularity = self.lists[lender]
            scale = min(1.0, limit / popularity.total) / max(1, popularity.span) if popularity.total else 0.0
            for row in popularity.rows:
                entry = combined_names.get(row.name)
                if entry is None:
                    entry = combined_names[row.name] = PopularName(row.name, row.group)
                entry.add(
                    lender,
                    row,
                    row.weight / messages.WEIGHT_SCALE * scale,
                    (popularity.epoch, popularity.purge),
                )
        return combined_names


class PopularName:
    """A name that was asked for, by all lists together."""

    __slots__ = ("name", "group", "rate", "rate_by_lender", "sizes", "purge")

    def __init__(self, name, group):
        self.name, self.group, self.rate, self.rate_by_lender, self.sizes = name, group, 0.0, {}, []
        self.purge = inf, 0  # the oldest list's: what was purged since that is purged, whoever else says less

    def add(self, lender, row, rate, purge):
        self.rate += rate
        self.rate_by_lender[lender] = rate
        self.purge = min(self.purge, purge)
        if row.size:
            self.sizes.append(row.size)

    @property
    def size(self):
        """The middle one of those told: one lender of three cannot move it."""
        return median(self.sizes) if self.sizes else 0
