"""Faults at size, under purges: judge.py judges them, how long the way back takes is measured here."""

import time
from collections.abc import Callable, Iterable

from .roles import hand_over_desk, who_has_what
from .session import Session

CUT_FOR = 6.0  # seconds: several leases, so that each router of the region is fenced
KILLED_FOR = 2.0  # seconds until a group that was killed is started again
TAKEN_OVER_FOR = 3.0  # seconds: what the former owner took is in effect after two leases
BACK_WITHIN = 30.0  # seconds in which each router has to have the newest purge again
LOOK_EVERY = 0.2  # seconds
RESTARTED = 0.3  # share of hollow routers that restart: of 1,200, 350 do on an ordinary day


def region_cut(session: Session) -> None:
    """One region does not reach the control machines for some seconds, then is healed."""
    crowd = session.crowd
    region = crowd.layout.regions[-1]
    crowd.tell(f"region {region} is cut off for {CUT_FOR:g} s")
    session.look_at_desk()
    crowd.cut_region(region)
    time.sleep(CUT_FOR)
    crowd.read()
    session.unfenced += _with_lease(session, set(crowd.layout.in_region(region)))
    healed = time.monotonic()
    crowd.heal_region(region)
    session.back["region"] = seconds_until_back(session, healed)


def group_killed(session: Session) -> None:
    """All routers of one process are killed at once, and started again."""
    crowd, group = session.crowd, session.crowd.hollow.groups[-1]
    crowd.tell(f"{len(group.names)} hollow routers and one real one are killed")
    group.process.kill()
    crowd.kill(crowd.unloaded[-1])
    time.sleep(KILLED_FOR)
    session.look_at_desk()
    started = time.monotonic()
    group.start()
    crowd.start(crowd.unloaded[-1])
    session.back["kill"] = seconds_until_back(session, started)


def restarts(session: Session) -> None:
    """As many restarts as on an ordinary day, one process of hollow routers after the other."""
    crowd = session.crowd
    count = RESTARTED * crowd.hollow.count()
    for group in crowd.hollow.groups:
        if count <= 0:
            break
        crowd.tell(f"{len(group.names)} hollow routers restart")
        group.process.end()
        group.start()
        count -= len(group.names)
    session.look_at_desk()
    session.back["restarts"] = seconds_until_back(session, time.monotonic())


def desk_taken_over(session: Session) -> None:
    """The keeper that owns the desk gives it up under purges, another keeper takes it over."""
    crowd = session.crowd
    roles = who_has_what(crowd)
    heir = next(name for name in crowd.keepers if name not in roles)
    session.look_at_desk()
    crowd.tell(f"the desk goes from {roles.desk} to {heir}")
    hand_over_desk(crowd, heir)
    time.sleep(TAKEN_OVER_FOR)
    session.look_at_desk()


Scene = Callable[[Session], None]
SCENES: tuple[Scene, ...] = (region_cut, group_killed, restarts, desk_taken_over)


def seconds_until_back(session: Session, begun: float) -> float | None:
    """From begun until every router has, with a lease, what is the newest purge now; None: not in time."""
    session.look_at_desk()
    newest, wanted = session.submitter.newest(), session.routers()
    while time.monotonic() < begun + BACK_WITHIN:
        positions = session.crowd.positions()
        if all(positions.get(name, -1) >= newest for name in wanted):
            return time.monotonic() - begun
        time.sleep(LOOK_EVERY)
    return None


def _with_lease(session: Session, names: Iterable[str]) -> int:
    """How many of these hollow routers held a lease by their newest report."""
    return sum(
        router.lease == "current" and router.name in names
        for group in session.crowd.hollow.groups
        if (report := group.file.latest()) is not None
        for router in report.routers
    )
