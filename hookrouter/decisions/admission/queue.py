"""The ordered queue of followers that want to be admitted, with those that are connected now.

The order has three classes: followers with the earliest end of a lease that can still be kept; followers with
a ticket of a former incarnation or another gateway, in the order of the tickets; all others, first those that
were not admitted yet, by their lease, then by arrival.
"""

from bisect import bisect_left, insort

from . import messages

URGENT, FORMER, NEW = 0, 1, 2
NEVER = 1 << 60


class Row:
    """The place of one named follower in the queue."""

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
        self.base_key = key  # its place without a lease to keep
        self.due, self.conn, self.arrived_at, self.late = now, None, now, False  # due: when it is expected
        self.early = False  # it arrived before its due time


class Queue:
    """A sorted queue with one place per name. rows: name -> Row."""

    def __init__(self):
        self.rows, self.order, self.present = {}, [], []  # sorted keys of all rows and of the connected ones
        self.by_key, self.by_conn = {}, {}
        self.counts = {messages.TAIL: 0, messages.SNAPSHOT: 0}

    def __len__(self):
        return len(self.rows)

    def add(self, row):
        """Inserts the row at its key."""
        self.rows[row.name] = self.by_key[row.key] = row
        insort(self.order, row.key)
        self.counts[row.transfer] += 1

    def remove(self, row):
        """Removes the row and its connection."""
        self.detach(row)
        del self.rows[row.name], self.by_key[row.key]
        del self.order[bisect_left(self.order, row.key)]
        self.counts[row.transfer] -= 1

    def move(self, row, key, transfer):
        """Moves the row to another place; its connection stays."""
        conn = row.conn
        self.remove(row)
        row.key, row.transfer = key, transfer
        self.add(row)
        if conn is not None:
            self.attach(row, conn)

    def attach(self, row, conn):
        """Marks the follower as connected."""
        row.conn = conn
        self.by_conn[conn] = row
        insort(self.present, row.key)

    def detach(self, row):
        """Marks the follower as not connected."""
        if row.conn is not None:
            del self.by_conn[row.conn]
            row.conn = None
            del self.present[bisect_left(self.present, row.key)]

    def index(self, key):
        """Returns how many rows come before this key."""
        return bisect_left(self.order, key)

    def first_present(self):
        """Returns the first row with a connection, or None."""
        return self.by_key[self.present[0]] if self.present else None
