"""Those that wait, in their order, and how many of them are there.

The order, a rule a class: who runs out of its lease soonest, while it can still be kept; who has a ticket of
a former life or of another gateway, in the order that ticket has; all others, those that were not admitted
yet first, by their lease, then as they came.
"""

from bisect import bisect_left, insort

from . import messages

URGENT, FORMER, NEW = 0, 1, 2
NEVER = 1 << 60


class Row:
    __slots__ = (
        "name",
        "key",
        "base_key",
        "number",
        "transfer",
        "lease_end",
        "due",
        "conn",
        "arrived_at",
        "late",
        "early",
    )

    def __init__(self, name, key, number, transfer, lease_end, now):
        self.name, self.key, self.number, self.transfer, self.lease_end = (
            name,
            key,
            number,
            transfer,
            lease_end,
        )
        self.base_key = key  # its place if no lease has to be kept
        self.due, self.conn, self.arrived_at, self.late = now, None, now, False  # due: when it is to come
        self.early = False  # came before it was told to


class Queue:
    """rows: name -> Row. A name has one place, whatever it asks."""

    def __init__(self):
        self.rows, self.order, self.present = {}, [], []  # order, present: sorted keys
        self.by_key, self.by_conn = {}, {}
        self.counts = {messages.TAIL: 0, messages.SNAPSHOT: 0}

    def __len__(self):
        return len(self.rows)

    def add(self, row):
        self.rows[row.name] = self.by_key[row.key] = row
        insort(self.order, row.key)
        self.counts[row.transfer] += 1

    def remove(self, row):
        self.detach(row)
        del self.rows[row.name], self.by_key[row.key]
        del self.order[bisect_left(self.order, row.key)]
        self.counts[row.transfer] -= 1

    def move(self, row, key, transfer):
        """The same row at another place."""
        conn = row.conn
        self.remove(row)
        row.key, row.transfer = key, transfer
        self.add(row)
        if conn is not None:
            self.attach(row, conn)

    def attach(self, row, conn):
        row.conn = conn
        self.by_conn[conn] = row
        insort(self.present, row.key)

    def detach(self, row):
        if row.conn is not None:
            del self.by_conn[row.conn]
            row.conn = None
            del self.present[bisect_left(self.present, row.key)]

    def index(self, key):
        """How many are before it."""
        return bisect_left(self.order, key)

    def first_present(self):
        """Of those that are there."""
        return self.by_key[self.present[0]] if self.present else None
