"""State that one router's decisions work on: pending lookups, sends in flight and the known caches.

Nothing here decides. Each cache has a row; each part of the decisions adds columns of its own to the rows.
"""

from heapq import heappop, heappush

from .. import interface

SECOND = 10_000  # tenths of a millisecond


class PendingLookup:
    """A lookup that still lacks its final answer."""

    __slots__ = (
        "id",
        "kind_index",
        "placement_key",
        "object",
        "group",
        "sending_time",
        "due",
        "state",
        "send_count",
        "overruns",
        "tried_caches",
        "possible_runs",
        "tried_sources",
        "bypassed_caches",
        "hits_only",
        "fill_refused",
        "copy_key",
        "reason",
    )

    def __init__(self, lookup, kind_index, answer_rate, state):
        """kind_index: into the terms' object kinds; answer_rate: KB a second of one answer, 0 if unknown."""
        rate = answer_rate / SECOND
        self.id, self.kind_index, self.object, self.group = lookup.id, kind_index, lookup.object, lookup.group
        self.copy_key = lookup.kind, lookup.object, lookup.part
        self.placement_key = f"{lookup.object}|{lookup.part}|"  # each part is hashed under its own key
        self.sending_time = lookup.size / rate if lookup.size and rate else 0.0  # 0: size or rate unknown
        self.due, self.state = lookup.due, state
        self.send_count = self.overruns = 0
        self.tried_caches, self.tried_sources = [], []  # rows
        self.possible_runs = {}  # sends that run or may have run: send number -> (when, target)
        self.bypassed_caches = self.hits_only = self.fill_refused = False
        self.reason = "time"  # why it was given up; "time" unless another reason is set


class PendingSend:
    """A send whose end has not been reported. target, source and upstream are rows.

    upstream: the parent or origin that feeds the fill, None without a fill; early_timeout: it times out
    before the client's deadline; target_idle: the target was not busy when it was sent.
    """

    __slots__ = (
        "target",
        "source",
        "kind_index",
        "sending_time",
        "sent_at",
        "early_timeout",
        "upstream",
        "target_idle",
        "over_budget",
    )

    def __init__(
        self, target, source, upstream, kind_index, sending_time, sent_at, early_timeout, target_idle
    ):
        self.target, self.source, self.upstream = target, source, upstream
        self.kind_index, self.sending_time, self.sent_at, self.early_timeout, self.target_idle = (
            kind_index,
            sending_time,
            sent_at,
            early_timeout,
            target_idle,
        )
        self.over_budget = False  # its budget passed before its end, and the miss was counted then


