"""What the desk shows of its newest purges: by whom, when accepted, and from when each is in effect."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from ..purges import wire
from ..purges.followers import Followers
from ..purges.types import Purge

MAX_RECENT = 10_000  # purges whose numbers and times are shown on request
MAX_BEHIND = 100  # followers that one answer names


class RecentPurge(NamedTuple):
    """One of them. at: the steady time at which it was accepted; None: by a former life of the desk."""

    purge: Purge
    accepted_at: int  # when it was accepted, by the desk's clock
    accepted_steady: int | None
    key: str  # of its submission


class RecentPurges:
    """So many of the newest, by number. Times are in tenths of a millisecond; wall: of the desk's clock."""

    def __init__(self) -> None:
        """Knows none yet."""
        self.rows: dict[int, RecentPurge] = {}  # the newest last
        self.effective_at: dict[int, int] = {}  # n -> wall time from which it is in effect

    def recall(self, stored: Iterable[tuple[Purge, str]]) -> None:
        """The purges of a store, each with its key, in place of all; those of this life stay as known."""
        known, self.rows = self.rows, {}
        for purge, key in stored:
            row = known.get(purge.n)
            # The time of the order stands in for that of the acceptance, which is after it by one write.
            is_same = row is not None and row.purge == purge
            self.rows[purge.n] = row if is_same else RecentPurge(purge, purge.timestamp, None, key)
        self.effective_at = {
            number: effective
            for number, effective in self.effective_at.items()
            if self.rows.get(number) == known.get(number)
        }

    def add(self, now: int, wall_now: int, purges: Iterable[Purge], keys: Iterable[str]) -> None:
        """Accepted now, by the steady clock. keys: of their submissions, one for each."""
        for purge, key in zip(purges, keys):
            self.rows.pop(purge.n, None)  # of before a store was restored
            self.effective_at.pop(purge.n, None)
            self.rows[purge.n] = RecentPurge(purge, wall_now, now, key)
        while len(self.rows) > MAX_RECENT:
            number = next(iter(self.rows))
            del self.rows[number]
            self.effective_at.pop(number, None)

    def in_effect(self, number: int, effective: int) -> None:
        """Purge n is in effect from that time on."""
        if number in self.rows:
            self.effective_at[number] = effective

    def newest(self, limit: int) -> list[int]:
        """Numbers of so many of the newest, the newest last."""
        return list(self.rows)[-limit:]

    def facts(self, number: int, now: int, recalled_at: int, followers: Followers) -> dict[str, Any] | None:
        """What is known of purge n, or None. recalled: the wall time from when this life counts what those
        before it accepted. With `by` it was in effect by in_effect_ms.
        """
        if number not in self.rows:
            return None
        purge, accepted_at, accepted_steady, key = self.rows[number]
        is_former, effective = accepted_steady is None, self.effective_at.get(number)
        if is_former:
            latest = recalled_at + followers.latest(0)
            # Not doubtful at the start of this life: in effect by the span that the doubt has.
            if effective is None and accepted_at < recalled_at - followers.doubt():
                effective = latest = accepted_at + 2 * followers.span + followers.settling()
        else:
            latest = accepted_at + followers.latest(accepted_steady) - accepted_steady
        behind = [] if is_former and effective is not None else followers.behind(now, number)[:MAX_BEHIND]
        return {
            "number": wire.number(purge),
            "sort": purge.kind,
            "what": purge.what,
            "key": key,
            "accepted_ms": accepted_at // 10,
            "in_effect_ms": effective // 10 if effective is not None else None,
            "by": is_former,
            "latest_ms": latest // 10,
            "members": len(followers.rows),
            "behind": [{"name": name, "state": state, "n": place} for name, state, place in behind],
        }
