"""A cache that was set aside is found again by few, and told: not by each router's own trickle.

Members have an order for each cache, by a hash that all share. The first tries; each step of time without
word doubles how many may. Who hears that it is well tries at once. Whatever others tell, after a stated time
each router tries by itself, so no cache stays idle for a lie or for a finder that sees no lookups.
"""

from hashlib import blake2b

WELL, SOUGHT, FOUND = "well", "sought", "found"
ASIDE, CLEARED, TOLD_WELL, TOLD_SICK = "aside", "cleared", "told well", "told sick"

STEP = 5_000  # 500 ms: as long as a try and its word take
MOST_WAIT = 30_000  # 3 s since it was set aside here: then each tries by itself
MOST_MEMBERS = 1_024  # whose order is counted

TABLE = {
    (WELL, ASIDE): SOUGHT,
    (WELL, CLEARED): WELL,
    (WELL, TOLD_WELL): WELL,
    (WELL, TOLD_SICK): WELL,
    (SOUGHT, ASIDE): SOUGHT,
    (SOUGHT, CLEARED): WELL,
    (SOUGHT, TOLD_WELL): FOUND,
    (SOUGHT, TOLD_SICK): SOUGHT,
    (FOUND, ASIDE): FOUND,
    (FOUND, CLEARED): WELL,
    (FOUND, TOLD_WELL): FOUND,
    (FOUND, TOLD_SICK): SOUGHT,
}


class Row:
    __slots__ = ("state", "since", "quiet", "rank", "mark")

    def __init__(self):
        self.state, self.since, self.quiet, self.rank, self.mark = WELL, 0, 0, None, None


class Trickle:
    def __init__(self, me):
        self.me, self.members, self.rows = me, (), {}

    def stands(self, members):
        """Names of the living members that meet the same caches; this one too."""
        if members != self.members:
            self.members = members
            for row in self.rows.values():
                row.rank = None

    def rank(self, cache):
        """How many of the members come before this one."""

        def place(name):
            return blake2b(f"{cache}|{name}".encode(), digest_size=8).digest()

        mine = place(self.me)
        return sum(name != self.me and place(name) < mine for name in self.members[:MOST_MEMBERS])

    def own(self, now, cache, aside, mark=None):
        """What this router itself holds of it, at each tick. True or False: it was tried here and found well
        or not, which is to be told; None: nothing new.
        """
        row = self.rows.get(cache)
        if row is None:
            if not aside:
                return None
            row = self.rows[cache] = Row()
            row.since = row.quiet = now
            row.mark = mark
        elif aside and mark != row.mark:
            row.mark, row.quiet = mark, now  # tried, in vain
            self._step(row, TOLD_SICK)
            return False
        self._step(row, ASIDE if aside else CLEARED)
        if row.state == WELL:
            del self.rows[cache]
            return True
        return None

    def told(self, now, cache, well, age):
        """Another's word of what it saw so long ago: counts where it is newer than what was seen here."""
        row = self.rows.get(cache)
        if row is None or now - age <= row.quiet:
            return
        row.quiet = now - age
        self._step(row, TOLD_WELL if well else TOLD_SICK)

    def tries(self, cache, now):
        """Whether this router may look if it is well again; True for what is not set aside."""
        row = self.rows.get(cache)
        if row is None or row.state != SOUGHT or now - row.since >= MOST_WAIT:
            return True
        if row.rank is None:
            row.rank = self.rank(cache)
        return row.rank < 1 << min(20, max(0, now - row.quiet) // STEP)

    def _step(self, row, word):
        row.state = TABLE[row.state, word]
