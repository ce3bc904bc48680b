"""Copies of the router's own: what is kept of answers, and which lookups they satisfy."""

from .. import interface
from ..tables.copy_cache import CopyCache
from .purges import PURGE_SLACK

OWN_LARGEST = 1 / 16  # of the room: one copy beyond it would cost too many others


class Copies:
    def __init__(self, beliefs, terms, purges):
        self.b, self.purges, self.kinds = beliefs, purges, terms.kinds
        self.room, self.flows, self.flow = (
            terms.own_copy_bytes,
            terms.own_concurrent_answers or 1,
            terms.own_answer_rate or 1,
        )
        self.free, self.kept = 0, CopyCache(terms.own_copy_bytes)  # when the router's own link is free

    def given(self, lk, share):
        """Whether one was fresh and there in time over the router's own link, which takes them in order."""
        made, size, _ = self.kept.get(lk.copy_key)
        if made is None:
            return False
        kind, pure, now = self.kinds[lk.kind_index], size / self.flow, self.b.now
        free = max(now, self.free) + pure / self.flows
        budget = share * (kind.latency_budget + kind.budget_stretch * pure)
        late = max(now + pure, free) > min(lk.due, now + max(pure, budget))
        if made < self.purges.guarded(lk) or now - made > (kind.fresh_duration or now) or late:
            return False
        self.free = free
        self.kept.mark_used(lk.copy_key)
        self.b.emit(interface.Give(lk.id))
        return True

    def keep(self, lk, end):
        """Never what a purge has told to be old, though it may have been sent for before."""
        kind = self.kinds[lk.kind_index]
        if end.copy is None or not self.room or kind.idempotency != interface.IDEMPOTENT or kind.write:
            return
        made, size = end.copy
        purged = self.purges.newest(lk) + PURGE_SLACK
        if made <= max(purged, self.purges.guarded(lk)) or size > self.room * OWN_LARGEST:
            return
        self._drop(self.kept.put(lk.copy_key, made, size, lk.group))
        self.b.emit(interface.Keep(lk.id, end.send))

    def purge(self, name, made):
        self._drop(self.kept.purge(name, made + PURGE_SLACK))

    def _drop(self, gone):
        for own in gone:
            self.b.emit(interface.Drop(*own))
