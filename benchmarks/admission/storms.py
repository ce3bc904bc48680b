"""Storms of the made-up fleet that are measured: plain, with rude ones, killed twice, and the baselines."""

from .judge import tail_share
from .order import LEASE
from .schedule import fall
from .world import SECOND, World

UP_AT = 5_000  # 0.5 s: so long the gateway has been down
LIMIT = 180 * SECOND
PURGES = 1.0  # a second, while the storm lasts
WINDOW = 5_000  # 0.5 s


def steady_share(count):
    """Of the gateway's time, that renewals take whatever comes back: four a lease, and one after a purge."""
    return count * (4 / LEASE + PURGES / SECOND)


def storm(seed, count, **how):
    """(World, tenths of a millisecond until all were back)."""
    world = World(seed, count, purges=PURGES, **how)
    world.begin(UP_AT)
    return world, world.all_back(LIMIT) - UP_AT


def ideal(world, since=0):
    """Each costs what it costs, back to back, beside the renewals; the first of each."""
    seen, work = set(), 0
    for at, cost, sub, _ in world.gateways[0].admissions:
        if at >= since and sub not in seen:
            seen.add(sub)
            work += cost
    return work / (1 - steady_share(len(world.subs)))


def peak(world):
    """Most work of admissions begun in half a second, over what half a second bears."""
    rows = [(at, cost) for at, cost, _, _ in world.gateways[0].admissions]
    most = max(
        sum(cost for at, cost in rows if start <= at < start + WINDOW)
        for start in range(0, max(at for at, _ in rows) + 1, WINDOW // 5)
    )
    return most / WINDOW


def twice(seed, count):
    """(World, all back over ideal): killed at a third of the storm, and again at a third of the next."""
    _, plain = storm(seed, count)
    world = World(seed, count, purges=PURGES)
    world.begin(UP_AT)
    gateway, down = world.gateways[0], 2_000
    for at in (UP_AT + plain // 3, UP_AT + 2 * (plain // 3) + down):
        world.engine.run(at)
        world.is_back.clear()
        fall(world, gateway, down)
        last = at + down
    world.engine.run(last)
    world.is_back.clear()
    end = world.all_back(LIMIT)
    lives = UP_AT, last - UP_AT  # what passed until the last start was spent
    return world, (end - UP_AT) / (lives[1] + ideal(world, last))


def rude(seed, count):
    """(World, how much later the others are back where one in ten ignores what it is told)."""
    _, plain = storm(seed, count)
    world = World(seed, count, purges=PURGES, rude=0.1)
    world.begin(UP_AT)
    end = world.all_back(LIMIT, [sub for sub in world.subs if sub.polite])
    return world, (end - UP_AT) / plain


def back_by_time(world, step=1_000):
    """[how many are back] at each step, for a chart."""
    ends = sorted(at - UP_AT for at in world.is_back.values())
    return [sum(at <= now for at in ends) for now in range(0, ends[-1] + step, step)]


def figures(count, seeds):
    plain = [storm(seed, count) for seed in seeds]
    twos, rudes = [twice(seed, count) for seed in seeds], [rude(seed, count) for seed in seeds]
    naive, jitter = storm(seeds[0], count, way="naive")[1], storm(seeds[0], count, way="jitter")[1]
    worlds = [world for world, _ in (*plain, *twos, *rudes)]

    def mean(values):
        return round(sum(values) / len(seeds), 3)

    return {
        "subscribers": count,
        "rule_breaks": sum(len(world.judge.breaks) for world in worlds),
        "peak_rate_over_bearable": round(max(peak(world) for world, _ in plain), 3),
        "all_back_s": mean([took / SECOND for _, took in plain]),
        "all_back_over_ideal": mean([took / ideal(world) for world, took in plain]),
        "all_back_naive_s": naive / SECOND,
        "all_back_jitter_s": jitter / SECOND,
        "twice_killed_all_back_over_ideal": mean([ratio for _, ratio in twos]),
        "rude_slow_others": mean([ratio for _, ratio in rudes]),
        "fenced_too_late": sum(world.judge.fenced_too_late for world in worlds),
        "purge_late_in_storm": sum(world.judge.purge_late for world in worlds),
        "tail_share": round(tail_share(worlds[0].gateways), 3),
    }
