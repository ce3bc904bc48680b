"""Loads of the members that a reporter covers: the latest of each, summed with its own into one report."""

from . import protocol
from .bounds import allowed_share, capped_sum

MAX_MEMBERS = 1_024  # that one reporter covers: a zone of 16,000


class MemberLoads:
    """The latest loads of each member that this reporter covers."""

    def __init__(self, terms):
        self.terms, self.rows = terms, {}  # name -> (life, number, reported at, {key: (in flight, rate)})

    def store(self, now, report):
        """Stores a member's report and returns whether it was newer than the one stored."""
        old = self.rows.get(report.reporter)
        if report.member_count != 1 or report.age >= self.terms.silent_after:
            return False
        if old is not None and (report.life, report.number) <= old[:2]:
            return False
        if old is None and len(self.rows) >= MAX_MEMBERS:
            return False
        loads = {(load.cache, load.source): (load.in_flight, load.rate) for load in report.loads}
        if not report.complete and old is not None and old[0] == report.life:
            loads = dict(sorted({**old[3], **loads}.items())[: self.terms.max_caches])
        self.rows[report.reporter] = report.life, report.number, now - report.age, loads
        return True

    def keep_only(self, names):
        """Removes all other members: they are covered by other reporters now."""
        names = set(names)
        self.rows = {name: row for name, row in self.rows.items() if name in names}

    def forget(self, now, living):
        """Removes expired loads, and members that are not alive by `living`, {name: life}."""
        for name in [
            name
            for name, row in self.rows.items()
            if now - row[2] >= self.terms.silent_after or living.get(name) != row[0]
        ]:
            del self.rows[name]

    def sums(self, own):
        """Returns {(cache, source): (in flight, rate)} with this reporter's own loads included.

        Each claim is capped as the load table caps those of reporters, so that one faulty member moves the
        report no more than its share allows.
        """
        share = allowed_share(self.terms.max_share, 1 / (1 + len(self.rows)))
        claims = {key: ([in_flight], [rate]) for key, (in_flight, rate) in own.items()}
        for name in sorted(self.rows):
            for key, (in_flight, rate) in self.rows[name][3].items():
                in_flights, rates = claims.setdefault(key, ([], []))
                in_flights.append(in_flight)
                rates.append(rate)
        return {
            key: (
                capped_sum(
                    in_flights, [share] * len(in_flights), self.terms.floor_in_flight * protocol.LOAD_SCALE
                )[0],
                capped_sum(rates, [share] * len(rates), self.terms.floor_rate * protocol.LOAD_SCALE)[0],
            )
            for key, (in_flights, rates) in sorted(claims.items())[: self.terms.max_caches]
        }

    def age(self, now, own=1):
        """Returns the mean age of the loads summed; `own` is 1 where own loads, of age 0, are among them."""
        return int(sum(now - row[2] for row in self.rows.values()) / max(1, own + len(self.rows)))
