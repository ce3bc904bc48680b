"""A cache that was set aside is found again by few, and told: not by each router's own trickle.

Members have an order for each cache, by a hash that all share. The first tries; each step of time without
word doubles how many may. Who hears that it is well tries at once. Whatever others tell, after a stated time
each router tries by itself, so no cache stays idle for a lie or for a finder that sees no lookups.
"""

from hashlib import blake2b

HEALTHY, SOUGHT, FOUND = "well", "sought", "found"
SET_ASIDE, CLEARED, REPORTED_HEALTHY, REPORTED_FAILING = "aside", "cleared", "told well", "told sick"

STEP = 5_000  # 500 ms: as long as a try and its word take
MAX_WAIT = 30_000  # 3 s since it was set aside here: then each tries by itself
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
    def __init__(self, own_name):
        self.own_name, self.members, self.rows = own_name, (), {}

    def set_members(self, members):
        """Names of the living members that meet the same caches; this one too."""
        if members != self.members:
            self.members = members
            for row in self.rows.values():
                row.rank = None

    def rank(self, cache):
        """How many of the members come before this one."""

        def place(name):
            return blake2b(f"{cache}|{name}".encode(), digest_size=8).digest()

        mine = place(self.own_name)
        return sum(name != self.own_name and place(name) < mine for name in self.members[:MAX_RANKED_MEMBERS])

    def observe(self, now, cache, aside, attempt=None):
        """What this router itself holds of it, at each tick. True or False: it was tried here and found well
        or not, which is to be told; None: nothing new.
        """
        row = self.rows.get(cache)
        if row is None:
            if not aside:
                return None
            row = self.rows[cache] = Row()
            row.set_aside_at = row.last_result_at = now
            row.attempt = attempt
        elif aside and attempt != row.attempt:
            row.attempt, row.last_result_at = attempt, now  # tried, in vain
            self._step(row, REPORTED_FAILING)
            return False
        self._step(row, SET_ASIDE if aside else CLEARED)
        if row.state == HEALTHY:
            del self.rows[cache]
            return True
        return None

    def receive(self, now, cache, healthy, age):
        """Another's word of what it saw so long ago: counts where it is newer than what was seen here."""
        row = self.rows.get(cache)
        if row is None or now - age <= row.last_result_at:
            return
        row.last_result_at = now - age
        self._step(row, REPORTED_HEALTHY if healthy else REPORTED_FAILING)

    def tries(self, cache, now):
        """Whether this router may look if it is well again; True for what is not set aside."""
        row = self.rows.get(cache)
        if row is None or row.state != SOUGHT or now - row.set_aside_at >= MAX_WAIT:
            return True
        if row.rank is None:
            row.rank = self.rank(cache)
        return row.rank < 1 << min(20, max(0, now - row.last_result_at) // STEP)

    def _step(self, row, event):
        row.state = TABLE[row.state, event]
