"""Checks of spread's parts, each in words of what is wrong; and which of them a mistake is found by."""

import msgspec

from hookrouter import interface
from hookrouter.decisions.spread import Spread, SpreadTerms
from hookrouter.decisions.spread.load_estimates import MAX_MOVE, LoadEstimates
from hookrouter.decisions.spread.shares import Shares
from hookrouter.decisions.spread.trickle import MAX_WAIT, STEP, Trickle

from . import shares_model, shares_world
from .world import Summary

SECOND = 10_000
encode = msgspec.msgpack.Encoder().encode
SEEDS = tuple(range(12))
NONE = shares_model.Bounds(crashes=0, lost=0, doubled=0, pauses=0, drifts=0)
QUICK = (
    NONE._replace(drifts=2),
    NONE._replace(doubled=1, crashes=1),
    NONE._replace(pauses=1, lost=1),
    NONE._replace(doubled=1, pauses=1, drifts=1, ticks=6),
)
FULL = (*QUICK, NONE._replace(crashes=1, lost=1, doubled=1, pauses=1, drifts=2, ticks=6))
TERMS = SpreadTerms(number=0, routers=100)
ALL = tuple(f"c{n}" for n in range(10))


def summary(cache, out, age=0, doubted=False):
    return Summary(cache, out, 0.0, age, 99, 99, doubted)


def told(make, level=10.0):
    """Ten caches, told to be alike long enough."""
    busy = make(TERMS)
    for cache in ALL:
        busy.listed(cache, 1.0)
    for step in range(50):
        for cache in ALL:
            busy.record(step * 2_000, summary(cache, level))
    return busy, 49 * 2_000


def liar_moves(make=LoadEstimates):
    """The most that one false saying moves a level, over the mean."""
    busy, now = told(make)
    busy.record(now + 2_000, summary("c1", 1e9))
    up = busy.others("c1", now + 2_000) - 10.0
    busy, now = told(make)
    busy.record(now + 2_000, summary("c2", 0.0))
    return max(up, 10.0 - busy.others("c2", now + 2_000)) / 10.0


def busy_wrong(make=LoadEstimates):
    busy, now = told(make)
    if abs(busy.others("c1", now) - 10.0) > 0.5:
        return "a level that all tell is not believed"
    if liar_moves(make) > MAX_MOVE + 0.01:
        return "one saying moves more than its bound"
    busy.record(now + 2_000, summary("c3", 1.0, age=4_000))
    if busy.others("c3", now + 2_000) != busy.others("c4", now + 2_000):
        return "older news than those at hand are believed"
    first, second = told(make), told(make)
    first[0].record(now + 2_000, summary("c1", 14.0))
    second[0].record(now + 2_000, summary("c1", 14.0, doubted=True))
    if second[0].others("c1", now + 2_000) >= first[0].others("c1", now + 2_000):
        return "doubted news weigh as much as others"
    if busy.others("c1", now + 2_000 + TERMS.silent_after + 1) is not None:
        return "what nobody tells any more is still believed"
    if risen(make) < 5.0:
        return "from rest no level rises"
    return swings(make)


def risen(make):
    """A level that was none, some seconds after all have load."""
    busy, now = told(make, 0.0)
    for step in range(1, 40):
        for cache in ALL:
            busy.record(now + step * 2_000, summary(cache, 10.0))
    return busy.others("c1", now + 80_000)


def swings(make):
    """News 3 s old of two caches whose load is what all do by it: it must come to rest."""
    busy = make(TERMS)
    for cache in ALL:
        busy.listed(cache, 1.0)
    past, ends = [(30.0, 0.0)], []
    for step in range(200):
        now = step * 2_000
        one, other = past[max(0, len(past) - 15)]
        busy.record(now, summary("c1", one, age=min(now, 30_000)))
        busy.record(now, summary("c2", other, age=min(now, 30_000)))
        levels = busy.others("c1", now) or 15.0, busy.others("c2", now) or 15.0
        part = min(1.0, max(0.0, 0.5 - 1.5 * (levels[0] - levels[1]) / max(1.0, sum(levels))))
        past.append((30.0 * part, 30.0 * (1 - part)))
        ends.append(part)
    last = ends[-60:]
    return "old news make it swing" if max(last) - min(last) > 0.3 else None


def trickle_wrong(make=Trickle, count=60):
    names = tuple(f"r{n}" for n in range(count))
    members = [make(name) for name in names]
    for member in members:
        member.set_members(names)
        member.observe(0, "c", True)
    early = [m for m in members if m.tries("c", STEP - 1)]
    if len(early) > 1:
        return f"{len(early)} try a cache set aside before anybody told"
    if sum(m.tries("c", 2 * STEP - 1) for m in members) > 2:
        return "more try than the order lets"
    for member in members:
        member.receive(STEP, "c", True, 10)
    if not all(m.tries("c", STEP) for m in members):
        return "it was told to be well, and some do not try it"
    members = [make(name) for name in names]
    for member in members:
        member.set_members(names)
        member.observe(0, "c", True)
    for now in range(0, MAX_WAIT, 1_000):
        for member in members:
            member.receive(now, "c", False, 1)
    if not all(m.tries("c", MAX_WAIT) for m in members):
        return "a liar keeps a cache idle"
    return None


def spread_wrong(make=Spread):
    spread = make(TERMS, ("r0", 1), 1, 0)
    spread.listed(0, [interface.Cache(c, "z", 0, 1.0, 0, interface.READY, "box") for c in ALL])
    for cache in ALL:
        spread.news(0, summary(cache, 10.0))
    before = spread.others("c1", 0)
    for _ in range(5):
        spread.sent("c1", 0, 1.0)
    return None if spread.others("c1", 0) == before else "own sends are counted among the others'"


def shares_wrong(make=Shares, seeds=SEEDS):
    for seed in seeds:
        wrong = shares_world.broken(seed, make)[0]
        if wrong:
            return wrong[0]
    return next((wrong for bounds in QUICK if (wrong := shares_model.explore(bounds, make)[1])), None)


CHECKS = (
    (Shares, shares_wrong),
    (LoadEstimates, busy_wrong),
    (Trickle, trickle_wrong),
    (Spread, spread_wrong),
)


def found(make):
    """What the checks say of it, or None."""
    return next(check(make) for base, check in CHECKS if issubclass(make, base))
