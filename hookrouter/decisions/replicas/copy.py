"""One keeper's copy of a duty's records: taken in as the log agrees on them, fetched where it lacks some.

The log says what the records are and, by a seal over each and all before it, what a copy must come to. A copy
is whole, or it lacks records whose entries were folded away, or its store cannot be written. What is fetched
from another keeper counts only once it has come to the seal that the log has agreed on; a copy that differs
is put away under another name and filled anew (Alagappan and others, "Protocol-Aware Recovery", 2018: what
is damaged is told from what was never written, and fetched).

No I/O: events and a time in, effects out; one write is on its way at a time.
"""

from collections import deque
from typing import NamedTuple

from ..owners.duties import ADOPT, KEEP, NAMES, OPEN, chained_hash
from ..owners.words import Fetch

AWAITING, WHOLE, LACKING, BROKEN = "awaiting", "whole", "lacking", "broken"
TOLD, BEHIND, REACHED = "told", "behind", "reached"
DIFFERS, FAILED, OPENED = "differs", "failed", "opened"
# Steps beside those of the log: begin behind a floor; hold a seal, or records, against what is there.
RESET, VERIFY, COMPARE = "reset", "verify", "compare"

FETCH_WITHIN = 10_000  # 1 s for an answer of another keeper: a part is read and sent in some tens of ms
FETCH_AGAIN = 2_000  # 200 ms before one that could not help is followed by the next
MOST_STEPS = 256  # in one write
MOST_BYTES = 1_000_000  # of records in one write: some tens of milliseconds of a disk


class Store(NamedTuple):
    """What the store held when it was opened."""

    newest: int
    seal: bytes
    floor: int
    index: int  # the entry up to which it had taken in all


class Write(NamedTuple):
    """One transaction, in order. Steps: (command, *fields) as the log has them, or RESET, VERIFY, COMPARE."""

    token: int
    steps: tuple
    index: int | None  # the entry up to which all is taken in by it


class Ask(NamedTuple):
    to: str
    message: Fetch


class Filed(NamedTuple):
    index: int


class Told(NamedTuple):
    what: str
    values: tuple


