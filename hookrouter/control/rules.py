"""No effect twice: what may be sent once more, and what may be nacked, given what may have run."""

from .. import interface

MEMORY_MARGIN = 500  # 50 ms: a repeat must reach the group before it forgets
SPARE = 200  # 20 ms between the last moment to leave and what forbids it


class Rules:
    def __init__(self, beliefs, terms):
        self.b, self.kinds, self.pairs = beliefs, terms.kinds, terms.may_duplicate
        self.soon = min(terms.connect_timeout, max(SPARE, min(terms.drain_grace, terms.purge_grace) - SPARE))

    def leaves_within(self, lk):
        """So long may it wait to leave: by then what it names may drain, or its group forget the first."""
        kind, now = self.kinds[lk.kind_index], self.b.now
        firsts = () if kind.idempotency == interface.IDEMPOTENT else lk.possible_runs.values()
        return min([self.soon, *(when + kind.dedup_duration - MEMORY_MARGIN - now for when, _ in firsts)])

    def admissible(self, lk, target):
        """May this lookup be sent there?"""
        b, kind = self.b, self.kinds[lk.kind_index]
        if not self.pairs and any((lk.id, number) in b.pending_sends for number in lk.possible_runs):
            return False
        if not lk.possible_runs or kind.idempotency == interface.IDEMPOTENT:
            return True
        group = {interface.SAME_ZONE: b.zone, interface.SAME_CELL: b.cell}.get(kind.dedup_scope)
        same = group is None or all(group[first] == group[target] for _, first in lk.possible_runs.values())
        return same and self.leaves_within(lk) > 0

    def nackable(self, lk):
        kind = self.kinds[lk.kind_index]
        everywhere = kind.idempotency == interface.DEDUPLICATED and kind.dedup_scope == interface.EVERYWHERE
        return not lk.possible_runs or kind.idempotency == interface.IDEMPOTENT or everywhere
