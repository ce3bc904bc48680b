"""Purges between list and fill: by their numbers, never by a clock, the purge wins."""

from collections import deque

from ...purges import types
from ...purges.patterns import Patterns

MAX_PURGES = 20_000  # purges, a minute's burst; a list from before them is of no use


def unknown_tags(object):
    """Tags of an object of which nothing is known."""


class RecentPurges:
    """The newest purges this router was told, in order. tags: object -> its tags, or None for not known."""

    def __init__(self, tags=None, most=MAX_PURGES):
        self.rows, self.newest, self.known_after = deque(maxlen=most), (0, 0), (0, 0)
        self.tags = tags or unknown_tags

    def add(self, purge):
        if (purge.epoch, purge.n) <= self.newest:
            return
        if len(self.rows) == self.rows.maxlen:
            self.known_after = self.rows[0].epoch, self.rows[0].n
        self.rows.append(purge)
        self.newest = purge.epoch, purge.n

    def restart(self, position):
        """A snapshot took the place of what was heard one by one."""
        self.rows.clear()
        self.newest = self.known_after = position

    def since(self, position):
        """The purges behind it, or None where these are not all known any more."""
        if position < self.known_after:
            return None
        found = []
        for purge in reversed(self.rows):
            if (purge.epoch, purge.n) <= position:
                break
            found.append(purge)
        return found

    def matcher(self, purge):
        """Whether a purge is about (name, group), as a function of these. Of a tag, where the object's tags
        are not known: no, for the fill goes with the guard's age limit, which no older copy passes.
        """
        subject = purge.what
        if purge.kind == types.OBJECT:
            return lambda name, group: subject == name[1]
        if purge.kind == types.GROUP:
            return lambda name, group: subject == str(group)
        if purge.kind == types.TAG:
            return lambda name, group: subject in (self.tags(name[1]) or ())
        known = Patterns(1)
        if not known.raise_to(purge.kind, subject, 1, 0, 0):
            return lambda name, group: True  # it may be about anything
        return lambda name, group: known.bound(f"{name[0]}/{name[1]}") is not None

    def purged_among(self, wanted, since=(0, 0)):
        """Names among these (Wanted or Entry) purged since the oldest list that has them. since: they were
        looked at then.
        """
        if not wanted:
            return set()
        # Of a list from before what is kept one by one nothing is known: all of it counts as purged.
        found = {entry.name for entry in wanted if entry.purge < self.known_after}
        remaining = [entry for entry in wanted if entry.purge >= self.known_after]
        for purge in (
            self.since(max(since, min((entry.purge for entry in remaining), default=self.newest))) or ()
        ):
            is_match, number = self.matcher(purge), (purge.epoch, purge.n)
            found.update(
                entry.name
                for entry in remaining
                if number > entry.purge and is_match(entry.name, entry.group)
            )
        return found
