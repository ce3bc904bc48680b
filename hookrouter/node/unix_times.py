"""Unix times of the platform's events and answers, translated to the router's own clock where they enter.

A step of the wall clock makes them ambiguous; each is then taken on the safe side, see ProcessClock.
"""

from .. import interface


class UnixTimes:
    """The translations of one router. clock: a ProcessClock."""

    def __init__(self, clock):
        self.clock = clock
        self.starts = {}  # name -> start of a listed cache, as stated and by the clock

    def cache(self, cache):
        """A listed cache with its start by the clock: the latest possible, so none is taken for warm early.

        The same statement keeps its meaning whenever it is repeated.
        """
        if not cache.born or cache.phase == interface.GONE:
            self.starts.pop(cache.id, None)
            return cache
        stated, start = self.starts.get(cache.id, (None, 0))
        if stated != cache.born:
            start = min(self.clock.latest(cache.born), max(self.clock.now(), cache.born))
            self.starts[cache.id] = cache.born, start
        return cache._replace(born=start)

    def keep_only(self, names):
        """Forgets all caches but the named ones."""
        self.starts = {name: start for name, start in self.starts.items() if name in names}

    def purge(self, event):
        """A purge with its time by the clock: the latest possible, so that no copy from before it passes."""
        return event._replace(purged_at=self.clock.latest(event.purged_at))

    def result(self, result):
        """A result with its issue time by the clock: the earliest possible, so no copy passes for newer."""
        if result.issued_at is None:
            return result
        issued_at = self.clock.earliest(result.issued_at)
        storable_issued_at = None if result.storable_issued_at is None else issued_at
        return result._replace(issued_at=issued_at, storable_issued_at=storable_issued_at)
