"""Real processes that are killed, stopped, cut off and run out of disk; the register says what was done."""

import tempfile
import time

from standins.rig import Rig, holder

from .costs import at, granting

DUTIES = ("drill/a", "drill/b", "drill/c")
WITHIN = 20.0  # seconds for a successor: far more than is promised, so that a slow machine does not decide


def campaign(faults, dice):
    """Real processes, one fault after the other; the register says what was done."""
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(folder, keepers=3 if faults < 50 else 5, members=2)
        try:
            rig.start()
            rig.wait(lambda: rig.status()["leader"])
            for duty in DUTIES:
                rig.command("declare", duty)
            rig.wait(lambda: all(rig.steps(duty) > 3 for duty in DUTIES))
            counted = {"kill": 0, "stop": 0, "swallow": 0, "disk": 0}
            takeovers, gaps = [], []
            calm, began = carried(rig), time.monotonic()
            time.sleep(2)
            idle = (carried(rig) - calm) / (time.monotonic() - began) / len(rig.names)
            for n in range(faults):
                fault = list(counted)[n % 4]
                counted[fault] += 1
                span = strike(rig, fault, dice)
                if span is not None:
                    takeovers.append(span)
                gaps += handed(rig, dice.choice(DUTIES))
            rig.wait(lambda: len(rig.owners()) == len(DUTIES))
            # First what was noted, then what was done: the work goes on meanwhile.
            noted = {duty: row["step"] for duty, row in rig.owners().items()}
            broken = rig.audit_violations()
            rows = rig.audit_rows()
            steps = {
                duty: max((r["step"] for r in rows if r["duty"] == duty and r["ok"]), default=0)
                for duty in DUTIES
            }
            cost = granting(rig, folder, 100 if faults < 50 else 500)
        finally:
            rig.stop()
    takeovers.sort()
    gaps.sort()
    return {
        "kills": counted["kill"],
        "stops": counted["stop"],
        "cuts": counted["swallow"],
        "disks_full": counted["disk"],
        "steps": sum(steps.values()),
        "done_twice": sum("step" in line for line in broken),
        "left_out": sum(max(0, noted[duty] - steps[duty]) for duty in noted),
        "old_owner_accepted": sum("was taken after" in line and "step" not in line for line in broken),
        "old_owner_refused": sum(not row["ok"] for row in rows),
        "lease_ms": 1_000,
        "takeover_p50_ms": at(takeovers, 0.5),
        "takeover_p99_ms": at(takeovers, 0.99),
        "hand_over_p99_ms": at(gaps, 0.99),
        "idle_bytes_per_s": round(idle),  # of a member, streams and datagrams, with three drills at work
        **cost,
    }


def carried(rig):
    return sum(link.bytes for link in rig.links.values()) + rig.datagram_proxy.bytes


def first_after(rig, duty, number):
    return next(
        (
            row["at"]
            for row in rig.audit_rows()
            if row["duty"] == duty and row["ok"] and row["number"] > number
        ),
        None,
    )


def strike(rig, fault, dice):
    """One fault on the owner of a duty, until a successor works, and its end. Seconds to the takeover."""
    duty = dice.choice(DUTIES)
    owner = rig.wait(lambda: holder(rig, duty))
    number, began = rig.owners()[duty]["number"], time.monotonic()
    if fault == "disk" and owner not in rig.keepers:
        fault = "kill"
    rig.inject_fault(owner, fault)
    if fault == "disk":
        time.sleep(1)
    if fault != "disk":  # a keeper without a disk still bears duties that need none of it
        rig.wait(lambda: first_after(rig, duty, number), WITHIN)
    since = first_after(rig, duty, number)
    rig.clear_fault(owner, fault)
    rig.wait(lambda: rig.status()["leader"])
    return since - began if since is not None and fault != "disk" else None


def handed(rig, duty):
    """[seconds between the former owner's last act and the next one's first]."""
    row = rig.owners().get(duty)
    if row is None or rig.command("hand-over", duty)[0] != 0:
        return []
    since = rig.wait(lambda: first_after(rig, duty, row["number"]), 5)
    last = max(
        (r["at"] for r in rig.audit_rows() if r["duty"] == duty and r["ok"] and r["number"] == row["number"]),
        default=None,
    )
    return [since - last] if since and last else []
