"""What routers share: bytes and error by size in made-up time, a liar beside its bound, mistakes, ways."""

from concurrent.futures import ProcessPoolExecutor
from math import exp, log
from random import Random
from sys import getsizeof

from hookrouter.decisions.sharing import LoadTable, protocol

from . import seeded
from .sharing_world import SECOND, Node, World, bound, encode, found, lied, sayings, taken_over, trial

CACHES = 20
ZONES = 2  # of a fleet, half of it each
SPARSE = 1.5  # sends of one router to one cache in 2 s, as one of a zone of 100 sees it
TOOK = 0.05  # seconds of one send
HIGH = 60  # no router's own sends to one cache are beyond it


def poisson(dice, mean):
    left, n = exp(-mean), 0
    product = dice.random()
    while product > left:
        product *= dice.random()
        n += 1
    return n


def warm(seed, count):
    """A zone whose members know each other, each with some sends by chance."""
    world = World(seed, count, caches=CACHES, terms=protocol.Terms())
    dice = Random(seed)
    world.look = lambda: None
    world.seen = lambda: None
    for node in world.nodes:
        node.life, node.up = 1, True
        node.loads = {f"edge-{n}": _load(dice) for n in range(CACHES)}
        node.core = world.make(world.terms, node.name, 1, dice.randrange(1 << 30))
        node.offset = dice.randrange(1 << 40)
    for node in world.nodes:
        node.core.take(node.clock(), protocol.LivingRouters(world.zone()))
        Node.tick(node, node.generation)
    return world


def _load(dice):
    rate = poisson(dice, SPARSE) / 2
    return rate * TOOK, rate


