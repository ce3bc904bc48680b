"""Accounts for the utility of lookups from the traces of any number of routers: by kind, by second, by cause.

Each lookup is followed from its arrival to its end. The cause of a late one is found by comparison: the time
of its answer beyond the sending time, against that of other sends to the same cache in the same second.
Clocks of routers may differ, so that times of different routers are compared by the second only.
"""

from collections import Counter, defaultdict
from statistics import median
from typing import NamedTuple

from .. import interface
from ..terms import SECOND
from .sizes import by_size

IN_BUDGET, LATE, NACKED, FAILED, CLIENT_LEFT, UNFINISHED = (
    "in budget",
    "late",
    "nacked",
    "failed",
    "left",
    "open",
)
MIN_SENDS = 3  # fewer sends to a cache in one second have no meaningful median


class Send(NamedTuple):
    """One send; known_load: as in the trace, and the sends of all routers in flight to its target."""

    sent_at: int
    target: str
    source: str | None
    hits_only: bool
    known_load: tuple | None


class EndedLookup(NamedTuple):
    """A lookup with its outcome; arrived_at in tenths of a millisecond of Unix time."""

    kind: str
    arrived_at: int
    outcome: str
    reason: str  # of a nack or failure, or the source of an answer without a send
    sends: tuple  # of (Send, outcome, duration)
    size: float = 0.0  # KB, 0 if unknown


class OpenLookup:
    """A lookup without its end so far; ends: send number -> (outcome, duration)."""

    __slots__ = ("request", "arrived_at", "sends", "ends")

    def __init__(self, request, arrived_at):
        self.request, self.arrived_at, self.sends, self.ends = request, arrived_at, [], {}


