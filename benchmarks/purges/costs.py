"""What purges cost: a lookup, starting anew, and objects whose tags are not known."""

import random
import statistics
import tempfile
import time

from hookrouter import interface
from hookrouter.control import Control
from hookrouter.node.start import read_start
from hookrouter.purges import Guard, Purge, PurgeTerms, types
from hookrouter.stores import PurgeLog

SECOND = 10_000


# ---- what a lookup costs


def control(guard):
    start = read_start({"EDGE_CONFIG": "docs/example.json"})
    listed = start.known[0].caches
    box = next(cache for cache in listed if cache.machine_type == "box")
    caches = [cache for cache in listed if cache is not box]
    caches += [box._replace(id=f"c{n}") for n in range(10)]
    made = Control(1, start.terms, guard)
    made.decide(SECOND, [interface.CacheList(interface.REMEMBERED, tuple(caches))])
    return made


def guard_of(count):
    """With so many live purges, a tenth of them patterns, and a lease."""
    guard = Guard(PurgeTerms(2 * SECOND, 86_400 * SECOND, 5_000, 200, types.YOUNG, 100_000, 50_000))
    guard.granted(0, 1 << 60)
    for n in range(count):
        if n % 10:
            kind, what = ((types.OBJECT, f"{n:016x}"), (types.TAG, f"t{n}"))[n % 2]
        else:
            kind, what = (
                (types.PREFIX, f"clip/{n:05x}"),
                (types.GLOB, f"*/{n:04x}*"),
                (types.REGEX, f"clip/{n:04x}[0-9a-f]+"),
            )[n // 10 % 3]
        guard.told(n, Purge(1, n + 1, n, kind, what))
    return guard


def lookups(made, guard, names, at):
    """Seconds for these lookups; an object is of one group."""
    asked = [(name, int(name, 16) % 256) for name in names]
    began = time.perf_counter()
    for n, (name, group) in enumerate(asked):
        now = 100 * SECOND + at + n
        lookup = interface.Lookup(at + n, "clip", name, n % 5, group, 400.0, now + 4 * SECOND, False)
        send = next(e for e in made.decide(now, [lookup]) if isinstance(e, (interface.Ask, interface.Obtain)))
        if guard is not None:
            guard.at(now)
            guard.refused(now, now, "clip", name, group, now - 10, ("red",))
            guard.learn(name, now - 10, ("red",))
        made.decide(
            now + 50,
            [interface.SendEnd(at + n, 0, interface.SATISFIED, interface.FOUND, True, 50, send.cache, None)],
        )
    return time.perf_counter() - began


def lookup_cost(rounds):
    """The same lookups in turns: the feature off, on with no live purge, and with 10,000, 1,000 of them
    patterns.
    """
    dice, size, at = random.Random(5), 1_000, 0
    guards = [None, guard_of(0), guard_of(10_000)]
    controls, times = [control(guard) for guard in guards], []
    for _ in range(rounds * 6):
        names = [f"{int(dice.paretovariate(0.5)) % 50_000:016x}" for _ in range(size)]
        times.append([lookups(made, guard, names, at) for made, guard in zip(controls, guards)])
        at += size

    def ratio(one, other):
        return round(statistics.median(row[one] / row[other] for row in times), 3)

    return {
        "lookup_cost_ratio": ratio(2, 1),
        "lookup_cost_ratio_to_off": ratio(2, 0),
        "lookup_us_off": round(statistics.median(row[0] for row in times) / size * 1e6, 1),
        "live_purges": len(guards[2].index),
        "live_patterns": len(guards[2].index.patterns),
    }


# ---- starting anew, and objects whose tags are not known


def recovery(count):
    from hookrouter.purges.tail import Tail

    folder = tempfile.mkdtemp(prefix="purges-")
    log = PurgeLog(f"{folder}/purges.db")
    log.load()
    for start in range(0, count, 4_000):
        log.append(
            [
                (Purge(1, n, n, types.OBJECT, f"{n:016x}"), f"k{n}")
                for n in range(start + 1, min(count, start + 4_000) + 1)
            ]
        )
    log.close()
    began = time.perf_counter()
    log = PurgeLog(f"{folder}/purges.db", must_exist=True)
    loaded, tail, keys = log.load(), Tail(1 << 60, 2), {}
    for purge, key in loaded.rows:
        tail.add(purge)
        keys[key] = (purge,)
    took = time.perf_counter() - began
    log.close()
    return {"recovery_s_per_million": round(took * 1_000_000 / count, 2)}


def unknown_tags(count):
    """Lookups of one router over its caches: fills with every object's tags known, and with none known."""
    fills = []
    for known in (True, False):
        dice = random.Random(7)
        guard = Guard(
            PurgeTerms(2 * SECOND, 86_400 * SECOND, 5_000, 200, types.YOUNG, 10_000, 10_000 * known)
        )
        guard.granted(0, 1 << 60)
        copies, now, filled, next_purge = {}, SECOND, 0, 0
        for n in range(count):
            now += 100  # a hundred lookups a second
            if now >= next_purge:  # a tag of 200 is purged each ten seconds
                guard.told(now, Purge(1, n, now, types.TAG, f"t{dice.randrange(200)}"))
                next_purge = now + 10 * SECOND
            number = int(dice.paretovariate(0.8)) % 20_000
            name = f"{number:x}"
            if copies.get(name, -1) < guard.oldest(now, "page", name, 1):
                filled += 1
                copies[name] = now + 500
                guard.learn(name, now + 500, (f"t{number % 200}",))
        fills.append(filled)
    return {
        "unknown_tags_extra_fills": round((fills[1] - fills[0]) / count, 4),
        "fills_with_tags": round(fills[0] / count, 4),
    }