def told(count, seconds=8):
    """(bytes a member and second, error of sums p50 and p99, age s, kB kept a member) of a fleet that big."""
    world = warm(1, max(2, count // ZONES))
    world.run(3)
    before = world.bytes
    world.run(seconds - 3)
    errors, ages = [], []
    for node in world.nodes[:40]:
        for cache in node.loads:
            summary, want = node.core.summary(cache), world.exact(node, cache, 1)
            if summary is not None and want:
                errors.append(abs(summary.others_rate - want) / want)
                ages.append(summary.age / SECOND)
    errors.sort()
    return {
        "bytes": round((world.bytes - before) / len(world.nodes) / (seconds - 3)),
        "error_p50": round(errors[len(errors) // 2], 4),
        "error_p99": round(errors[int(0.99 * len(errors))], 4),
        "age_s": round(sum(ages) / len(ages), 2),
        "kept_kb": round(max(kept(node.core) for node in world.nodes) / 1_000),
    }


def kept(core):
    """Bytes of the board and of those it speaks for."""
    total, seen, left = 0, set(), [core.table.reporters, core.member_loads.rows]
    while left:
        made = left.pop()
        if id(made) in seen:
            continue
        seen.add(id(made))
        total += getsizeof(made)
        if isinstance(made, dict):
            left += [*made.keys(), *made.values()]
        elif isinstance(made, tuple | list):
            left += made
        elif hasattr(made, "__slots__"):
            left += [getattr(made, slot) for slot in made.__slots__]
    return total


def liar(seed, count=100):
    """(how much one loud liar moved a sum, its bound) as shares of the honest sum: the worst cache. The liar
    is the teller who speaks for most.
    """
    world = warm(seed, count)
    counts = world.nodes[0].core.member_counts
    name = max(counts, key=lambda teller: (counts[teller], teller))
    world.by_name[name].liar = "loud"
    world.run(8)
    worst = (0.0, 0.0)
    for node in world.nodes[:20]:
        for cache in node.loads if not node.liar else ():
            honest = sum(
                other.loads[cache][1] for other in world.nodes if other is not node and not other.liar
            )
            summary = node.core.summary(cache)
            if summary is not None and honest:
                most = bound(world.terms, honest, counts[name] / (count - 1), world.terms.floor_rate)
                worst = max(worst, (summary.others_rate / honest - 1, most / honest - 1))
    return worst


# ---- other ways, for the same sums: error of the sum of one cache, and what one liar does


def bottom_k(dice, loads, k=16):
    sample = dice.sample(loads, k)
    return sum(sample) * len(loads) / k


def minima(dice, loads, m=64):
    """Sketch of exponentials (Mosk-Aoyama and Shah, 2006): the least of -ln(u)/load, m times."""
    least = [min(-log(dice.random()) / load for load in loads if load) for _ in range(m)]
    return (m - 1) / sum(least)


def ways(count=500, rounds=200):
    dice, errors = Random(1), {"bottom_k": [], "minima": []}
    for _ in range(rounds):
        loads = [poisson(dice, SPARSE) / 2 for _ in range(count)]
        for name, way in (("bottom_k", bottom_k), ("minima", minima)):
            errors[name].append(abs(way(dice, loads) - sum(loads)) / sum(loads))
    loads = [protocol.Load(f"edge-{n}", "", 12, 150) for n in range(CACHES)]
    block = len(encode(protocol.Report("router-100", 1_796_175_171_558, 1_000, 900, 1, True, loads)))
    honest = [poisson(dice, SPARSE) / 2 for _ in range(count)]
    lying = minima(dice, [*honest, 1e6]) / sum(honest) - 1
    return {
        "way_bottom_k_error_p50": round(sorted(errors["bottom_k"])[rounds // 2], 3),
        "way_bottom_k_bytes": 16 * block,
        "way_minima_error_p50": round(sorted(errors["minima"])[rounds // 2], 3),
        "way_minima_bytes": 64 * 5 * CACHES * 2,
        "way_minima_liar_moved": round(lying),
        "way_all_rows_bytes": count * block,
    }


def mistakes():
    return {made.__name__: made for made in seeded.mistakes("sharing_mistakes")}


def mistaken(name):
    return found(mistakes()[name])


def tested(seed):
    return len(trial(seed)) + len(lied(seed)) + len(taken_over(seed))


def crowd(seed):
    """A larger zone under faults, with its tellers as they are: sixteen."""
    return len(trial(seed, count=40, terms=protocol.Terms()))


def laws(seed):
    """Whether blocks merged in any order, grouping and number come to one board."""
    dice, terms = Random(seed), protocol.Terms(reporters=4, max_caches=8)
    blocks = [
        protocol.Report(
            f"r{dice.randrange(8)}",
            dice.randrange(2),
            dice.randrange(6),
            dice.randrange(90_000),
            dice.randrange(1, 4),
            dice.random() < 0.5,
            [
                protocol.Load(f"c{dice.randrange(10)}", "", dice.randrange(100), dice.randrange(100))
                for _ in range(dice.randrange(5))
            ],
        )
        for _ in range(40)
    ]
    blocks = sayings(blocks)

    def merged(rows):
        board = LoadTable(terms)
        for row in rows:
            board.merge(1_000_000, row)
        return board

    def state(board):
        return {
            name: (t.life, t.number, t.complete_number, t.report_times, t.member_count, t.loads)
            for name, t in board.reporters.items()
        }

    whole = state(merged(blocks))
    for _ in range(5):
        dice.shuffle(blocks)
        half = merged(blocks[:20])
        said = [row for name in half.reporters for row in half.reports(1_000_000, name)]
        if not whole == state(merged(blocks + blocks[:9])) == state(merged(blocks[20:] + said + said)):
            return False
    return True


def run(quick):
    seeds, crowds = (300, 8) if quick else (10_000, 200)
    with ProcessPoolExecutor() as pool:
        sizes = {count: pool.submit(told, count) for count in (1_000, 200, 10)}
        liars = [pool.submit(liar, seed) for seed in (1, 2)]
        zones = [pool.submit(crowd, seed) for seed in range(1, crowds + 1)]
        seen = {name: pool.submit(mistaken, name) for name in mistakes()}
        held = pool.map(laws, range(1, 201), chunksize=20)
        breaks = list(pool.map(tested, range(1, seeds + 1), chunksize=10))
        sizes = {count: future.result() for count, future in sizes.items()}
        moved, most = max(future.result() for future in liars)
        figures = {
            "trials": len(breaks),
            "trials_of_forty": crowds,
            "rule_breaks": sum(breaks) + sum(future.result() for future in zones),
            "merge_laws": all(held),
            "seeded_mistakes": len(seen),
            "seeded_found": sum(future.result() is not None for future in seen.values()),
            **{f"bytes_per_member_{count}": row["bytes"] for count, row in sorted(sizes.items())},
            "bytes_per_member_growth": round(sizes[1_000]["bytes"] / sizes[10]["bytes"], 2),
            **{
                f"{what}_{count}": row[what]
                for what in ("error_p50", "error_p99", "age_s", "kept_kb")
                for count, row in sorted(sizes.items())
            },
            "liar_moved": round(moved, 3),
            "liar_bound": round(most, 3),
            **ways(),
        }
    return figures
