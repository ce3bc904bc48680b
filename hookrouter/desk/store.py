"""The interface of a desk's store: a local file, or the fleet's replicated log."""

from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred

from ..purges.ledger import Keys
from ..purges.tail import Tail
from ..purges.types import Purge
from ..stores.purge_log import LoadedPurges


class RestoredOrder(NamedTuple):
    """What a desk starts from: the order and the submission keys, built from what the store held (loaded)."""

    tail: Tail
    keys: Keys
    loaded: LoadedPurges


class Store(Protocol):
    """Stores a desk's order: LocalStore, or Kept of fleet/member/purges.py. Deferreds fail with the error."""

    def append(self, batch: tuple[tuple[Purge, str], ...]) -> Deferred[None]:
        """Appends the next purges of the order, each with the key of its submission."""

    def reopen(self, min_epoch: int) -> Deferred[RestoredOrder]:
        """Reads everything again under a new epoch of at least min_epoch."""

    def truncate(self, up_to: int) -> Deferred[None]:
        """Removes the purges up to and including that number."""

    def seal(self) -> Deferred[bool]:
        """Seals one batch of old purges, so that a start need not read them; whether more are waiting."""

    def update_followers(self, joined: list[tuple[str, int]], left: list[str]) -> Deferred[None]:
        """joined: (name, generation) of followers to be added; left: names of followers to be removed."""

    def close(self) -> Deferred[None]:
        """Ends writing."""

    def release(self) -> None:
        """Releases what close left; called after it has fired."""