class Copy:
    def __init__(self, duty, others, store):
        """others: names of the keepers to fetch from; store: a Store."""
        self.duty, self.others = duty, tuple(others)
        self.state, self.out, self.now = AWAITING, [], 0
        self.queue = deque()  # (index of the entry, step) that the store was not given yet
        self.token = self.turn = self.at = 0
        self.last = 0  # entry of the last step that was queued
        self.writing = None  # (token, filed index by it or None)
        self.target, self.target_index, self.named = None, 0, True  # (n, seal) to come to; its entry
        self.due = None  # when the next keeper is asked
        self.asked = False
        self._opened(store)

    def _opened(self, store):
        self.newest, self.seal, self.floor, self.filed = store  # with what the store was given since

    # ---- told

    def agreed(self, now, index, records):
        """Of an entry of the log; after a start some come again."""
        self._begin(now)
        if self.state in (AWAITING, BROKEN):
            return self.out  # told again behind what it is to begin with
        for record in records:
            if record.duty == self.duty:
                self.queue.append((index, (record.command, *record.fields)))
        self.last = max(self.last, index)
        return self._go()

    def caught(self, now, index, newest, seal):
        """What the copy must hold by that entry; those behind it come next, again or for the first time."""
        self._begin(now)
        if self.state == BROKEN:
            return self.out
        self._step(TOLD)
        self.queue.clear()
        self.last = index
        if self.newest >= newest:
            self.queue.appendleft((index, (VERIFY, newest, seal)))
            newest, seal = self.newest, self.seal
        if self.newest < newest or self.filed < index:  # it may lack names only
            self._lacks(index, newest, seal)
        return self._go()

    def _lacks(self, index, newest, seal):
        self.target, self.target_index, self.named = (newest, seal), index, False
        self._step(BEHIND)

    def fetched(self, now, sender, told):
        """Another keeper's part."""
        self._begin(now)
        if self.state != LACKING or not self.asked or told.turn != self.turn or self.writing is not None:
            return self._go()
        self.asked, self.due = False, now + FETCH_AGAIN
        if not told.agrees:
            # One of the two is not as the log agreed: the seal at the target says which, from the start on.
            self._differs(f"the copy of {sender} differs at {self.newest}")
            return self._go()
        if told.start > self.target[0]:  # folded away there since: a later seal is wanted
            self._advance(told.start)
            return self._go()
        steps, newest, seal = [], self.newest, self.seal
        if told.start > newest:  # folded away there, in agreement: the rest stands on its seal
            steps.append((RESET, told.start, told.start_seal))
            newest, seal = told.start, told.start_seal
        elif told.start != newest:
            return self._go()
        bodies = told.bodies[: max(0, self.target[0] - newest)]
        if bodies:
            steps.append((KEEP, newest + 1, tuple(bodies)))
            for body in bodies:
                seal = chained_hash(seal, body)
            newest += len(bodies)
        if newest == self.target[0] and self.target[1] not in (None, seal):
            self._differs(f"what {sender} sent does not come to what is agreed")
            return self._go()
        if told.names is not None and told.index >= self.target_index:
            steps.append((NAMES, tuple(told.names), ()))
            self.named = True
        if steps:
            self.newest, self.seal, self.due = newest, seal, now
            self.floor = max(self.floor, steps[0][1] if steps[0][0] == RESET else 0)
            self._write(tuple(steps), None)
        return self._go()

    def _advance(self, start):
        """What is queued says what the copy must come to behind a floor that lies beyond the target."""
        newest, seal = self.target
        while self.queue and newest < start and seal is not None:
            index, step = self.queue.popleft()
            if step[0] == KEEP and step[1] == newest + 1:
                for body in step[2]:
                    seal = chained_hash(seal, body)
                newest += len(step[2])
            self.target, self.target_index, self.named = (newest, seal), index, False

    def written(self, now, token, good, differs=False):
        """good: on disk, all of it. differs: the store holds something else than what was to be verified."""
        self._begin(now)
        if self.writing is None or token != self.writing[0]:
            return self._go()
        index, self.writing = self.writing[1], None
        if differs:
            self._differs("the store differs from what is agreed")
        elif not good:
            self._step(FAILED)
        elif index is not None:
            self.filed = max(self.filed, index)
            self.out.append(Filed(index))
        return self._go()

    def opened(self, now, store):
        """After a failure: what the store holds now."""
        self._begin(now)
        self._opened(store)
        self._step(OPENED)
        return self._go()

    def tick(self, now):
        self._begin(now)
        return self._go()

    def alarm(self):
        """When tick is next of use, or None."""
        return self.due if self.state == LACKING and self.writing is None else None

    def whole(self):
        """Whether all that is agreed, as far as this keeper knows, is in the copy on disk."""
        return self.state == WHOLE and not self.queue and self.writing is None

    # ---- the table, and the loop that reads it

    def _begin(self, now):
        self.now, self.out = now, []

    def _step(self, word):
        row = TABLE.get((self.state, word))
        if row is not None:
            self.state, effect = row
            effect(self)

    def _go(self):
        if self.state == LACKING and self.writing is None:
            if self.newest >= self.target[0] and self.named:
                self._step(REACHED)
            elif self.due is None or self.now >= self.due:
                self._ask()
        if self.state == WHOLE and self.writing is None and self.queue:
            self._next()
        return self.out

    def _tell(self, what, **values):
        self.out.append(Told(what, tuple(values.items())))

    def _ask(self):
        if not self.others:
            return
        self.at, self.turn = (self.at + 1) % len(self.others), self.turn + 1
        self.asked, self.due = True, self.now + FETCH_WITHIN
        self.out.append(
            Ask(
                self.others[self.at],
                Fetch(self.duty, self.newest, self.seal, self.turn, self.newest >= self.target[0]),
            )
        )

    def _write(self, steps, index):
        self.token += 1
        self.writing = self.token, index
        self.out.append(Write(self.token, steps, index))

    def _next(self):
        """What the log has agreed on, as much as one write takes; what is there already is compared."""
        steps, size, index = [], 0, None
        while self.queue and len(steps) < MOST_STEPS and size < MOST_BYTES:
            entry, step = self.queue[0]
            if step[0] == KEEP:
                _, first, bodies = step
                if first > self.newest + 1:
                    if steps:
                        break
                    self._lacks(entry - 1, first - 1, None)
                    self._go()
                    return
                held = bodies[: self.newest + 1 - first]
                if held:
                    steps.append((COMPARE, first, held))
                new = bodies[len(held) :]
                if new:
                    steps.append((KEEP, self.newest + 1, new))
                    for body in new:
                        self.seal = chained_hash(self.seal, body)
                    self.newest += len(new)
                size += sum(map(len, bodies))
            elif step[0] == ADOPT:
                if steps:
                    break
                if not self._adopts(entry, *step[1:]):
                    return
                steps.append((OPEN, step[1]))
            else:
                steps.append(step)
            self.queue.popleft()
            index = entry
        if not self.queue:
            index = self.last  # entries without a record of this duty, too
        elif self.queue[0][0] == index:
            index -= 1  # the rest of that entry is still to come
        self._write(tuple(steps), index)

    def _adopts(self, entry, epoch, newest, seal):
        """Whether this copy is the one that was taken over; else it fetches it, or is put away first."""
        if (self.newest, self.seal) == (newest, seal):
            return True
        if self.newest:
            self._differs("another order than the one that was taken over")
        else:
            self.queue.popleft()
            self._lacks(entry, newest, seal)
            self._go()
        return False

    def _differs(self, why):
        self._tell("copy differs, put away and filled anew", why=why, duty=self.duty)
        self._step(DIFFERS)

    def _anew(self):
        """The store is put away under another name; a new one is opened by the host, then told opened()."""
        self.out.append(PUT_AWAY)
        self.writing = None

    def _behind(self):
        self._tell(
            "copy lacks records, they are fetched", duty=self.duty, has=self.newest, wants=self.target[0]
        )
        self.due, self.asked = self.now, False

    def _reached(self):
        self._tell("copy is whole again", duty=self.duty, newest=self.newest)
        index, self.target, self.due = self.target_index, None, None
        self.filed = max(self.filed, index)
        self.out.append(Filed(index))

    def _failed(self):
        self._tell("copy cannot be written", duty=self.duty)
        self.out.append(REOPEN)

    def _again(self):
        """The host has the core tell all anew."""
        self.queue.clear()
        self.target = self.due = None

    def _nothing(self):
        pass


class PutAway(NamedTuple):
    """The store is not as agreed: keep its file under another name, open an empty one."""


class Reopen(NamedTuple):
    """The store could not be written: open it again until it can be."""


PUT_AWAY, REOPEN = PutAway(), Reopen()

# state, input -> next state, effect
TABLE = {
    (AWAITING, TOLD): (WHOLE, Copy._nothing),
    (LACKING, TOLD): (WHOLE, Copy._nothing),  # what it lacked is told anew
    (WHOLE, BEHIND): (LACKING, Copy._behind),
    (LACKING, BEHIND): (LACKING, Copy._behind),
    (LACKING, REACHED): (WHOLE, Copy._reached),
    (WHOLE, DIFFERS): (BROKEN, Copy._anew),
    (LACKING, DIFFERS): (BROKEN, Copy._anew),
    (WHOLE, FAILED): (BROKEN, Copy._failed),
    (LACKING, FAILED): (BROKEN, Copy._failed),
    (BROKEN, OPENED): (AWAITING, Copy._again),
}
