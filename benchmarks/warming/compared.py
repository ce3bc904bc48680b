"""The same day with warming, without, and with an ideal that has all copies at once."""

from hookrouter.lab.theory import che_hits, zipf

from .location import SIZE, Location
from .owner import Pool

WARM_UP, AFTER, SECOND = 600_000, 200_000, 10_000
WITH, WITHOUT, IDEAL = "with", "without", "ideal"


def replaced(seed, how, count=1, within=70_000, heirs=False, **more):
    """(location, pool, began): so many caches replaced within that time, each by one of another id."""
    location = Location(seed, **more)
    pool = Pool(location)
    for k in range(count):
        at = WARM_UP + k * within // count
        location.engine.after(at, replace, location, pool, how, f"c{k}", f"d{k}", heirs)
    location.start(WARM_UP + AFTER)
    location.engine.run(WARM_UP + AFTER + SECOND)
    return location, pool, WARM_UP


def replace(location, pool, how, old, new, heirs):
    before = tuple(location.caches)
    gone = location.caches[old]
    location.replace(old, new)
    after = tuple(location.caches)
    left = tuple(name for name in before if name != old)
    if how == IDEAL:
        copies(location, gone, before)
    if how != WITH:
        return
    pool.warm(new, left, after)
    for name in left if heirs else ():
        if not location.caches[name].cold(location.engine.now) and name not in pool.owners:
            pool.warm(name, before, after)


def copies(location, gone, before):
    """All that the caches held goes to whom it belongs now, at once and for nothing."""
    held = {n: row for server in (*location.caches.values(), gone) for n, row in server.copies.rows.items()}
    order = sorted(held, key=lambda n: -location.weights[n])
    for n in reversed(order):
        server = location.caches[location.candidates(n)[0]]
        server.copies.keep(n, *held[n])


def handed_over(seed):
    """(fills from a source again, all of them, names asked for again): an owner killed one second in, its
    successor granted a second later.
    """
    location = Location(seed)
    pool = Pool(location)
    location.engine.after(WARM_UP, replace, location, pool, WITH, "c0", "d0", False)

    def kill():
        owner = pool.owners["d0"]
        owner.kill()
        location.engine.after(SECOND, pool.warm, "d0", owner.before, owner.after, owner.done)

    location.engine.after(WARM_UP + SECOND, kill)
    location.start(WARM_UP + 6 * SECOND)
    location.engine.run(WARM_UP + 8 * SECOND)
    return (
        sum(count - 1 for count in pool.filled.values()),
        sum(pool.filled.values()),
        sum(count - 1 for count in pool.tried.values()),
    )


def che(seed=1):
    """(measured, by theory): one cache's hit share, equal sizes, calm, before this world judges anything."""
    location = Location(seed, caches=1, names=3_000, room=300 * SIZE, equal=True, rate=0.08)
    location.candidates = lambda n: ("c0", "c0")
    location.start(1_200_000)
    location.engine.run(1_210_000)
    return location.hit_share(None, 300_000, 1_200_000), che_hits(zipf(3_000, 0.9), 300)
