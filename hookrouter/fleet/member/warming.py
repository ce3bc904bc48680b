"""Cache warming: popularity lists sent and pulled, warming duties owned, fills sent as lookups are."""

import msgspec

from ...clock import steady
from ...decisions.owners.duties import DECLARE, DONE, DROP
from ...decisions.warming import Lender, lists, messages
from ...decisions.warming.rank import rank
from ...errors.wire import DutyLost, UnusableList
from .command_stream import CommandStream
from .warming_run import WarmingRun

# The first two topics are pulled, the others posted.
POPULAR_TOPIC, PLANS_TOPIC, PLAN_TOPIC, STORED_TOPIC = "popular", "courses", "course", "kept"
DUTY_PREFIX = "warm."  # followed by the zone, so a router of that zone owns it, whose lists apply
MAX_DECLARERS = 3  # of a zone's routers that declare a warming: one could be down, all would flood the log
DECLARE_DELAY = 0.05  # seconds between them
DROP_DELAY = 2.0  # seconds
LIST_TRIES, LIST_RETRY_DELAY = 20, 0.1  # retries until a cache is listed, seconds between
BORROW_TIMEOUT = 5_000  # 0.5 s for one list

encode = msgspec.msgpack.Encoder().encode


class Popular(msgspec.Struct, array_like=True, frozen=True):
    """A router's popularity list and the warmup plans that it stores for others."""

    popularity: messages.PopularityList | None
    plans: list[messages.WarmupPlan]


class PlanNote(msgspec.Struct, array_like=True, frozen=True):
    """Offers a warmup plan to be stored, or confirms that it is stored."""

    cache: messages.Text
    fencing_token: messages.Whole


decode_popular = msgspec.msgpack.Decoder(Popular).decode
decode_plans = msgspec.msgpack.Decoder(list[messages.WarmupPlan]).decode
decode_note = msgspec.msgpack.Decoder(PlanNote).decode


