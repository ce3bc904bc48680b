"""Where the utility of lookups went, from the traces of any number of routers: by kind, by second, by cause.

Each lookup is followed from its arrival to its one end. A late one is laid to what its send waited for, as
far as routers together can tell: the answer's time beyond its own sending, held against what other sends to
the same cache took in that second. Clocks of routers may differ; what is compared across them is by the
second.
"""

from collections import Counter, defaultdict
from statistics import median
from typing import NamedTuple

from .. import interface
from ..terms import SECOND
from .sizes import by_size

BUDGET, LATE, NACKED, FAILED, LEFT, OPEN = "in budget", "late", "nacked", "failed", "left", "open"
FEW = 3  # sends at a cache in a second: of fewer no middle is taken


class Send(NamedTuple):
    at: int
    target: str
    source: str | None
    held_only: bool
    belief: tuple | None


class End(NamedTuple):
    """One lookup, ended."""

    kind: str
    at: int
    outcome: str
    why: str  # of a nack or failure, or where a late answer came from
    sends: tuple  # of (Send, how it ended, what it took)
    size: float = 0.0  # KB, 0 where not told


class Open:
    __slots__ = ("asked", "at", "sends", "ends")

    def __init__(self, asked, at):
        self.asked, self.at, self.sends, self.ends = asked, at, [], {}


