"""One member's exchange of loads with its zone.

It reports its loads, compares load tables with one random neighbour each interval, and has the reports sent
to the side that lacks them: digests first, then the reports that differ (anti-entropy; Demers and others,
1987). No I/O: takes events and a time, returns effects.

The bytes that a member sends a second do not grow with the fleet: a zone has a fixed number of reporters, and
where it has fewer they report more often.
"""

from collections import Counter
from random import Random

from . import protocol
from .bounds import too_far_ahead
from .load_table import LoadTable
from .member_loads import MemberLoads
from .reporters import assign_reporters, choose_reporters

MAX_DATAGRAMS = 4  # of reports in answer to one digest; the rest comes with the next


class Exchange:
    """The exchange of loads of one member."""

    table_class = LoadTable

    def __init__(self, terms, name, life, seed):
        self.terms, self.name, self.life, self.random = terms, name, life, Random(seed)
        self.table, self.member_loads = self.table_class(terms), MemberLoads(terms)
        # own_reporter: the one that covers this member; this member itself where it is a reporter
        self.zone, self.neighbours, self.reporters, self.own_reporter = {}, [], [], name
        self.reporter_of, self.member_counts = {}, {}  # name -> its reporter; reporter -> members covered
        self.loads, self.reported_loads = {}, {}  # own, in hundredths: as they are, and as reported last
        self.number, self.report_at, self.compare_at, self.summary_at = 0, None, None, 0
        self.advanced_at = {}  # reporter -> when its number last rose here
        # reporter -> (life, number, when) of what was forgotten, so that it does not come back as new
        self.forgotten = {}
        self.sums, self.sums_at, self.sums_age = {}, None, 0
        self.counts = {"refused": 0, "merged": 0, "old": 0}
        self.now, self.effects = 0, []

    # ---- the loop

    def take(self, now, event):
        """Handles an event and returns the effects."""
        # The monotonic clock went back, which it should not: no age here is valid any more.
        if now < self.now:
            self.table, self.member_loads = self.table_class(self.terms), MemberLoads(self.terms)
            self.report_at, self.compare_at, self.summary_at, self.advanced_at = None, None, 0, {}
        self.now, self.effects = now, []
        EVENTS[type(event)](self, event)
        return self.effects

    def alarm(self):
        """Time at which the next Tick is due."""
        return min(self.report_at or 0, self.compare_at or 0, self.summary_at)

    def _on_own_loads(self, event):
        self.loads = {
            (cache, source): (_hundredths(in_flight), _hundredths(rate))
            for cache, source, in_flight, rate in event.loads[: self.terms.max_caches]
        }

    def _on_living_routers(self, event):
        self.zone = dict(event.zone)
        self.neighbours = sorted(name for name in self.zone if name != self.name)
        self.reporters = choose_reporters([*self.neighbours, self.name], self.terms.reporters)
        self.reporter_of = assign_reporters(self.zone, self.reporters)
        self.own_reporter = self.reporter_of.get(self.name, self.name)
        self.member_counts = Counter(self.reporter_of.values())
        self.member_loads.keep_only(
            name for name, reporter in self.reporter_of.items() if reporter == self.name
        )
        for kept in (self.forgotten, self.advanced_at):
            for name in [name for name in kept if name not in self.zone]:
                del kept[name]

    def _on_tick(self, event):
        if self.report_at is None:  # a random offset, so that not all report at once after a common start
            self.report_at = self.now + self.random.randrange(self.terms.min_report_interval)
            self.compare_at = self.now + self.random.randrange(self.terms.compare_interval)
        if self.now >= self.report_at:
            self.report_at = self.now + self._jittered(self._report_interval())
            self._report()
        if self.now >= self.compare_at:
            self.compare_at = self.now + self._jittered(self.terms.compare_interval)
            removed = self.table.forget(self.now, {**self.zone, self.name: self.life})
            self.forgotten.update((name, (*row, self.now)) for name, row in removed.items())
            self._send_digest()
        if self.now >= self.summary_at:
            self.summary_at = self.now + self.terms.summary_interval
            self.effects.append(protocol.Summaries(self.summaries()))

    def _jittered(self, interval):
        return interval - interval // 10 + self.random.randrange(max(1, interval // 5))

    def _report_interval(self):
        """Shorter in a zone of few reporters: its reports are as fresh as the byte budget allows."""
        full = self.terms.report_interval
        if self.own_reporter != self.name:
            return full
        return max(
            self.terms.min_report_interval, full * (len(self.reporters) - 2) // (self.terms.reporters - 2)
        )

    def _report(self):
        self.number += 1
        self.member_loads.forget(self.now, self.zone)
        if self.own_reporter == self.name:
            self.reported_loads = self.loads
            sums, count = self.member_loads.sums(self.loads), 1 + len(self.member_loads.rows)
            self.table.merge(self.now, self._build_report(sums, self.member_loads.age(self.now), count))
        else:
            self.member_loads.rows.clear()
            if self.own_reporter:
                self.reported_loads = self.loads
                self.effects.append(
                    protocol.Send(
                        self.own_reporter, protocol.Delegation(self._build_report(self.loads, 0, 1))
                    )
                )

    def _build_report(self, sums, age, member_count):
        """Returns one Report that fits a datagram: where there are many caches, a part of them in turn."""
        loads = [
            protocol.Load(*key, min(protocol.MAX_LOAD, int(in_flight)), min(protocol.MAX_LOAD, int(rate)))
            for key, (in_flight, rate) in sorted(sums.items())
        ]
        parts, room = [[]], 0
        for load in loads:
            room -= load.size()
            if room < 0 or len(parts[-1]) >= protocol.MAX_LOADS:
                parts.append([])
                room = protocol.MAX_REPORT_BYTES - protocol.REPORT_OVERHEAD - load.size()
            parts[-1].append(load)
        parts = parts[1:] or [[]]
        return protocol.Report(
            self.name,
            self.life,
            self.number,
            age,
            member_count,
            len(parts) == 1,
            parts[self.number % len(parts)],
        )

    # ---- comparing

    def _digest(self, is_reply):
        reporters = self.table.reporters.values()
        return protocol.TableDigest(
            [(reporter.process_hash, reporter.number) for reporter in reporters], is_reply
        )

    def _send_digest(self):
        if self.neighbours:
            self.effects.append(protocol.Send(self.random.choice(self.neighbours), self._digest(False)))

    def _on_received(self, received):
        if self.zone.get(received.name) != received.life or received.name == self.name:
            self.counts["refused"] += 1  # from another zone, or not alive in the view
            return
        MESSAGES[type(received.message)](self, received)

    def _on_digest(self, received):
        theirs = dict(received.message.versions)
        mine = {
            reporter.process_hash: (name, reporter.number) for name, reporter in self.table.reporters.items()
        }
        hashes = {name: key for key, (name, _) in mine.items()}
        newer = [name for key, (name, number) in mine.items() if number > theirs.get(key, -1)]
        newer.sort(key=lambda name: (-self.table.reporters[name].reported_at, name))  # the freshest first
        batch, size, batches = [], 0, 0
        for report in (
            report
            for name in newer
            for report in self.table.reports(self.now, name, theirs.get(hashes[name], -1))
        ):
            if batch and (
                size + report.size() > protocol.MAX_REPORT_BYTES or len(batch) >= protocol.MAX_REPORTS
            ):
                self.effects.append(protocol.Send(received.name, protocol.ReportList(batch)))
                batch, size, batches = [], 0, batches + 1
                if batches >= MAX_DATAGRAMS:
                    break
            batch.append(report)
            size += report.size()
        if batch:
            self.effects.append(protocol.Send(received.name, protocol.ReportList(batch)))
        lacks = any(number > mine.get(key, ("", -1))[1] for key, number in theirs.items())
        if lacks and not received.message.is_reply:
            self.effects.append(protocol.Send(received.name, self._digest(True)))

    def _on_reports(self, received):
        for report in received.message.reports:
            if self._is_plausible(report):
                before = self.table.reporters.get(report.reporter)
                number = before.number if before is not None else -1
                if self.table.merge(self.now, report):
                    self.counts["merged"] += 1
                    if report.number > number:
                        self.advanced_at[report.reporter] = self.now
                else:
                    self.counts["old"] += 1
            else:
                self.counts["refused"] += 1

    def _is_plausible(self, report):
        """Whether its reporter is alive in the view under that life and can have reached that number."""
        if report.reporter == self.name or self.zone.get(report.reporter) != report.life:
            return False
        life, number, when = self.forgotten.get(report.reporter, (-1, 0, 0))
        if report.life == life and report.number <= number and self.now - when < protocol.MAX_AGE:
            return False
        before = self.table.reporters.get(report.reporter)
        if before is None or before.life != report.life:
            return True
        elapsed = self.now - self.advanced_at.get(report.reporter, self.now)
        return not too_far_ahead(report.number, before.number, elapsed, self.terms.min_report_interval)

    def _on_delegation(self, received):
        report = received.message.report
        own = (report.reporter, report.life) == (received.name, received.life)
        own &= self.reporter_of.get(report.reporter) == self.name  # else several reporters would count it
        if not own or not self.member_loads.store(self.now, report):
            self.counts["refused" if not own else "old"] += 1

    # ---- output

    def summary(self, cache, source=""):
        """Returns the Summary of the other routers' loads at a cache, or None."""
        key = cache, source
        (in_flight, rate), own_report = self.reported_loads.get(key, (0, 0)), ("", 0)
        if self.own_reporter == self.name:  # the members it covers as they are now, not as reported last
            if self.sums_at != self.now:
                self.sums_at = self.now
                self.sums, self.sums_age = self.member_loads.sums({}), self.member_loads.age(self.now, 0)
            in_flight, rate = self.sums.get(key, (0.0, 0.0))
            own_report = self.name, self.sums_age
        return self.table.summary(
            self.now,
            cache,
            len(self.neighbours),
            self.member_counts,
            source,
            (in_flight / protocol.LOAD_SCALE, rate / protocol.LOAD_SCALE),
            self.own_reporter,
            own_report,
        )

    def summaries(self):
        """Returns the Summary of each cache that reports are known of."""
        found = (self.summary(cache) for cache in self.table.caches())
        return tuple(summary for summary in found if summary is not None)


def _hundredths(value):
    return max(0, min(protocol.MAX_LOAD, round(value * protocol.LOAD_SCALE)))


EVENTS = {
    protocol.Tick: Exchange._on_tick,
    protocol.Received: Exchange._on_received,
    protocol.OwnLoads: Exchange._on_own_loads,
    protocol.LivingRouters: Exchange._on_living_routers,
}
MESSAGES = {
    protocol.TableDigest: Exchange._on_digest,
    protocol.ReportList: Exchange._on_reports,
    protocol.Delegation: Exchange._on_delegation,
}
