"""Which copies may answer in one router: its live purges, its lease and the tags of objects, asked as one.

The rule: a copy that the origin gave out at m may answer at t only if each purge in effect that concerns it
was made before m, told clocks and their skew counted to the safe side. A router without a lease may not have
heard some: it takes only copies younger than the lease, and the desk states purges as in effect accordingly.
"""

from collections.abc import Collection, Iterator, Sequence

from . import fence, types
from .index import Index
from .names import Kept
from .retention.archive import SliceState
from .tags import Listed, Tags

ROUNDING = 20  # 2 ms: copies' times and ages are told in whole milliseconds, each rounded once
GROUPS = tuple(map(str, range(256)))
# Where the tags of an object are not known, a purge of any tag binds the age that is asked for, unless the
# answer will be judged by the tags that it names. One that is refused then costs a send more: each costs so
# many answers that named their tags and were good, and so many may be saved up.
TRIAL_COST = 32
MOST_TRIALS = 8
STRICT = 1  # the age asked for where only what the origin gives out anew will do; 0 would mean any


class Guard:
    """One for a router. Told purges, grants and the steady time; asked at each send and at each answer."""

    def __init__(
        self, terms: types.PurgeTerms, tags: Tags | Listed | None = None, judged: Collection[str] = ()
    ) -> None:
        """tags: of objects, where they do not come from answers. judged: kinds of lookup each of whose
        answers is asked about (refused) before it is passed on.
        """
        self.judged, self.trials = judged, 0
        self.terms = terms
        self.index, self.fence = Index(terms), fence.Fence(terms.lease)
        self.tags = Tags(terms.most_tagged) if tags is None else tags
        self.age = STRICT  # how old a copy may be that no purge heard of concerns
        # What the origin gives out within that span after a purge may bear a time from before it.
        self.settling = 2 * terms.skew + ROUNDING
        # When the newest purge was told, and the newest of those told before the lease: what came while this
        # router had none may have been in effect long before.
        self.latest = self.caught_up = 0
        # When the last purge was told that came without a lease: it binds at once, as soon as there is one.
        self.unleased = 0
        self.behind = 0  # by so much the desk's clock was seen to be behind this router's

    # ---- told

    def at(self, steady: int) -> None:
        """The steady clock, before each decision and answer: here a process that was paused learns it."""
        self.fence.now = max(self.fence.now, steady)
        if self.fence.now >= self.fence.until:
            self.fence.at(steady)
            self.age = self._age()

    def granted(self, since: int, span: int) -> None:
        """The renewal written at since was granted for span from then on; 0: denied."""
        before = self.fence.state
        self.fence.granted(since, span)
        if before != fence.CURRENT == self.fence.state:
            self.caught_up = self.latest
            self.age = self._age()

    def clock(self, asked: int, answered: int, desk: int) -> None:
        """The desk's time in an answer that came between two of this router's (Cristian, 1989)."""
        # Behind for sure, and by this at most; what is ahead makes no difference, see told().
        self.behind = answered - desk if asked - desk > self.terms.skew else 0

    def told(self, now: int, purge: types.Purge) -> Kept:
        """How the purge is kept: by what it costs names that it does not concern."""
        made = self._on_news(now, purge.timestamp)
        binding = max(now - self.terms.grace, self.unleased)
        return self.index.add(purge.kind, purge.what, made, now, binding)

    def told_of_every_name(self, now: int, purge: types.Purge) -> None:
        """A purge counts against every name: whatever it names cannot be used here."""
        self.index.raise_all(self._on_news(now, purge.timestamp), now)

    def adopt(self, now: int, other: SliceState) -> Iterator[None]:
        """Takes over a slice of the order, a bounded step at a time; it binds whole at the end."""
        return self.index.adopt(other, self._on_news(now, other.bound), now)

    # ---- asked

    def state(self) -> str:
        """Of the fence."""
        return self.fence.state

    def left(self) -> int:
        """Of the lease, in tenths of a millisecond."""
        return self.fence.left()

    def shut(self) -> bool:
        """Whether no copy may answer at all."""
        return self.fence.state != fence.CURRENT and self.terms.fenced == types.NACK

    def oldest(self, now: int, kind: str, name: str, group: int, first_send: bool = False) -> int:
        """No copy from before that may be asked for; never 0.

        first_send: of a lookup, not of the router's own copy: what comes can be refused and sent for again.
        """
        tags = self.tags.known(name)
        if tags is None and first_send and self.trials >= TRIAL_COST and kind in self.judged:
            tags = ()  # those that the answer names will be asked about
        newest, floor = self.index.newest(kind, name, GROUPS[group], tags), now - self.age
        return newest if newest > floor else floor

    def refused(
        self,
        now: int,
        began: int,
        kind: str,
        name: str,
        group: int,
        made: int | None,
        tags: Sequence[str] | None,
    ) -> bool:
        """Whether a copy that came for a send of that time is one that must not answer.

        made, tags: as told with it, or None.
        """
        if made is None:
            made = 0  # it does not say: as old as can be
        if made < began - self.age - self.terms.skew:
            return True
        own, group_name = self.tags.known(name) if tags is None else tags, GROUPS[group]
        if made >= self.index.newest(kind, name, group_name, own):
            return False
        told_by = max(began - self.settling, now - self.terms.grace, self.caught_up)
        return made < self.index.due(told_by, kind, name, group_name, own)

    def judge(
        self,
        now: int,
        began: int,
        kind: str,
        name: str,
        group: int,
        made: int | None,
        tags: Sequence[str] | None,
    ) -> bool:
        """As refused; the tags of a copy that may answer are learnt.

        Those of a refused one are not: they may have changed since. Any tag binds the lookup's next send.
        """
        refused = self.refused(now, began, kind, name, group, made, tags)
        if refused:
            self.trials = max(0, self.trials - TRIAL_COST)
        elif tags is not None:
            self.trials = min(self.trials + 1, MOST_TRIALS * TRIAL_COST)
            self.learn(name, made or 0, tags)
        return refused

    def learn(self, name: str, made: int, tags: Sequence[str] | None) -> None:
        """The tags that an answer names; None: it names none that can be used."""
        if tags is not None:
            self.tags.learn(name, made, tags)

    def _on_news(self, now: int, timestamp: int) -> int:
        """A purge of that time of the desk was told: no copy from before the returned time may answer.

        A desk that is ahead makes no purge later than its news; one that is behind, none too early.
        """
        self.latest = now
        if self.fence.state != fence.CURRENT:
            self.unleased = now
        return min(now, timestamp + self.behind) + self.terms.skew + ROUNDING

    def _age(self) -> int:
        if self.fence.state == fence.CURRENT:
            return self.terms.hold
        return self.terms.lease if self.fence.state == fence.FENCED else STRICT
