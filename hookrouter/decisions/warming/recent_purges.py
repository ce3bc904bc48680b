"""The recent purges, which are applied between list and fill: by their numbers and never by a clock."""

from collections import deque

from ...purges import types
from ...purges.patterns import Patterns

MAX_PURGES = 20_000  # as many as come in a minute's burst; an older list is useless


def unknown_tags(object):
    """Stands for the tags of an object where nothing is known: returns None."""


class RecentPurges:
    """The newest purges known to this router, in order. tags: object -> its tags, or None where unknown."""

    def __init__(self, tags=None, capacity=MAX_PURGES):
        self.rows, self.newest, self.known_after = deque(maxlen=capacity), (0, 0), (0, 0)
        self.tags = tags or unknown_tags

    def add(self, purge):
        """Adds a purge; one that is not newer than the last is ignored."""
        if (purge.epoch, purge.n) <= self.newest:
            return
        if len(self.rows) == self.rows.maxlen:
            self.known_after = self.rows[0].epoch, self.rows[0].n
        self.rows.append(purge)
        self.newest = purge.epoch, purge.n

    def restart(self, position):
        """Forgets the single purges, after a snapshot up to this position."""
        self.rows.clear()
        self.newest = self.known_after = position

    def since(self, position):
        """Returns the purges after the position, or None where some of them are not known any more."""
        if position < self.known_after:
            return None
        found = []
        for purge in reversed(self.rows):
            if (purge.epoch, purge.n) <= position:
                break
            found.append(purge)
        return found

    def matcher(self, purge):
        """Returns a function (name, group) -> whether the purge applies to it. A tag does not apply where the
        object's tags are unknown: the fill carries the age limit of the guard, which no older copy meets.
        """
        subject = purge.what
        if purge.kind == types.OBJECT:
            return lambda name, group: subject == name[1]
        if purge.kind == types.GROUP:
            return lambda name, group: subject == str(group)
        if purge.kind == types.TAG:
            return lambda name, group: subject in (self.tags(name[1]) or ())
        known = Patterns(1, types.MAX_PATTERN_MEMORY)
        if not known.raise_to(purge.kind, subject, 1, 0, 0):
            return lambda name, group: True  # it may apply to anything
        return lambda name, group: known.bound(f"{name[0]}/{name[1]}") is not None

    def purged_among(self, wanted, since=(0, 0)):
        """Returns the names among these (PopularName or PlanEntry) purged since their oldest list. since: the
        position up to which they were checked before.
        """
        if not wanted:
            return set()
        # For a list from before the known purges nothing can be ruled out: all of its names count as purged.
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
