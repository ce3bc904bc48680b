"""What one cache is to be filled with, in which order and from where.

Greedy by density (Dantzig, 1957): worth gained for each unit of what is scarce. Worth is lookups satisfied
here a second, times what a hit is worth; the scarce thing is the dearest of the target's cold room, the
source's room and the link. Steps are of so many names each, so progress can be told by their number.
"""

from typing import NamedTuple

from . import words as w
from .rank import hashed, rank
from .stay import stay

STEP = 16  # names: what a successor may repeat
HORIZON = 300_000  # 30 s: lookups so far ahead count; a copy that is not asked for by then may wait
LEAST_ASKS = 0.5  # within the horizon or the copy's freshness: below it most fills are for nothing
SECOND = 0.1  # of a name's lookups come to its second candidate: the router's lead is two to one
LEAST_FAR = 3.0  # the same where it comes from a parent: that may have to ask the origin, sooner than needed
TAIL = 1_000_000  # bytes: what is larger must be asked for in proportion, or it shuts out a hundred others
FIXED = 20_000  # bytes: what a fill costs beside its size
LEAST_SIZE = 0.25  # of the mean size: a name said to be tiny is not let past all others
MOST_NAMES = 4_096


class Kind(NamedTuple):
    """repeatable: a fill of it does nothing but fill."""

    repeatable: bool
    candidates: int  # caches that keep a name of it
    fresh: int  # tenths of a millisecond, 0: until purged
    utility: float


class Scene(NamedTuple):
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


class Entry(NamedTuple):
    name: tuple
    group: int
    size: int
    source: str | None
    density: float
    purge: tuple


def make(scene, borrowed, purged, already=frozenset(), most=MOST_NAMES):
    """Entries in order. already: names that a former owner is known to have done."""
    wanted = borrowed.sum()
    sizes = [one.size for one in wanted.values() if one.size]
    floor = LEAST_SIZE * sum(sizes) / len(sizes) if sizes else 0.0
    kept = [(one, part, max(one.size, floor)) for one in wanted.values() if (part := place(scene, one.name))]
    horizon = HORIZON
    if scene.room:  # a copy that is asked for less often than it stays only shuts out others
        horizon = min(HORIZON, stay([(one.rate * part, size) for one, part, size in kept], scene.room))
    struck, rows = purged.struck([one for one, _, _ in kept]), []
    for one, part, size in kept:
        kind, name = scene.kinds[one.name[0]], one.name
        if name in struck or name in already or not gains(scene, name, kind.candidates):
            continue
        asks, source = one.rate * part * min(horizon, kind.fresh or horizon), best_source(scene, name)
        least = LEAST_ASKS if source in scene.warm else LEAST_FAR
        if asks < least * max(1.0, size / TAIL):
            continue
        cost = max(scene.prices[0] * (FIXED + size), scene.prices[1] * FIXED, scene.prices[2] * size)
        entry = Entry(name, one.group, int(size), source, asks * kind.utility / cost, one.purge)
        rows.append((entry, cost, one))
    rows.sort(key=lambda row: (-row[0].density, row[0].name))
    return charged(rows, len(borrowed.lists), most)


def place(scene, name):
    """The part of a name's lookups that come to the target: most of them as its top candidate, few as the
    second, none as neither, or of a kind that may not be repeated.
    """
    kind = scene.kinds.get(name[0])
    if kind is None or not kind.repeatable:
        return 0.0
    found = rank(hashed(name[1], name[2]), scene.after)[: kind.candidates]
    return 0.0 if scene.target not in found else 1.0 if found[0] == scene.target else SECOND


def gains(scene, name, candidates):
    """Whether the target keeps that name now, and did not before or as the second only."""
    key = hashed(name[1], name[2])
    after, before = rank(key, scene.after)[:candidates], rank(key, scene.before)[:candidates]
    return scene.target in after and (scene.target not in before or (after[0] == scene.target != before[0]))


def best_source(scene, name):
    """The neighbour that was its top candidate, the parent that tops the same hash, None: the origin's way.

    Its second candidate has it too seldom to be asked: a copy there is made only where the top was busy.
    """
    key = hashed(name[1], name[2])
    if scene.siblings:
        top = rank(key, scene.past or scene.before)[:1]
        if top and top[0] in scene.warm and top[0] != scene.target:
            return top[0]
    return rank(key, scene.parents)[0] if scene.parents else None


def charged(rows, lenders, most):
    """What one lender alone asks for may cost as much as the others' part of what several ask for: so of L
    lenders one that lies fills at most 1/L of the plan with what nobody wants, and one step beside.
    """
    shared = sum(cost for _, cost, one in rows if len(one.by) > 1)
    mean = sum(cost for _, cost, _ in rows) / max(1, len(rows))
    share, spent, found = max(shared / max(1, lenders - 1), STEP * mean), {}, []
    for entry, cost, one in rows:
        if len(found) >= most:
            break
        if len(one.by) == 1 and lenders > 1:
            lender = next(iter(one.by))
            spent[lender] = spent.get(lender, 0.0) + cost
            if spent[lender] > share:
                continue
        found.append(entry)
    return found


def in_steps(entries, size=STEP):
    return [entries[k : k + size] for k in range(0, len(entries), size)][: w.MOST_STEPS]
