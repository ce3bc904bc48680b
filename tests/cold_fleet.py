"""Simulates routers that share one cold cache, under random schedules, and sums the work that they send.

Each router is a complete Control with its own state; they do not communicate. Demand is the worst case: a
router sends as soon as it may. As in the rule, each request counts as the mean work of its kind, refused or
not.
"""

from math import sqrt
from typing import NamedTuple

from fleet import KINDS, MS, SECOND, terms

from hookrouter import interface
from hookrouter.control import Control

BORN = 1_000_000
MAX_LIST_DELAY = 2 * SECOND  # within which all routers have the list
RESTART_TIMES = (
    0,
    50 * MS,
    200 * MS,
    600 * MS,
)  # the shorter a restart, the more turns are still open after it
ROUTER_SETS = {  # name -> (number of routers, those that share the cache)
    "20": (20, range(20)),
    "30": (30, range(30)),
    "200": (200, range(200)),
    "25 of 200, every eighth": (200, range(0, 200, 8)),
    "25 of 200, in a row": (200, range(60, 85)),
    "25 of 200, by chance": (200, None),
}
LOCATION_ROUTERS = 10  # routers of one location, among those that share a parent


class Plan(NamedTuple):
    """One cold cache or parent, and the routers that share it."""

    routers: int
    users: tuple  # numbers of the routers that share the cache
    parent: bool
    cold_share: float
    cold_duration: int
    overload_multiple: float
    overload_duration: int
    weight: float
    kinds: tuple  # (latency budget, mean work, share of the traffic)

    @property
    def kind_shares(self):
        return [share for *_, share in self.kinds]

    @property
    def mean_work(self):
        return sum(work * share for _, work, share in self.kinds) / sum(self.kind_shares)

    def terms(self, number):
        settings = terms()
        topology = settings.topology._replace(
            number=number,
            routers=self.routers,
            routers_by_zone=(0, LOCATION_ROUTERS if self.parent else len(self.users)),
        )
        kinds = tuple(
            KINDS[0]._replace(name=f"k{index}", latency_budget=row[0]) for index, row in enumerate(self.kinds)
        )
        settings = settings._replace(topology=topology, kinds=kinds, overload_duration=self.overload_duration)
        if self.parent:
            return settings._replace(
                parent_cold_share=self.cold_share,
                parent_cold_duration=self.cold_duration,
                parent_overload_multiple=self.overload_multiple,
            )
        return settings._replace(
            cold_share=self.cold_share,
            cold_duration=self.cold_duration,
            overload_multiple=self.overload_multiple,
        )

    def allowed(self, at):
        """Work that the settings allow in the window that ends then; before the start, capacity is constant."""

        def capacity(when):
            return self.weight * (
                self.cold_share + (1 - self.cold_share) * min(1, max(0, when - BORN) / self.cold_duration)
            )

        start = max(at - self.overload_duration, BORN)
        return self.overload_multiple * (capacity(at) + capacity(start)) / 2 * self.overload_duration


def random_plan(rng, router_set, parent):
    routers, users = ROUTER_SETS[router_set]
    users = rng.sample(range(routers), 25) if users is None else users
    kinds = []
    for _ in range(rng.randint(1, 3)):
        budget = rng.randrange(100, 800) * MS
        kinds.append((budget, int(budget * rng.uniform(0.1, 0.9)), rng.randint(1, 5)))
    return Plan(
        routers,
        tuple(range(routers) if parent else users),
        parent,
        rng.uniform(0.08, 0.15 if parent else 0.49),
        rng.randrange(5, 20) * SECOND,
        rng.uniform(2, 2.5),
        rng.randrange(1_000, 1_500) * MS,
        rng.uniform(20, 60) if parent else rng.uniform(3, 16),
        tuple(kinds),
    )


