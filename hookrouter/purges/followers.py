"""Who must have heard of a purge before it is in effect, by leases; and when each purge was.

A follower is a router, or a relay with the routers below it. Its lease says: until then it may answer from
copies that purges beyond its position have made old. Once it has run out the follower holds to copies younger
than the lease by itself, so no purge waits for it longer than that. Leases end by a purge's acceptance plus
the lease, whoever is behind: that is the latest time stated.

Operators see followers as "members": that word stands in answers, counters, log lines and the store.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from .types import Purge

DRIFT = 0.01  # share by which the clocks of followers may run slower: quartz is a thousand times better
STRUCK_OFF = 200  # leases without word and a follower is none; by FORGOTTEN it knows that long before
MOST_FOLLOWERS = 10_000  # of one desk or relay; more hang off relays
NEVER = -(1 << 62)

LIVE, LAPSED, UNHEARD = "live", "lapsed", "unheard"


class Renewal(NamedTuple):
    """What a follower says when it asks for its lease. skew: of its clock, in tenths of a millisecond."""

    name: str
    generation: int  # of this life of the follower; a later one ends those before
    on_branch: bool  # its position is one of this order
    n: int  # all up to here is applied; at a relay by all below that are live
    all: int  # at a relay: by all below, those whose lease has run out too; else n
    skew: int
    relay: bool


class Undone(NamedTuple):
    """A purge that is not in effect yet. Times are of the steady clock, in tenths of a millisecond."""

    n: int
    at: int  # accepted, or read from the store by this life
    lease_from: int  # who lacks it may have a lease from then on; NEVER: it may be in effect already


class Follower:
    """What is known of one. until: when its lease ends; heard: when it last asked, None for never."""

    __slots__ = ("name", "generation", "n", "all", "until", "skew", "relay", "heard", "had_lease")

    def __init__(self, name: str, generation: int, until: int, had_lease: bool = True) -> None:
        """Its position is not known before it asks for a lease."""
        self.had_lease = had_lease  # one that never had takes nothing but what the origin gives out anew
        self.name, self.generation, self.until = name, generation, until
        self.n = self.all = -1  # nothing known: it may lack all
        self.skew, self.relay, self.heard = 0, False, None


class Followers:
    """All followers of a desk or relay, and the purges that are not in effect yet.

    Times are of the steady clock; these and spans are in whole tenths of a millisecond.
    """

    def __init__(
        self,
        lease: int,
        skew: int,
        rounding: int,
        now: int,
        names: Iterable[tuple[str, int]] = (),
        assumed: int | None = None,
    ) -> None:
        """names: (name, generation) of those that a former life knew. assumed: for how long their leases may
        still run; 0 at a relay, since the desk goes on counting what it granted to the relay's former life.
        """
        self.lease, self.skew, self.rounding = lease, skew, rounding
        self.span = int(lease * (1 + DRIFT)) + 1
        until = now + (self.span if assumed is None else assumed)
        self.rows = {name: Follower(name, generation, until) for name, generation in names}
        self.ghosts: list[
            tuple[int, int]
        ] = []  # (until, n): leases of former lives, each for a lease at most
        self.struck: set[str] = set()
        self.undone: deque[Undone] = deque()
        # (Undone, when all had it): in effect once it has settled.
        self.reached: deque[tuple[Undone, int]] = deque()

    # ---- events

    def accepted(self, now: int, purges: Iterable[Purge]) -> None:
        """The next purges of the order, none left out."""
        self.undone.extend(Undone(purge.n, now, now) for purge in purges)

    def read_anew(self, now: int, purges: Iterable[Purge]) -> None:
        """After the order was read from the store: the newest purges, those that may not be in effect yet."""
        self.undone.clear()
        self.reached.clear()
        self.undone.extend(Undone(purge.n, now, NEVER) for purge in purges)

    def renew(self, now: int, renewal: Renewal, newest: int, most: int | None = None) -> int | None:
        """The span granted, 0 where it is behind; None where it is an older life of a follower, or too many.

        most: at a relay, what is left of the lease it holds: those below cannot be granted more.
        """
        row = self.rows.get(renewal.name)
        # An earlier life only once the later one's lease is over: its clock may have been set back between.
        if row is not None and renewal.generation < row.generation and row.until > now:
            return None
        if row is None and len(self.rows) >= MOST_FOLLOWERS:
            return None
        if row is None or renewal.generation != row.generation:
            if row is not None and row.until > now:
                # Routers below a relay's former life, or a second one of the same name, may rely on it yet.
                self.ghosts.append((row.until, row.n))
            row = self.rows[renewal.name] = Follower(
                renewal.name, renewal.generation, now, row is not None and row.had_lease
            )
        row.heard, row.relay, row.skew = now, renewal.relay, renewal.skew
        if not renewal.on_branch:
            return 0
        row.n, row.all = renewal.n, min(renewal.n, renewal.all)
        granted = self._granted(now, row, newest)
        if most is not None:
            granted = min(granted, most)
        if granted <= 0:
            return 0
        row.had_lease = True
        row.until = max(row.until, now + int(granted * (1 + DRIFT)) + 1)
        return granted

    def _granted(self, now: int, row: Follower, newest: int) -> int:
        """One that lacks a purge gets no more than the lease from when that was accepted."""
        if row.n >= newest:
            return self.lease
        lacks = row.n + 1 - (self.undone[0].n if self.undone else newest)
        if not 0 <= lacks < len(self.undone):
            return 0  # it lacks one that is in effect
        return self.undone[lacks].lease_from + self.lease - now

    def other_branch(self) -> None:
        """What followers have applied is not of this order: nothing is known until they say so again."""
        for row in self.rows.values():
            row.n = row.all = -1

    def left(self, name: str, generation: int, relied_on: bool = False) -> bool:
        """A follower ended and said so. True: it is none any more, and no purge waits for it.

        relied_on: others may answer by leases that it granted, or without one from copies of its time, so it
        stays until it is struck off, as one that was killed does. A former life says nothing of the present.
        """
        row = self.rows.get(name)
        if row is not None and (row.generation != generation or relied_on):
            return False
        self.rows.pop(name, None)
        return True

    def relied_on(self, now: int) -> bool:
        """Whether a follower that had a lease may answer yet, in its present life or a former one."""
        return any(row.had_lease for row in self.rows.values()) or any(
            until > now for until, _ in self.ghosts
        )

    # ---- queries

    def settling(self) -> int:
        """From when all followers have a purge until it is stated as in effect."""
        return 2 * max([self.skew, *(row.skew for row in self.rows.values())]) + self.rounding

    def state(self, now: int, row: Follower) -> str:
        """LIVE, LAPSED or UNHEARD."""
        if row.heard is None:
            return UNHEARD
        return LIVE if row.until > now else LAPSED

    def least(self, now: int) -> tuple[int | None, int | None]:
        """(what all live followers have, what all followers have); None where there are none."""
        live = [row.n for row in self.rows.values() if row.until > now]
        self.ghosts = [(until, n) for until, n in self.ghosts if until > now]
        live.extend(n for _, n in self.ghosts)
        every = [row.all for row in self.rows.values() if row.had_lease]
        every.extend(n for _, n in self.ghosts)
        return min(live, default=None), min(every, default=None)

    def settle(self, now: int) -> list[tuple[int, int, int]]:
        """Purges that are in effect from now on, in order, as (n, accepted, in effect)."""
        if not self.undone and not self.reached:
            return []
        self._strike_off(now)
        live, every = self.least(now)
        settling = self.settling()
        while self.undone:
            undone = self.undone[0]
            if live is not None and live < undone.n:
                break
            # Who holds to copies younger than the lease may answer from one of just before the purge.
            if every is not None and every < undone.n and now < undone.at + self.span:
                break
            self.reached.append((self.undone.popleft(), now))
        settled = []
        while self.reached and self.reached[0][1] + settling <= now:
            undone, at = self.reached.popleft()
            settled.append((undone.n, undone.at, at + settling))
        return settled

    def due(self, now: int) -> int | None:
        """When settle() may have something to say by time alone; None: not before the next event."""
        times = [at + self.settling() for _, at in list(self.reached)[:1]]
        if self.undone:
            times.append(self.undone[0].at + self.span)
            times.extend(row.until for row in self.rows.values() if row.until > now)
            times.extend(until for until, _ in self.ghosts if until > now)
        return min(times, default=None)

    def doubt(self) -> int:
        """Purges of a former life of the desk that are younger than this may not be in effect yet."""
        return 2 * self.span + self.skew

    def latest(self, accepted: int) -> int:
        """By when a purge accepted then is in effect, whoever is behind."""
        return accepted + self.span + self.settling()

    def behind(self, now: int, n: int) -> list[tuple[str, str, int]]:
        """Followers that lack this purge, as (name, state, position), the farthest behind first."""
        rows = [
            (row.name, self.state(now, row), row.all)
            for row in self.rows.values()
            if row.all < n and row.had_lease
        ]
        return sorted(rows, key=lambda row: (row[2], row[0]))

    def _strike_off(self, now: int) -> None:
        gone = [row.name for row in self.rows.values() if now >= row.until + STRUCK_OFF * self.lease]
        for name in gone:
            del self.rows[name]
        self.struck.update(gone)

    def struck_off(self) -> list[str]:
        """Names struck off since the last call."""
        struck, self.struck = self.struck, set()
        return sorted(struck)
