"""The duty warm/CACHE as its owner works it: a table of state, input -> next state, effect.

What is done is told by steps. A successor that has the former owner's course (kept by those who lent)
leaves out the steps that are done, so at most one step's names come twice. That course is only ever a ground
to leave out: a false one warms less, and fills nothing that is not wanted.
"""

from collections import Counter
from typing import NamedTuple

from . import plan as planning
from . import words as w

NOTED, BORROWING, PLANNED, WARMING, HELD_BACK, DONE, GIVEN_UP = (
    "noted",
    "borrowing",
    "planned",
    "warming",
    "held back",
    "done",
    "given up",
)
OWNED, CAME, ENOUGH, KEPT, EMPTY, ROOM, ENDED, STRAINED, CALM, OVER, VOID = (
    "owned",
    "came",
    "enough",
    "kept",
    "empty",
    "room",
    "ended",
    "strained",
    "calm",
    "over",
    "void",
)

BORROW_FOR = 5_000  # 0.5 s: who has not lent by then is not waited for
FAILED_IN_A_ROW = 8  # fills: it has fallen, or what feeds it has
HELD_FOR = 300_000  # 30 s: what suffers that long will not be helped by waiting, and lookups have warmed it
MOST_LENDERS = 5  # asked at once: their time is theirs


class Terms(NamedTuple):
    """scene(): the location now; purged: what this router was told; may(entry, out): the source of a fill
    that may go now (None: the origin), or False. out: {name: Entry} of the fills that are out.
    """

    cache: str
    scene: object
    purged: object
    may: object
    step: int = planning.STEP
    lenders: int = MOST_LENDERS
    borrow_for: int = BORROW_FOR
    most: int = planning.MOST_NAMES


class Warming:
    """take(now, event) hands back the effects; none but under its number, and none after its end."""

    def __init__(self, terms, borrowed):
        self.terms, self.borrowed, self.state = terms, borrowed, NOTED
        self.number = self.done = 0
        self.asked, self.courses, self.until, self.lent_by = set(), [], 0, ()
        self.steps, self.at, self.place = [], 0, 0  # the step that is worked, the next name in it
        self.out, self.struck, self.counts = {}, set(), Counter()
        self.now, self.effects, self.cause = 0, [], ""
        self.checked, self.failed, self.held_since = (0, 0), 0, 0
        self.told = 0  # steps that the keepers have as done

    def take(self, now, event):
        self.now, self.effects = now, []
        self.events[type(event)](self, event)
        return self.effects

    # ---- events, as inputs of the table

    def _owned(self, event):
        self.number, self.done = event.number, event.done
        self.lent_by = event.lenders[: self.terms.lenders]
        self._step(OWNED)

    def _listed(self, event):
        if event.lender not in self.asked:
            return
        self.asked.discard(event.lender)
        if event.lent is not None:
            self.borrowed.take(event.lender, event.lent)
        if event.course is not None and event.course.cache == self.terms.cache:
            self.courses.append(event.course)
        self._step(CAME)

    def _reported(self, event):
        self.told = max(self.told, event.step)
        self._step(ROOM)

    def _lodged(self, event):
        if event.lender in self.lent_by:
            self._step(KEPT)

    def _ticked(self, event):
        if self.state == BORROWING and self.now >= self.until:
            self.asked.clear()
        if self.state == HELD_BACK and self.now >= self.held_since + HELD_FOR:
            self.cause = w.TIRED
            self._step(VOID)
        self._step(ROOM)

    def _strained(self, event):
        self._step(STRAINED if event.yes else CALM)

    def _void(self, event):
        self.cause = event.cause
        self._step(VOID)

    def _ended(self, event):
        if self.out.pop(event.name, None) is None:
            return  # doubled, or of another time
        self.counts[event.end] += 1
        self.failed = self.failed + 1 if event.end == w.FAILED else 0
        if event.end == w.OLD_NUMBER or self.failed >= FAILED_IN_A_ROW:
            self.cause = w.OLD_NUMBER if event.end == w.OLD_NUMBER else w.FELL
            self._step(VOID)
        else:
            self._step(ENDED)

    # ---- the table's loop and effects; an effect may hand back a further input

    def _step(self, word):
        while word is not None:
            row = self.table.get((self.state, word))
            if row is None:
                return
            self.state, effect = row
            word = effect(self)

    def _borrow(self):
        self.asked, self.until = set(self.lent_by), self.now + self.terms.borrow_for
        self.effects += [w.Borrow(lender) for lender in self.lent_by]
        return self._came()

    def _came(self):
        return None if self.asked else ENOUGH

    def _plan(self):
        """Behind the steps that are done, as those say who kept the former owner's course."""
        former = self._former()
        self.done = min(self.done, w.MOST_STEPS)
        head = [list(step) for step in former[: self.done]]
        head += [[] for _ in range(self.done - len(head))]
        already = frozenset(name for step in head for name in step)
        purged = self.terms.purged
        entries = planning.make(self.terms.scene(), self.borrowed, purged, already, self.terms.most)
        self.steps = planning.in_steps(entries, self.terms.step)[: w.MOST_STEPS - self.done]
        self.at, self.place, self.checked, self.told = 0, 0, purged.newest, self.done
        if not self.steps:
            return EMPTY
        course = w.Course(
            self.terms.cache, self.number, head + [[entry.name for entry in step] for step in self.steps]
        )
        self.effects.append(w.Lodge(course, self.lent_by))
        self.until = self.now + self.terms.borrow_for
        return None if self.lent_by else KEPT

    def _wait_kept(self):
        """No fill before someone else keeps the course; where nobody answers, the cache's own word that it
        holds a name already is what is left against repeats.
        """
        return KEPT if self.now >= self.until else None

    def _former(self):
        """The steps of the newest owner's course before this; where two differ, of what more lenders keep."""
        courses = [course for course in self.courses if course.number < self.number]
        if not courses:
            return []
        votes = Counter((course.number, repr(course.steps)) for course in courses)
        number, told = max(votes, key=lambda key: (key[0], votes[key], key[1]))
        return next(c.steps for c in courses if c.number == number and repr(c.steps) == told)

    def _fill(self):
        """What may go now of the step that is worked. The next begins when all of this have ended, and the
        keepers know: else a successor would repeat more than one.
        """
        if self.told < self.done:
            return None
        if not self._strike():
            self.cause = w.PURGED_ALL
            return VOID
        step = self.steps[self.at]
        while self.place < len(step):
            entry = step[self.place]
            if entry.name in self.struck:
                self.counts["purged"] += 1
            else:
                source = self.terms.may(entry, self.out)
                if source is False:
                    break  # no room now, at the target or at its source
                self.out[entry.name] = entry
                self.effects.append(w.Fill(entry.name, entry.group, entry.size, source, self.number))
            self.place += 1
        return self._look()

    def _strike(self):
        """What was purged since the last look is not filled; False where that is not known any more."""
        purged, since = self.terms.purged, self.checked
        if purged.newest == since:
            return True
        self.checked = purged.newest
        left = [entry for step in self.steps[self.at :] for entry in step]
        self.struck |= purged.struck(left, since)
        return purged.since(since) is not None

    def _look(self):
        if self.out or self.place < len(self.steps[self.at]):
            return None
        self.done += 1
        self.effects.append(w.Report(self.number, self.done))
        self.at, self.place = self.at + 1, 0
        return OVER if self.at == len(self.steps) else None

    def _hold(self):
        self.held_since = self.now

    def _finish(self):
        self.effects.append(w.Closed(DONE, ""))

    def _give_up(self):
        self.out.clear()
        self.effects.append(w.Closed(GIVEN_UP, self.cause))

    def _more(self):
        return ROOM

    def _nothing(self):
        return None


