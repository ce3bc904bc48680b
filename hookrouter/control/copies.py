"""Copies that the router itself keeps: which answers are stored and which lookups they satisfy."""

from .. import interface
from ..tables.copy_cache import CopyCache
from .purges import PURGE_SLACK

MAX_COPY_SHARE = 1 / 16  # of the capacity: a larger copy would evict too many others


class Copies:
    """The router's own copies and the queue of its own link, which sends them."""

    def __init__(self, state, terms, purges):
        self.state, self.purges, self.kinds = state, purges, terms.kinds
        self.capacity, self.concurrent_answers, self.answer_rate = (
            terms.own_copy_bytes,
            terms.own_concurrent_answers or 1,
            terms.own_answer_rate or 1,
        )
        self.link_free_at, self.stored = 0, CopyCache(terms.own_copy_bytes)

    def try_answer(self, lookup, budget_share):
        """Answers the lookup from an own copy if that is fresh and arrives within this share of the latency
        budget; returns whether it did. The link sends copies in order.
        """
        made, size, _ = self.stored.get(lookup.copy_key)
        if made is None:
            return False
        kind, sending_time, now = self.kinds[lookup.kind_index], size / self.answer_rate, self.state.now
        link_free_at = max(now, self.link_free_at) + sending_time / self.concurrent_answers
        budget = budget_share * (kind.latency_budget + kind.budget_stretch * sending_time)
        late = max(now + sending_time, link_free_at) > min(lookup.due, now + max(sending_time, budget))
        if made < self.purges.earliest_allowed(lookup) or now - made > (kind.fresh_duration or now) or late:
            return False
        self.link_free_at = link_free_at
        self.stored.mark_used(lookup.copy_key)
        self.state.emit(interface.Give(lookup.id))
        return True

    def keep(self, lookup, end):
        """Stores the copy that this answer carries, unless a purge has invalidated it since it was made."""
        kind = self.kinds[lookup.kind_index]
        if end.copy is None or not self.capacity or kind.idempotency != interface.IDEMPOTENT or kind.write:
            return
        made, size = end.copy
        purged_at = self.purges.newest_purge(lookup) + PURGE_SLACK
        if (
            made <= max(purged_at, self.purges.earliest_allowed(lookup))
            or size > self.capacity * MAX_COPY_SHARE
        ):
            return
        self._drop(self.stored.put(lookup.copy_key, made, size, lookup.group))
        self.state.emit(interface.Keep(lookup.id, end.send))

    def purge(self, target, purged_at):
        """Drops the copies of this object or group that were made up to the purge."""
        self._drop(self.stored.purge(target, purged_at + PURGE_SLACK))

    def _drop(self, keys):
        for key in keys:
            self.state.emit(interface.Drop(*key))
