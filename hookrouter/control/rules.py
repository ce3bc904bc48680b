"""Prevents double effects: which lookups may be sent again or nacked, given the sends that may have run."""

from .. import interface

DEDUP_MARGIN = 500  # 50 ms: a repeat must arrive before the caches forget the first send
START_MARGIN = 200  # 20 ms between the latest start of a send and the moment that forbids it


class Rules:
    """Decides by object kind and by the runs that are possible so far."""

    def __init__(self, state, terms):
        self.state, self.kinds, self.may_duplicate = state, terms.kinds, terms.may_duplicate
        self.max_start_delay = min(
            terms.connect_timeout, max(START_MARGIN, min(terms.drain_grace, terms.purge_grace) - START_MARGIN)
        )

    def start_within(self, lookup):
        """The time within which a send must start: later, a named cache may be draining or the caches may
        have forgotten an earlier send.
        """
        kind, now = self.kinds[lookup.kind_index], self.state.now
        runs = () if kind.idempotency == interface.IDEMPOTENT else lookup.possible_runs.values()
        return min(
            [self.max_start_delay, *(when + kind.dedup_duration - DEDUP_MARGIN - now for when, _ in runs)]
        )

    def admissible(self, lookup, target):
        """Whether this lookup may be sent to this cache now."""
        state, kind = self.state, self.kinds[lookup.kind_index]
        if not self.may_duplicate and any(
            (lookup.id, number) in state.pending_sends for number in lookup.possible_runs
        ):
            return False
        if not lookup.possible_runs or kind.idempotency == interface.IDEMPOTENT:
            return True
        column = {interface.SAME_ZONE: state.zone, interface.SAME_CELL: state.cell}.get(kind.dedup_scope)
        same = column is None or all(
            column[earlier] == column[target] for _, earlier in lookup.possible_runs.values()
        )
        return same and self.start_within(lookup) > 0

    def nackable(self, lookup):
        """Whether a retry by the client cannot cause a double effect."""
        kind = self.kinds[lookup.kind_index]
        everywhere = kind.idempotency == interface.DEDUPLICATED and kind.dedup_scope == interface.EVERYWHERE
        return not lookup.possible_runs or kind.idempotency == interface.IDEMPOTENT or everywhere
