"""The load table: the latest reports of a zone's reporters, bounded in caches and reporters.

Of one reporter and cache the load with the later (life, number) is kept; of two copies of one report the
older age, which is nearer the truth since transmission times are not counted. Where there are more reporters
than are kept, those of the lowest hash of the name stay (bottom-k; Cohen and Kaplan, 2007). Since the hash
depends on the name alone, a dropped reporter cannot come back by another order: the merge is commutative,
associative and idempotent. (Where a faulty reporter sends two reports under one number, two tables may keep
different ages until its next number.)
"""

from hashlib import blake2b

from . import protocol
from .bounds import age_weight, allowed_share, capped_sum


def rank(name):
    """Returns the hash by which a zone chooses its reporters: equal for all members, and chosen by none."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def process_hash(name, life):
    """Returns the hash that identifies one process in a TableDigest."""
    return int.from_bytes(blake2b(f"{name}|{life}".encode(), digest_size=4).digest(), "big")


class Reporter:
    """What a table keeps of one reporter's process.

    `complete_number` is the number of its latest complete report, which voids loads of earlier ones.
    """

    __slots__ = (
        "life",
        "number",
        "complete_number",
        "report_times",
        "member_count",
        "loads",
        "rank",
        "process_hash",
    )

    def __init__(self, name, life):
        self.life, self.number, self.complete_number, self.member_count = life, -1, -1, 1
        # number -> local time when the report was made: of the newest, the complete one, and those with loads
        self.report_times = {}
        self.loads = {}  # (cache, source) -> (number, in flight, rate), both in hundredths
        self.rank, self.process_hash = rank(name), process_hash(name, life)

    @property
    def reported_at(self):
        """When the newest report was made, by the local clock."""
        return self.report_times[self.number]

    def prune(self, max_loads):
        """Keeps the loads with the highest numbers, and the times of the reports still in use."""
        if len(self.loads) > max_loads:
            for key in sorted(self.loads, key=lambda key: (-self.loads[key][0], key))[max_loads:]:
                del self.loads[key]
        if len(self.report_times) > 1:
            used = {self.number, self.complete_number, *(load[0] for load in self.loads.values())}
            self.report_times = {number: time for number, time in self.report_times.items() if number in used}


class LoadTable:
    """The reporters of a zone and their loads: max_reporters at most, terms.max_caches loads of each."""

    capped_sum, age_weight = staticmethod(capped_sum), staticmethod(age_weight)

    def __init__(self, terms, max_reporters=None):
        """`max_reporters` is terms.reporters where it is not given."""
        self.terms, self.max_reporters = terms, max_reporters or terms.reporters
        self.reporters = {}  # name -> Reporter

    # ---- input

    def merge(self, now, report):
        """Merges a report and returns whether it changed the table."""
        if report.age >= self.terms.silent_after:
            return False
        reporter = self.reporters.get(report.reporter)
        if reporter is not None and not self._is_current(report, reporter):
            return False
        if reporter is None or report.life != reporter.life:  # the loads of an earlier process are void
            reporter = self.reporters[report.reporter] = Reporter(report.reporter, report.life)
        changed = self._store(reporter, report, now - report.age)
        self._evict()
        return changed and report.reporter in self.reporters

    def _is_current(self, report, reporter):
        return report.life > reporter.life or (
            report.life == reporter.life and report.number >= reporter.complete_number
        )

    def _store(self, reporter, report, reported_at):
        changed = self._void_earlier(reporter, report)
        reporter.report_times[report.number] = min(
            reported_at, reporter.report_times.get(report.number, reported_at)
        )
        if report.number > reporter.number:
            reporter.number, reporter.member_count, changed = report.number, report.member_count, True
        elif report.number == reporter.number:
            reporter.member_count = max(reporter.member_count, report.member_count)
        for load in report.loads:
            key, value = (load.cache, load.source), (report.number, load.in_flight, load.rate)
            old = reporter.loads.get(key)
            # Only a faulty reporter sends two values under one number: all tables keep the larger.
            if old is None or value > old:
                reporter.loads[key], changed = value, True
        reporter.prune(self.terms.max_caches)
        return changed

    def _void_earlier(self, reporter, report):
        """Voids loads of reports before a complete one; returns whether this report is a new complete one."""
        if not report.complete or report.number <= reporter.complete_number:
            return False
        reporter.complete_number = report.number
        reporter.loads = {
            key: load for key, load in reporter.loads.items() if load[0] >= reporter.complete_number
        }
        return True

    def _evict(self):
        if len(self.reporters) > self.max_reporters:
            last = max(self.reporters, key=lambda name: (self.reporters[name].rank, name))
            del self.reporters[last]

    def forget(self, now, living=None):
        """Removes expired reports, and reporters that are not alive if `living`, {name: life}, is given.

        Returns the reporters removed, {name: (life, number)}.
        """
        oldest, removed = now - self.terms.silent_after, {}
        for name, reporter in list(self.reporters.items()):
            if reporter.reported_at <= oldest or (living is not None and living.get(name) != reporter.life):
                removed[name] = reporter.life, reporter.number
                del self.reporters[name]
            elif len(reporter.report_times) > 1:
                reporter.loads = {
                    key: load
                    for key, load in reporter.loads.items()
                    if reporter.report_times[load[0]] > oldest
                }
                reporter.prune(self.terms.max_caches)
        return removed

    # ---- output

    def reports(self, now, name, after=-1):
        """Returns the reports of that reporter with a number above `after`, to be sent on."""
        reporter = self.reporters[name]
        by_number = {number: [] for number in {reporter.number, reporter.complete_number} if number > after}
        for key, load in reporter.loads.items():
            if load[0] > after:
                by_number.setdefault(load[0], []).append(protocol.Load(*key, *load[1:]))
        return [
            protocol.Report(
                name,
                reporter.life,
                number,
                max(0, now - reporter.report_times[number]),
                reporter.member_count,
                number == reporter.complete_number,
                loads,
            )
            for number, loads in sorted(by_number.items())
        ]

    def caches(self):
        """Returns the ids of caches with a reported load, sorted."""
        keys = (key for reporter in self.reporters.values() for key in reporter.loads)
        return sorted({cache for cache, source in keys if not source})

    def summary(
        self,
        now,
        cache,
        other_routers,
        member_counts,
        source="",
        own=(0.0, 0.0),
        own_reporter="",
        own_report=("", 0),
    ):
        """Returns the Summary of a cache, or None where no report counts.

        `other_routers` is the number of other routers alive, `member_counts` that of the members each
        reporter covers by the view. `own_reporter` covers this router and `own` is this router's (in flight,
        rate) in that one's report, subtracted again. Where this router itself is a reporter, `own_report` is
        (its name, age of the loads) and `own` the loads of the other members it covers.
        """
        terms = self.terms
        claims, weight, ages, max_weight, covered = [], 0.0, 0.0, 0.0, 0
        for name, reporter in self.reporters.items():
            number, in_flight, rate = reporter.loads.get((cache, source)) or (reporter.number, 0, 0)
            age = own_report[1] if name == own_report[0] else max(0, now - reporter.report_times[number])
            part = self.age_weight(age, terms.silent_after)
            count = min(reporter.member_count, member_counts.get(name, 1)) - (name == own_reporter)
            if part <= 0 or count <= 0:
                continue
            in_flight, rate = in_flight / protocol.LOAD_SCALE, rate / protocol.LOAD_SCALE
            if name == own_report[0]:
                in_flight, rate = own
            elif name == own_reporter:
                in_flight, rate = max(0.0, in_flight - own[0]), max(0.0, rate - own[1])
            claims.append((in_flight * part, rate * part, count))
            weight, max_weight, covered = weight + part * count, max(max_weight, part), covered + count
            ages += part * count * age
        if not claims or not other_routers:
            return None
        shares = [allowed_share(terms.max_share, count / covered) for _, _, count in claims]
        in_flight, in_flight_capped = self.capped_sum(
            [claim[0] for claim in claims], shares, terms.floor_in_flight
        )
        rate, rate_capped = self.capped_sum([claim[1] for claim in claims], shares, terms.floor_rate)
        scale = min(other_routers / weight, terms.max_scale) * max_weight
        uncertain = in_flight_capped or rate_capped or max_weight < 1 or 2 * covered < other_routers
        return protocol.Summary(
            cache,
            in_flight * scale,
            rate * scale,
            int(ages / weight),
            min(covered, other_routers),
            other_routers,
            uncertain,
        )
