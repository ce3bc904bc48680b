"""The desk's status of its newest purges: submission key, and when each was accepted and took effect."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from ..purges import wire
from ..purges.followers import Followers
from ..purges.types import Purge

MAX_RECENT = 10_000  # purges whose status can be requested
MAX_BEHIND = 100  # followers listed as behind in one answer


class RecentPurge(NamedTuple):
    """A purge and its acceptance. accepted_steady: by the steady clock; None: by a previous incarnation."""

    purge: Purge
    accepted_at: int  # by the desk's clock
    accepted_steady: int | None
    key: str  # of its submission


class RecentPurges:
    """The newest purges by number. Times are in tenths of a millisecond, of the desk's clock or steady."""

    def __init__(self) -> None:
        """Starts empty."""
        self.rows: dict[int, RecentPurge] = {}  # in order, the newest last
        self.effective_at: dict[int, int] = {}  # number -> time from which it is in effect

    def restore(self, stored: Iterable[tuple[Purge, str]]) -> None:
        """Replaces all rows by a store's purges, each with its key; keeps the rows of this incarnation."""
        known, self.rows = self.rows, {}
        for purge, key in stored:
            row = known.get(purge.n)
            # The timestamp stands in for the time of acceptance, which is one disk write later.
            is_same = row is not None and row.purge == purge
            self.rows[purge.n] = row if is_same else RecentPurge(purge, purge.timestamp, None, key)
        self.effective_at = {
            number: effective
            for number, effective in self.effective_at.items()
            if self.rows.get(number) == known.get(number)
        }

    def add(self, now: int, wall_now: int, purges: Iterable[Purge], keys: Iterable[str]) -> None:
        """Adds purges accepted now. now: steady time; wall_now: desk time; keys: submission key of each
        purge.
        """
        for purge, key in zip(purges, keys):
            self.rows.pop(purge.n, None)  # from before the store was restored
            self.effective_at.pop(purge.n, None)
            self.rows[purge.n] = RecentPurge(purge, wall_now, now, key)
        while len(self.rows) > MAX_RECENT:
            number = next(iter(self.rows))
            del self.rows[number]
            self.effective_at.pop(number, None)

    def in_effect(self, number: int, effective: int) -> None:
        """Records the time from which a purge is in effect."""
        if number in self.rows:
            self.effective_at[number] = effective

    def newest(self, limit: int) -> list[int]:
        """Returns the numbers of up to limit of the newest purges, the newest last."""
        return list(self.rows)[-limit:]

    def facts(self, number: int, now: int, restored_at: int, followers: Followers) -> dict[str, Any] | None:
        """Returns the facts of a purge, or None if it is not among the newest.

        now: steady time. restored_at: the desk time at which this incarnation read the store. `by`: the purge
        was accepted by a previous incarnation, so in_effect_ms is an upper bound.
        """
        if number not in self.rows:
            return None
        purge, accepted_at, accepted_steady, key = self.rows[number]
        is_restored, effective = accepted_steady is None, self.effective_at.get(number)
        if is_restored:
            latest = restored_at + followers.latest(0)
            # Older than the uncertain period at the start of this incarnation: in effect after at most that
            # period.
            if effective is None and accepted_at < restored_at - followers.doubt():
                effective = latest = accepted_at + 2 * followers.span + followers.settling()
        else:
            latest = accepted_at + followers.latest(accepted_steady) - accepted_steady
        behind = [] if is_restored and effective is not None else followers.behind(now, number)[:MAX_BEHIND]
        return {
            "number": wire.number(purge),
            "sort": purge.kind,
            "what": purge.what,
            "key": key,
            "accepted_ms": accepted_at // 10,
            "in_effect_ms": effective // 10 if effective is not None else None,
            "by": is_restored,
            "latest_ms": latest // 10,
            "members": len(followers.rows),
            "behind": [{"name": name, "state": state, "n": position} for name, state, position in behind],
        }
