"""What a router tells its fleet of itself, and what it takes over from it at a start.

Decides nothing: it copies rows out of the decisions' arrays and, at a start, into them.
"""

from ..decisions.sharing import protocol, soft_state
from .tally import Tally

HALF = 0.5  # of what is told counts at a start, beside what stands here


class Told:
    """router: the node's Router; its tally and its readiness are set by this."""

    def __init__(self, router):
        self.router, self.control = router, router.control
        self.tally = router.tally = Tally()
        self.health, self.times, self.cold = (
            router.control.health,
            router.control.times,
            router.control.cold,
        )

    def loads(self, now):
        return self.tally.look(now)

    def listed(self):
        """Whether the feed has told which caches there are: rows of others find no place here."""
        return self.router.listed_once

    def wait(self, waits):
        """Whether this router says that it is not ready yet."""
        self.router.waits = waits

    def learnt(self):
        """soft_state.SoftState: what is known here of caches and of answer times."""
        control, now, rows = self.control, self.router.now(), []
        for name, n in control.row_by_id.items():
            if name not in self.tally.listed or not control.last_answer_at[n]:
                continue
            took, refused = self.tally.answers.get(name, (0.0, 0.0))
            born = self.cold.born[n]
            rows.append(
                protocol.CacheState(
                    name,
                    min(1_000, self.health.failures[n]),
                    bool(self.cold.presumed_dead[n]),
                    took,
                    min(1.0, refused),
                    max(0, now - born) if born else -1,
                    max(0, now - control.last_answer_at[n]),
                )
            )
        kinds = [
            protocol.KindTimes(name, max(0.0, self.times.average[k]), max(0.0, self.times.deviation[k]), 0)
            for name, k in control.kind_indexes.items()
        ]
        return soft_state.SoftState(rows[: soft_state.MAX_CACHES], kinds[: soft_state.MAX_KINDS])

    def adopt(self, told):
        """told: soft_state.SoftState of each neighbour that lent; number of rows taken over."""
        adopted, control = soft_state.adopted(told), self.control
        for cache, strikes in adopted.failures.items():
            n = control.row_by_id.get(cache)
            if n is not None:
                self.health.failures[n] = max(self.health.failures[n], strikes)
                self.tally.answers.setdefault(
                    cache, [adopted.answer_times[cache], adopted.refused_shares[cache]]
                )
        for kind, (average, deviation) in adopted.kind_times.items():
            k = control.kind_indexes.get(kind)
            if k is not None:
                self.times.average[k] += HALF * (average - self.times.average[k])
                self.times.deviation[k] += HALF * (deviation - self.times.deviation[k])
        return len(adopted.failures) + len(adopted.kind_times)
