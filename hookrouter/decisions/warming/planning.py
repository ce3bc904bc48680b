"""What one cache is to be filled with, in which order and from where.

Greedy by density (Dantzig, 1957): worth gained for each unit of what is scarce. Worth is lookups satisfied
here a second, times what a hit is worth; the scarce thing is the dearest of the target's cold room, the
source's room and the link. Steps are of so many names each, so progress can be told by their number.
"""

from typing import NamedTuple

from . import messages
from .rank import hash_key, rank
from .residence_time import residence_time

STEP_SIZE = 16  # names: what a successor may repeat
HORIZON = 300_000  # 30 s: lookups so far ahead count; a copy that is not asked for by then may wait
MIN_LOOKUPS = 0.5  # within the horizon or the copy's freshness: below it most fills are for nothing
# of a name's lookups come to its second candidate: the router's lead is two to one
SECOND_CANDIDATE_SHARE = 0.1
# the same where it comes from a parent: that may have to ask the origin, sooner than needed
MIN_LOOKUPS_VIA_PARENT = 3.0
# bytes: what is larger must be asked for in proportion, or it shuts out a hundred others
LARGE_SIZE = 1_000_000
FIXED_COST = 20_000  # bytes: what a fill costs beside its size
MIN_SIZE_RATIO = 0.25  # of the mean size: a name said to be tiny is not let past all others
MAX_NAMES = 4_096


class Kind(NamedTuple):
    """repeatable: a fill of it does nothing but fill."""

    repeatable: bool
    candidates: int  # caches that keep a name of it
    fresh_duration: int  # tenths of a millisecond, 0: until purged
    utility: float


class LocationState(NamedTuple):
    """The location as it is: ids. before: its caches without the change that makes target's warming needed;
    after: with it. A cache that starts is only in after; an heir is in both, who leaves is in before only.
    """

    target: str
    before: tuple
    after: tuple
    warm: frozenset  # caches that may be sources: ready, not cold, not draining, not being warmed
    parents: tuple  # ready and not cold
    kinds: dict  # name -> Kind
    siblings: bool = True  # whether the platform lets a cache fill from one of its location
    past: tuple = ()  # the location's caches half a minute ago, where not as before: who has copies by now
    room: int = 0  # bytes that the target keeps, 0 where not told
    prices: tuple = (1.0, 1.0, 1.0)  # of cold room, source's room, link: the dearest decides


class PlanEntry(NamedTuple):
    name: tuple
    group: int
    size: int
    source: str | None
    density: float
    purge: tuple


def make_plan(location, borrowed, purged, already=frozenset(), max_names=MAX_NAMES):
    """Entries in order. already: names that a former owner is known to have done."""
    wanted = borrowed.combined()
    sizes = [popular.size for popular in wanted.values() if popular.size]
    floor = MIN_SIZE_RATIO * sum(sizes) / len(sizes) if sizes else 0.0
    candidates_kept = [
        (popular, share, max(popular.size, floor))
        for popular in wanted.values()
        if (share := lookup_share(location, popular.name))
    ]
    horizon = HORIZON
    if location.room:  # a copy that is asked for less often than it stays only shuts out others
        horizon = min(
            HORIZON,
            residence_time(
                [(popular.rate * share, size) for popular, share, size in candidates_kept], location.room
            ),
        )
    purged_names, rows = purged.purged_among([popular for popular, _, _ in candidates_kept]), []
    for popular, share, size in candidates_kept:
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
    """The part of a name's lookups that come to the target: most of them as its top candidate, few as the
    second, none as neither, or of a kind that may not be repeated.
    """
    kind = location.kinds.get(name[0])
    if kind is None or not kind.repeatable:
        return 0.0
    chosen = rank(hash_key(name[1], name[2]), location.after)[: kind.candidates]
    return (
        0.0
        if location.target not in chosen
        else 1.0
        if chosen[0] == location.target
        else SECOND_CANDIDATE_SHARE
    )


def newly_kept(location, name, candidates):
    """Whether the target keeps that name now, and did not before or as the second only."""
    key = hash_key(name[1], name[2])
    after, before = rank(key, location.after)[:candidates], rank(key, location.before)[:candidates]
    return location.target in after and (
        location.target not in before or (after[0] == location.target != before[0])
    )


def best_source(location, name):
    """The neighbour that was its top candidate, the parent that tops the same hash, None: the origin's way.

    Its second candidate has it too seldom to be asked: a copy there is made only where the top was busy.
    """
    key = hash_key(name[1], name[2])
    if location.siblings:
        top = rank(key, location.past or location.before)[:1]
        if top and top[0] in location.warm and top[0] != location.target:
            return top[0]
    return rank(key, location.parents)[0] if location.parents else None


def within_lender_shares(rows, lenders, max_names):
    """What one lender alone asks for may cost as much as the others' part of what several ask for: so of L
    lenders one that lies fills at most 1/L of the plan with what nobody wants, and one step beside.
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
    return [entries[k : k + size] for k in range(0, len(entries), size)][: messages.MAX_STEPS]
