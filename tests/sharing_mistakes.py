"""Faults seeded into the sharing of loads; the checks must find each of them."""

from hookrouter.decisions.sharing import protocol
from hookrouter.decisions.sharing.exchange import Exchange
from hookrouter.decisions.sharing.load_table import LoadTable
from hookrouter.decisions.sharing.soft_state import Adopted


class AddsTwiceTable(LoadTable):
    def _store(self, reporter, report, reported_at):
        before = dict(reporter.loads)
        changed = super()._store(reporter, report, reported_at)
        for key, load in list(reporter.loads.items()):
            if key in before and before[key][0] == load[0]:  # the same report again
                reporter.loads[key] = (load[0], load[1] + before[key][1], load[2])
        return changed


class AddsTwice(Exchange):
    """A report that comes again counts again."""

    table_class = AddsTwiceTable


class NeverAgesTable(LoadTable):
    def reports(self, now, name, after=-1):
        return [
            protocol.Report(
                report.reporter,
                report.life,
                report.number,
                0,
                report.member_count,
                report.complete,
                report.loads,
            )
            for report in super().reports(now, name, after)
        ]

    def forget(self, now, living=None):
        return {}


class NewsNeverAges(Exchange):
    """Reports are sent on as new and never expire."""

    table_class = NeverAgesTable


class FormerLifeTable(LoadTable):
    def _is_current(self, report, reporter):
        return report.number >= reporter.number

    def forget(self, now, living=None):
        return super().forget(now)


class FormerLifeWins(Exchange):
    """The higher number holds, whichever process reported it, and whether that one is alive."""

    table_class = FormerLifeTable

    def _is_plausible(self, report):
        return report.reporter != self.name


class LastHeardTable(LoadTable):
    def _store(self, reporter, report, reported_at):
        reporter.number, reporter.complete_number, reporter.loads, reporter.report_times = -1, -1, {}, {}
        return super()._store(reporter, report, reported_at)

    def _is_current(self, report, reporter):
        return report.life >= reporter.life


class LastHeardWins(Exchange):
    """The report that arrives last holds, though it was made earlier."""

    table_class = LastHeardTable

    def _on_delegation(self, received):
        self.member_loads.rows.pop(received.message.report.reporter, None)
        super()._on_delegation(received)


class NoBoundTable(LoadTable):
    capped_sum = staticmethod(lambda claims, shares, floor: (sum(claims), False))


class NoBound(Exchange):
    """Claims are not capped."""

    table_class = NoBoundTable


class StepTable(LoadTable):
    age_weight = staticmethod(lambda age, silent_after: 1.0 if age < silent_after else 0.0)


class StepAtTheEnd(Exchange):
    """A report counts in full until it expires."""

    table_class = StepTable


class CountsItself(Exchange):
    """The router's own load is among those of the others."""

    def summary(self, cache, source=""):
        return self.table.summary(self.now, cache, len(self.neighbours), self.member_counts, source)


class ToldSetsAside:
    """Failures that neighbours report count as seen by the router itself."""

    @staticmethod
    def adopted(states):
        return Adopted({row.cache: row.failures for state in states for row in state.caches}, {}, {}, {})


MISTAKES = (
    AddsTwice,
    NewsNeverAges,
    FormerLifeWins,
    LastHeardWins,
    NoBound,
    StepAtTheEnd,
    CountsItself,
    ToldSetsAside,
)
