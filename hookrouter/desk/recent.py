"""What the desk shows of its newest purges: by whom, when accepted, and from when each is in effect."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from ..purges import wire
from ..purges.followers import Followers
from ..purges.types import Purge

MOST_LATEST = 10_000  # purges whose numbers and times are shown on request
MOST_BEHIND = 100  # followers that one answer names


class Recent(NamedTuple):
    """One of them. at: the steady time at which it was accepted; None: by a former life of the desk."""

    purge: Purge
    wall: int  # when it was accepted, by the desk's clock
    at: int | None
    key: str  # of its submission


class RecentPurges:
    """So many of the newest, by number. Times are in tenths of a millisecond; wall: of the desk's clock."""

    def __init__(self) -> None:
        """Knows none yet."""
        self.rows: dict[int, Recent] = {}  # the newest last
        self.effects: dict[int, int] = {}  # n -> wall time from which it is in effect

    def recall(self, stored: Iterable[tuple[Purge, str]]) -> None:
        """The purges of a store, each with its key, in place of all; those of this life stay as known."""
        known, self.rows = self.rows, {}
        for purge, key in stored:
            row = known.get(purge.n)
            # The time of the order stands in for that of the acceptance, which is after it by one write.
            same = row is not None and row.purge == purge
            self.rows[purge.n] = row if same else Recent(purge, purge.timestamp, None, key)
        self.effects = {n: at for n, at in self.effects.items() if self.rows.get(n) == known.get(n)}

    def add(self, now: int, wall: int, purges: Iterable[Purge], keys: Iterable[str]) -> None:
        """Accepted now, by the steady clock. keys: of their submissions, one for each."""
        for purge, key in zip(purges, keys):
            self.rows.pop(purge.n, None)  # of before a store was restored
            self.effects.pop(purge.n, None)
            self.rows[purge.n] = Recent(purge, wall, now, key)
        while len(self.rows) > MOST_LATEST:
            n = next(iter(self.rows))
            del self.rows[n]
            self.effects.pop(n, None)

    def in_effect(self, n: int, wall: int) -> None:
        """Purge n is in effect from that time on."""
        if n in self.rows:
            self.effects[n] = wall

    def newest(self, most: int) -> list[int]:
        """Numbers of so many of the newest, the newest last."""
        return list(self.rows)[-most:]

    def facts(self, n: int, now: int, recalled: int, followers: Followers) -> dict[str, Any] | None:
        """What is known of purge n, or None. recalled: the wall time from when this life counts what those
        before it accepted. With `by` it was in effect by in_effect_ms.
        """
        if n not in self.rows:
            return None
        purge, wall, at, key = self.rows[n]
        former, effect = at is None, self.effects.get(n)
        if former:
            latest = recalled + followers.latest(0)
            # Not doubtful at the start of this life: in effect by the span that the doubt has.
            if effect is None and wall < recalled - followers.doubt():
                effect = latest = wall + 2 * followers.span + followers.settling()
        else:
            latest = wall + followers.latest(at) - at
        behind = [] if former and effect is not None else followers.behind(now, n)[:MOST_BEHIND]
        return {
            "number": wire.number(purge),
            "sort": purge.kind,
            "what": purge.what,
            "key": key,
            "accepted_ms": wall // 10,
            "in_effect_ms": effect // 10 if effect is not None else None,
            "by": former,
            "latest_ms": latest // 10,
            "members": len(followers.rows),
            "behind": [{"name": name, "state": state, "n": place} for name, state, place in behind],
        }
