"""Holds one Control: tells it truthfully what happens, carries out what it says, and owns the lookups."""

import time
import traceback
from collections import deque
from math import inf

from .. import interface
from ..caches import Caches
from ..control import Control
from ..control.lookups import DUE
from ..feed import Feed
from ..feed.events import Listed
from ..front import Front
from ..tables.body_memory import BodyMemory
from ..tables.deadlines import Deadlines
from ..tables.slots import Slots
from ..terms import SECOND
from .counters import held
from .effects import EFFECTS
from .start import room_left

BODIES = 0.25  # of what the program leaves, for bodies from caches; what is not shared out is for garbage
CALLS = 0.125  # of that, for bodies from clients and what they have not read: neither starves the other
HALVES = 0.0625  # of that, for half frames
RESERVED = 24  # descriptors: standard three, the reactor's own, listener, feed, and some that are closing


class Lookup:
    """One that is held, or whose sends still run."""

    __slots__ = ("number", "call", "asked", "due", "sends", "running", "ended")

    def __init__(self, call, asked, due):
        self.call, self.asked, self.due = call, asked, due
        self.number, self.sends, self.running, self.ended = None, 0, {}, False


class Router:
    def __init__(self, start, reactor, log, counters, wall=time.time, steady=None, told=None):
        """steady: a clock that no one sets, tenths of a millisecond, for leases; None: the machine's.
        told: what other routers of the fleet say, asked by the module; None: it decides alone.
        """
        self.log, self.counters, self.wall = log, counters, wall
        self.count = counters.count
        terms = self.terms = start.terms
        self.kinds = {kind.name: kind for kind in terms.kinds}
        self.lookups = Slots(max(1, terms.max_pending_lookups))
        self.by_call = {}  # call of the front -> number
        self.latest = self.decided = 0
        self.brought = {}  # lookup's number, send -> (what was asked, how it ended), while that is decided on
        self.copies = {}  # kind, object, part -> (tag, pieces, length)
        self.deadlines = Deadlines(reactor)
        self.inputs, self.deciding = deque(), False
        self.traces = set()  # ids that clients gave, of lookups that are open or sent
        clients = start.sockets // 3
        left = room_left(start.memory)
        room, asked = (
            BodyMemory(int(left * BODIES), self._filled),
            BodyMemory(int(left * CALLS), self._filled),
        )
        self.front = Front(
            self,
            self.deadlines,
            asked,
            clients,
            int(left * HALVES),
            terms.idle_timeout / SECOND,
            log,
            self.count,
        )
        self.caches = Caches(
            reactor, self.deadlines, room, start.sockets - clients - RESERVED, terms, log, self.count
        )
        self.feed = Feed(reactor, self.deadlines, self, start.feed, start.last, log, self.count)
        self.listed_once = self.stopping = False
        self.due_by = inf  # what comes at the end is due before the process may be killed
        self.guard = self.purges = None
        if start.purges is not None:  # imported only then
            from .purging import Purging

            self.purges = Purging(start, reactor, self.deadlines, self, log, self.count, steady)
            self.guard = self.purges.guard
        self.control = Control(start.seed, terms, self.guard, told)
        self.heed = None  # of what is asked, where this router takes part in warming
        self.tally = None  # of sends by cache, where this router tells its fleet
        self.waits = False  # for what neighbours lend: until then it says that it is not ready
        self.trace = None
        if start.trace is not None:  # imported only then
            from .tracing import Tracing

            self.trace = Tracing(start, self.now(), self.guard is not None, self.deadlines, log, self.count)
        for event in start.known:
            if isinstance(event, Listed):
                self.listed(event)
            else:
                self.purged(event)

    # ---- the clock and the module

    def now(self):
        """Unix time in tenths of a millisecond; it never goes back."""
        self.latest = max(self.latest, int(self.wall() * SECOND))
        if self.purges is not None:
            self.purges.look()
        return self.latest

    def tell(self, event):
        """One input to the module, after those that wait; what it says is carried out at once."""
        self.inputs.append(event)
        if self.deciding:
            return
        self.deciding = True
        try:
            while self.inputs:
                self._decide(self.inputs.popleft())
        finally:
            self.deciding = False

    def _decide(self, event):
        self.decided = self.now()
        try:
            effects = self.control.decide(self.decided, [event])
        except Exception:
            self.count("decisions_failed")
            self.log("decision code failed", traceback.format_exc())
            # What it had said before it failed counts; the lookups concerned are owed their answers.
            concerned = self._concerned(event)
            effects = [*self.control.effects, *map(interface.Fail, concerned)]
            self.inputs.extend(map(interface.ClientGone, concerned))
        if self.trace is not None:
            asked = self.lookups.get(event.id).asked if isinstance(event, interface.Lookup) else None
            self.trace.decided(self.decided, event, effects, self.control, asked and asked.trace)
        for effect in effects:
            EFFECTS[type(effect)](self, effect)
        if isinstance(event, interface.SendEnd):
            self.brought.pop((event.id, event.send), None)

    def _concerned(self, event):
        """Those whom nobody will answer now: the event's own, or, with an alarm lost, all that are due."""
        own = event.id if isinstance(event, (interface.Lookup, interface.SendEnd)) else None
        return [
            lookup.number
            for lookup in self.lookups.occupied()
            if not lookup.ended and (lookup.number == own or lookup.due <= self.latest)
        ]

    def until(self, span):
        """Seconds until that long after the decision: an alarm and a send for one moment end together."""
        return max(0.0, (self.decided + span) / SECOND - self.wall())

    # ---- from the front

    def ready(self):
        return self.listed_once and not self.stopping and not self.waits

    def taken(self, call, asked):
        kind = self.kinds.get(asked.kind)
        if kind is None:
            self.log("client asked for an unknown object kind, failed", asked.kind)
            self.count("calls_of_unknown_kind")
            self.front.failed(call, "unknown kind")
            return
        if (
            kind.idempotency == interface.DEDUPLICATED and asked.key is None
        ):  # nobody would know a repeat by it
            self.log("client left out the key of a deduplicated lookup, failed")
            self.count("keys_missing")
            self.front.failed(call, "replay is missing")
            return
        if asked.trace in self.traces:  # caches could not tell the sends of the two apart
            self.log("client used the id of an open lookup, failed", asked.trace)
            self.count("ids_used_twice")
            self.front.failed(call, "id is in use")
            return
        lookup = Lookup(call, asked, min(self.due_by, self.now() + min(asked.allow, kind.deadline)))
        self.counters.taken(asked.kind)
        lookup.number = self.lookups.take(lookup)
        if lookup.number is None:  # the settings have such a lookup refused before it reaches the module
            self.log("more lookups than may be held, nacked")
            self.count("lookups_beyond_limit")
            self.answer(lookup, "nacked", self.front.nacked, 0)
            return
        if self.heed is not None:
            self.heed.asked(asked, self.latest)
        self.by_call[call] = lookup.number
        self.traces.add(asked.trace)
        self.tell(
            interface.Lookup(
                lookup.number,
                asked.kind,
                asked.object,
                asked.part,
                asked.group,
                asked.size,
                lookup.due,
                asked.repeat,
            )
        )

    def left(self, call):
        """The client waits no more."""
        lookup = self.lookups.get(self.by_call[call])
        self._end(lookup, "given_up")
        self.tell(interface.ClientGone(lookup.number))
        self.withdraw(lookup)

    def wanted(self, lookup):
        """Whether its client still waits, by all that has come from it: what lies unread is read first."""
        if not lookup.ended:
            self.front.catch_up(lookup.call)
        return not lookup.ended

    def all_due(self):
        """The end is near: what is held gets its answer now, whatever time its client would give it."""
        for token in self.control.alarm_tokens(DUE):
            self.tell(interface.Alarm(token))

    # ---- from the feed

    def listed(self, event):
        if event.whole:
            self.caches.keep_only({cache.id for cache in event.caches})
        for cache, address in zip(event.caches, event.addresses):
            if cache.phase == interface.GONE:
                self.caches.forget(cache.id)
            else:
                self.caches.learn(cache.id, address, cache.born)
        if self.tally is not None:
            self.tally.list(event)
        if self.heed is not None:
            self.heed.listed(event, not self.listed_once)
        mode = interface.WHOLE if event.whole else interface.CHANGES
        self.tell(interface.CacheList(mode if self.listed_once else interface.REMEMBERED, event.caches))
        self.listed_once = True

    def purged(self, event):
        if self.heed is not None:
            self.heed.dropped_at(event, event.made)
        self.tell(interface.Purged(max(0, self.now() - event.made), event.group, event.object))

    def reload(self, start):
        """What can change while it runs: where the feed is, and events that it has not told yet."""
        self.feed.catch_up(start.known)
        self.feed.move(start.feed)

    # ---- lookups: taken above, given back here

    def answer(self, lookup, end, answer, *values):
        answer(lookup.call, *values)
        self._end(lookup, end)

    def _end(self, lookup, end):
        lookup.ended = True
        self.by_call.pop(lookup.call, None)
        self.counters.ended(lookup.asked.kind, end)
        self.let_go(lookup)

    def withdraw(self, lookup):
        """Sends of an ended lookup that are not written are no attempts yet: no leave to cancel is needed."""
        for send in list(lookup.running.values()) if lookup.ended else ():
            if send is not None and not send.written:
                send.give_up()

    def let_go(self, lookup):
        """Its slot is free once it is answered and none of its sends runs."""
        if lookup.ended and not lookup.running and lookup.number is not None:
            self.lookups.give_back(lookup.number)
            self.traces.remove(lookup.asked.trace)

    def held(self):
        return held(self)

    def _filled(self):
        self.log("bodies fill their room, no more is read until some are gone")
        self.count("room_filled")
