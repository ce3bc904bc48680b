"""Every interleaving of the stage within bounds, over the program's own tables: a breadth-first search."""

import pickle
from collections import deque

from .stage import Parts, Stage

AT_ONCE = ("lent", "lodge", "lodged", "report", "reported")
LIMITS = dict(grants=2, pauses=1, kills=0, purges=1, drains=1, lost=0, doubled=0, fails=0)


def key(stage):
    """Equal keys behave alike: all that the steps read, in the order of names."""
    owners = []
    for _, owner in sorted(stage.owners.items()):
        one = owner.warming
        owners.append(
            (
                owner.number,
                owner.paused,
                sorted(owner.drained),
                sorted(owner.struck),
                owner.purged.newest,
                one
                and (
                    one.state,
                    one.done,
                    one.recorded,
                    one.step_index,
                    one.name_index,
                    sorted(one.in_flight),
                    sorted(one.awaited_peers),
                    sorted(one.purged_names),
                    [[entry.name for entry in step] for step in one.steps],
                    one.failures_in_a_row,
                ),
            )
        )
    return hash(
        repr(
            (
                owners,
                sorted(map(repr, stage.net)),
                sorted(stage.left.items()),
                stage.done,
                stage.highest,
                stage.lost_word,
                sorted(stage.copies.items()),
                sorted(stage.true.items()),
                sorted(stage.tries.items()),
                sorted(stage.read.items()),
                sorted(stage.failed),
                stage.order,
                stage.fallen,
                [[c.number for c in lender.plans.values()] for lender in stage.lenders.values()],
            )
        )
    )


def explore(parts=None, names=3, step=2, limits=None, most=1 << 60):
    """(states, what was wrong or None, whether the search came to its end)."""
    first = Stage(parts or Parts(), names, step, LIMITS | (limits or {}), AT_ONCE)
    first.grant("x")
    seen, queue = {key(first)}, deque([pickle.dumps(first)])
    while queue:
        packed = queue.popleft()
        for step, which in list(pickle.loads(packed).steps()):
            stage = pickle.loads(packed)
            wrong = stage.act(step, which)
            if wrong is not None:
                return len(seen), wrong, False
            mark = key(stage)
            if mark not in seen:
                seen.add(mark)
                if len(seen) >= most:
                    return len(seen), None, False
                queue.append(pickle.dumps(stage))
    return len(seen), None, True
