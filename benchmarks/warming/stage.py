"""One warming on a small stage: two owners, two lenders, a cache with a fence, purges, drains, lost words.

Whatever is sent may arrive in any order, late, twice or never. Each step is a method; the schedules draw
them, the bounded model tries them all. What is checked stands in plain lines beside the program's tables.
"""

from collections import Counter
from typing import NamedTuple

from hookrouter.decisions.owners.fence import Fence
from hookrouter.decisions.warming import (
    BorrowedLists,
    FillGate,
    Lender,
    LocationState,
    RecentPurges,
    Sketch,
    Warming,
    messages,
    steps,
)
from hookrouter.decisions.warming.planning import Kind
from hookrouter.purges.types import OBJECT, Purge

DUTY, TARGET, NEIGHBOURS, PARENT = "warm/n", "n", ("a", "b"), "p"
KINDS = {"page": Kind(True, 2, 0, 1.0)}
OVER = (steps.DONE, steps.GIVEN_UP)


class Parts(NamedTuple):
    """What the stage is built of; a seeded mistake takes the place of one."""

    warming: type = Warming
    purged: type = RecentPurges
    borrowed: type = BorrowedLists
    doors: type = FillGate
    fence: type = Fence
    dated: object = None  # how a warmed copy is dated where not by its source


class Owner:
    def __init__(self, parts, name):
        self.parts, self.name = parts, name
        self.purged, self.doors = parts.purged(), parts.doors(TARGET, None, 2, 2)
        self.warming, self.number, self.paused, self.struck, self.floor = None, 0, False, set(), 0
        self.drained = set()


