"""Real processes, one fault after the other; what submitters and followers saw: nothing lost, one order."""

import tempfile
import time

from hookrouter.stores import PurgeLog
from standins.rig import Rig, holder

from ..owners.costs import at
from .clients import Submitters, heard
from .linear import READ, SUBMIT, Call, linearizable, order

FAULTS = ("kill", "stop", "swallow", "one way", "disk", "hand over", "lost")


def strike(rig, fault, dice):
    """One fault at the owner (or, for a lost copy, at another), and its end some time later."""
    owner = rig.wait(lambda: holder(rig, "purges"))
    span = dice.uniform(1.5, 3.0)
    if fault == "hand over":
        rig.command("hand-over", "purges")
        return None
    if fault == "lost":
        name = dice.choice([name for name in rig.keepers if name != owner])
        rig.kill(name)
        time.sleep(span)
        for path in rig.folder.glob(f"{name}-purges.db*"):
            path.unlink()
        rig.start(name)
        return None
    began = time.monotonic()
    rig.inject_fault(owner, fault)
    time.sleep(span)
    rig.clear_fault(owner, fault)
    return began if fault == "kill" else None


def caught_up(row, newest):
    """row: of one keeper in fleet status."""
    return row and row["orders"] and row["orders"][0][2] >= newest and not row["unfiled"]


def campaign(faults, keepers, dice):
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(folder, keepers=keepers, purges=True)
        try:
            rig.start()
            rig.wait(lambda: holder(rig, "purges"))
            relays = [rig.relay(name) for name in ("r0", "r1")]
            work, falls = Submitters(rig, 4, dice), []
            time.sleep(1)
            counted = dict.fromkeys(FAULTS, 0)
            for n in range(faults):
                fault = FAULTS[n % len(FAULTS)]
                counted[fault] += 1
                falls.append(strike(rig, fault, dice))
                rig.wait(lambda: rig.status()["leader"])
                rig.wait(lambda: len(rig.status()["keepers"]) == keepers)
                time.sleep(0.5)
            work.end()
            newest = max(work.accepted)
            told = [heard(address, newest) for address in relays]
            # Each copy has taken in all that the log has.
            whole = rig.wait(
                lambda: all(caught_up(row, newest) for row in rig.status()["keepers"].values()), 30
            )
            time.sleep(0.5)
        finally:
            rig.stop()
        lost = differs = 0
        for name in rig.keepers:
            log = PurgeLog(rig.folder / f"{name}-purges.db")
            rows = {p.n: (f"{p.epoch}.{p.n}", p.what) for p, _ in log.load().rows}
            lost += sum(n not in rows for n in work.accepted)
            differs += sum(rows.get(n, row) != row for n, row in work.accepted.items()) + bool(
                log.verify()[1]
            )
            log.close()
        for rows in told:
            lost += sum(n not in rows for n in work.accepted)
            differs += sum(rows.get(n, row) != row for n, row in work.accepted.items())
        ends = sorted(call.ended for call in work.calls if call.what == SUBMIT)
        gaps = sorted(next((end for end in ends if end > fall + 0.02), fall) - fall for fall in falls if fall)
        return {
            "faults": sum(counted.values()),
            "faults_of_each": counted,
            "submitted": len(work.accepted),
            "reads": sum(call.what == READ for call in work.calls),
            "acknowledged_lost": lost,
            "order_differs": differs + len(work.wrong),
            "copies_whole": bool(whole),
            "wrong": work.wrong[:3],
            "not_linearizable": int(linearizable(work.calls, order, 0) is not True),
            "desk_gap_p50_ms": at(gaps, 0.5),
            "desk_gap_p99_ms": at(gaps, 0.99),
        }


def checker_finds_wrong():
    """Histories that are not linearizable, and one that only one order explains."""
    sound = [
        Call(0, 9, SUBMIT, 2),
        Call(1, 2, SUBMIT, 1),
        Call(3, 4, READ, 1),
        Call(5, 6, READ, 2),
        Call(7, float("inf"), SUBMIT, 3),
    ]
    stale = [Call(0, 1, SUBMIT, 1), Call(2, 3, SUBMIT, 2), Call(4, 5, READ, 1)]
    twice = [Call(0, 1, SUBMIT, 1), Call(0, 1, SUBMIT, 1)]
    back = [Call(0, 1, SUBMIT, 2), Call(2, 3, SUBMIT, 1)]
    return linearizable(sound, order, 0) is True and not any(
        linearizable(wrong, order, 0) for wrong in (stale, twice, back)
    )
