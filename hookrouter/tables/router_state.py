"""What one router takes for true, kept in tables: lookups held, sends that are out, caches it was told of.

Nothing here decides. Each cache has a row; each part of what decides adds columns of its own to the rows.
"""

from heapq import heappop, heappush

from .. import interface

SECOND = 10_000  # tenths of a millisecond


class PendingLookup:
    """A lookup that still lacks its final answer."""

    __slots__ = (
        "id",
        "kind",
        "name",
        "key",
        "group",
        "work",
        "due",
        "state",
        "sends",
        "overruns",
        "caches",
        "doubts",
        "sources",
        "straight",
        "hits_only",
        "refused",
        "own",
        "why",
    )

    def __init__(self, lk, kind, flow, state):
        """kind: its place among the terms' kinds; flow: KB a second of one answer, 0 where not told."""
        pace = flow / SECOND
        self.id, self.kind, self.key, self.group = lk.id, kind, lk.object, lk.group
        self.own = lk.kind, lk.object, lk.part
        self.name = f"{lk.object}|{lk.part}|"  # every part is hashed under a name of its own
        self.work = lk.size / pace if lk.size and pace else 0.0  # its own sending time
        self.due, self.state = lk.due, state
        self.sends = self.overruns = 0
        self.caches, self.sources = [], []  # rows tried already
        self.doubts = {}  # sends that run or may have run: number -> (when, target)
        self.straight = self.hits_only = self.refused = False
        self.why = "time"  # why it was given up: where nothing else is said its time was over


class PendingSend:
    """A send whose end has not come."""

    __slots__ = ("target", "source", "kind", "work", "at", "limited", "via", "calm", "missed")

    def __init__(self, target, source, via, kind, work, at, limited, calm):
        self.target, self.source, self.via = target, source, via  # via: what feeds it from outside
        self.kind, self.work, self.at, self.limited, self.calm = kind, work, at, limited, calm
        self.missed = False  # its budget passed, and was counted before its end


class RouterState:
    """The tables of one router, the time of the decision that is under way, and what it has said so far."""

    def __init__(self):
        self.now, self.effects = 0, []
        self.told = None  # what other routers of a fleet say, where they do
        self.held, self.sent = {}, {}  # id -> Held; (id, send) -> Sent
        self.alarms, self.tokens = {}, 0
        self.budgets = []  # (when the budget of a send is over, lookup, number): a heap
        self.index, self.columns = {}, []  # id of a cache -> row; (column, what a new row begins with)
        self.ids, self.sort, self.cell, self.where = (self.column(None) for _ in range(4))
        self.weight, self.phase = self.column(1.0), self.column(interface.GONE)
        self.out, self.heard = self.column(0), self.column(0)  # sends out there; the last answer from there
        self.unheard, self.since = self.column(0), self.column(0)  # sends since then; when the first went out
        self.edges, self.parents, self.origins = [], [], []  # rows that sends may go to
        self.reach = 0  # what the location's links carry, at full pace

    def column(self, first):
        """One more parallel array, to be asked for before there are rows."""
        column = []
        self.columns.append((column, first))
        return column

    def row(self, cache):
        """The row of that cache, begun where it is new."""
        n = self.index.get(cache.id)
        if n is None:
            n = self.index[cache.id] = self._free()
            for column, first in self.columns:
                column[n : n + 1] = [first]
            self.ids[n], self.sort[n] = cache.id, cache.sort
            self.cell[n], self.where[n] = cache.cell, cache.zone
        return n

    def _free(self):
        """One more, or that of a cache that is gone and unnamed: else new ids would fill the columns."""
        named = {n for sent in self.sent.values() for n in (sent.target, sent.source)}
        for lk in self.held.values():
            named.update(lk.caches, lk.sources)
        for n, phase in enumerate(self.phase):
            if phase == interface.GONE and n not in named:
                del self.index[self.ids[n]]
                return n
        return len(self.ids)

    def keep_only(self, caches):
        """What a whole list leaves out is gone."""
        named = {cache.id for cache in caches}
        self.phase[:] = [
            phase if name in named else interface.GONE for name, phase in zip(self.ids, self.phase)
        ]

    def begin(self, lk, sent, over):
        """One more send of this lookup is out; over: when its budget is, or None."""
        number = lk.sends
        lk.sends += 1
        lk.doubts[number] = sent.at, sent.target
        lk.caches.append(sent.target)
        if sent.source is not None:
            lk.sources.append(sent.source)
        self.sent[lk.id, number] = sent
        self._count(sent, 1)
        if not self.unheard[sent.target]:
            self.since[sent.target] = sent.at
        self.unheard[sent.target] += 1
        if over is not None:
            heappush(self.budgets, (over, lk.id, number))

    def end(self, key):
        """The send whose end has come, or None."""
        sent = self.sent.pop(key, None)
        if sent is not None:
            self._count(sent, -1)
        return sent

    def hear(self, n):
        """An answer came from there, whatever to."""
        self.heard[n], self.unheard[n] = self.now, 0

    def _count(self, sent, by):
        """What is out at a cache; at a parent or the origin, the fills that it feeds too."""
        self.out[sent.target] += by
        if sent.via not in (None, sent.target):
            self.out[sent.via] += by

    def overdue(self):
        """Sends that are out though a budget under their key is over. Ids are used again: it may have been
        another's.
        """
        while self.budgets and self.budgets[0][0] <= self.now:
            sent = self.sent.get(heappop(self.budgets)[1:])
            if sent is not None:
                yield sent

    def say(self, effect):
        self.effects.append(effect)

    def alarm(self, delay, what):
        """what: handed back by ring() once the alarm of this token has come."""
        self.tokens += 1
        self.alarms[self.tokens] = what
        self.say(interface.SetAlarm(delay, self.tokens))

    def alarms_of(self, word):
        """Tokens of those that are set for it, the first set first."""
        return [token for token, (_, what) in self.alarms.items() if what == word]

    def ring(self, token):
        return self.alarms.pop(token, (None, None))
