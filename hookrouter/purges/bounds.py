"""How old a copy may be: the newest purge of a name, and the newest that binds answers of sends out, too."""

from __future__ import annotations

from collections.abc import Hashable
from math import inf

ALWAYS_TOLD = -(1 << 62)  # the time told of a bound that binds every answer, whatever the clock says


class Bound:
    """newest is asked for with each new send. It binds answers too once it was told long enough ago; until
    then settled does, the newest of those before it.
    """

    __slots__ = ("newest", "told", "settled")

    def __init__(self, made: int, told: int) -> None:
        """Of one purge: its time, and when this router was told."""
        self.newest, self.told, self.settled = made, told, 0

    def raise_to(self, made: int, told: int, grace: int) -> None:
        """One more purge of the same name."""
        if told - self.told >= grace:
            self.settled, self.told = self.newest, told
        # Else the earlier time stays: purges in quick succession would never be due. Early is the safe side.
        self.newest = max(self.newest, made)

    def copy(self) -> Bound:
        """One that can be joined with others while this one stays."""
        other = Bound(self.newest, self.told)
        other.settled = self.settled
        return other

    def join(self, other: Bound) -> Bound:
        """One bound that is nowhere laxer than both."""
        self.newest = max(self.newest, other.newest)
        self.told = min(self.told, other.told)
        self.settled = max(self.settled, other.settled)
        return self


def raised(bound: Bound | None, made: int, told: int, grace: int) -> Bound:
    """The bound with one more purge, or the purge's own where there was none."""
    if bound is None:
        return Bound(made, told)
    bound.raise_to(made, told, grace)
    return bound


class BoundTable(dict[Hashable, Bound]):
    """Bounds by key, the last told last."""

    def __init__(self) -> None:
        """Empty."""
        super().__init__()
        self._oldest: float = inf  # no bound at the front is older: forgetting looks no sooner

    def raise_to(self, key: Hashable, made: int, told: int, grace: int) -> None:
        """One more purge of that key."""
        self[key] = raised(self.pop(key, None), made, told, grace)
        self._oldest = min(self._oldest, made)

    def forget(self, before: int) -> list[Hashable]:
        """Drops bounds from before that, from the front; the keys that went."""
        if self._oldest >= before:
            return []
        gone = []
        for key, bound in self.items():
            if bound.newest >= before:
                self._oldest = bound.newest
                break
            gone.append(key)
        else:
            self._oldest = inf
        for key in gone:
            del self[key]
        return gone
