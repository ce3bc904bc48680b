"""One scale run: a crowd of regions grown from size to size, a steady window at each, then the scenes."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from standins.crowd.region_crowd import RegionCrowd
from standins.crowd.regions import PURGES_SECRET, Plan

from . import room
from .judge import Acknowledged, Answer, Seen, Verdict, judge
from .results import Run, rounded
from .roles import who_has_what
from .snapshot import LagMeter, Snapshot, busy_share, snapshot
from .submitter import Submitter
from .window import Window, window

RENEWAL_S = 0.25  # a renewal is due every quarter of a lease of 1 s: later than that, traffic is another
PURGES_LATE = 2  # purges that come while a reactor is late are answered for by one renewal: fewer messages
MOST_BUSY = 0.95  # of all cores: beyond that processes wait for each other, and work is done in larger lots
LISTED = 1_000  # purges that the desk shows at a time
LOOKUP_SLACK = 1.0  # seconds beyond each time of the lookups' rules: few cores for many processes
GROWN_WITHIN = 60.0  # seconds, and not beyond the budget
SETTLED_WITHIN = 15.0  # seconds in which every router has the newest purge
STARTED_WITHIN = 30.0  # further seconds for routers that had not come up when the run ended


@dataclass(frozen=True)
class Settings:
    """sizes: of hollow routers, rising; beyond: further ones, without slopes, at fewer purges, where
    the machine does not bear all. seconds: of a window, after settle seconds at its size. budget: seconds of
    the run; once they are over no further size or scene is begun.
    """

    plan: Plan
    sizes: tuple[int, ...]
    beyond: tuple[int, ...]
    beyond_purges_per_s: float
    in_process: int
    loaded: int
    seconds: float
    settle: float
    budget: float
    purges_per_s: float
    lookups_per_s: float
    delay: float = 0.01
    tries: int = 2  # of each window, where one was starved
    beyond_settle: float = 6.0
    judge_starved: bool = True
    seed: int = 1


@dataclass
class Measured:
    """A window that was not starved, whole and in halves."""

    run: Run
    start: float  # Unix seconds, as end
    end: float
    whole: Window
    halves: tuple[Window, Window]


@dataclass
class Session:
    """What a run has come to so far."""

    crowd: RegionCrowd
    submitter: Submitter
    until: float  # of the monotonic clock, see budget
    measured: list[Measured] = field(default_factory=list)
    beyond: list[Measured] = field(default_factory=list)  # at a lower rate of purges
    starved: list[str] = field(default_factory=list)
    in_effect: dict[int, float] = field(default_factory=dict)  # number -> Unix seconds
    listed: set[int] = field(default_factory=set)
    scenes: dict[str, tuple[float, float]] = field(default_factory=dict)  # begin and end, Unix seconds
    back: dict[str, float | None] = field(default_factory=dict)  # scene -> seconds, None: not in time
    ended_by: str | None = None  # what kept it from a further size
    unfenced: int = 0  # routers that held a lease while their region was cut off
    crowd_breaks: list[str] = field(default_factory=list)  # rules of lookups, see standins/crowd/verdict.py

    def late(self) -> bool:
        """Whether the budget is spent."""
        return time.monotonic() > self.until

    def look_at_desk(self) -> None:
        """Takes in what the desk states of its newest purges; each 30 s at the latest."""
        told = self.crowd.desk.call("GET", f"/v1/purges?last={LISTED}")
        for row in told["purges"] if told else ():
            number = int(row["number"].rpartition(".")[2])
            self.listed.add(number)
            if row["in_effect_ms"] is not None:
                # Whole milliseconds, cut off: by the next one it is in effect for sure.
                stated = (row["in_effect_ms"] + 1) / 1_000
                # A later owner of the desk states a later time, for it was not there: the first one counts.
                self.in_effect[number] = min(stated, self.in_effect.get(number, stated))

    def ask_for_unlisted(self) -> None:
        """Asks the desk for each acknowledged purge that was in no list: more may come between two."""
        for each in self.submitter.acknowledged():
            if each.number not in self.listed:
                found = self.crowd.desk.call("GET", f"/v1/purges/{each.number}")
                if found is not None and found["what"] == each.name:
                    self.listed.add(each.number)

    def routers(self) -> list[str]:
        """All, real and hollow ones."""
        return [*self.crowd.routers, *self.crowd.layout.hollow]

    def behind(self) -> dict[str, int]:
        """Routers that run and have not the newest purge that was acknowledged, as their relays see it."""
        newest, positions = self.submitter.newest(), self.crowd.positions()
        return {name: positions.get(name, -1) for name in self.routers() if positions.get(name, -1) < newest}

    def purges(self) -> list[Acknowledged]:
        """All that the desk has acknowledged, with what it states of each."""
        return [
            Acknowledged(
                each.number, each.name, each.made_ms, each.submitted, self.in_effect.get(each.number)
            )
            for each in self.submitter.acknowledged()
        ]


def wanted(settings: Settings) -> room.Wanted:
    """What the run needs of the machine."""
    plan = settings.plan
    return room.Wanted(
        max(settings.sizes + settings.beyond),
        settings.in_process,
        plan.real + plan.plain,
        3,
        plan.relays,
        plan.regions,
        plan.zones,
    )


def starved_lag(purges_per_s: float) -> float:
    """Seconds by which a reactor may be late in a window that counts."""
    return min(RENEWAL_S, PURGES_LATE / purges_per_s)


def measure_size(
    session: Session, settings: Settings, hollow: int, lag: LagMeter, rate: float, settle: float
) -> Measured | None:
    """Grows to that size and measures; a starved window is thrown out, counted and tried again.

    None where all tries were starved.
    """
    crowd = session.crowd
    within = min(GROWN_WITHIN, max(0.0, session.until - time.monotonic()))
    crowd.grow(hollow, within, meanwhile=session.look_at_desk)  # the desk shows half a minute of purges
    for tried in range(settings.tries):
        if tried and session.late():
            break
        roles = who_has_what(crowd)
        time.sleep(settle)
        crowd.tell(f"window of {settings.seconds:g} s with {hollow} hollow routers")
        snapshots = _snapshots(crowd, settings.seconds, lag)
        session.look_at_desk()
        crowd.read()
        before, middle, after = snapshots
        worst = max(lag.take(), _worst_lag(crowd, before.at, after.at))
        busy = busy_share(before, after)
        if settings.judge_starved and (worst > starved_lag(rate) or busy > MOST_BUSY):
            session.starved.append(f"{hollow} hollow: lag {worst:.3f} s, {busy:.2f} of all cores busy")
            crowd.tell(f"starved, thrown out: {session.starved[-1]}")
            continue
        whole = window(crowd, before, after, roles)
        run = Run(
            hollow,
            len(crowd.routers),
            len(crowd.keepers),
            crowd.plan.relays,
            rounded(after.at - before.at),
            rounded(worst),
            rounded(_acknowledged_rate(session.submitter, before, after)),
            whole.measurements,
        )
        halves = window(crowd, before, middle, roles), window(crowd, middle, after, roles)
        return Measured(run, before.at, after.at, whole, halves)
    return None


def finish(session: Session) -> Verdict:
    """No more purges; once all routers have the newest, or had the time for it, what came is judged."""
    session.submitter.stop()
    crowd = session.crowd
    behind = _wait_until_none_is_behind(session, SETTLED_WITHIN)
    if any(position < 0 for position in behind.values()):
        crowd.tell(f"{len(behind)} routers are behind or not up, waited for")
        behind = _wait_until_none_is_behind(session, STARTED_WITHIN)
    session.look_at_desk()
    session.ask_for_unlisted()
    crowd.read()
    crowd.load.wait()
    session.crowd_breaks = crowd.verdict(LOOKUP_SLACK).violations
    answers = [
        Answer(asked, router, name, made)
        for asked, router, _, how, _, made, name in crowd.load.table()["lookups"]
        if how == "served" and made
    ]
    seen = (Seen(*state) for state in crowd.hollow.states())
    skew_ms = 1.0
    started = set(crowd.layout.hollow)
    return judge(session.purges(), session.listed, behind, started, seen, answers, skew_ms)


def _wait_until_none_is_behind(session: Session, within: float) -> dict[str, int]:
    """Those that still are after so many seconds."""
    until = time.monotonic() + within
    while (behind := session.behind()) and time.monotonic() < until:
        time.sleep(0.2)
    return behind


def _snapshots(crowd: RegionCrowd, seconds: float, lag: LagMeter) -> list[Snapshot]:
    """At the begin, in the middle and at the end of that time."""
    lag.take()
    found = [snapshot(crowd)]
    for _ in range(2):
        time.sleep(seconds / 2)
        found.append(snapshot(crowd))
    return found


def _worst_lag(crowd: RegionCrowd, start: float, end: float) -> float:
    """Of the hollow processes' reactors, by their reports of that time."""
    return max(
        (
            report.reactor_lag_s
            for group in crowd.hollow.groups
            for report in group.file.reports
            if start <= report.time <= end
        ),
        default=0.0,
    )


def _acknowledged_rate(submitter: Submitter, before: Snapshot, after: Snapshot) -> float:
    count = sum(before.at <= each.acknowledged <= after.at for each in submitter.acknowledged())
    return count / (after.at - before.at)


def open_session(
    folder: Path, settings: Settings, tell: Callable[[str], None]
) -> tuple[RegionCrowd, Submitter]:
    """A crowd, not started yet, and who submits to it."""
    crowd = RegionCrowd(
        folder, settings.plan, settings.loaded, settings.in_process, settings.delay, settings.seed, tell
    )
    ports = list(crowd.layout.desks.values())
    return crowd, Submitter(ports, PURGES_SECRET, settings.purges_per_s, settings.seed)
