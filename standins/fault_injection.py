"""Runs a command of the program with injected disk and clock faults.

python -m standins.fault_injection FILE WORDS...

WORDS are the command of the program. FILE holds one JSON object and is read again before each write of a
keeper's store: {"flush": seconds that each write takes longer, "fail": how many writes report an error after
they have succeeded}. {"rate": 0.99} is read once at the start: the clock that leases use runs at that rate.
"""

import json
import sqlite3
import sys
import time
from pathlib import Path


def read_faults(path):
    """Returns the requested faults, {} if the file is missing or invalid."""
    try:
        return json.loads(Path(path).read_text())
    except (OSError, ValueError):
        return {}


def install(path):
    """Replaces the write of the keeper's log and, for a rate other than 1, the clock of leases."""
    from hookrouter.fleet.member import service
    from hookrouter.stores import keeper_log

    write, failures = keeper_log.KeeperLog.write, [0]

    def write_with_faults(self, persist):
        faults = read_faults(path)
        write(self, persist)
        time.sleep(faults.get("flush", 0))
        if failures[0] < faults.get(
            "fail", 0
        ):  # the write is on disk, but its outcome is reported as unknown
            failures[0] += 1
            raise sqlite3.OperationalError("disk I/O error")

    keeper_log.KeeperLog.write = write_with_faults
    rate, real_clock = read_faults(path).get("rate", 1.0), service.steady
    start = real_clock()
    if rate != 1.0:
        service.steady = lambda: start + int((real_clock() - start) * rate)


if __name__ == "__main__":
    install(sys.argv[1])
    from hookrouter.command import main

    sys.exit(main(sys.argv[2:]))
