"""A member's part in warming: lists lent and borrowed, the duties warm/CACHE, fills sent as lookups are."""

import msgspec

from ...decisions.owners.duties import DECLARE, DONE, DROP
from ...decisions.warming import Lender, lists, messages
from ...decisions.warming.rank import rank
from ...errors.wire import DutyLost, UnusableList
from ...feed.purges import steady
from .asker import Asker
from .warmed import Warmed

POPULAR, COURSES, COURSE, KEPT = "popular", "courses", "course", "kept"  # topics: two pulled, two posted
DUTY = "warm."  # and the zone, so that a router of that zone owns it: its lists are of use there
DECLARERS = 3  # of a zone's routers that see a start: one could be gone, all would crowd the log
DECLARE_AFTER = 0.05  # seconds between them
DROP_AFTER = 2.0  # seconds
LIST_TRIES, LIST_AGAIN = 20, 0.1  # looks for a cache on the list, seconds between them
BORROW_WITHIN = 5_000  # 0.5 s for one list

encode = msgspec.msgpack.Encoder().encode


class Popular(msgspec.Struct, array_like=True, frozen=True):
    lent: messages.PopularityList | None
    courses: list[messages.WarmupPlan]


class Note(msgspec.Struct, array_like=True, frozen=True):
    """One has a course to be kept, or keeps it now."""

    cache: messages.Text
    number: messages.Whole


read_popular = msgspec.msgpack.Decoder(Popular).decode
read_courses = msgspec.msgpack.Decoder(list[messages.WarmupPlan]).decode
read_note = msgspec.msgpack.Decoder(Note).decode


