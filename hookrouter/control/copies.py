"""Copies that the router itself keeps: which answers are stored and which lookups they satisfy."""

from typing import NamedTuple

from .. import interface
from ..tables.copy_cache import COPY_OBJECT_BYTES, CopyCache
from .purges import PURGE_SLACK

MAX_COPY_SHARE = 1 / 16  # of the capacity: a larger copy would evict too many others

MAX_HELD_SHARE = 1 / 8  # of the capacity, for copies that wait to be verified


class HeldCopy(NamedTuple):
    """A copy that is stored once its response is known to be whole; the first three as in a lookup."""

    kind_index: int
    object: str
    group: int
    key: tuple  # (kind, object, part)
    made: int
    size: int


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
        self.held = {}  # (lookup id, send number) -> HeldCopy

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
        if now - made > (kind.fresh_duration or now) or late:
            return False
        if made < max(self.purges.earliest_allowed(lookup), self.purges.earliest_heard()):
            return False
        self.link_free_at = link_free_at
        self.stored.mark_used(lookup.copy_key)
        self.state.emit(interface.Give(lookup.id))
        return True

    def hold(self, lookup, end):
        """Holds the copy that this answer carries until it is known whether the answer was whole."""
        kind = self.kinds[lookup.kind_index]
        if end.copy is None or not self.capacity or kind.idempotency != interface.IDEMPOTENT or kind.write:
            return
        made, size = end.copy
        held = HeldCopy(lookup.kind_index, lookup.object, lookup.group, lookup.copy_key, made, size)
        if size > self.capacity * MAX_COPY_SHARE or self._is_purged(held):
            return
        if self.stored.reserved + size + COPY_OBJECT_BYTES > self.capacity * MAX_HELD_SHARE:
            return
        self.held[lookup.id, end.send] = held
        self._drop(self.stored.reserve(size))
        self.state.emit(interface.HoldCopy(lookup.id, end.send))

    def on_verified(self, event):
        """Stores a held copy if its response was whole and no purge has invalidated it since it was made."""
        held = self.held.pop((event.id, event.send), None)
        if held is None:
            return
        self.stored.release(held.size)
        if event.whole and not self._is_purged(held):
            self._drop(self.stored.put(held.key, held.made, held.size, held.group))
            self.state.emit(interface.Keep(event.id, event.send))

    def on_revoked(self, event):
        """Drops a stored copy whose response turned out not to be whole, unless another has replaced it."""
        key = event.kind, event.object, event.part
        if self.stored.get(key)[0] == event.made:
            self._drop(self.stored.remove(key))

    def purge_all(self):
        """Drops all stored copies: any of them may have been purged."""
        self._drop(self.stored.clear())

    def _is_purged(self, copy):
        purged_at = self.purges.newest_purge(copy) + PURGE_SLACK
        return copy.made <= max(purged_at, self.purges.earliest_allowed(copy))

    def purge(self, target, purged_at):
        """Drops the copies of this object or group that were made up to the purge."""
        self._drop(self.stored.purge(target, purged_at + PURGE_SLACK))

    def _drop(self, keys):
        for key in keys:
            self.state.emit(interface.Drop(*key))
