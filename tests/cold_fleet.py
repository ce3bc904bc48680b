"""Routers that share one cold cache, under schedules drawn by a seed, and the sum of what they send to it.

Each router is a whole Control over its own beliefs; nothing is told between them. The worst demand is played:
who may send does so at once. Work is counted as the rule has it: each request, refused or not, by its kind's mean.
"""

from math import sqrt
from typing import NamedTuple

from fleet import KINDS, MS, SECOND, terms

from hookrouter import interface
from hookrouter.control import Control

BORN = 1_000_000
LATE = 2 * SECOND  # the latest list
DOWN = (
    0,
    50 * MS,
    200 * MS,
    600 * MS,
)  # how long a restart may take: the sooner, the more turns are open still
PLACES = {  # who shares the cache -> all routers, those that share it
    "20": (20, range(20)),
    "30": (30, range(30)),
    "200": (200, range(200)),
    "25 of 200, every eighth": (200, range(0, 200, 8)),
    "25 of 200, in a row": (200, range(60, 85)),
    "25 of 200, by chance": (200, None),
}
LOCATION = 10  # routers of a location, of those that share a parent


class Plan(NamedTuple):
    routers: int
    users: tuple  # numbers of the routers that share the cache
    parent: bool
    share: float
    span: int
    multiple: float
    fall: int
    weight: float
    kinds: tuple  # (latency budget, mean work, share of the traffic)

    @property
    def parts(self):
        return [part for *_, part in self.kinds]

    @property
    def mean(self):
        return sum(work * part for _, work, part in self.kinds) / sum(self.parts)

    def terms(self, number):
        t = terms()
        top = t.topology._replace(
            number=number,
            routers=self.routers,
            routers_by_zone=(0, LOCATION if self.parent else len(self.users)),
        )
        kinds = tuple(
            KINDS[0]._replace(name=f"k{n}", latency_budget=row[0]) for n, row in enumerate(self.kinds)
        )
        t = t._replace(topology=top, kinds=kinds, overload_duration=self.fall)
        if self.parent:
            return t._replace(
                parent_cold_share=self.share,
                parent_cold_duration=self.span,
                parent_overload_multiple=self.multiple,
            )
        return t._replace(cold_share=self.share, cold_duration=self.span, overload_multiple=self.multiple)

    def allowed(self, at):
        """Work that the settings allow in the window that ends then; what lies before the start counts as at it."""

        def able(when):
            return self.weight * (self.share + (1 - self.share) * min(1, max(0, when - BORN) / self.span))

        since = max(at - self.fall, BORN)
        return self.multiple * (able(at) + able(since)) / 2 * self.fall


def drawn(dice, place, parent):
    routers, users = PLACES[place]
    users = dice.sample(range(routers), 25) if users is None else users
    kinds = []
    for _ in range(dice.randint(1, 3)):
        budget = dice.randrange(100, 800) * MS
        kinds.append((budget, int(budget * dice.uniform(0.1, 0.9)), dice.randint(1, 5)))
    return Plan(
        routers,
        tuple(range(routers) if parent else users),
        parent,
        dice.uniform(0.08, 0.15 if parent else 0.49),
        dice.randrange(5, 20) * SECOND,
        dice.uniform(2, 2.5),
        dice.randrange(1_000, 1_500) * MS,
        dice.uniform(20, 60) if parent else dice.uniform(3, 16),
        tuple(kinds),
    )