class Router:
    """A router and its restarts; up_at: when it runs and knows of the cache's start."""

    def __init__(self, plan, number, up_at, rate, control_class=Control):
        self.plan, self.number, self.up_at, self.rate, self.control_class = (
            plan,
            number,
            up_at,
            rate,
            control_class,
        )
        self.control, self.restarted_at, self.gone_at = None, -MAX_LIST_DELAY, None
        self.waiting = 0  # requests that were not admitted and are tried again

    def live(self, now):
        """Its Control, created after a start."""
        if self.control is None:
            self.control = self.control_class(self.number, self.plan.terms(self.number))
            cold = interface.Cache(
                "x0",
                "hub" if self.plan.parent else "edge",
                0,
                self.plan.weight,
                BORN,
                interface.READY,
                "parent" if self.plan.parent else "box",
            )
            self.control.decide(now, [interface.CacheList(interface.REMEMBERED, (cold,))])
            if self.restarted_at < 0:  # a router that ran before has measured sending times
                self.control.times.mean_work[:] = [float(work) for _, work, _ in self.plan.kinds]
        self.control.now = now
        return self.control

    def restart(self, now, restart_time):
        """Restarts the router, at most once in a window of overload_duration."""
        if now >= self.restarted_at + self.plan.overload_duration:
            self.control, self.restarted_at, self.up_at = None, now, now + restart_time

    def send(self, now, limit, rng):
        """Sends as many requests as it may, up to the limit; yields the work of each, whatever its end."""
        control = self.live(now)
        cold, mean_work, shares = control.cold, control.times.mean_work, self.plan.kind_shares
        if not cold.affords(0, min(mean_work)):
            return
        while limit > 0:
            kind = rng.choices(range(len(shares)), shares)[0]
            if not cold.affords(0, mean_work[kind]):
                return
            cold.spend(0, mean_work[kind])
            control.times.record_work(kind, self.plan.kinds[kind][1])
            limit -= 1
            yield self.plan.kinds[kind][1]


def play(plan, demand, fault, rng, control_class=Control):
    """Returns (time, work) of every send to the cache while it is cold."""
    step = rng.randrange(10, 15) * MS * (1 if len(plan.users) < 50 else 3)
    fleet = [
        Router(
            plan,
            number,
            BORN + rng.randrange(MAX_LIST_DELAY if fault == "late lists" else 1),
            rng.lognormvariate(0, 1),
            control_class,
        )
        for number in plan.users
    ]
    total = sum(router.rate for router in fleet)
    for router in fleet:  # in sum several times the allowed work, some routers several times the mean
        router.rate *= 2 * plan.overload_multiple * plan.weight / plan.mean_work / total * step
        if fault == "gone" and rng.random() < 0.3:
            router.gone_at = BORN + rng.randrange(plan.cold_duration)
    fault_at = BORN + rng.randrange(plan.overload_duration, plan.cold_duration)
    pause, burst = (
        rng.uniform(0.8, 2.0) * plan.overload_duration,
        1.2 * plan.overload_duration,
    )  # no requests, then all at once
    sends = []
    for now in range(BORN, BORN + plan.cold_duration, step):
        for router in fleet:
            if now < router.up_at or (router.gone_at is not None and now >= router.gone_at):
                continue
            if demand == "in bursts" and (now - fault_at) % (pause + burst) > burst:
                continue
            limit = 99
            if demand == "uneven":
                router.waiting = min(20, router.waiting + router.rate * rng.expovariate(1))
                limit = int(router.waiting)
            works = list(router.send(now, limit, rng)) if limit else ()
            router.waiting -= len(works) if demand == "uneven" else 0
            sends += [(now, work) for work in works]
            if works and fault == "restarts":
                router.restart(now, rng.choice(RESTART_TIMES))
        if fault == "seven in ten killed" and fault_at <= now < fault_at + step:
            for router in rng.sample(fleet, len(fleet) * 7 // 10):
                router.restart(now, rng.choice(RESTART_TIMES[:2]))
    return sends


class WorstWindow(NamedTuple):
    share: float  # of the excess allowed for chance; over 1 the cache is overloaded
    above: float  # requests above the allowed number
    allowed: float  # requests
    at: float  # seconds after the cache's start


def worst_window(plan, sends):
    """The worst window. Only windows that end with a send matter, as the allowed work only increases."""
    worst, oldest, work_sent = WorstWindow(-1e9, 0, 0, 0), 0, 0
    for index, (at, work) in enumerate(sends):
        work_sent += work
        while sends[oldest][0] <= at - plan.overload_duration:
            work_sent -= sends[oldest][1]
            oldest += 1
        if index + 1 == len(sends) or sends[index + 1][0] > at:
            allowed = plan.allowed(at) / plan.mean_work
            above = work_sent / plan.mean_work - allowed
            worst = max(
                worst, WorstWindow(above / (2 * sqrt(allowed) + 2), above, allowed, (at - BORN) / SECOND)
            )
    return worst


def served_share(plan, sends):
    """Work sent, as a share of all that the settings allow while the cache is cold."""
    mean_capacity = plan.weight * (1 + plan.cold_share) / 2
    return sum(work for _, work in sends) / (plan.overload_multiple * mean_capacity * plan.cold_duration)
