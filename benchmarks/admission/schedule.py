"""Seeded schedules: a storm of a made-up fleet with faults at random, and what broke in it."""

from random import Random

from hookrouter.decisions.admission import Gate, Reconnector

from .world import SECOND, Faults, World

LONGEST = 90 * SECOND  # by then all are back, whatever went wrong before: progress has wide bounds
TROUBLE = 8 * SECOND  # faults end then


def faults_of(dice):
    pick = dice.choice
    return Faults(
        loss=pick((0, 0.02, 0.2)),
        doubled=pick((0, 0.1, 0.5)),
        cuts=pick((0, 0.1, 0.5)),
        one_way=pick((0, 0.5, 1.0)),
        pauses=pick((0, 0.05, 0.2)),
        drift=pick((0, 0.005)),
        liars=pick((0, 0.1, 0.3)),
        bursts=pick((0, 0.3)),
    )


def play(seed, make_gate=Gate, make_comer=Reconnector, trusts_arrival=False):
    """The World after the schedule of that seed; its judge has the breaks."""
    dice = Random(seed)
    gateways = dice.choice((1, 1, 2))
    world = World(
        seed,
        dice.randint(5, 70),
        rude=dice.choice((0, 0.1, 0.3)),
        gateways=gateways,
        snapshots=dice.choice((0, 0.5, 1)),
        purges=dice.choice((0.5, 4)),
        cost=dice.choice(((20, 200), (5, 50), (50, 1000))),
        faults=faults_of(dice),
        make_gate=make_gate,
        make_comer=make_comer,
        trusts_arrival=trusts_arrival,
    )
    world.begin(dice.randint(0, 2 * SECOND))
    for gateway in world.gateways:
        for _ in range(dice.choice((0, 1, 2, 3))):
            at = dice.randint(2 * SECOND, TROUBLE)
            world.engine.after(at, fall, world, gateway, dice.randint(500, SECOND))
            if dice.random() < 0.6:  # and once more, in mid-storm
                world.engine.after(at + SECOND + dice.randint(500, 6_000), fall, world, gateway, 1_000)
    world.engine.run(TROUBLE + SECOND)
    world.faults = Faults(drift=world.faults.drift)
    for sub in world.subs:
        sub.liar = False
    for gateway in world.gateways:
        if not gateway.up:
            gateway.start()
    world.is_back = {sub: 0 for sub in world.subs if sub.conn is not None and sub.conn.streaming}
    if world.all_back(LONGEST) >= LONGEST:
        away = [sub.name for sub in world.subs if sub not in world.is_back]
        world.judge.broke(f"not back in {LONGEST // SECOND} s: {away[:5]}")
    return world


def fall(world, gateway, span):
    if gateway.up:
        gateway.kill()
        world.engine.after(span, lambda: None if gateway.up else gateway.start())
