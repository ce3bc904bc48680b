"""A follower's place in the order: what comes is applied, passed over, or ends the connection, by a table."""

from collections.abc import Sequence

from . import types
from .catch_up import CatchUp
from .slice_codec import Row

# How what came stands to the place, and what is done.
REPEATED, NEXT, GAP, LOWER_EPOCH, SNAPSHOT_PART = (
    "repeated",
    "next",
    "gap",
    "lower epoch",
    "part of a snapshot",
)
PASS, APPLY, CUT, KEEP = "pass", "apply", "cut", "keep"
TABLE = {
    REPEATED: PASS,
    NEXT: APPLY,
    GAP: CUT,  # asked for again from the place on
    LOWER_EPOCH: CUT,  # a former life of the desk, or a restored store that does not know it is one
    SNAPSHOT_PART: KEEP,
}


class Place:
    """Where one follower stands.

    position: of the newest purge applied. seen: the highest epoch heard of. parts: the purges of a snapshot
    under way, None outside of one. catch_up: which slices of a snapshot are missing.
    """

    def __init__(self) -> None:
        """Before the first purge."""
        self.position, self.seen = types.START, 0
        self.parts: list[types.Purge] | None = None
        self.catch_up = CatchUp()
        self._listed: Sequence[Row] = ()  # slices of the snapshot under way

    def epoch(self, epoch: int) -> bool:
        """Each message of the desk carries its epoch. False: it is one that must not be heard."""
        if epoch < self.seen:
            return False
        self.seen = epoch
        return True

    def purge(self, purge: types.Purge) -> str:
        """What is done with it: PASS, APPLY, CUT or KEEP."""
        action = TABLE[self._relation(purge)]
        if action == APPLY:
            self.position = types.Position(purge.epoch, purge.n)
        elif action == KEEP:
            self.parts.append(purge)
        return action

    def _relation(self, purge: types.Purge) -> str:
        if self.parts is not None:
            return SNAPSHOT_PART
        if purge.n <= self.position.n and purge.epoch <= self.position.epoch:
            return REPEATED
        if purge.epoch < self.position.epoch:
            return LOWER_EPOCH
        return NEXT if purge.n == self.position.n + 1 else GAP

    def begin(self, listed: Sequence[Row] = ()) -> None:
        """A snapshot begins; what of it has come is worth nothing until it has ended. listed: its slices."""
        self.parts, self._listed = [], listed

    def end(self, position: types.Position, count: int) -> list[types.Purge] | None:
        """The snapshot's purges, or None where it is not whole.

        The place may go back: to where a store that was restored ends. What was applied stays applied.
        """
        parts, self.parts = self.parts, None
        if parts is None or len(parts) != count:
            return None
        self.catch_up.listed(self._listed, self.position)
        self.position = position
        return parts

    def whole(self) -> types.Position:
        """Up to where all that is sealed is held."""
        return self.catch_up.whole(self.position)

    def list_anew(self) -> None:
        """Slices of the snapshot cannot be had any more: another one is asked for, from the order's start."""
        self.position = types.START
        self.catch_up.lost()

    def goes_on(self) -> None:
        """A message outside of a snapshot has come."""
        if self.catch_up.list_anew:
            self.catch_up.resumed()

    def broken(self) -> None:
        """The connection is over: half a snapshot is none."""
        self.parts = None