class Account:
    def __init__(self):
        self.kinds, self.pace = {}, 0.0
        self.ends, self.open = [], {}  # router, number -> Open
        self.rows = self.skipped = 0
        self.waits = defaultdict(list)  # cache, second -> what its answers took beyond their own sending
        self.out = {}  # router, number, send -> Send: those that are out
        self.at_cache = Counter()  # sends out by cache, of all routers

    def begin(self, header):
        """A life of a router, before its rows: once, not for each segment."""
        self.kinds.update((kind.name, kind) for kind in header.kinds)
        self.pace = header.pace or self.pace
        self.forget(header.router)

    def forget(self, router):
        """It started anew: what a former life held has no end."""
        for key in [key for key in self.open if key[0] == router]:
            self._end(self.open.pop(key), OPEN, "router ended")
        for key in [key for key in self.out if key[0] == router]:
            self.at_cache[self.out.pop(key).target] -= 1

    def take(self, router, row):
        """One decision; those of one router in their order."""
        self.rows += 1
        reader = READERS.get(row.event)
        try:
            if reader is not None:
                reader(self, router, row)
            for name, fields, belief in row.effects:
                if name in EFFECTS:
                    EFFECTS[name](self, router, row, fields, belief)
        except (IndexError, TypeError, KeyError):
            self.skipped += 1  # of another version, or spoilt: the rest still counts

    # ---- inputs

    def _lookup(self, router, row):
        self.open[router, row.fields[0]] = Open(interface.Lookup(*row.fields), row.at)

    def _ended(self, router, row):
        end = interface.SendEnd(*row.fields)
        sent = self.out.pop((router, end.id, end.send), None)
        if sent is not None:
            self.at_cache[sent.target] -= 1
        lookup = self.open.get((router, end.id))
        if lookup is None or sent is None:
            return
        lookup.ends[end.send] = end.outcome, end.duration
        if end.outcome == interface.SATISFIED:
            self.waits[sent.target, row.at // SECOND].append(end.duration - self._work(lookup))
            if end.settled:
                self._satisfied(self.open.pop((router, end.id)), row.at)

    def _satisfied(self, lookup, at, why=""):
        kind = self.kinds[lookup.asked.kind]
        late = at - lookup.at > kind.latency_budget + kind.budget_stretch * self._work(lookup)
        self._end(lookup, LATE if late else BUDGET, why)

    def _gone(self, router, row):
        lookup = self.open.pop((router, row.fields[0]), None)
        if lookup is not None:
            self._end(lookup, LEFT, "client left")

    # ---- effects

    def _sent(self, router, row, fields, belief):
        lookup = self.open.get((router, fields[0]))
        if lookup is None:
            return
        number = len(lookup.sends)
        source, held = (fields[2], fields[7]) if len(fields) > len(interface.Ask._fields) else (None, True)
        sent = self.out[router, fields[0], number] = Send(
            row.at, fields[1], source, held, (*belief, self.at_cache[fields[1]])
        )
        self.at_cache[fields[1]] += 1
        lookup.sends.append(sent)

    def _nack(self, router, row, fields, belief):
        lookup = self.open.pop((router, fields[0]), None)
        if lookup is not None:
            self._end(lookup, NACKED, fields[2])

    def _fail(self, router, row, fields, belief):
        lookup = self.open.pop((router, fields[0]), None)
        if lookup is not None:
            self._end(lookup, FAILED, fields[1])

    def _given(self, router, row, fields, belief):
        lookup = self.open.pop((router, fields[0]), None)
        if lookup is not None:
            self._satisfied(lookup, row.at, "own copy")

    def _end(self, lookup, outcome, why):
        sends = tuple((sent, *lookup.ends.get(n, (None, None))) for n, sent in enumerate(lookup.sends))
        self.ends.append(End(lookup.asked.kind, lookup.at, outcome, why, sends, lookup.asked.size))

    def _work(self, lookup):
        return lookup.asked.size / self.pace if self.pace else 0.0

    # ---- what comes out of it

    def by_second(self, step=1):
        """[(second from the first arrival, offered, {outcome: share}, utility earned, sends a lookup)], a row
        for each `step` seconds in which lookups came.
        """
        if not self.ends:
            return []
        began, rows = min(end.at for end in self.ends), defaultdict(list)
        for end in self.ends:
            rows[(end.at - began) // (step * SECOND) * step].append(end)
        return [
            (
                second,
                len(ends),
                shares(ends),
                self._earned(ends),
                sum(len(end.sends) for end in ends) / len(ends),
            )
            for second, ends in sorted(rows.items())
        ]

    def by_size(self):
        """See sizes.by_size: whether large objects are answered as the rest of their kind is."""
        return by_size(self.ends, (BUDGET, LATE))

    def by_kind(self):
        """{kind: (offered, {outcome: share}, share of the utility that was earned)}."""
        kinds = defaultdict(list)
        for end in self.ends:
            kinds[end.kind].append(end)
        return {kind: (len(ends), shares(ends), self._earned(ends)) for kind, ends in sorted(kinds.items())}

    def _earned(self, ends):
        asked = sum(self.kinds[end.kind].utility for end in ends)
        return sum(self._worth(end) for end in ends) / asked if asked else 0.0

    def _worth(self, end):
        kind = self.kinds[end.kind]
        return kind.utility * {BUDGET: 1.0, LATE: kind.late_share}.get(end.outcome, 0.0)

    def lost(self):
        """[((kind, outcome, cause), lookups, share of all utility asked for)], the dearest first."""
        asked = sum(self.kinds[end.kind].utility for end in self.ends) or 1.0
        counted, worth = Counter(), Counter()
        for end in self.ends:
            if end.outcome != BUDGET:
                key = end.kind, end.outcome, self.cause(end)
                counted[key] += 1
                worth[key] += (self.kinds[end.kind].utility - self._worth(end)) / asked
        return [
            (key, counted[key], share)
            for key, share in sorted(worth.items(), key=lambda row: (-row[1], row[0]))
        ]

    def cause(self, end):
        """Of one lookup that was not satisfied in its budget."""
        if end.outcome != LATE or not end.sends:
            return end.why or "none told"
        if len(end.sends) > 1:
            return "after a further send"
        sent, _, took = end.sends[0]
        others = self.waits.get((sent.target, (sent.at + (took or 0)) // SECOND), ())
        middle = median(others) if len(others) >= FEW else None
        budget = self.kinds[end.kind].latency_budget
        if middle is not None and middle > budget / 2:
            return "its cache was slow to all"
        if sent.held_only:
            return "a send for what is held"
        if sent.source == sent.target:
            return "past the caches"
        return "its fill, others there were quick" if middle is not None else "its fill, or too few others"

    def sends(self):
        """{(what was asked for, how it ended): (how many, median time)}."""
        took = defaultdict(list)
        for end in self.ends:
            for sent, ended, time in end.sends:
                way = (
                    "held"
                    if sent.held_only
                    else "itself"
                    if sent.source == sent.target
                    else ("with a source" if sent.source else "plain")
                )
                took[way, ended or "out at the end"].append(time or 0)
        return {key: (len(times), median(times)) for key, times in sorted(took.items())}

    def beliefs(self):
        """[(sends out at a cache of all routers, from, to; sends; mean the sender had out itself; mean window
        it believed in, of those with one; share satisfied in the budget)].
        """
        rows = defaultdict(list)
        for end in self.ends:
            for sent, _, _ in end.sends[:1]:
                if sent.belief is not None:
                    rows[sent.belief[4].bit_length()].append((sent.belief, end.outcome == BUDGET))
        found = []
        for bits, sent in sorted(rows.items()):
            windows = [belief[1] for belief, _ in sent if belief[1] is not None]
            found.append(
                (
                    1 << bits >> 1,
                    (1 << bits) - 1,
                    len(sent),
                    sum(belief[0] - 1 for belief, _ in sent) / len(sent),
                    sum(windows) / len(windows) if windows else None,
                    sum(good for _, good in sent) / len(sent),
                )
            )
        return found


def shares(ends):
    counted = Counter(end.outcome for end in ends)
    return {outcome: counted[outcome] / len(ends) for outcome in (BUDGET, LATE, NACKED, FAILED, LEFT, OPEN)}


READERS = {"Lookup": Account._lookup, "SendEnd": Account._ended, "ClientGone": Account._gone}
EFFECTS = {
    "Ask": Account._sent,
    "Obtain": Account._sent,
    "Nack": Account._nack,
    "Fail": Account._fail,
    "Give": Account._given,
}
