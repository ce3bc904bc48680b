"""Probing of a cache that was set aside: few members probe it and tell the others, instead of all probing at
once.

Members have an order for each cache, by a shared hash. The first one probes, and each step of time without a
result doubles the number that may. A member that hears of a success uses the cache at once. After a stated
time each router probes on its own whatever others tell, so no cache stays idle because of a false result or
of a prober without lookups.
"""

from hashlib import blake2b

HEALTHY, SOUGHT, FOUND = "well", "sought", "found"
SET_ASIDE, CLEARED, REPORTED_HEALTHY, REPORTED_FAILING = "aside", "cleared", "told well", "told sick"

STEP = 5_000  # 500 ms: the time of a probe and of the message with its result
MAX_WAIT = 30_000  # 3 s since it was set aside here; then each router probes on its own
MAX_RANKED_MEMBERS = 1_024  # whose order is counted

TABLE = {
    (HEALTHY, SET_ASIDE): SOUGHT,
    (HEALTHY, CLEARED): HEALTHY,
    (HEALTHY, REPORTED_HEALTHY): HEALTHY,
    (HEALTHY, REPORTED_FAILING): HEALTHY,
    (SOUGHT, SET_ASIDE): SOUGHT,
    (SOUGHT, CLEARED): HEALTHY,
    (SOUGHT, REPORTED_HEALTHY): FOUND,
    (SOUGHT, REPORTED_FAILING): SOUGHT,
    (FOUND, SET_ASIDE): FOUND,
    (FOUND, CLEARED): HEALTHY,
    (FOUND, REPORTED_HEALTHY): FOUND,
    (FOUND, REPORTED_FAILING): SOUGHT,
}


class Row:
    """The state of one cache that was set aside. attempt: identifies the last probe, see observe()."""

    __slots__ = ("state", "set_aside_at", "last_result_at", "rank", "attempt")

    def __init__(self):
        self.state, self.set_aside_at, self.last_result_at, self.rank, self.attempt = (
            HEALTHY,
            0,
            0,
            None,
            None,
        )


class Trickle:
    """The caches that this router has set aside, and whose turn it is to probe them."""

    def __init__(self, own_name):
        self.own_name, self.members, self.rows = own_name, (), {}

    def set_members(self, members):
        """Sets the names of the live members that use the same caches, this one included."""
        if members != self.members:
            self.members = members
            for row in self.rows.values():
                row.rank = None

    def rank(self, cache):
        """Returns how many of the members come before this one."""

        def place(name):
            return blake2b(f"{cache}|{name}".encode(), digest_size=8).digest()

        mine = place(self.own_name)
        return sum(name != self.own_name and place(name) < mine for name in self.members[:MAX_RANKED_MEMBERS])

    def observe(self, now, cache, aside, attempt=None):
        """Records whether this router has set the cache aside, at each tick. Returns True or False where its
        own probe has just succeeded or failed, which is to be told to others, and None without such a result.
        """
        row = self.rows.get(cache)
        if row is None:
            if not aside:
                return None
            row = self.rows[cache] = Row()
            row.set_aside_at = row.last_result_at = now
            row.attempt = attempt
        elif aside and attempt != row.attempt:
            row.attempt, row.last_result_at = attempt, now  # a failed probe
            self._step(row, REPORTED_FAILING)
            return False
        self._step(row, SET_ASIDE if aside else CLEARED)
        if row.state == HEALTHY:
            del self.rows[cache]
            return True
        return None

    def receive(self, now, cache, healthy, age):
        """Records another member's result of this age; it counts where it is newer than the last one known
        here.
        """
        row = self.rows.get(cache)
        if row is None or now - age <= row.last_result_at:
            return
        row.last_result_at = now - age
        self._step(row, REPORTED_HEALTHY if healthy else REPORTED_FAILING)

    def tries(self, cache, now):
        """Returns whether this router may probe the cache; True where it is not set aside."""
        row = self.rows.get(cache)
        if row is None or row.state != SOUGHT or now - row.set_aside_at >= MAX_WAIT:
            return True
        if row.rank is None:
            row.rank = self.rank(cache)
        return row.rank < 1 << min(20, max(0, now - row.last_result_at) // STEP)

    def _step(self, row, event):
        row.state = TABLE[row.state, event]
