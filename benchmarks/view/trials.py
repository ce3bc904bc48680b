"""Trials of a made-up fleet by loss, pauses, kills, splits and lies: what they break, in words."""

from msgspec.structs import replace

from hookrouter.decisions.view import Member, View, protocol

from .nodes import SECOND
from .orders import explore, sums_tell, wakes_late
from .world import Storm, halves, joined


def trial(seed, make=View, count=12):
    """What is broken, in words, by loss and pauses, a kill, a planned end, a split and its end, a lie."""
    try:
        return tried(seed, make, count)
    except Storm:
        return ["a storm of datagrams"]


def tried(seed, make, count):
    broken = []
    world, took = joined(seed, count, make=make)
    if took is None:
        broken.append("never joined")
    if world.until(world.settled, 20) is None:
        broken.append("never settled after the join")
    world.loss = 0.1
    for _ in range(20):
        world.dice.choice(world.nodes).pause(world.dice.randrange(500, 4_500))
        world.run(world.dice.choice((0.3, 1.0)))
    world.loss = 0.0
    world.run(2)
    for _ in range(5):  # suspected by most when it wakes, and it says in time that it lives
        world.dice.choice(world.nodes).pause(SECOND)
        world.run(3)
    first, second = world.nodes[7], world.nodes[8]
    second.pause(SECOND)
    world.until(lambda: second.core.local_member.key in first.core.suspicions, 2)
    first.pause(10 * SECOND)  # with a suspicion that runs out meanwhile: it looks again before it buries
    world.run(12)
    sleeper = world.nodes[1]
    sleeper.pause(6 * SECOND)  # long enough to be buried; and it buries nobody when it wakes
    world.run(6)
    if world.until(world.agreed, 20) is None:
        broken.append("never agreed after a long pause")
    broken += [f"buried though it ran: {row}" for row in world.false[:3]]
    victim, leaver = world.nodes[2], world.nodes[3]
    victim.kill()
    if world.until(world.agreed, 30) is None:
        broken.append("a death was never agreed")
    old = protocol.Received(
        world.nodes[5].name,
        world.nodes[5].life,
        ("h", world.nodes[5].port),
        protocol.MemberList(
            [Member(victim.name, victim.life, "h", victim.port, victim.zone, "router", "0.3", 0)]
        ),
    )
    world.nodes[4].event(old)  # news of before its death, come again
    world.run(0.5)
    if any(row.key == (victim.name, victim.life) for row in world.nodes[4].core.alive()):
        broken.append("old news revived a dead one")
    leaver.event(protocol.Leave(False))
    world.run(0.3)
    leaver.event(protocol.Leave(True))
    leaver.kill()
    world.run(6)
    states = {node.core.members[leaver.name, leaver.life].state for node in world.up()}
    if states != {protocol.LEFT}:
        broken.append(
            f"after a planned end it is taken for {[protocol.STATES[state] for state in sorted(states)]}"
        )
    before = len(world.false)
    world.cuts = halves(world)
    world.run(14)
    world.cuts = None
    if world.until(world.agreed, 30) is None:
        broken.append("never agreed after a split")
    if world.until(world.settled, 20) is None:
        broken.append("never settled after a split")
    broken += [f"buried after the split though it ran: {row}" for row in world.false[before : before + 3]]
    liar = world.nodes[0]
    target = world.nodes[6]
    row = target.core.local_member
    lie = replace(row, state=protocol.DEAD, accuser=liar.name)
    for node in world.up():
        if node not in (liar, target):
            node.event(protocol.Received(liar.name, liar.life, ("h", liar.port), protocol.MemberList([lie])))
    world.run(0.3)
    if any(row.key not in {r.key for r in node.core.alive()} for node in world.up()):
        broken.append("one liar buried another at once")
    if world.until(world.agreed, 20) is None:
        broken.append("never agreed after a lie")
    if world.false_settled:
        broken.append(f"{world.false_settled} times settled was said of views that differed")
    return broken


def found(make):
    """What the checks say of it: the first of them that breaks, or None."""
    if explore(make)[1]:
        return "every order of news"
    if not sums_tell(1, make):
        return "sums of views"
    if wakes_late(make):
        return "a late waking"
    return next((broken[0] for seed in range(1, 4) if (broken := trial(seed, make))), None)
