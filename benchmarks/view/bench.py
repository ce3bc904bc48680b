"""The view of the fleet: made-up time by size, mistakes seeded on purpose, baselines, and real processes."""

import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from random import Random

from hookrouter.decisions.view import View
from standins.rig import Rig

from .. import seeded
from .baselines import Beats, PlainSwim
from .nodes import SECOND
from .orders import explore
from .trials import found, trial
from .world import World, halves, joined

CORES = {"view": View, "plain swim": PlainSwim, "all to all": Beats}


def tested(seed):
    return len(trial(seed))


def mistakes():
    return {made.__name__: made for made in seeded.mistakes("view_mistakes")}


def mistaken(name):
    return found(mistakes()[name])


def hours(seed, name="view", count=24, seconds=150):
    """(member-hours, deaths of members that ran, claims of a settled view that was none): one in ten lost,
    pauses under half a second.
    """
    world, _ = joined(seed, count, make=CORES[name])
    world.loss, world.false = 0.1, []
    end = world.engine.now + seconds * SECOND
    while world.engine.now < end:
        world.dice.choice(world.nodes).pause(world.dice.randrange(500, 5_000))
        world.run(world.dice.choice((0.2, 0.5, 1.0)))
    return count * seconds / 3600, len(world.false), world.false_settled


def warm(seed, count, make=View):
    """A world whose members know each other from the start."""
    world = World(seed, count, together=False, make=make)
    for node in world.nodes:
        node.start()
    rows = [node.core.local_member for node in world.nodes]
    for node in world.nodes:
        for row in rows:
            if row.key != node.core.local_member.key:
                node.core._store(row, "", (), False)
    return world


def detecting(seed, count, kills):
    """Seconds from a kill until each of the others has buried the one killed; bytes a member and second."""
    world = warm(seed, count)
    world.engine.run(world.engine.now + 3 * SECOND)
    before, began = world.bytes, world.engine.now
    world.engine.run(world.engine.now + 2 * SECOND)
    calm = (world.bytes - before) / count / ((world.engine.now - began) / SECOND)
    spans = []
    for k in range(kills):
        victim = world.nodes[7 + k]
        victim.kill()
        fell = world.engine.now
        world.engine.run(world.engine.now + 8 * SECOND)
        spans += [(when - fell) / SECOND for when in world.buried.get((victim.name, victim.life), ())]
        spans += [8.0] * (len(world.up()) - len(world.buried.get((victim.name, victim.life), ())))
    return spans, calm, len(world.false)


def settling(seed, count):
    """Seconds until all agree: after a join of all, a kill, a mass kill and start, a split's end."""
    world, join = joined(seed, count)
    world.until(world.settled, 20)
    world.nodes[3].kill()
    kill = world.until(world.agreed, 40)
    world.nodes[3].start()
    world.until(world.agreed, 40)
    dice = Random(seed)
    many = dice.sample(world.nodes[1:], 7 * count // 10)
    for node in many:
        node.kill()
    world.engine.run(world.engine.now + SECOND)
    for node in many:
        node.start()
    mass = world.until(world.agreed, 60)
    world.cuts = halves(world, dice.choice((0.5, 0.1)))
    world.run(12)
    world.cuts = None
    heal = world.until(world.agreed, 60)
    return join, kill, mass, heal, len(world.false), world.false_settled


def p(values, share=0.99):
    values = sorted(values)
    return round(values[min(len(values) - 1, int(share * len(values)))], 2)


def run(quick):
    figures = {}
    with ProcessPoolExecutor() as pool:
        thousand = pool.submit(detecting, 1, 1_000, 1 if quick else 5)
        baselines = {
            name: [pool.submit(hours, seed, name) for seed in range(1, 4 if quick else 11)]
            for name in ("plain swim", "all to all")
        }
        calm = [pool.submit(hours, seed) for seed in range(1, 11 if quick else 101)]
        seen = {name: pool.submit(mistaken, name) for name in mistakes()}
        settled = [
            pool.submit(settling, seed, count)
            for count in ((12, 60) if quick else (12, 60, 200))
            for seed in range(1, 7 if quick else 31)
        ]
        breaks = list(pool.map(tested, range(1, 61 if quick else 10_001), chunksize=5))
        ten = detecting(1, 10, 1)
        states, wrong, ended = explore()
        spans, per_member, false = thousand.result()
        rows = [future.result() for future in settled]
        quiet = [future.result() for future in calm]
        figures.update(
            trials=len(breaks),
            rule_breaks=sum(breaks) + (wrong is not None),
            states_explored=states,
            explored_to_the_end=ended,
            seeded_mistakes=len(seen),
            seeded_found=sum(future.result() is not None for future in seen.values()),
            member_hours=round(sum(row[0] for row in quiet), 1),
            false_deaths=sum(row[1] for row in quiet),
            unsettled_said_settled=sum(row[2] for row in quiet) + sum(row[5] for row in rows),
            agree_after_join_made_up_p99_s=p([row[0] for row in rows]),
            agree_after_kill_made_up_p99_s=p([row[1] for row in rows]),
            agree_after_mass_kill_made_up_p99_s=p([row[2] for row in rows]),
            agree_after_heal_made_up_p99_s=p([row[3] for row in rows]),
            detect_p50_s_1000=p(spans, 0.5),
            detect_p99_s_1000=p(spans),
            bytes_per_member=round(ten[1]),
            bytes_per_member_1000=round(per_member),
            bytes_per_member_growth=round(per_member / ten[1], 2),
            **{
                f"false_deaths_{name.replace(' ', '_')}": sum(future.result()[1] for future in futures)
                for name, futures in baselines.items()
            },
            baseline_member_hours=len(baselines["plain swim"]),
        )
    figures.update(real(3, 9 if quick else 57, 1 if quick else 10))
    return figures


def agree(rig, names, within=60):
    """Seconds until each keeper that runs has just these alive, with one digest; None."""
    began, want = time.monotonic(), set(names)

    def same():
        import json

        code, out = rig.command("members", "--json")
        rows = json.loads(out).values() if code == 0 else ()
        return (
            len(rows) == len(want & set(rig.keepers))
            and len({row["digest"] for row in rows}) == 1
            and all({r[0] for r in row["members"] if r[7] not in ("dead", "left")} == want for row in rows)
        )

    return time.monotonic() - began if rig.wait(same, within) else None


def real(keepers, members, rounds):
    """Joins, kills and splits of real processes; a look costs half a second, which is in the figures."""
    joins, kills, heals = [], [], []
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(folder, keepers=keepers, members=members)
        try:
            rig.start()
            agree(rig, rig.names)
            for n in range(rounds):
                victim = rig.names[keepers + n % members]
                rig.kill(victim)
                kills.append(agree(rig, [name for name in rig.names if name != victim]))
                rig.start(victim)
                joins.append(agree(rig, rig.names))
                half = rig.names[::2]
                rig.datagram_proxy.split(half, [name for name in rig.names if name not in half])
                time.sleep(6)
                rig.datagram_proxy.heal()
                heals.append(agree(rig, rig.names))
        finally:
            rig.stop()
    return {
        "members_real": keepers + members,
        "agree_after_join_p99_s": p(joins),
        "agree_after_kill_p99_s": p(kills),
        "agree_after_heal_p99_s": p(heals),
    }