class Router:
    """One router's lives; `up`: from when on it runs and knows of the start."""

    def __init__(self, plan, number, up, pace, of=Control):
        self.plan, self.number, self.up, self.pace, self.of = plan, number, up, pace, of
        self.control, self.restarted, self.gone = None, -LATE, None
        self.waiting = 0  # requests that found no turn: they come again

    def live(self, now):
        """Its Control, begun where it is new."""
        if self.control is None:
            self.control = self.of(self.number, self.plan.terms(self.number))
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
            if self.restarted < 0:  # a life that ran before has learned what its requests take
                self.control.times.mean_work[:] = [float(work) for _, work, _ in self.plan.kinds]
        self.control.now = now
        return self.control

    def restart(self, now, down):
        """Once in a window at most: more often no process comes up."""
        if now >= self.restarted + self.plan.fall:
            self.control, self.restarted, self.up = None, now, now + down

    def send(self, now, most, dice):
        """As many as it may, up to that; the work of each. Whatever their end, they are spent."""
        control = self.live(now)
        cold, mean_work, parts = control.cold, control.times.mean_work, self.plan.parts
        if not cold.affords(0, min(mean_work)):
            return
        while most > 0:
            kind = dice.choices(range(len(parts)), parts)[0]
            if not cold.affords(0, mean_work[kind]):
                return
            cold.spend(0, mean_work[kind])
            control.times.record_work(kind, self.plan.kinds[kind][1])
            most -= 1
            yield self.plan.kinds[kind][1]


def play(plan, demand, trouble, dice, of=Control):
    """Every send to the cold cache while it is cold: (when, work)."""
    step = dice.randrange(10, 15) * MS * (1 if len(plan.users) < 50 else 3)
    fleet = [
        Router(
            plan,
            number,
            BORN + dice.randrange(LATE if trouble == "late lists" else 1),
            dice.lognormvariate(0, 1),
            of,
        )
        for number in plan.users
    ]
    total = sum(r.pace for r in fleet)
    for r in fleet:  # several times what the cache may get, some routers several times the mean
        r.pace *= 2 * plan.multiple * plan.weight / plan.mean / total * step
        if trouble == "gone" and dice.random() < 0.3:
            r.gone = BORN + dice.randrange(plan.span)
    storm = BORN + dice.randrange(plan.fall, plan.span)
    quiet, rush = dice.uniform(0.8, 2.0) * plan.fall, 1.2 * plan.fall  # all hold back, then all come at once
    sends = []
    for now in range(BORN, BORN + plan.span, step):
        for r in fleet:
            if now < r.up or (r.gone is not None and now >= r.gone):
                continue
            if demand == "in bursts" and (now - storm) % (quiet + rush) > rush:
                continue
            most = 99
            if demand == "uneven":
                r.waiting = min(20, r.waiting + r.pace * dice.expovariate(1))
                most = int(r.waiting)
            got = list(r.send(now, most, dice)) if most else ()
            r.waiting -= len(got) if demand == "uneven" else 0
            sends += [(now, work) for work in got]
            if got and trouble == "restarts":
                r.restart(now, dice.choice(DOWN))
        if trouble == "seven in ten killed" and storm <= now < storm + step:
            for r in dice.sample(fleet, len(fleet) * 7 // 10):
                r.restart(now, dice.choice(DOWN[:2]))
    return sends


class Worst(NamedTuple):
    share: float  # of what the rule leaves to chance; over 1 the cache falls
    above: float  # requests above N
    n: float
    at: float  # seconds after its start


def worst(plan, sends):
    """The worst window: those that end with a send hold all others, as N only rises."""
    seen, first, got = Worst(-1e9, 0, 0, 0), 0, 0
    for k, (at, work) in enumerate(sends):
        got += work
        while sends[first][0] <= at - plan.fall:
            got -= sends[first][1]
            first += 1
        if k + 1 == len(sends) or sends[k + 1][0] > at:
            n = plan.allowed(at) / plan.mean
            above = got / plan.mean - n
            seen = max(seen, Worst(above / (2 * sqrt(n) + 2), above, n, (at - BORN) / SECOND))
    return seen


def served(plan, sends):
    """Share of all that the settings allow over the cold time."""
    mid = plan.weight * (1 + plan.share) / 2
    return sum(work for _, work in sends) / (plan.multiple * mid * plan.span)
