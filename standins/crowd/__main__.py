"""python -m standins.crowd --routers 12 --seconds 5: a crowd, some faults, and a table of what came of it."""

import argparse
import json
import signal
import sys
import tempfile
import time
from pathlib import Path

from .crowd import Crowd

LOOKUPS = 200  # a second for each parent: a fifth of what it can do


def main():
    words = argparse.ArgumentParser(prog="python -m standins.crowd", description=__doc__)
    words.add_argument("--routers", type=int, default=12)
    words.add_argument("--caches", type=int, default=8)
    words.add_argument("--seconds", type=float, default=5.0)
    words.add_argument("--rate", type=float, default=200.0, help="lookups a second over all routers")
    words.add_argument("--fleet", action="store_true", help="routers are members, with three keepers")
    words.add_argument("--faults", action="store_true", help="kill 7 of 12, one cache cold, cut a zone")
    words.add_argument("--folder", help="for files and logs; else one that goes with the run")
    given = words.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # so that all of its processes are ended, too
    with tempfile.TemporaryDirectory() as spare:
        sections = {"fleet": {}} if given.fleet else None
        parents = max(2, round(given.rate / LOOKUPS))
        with Crowd(
            Path(given.folder or spare), given.routers, given.caches, parents=parents, sections=sections
        ) as crowd:
            memory = crowd.processes.memory()
            figures = {
                "ready_s": round(crowd.ready_after, 1),
                "admitted": crowd.ready(),
                "memory_mb": round(sum(memory.values()) / len(memory), 1),
            }
            crowd.load.start(given.seconds, given.rate)
            if given.faults:
                time.sleep(given.seconds / 4)
                crowd.kill(*crowd.routers[: given.routers * 7 // 12])
                crowd.caches.restart("c0")
                if given.fleet:
                    crowd.links.cut_zone("z0")
                time.sleep(given.seconds / 4)
                if given.fleet:
                    crowd.links.heal()
                crowd.start(*crowd.routers[: given.routers * 7 // 12])
            crowd.load.wait(given.seconds + 30)
            if given.fleet:
                figures["carried_bytes"] = sum(crowd.links.carried()["bytes"].values())
            figures.update((f"cpu_{what}_s", round(value, 1)) for what, value in crowd.cpu_seconds().items())
            verdict = crowd.verdict()
    figures.update(verdict.summary())
    for name, value in figures.items():
        print(f"{name:16} {value}")
    for line in verdict.violations:
        print(f"BROKEN  {line}")
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