class RouterState:
    """The tables of one router, the time of the decision in progress and its effects so far."""

    def __init__(self):
        self.now, self.effects = 0, []
        self.fleet_view = None  # what the other routers of the fleet report, None outside a fleet
        self.pending_lookups, self.pending_sends = {}, {}  # id -> PendingLookup; (id, send) -> PendingSend
        self.alarms, self.last_token = {}, 0
        self.budget_ends = []  # heap of (end of the send's budget, lookup id, send number)
        self.row_by_id, self.columns = {}, []  # cache id -> row; (column, initial value of a new row)
        self.cache_ids, self.machine_type, self.cell, self.zone = (self.add_column(None) for _ in range(4))
        self.weight, self.phase = self.add_column(1.0), self.add_column(interface.GONE)
        # Sends in flight to each cache, and when it last answered.
        self.in_flight, self.last_answer_at = self.add_column(0), self.add_column(0)
        # Sends since its last answer, and when the first of them went out.
        self.unanswered, self.unanswered_since = self.add_column(0), self.add_column(0)
        self.edges, self.parents, self.origins = [], [], []  # rows that sends may go to
        self.edge_capacity = 0  # weight of this location's caches: full-rate answers that their links carry

    def add_column(self, initial):
        """One more parallel array over the rows; call it before there are rows."""
        column = []
        self.columns.append((column, initial))
        return column

    def row_for(self, cache):
        """The row of this cache, created if it is new."""
        row = self.row_by_id.get(cache.id)
        if row is None:
            row = self.row_by_id[cache.id] = self._free_row()
            for column, initial in self.columns:
                column[row : row + 1] = [initial]
            self.cache_ids[row], self.machine_type[row] = cache.id, cache.machine_type
            self.cell[row], self.zone[row] = cache.cell, cache.zone
        return row

    def _free_row(self):
        """A new row, or that of a gone cache that nothing refers to: new ids must not grow the columns."""
        used = {row for send in self.pending_sends.values() for row in (send.target, send.source)}
        for lookup in self.pending_lookups.values():
            used.update(lookup.tried_caches, lookup.tried_sources)
        for row, phase in enumerate(self.phase):
            if phase == interface.GONE and row not in used:
                del self.row_by_id[self.cache_ids[row]]
                return row
        return len(self.cache_ids)

    def keep_only(self, caches):
        """Marks every cache that a whole list leaves out as gone."""
        listed = {cache.id for cache in caches}
        self.phase[:] = [
            phase if name in listed else interface.GONE for name, phase in zip(self.cache_ids, self.phase)
        ]

    def begin_send(self, lookup, send, budget_end):
        """Records one more send of this lookup; budget_end: when its budget is over, or None."""
        number = lookup.send_count
        lookup.send_count += 1
        lookup.possible_runs[number] = send.sent_at, send.target
        lookup.tried_caches.append(send.target)
        if send.source is not None:
            lookup.tried_sources.append(send.source)
        self.pending_sends[lookup.id, number] = send
        self._add_in_flight(send, 1)
        if not self.unanswered[send.target]:
            self.unanswered_since[send.target] = send.sent_at
        self.unanswered[send.target] += 1
        if budget_end is not None:
            heappush(self.budget_ends, (budget_end, lookup.id, number))

    def end_send(self, key):
        """Removes the pending send of this (lookup id, send number) and returns it, or None."""
        send = self.pending_sends.pop(key, None)
        if send is not None:
            self._add_in_flight(send, -1)
        return send

    def record_answer(self, row):
        """Notes that this cache has just answered, whatever the request was."""
        self.last_answer_at[row], self.unanswered[row] = self.now, 0

    def _add_in_flight(self, send, change):
        """Counts the send at its target and, if it fills, at the parent or origin that feeds the fill."""
        self.in_flight[send.target] += change
        if send.upstream not in (None, send.target):
            self.in_flight[send.upstream] += change

    def sends_over_budget(self):
        """Pending sends for whose key a budget has passed. Ids are reused, so that budget may have been that
        of an earlier send with the same key.
        """
        while self.budget_ends and self.budget_ends[0][0] <= self.now:
            send = self.pending_sends.get(heappop(self.budget_ends)[1:])
            if send is not None:
                yield send

    def emit(self, effect):
        """Adds an effect to those of the decision in progress."""
        self.effects.append(effect)

    def set_alarm(self, delay, payload):
        """Requests an alarm; take_alarm() returns payload, (lookup id or None, word), once it goes off."""
        self.last_token += 1
        self.alarms[self.last_token] = payload
        self.emit(interface.SetAlarm(delay, self.last_token))

    def alarm_tokens(self, word):
        """Tokens of the alarms set for this word, in the order in which they were set."""
        return [token for token, (_, what) in self.alarms.items() if what == word]

    def drop_alarm_of_ended(self, token):
        """Removes the alarm if its lookup has ended; returns whether it did. It would change nothing."""
        lookup_id, _ = self.alarms.get(token, (None, None))
        if lookup_id is None or lookup_id in self.pending_lookups:
            return False
        del self.alarms[token]
        return True

    def take_alarm(self, token):
        """Removes the alarm of this token and returns its payload, (None, None) if there is none."""
        return self.alarms.pop(token, (None, None))
