"""Schedules of faults at random, and two that are written by hand."""

from hookrouter.decisions.owners import Keeper, protocol
from hookrouter.decisions.owners.duties import DECLARE

from .processes import SECOND
from .world import World


def schedule(seed, faults=25, **more):
    """Every third with five keepers, every second hurried: faults upon faults."""
    world = World(seed, 3 if seed % 3 else 5, 2 + seed % 3, 3, **more)
    world.play(faults * (1 + seed % 2), every=6_000 if seed % 2 else 2_500)
    return world


def hurried(seed, **more):
    """Faults upon faults: what seldom goes wrong does so here."""
    world = World(seed, 3, 2, 3, **more)
    world.play(80, every=1_200)
    return world


def split(make=Keeper):
    """The leader cut off from the other keepers, and an owner that hears no keeper but it."""
    world = World(3, 3, 3, 6, make=make)
    world.engine.run(6 * SECOND)
    leader = next(p.name for p in world.keepers.values() if p.core.state == "leading")
    owner = next(p for p in world.members.values() if p.holder.leases)
    for name in world.names:
        if name != leader:
            world.cut(leader, name)
            world.cut(owner.name, name)
    world.engine.run(12 * SECOND)
    world.heal()
    world.engine.run(20 * SECOND)
    return world


def granted_away(make=Keeper):
    """Whether a member whose lease was over, and who comes back while its duty is on its way to another, is
    told that it still holds it: one leader's core, the others' answers made up.
    """
    core = make(protocol.Settings("a", 1, ("a", "b", "c")), protocol.Stored(), SECOND, 1)
    clock = [SECOND]

    def take(event):
        """Effects, each write done at once."""
        effects, more = [], [event]
        while more:
            for effect in core.take(clock[0], more.pop(0)):
                if isinstance(effect, protocol.Persist):
                    more.append(protocol.WriteFinished(effect.write_id, True))
                else:
                    effects.append(effect)
        return effects

    def heard(sender, message):
        return take(protocol.Received(sender, message))

    def agreed(upto):
        """Both others answer the newest round, and hold the log up to there."""
        told = []
        for name in ("b", "c"):
            told += heard(name, protocol.Appended(core.term, True, upto, core.round, 0, 1, 1))
        sent = [effect.message for effect in told if isinstance(effect, protocol.Send)]
        return [message for message in sent if isinstance(message, protocol.Renewed)]

    take(protocol.Started())
    for name in ("b", "c"):
        heard(name, protocol.HelloReply(0, 1))
    clock[0] = core.election_at
    take(protocol.Tick())
    heard("b", protocol.Vote(1, True, True))
    heard("b", protocol.Vote(1, False, True, 0, 1))
    agreed(core.last_index())
    heard("m1", protocol.Renew(1, 1))
    heard("m1", protocol.CommandRequest("m1#1/1", DECLARE, ["d"]))
    clock[0] += 600
    take(protocol.Tick())
    agreed(core.last_index())
    clock[0] += 600
    take(protocol.Tick())  # the grant to m1
    agreed(core.last_index())
    seq = 1
    while core.last_index() == core.commit:  # m1 is silent until its lease is over, m2 lives
        seq += 1
        heard("m2", protocol.Renew(seq, 1))
        clock[0] += 600
        take(protocol.Tick())
        agreed(core.commit)
    heard("m1", protocol.Renew(2, 1))
    clock[0] += 600
    core.heartbeat_at = clock[0]
    core.round += 1
    told = agreed(core.commit)
    return any(message.held for message in told if message.seq == 2)


def older_term_counted(make=Keeper):
    """Whether a leader takes an entry of an older term for agreed because a majority holds it, while none of
    them holds one of its own term yet: another could still be elected that never had it (Ongaro, figure 3.7).
    """
    old = protocol.Entry(1, protocol.COMMAND, ["m#1/1", DECLARE, ["d"]])
    core = make(
        protocol.Settings("a", 1, ("a", "b", "c")), protocol.Stored(2, None, 3, entries=(old,)), SECOND, 1
    )
    core.take(SECOND, protocol.Started())
    for name in ("b", "c"):
        core.take(SECOND, protocol.Received(name, protocol.HelloReply(0, 1)))
    core.take(core.election_at, protocol.Tick())
    effects = core.take(core.now, protocol.Received("b", protocol.Vote(3, True, True)))
    core.take(core.now, protocol.WriteFinished(effects[-1].write_id, True))
    effects = core.take(core.now, protocol.Received("b", protocol.Vote(3, False, True, 0, 1)))
    write = next(effect for effect in effects if isinstance(effect, protocol.Persist))
    core.take(core.now, protocol.WriteFinished(write.write_id, True))
    core.take(core.now, protocol.Received("b", protocol.Appended(3, True, 1, 1, 0, 1, 1)))
    assert core.state == "leading" and core.last_index() == 2
    return core.commit > 0
