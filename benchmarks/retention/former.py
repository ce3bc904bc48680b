"""The baseline: what a router kept before slices, as a plain model.

Names up to a most stand one by one, all others share bounds by crc32; a tag purge binds every object whose
tags are not remembered; a pattern past the most binds every name.
"""

from zlib import crc32

from hookrouter.purges import types as w

from .copies import Lookup
from .stock import Named, concerns

MOST_NAMES = 100_000
SHARED = 1 << 14
MOST_PATTERNS = 4_096


class FormerBounds:
    """Bounds in made-up time, skew left out."""

    def __init__(self) -> None:
        """Empty."""
        self._own: dict[str, dict[str, int]] = {w.OBJECT: {}, w.TAG: {}}
        self._shared: dict[str, dict[int, int]] = {w.OBJECT: {}, w.TAG: {}}
        self._patterns: dict[str, tuple[Named, int]] = {}
        self._any_tag = self._all = 0

    def told(self, made: int, purge: Named) -> None:
        """One purge more."""
        if purge.kind in self._own:
            own = self._own[purge.kind]
            if purge.what in own or len(own) < MOST_NAMES:
                own[purge.what] = made
            else:
                self._shared[purge.kind][crc32(purge.what.encode()) % SHARED] = made
            if purge.kind == w.TAG:
                self._any_tag = made
        elif purge.what in self._patterns or len(self._patterns) < MOST_PATTERNS:
            self._patterns[purge.what] = purge, made
        else:
            self._all = made

    def holds(self, now: int, lookup: Lookup, remembered: bool) -> bool:
        """Whether the copy is asked for anew. remembered: its tags are."""
        bounds = [self._all, self._of(w.OBJECT, lookup.name)]
        bounds += [self._of(w.TAG, tag) for tag in lookup.tags] if remembered else [self._any_tag]
        if now - lookup.age <= max(bounds):
            return True
        return any(
            made >= now - lookup.age and concerns(purge, lookup.name)
            for purge, made in self._patterns.values()
        )

    def _of(self, kind: str, name: str) -> int:
        shared = self._shared[kind].get(crc32(name.encode()) % SHARED, 0)
        return max(self._own[kind].get(name, 0), shared)
