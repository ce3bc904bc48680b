"""Life cycle of the process: listens, follows the feed, reloads on SIGHUP, shuts down on SIGTERM."""

import signal

from twisted.internet.error import CannotListenError
from twisted.logger import LogLevel, formatEvent, globalLogBeginner

from ..errors.listening import ListenRefused
from ..front import Listener
from ..site import follow_addresses
from ..terms import SECOND, Malformed
from .counters import bounded_tables
from .memory_watch import MemoryWatch, memory_gauges
from .start import MEGABYTE, memory_shortage

ACCEPT_DURATION = 0.7  # seconds after SIGTERM: connections arrive for 0.4, lookups for 0.2 more; 0.1 to spare
# Seconds: SIGKILL comes 0.7 s later, or 0.7 s after the longest deadline if that is shorter.
MAX_EXIT_DURATION = 3.0
EXIT_MARGIN = 0.65  # seconds after that, clients that do not read are disconnected
# Seconds before that, all is answered: some round trips, as a disconnect may lose answers.
ANSWER_MARGIN = 0.08
BACKLOG = 512  # listen queue: more connections than clients may hold of 1,024 descriptors
DRAIN_CHECK_INTERVAL = 0.02  # seconds between checks whether all is answered
FIXED_SETTINGS = (
    "name",
    "listen",
    "seed",
    "memory",
    "sockets",
    "terms",
)  # fixed until a restart: all but the feed's address


def without_reloadable(purges):
    """The section [purges] without the keys that can change while running."""
    return purges and {key: value for key, value in purges.items() if key not in ("follow", "desk")}


class Service:
    """Runs one router until SIGTERM."""

    def __init__(self, router, start, reactor, log, counters, read_start, member=None):
        """read_start: reads the configuration anew as serve and check do, or raises Malformed. member: this
        router's member of the fleet with start, leave and end, or None.
        """
        self.member = member
        self.router, self.start, self.reactor, self.log, self.counters = router, start, reactor, log, counters
        self.read_start = read_start
        self.port, self.listener_closed = None, False
        self.memory_watch = MemoryWatch(
            start.memory * MEGABYTE, lambda: bounded_tables(router), router.deadlines, log
        )

    def run(self, signals):
        """Serves until the process is told to stop; returns the exit code, 1 if it cannot listen."""
        host, number = self.start.listen
        try:
            self.port = Listener(number, self.router.front, BACKLOG, host, self.reactor)
            self.port.startListening()
            if self.member is not None:
                self.member.start()
        except CannotListenError as error:
            self.log("cannot listen", ListenRefused(error).user_message())
            if self.member is not None:
                self.member.end()
            return 1
        self.router.front.port = self.port
        self.router.feed.start()
        if self.router.purges is not None:
            self.router.purges.feed.start()
        self.log("serving", f"{self.start.name} on {host}:{self.port.getHost().port}")
        shortage = memory_shortage(self.start)
        if shortage is not None:
            self.log("memory limit is short", shortage, level="warn")
        self.memory_watch.start()
        handlers = {
            signal.SIGHUP: self.reload,
            signal.SIGTERM: self.stop,
            signal.SIGINT: self.stop,
            signal.SIGUSR1: self.log_counters,
        }
        signals.on_signal(lambda number: self.reactor.callFromThread(handlers[number]))
        globalLogBeginner.beginLoggingTo([self._on_twisted_event], redirectStandardIO=False)
        self.reactor.run(installSignalHandlers=False)
        self.log_counters()
        if self.router.trace is not None:
            self.router.trace.close()
        self.log.close()
        return 0

    def _on_twisted_event(self, event):
        """Twisted's log events: only uncaught errors are logged."""
        if event["log_level"] in (LogLevel.error, LogLevel.critical):
            self.counters.count("errors_uncaught")
            failure = event.get("log_failure")
            self.log("uncaught error", failure.getTraceback() if failure is not None else formatEvent(event))

    def log_counters(self):
        """Writes all counters and gauges to the log."""
        for line in self.counters.lines({**self.router.gauges(), **memory_gauges()}):
            self.log.plain(line)

    def reload(self):
        """Reads the configuration anew and applies what can change; nothing is applied if any of it is
        invalid.
        """
        if self.router.stopping:
            return
        try:
            start = self.read_start()
        except Malformed as error:
            self.counters.count("reloads_refused")
            self.log("reload refused, all stays as it was", error.user_message())
            return
        self.counters.count("reloads")
        keys_needing_restart = [
            key for key in FIXED_SETTINGS if getattr(start, key) != getattr(self.start, key)
        ]
        if (
            without_reloadable(start.purges) != without_reloadable(self.start.purges)
            or start.tags != self.start.tags
        ):
            keys_needing_restart.append("purges")
        if start.trace != self.start.trace:
            keys_needing_restart.append("trace")
        self.log(
            "reloaded",
            f"follows {start.feed[0]}:{start.feed[1]}"
            + (
                f"; stays as it was until a restart: {', '.join(keys_needing_restart)}"
                if keys_needing_restart
                else ""
            ),
        )
        self.router.reload(start)
        if self.router.purges is not None and start.purges is not None:
            self.router.purges.feed.move(follow_addresses(start.purges))

    def stop(self):
        """Begins the shutdown; later calls do nothing."""
        if self.router.stopping:
            return
        self.router.stopping = True
        if self.member is not None:
            self.member.leave()
        self.log("stopping", f"{len(self.router.lookups)} lookups held")
        longest = max((kind.deadline / SECOND for kind in self.start.terms.kinds), default=0)
        end = min(MAX_EXIT_DURATION, longest) + EXIT_MARGIN
        self.router.deadlines.after(ACCEPT_DURATION, self._check_drained)
        self.router.deadlines.after(end - ANSWER_MARGIN, self.router.answer_all_now)
        self.router.deadlines.after(end, self.router.front.abort_all)
        self.router.final_deadline = self.router.now() + int((end - ANSWER_MARGIN) * SECOND)

    def _check_drained(self):
        front = self.router.front
        if not self.listener_closed and self.port.accept_queued():
            # Closed before, it would reset connections in the listen queue.
            self.listener_closed = True
            self.port.stopListening()
        front.close_idle()
        if not self.listener_closed or len(front.connections) or len(self.router.lookups):
            self.router.deadlines.after(DRAIN_CHECK_INTERVAL, self._check_drained)
            return
        self.router.feed.stop()
        if self.member is not None:
            self.member.end()
        if self.router.purges is None:
            self.reactor.stop()
        else:  # tells the desk that no purge has to wait for this router any more
            self.router.purges.feed.leave().addBoth(lambda _: self.reactor.stop())