class Warmer:
    """Declares, owns and supports warmings; observer: the router's record of caches, objects and purges."""

    def __init__(self, reactor, log, section, member, router, observer):
        self.reactor, self.log, self.section, self.member = reactor, log, section, member
        self.router, self.warming_observer, self.sharing = router, observer, member.sharing
        self.lender = Lender(observer.sketch, lambda: observer.fleet_purges.newest, router.now())
        observer.on_halved = self.lender.halved
        self.duty_kind = DUTY_PREFIX + router.terms.topology.zone
        self.commands = CommandStream(
            reactor, f"{member.name}#{member.terms.generation}.warming", member.send_to_leader
        )
        member.command_streams["warming"], self.own_plans, self.runs = self.commands, {}, {}
        observer.on_list, observer.on_late, observer.on_sent = self._on_list, self._on_late, self._on_sent
        self.sharing.lend(POPULAR_TOPIC, self._popular)
        self.sharing.lend(PLANS_TOPIC, lambda: encode(list(self.own_plans.values())))
        self.sharing.subscribe(PLAN_TOPIC, self._on_plan_offered)
        self.sharing.subscribe(STORED_TOPIC, self._on_plan_stored)
        self.sharing.add_listener(self)

    def now(self):
        """Wall-clock time of the router, in tenths of a millisecond."""
        return self.router.now()

    # ---- requests of other members

    def _popular(self):
        popularity, _ = self.lender.lend(self.now(), "")
        return encode(Popular(popularity, list(self.lender.plans.values())))

    def _on_plan_offered(self, now, name, generation, data):
        """Pulls the plan of a warming's owner, to store it for a successor."""
        try:
            note = decode_note(data)
        except msgspec.MsgspecError:
            self.count("warming_malformed")
            return
        self.sharing.pull(name, PLANS_TOPIC, BORROW_TIMEOUT).addCallback(self._on_plans, name, note)

    def _on_plans(self, data, name, note):
        try:
            found = decode_plans(data) if data is not None else []
        except msgspec.MsgspecError:
            self.count("warming_malformed")
            return
        for plan in found[:16]:
            if (
                plan.cache == note.cache
                and plan.number == note.fencing_token
                and self.lender.store_plan(plan)
            ):
                self.sharing.post(name, STORED_TOPIC, encode(note))

    def _on_plan_stored(self, now, name, generation, data):
        try:
            note = decode_note(data)
        except msgspec.MsgspecError:
            self.count("warming_malformed")
            return
        run = self.runs.get(note.cache)
        if run is not None and run.fencing_token == note.fencing_token:
            run.handle_event(messages.PlanStored(name))

    def summary_changed(self, now, summary):
        """Takes the load of all other routers at a cache."""
        run = self.runs.get(summary.cache)
        if run is not None:
            run.set_others_load(summary)

    # ---- events of this router

    def _on_list(self, before):
        """Declares the warming of a restarted cache, if this router ranks among the first for it by hash."""
        now, zone = self.now(), self.router.terms.topology.zone
        for name in self.warming_observer.ready_caches(zone, now):
            cache, previous = self.warming_observer.caches[name], before.get(name)
            if self.warming_observer.is_cold(cache, now) and (previous is None or cache.born > previous.born):
                order = rank(name, [self.member.name, *self.sharing.neighbours()])
                position = order.index(self.member.name)
                if position < MAX_DECLARERS:
                    self.reactor.callLater(position * DECLARE_DELAY, self._declare, name)
        for run in list(self.runs.values()):
            run.on_list_changed()

    def _declare(self, name):
        self.log("cache started, its warming is declared", cache=name)
        self.commands.submit(DECLARE, [f"{self.duty_kind}/{name}"]).addErrback(self._ignore_lost_duty)

    def _ignore_lost_duty(self, failure):
        failure.trap(DutyLost)

    def _on_late(self, late):
        for run in self.runs.values():
            run.on_answer(late)

    def _on_sent(self, cache, size):
        run = self.runs.get(cache)
        if run is not None:
            run.on_lookup_sent(size or self.warming_observer.mean_size)

    # ---- the duty

    def on_gained(self, lease):
        """Asks the keepers for the last completed step, then starts the warming."""
        cache = lease.duty.removeprefix(f"{self.duty_kind}/")
        self.commands.submit(DONE, [lease.duty, lease.fencing_token, 0]).addCallbacks(
            self._start_run, self._ignore_lost_duty, callbackArgs=(lease, cache)
        )

    def _start_run(self, result, lease, cache, tries=LIST_TRIES):
        if (
            result[0] != "out of order"
            or result[1] != lease.fencing_token
            or lease.authorize(steady(), None) is None
        ):
            return  # another member owns it by now
        if (
            cache not in self.warming_observer.caches
        ):  # the feed lags: the allowance depends on the cache's start time
            if tries:
                self.reactor.callLater(LIST_RETRY_DELAY, self._start_run, result, lease, cache, tries - 1)
            else:
                self.member.give_up_duty(lease.duty, "that cache is not on this router's list")
            return
        self.runs[cache] = WarmingRun(self, cache, lease)
        self.runs[cache].start(result[2])

    def on_lost(self, duty):
        """Aborts the warming of a duty that was lost."""
        run = self.runs.get(duty.removeprefix(f"{self.duty_kind}/"))
        if run is not None:
            run.handle_event(messages.Aborted(messages.LEASE_OVER))

    def lenders(self, cache):
        """Routers of the zone to pull from, ranked by a shared hash, so a successor picks the same ones."""
        return tuple(rank(cache, [self.member.name, *self.sharing.neighbours()])[: self.section["lenders"]])

    def borrow(self, lender, cache, callback):
        """Pulls a list; calls callback(lender, PopularityList or None, WarmupPlan or None)."""
        if lender == self.member.name:
            callback(lender, *self.lender.lend(self.now(), cache))
            return
        self.sharing.pull(lender, POPULAR_TOPIC, BORROW_TIMEOUT).addCallback(
            self._on_borrowed, lender, cache, callback
        )

    def _on_borrowed(self, data, lender, cache, callback):
        popularity = plan = None
        try:
            if data is not None:
                popular = decode_popular(data)
                plan = next((candidate for candidate in popular.plans if candidate.cache == cache), None)
                popularity = popular.popularity and lists.validate(popular.popularity)
        except (msgspec.MsgspecError, UnusableList) as error:
            self.log("a neighbour's list was put aside", f"{lender}: {error}", level="warn")
            self.count("warming_lists_unfit")
        callback(lender, popularity, plan)

    def offer_plan(self, plan, lenders):
        """Offers this owner's plan to the lenders, to be stored for a successor."""
        self.own_plans[plan.cache] = plan
        for lender in lenders:
            if lender == self.member.name:
                self.lender.store_plan(plan)  # other routers store it too, in case this process dies
            else:
                self.sharing.post(lender, PLAN_TOPIC, encode(PlanNote(plan.cache, plan.number)))

    def report_step(self, run, step):
        """Reports a completed step to the keepers."""
        self.commands.submit(DONE, [run.lease.duty, run.fencing_token, step]).addCallbacks(
            self._on_reported, self._ignore_lost_duty, callbackArgs=(run, step)
        )

    def _on_reported(self, result, run, step):
        if result[0] == "done" or (result[0] == "out of order" and result[2] >= step):
            run.handle_event(messages.Reported(step))
        else:
            run.handle_event(messages.Aborted(messages.LEASE_OVER))

    def on_closed(self, run, state, cause):
        """Drops the duty if the warming is over; keeps it for a successor if only this owner lost it."""
        if self.runs.get(run.cache) is run:
            del self.runs[run.cache]
        self.own_plans.pop(run.cache, None)
        self.log(
            "warming is over",
            cache=run.cache,
            state=state,
            why=cause,
            number=run.fencing_token,
            **dict(run.counts()),
        )
        if cause not in (messages.LEASE_OVER, messages.OLD_NUMBER):
            # Routers that see the restart a little later must still find the duty declared.
            self.reactor.callLater(DROP_DELAY, self._drop, run.lease.duty)

    def _drop(self, duty):
        self.commands.submit(DROP, [duty]).addErrback(self._ignore_lost_duty)

    def cold_position(self, cache):
        """Returns (count of known warmings, index of this one), by which sources' capacity is divided."""
        names = sorted({*self.runs, *self.lender.plans} & set(self.warming_observer.caches) | {cache})
        cold = [
            name
            for name in names
            if name == cache or self.warming_observer.is_cold(self.warming_observer.caches[name], self.now())
        ]
        return len(cold), cold.index(cache)

    def clock(self):
        """Monotonic time that leases are checked against."""
        return steady()

    def count(self, name, by=1):
        """Adds to a counter of the router."""
        values = self.router.counters.values
        values[name] = values.get(name, 0) + by

    def stop(self):
        """Stops all warmings of this member."""
        for run in list(self.runs.values()):
            run.stop()
