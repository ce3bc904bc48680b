"""Joins clients, caches and the feed to one Control, executes its effects and owns the lookups."""

from math import inf

from .. import interface
from ..caches import CachePool
from ..clock import ProcessClock, unix_seconds
from ..control import Control
from ..control.lookups import DUE
from ..feed import Feed
from ..feed.events import CacheListEvent
from ..front import Front
from ..tables.body_memory import BodyMemory
from ..tables.deadlines import Deadlines
from ..tables.recent_ids import RecentIds
from ..tables.slots import Slots
from ..terms import SECOND
from .counters import gauges
from .decision_loop import DecisionLoop
from .limits import EFFECT_ID_DURATION, MAX_EFFECT_IDS, divide
from .lookups import Lookup, check_request
from .unix_times import UnixTimes


class Router:
    """One router: input from the front, the caches and the feed goes to Control, its effects are executed."""

    def __init__(self, start, reactor, log, counters, wall=unix_seconds, steady=None, fleet_view=None):
        """reactor: on the monotonic clock, as from hookrouter.clock; wall: Unix time in seconds.
        steady: monotonic clock for leases, tenths of a millisecond; None: the system's.
        fleet_view: loads reported by other routers, queried by the decisions; None: decides alone.
        """
        self.log, self.counters = log, counters
        self.clock = ProcessClock(wall, reactor.seconds)
        self.unix_times = UnixTimes(self.clock)
        self.count = counters.count
        terms = self.terms = start.terms
        self.kinds = {kind.name: kind for kind in terms.kinds}
        # Ids of lookups with an effect that may have run: one that comes again must not run again.
        self.effect_ids = RecentIds(MAX_EFFECT_IDS, EFFECT_ID_DURATION)
        limits = divide(start)
        self.lookups = Slots(limits.lookups)
        self.by_call = {}  # call of the front -> lookup number
        self.latest_time = 0
        self.storable_results = {}  # (lookup number, send number) -> (request, result) while being decided
        self.held_copies = {}  # (lookup number, send number) -> HeldCopy that waits for CopyVerified
        self.copies = {}  # (kind, object, part) -> (revision, pieces, length)
        self.deadlines = Deadlines(reactor)
        self.decisions = DecisionLoop(self)
        self.open_trace_ids = set()  # client-given ids of lookups that are open or have sends running
        self.front = Front(
            self,
            self.deadlines,
            BodyMemory(limits.client_bodies, self._on_memory_full),
            limits.clients,
            limits.lookups,
            limits.partial_frames,
            terms.idle_timeout / SECOND,
            log,
            self.count,
        )
        self.caches = CachePool(
            reactor,
            self.deadlines,
            BodyMemory(limits.cache_bodies, self._on_memory_full),
            limits.cache_connections,
            terms,
            log,
            self.count,
        )
        self.feed = Feed(reactor, self.deadlines, self, start.feed, start.last_event, log, self.count)
        self.has_cache_list = self.stopping = False
        self.final_deadline = inf  # during shutdown, lookups are due before the process may be killed
        self.guard = self.purges = None
        if start.purges is not None:  # imported only then
            from .purging import Purging

            self.purges = Purging(start, reactor, self.deadlines, self, log, self.count, steady)
            self.guard = self.purges.guard
        self.control = Control(start.seed, terms, self.guard, fleet_view)
        self.warming_observer = None  # set where this router takes part in warming
        self.cache_loads = None  # set where this router shares its loads with the fleet
        self.waiting_for_neighbours = False  # not ready until neighbours have sent their state
        self.trace = None
        if start.trace is not None:  # imported only then
            from .tracing import Tracing

            self.trace = Tracing(start, self.now(), self.guard is not None, self.deadlines, log, self.count)
        self.handle_event(interface.FeedHeard(interface.NEVER_HEARD))
        for event in start.known:
            if isinstance(event, CacheListEvent):
                self.on_cache_list(event)
            else:
                self.on_purge(event)

    # ---- clock and Control

    def now(self):
        """Time of this process in tenths of a millisecond; see ProcessClock."""
        self.latest_time = max(self.latest_time, self.clock.now())
        if self.purges is not None:
            self.purges.check_lease()
        return self.latest_time

    def handle_event(self, event):
        """Passes an input to Control after those already queued, and carries out the effects at once."""
        self.decisions.handle_event(event)

    def seconds_until(self, span):
        """Seconds until the given time after the current decision, so that an alarm and a send for the same
        moment end together.
        """
        return max(0.0, (self.decisions.decided_at + span) / SECOND - self.clock.seconds())

    # ---- callbacks of the front

    def ready(self):
        """Whether lookups can be served; false before the first cache list and during shutdown."""
        return self.has_cache_list and not self.stopping and not self.waiting_for_neighbours

    def on_lookup(self, call, request):
        """A client made a call. Invalid ones are answered at once, the others become inputs of Control."""
        has_run = self.effect_ids.holds(request.trace, self.now())
        invalid = check_request(request, self.kinds, self.open_trace_ids, has_run)
        if invalid is not None:
            self.log(invalid.event, invalid.detail, id=request.trace)
            self.count(invalid.counter)
            self.front.failed(call, invalid.reason)
            return
        arrived_at = self.now() - int(self.front.input_age(call) * SECOND)  # the earliest possible
        lookup = Lookup(
            call,
            request,
            min(
                self.final_deadline, arrived_at + min(request.time_allowed, self.kinds[request.kind].deadline)
            ),
        )
        self.counters.lookup_taken(request.kind)
        lookup.number = self.lookups.take(lookup)
        if lookup.number is None:  # by the settings, or for want of memory, it never reaches Control
            self.log("more lookups than may be held, nacked", id=request.trace)
            self.count("lookups_beyond_limit")
            self.answer(lookup, "nacked", self.front.nacked, 0)
            return
        if self.warming_observer is not None:
            self.warming_observer.on_lookup(request, self.latest_time)
        self.by_call[call] = lookup.number
        self.open_trace_ids.add(request.trace)
        self.handle_event(
            interface.Lookup(
                lookup.number,
                request.kind,
                request.object,
                request.part,
                request.group,
                request.size,
                lookup.deadline,
                request.repeat,
            )
        )

    def on_client_gone(self, call):
        """The client of a call disconnected or withdrew it."""
        lookup = self.lookups.get(self.by_call[call])
        self._end(lookup, "given_up")
        self.handle_event(interface.ClientGone(lookup.number))
        self.cancel_unwritten_sends(lookup)

    def is_wanted(self, lookup):
        """Whether the client still waits; unread input of its connection is read first."""
        if not lookup.answered:
            self.front.read_pending(lookup.call)
        return not lookup.answered

    def answer_all_now(self):
        """Fires all deadlines of lookups at once: the process is about to exit."""
        for token in self.control.alarm_tokens(DUE):
            self.handle_event(interface.Alarm(token))

    # ---- callbacks of the feed

    def on_cache_list(self, event):
        """Applies a cache list event of the feed."""
        event = event._replace(caches=tuple(map(self.unix_times.cache, event.caches)))
        if event.snapshot:
            names = {cache.id for cache in event.caches}
            self.caches.keep_only(names)
            self.unix_times.keep_only(names)
        for cache, address in zip(event.caches, event.addresses):
            if cache.phase == interface.GONE:
                self.caches.remove(cache.id)
            else:
                self.caches.update(cache.id, address, cache.born)
        if self.cache_loads is not None:
            self.cache_loads.update_caches(event)
        if self.warming_observer is not None:
            self.warming_observer.on_cache_list(event, not self.has_cache_list)
        mode = interface.WHOLE if event.snapshot else interface.CHANGES
        self.handle_event(
            interface.CacheList(mode if self.has_cache_list else interface.REMEMBERED, event.caches)
        )
        self.has_cache_list = True

    def on_purge(self, event):
        """Applies a purge of the platform's feed."""
        event = self.unix_times.purge(event)
        if self.warming_observer is not None:
            self.warming_observer.on_platform_purge(event, event.purged_at)
        self.handle_event(interface.Purged(max(0, self.now() - event.purged_at), event.group, event.object))

    def on_caught_up(self):
        """The platform's feed has told all up to now, or up to when its input may have come."""
        self.handle_event(interface.FeedHeard(int(self.front.polls.age() * SECOND)))

    def on_events_missed(self):
        """The platform's feed has told something that is not known."""
        self.handle_event(interface.EventsMissed())

    def reload(self, start):
        """Applies the settings that can change while running: the address of the feed, and known events that
        the feed has not sent yet.
        """
        self.feed.apply_known(start.known)
        self.feed.move(start.feed)

    # ---- the end of lookups

    def answer(self, lookup, outcome, write_answer, *values):
        """Writes the final answer of a lookup by the given function of the front. end: one of
        LOOKUP_OUTCOMES.
        """
        write_answer(lookup.call, *values)
        self._end(lookup, outcome)

    def _end(self, lookup, outcome):
        lookup.answered = True
        self.by_call.pop(lookup.call, None)
        self.counters.lookup_ended(lookup.request.kind, outcome)
        self.release(lookup)

    def cancel_unwritten_sends(self, lookup):
        """Cancels sends of an answered lookup that are not written: they are no attempts yet, so may_cancel
        does not matter.
        """
        for send in list(lookup.active_sends.values()) if lookup.answered else ():
            if send is not None and not send.written:
                send.cancel()

    def release(self, lookup):
        """Frees the slot of a lookup that is answered and has no sends running."""
        if lookup.answered and not lookup.active_sends and lookup.number is not None:
            self.lookups.give_back(lookup.number)
            self.open_trace_ids.remove(lookup.request.trace)

    def gauges(self):
        """Gauges of this router, by name; see counters.gauges."""
        return gauges(self)

    def _on_memory_full(self):
        self.log("bodies fill their room, no more is read until some are gone")
        self.count("room_filled")
