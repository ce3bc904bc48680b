"""What a follower does with entries and snapshots of its leader."""

from .. import words as w
from ..duties import Duties
from .states import BROKEN, FOLLOWING, OUTRANKED
from .weights import weight


class Following:
    def _leader_heard(self, sender, term):
        if term < self.term:
            self._durable(sender, w.Appended(self.term, False, 0, 0, self.aside(), self.written, self.life))
            return False
        if term > self.term:
            self._outranked(term)
        if self.state != FOLLOWING:
            self._step(OUTRANKED)
        self.leader, self.heard_at = sender, self.now
        self._wait()
        return True

    def _acked(self, sender, matched, last, round_):
        self.acked_at = self.now
        self._durable(
            sender,
            w.Appended(self.term, matched, last, round_, self.aside(), self.written + self.dirty, self.life),
        )

    def _on_append(self, sender, append):
        if self.state == BROKEN or not self._leader_heard(sender, append.term):
            return
        for name, mark in append.marks.items():
            self.marks[name] = max(mark, self.marks.get(name, 0))
        if append.life > self.life:  # this machine's wall clock went back
            self.life = append.life + 1
        if self.marks.get(self.name, 0) > self.written and self.doubt is None:
            self._doubt("the store is older than what the leader knows of it")
        before, entries = append.before, append.entries
        if before < self.base:  # what is agreed and folded away is the same
            entries = entries[self.base - before :] if before + len(entries) > self.base else []
            before = self.base
        elif self.term_at(before) != append.before_term:
            self._acked(sender, False, min(self.last(), before - 1), append.round)
            return
        after = before
        for n, entry in enumerate(entries):
            if self.term_at(before + n + 1) != entry.term:
                if before + n < self.commit:
                    self._doubt("an agreed entry differs from the leader's")
                    return
                self._append(entries[n:], before + n)
                after = before + len(entries)
                break
            after = before + n + 1
        if min(append.commit, after) > self.commit:
            self.commit = min(append.commit, after)
            self._apply()
        if (
            append.life == self.life
            and append.commit == self.commit
            and self.term_at(self.commit) == self.term
        ):
            self._taken_in()
        self._acked(sender, True, after, append.round)

    def _on_install(self, sender, install):
        if self.state == BROKEN or not self._leader_heard(sender, install.term):
            return
        if install.index > self.commit:
            self.snapshot = (
                install.index,
                install.index_term,
                tuple(install.voters),
                tuple(install.learners),
                install.state or None,
            )
            if self.term_at(install.index) != install.index_term or install.index > self.last():
                self.entries = []
            else:
                del self.entries[: install.index - self.base]
            self.base, self.base_term = install.index, install.index_term
            self.commit = self.applied = install.index
            self.unsaved, self.unsaved_snapshot, self.dirty = self.base + 1, True, True
            self.durable = self.base
            self.duties = Duties(self.snapshot[4])
            self.weight = sum(map(weight, self.entries))
            self._recall()
            self._find_keepers()
            self._told("snapshot taken in", index=install.index)
        self._acked(sender, True, max(install.index, min(self.commit, self.last())), install.round)
