"""Plans the fills of one cache: which names, in which order and from which source.

Greedy by density (Dantzig, 1957): the gain per unit of the scarce resource. The gain is the number of lookups
satisfied at the cache, times the value of a hit; the scarce resource is the most expensive of the target's
cold capacity, the source's capacity and the link. Steps contain a fixed number of names, so that progress can
be told by a step's number.
"""

from typing import NamedTuple

from . import messages
from .rank import hash_key, rank
from .residence_time import residence_time

STEP_SIZE = 16  # names: the most that a successor may fill again
HORIZON = 300_000  # 30 s: lookups up to then count; a copy needed later can be filled later
MIN_LOOKUPS = 0.5  # within the horizon or the copy's freshness: with fewer, most fills are useless
# part of a name's lookups that its second candidate gets, as a router's lead is up to two to one
SECOND_SHARE = 0.1
# MIN_LOOKUPS of a fill from a parent, which may have to ask the origin sooner than necessary
MIN_LOOKUPS_VIA_PARENT = 3.0
# Bytes. A larger object needs proportionally more lookups, since it displaces a hundred others.
LARGE_SIZE = 1_000_000
FIXED_COST = 20_000  # bytes: the cost of a fill besides its size
# of the mean size, so that a name with a falsely small size does not precede all others
MIN_SIZE_RATIO = 0.25
MAX_NAMES = 4_096


class Kind(NamedTuple):
    """What the planner has to know of an object kind. repeatable: a fill has no side effect."""

    repeatable: bool
    candidates: int  # caches that keep a name of this kind
    fresh_duration: int  # tenths of a millisecond, 0: until purged
    utility: float


class LocationState(NamedTuple):
    """The caches of the location, by id. before: without the change that calls for the warming of target;
    after: with it. A cache that starts is in after only, one that takes over names in both, one that leaves
    in before only.
    """

    target: str
    before: tuple
    after: tuple
    warm: frozenset  # possible sources: ready, neither cold nor draining nor being warmed
    parents: tuple  # ready and not cold
    kinds: dict  # name -> Kind
    siblings: bool = True  # whether the platform lets a cache fill from another one of its location
    past: tuple = ()  # the caches half a minute ago, where not as before: these have the copies by now
    room: int = 0  # capacity of the target in bytes, 0 where unknown
    prices: tuple = (1.0, 1.0, 1.0)  # of cold capacity, source capacity and link: the highest cost decides


class PlanEntry(NamedTuple):
    """A planned fill; purge: the (epoch, number) up to which purges are taken account of."""

    name: tuple
    group: int
    size: int
    source: str | None
    density: float
    purge: tuple


def make_plan(location, borrowed, purged, already=frozenset(), max_names=MAX_NAMES):
    """Returns the entries of the plan in order. already: names that a former owner is known to
    have filled.
    """
    wanted = borrowed.combined()
    sizes = [popular.size for popular in wanted.values() if popular.size]
    floor = MIN_SIZE_RATIO * sum(sizes) / len(sizes) if sizes else 0.0
    kept = [
        (popular, share, max(popular.size, floor))
        for popular in wanted.values()
        if (share := lookup_share(location, popular.name))
    ]
    horizon = HORIZON
    # a copy with a longer interval between lookups than its residence time only displaces others
    if location.room:
        horizon = min(
            HORIZON,
            residence_time([(popular.rate * share, size) for popular, share, size in kept], location.room),
        )
    purged_names, rows = purged.purged_among([popular for popular, _, _ in kept]), []
    for popular, share, size in kept:
        kind, name = location.kinds[popular.name[0]], popular.name
        if name in purged_names or name in already or not newly_kept(location, name, kind.candidates):
            continue
        lookups, source = (
            popular.rate * share * min(horizon, kind.fresh_duration or horizon),
            best_source(location, name),
        )
        min_lookups = MIN_LOOKUPS if source in location.warm else MIN_LOOKUPS_VIA_PARENT
        if lookups < min_lookups * max(1.0, size / LARGE_SIZE):
            continue
        cost = max(
            location.prices[0] * (FIXED_COST + size),
            location.prices[1] * FIXED_COST,
            location.prices[2] * size,
        )
        entry = PlanEntry(
            name, popular.group, int(size), source, lookups * kind.utility / cost, popular.purge
        )
        rows.append((entry, cost, popular))
    rows.sort(key=lambda row: (-row[0].density, row[0].name))
    return within_lender_shares(rows, len(borrowed.lists), max_names)


def lookup_share(location, name):
    """Returns the part of a name's lookups that reach the target: most as its top candidate, few as its
    second, and none otherwise or for a kind that is not repeatable.
    """
    kind = location.kinds.get(name[0])
    if kind is None or not kind.repeatable:
        return 0.0
    chosen = rank(hash_key(name[1], name[2]), location.after)[: kind.candidates]
    return 0.0 if location.target not in chosen else 1.0 if chosen[0] == location.target else SECOND_SHARE


def newly_kept(location, name, candidates):
    """Returns whether the target keeps the name now and did not before, or only as its second candidate."""
    key = hash_key(name[1], name[2])
    after, before = rank(key, location.after)[:candidates], rank(key, location.before)[:candidates]
    return location.target in after and (
        location.target not in before or (after[0] == location.target != before[0])
    )


def best_source(location, name):
    """Returns the neighbour that was the name's top candidate, else the parent that is top by the same hash,
    or None for the origin.

    The second candidate is not asked: it has a copy only where the top one was busy.
    """
    key = hash_key(name[1], name[2])
    if location.siblings:
        top = rank(key, location.past or location.before)[:1]
        if top and top[0] in location.warm and top[0] != location.target:
            return top[0]
    return rank(key, location.parents)[0] if location.parents else None


def within_lender_shares(rows, lenders, max_names):
    """Returns the entries, limiting those that only one lender asks for to the cost of the others' part of
    what several ask for. So of L lenders a false one fills at most 1/L of the plan, and one step more, with
    useless names.
    """
    shared = sum(cost for _, cost, popular in rows if len(popular.rate_by_lender) > 1)
    mean = sum(cost for _, cost, _ in rows) / max(1, len(rows))
    allowed, spent, chosen = max(shared / max(1, lenders - 1), STEP_SIZE * mean), {}, []
    for entry, cost, popular in rows:
        if len(chosen) >= max_names:
            break
        if len(popular.rate_by_lender) == 1 and lenders > 1:
            lender = next(iter(popular.rate_by_lender))
            spent[lender] = spent.get(lender, 0.0) + cost
            if spent[lender] > allowed:
                continue
        chosen.append(entry)
    return chosen


def in_steps(entries, size=STEP_SIZE):
    """Splits the entries into steps."""
    return [entries[k : k + size] for k in range(0, len(entries), size)][: messages.MAX_STEPS]
