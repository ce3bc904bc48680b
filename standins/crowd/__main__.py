"""python -m standins.crowd --routers 12 --seconds 5: runs a crowd under load, prints the results."""

import argparse
import json
import signal
import sys
import tempfile
import time
from pathlib import Path

from .crowd import Crowd

LOOKUPS_PER_PARENT = 200  # a second for each parent, a fifth of its capacity


def main():
    """Parses the command line, runs the crowd and prints its figures and violations."""
    parser = argparse.ArgumentParser(prog="python -m standins.crowd", description=__doc__)
    parser.add_argument("--routers", type=int, default=12)
    parser.add_argument("--caches", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--rate", type=float, default=200.0, help="lookups a second over all routers")
    parser.add_argument("--fleet", action="store_true", help="routers are members, with three keepers")
    parser.add_argument("--faults", action="store_true", help="kill 7 of 12, one cache cold, cut a zone")
    parser.add_argument("--folder", help="for files and logs; without it a temporary one")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # so that its processes are ended, too
    with tempfile.TemporaryDirectory() as temporary:
        sections = {"fleet": {}} if arguments.fleet else None
        parents = max(2, round(arguments.rate / LOOKUPS_PER_PARENT))
        with Crowd(
            Path(arguments.folder or temporary),
            arguments.routers,
            arguments.caches,
            parents=parents,
            sections=sections,
        ) as crowd:
            memory = crowd.processes.memory()
            figures = {
                "ready_s": round(crowd.ready_after, 1),
                "admitted": crowd.ready(),
                "memory_mb": round(sum(memory.values()) / len(memory), 1),
            }
            crowd.load.start(arguments.seconds, arguments.rate)
            if arguments.faults:
                time.sleep(arguments.seconds / 4)
                crowd.kill(*crowd.routers[: arguments.routers * 7 // 12])
                crowd.caches.restart("c0")
                if arguments.fleet:
                    crowd.links.cut_zone("z0")
                time.sleep(arguments.seconds / 4)
                if arguments.fleet:
                    crowd.links.heal()
                crowd.start(*crowd.routers[: arguments.routers * 7 // 12])
            crowd.load.wait(arguments.seconds + 30)
            if arguments.fleet:
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
