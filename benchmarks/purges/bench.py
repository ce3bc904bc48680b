"""Fleet-wide purges: rules kept in made-up fleets, nothing lost over kills, and what it all costs.

Everything is on this machine: servers are simulated, processes are real and on loopback.
"""

import json
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor

from .costs import lookup_cost, recovery, unknown_tags
from .kills import kills, submits
from .world import World

FOLLOWERS = 50


def run(quick):
    figures = {}
    figures.update(schedules(400 if quick else 10_000))
    figures.update(kills(50 if quick else 200))
    figures.update(effect(60 if quick else 500))
    figures.update(submits(3.0 if quick else 20.0))
    figures.update(lookup_cost(4 if quick else 20))
    figures.update(recovery(100_000 if quick else 1_000_000))
    figures.update(unknown_tags(40_000 if quick else 400_000))
    return figures


# ---- the rules, in made-up fleets


def played(seed):
    world = World(seed)
    return len(world.run()), world.answers, world.rejected


def schedules(count):
    with ProcessPoolExecutor() as pool:
        rows = list(pool.map(played, range(count), chunksize=20))
    return {
        "schedules": count,
        "rule_breaks": sum(breaks for breaks, _, _ in rows),
        "answers_judged": sum(answers for _, answers, _ in rows),
    }


# ---- from submission to applied by all, beside the same events sent bare


def effect(count):
    """In one reactor of a process of its own: followers here, the desk and the bare server in others."""
    out = subprocess.run(
        [sys.executable, "-m", "benchmarks.purges.effect", str(count), str(FOLLOWERS)],
        capture_output=True,
        text=True,
        timeout=300,
    )
    if out.returncode:
        raise RuntimeError(out.stderr)
    return json.loads(out.stdout.splitlines()[-1])
