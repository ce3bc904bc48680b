"""Purges between list and fill: by their numbers, never by a clock, the purge wins."""

from collections import deque

from ...purges import types
from ...purges.patterns import Patterns

KEPT = 20_000  # purges, a minute's burst; a list from before them is of no use


def unknown(object):
    """Tags of an object of which nothing is known."""


class Purged:
    """The newest purges this router was told, in order. tags: object -> its tags, or None for not known."""

    def __init__(self, tags=None, most=KEPT):
        self.rows, self.newest, self.first = deque(maxlen=most), (0, 0), (0, 0)
        self.tags = tags or unknown

    def told(self, purge):
        if (purge.epoch, purge.n) <= self.newest:
            return
        if len(self.rows) == self.rows.maxlen:
            self.first = self.rows[0].epoch, self.rows[0].n
        self.rows.append(purge)
        self.newest = purge.epoch, purge.n

    def restart(self, position):
        """A snapshot took the place of what was heard one by one."""
        self.rows.clear()
        self.newest = self.first = position

    def since(self, position):
        """The purges behind it, or None where these are not all known any more."""
        if position < self.first:
            return None
        found = []
        for purge in reversed(self.rows):
            if (purge.epoch, purge.n) <= position:
                break
            found.append(purge)
        return found

    def concerns(self, purge):
        """Whether a purge is about (name, group), as a function of these. Of a tag, where the object's tags
        are not known: no, for the fill goes with the guard's age limit, which no older copy passes.
        """
        what = purge.what
        if purge.kind == types.OBJECT:
            return lambda name, group: what == name[1]
        if purge.kind == types.GROUP:
            return lambda name, group: what == str(group)
        if purge.kind == types.TAG:
            return lambda name, group: what in (self.tags(name[1]) or ())
        known = Patterns(1)
        if not known.raise_to(purge.kind, what, 1, 0, 0):
            return lambda name, group: True  # it may be about anything
        return lambda name, group: known.bound(f"{name[0]}/{name[1]}") is not None

    def struck(self, wanted, since=(0, 0)):
        """Names among these (Wanted or Entry) purged since the oldest list that has them. since: they were
        looked at then.
        """
        if not wanted:
            return set()
        # Of a list from before what is kept one by one nothing is known: all of it counts as purged.
        found = {one.name for one in wanted if one.purge < self.first}
        left = [one for one in wanted if one.purge >= self.first]
        for purge in self.since(max(since, min((one.purge for one in left), default=self.newest))) or ():
            about, number = self.concerns(purge), (purge.epoch, purge.n)
            found.update(one.name for one in left if number > one.purge and about(one.name, one.group))
        return found
