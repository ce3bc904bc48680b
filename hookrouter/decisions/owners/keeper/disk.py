"""What must be on disk before it goes out, and what follows where the disk fails."""

from .. import words as w
from .leading import SOON
from .states import (
    BROKE,
    BROKEN,
    LEADING,
    MENDED,
)


class Disk:
    def _durable(self, to, message):
        """Goes out once all that it rests on is on disk."""
        effect = w.Send(to, message)
        if self.dirty:
            self.held.append(effect)
        elif self.inflight is not None:
            self.inflight_held.append(effect)
        else:
            self._release([effect])

    def _release(self, effects):
        for effect in effects:
            if effect.to == self.name:
                self._heard(w.Heard(self.name, effect.message))
            else:
                self.out.append(effect)

    def _flush(self):
        if not self.dirty or self.inflight is not None or self.state == BROKEN:
            return
        self.token += 1
        self.written += 1
        cut = min(self.unsaved, self.last() + 1) - 1
        self.out.append(
            w.Persist(
                self.token,
                self.term,
                self.voted,
                self.written,
                self.abstain,
                self.doubt,
                tuple(self.marks.items()),
                cut,
                tuple(self.entries[cut - self.base :]),
                self.snapshot if self.unsaved_snapshot else None,
                self.base,
                self.base_term,
            )
        )
        self.inflight, self.inflight_since, self.batch_last = self.token, self.now, self.last()
        self.inflight_held, self.held = self.held, []
        self.dirty, self.unsaved, self.unsaved_snapshot = False, self.last() + 1, False

    def _wrote(self, wrote):
        if wrote.token != self.inflight:
            return
        if not wrote.good:
            self._step(BROKE)
            return
        held, self.inflight, self.inflight_held = self.inflight_held, None, []
        self.durable = self.batch_last
        self._release(held)
        if self.state == LEADING:
            self.told.append((self.round + 1, self.durable))
            self.beat_at = min(self.beat_at, self.now + SOON)
            self._agree()

    def _break(self):
        """Nothing that the failed batch covered is believed, and nothing that waited for it goes out."""
        self._told("keeper cannot write, it takes no part until it can", term=self.term)
        self.inflight, self.inflight_held, self.held, self.dirty = None, [], [], False
        self._hasten_best()
        self._step_back()

    def _reopened(self, event):
        if self.state == BROKEN:
            self.stored = event.stored
            self._step(MENDED)

    def _mend(self):
        self._load(self.stored)
        self.stored = None
        self._greet()
        self._recall()
        self._told("keeper writes again", term=self.term, last=self.last())