# state, input -> next state, effect; what is not named changes nothing
TABLE = {
    (NOTED, OWNED): (BORROWING, Warming._borrow),
    (BORROWING, CAME): (BORROWING, Warming._came),
    (BORROWING, ROOM): (BORROWING, Warming._came),
    (BORROWING, ENOUGH): (PLANNED, Warming._plan),
    (PLANNED, EMPTY): (DONE, Warming._finish),
    (PLANNED, KEPT): (WARMING, Warming._fill),
    (PLANNED, ROOM): (PLANNED, Warming._wait_kept),
    (WARMING, ROOM): (WARMING, Warming._fill),
    (WARMING, ENDED): (WARMING, Warming._more),
    (WARMING, STRAINED): (HELD_BACK, Warming._hold),
    (WARMING, VOID): (GIVEN_UP, Warming._give_up),
    (WARMING, OVER): (DONE, Warming._finish),
    (HELD_BACK, ENDED): (HELD_BACK, Warming._nothing),
    (HELD_BACK, CALM): (WARMING, Warming._fill),
    (NOTED, VOID): (GIVEN_UP, Warming._give_up),
    (BORROWING, VOID): (GIVEN_UP, Warming._give_up),
    (PLANNED, VOID): (GIVEN_UP, Warming._give_up),
    (HELD_BACK, VOID): (GIVEN_UP, Warming._give_up),
}

EVENTS = {
    w.Owned: Warming._owned,
    w.Listed: Warming._listed,
    w.Lodged: Warming._lodged,
    w.Tick: Warming._ticked,
    w.Ended: Warming._ended,
    w.Reported: Warming._reported,
    w.Strained: Warming._strained,
    w.Over: Warming._void,
}
Warming.table, Warming.events = TABLE, EVENTS
