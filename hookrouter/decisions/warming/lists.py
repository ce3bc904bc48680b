"""Popularity lists borrowed from neighbours: dated, bounded, and marked with the newest purge they take
account of.

One list per lender counts, the newest. The sum is made from the table in the order of the lenders' names, so
it does not depend on the order of arrival, and a duplicate changes nothing. A lender's total is capped at the
median of all, so that of L lenders a false one contributes at most 2/L of the whole weight.
"""

from math import inf
from statistics import median

import msgspec

from ...errors.wire import UnusableList
from . import messages

MAX_BYTES = 400_000  # of one list
MAX_LENDERS = 32
MAX_AGE = 600_000  # 1 min: an older list describes other demand
# divided by the number of lenders: the largest part of the whole weight that one can contribute
MAX_WEIGHT_FACTOR = 2.0


def make_list(summary, age, position, span):
    """Makes a PopularityList of this router's Summary: the heaviest rows first, ties by name."""
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
    """Decodes a PopularityList; raises UnusableList where it is malformed or fails validate()."""
    if len(data) > MAX_BYTES:
        raise UnusableList(f"a list of {len(data)} bytes exceeds the limit of {MAX_BYTES}")
    try:
        popularity = msgspec.msgpack.decode(data, type=messages.PopularityList)
    except msgspec.DecodeError as error:
        raise UnusableList(f"a list cannot be decoded: {error}") from None
    return validate(popularity)


def validate(popularity):
    """Returns the list; raises UnusableList where it contradicts itself or is too old."""
    if popularity.age > MAX_AGE:
        raise UnusableList("a list is older than a minute")
    if len({row.name for row in popularity.rows}) != len(popularity.rows):
        raise UnusableList("a list contains a name twice")
    if sum(row.weight for row in popularity.rows) > popularity.total:
        raise UnusableList("the weights of a list exceed its total")
    return popularity


class BorrowedLists:
    """The borrowed lists; a newer list of a lender replaces the older one."""

    def __init__(self):
        self.lists = {}  # lender -> PopularityList

    def add(self, lender, popularity):
        """Adds a list unless a newer one of the lender is known; returns False where there are too many
        lenders.
        """
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
        """Returns the largest part of the whole weight that one lender can contribute."""
        return min(1.0, MAX_WEIGHT_FACTOR / max(1, len(self.lists)))

    def total_cap(self):
        """Returns the cap of a lender's total, the median over all lenders."""
        return median(popularity.total for popularity in self.lists.values()) if self.lists else 0

    def combined(self):
        """Returns {name: PopularName} with rates summed over all lenders, each lender's total capped."""
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
    """The demand for one name by all lists together. rate: lookups a unit of time;
    rate_by_lender: its parts.
    """

    __slots__ = ("name", "group", "rate", "rate_by_lender", "sizes", "purge")

    def __init__(self, name, group):
        self.name, self.group, self.rate, self.rate_by_lender, self.sizes = name, group, 0.0, {}, []
        self.purge = inf, 0  # of the oldest list: a purge that one list does not take account of counts

    def add(self, lender, row, rate, purge):
        """Adds a lender's row."""
        self.rate += rate
        self.rate_by_lender[lender] = rate
        self.purge = min(self.purge, purge)
        if row.size:
            self.sizes.append(row.size)

    @property
    def size(self):
        """The median of the known sizes: one false lender of three cannot move it."""
        return median(self.sizes) if self.sizes else 0