class Account:
    """Collects lookups from rows of traces and reports on them."""

    def __init__(self):
        self.kinds, self.answer_rate = {}, 0.0
        self.ended_lookups, self.open_lookups = [], {}  # (router, lookup id) -> OpenLookup
        self.rows = self.skipped = 0
        self.waits = defaultdict(list)  # (cache, second) -> times of its answers beyond their sending time
        self.in_flight = {}  # (router, lookup id, send number) -> Send
        self.in_flight_by_cache = Counter()  # of all routers

    def begin(self, header):
        """Starts a run of a router; call it once before the run's rows, not for each segment."""
        self.kinds.update((kind.name, kind) for kind in header.kinds)
        self.answer_rate = header.pace or self.answer_rate
        self.end_run(header.router)

    def end_run(self, router):
        """Ends the router's previous run: its open lookups stay unfinished."""
        for key in [key for key in self.open_lookups if key[0] == router]:
            self._end(self.open_lookups.pop(key), UNFINISHED, "router ended")
        for key in [key for key in self.in_flight if key[0] == router]:
            self.in_flight_by_cache[self.in_flight.pop(key).target] -= 1

    def add(self, router, row):
        """Adds one decision; rows of one router come in their order. Unreadable rows count as skipped."""
        self.rows += 1
        reader = READERS.get(row.event)
        try:
            if reader is not None:
                reader(self, router, row)
            for name, fields, known_load in row.effects:
                if name in EFFECTS:
                    EFFECTS[name](self, router, row, fields, known_load)
        except (IndexError, TypeError, KeyError):
            self.skipped += 1  # written by another version, or damaged

    # ---- inputs

    def _lookup(self, router, row):
        self.open_lookups[router, row.fields[0]] = OpenLookup(interface.Lookup(*row.fields), row.at)

    def _send_ended(self, router, row):
        end = interface.SendEnd(*row.fields)
        send = self.in_flight.pop((router, end.id, end.send), None)
        if send is not None:
            self.in_flight_by_cache[send.target] -= 1
        lookup = self.open_lookups.get((router, end.id))
        if lookup is None or send is None:
            return
        lookup.ends[end.send] = end.outcome, end.duration
        if end.outcome == interface.SATISFIED:
            self.waits[send.target, row.at // SECOND].append(end.duration - self._sending_time(lookup))
            if end.settled:
                self._satisfied(self.open_lookups.pop((router, end.id)), row.at)

    def _satisfied(self, lookup, ended_at, reason=""):
        kind = self.kinds[lookup.request.kind]
        late = ended_at - lookup.arrived_at > kind.latency_budget + kind.budget_stretch * self._sending_time(
            lookup
        )
        self._end(lookup, LATE if late else IN_BUDGET, reason)

    def _client_gone(self, router, row):
        lookup = self.open_lookups.pop((router, row.fields[0]), None)
        if lookup is not None:
            self._end(lookup, CLIENT_LEFT, "client left")

    # ---- effects

    def _send_made(self, router, row, fields, known_load):
        lookup = self.open_lookups.get((router, fields[0]))
        if lookup is None:
            return
        number = len(lookup.sends)
        source, hits_only = (
            (fields[2], fields[7]) if len(fields) > len(interface.Ask._fields) else (None, True)
        )
        send = self.in_flight[router, fields[0], number] = Send(
            row.at, fields[1], source, hits_only, (*known_load, self.in_flight_by_cache[fields[1]])
        )
        self.in_flight_by_cache[fields[1]] += 1
        lookup.sends.append(send)

    def _nack(self, router, row, fields, known_load):
        lookup = self.open_lookups.pop((router, fields[0]), None)
        if lookup is not None:
            self._end(lookup, NACKED, fields[2])

    def _fail(self, router, row, fields, known_load):
        lookup = self.open_lookups.pop((router, fields[0]), None)
        if lookup is not None:
            self._end(lookup, FAILED, fields[1])

    def _answered_from_copy(self, router, row, fields, known_load):
        lookup = self.open_lookups.pop((router, fields[0]), None)
        if lookup is not None:
            self._satisfied(lookup, row.at, "own copy")

    def _end(self, lookup, outcome, reason):
        sends = tuple(
            (send, *lookup.ends.get(number, (None, None))) for number, send in enumerate(lookup.sends)
        )
        self.ended_lookups.append(
            EndedLookup(lookup.request.kind, lookup.arrived_at, outcome, reason, sends, lookup.request.size)
        )

    def _sending_time(self, lookup):
        return lookup.request.size / self.answer_rate if self.answer_rate else 0.0

    # ---- reports

    def by_second(self, step=1):
        """[(second from the first arrival, lookups, {outcome: share}, share of the utility earned, sends per
        lookup)], a row for each `step` seconds in which lookups arrived.
        """
        if not self.ended_lookups:
            return []
        first_arrival, rows = min(lookup.arrived_at for lookup in self.ended_lookups), defaultdict(list)
        for lookup in self.ended_lookups:
            rows[(lookup.arrived_at - first_arrival) // (step * SECOND) * step].append(lookup)
        return [
            (
                second,
                len(lookups),
                shares(lookups),
                self._earned_share(lookups),
                sum(len(lookup.sends) for lookup in lookups) / len(lookups),
            )
            for second, lookups in sorted(rows.items())
        ]

    def by_size(self):
        """Shares of answered lookups by size; see sizes.by_size."""
        return by_size(self.ended_lookups, (IN_BUDGET, LATE))

    def by_kind(self):
        """{kind: (lookups, {outcome: share}, share of the utility earned)}."""
        kinds = defaultdict(list)
        for lookup in self.ended_lookups:
            kinds[lookup.kind].append(lookup)
        return {
            kind: (len(lookups), shares(lookups), self._earned_share(lookups))
            for kind, lookups in sorted(kinds.items())
        }

    def _earned_share(self, lookups):
        offered = sum(self.kinds[lookup.kind].utility for lookup in lookups)
        return sum(self._utility(lookup) for lookup in lookups) / offered if offered else 0.0

    def _utility(self, lookup):
        kind = self.kinds[lookup.kind]
        return kind.utility * {IN_BUDGET: 1.0, LATE: kind.late_share}.get(lookup.outcome, 0.0)

    def lost(self):
        """[((kind, outcome, cause), lookups, share of all offered utility)], the greatest loss first."""
        offered = sum(self.kinds[lookup.kind].utility for lookup in self.ended_lookups) or 1.0
        counts, lost_utility = Counter(), Counter()
        for lookup in self.ended_lookups:
            if lookup.outcome != IN_BUDGET:
                key = lookup.kind, lookup.outcome, self.cause(lookup)
                counts[key] += 1
                lost_utility[key] += (self.kinds[lookup.kind].utility - self._utility(lookup)) / offered
        return [
            (key, counts[key], share)
            for key, share in sorted(lost_utility.items(), key=lambda row: (-row[1], row[0]))
        ]

    def cause(self, lookup):
        """Why this lookup was not satisfied within its latency budget, in words."""
        if lookup.outcome != LATE or not lookup.sends:
            return lookup.reason or "none told"
        if len(lookup.sends) > 1:
            return "after a further send"
        send, _, took = lookup.sends[0]
        others = self.waits.get((send.target, (send.sent_at + (took or 0)) // SECOND), ())
        typical = median(others) if len(others) >= MIN_SENDS else None
        budget = self.kinds[lookup.kind].latency_budget
        if typical is not None and typical > budget / 2:
            return "its cache was slow to all"
        if send.hits_only:
            return "a send for what is held"
        if send.source == send.target:
            return "past the caches"
        return "its fill, others there were quick" if typical is not None else "its fill, or too few others"

    def sends(self):
        """{(category of send, outcome): (count, median duration)}."""
        took = defaultdict(list)
        for lookup in self.ended_lookups:
            for send, outcome, time in lookup.sends:
                category = (
                    "held"
                    if send.hits_only
                    else "itself"
                    if send.source == send.target
                    else ("with a source" if send.source else "plain")
                )
                took[category, outcome or "out at the end"].append(time or 0)
        return {key: (len(times), median(times)) for key, times in sorted(took.items())}

    def by_load(self):
        """First sends by the load of their target: [(fewest and most sends of all routers in flight there,
        sends, mean in flight of the sending router, mean window of those with one, share within the budget)].
        """
        rows = defaultdict(list)
        for lookup in self.ended_lookups:
            for send, _, _ in lookup.sends[:1]:
                if send.known_load is not None:
                    rows[send.known_load[4].bit_length()].append(
                        (send.known_load, lookup.outcome == IN_BUDGET)
                    )
        rows_by_load = []
        for bits, samples in sorted(rows.items()):
            windows = [known_load[1] for known_load, _ in samples if known_load[1] is not None]
            rows_by_load.append(
                (
                    1 << bits >> 1,
                    (1 << bits) - 1,
                    len(samples),
                    sum(known_load[0] - 1 for known_load, _ in samples) / len(samples),
                    sum(windows) / len(windows) if windows else None,
                    sum(in_budget for _, in_budget in samples) / len(samples),
                )
            )
        return rows_by_load


def shares(lookups):
    """{outcome: share of these lookups}, with every outcome."""
    counts = Counter(lookup.outcome for lookup in lookups)
    return {
        outcome: counts[outcome] / len(lookups)
        for outcome in (IN_BUDGET, LATE, NACKED, FAILED, CLIENT_LEFT, UNFINISHED)
    }


READERS = {"Lookup": Account._lookup, "SendEnd": Account._send_ended, "ClientGone": Account._client_gone}
EFFECTS = {
    "Ask": Account._send_made,
    "Obtain": Account._send_made,
    "Nack": Account._nack,
    "Fail": Account._fail,
    "Give": Account._answered_from_copy,
}