class Warmer:
    """observer: what the router notes; send(cache, request fields) -> Deferred of how it ended."""

    def __init__(self, reactor, log, section, member, router, observer):
        self.reactor, self.log, self.section, self.member = reactor, log, section, member
        self.router, self.warming_observer, self.sharing = router, observer, member.sharing
        self.lender = Lender(observer.sketch, lambda: observer.fleet_purges.newest, router.now())
        observer.on_halved = self.lender.halved
        self.sort = DUTY + router.terms.topology.zone
        self.asker = Asker(reactor, f"{member.name}#{member.terms.life}.warming", member._tell)
        member.askers["warming"], self.own, self.at_work = self.asker, {}, {}
        observer.on_list, observer.on_late, observer.on_sent = self._listed, self._late, self._sent
        self.sharing.lend(POPULAR, self._popular)
        self.sharing.lend(COURSES, lambda: encode(list(self.own.values())))
        self.sharing.subscribe(COURSE, self._offered)
        self.sharing.subscribe(KEPT, self._kept)
        self.sharing.on_summary(self)

    def now(self):
        return self.router.now()

    # ---- what others ask of this one

    def _popular(self):
        lent, _ = self.lender.lend(self.now(), "")
        return encode(Popular(lent, list(self.lender.plans.values())))

    def _offered(self, now, name, life, data):
        """Someone is about to warm: its course is kept here for whoever comes after it."""
        try:
            note = read_note(data)
        except msgspec.MsgspecError:
            self.count("warming_malformed")
            return
        self.sharing.pull(name, COURSES, BORROW_WITHIN).addCallback(self._lodged, name, note)

    def _lodged(self, data, name, note):
        try:
            found = read_courses(data) if data is not None else []
        except msgspec.MsgspecError:
            self.count("warming_malformed")
            return
        for course in found[:16]:
            if course.cache == note.cache and course.number == note.number and self.lender.store_plan(course):
                self.sharing.post(name, KEPT, encode(note))

    def _kept(self, now, name, life, data):
        try:
            note = read_note(data)
        except msgspec.MsgspecError:
            self.count("warming_malformed")
            return
        warmed = self.at_work.get(note.cache)
        if warmed is not None and warmed.number == note.number:
            warmed.take(messages.PlanStored(name))

    def news(self, now, summary):
        """Of all others' sends at a cache, from sharing."""
        warmed = self.at_work.get(summary.cache)
        if warmed is not None:
            warmed.others(summary)

    # ---- what this one sees

    def _listed(self, before):
        """A cache of the zone that started: one of the zone's first few by its hash says so."""
        now, zone = self.now(), self.router.terms.topology.zone
        for name in self.warming_observer.ready_caches(zone, now):
            cache, old = self.warming_observer.caches[name], before.get(name)
            if self.warming_observer.is_cold(cache, now) and (old is None or cache.born > old.born):
                order = rank(name, [self.member.name, *self.sharing.neighbours()])
                place = order.index(self.member.name)
                if place < DECLARERS:
                    self.reactor.callLater(place * DECLARE_AFTER, self._declare, name)
        for warmed in list(self.at_work.values()):
            warmed.looked()

    def _declare(self, name):
        self.log("cache started, its warming is declared", cache=name)
        self.asker.ask(DECLARE, [f"{self.sort}/{name}"]).addErrback(self._unasked)

    def _unasked(self, failure):
        failure.trap(DutyLost)

    def _late(self, late):
        for warmed in self.at_work.values():
            warmed.answered(late)

    def _sent(self, cache, size):
        warmed = self.at_work.get(cache)
        if warmed is not None:
            warmed.looked_up(size or self.warming_observer.mean_size)

    # ---- the duty

    def gained(self, warrant):
        """How far it is known to be done is asked of the keepers first."""
        cache = warrant.duty.removeprefix(f"{self.sort}/")
        self.asker.ask(DONE, [warrant.duty, warrant.number, 0]).addCallbacks(
            self._begin, self._unasked, callbackArgs=(warrant, cache)
        )

    def _begin(self, result, warrant, cache, tries=LIST_TRIES):
        if result[0] != "out of order" or result[1] != warrant.number or warrant.act(steady(), None) is None:
            return  # it is another's by now
        if (
            cache not in self.warming_observer.caches
        ):  # the feed is late here: without its start no allowance is known
            if tries:
                self.reactor.callLater(LIST_AGAIN, self._begin, result, warrant, cache, tries - 1)
            else:
                self.member._give_up(warrant.duty, "that cache is not on this router's list")
            return
        self.at_work[cache] = Warmed(self, cache, warrant)
        self.at_work[cache].begin(result[2])

    def lost(self, duty):
        warmed = self.at_work.get(duty.removeprefix(f"{self.sort}/"))
        if warmed is not None:
            warmed.take(messages.Aborted(messages.LEASE_OVER))

    def lenders(self, cache):
        """Whom to ask, by the shared hash, so that a successor asks the same: routers of the zone."""
        return tuple(rank(cache, [self.member.name, *self.sharing.neighbours()])[: self.section["lenders"]])

    def borrow(self, lender, cache, came):
        """came(lender, PopularityList or None, WarmupPlan or None)."""
        if lender == self.member.name:
            came(lender, *self.lender.lend(self.now(), cache))
            return
        self.sharing.pull(lender, POPULAR, BORROW_WITHIN).addCallback(self._borrowed, lender, cache, came)

    def _borrowed(self, data, lender, cache, came):
        lent = course = None
        try:
            if data is not None:
                told = read_popular(data)
                course = next((one for one in told.courses if one.cache == cache), None)
                lent = told.lent and lists.validate(told.lent)
        except (msgspec.MsgspecError, UnusableList) as wrong:
            self.log("a neighbour's list was put aside", f"{lender}: {wrong}", level="warn")
            self.count("warming_lists_unfit")
        came(lender, lent, course)

    def lodge(self, course, lenders):
        self.own[course.cache] = course
        for lender in lenders:
            if lender == self.member.name:
                self.lender.store_plan(course)  # others keep it, or it is lost with this process
            else:
                self.sharing.post(lender, COURSE, encode(Note(course.cache, course.number)))

    def report(self, warmed, step):
        self.asker.ask(DONE, [warmed.warrant.duty, warmed.number, step]).addCallbacks(
            self._told, self._unasked, callbackArgs=(warmed, step)
        )

    def _told(self, result, warmed, step):
        if result[0] == "done" or (result[0] == "out of order" and result[2] >= step):
            warmed.take(messages.Reported(step))
        else:
            warmed.take(messages.Aborted(messages.LEASE_OVER))

    def closed(self, warmed, state, cause):
        """The duty goes where its work is over, and stays for a successor where only this owner is out."""
        if self.at_work.get(warmed.cache) is warmed:
            del self.at_work[warmed.cache]
        self.own.pop(warmed.cache, None)
        self.log(
            "warming is over",
            cache=warmed.cache,
            state=state,
            why=cause,
            number=warmed.number,
            **dict(warmed.counts()),
        )
        if cause not in (messages.LEASE_OVER, messages.OLD_NUMBER):
            # Those that saw the start a little later must find that the duty is there.
            self.reactor.callLater(DROP_AFTER, self._drop, warmed.warrant.duty)

    def _drop(self, duty):
        self.asker.ask(DROP, [duty]).addErrback(self._unasked)

    def place(self, cache):
        """(how many warmings this router knows of, which this is): sources' room is shared out so."""
        names = sorted({*self.at_work, *self.lender.plans} & set(self.warming_observer.caches) | {cache})
        cold = [
            name
            for name in names
            if name == cache or self.warming_observer.is_cold(self.warming_observer.caches[name], self.now())
        ]
        return len(cold), cold.index(cache)

    def clock(self):
        return steady()

    def count(self, name, by=1):
        values = self.router.counters.values
        values[name] = values.get(name, 0) + by

    def stop(self):
        for warmed in list(self.at_work.values()):
            warmed.stop()