class Stage:
    def __init__(self, parts, names=3, step=2, limits=None, at_once=()):
        """at_once: sorts of messages that arrive as they are sent, to bound a search."""
        self.parts, self.step, self.at_once = parts, step, at_once
        self.names = [("page", f"o{k}", 0) for k in range(names)]
        self.owners = {name: Owner(parts, name) for name in ("x", "y")}
        self.lenders, self.lender_purged = {}, {}
        for name in ("k", "l"):
            sketch = Sketch(64)
            for k, one in enumerate(self.names):
                for _ in range(2 * (names - k) + 1):
                    sketch.record(one, 1_000)
            self.lender_purged[name] = parts.purged()
            self.lenders[name] = Lender(sketch, None)
        self.number = self.done = self.changes = 0
        self.holder, self.fence, self.highest = None, parts.fence(), 0
        self.copies, self.true, self.order = {}, {}, []
        self.drained, self.fallen = set(), False
        self.net, self.tries, self.read, self.failed = [], Counter(), Counter(), set()
        self.now, self.wrong, self.late_refused = 0, None, 0
        self.left = dict(
            grants=2, pauses=1, kills=1, purges=1, drains=1, lost=1, doubled=1, fails=1, falls=0, strains=0
        ) | (limits or {})
        for name in self.owners:
            self.look(name)

    # ---- owners

    def scene(self, owner):
        warm = frozenset(one for one in NEIGHBOURS if one not in owner.drained)
        return LocationState(TARGET, NEIGHBOURS, (*NEIGHBOURS, TARGET), warm, (PARENT,), KINDS)

    def look(self, name):
        """What the owner knows of the list of caches, told to its doors."""
        owner = self.owners[name]
        warm = frozenset(one for one in NEIGHBOURS if one not in owner.drained)
        owner.doors.update(self.now, TARGET not in owner.drained, warm, (PARENT,))

    def grant(self, name):
        """The keepers give the duty, under a new number, with the steps that are known to be done."""
        self.left["grants"] -= 1
        self.number += 1
        self.changes += self.holder is not None
        self.holder = name
        owner = self.owners[name]
        owner.number, owner.struck, owner.floor = self.number, set(), 1 << 60
        terms = steps.Terms(TARGET, Scened(self, name), owner.purged, owner.doors.source_for, self.step)
        owner.warming = self.parts.warming(terms, self.parts.borrowed())
        self.take(name, messages.Owned(self.number, self.done, tuple(self.lenders)))

    def take(self, name, event):
        owner = self.owners[name]
        if owner.warming is None or owner.paused:
            return
        owner.doors.set_time(self.now)
        for effect in owner.warming.handle(self.now, event):
            getattr(self, "_" + type(effect).__name__.lower())(owner, effect)

    def _borrow(self, owner, effect):
        self.send(("lend", owner.name, effect.lender, owner.number))

    def _store(self, owner, effect):
        for lender in effect.lenders:
            self.send(("lodge", owner.name, lender, effect.plan))

    def _fill(self, owner, effect):
        name = effect.name
        if name in owner.struck:
            self.wrong = f"{owner.name} fills {name[1]}, of whose purge it was told after the list"
        if effect.source in owner.drained or TARGET in owner.drained:
            self.wrong = f"{owner.name} fills from {effect.source}, which drains, or fills one that does"
        self.tries[name] += 1
        if name in self.failed and self.tries[name] > 1 + self.changes:
            self.wrong = f"{name[1]} failed and is tried again by the same owner"
        floor = max([purge.n for purge in owner.purged.rows if purge.what == name[1]], default=0)
        self.send(("fill", owner.name, effect.number, name, effect.source, floor))

    def _report(self, owner, effect):
        self.send(("report", effect.number, effect.step))

    def _closed(self, owner, effect):
        """Nothing more comes from it."""

    # ---- the network

    def send(self, row):
        if row[0] in self.at_once:
            getattr(self, "on_" + row[0])(*row[1:])
        else:
            self.net.append(row)

    def deliver(self, k):
        row = self.net.pop(k)
        getattr(self, "on_" + row[0])(*row[1:])

    def lose(self, k):
        self.left["lost"] -= 1
        row = self.net.pop(k)
        self.lost_word |= row[0] != "fill"
        if row[0] == "fill":  # its deadline passes
            self.send(("ended", row[1], row[2], row[3], messages.FAILED))

    def double(self, k):
        self.left["doubled"] -= 1
        self.net.append(self.net[k])
        self.deliver(k)

    def on_lend(self, name, lender, number):
        own = self.lender_purged[lender]
        self.lenders[lender].position = Position(own)
        lent, course = self.lenders[lender].lend(self.now, TARGET)
        self.send(("lent", name, lender, number, lent, course))

    def on_lent(self, name, lender, number, lent, course):
        owner = self.owners[name]
        if owner.number == number:
            if owner.warming is not None and not owner.paused and lender in owner.warming.awaited_peers:
                owner.floor = min(owner.floor, lent.purge)  # the oldest list: each has all names
                owner.struck |= {("page", p.what, 0) for p in owner.purged.rows if p.n > lent.purge}
            self.take(name, messages.ListReceived(lender, lent, course))

    def on_lodge(self, name, lender, course):
        self.lenders[lender].store_plan(course)
        self.send(("lodged", name, lender, course.number))

    def on_lodged(self, name, lender, number):
        if self.owners[name].number == number:
            self.take(name, messages.PlanStored(lender))

    def on_fill(self, name, number, one, source, floor):
        """At the cache: the fence first, and the number seen there is never lower again."""
        if self.fallen:
            end = messages.FAILED
        elif not number or not self.fence.admit(DUTY, number):
            end = messages.OLD_NUMBER
            self.late_refused += 1
            if not number and not self.copies.get(one):  # no number, no fence: it passes for a lookup
                end = self.keep(one, source, floor)
                if self.owners[name].number < self.number:
                    self.wrong = "a fill without number came in after another owner's"
        else:
            if number < self.highest:
                self.wrong = f"number {number} was taken after {self.highest}"
            self.highest = max(self.highest, number)
            end = self.keep(one, source, floor)
        self.send(("ended", name, number, one, end))

    def keep(self, one, source, floor):
        """A neighbour's copy may be of before any purge; the age asked for passes none the owner knew of."""
        if self.copies.get(one, -1) >= floor:
            return messages.HELD_ALREADY
        newest = max([n for n, what in self.order if what == one[1]], default=0)
        made = 0 if source in NEIGHBOURS and not floor else newest
        self.read[one] += 1
        self.true[one] = made
        self.copies[one] = made if self.parts.dated is None else self.parts.dated(self.order)
        return messages.FILLED

    def on_fail(self, name, number, one):
        self.send(("ended", name, number, one, messages.FAILED))

    def on_ended(self, name, number, one, end):
        if self.owners[name].number == number or not number:
            if end == messages.FAILED:
                self.failed.add(one)
            self.take(name, messages.FillEnded(one, end))

    def on_report(self, number, step):
        if number == self.number and step == self.done + 1:
            self.done = step
            if self.holder is not None:
                self.send(("reported", self.holder, number, step))

    def on_reported(self, name, number, step):
        if self.owners[name].number == number:
            self.take(name, messages.Reported(step))

    def on_purge(self, who, purge):
        if who in self.owners:
            owner = self.owners[who]
            owner.purged.add(purge)
            if purge.n > owner.floor:
                owner.struck.add(("page", purge.what, 0))
        else:
            self.lender_purged[who].add(purge)
        if not any(row[0] == "purge" and row[2] == purge for row in self.net):
            self.serve(purge)

    def serve(self, purge):
        """The purge is in effect: no copy of before it answers, by the date it bears."""
        one = ("page", purge.what, 0)
        if self.copies.get(one, -1) >= purge.n > self.true.get(one, -1):
            self.wrong = f"a copy of {one[1]} of before its purge answers"

    # ---- faults

    def purge(self, k):
        self.left["purges"] -= 1
        n = len(self.order) + 1
        self.order.append((n, self.names[k][1]))
        purge = Purge(0, n, 0, OBJECT, self.names[k][1])
        for who in self.lenders:
            if "lent" in self.at_once:
                self.lender_purged[who].add(purge)
            else:
                self.net.append(("purge", who, purge))
        self.net += [("purge", who, purge) for who in self.owners]

    def drain(self, cache):
        self.left["drains"] -= 1
        self.drained.add(cache)
        self.net += [("drained", name, cache) for name in self.owners]

    def on_drained(self, name, cache):
        owner = self.owners[name]
        owner.drained.add(cache)
        self.look(name)
        if cache == TARGET:
            self.take(name, messages.Aborted(messages.DRAINED))

    def fail(self, k):
        """The source refuses."""
        self.left["fails"] -= 1
        row = self.net.pop(k)
        self.send(("ended", row[1], row[2], row[3], messages.FAILED))

    def fall(self):
        self.left["falls"] -= 1
        self.fallen = True

    def pause(self, name):
        self.left["pauses"] -= 1
        self.owners[name].paused = True

    def wake(self, name):
        """After any wait the first act is to look at the clock: its lease is over."""
        owner = self.owners[name]
        owner.paused = False
        if self.holder != name:
            self.take(name, messages.Aborted(messages.LEASE_OVER))

    def kill(self, name):
        self.left["kills"] -= 1
        self.owners[name].warming = None

    def tick(self, name):
        self.now += 1
        self.take(name, messages.Tick())

    def wait(self, name):
        self.now += steps.BORROW_TIMEOUT
        self.take(name, messages.Tick())

    def strain(self, name):
        self.left["strains"] -= 1
        self.take(name, messages.OverloadChanged(True))
        self.take(name, messages.OverloadChanged(False))

    # ---- what may come next

    def steps(self):
        left = self.left
        for k, row in enumerate(self.net):
            if self.net.index(row) == k:
                yield "deliver", k
                if left["lost"] and row[0] not in ("purge", "drained", "report", "reported", "ended"):
                    yield "lose", k
                if left["doubled"] and row[0] in ("fill", "ended", "lent", "lodge", "lodged"):
                    yield "double", k
                if left["fails"] and row[0] == "fill":
                    yield "fail", k
        for name, owner in self.owners.items():
            gone = (
                self.holder is None
                or self.owners[self.holder].warming is None
                or (self.owners[self.holder].paused)
            )
            if left["grants"] and gone and name != self.holder and not owner.paused:
                yield "grant", name
            if owner.warming is None or owner.warming.state in OVER:
                continue
            if owner.paused:
                yield "wake", name
                continue
            if owner.warming.state == steps.WARMING and owner.warming.name_index < self.step:
                yield "tick", name
            if owner.warming.state in (steps.BORROWING, steps.PLANNED) and not any(
                row[0] in ("lend", "lent", "lodge", "lodged") and row[1] == name for row in self.net
            ):
                yield "wait", name
            for word, step in (("pauses", "pause"), ("kills", "kill"), ("strains", "strain")):
                if left[word]:
                    yield step, name
        if left["purges"]:
            yield "purge", 0
        for cache in ("a", TARGET) if left["drains"] else ():
            yield "drain", cache
        if left["falls"]:
            yield "fall", None

    def act(self, step, which):
        getattr(self, step)(*(() if which is None else (which,)))
        if self.wrong is None:
            again = sum(count - 1 for count in self.read.values() if count > 1)
            tried = sum(max(0, count - 1) for count in self.tries.values())
            if tried > self.step * self.changes and self.whole():
                self.wrong = f"{tried} names are filled again after {self.changes} changes of owner"
            elif again > len(self.order):
                self.wrong = f"{again} copies were read again, though the cache held them"
        return self.wrong

    def whole(self):
        """Whether what a successor needs was not lost: all that was lent, lodged and reported has arrived."""
        return not self.lost_word

    lost_word = False


class Position(NamedTuple):
    purged: object

    def __call__(self):
        return self.purged.newest


class Scened(NamedTuple):
    stage: Stage
    name: str

    def __call__(self):
        return self.stage.scene(self.stage.owners[self.name])
