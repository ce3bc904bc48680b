"""A sample of lookups by names never purged: which of them a guard holds all the same."""

from typing import NamedTuple

from hookrouter.purges import Guard
from hookrouter.purges import types as w

from .copies import Lookup, Lookups
from .stock import GLOB_DIGITS, KIND, PREFIX_DIGITS, Named, group_of, tags_of


def answers(guard: Guard, now: int, one: Lookup) -> bool:
    """Whether the copy answers: it may be asked for by a first send, and its answer is not refused.

    Where it may not, the router hears the answer of the fill, with the object's tags.
    """
    made = now - one.age
    if guard.oldest(now, KIND, one.name, one.group, first_send=True) <= made:
        if not guard.judge(now, now, KIND, one.name, one.group, made, one.tags):
            return True
    guard.judge(now, now, KIND, one.name, one.group, now, one.tags)
    return False


def may_answer(guard: Guard, now: int, name: str, made: int) -> bool:
    """Whether an old copy may be asked for where nothing judges it, or an answer from it is not refused."""
    group = group_of(name)
    if guard.oldest(now, KIND, name, group) <= made:
        return True
    return not guard.refused(now, now, KIND, name, group, made, tags_of(name))


class Held(NamedTuple):
    """Lookups by names never purged, and how many of them a bound held."""

    asked: int
    held: int

    def share(self) -> float:
        """Of the lookups, those held."""
        return self.held / self.asked if self.asked else 0.0


class Sample:
    """Lookups drawn beforehand, of which those are struck off that some purge concerns."""

    def __init__(self, lookups: list[Lookup]) -> None:
        """None is purged yet."""
        self.lookups = lookups
        self._names = {one.name for one in lookups}
        self._tags = {tag for one in lookups for tag in one.tags}
        self._beginnings = {one.name[:PREFIX_DIGITS] for one in lookups}
        self._purged: set[str] = set()

    def told(self, purge: Named) -> None:
        """One purge more; only what may concern a name of the sample is kept."""
        if purge.kind == w.OBJECT:
            known = purge.what in self._names
        elif purge.kind == w.TAG:
            known = purge.what in self._tags
        else:
            known = purge.example[:PREFIX_DIGITS] in self._beginnings
        if known:
            self._purged.add(purge.what)

    def never_purged(self) -> list[Lookup]:
        """Lookups by names that no purge told concerns."""
        return [one for one in self.lookups if not self._concerned(one)]

    def held(self, guard: Guard, now: int) -> Held:
        """How many lookups by names never purged find a copy, as old as if nothing were, that may not answer.

        Copies of purged names are left out: the lookup that asked first after the purge filled them anew.
        """
        rows = self.never_purged()
        return Held(len(rows), sum(not answers(guard, now, one) for one in rows))

    def _concerned(self, one: Lookup) -> bool:
        start = f"{KIND}/{one.name[:PREFIX_DIGITS]}"
        whats = (one.name, start, f"{start}*{one.name[-GLOB_DIGITS:]}", *one.tags)
        return any(what in self._purged for what in whats)


def learn(guard: Guard, now: int, lookups: Lookups, count: int) -> None:
    """The guard hears the tags of so many answers."""
    for one in lookups.sample(count):
        guard.learn(one.name, now - one.age, one.tags)
