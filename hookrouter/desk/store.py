"""What a desk needs of what keeps its order: on a disk of its own, or in the fleet's log."""

from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred

from ..purges.ledger import Keys
from ..purges.tail import Tail
from ..purges.types import Purge
from ..stores.purge_log import LoadedPurges


class RestoredOrder(NamedTuple):
    """What a store held, for a life of the desk that begins with it."""

    tail: Tail
    keys: Keys
    loaded: LoadedPurges


class Store(Protocol):
    """What keeps a desk's order: LocalStore, or the Kept of fleet/member/purges.py."""

    def append(self, batch: tuple[tuple[Purge, str], ...]) -> Deferred[None]:
        """The next purges of the order, each with the key of its submission."""

    def reopen(self, min_epoch: int) -> Deferred[RestoredOrder]:
        """All of it under a new epoch, not below least."""

    def truncate(self, up_to: int) -> Deferred[None]:
        """Forgets all up to that number."""

    def seal(self) -> Deferred[bool]:
        """A step that seals old purges, so that a start need not read them; whether more of them wait."""

    def update_followers(self, joined: list[tuple[str, int]], left: list[str]) -> Deferred[None]:
        """joined: (name, generation) of those to be remembered; left: names of those to be forgotten."""

    def close(self) -> Deferred[None]:
        """No more is written."""

    def release(self) -> None:
        """After close has fired."""
