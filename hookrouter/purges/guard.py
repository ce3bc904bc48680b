"""Which copies may answer in one router: its live purges, its lease and the tags of objects, asked as one.

The rule: a copy that the origin gave out at m may answer at t only if each purge in effect that concerns it
was made before m, told clocks and their skew counted to the safe side. A router without a lease may not have
heard some: it takes only copies younger than the lease, and the desk states purges as in effect accordingly.
"""

from . import fence
from . import types as w
from .index import Index
from .tags import Tags

ROUNDING = 20  # 2 ms: copies' times and ages are told in whole milliseconds, each rounded once
GROUPS = tuple(map(str, range(256)))
STRICT = 1  # the age asked for where only what the origin gives out anew will do; 0 would mean any


class Guard:
    """One for a router. Told purges, grants and the steady time; asked at each send and at each answer."""

    def __init__(self, terms, tags=None):
        self.terms = terms
        self.index, self.fence = Index(terms), fence.Fence(terms.lease)
        self.tags = Tags(terms.most_tagged) if tags is None else tags
        self.age = STRICT  # how old a copy may be that no purge heard of concerns
        # What the origin gives out within that span after a purge may bear a time from before it.
        self.settling = 2 * terms.skew + ROUNDING
        # When the newest purge was told, and the newest of those told before the lease: what came while this
        # router had none may have been in effect long before.
        self.latest = self.caught_up = 0
        self.behind = 0  # by so much the desk's clock was seen to be behind this router's

    # ---- told

    def at(self, steady):
        """The steady clock, before each decision and answer: here a process that was paused learns it."""
        self.fence.now = max(self.fence.now, steady)
        if self.fence.now >= self.fence.until:
            self.fence.at(steady)
            self.age = self._age()

    def granted(self, since, span):
        before = self.fence.state
        self.fence.granted(since, span)
        if before != fence.CURRENT == self.fence.state:
            self.caught_up = self.latest
            self.age = self._age()

    def clock(self, asked, answered, desk):
        """The desk's time in an answer that came between two of this router's (Cristian, 1989)."""
        # Behind for sure, and by this at most; what is ahead makes no difference, see told().
        self.behind = answered - desk if asked - desk > self.terms.skew else 0

    def told(self, now, purge):
        """A desk that is ahead makes no purge later than its news; one that is behind, none too early."""
        made = min(now, purge.timestamp + self.behind) + self.terms.skew + ROUNDING
        self.latest = now
        self.index.add(purge.kind, purge.what, made, now)

    # ---- asked

    def state(self):
        return self.fence.state

    def left(self):
        """Of the lease, in tenths of a millisecond."""
        return self.fence.left()

    def shut(self):
        """Whether no copy may answer at all."""
        return self.fence.state != fence.CURRENT and self.terms.fenced == w.NACK

    def oldest(self, now, kind, name, group):
        """No copy from before that may be asked for; never 0."""
        newest, floor = self.index.row(kind, name, GROUPS[group], self.tags.known(name))[0], now - self.age
        return newest if newest > floor else floor

    def refused(self, now, began, kind, name, group, made, tags):
        """Whether a copy that came for a send of that time is one that must not answer.

        made, tags: as told with it, or None.
        """
        if made is None:
            made = 0  # it does not say: as old as can be
        if made < began - self.age - self.terms.skew:
            return True
        own, group = self.tags.known(name) if tags is None else tags, GROUPS[group]
        if made >= self.index.row(kind, name, group, own)[0]:
            return False
        told_by = max(began - self.settling, now - self.terms.grace, self.caught_up)
        return made < self.index.due(told_by, kind, name, group, own)

    def learn(self, name, made, tags):
        if tags is not None:
            self.tags.learn(name, made, tags)

    def _age(self):
        if self.fence.state == fence.CURRENT:
            return self.terms.hold
        return self.terms.lease if self.fence.state == fence.FENCED else STRICT
