"""Mistakes seeded on purpose into the decisions on copies: a check that finds none of them is no check.

Each is (keeper class, copy class, a schedule of CopyWorld that shows it).
"""

from collections import deque

from hookrouter.decisions.owners import Keeper
from hookrouter.decisions.owners import words as w
from hookrouter.decisions.owners.duties import Duties, Record, chained_hash
from hookrouter.decisions.replicas import copy as c


def with_duties(made):
    """A keeper whose duties are of that class."""

    class Made(Keeper):
        def _load(self, stored):
            super()._load(stored)
            self.duties = made(self.snapshot[4])

        def _on_install(self, sender, install):
            super()._on_install(sender, install)
            if not isinstance(self.duties, made):
                self.duties = made(self.snapshot[4])

    return Made


class Unfenced(Duties):
    """An append of an old owner is taken."""

    def apply(self, index, key, command, fields):
        if command == "keep" and fields[0] in self.rows:
            fields = [fields[0], self.rows[fields[0]].number, *fields[2:]]
        return super().apply(index, key, command, fields)


class Unordered(Duties):
    """Where an append begins is not looked at."""

    def apply(self, index, key, command, fields):
        if command == "keep" and fields[0] in self.orders:
            fields = [*fields[:2], self.orders[fields[0]].newest + 1, fields[3]]
        return super().apply(index, key, command, fields)


class ForgetsKeys(Duties):
    """A command that is asked again has its effect again."""

    def apply(self, index, key, command, fields):
        self.keys.clear()
        if command == "keep" and fields[0] in self.orders:
            fields = [*fields[:2], self.orders[fields[0]].newest + 1, fields[3]]
        return super().apply(index, key, command, fields)


class SameEpoch(Duties):
    """A new owner begins under the epoch of the one before."""

    def apply(self, index, key, command, fields):
        before = self.orders[fields[0]].epoch if command == "open" and fields[0] in self.orders else 0
        result = super().apply(index, key, command, fields)
        if command == "open" and result[0] == "open" and before:
            self.orders[fields[0]].epoch = before
            self.records = [Record(fields[0], "open", (before,))]
            return ["open", before, result[2]]
        return result


class FoldsUnfiled(Keeper):
    """The log is folded though this keeper's copy has not taken all of it in, and says nothing of it."""

    def _fold_due(self):
        self.unfiled = deque()
        super()._fold_due()


class TellsEarly(Keeper):
    """An append counts for who asked before a majority has it."""

    def _ask(self, sender, ask):
        super()._ask(sender, ask)
        if self.state == "leading" and ask.command == "keep":
            self._send(sender, w.Answer(ask.key, ["kept", ask.fields[2] + len(ask.fields[3]) - 1]))


class NamesLeftOut(c.Copy):
    """What is fetched is whole without the names of members."""

    def _lacks(self, *args):
        super()._lacks(*args)
        self.named = True


class Trusting(c.Copy):
    """What is fetched is not held against what is agreed."""

    def _lacks(self, index, newest, seal):
        super()._lacks(index, newest, None)


class NoRecall(c.Copy):
    """What was queued for a store that failed is forgotten, and what comes next is taken as it comes."""

    def agreed(self, now, index, records):
        if self.state == c.BROKEN:
            for record in records:
                if record.command == "keep":
                    self.newest += len(record.fields[1])
                    for body in record.fields[1]:
                        self.seal = chained_hash(self.seal, body)
        return super().agreed(now, index, records)

    def opened(self, now, store):
        return super().opened(now, store._replace(newest=max(self.newest, store.newest)))


class FiledBeforeDisk(c.Copy):
    """The log may fold what is not on the copy's disk yet, and what fails there is not said."""

    def written(self, now, token, good, differs=False):
        return super().written(now, token, True)


MISTAKES = {
    "Unfenced": (with_duties(Unfenced), c.Copy, 32),
    "Unordered": (with_duties(Unordered), c.Copy, 12),
    "ForgetsKeys": (with_duties(ForgetsKeys), c.Copy, 4),
    "SameEpoch": (with_duties(SameEpoch), c.Copy, 1),
    "FoldsUnfiled": (FoldsUnfiled, c.Copy, None),
    "TellsEarly": (TellsEarly, c.Copy, 1),
    "NamesLeftOut": (Keeper, NamesLeftOut, 1),
    "Trusting": (Keeper, Trusting, 3),
    "NoRecall": (Keeper, NoRecall, 3),
    "FiledBeforeDisk": (Keeper, FiledBeforeDisk, 1),
}
