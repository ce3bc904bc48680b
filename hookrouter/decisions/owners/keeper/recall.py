"""After a start: what this store has forgotten, and what its copies lack."""

from .. import words as w
from ..duties import Duties
from .states import OUTRANKED


class Recollection:
    def _begin(self, event):
        self._greet()
        self._recall()

    def _recall(self, event=None):
        """What the copies of records are to hold: by the snapshot, and by each entry agreed since."""
        duties = Duties(self.snapshot[4])
        self.unfiled.clear()
        if duties.orders:
            self.unfiled.append(self.snapshot[0])
        self.out.append(
            w.Caught(
                self.snapshot[0],
                tuple((name, order.newest, order.seal) for name, order in duties.orders.items()),
            )
        )
        for index in range(self.snapshot[0] + 1, self.applied + 1):
            entry = self.entries[index - self.base - 1]
            if entry.sort == w.COMMAND:
                duties.apply(index, *entry.body)
                self._file(index, duties.records)

    def _file(self, index, records):
        if records:
            self.unfiled.append(index)
            self.out.append(w.File(index, tuple(records)))

    def _filed(self, event):
        while self.unfiled and self.unfiled[0] <= event.index:
            self.unfiled.popleft()
        self._fold_due()

    def _greet(self):
        for name in self.others():
            self._send(name, w.Hello(self.written, self.life))

    def _hello(self, sender, hello):
        self.marks[sender] = max(hello.written, self.marks.get(sender, 0))
        self._send(sender, w.Known(self.marks[sender], hello.life))

    def _known(self, sender, known):
        if known.life != self.life or sender not in self.others():
            return
        if known.written > self.written and self.doubt is None:
            self._doubt("the store is older than what others know of it")
        self.known.add(sender)

    def _doubt(self, why):
        self.doubt, self.dirty = why, True
        self._told("keeper set itself aside", why=why)
        self._step(OUTRANKED)
