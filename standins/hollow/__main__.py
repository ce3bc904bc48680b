"""python -m standins.hollow CONFIG.json: runs hollow routers until SIGTERM; reports go to stdout."""

import gc
import resource
import sys
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor
from twisted.internet.error import CannotListenError

from hookrouter.command import DONE, ended_by, run_until, tell_uncaught
from hookrouter.errors import HookrouterError
from hookrouter.errors.listening import ListenRefused
from hookrouter.log import Log

from .configuration import Configuration, read_configuration, read_sections
from .reporter import Reporter
from .router import HollowRouter

START_INTERVAL = 0.005  # seconds between the starts of two routers
LEAVE_SECONDS = 0.2  # seconds to announce to others that these routers leave
DESCRIPTORS = 16  # per router: two ports, streams to keepers, feed, lease renewals, lists of neighbours
SPARE_DESCRIPTORS = 64  # for the process itself


class TooFewDescriptors(HookrouterError):
    """The process may not open as many files as its routers need."""

    code = "hollow-descriptors"
    advice = "put fewer routers into one process, or raise the hard limit of open files; nothing was started"
    exit_code = 2


def raise_descriptors(routers: int) -> None:
    """Raises the limit of open files to the hard limit; TooFewDescriptors if that is not enough."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = DESCRIPTORS * routers + SPARE_DESCRIPTORS
    if hard != resource.RLIM_INFINITY and hard < needed:
        raise TooFewDescriptors(f"{routers} routers need {needed} descriptors, {hard} are allowed")
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def named_log(log: Log, name: str) -> Callable[..., None]:
    """Returns a log function whose lines name the router."""

    def log_with_name(kind: str, detail: str = "", level: str = "info", **values: Any) -> None:
        log(kind, detail, level, hollow=name, **values)

    return log_with_name


class Host:
    """All hollow routers of this process."""

    def __init__(self, reactor: Any, configuration: Configuration, log: Log) -> None:
        """Reads each router's file; ConfigurationRefused if one cannot be used."""
        self.reactor, self.log, self.stopping = reactor, log, False
        self.routers = [
            HollowRouter(
                reactor,
                read_sections(place),
                configuration.seed,
                configuration.caches,
                named_log(log, place.name),
            )
            for place in configuration.routers
        ]
        self.reporter = Reporter(
            reactor,
            configuration.report_every_s,
            lambda: [router.report() for router in self.routers],
            sys.stdout,
        )
        self.failure: ListenRefused | None = None

    def start(self) -> None:
        """Starts the routers one after the other, so that their timers are spread."""
        for number, router in enumerate(self.routers):
            self.reactor.callLater(number * START_INTERVAL, self._start, router)
        self.reporter.start()

    def _start(self, router: HollowRouter) -> None:
        if self.stopping:
            return
        try:
            router.start()
        except CannotListenError as error:
            self.failure = ListenRefused(f"{router.name} cannot listen: {error}")
            self.stop()

    def stop(self) -> None:
        """Announces the leave to other members, writes a last report and ends the process."""
        if self.stopping:
            return
        self.stopping = True
        self.log("stopping")
        for router in self.routers:
            router.leave()
        self.reactor.callLater(LEAVE_SECONDS, self._end)

    def _end(self) -> None:
        self.reporter.write()
        for router in self.routers:
            router.end()
        self.reactor.callLater(LEAVE_SECONDS / 2, self.reactor.stop)


def run(path: str) -> None:
    """Runs until SIGTERM; HookrouterError if it cannot start."""
    configuration = read_configuration(path)
    raise_descriptors(len(configuration.routers))
    log = Log()
    tell_uncaught(log)
    host = Host(reactor, configuration, log)
    gc.collect()
    gc.freeze()  # as serve does, so that both spend the same time on collections
    host.start()
    log("hollow routers serve", routers=len(host.routers))
    run_until(host.stop, reactor)
    log.close()
    if host.failure is not None:
        raise host.failure


def main(arguments: list[str]) -> int:
    """Runs the command; returns the exit code."""
    if len(arguments) != 1:
        print("usage: python -m standins.hollow CONFIG.json", file=sys.stderr)
        return 2
    try:
        run(arguments[0])
    except HookrouterError as error:
        return ended_by(error)
    return DONE


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
