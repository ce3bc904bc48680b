"""Owners: schedules in made-up time, every interleaving of a bounded model, mistakes seeded on purpose, and
real processes that are killed, stopped, cut off and run out of disk.
"""

from concurrent.futures import ProcessPoolExecutor
from random import Random

from .. import seeded
from .campaign import campaign
from .costs import loaded
from .model import Bounds, explore
from .schedules import granted_away, hurried, older_term_counted, schedule, split


def played(seed):
    world = schedule(seed)
    lost = sum("was acknowledged" in what for _, what in world.breaks)
    return len(world.breaks), len(world.acknowledged), world.refused, world.takeovers, lost


def mistakes():
    return {made.__name__: made for made in seeded.mistakes("owners_mistakes")}


MODELLED = {
    "TwoVotesInATerm": Bounds(1, 0),
    "VoteNotOnDisk": Bounds(1, 0, crashes=1),
    "ForgotAndVotes": Bounds(1, 0, put_back=1),
}
SCRIPTED = {"GrantInFlightTold": granted_away, "OlderTermCommitted": older_term_counted}


# Schedules that are known to show a mistake: (how they are made, seed).
PLAYED = {
    "NoWaitForFormerLeases": [(schedule, 1)],
    "MinorityDecides": [(schedule, seed) for seed in range(5, 13)],
    "AckBeforeDisk": [(hurried, 50), (hurried, 70)],
    "OwnConfirmationForgotten": [(hurried, 401), (hurried, 837)],
}


def found(name, most):
    """Whether the mistake of that name shows, by the model or by up to so many hurried schedules."""
    make = mistakes()[name]
    if name in MODELLED:
        return explore(MODELLED[name], make=make)[1] is not None
    if name in SCRIPTED:
        return SCRIPTED[name](make)
    worlds = [split(make), *(play(seed, make=make) for play, seed in PLAYED.get(name, ()))]
    if any(not what.startswith("after") for world in worlds for _, what in world.breaks):
        return True
    return any(
        not what.startswith("after") for seed in range(1, most) for _, what in hurried(seed, make=make).breaks
    )


def run(quick):
    figures = {}
    with ProcessPoolExecutor() as pool:
        modelled = pool.submit(explore, Bounds(1, 0) if quick else Bounds(1, 1, crashes=0))
        seen = {name: pool.submit(found, name, 60 if quick else 1_500) for name in mistakes()}
        rows = list(pool.map(played, range(1, 121 if quick else 10_001), chunksize=5))
        states, wrong, ended = modelled.result()
        spans = sorted(span for row in rows for span in row[3])
        figures.update(
            schedules=len(rows),
            rule_breaks=sum(row[0] for row in rows) + (wrong is not None),
            acknowledged_made_up=sum(row[1] for row in rows),
            acknowledged_lost=sum(row[4] for row in rows),
            old_owner_refused_made_up=sum(row[2] for row in rows),
            states_explored=states,
            explored_to_the_end=ended,
            seeded_mistakes=len(seen),
            seeded_found=sum(future.result() for future in seen.values()),
            not_found=[name for name, future in seen.items() if not future.result()],
            takeover_made_up_p50_ms=spans[len(spans) // 2] / 10,
        )
    figures.update(campaign(6 if quick else 200, Random(1)))
    if not quick:
        figures.update(loaded(20, Random(1)))
    return figures
