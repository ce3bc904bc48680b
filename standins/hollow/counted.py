"""Runs a command of the program and reports its control traffic as a hollow router does.

python -m standins.hollow.counted REPORTS EVERY_S serve --site FILE

So a real router is measured by the same hooks at the same sockets as hollow ones: there is no proxy, and
lookups and caches are unaffected. REPORTS gets one JSON line every EVERY_S seconds (see report.py). FILE must
have [fleet].
"""

import sys
from typing import Any

from hookrouter.node.signals import Signals

signals = Signals()  # before slow imports, as in the program itself

from twisted.internet import reactor  # noqa: E402

from hookrouter.command import ended_by  # noqa: E402
from hookrouter.command import main as run  # noqa: E402
from hookrouter.errors import HookrouterError  # noqa: E402
from hookrouter.site import read  # noqa: E402

from .report import RouterReport, Traffic  # noqa: E402
from .reporter import Reporter  # noqa: E402
from .sockets import SocketCounter  # noqa: E402


def count_real_router(reactor: Any, reports: str, interval: float, site: str) -> None:
    """Appends reports to the file reports from the reactor's start on. site: the operator's file."""
    fleet, traffic = read(site)["fleet"], Traffic()
    SocketCounter(reactor, traffic, fleet["keepers"])
    out = open(reports, "a", encoding="utf-8")  # noqa: SIM115  open until the process ends
    reporter = Reporter(reactor, interval, lambda: [RouterReport(fleet["name"], traffic)], out)
    reactor.callWhenRunning(reporter.start)
    reactor.addSystemEventTrigger("before", "shutdown", reporter.write)


def main(arguments: list[str]) -> int:
    """Runs the command; returns its exit code."""
    if len(arguments) < 5 or "--site" not in arguments[:-1]:
        print("usage: python -m standins.hollow.counted REPORTS EVERY_S serve --site FILE", file=sys.stderr)
        return 2
    reports, interval, *command = arguments
    try:
        count_real_router(reactor, reports, float(interval), command[command.index("--site") + 1])
    except HookrouterError as error:
        return ended_by(error)
    return run(command, signals)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
