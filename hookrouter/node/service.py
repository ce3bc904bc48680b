"""The life of the process: listens, follows the feed, reloads on SIGHUP, and ends by itself after SIGTERM."""

import signal

from twisted.internet.error import CannotListenError
from twisted.logger import LogLevel, formatEvent, globalLogBeginner

from ..errors.listening import ListenRefused
from ..front import Listener
from ..site import follow_addresses
from ..terms import SECOND, Malformed

LAST_LOOKUPS = 0.7  # seconds after SIGTERM: connections come for 0.4, lookups for 0.2 more; 0.1 to spare
END = 3.0  # seconds: SIGKILL comes 0.7 s after that, or after the longest deadline where that is less
MORE_END = 0.65  # seconds after it who does not read is cut off
LAST_WAY = 0.08  # seconds before that all is answered: some ways to the client, as a cut may lose answers
BACKLOG = 512  # connections that wait to be accepted: more than clients may hold of 1,024 descriptors
LOOK_AGAIN = 0.02  # seconds between looks whether all is answered
FIXED = ("name", "listen", "seed", "memory", "sockets", "terms")  # all but the feed's address


def bare(purges):
    """The section without what can change while it runs."""
    return purges and {key: value for key, value in purges.items() if key not in ("follow", "desk")}


class Service:
    def __init__(self, router, start, reactor, log, counters, read, member=None):
        """read: gives the start anew, as serve and check read it, or raises Malformed. member: this router's
        part in its fleet, where the operator's file has one: start, leave, end.
        """
        self.member = member
        self.router, self.start, self.reactor, self.log, self.counters = router, start, reactor, log, counters
        self.read = read
        self.port, self.closed = None, False

    def run(self, signals):
        """Returns the exit code."""
        host, number = self.start.listen
        try:
            self.port = Listener(number, self.router.front, BACKLOG, host, self.reactor)
            self.port.startListening()
            if self.member is not None:
                self.member.start()
        except CannotListenError as wrong:
            self.log("cannot listen", ListenRefused(wrong).user_message())
            if self.member is not None:
                self.member.end()
            return 1
        self.router.front.port = self.port
        self.router.feed.start()
        if self.router.purges is not None:
            self.router.purges.feed.start()
        self.log("serving", f"{self.start.name} on {host}:{self.port.getHost().port}")
        calls = {
            signal.SIGHUP: self.reload,
            signal.SIGTERM: self.stop,
            signal.SIGINT: self.stop,
            signal.SIGUSR1: self.show,
        }
        signals.tell(lambda number: self.reactor.callFromThread(calls[number]))
        globalLogBeginner.beginLoggingTo([self._observe], redirectStandardIO=False)
        self.reactor.run(installSignalHandlers=False)
        self.show()
        if self.router.trace is not None:
            self.router.trace.close()
        self.log.close()
        return 0

    def _observe(self, event):
        """What Twisted says: of interest only where something failed that nobody caught."""
        if event["log_level"] in (LogLevel.error, LogLevel.critical):
            self.counters.count("errors_uncaught")
            failure = event.get("log_failure")
            self.log("uncaught error", failure.getTraceback() if failure is not None else formatEvent(event))

    def show(self):
        for line in self.counters.lines(self.router.held()):
            self.log.plain(line)

    def reload(self):
        """All of what is read anew can be used, or none of it is."""
        if self.router.stopping:
            return
        try:
            start = self.read()
        except Malformed as wrong:
            self.counters.count("reloads_refused")
            self.log("reload refused, all stays as it was", wrong.user_message())
            return
        self.counters.count("reloads")
        left = [key for key in FIXED if getattr(start, key) != getattr(self.start, key)]
        if bare(start.purges) != bare(self.start.purges) or start.tags != self.start.tags:
            left.append("purges")
        if start.trace != self.start.trace:
            left.append("trace")
        self.log(
            "reloaded",
            f"follows {start.feed[0]}:{start.feed[1]}"
            + (f"; stays as it was until a restart: {', '.join(left)}" if left else ""),
        )
        self.router.reload(start)
        if self.router.purges is not None and start.purges is not None:
            self.router.purges.feed.move(follow_addresses(start.purges))

    def stop(self):
        if self.router.stopping:
            return
        self.router.stopping = True
        if self.member is not None:
            self.member.leave()
        self.log("stopping", f"{len(self.router.lookups)} lookups held")
        longest = max((kind.deadline / SECOND for kind in self.start.terms.kinds), default=0)
        end = min(END, longest) + MORE_END
        self.router.deadlines.after(LAST_LOOKUPS, self._look)
        self.router.deadlines.after(end - LAST_WAY, self.router.all_due)
        self.router.deadlines.after(end, self.router.front.cut_off)
        self.router.due_by = self.router.now() + int((end - LAST_WAY) * SECOND)

    def _look(self):
        front = self.router.front
        if not self.closed and not front.full():  # else whoever waits in the queue would be reset
            self.closed = True
            self.port.stopListening()
        front.end_idle()
        if not self.closed or len(front.connections) or len(self.router.lookups):
            self.router.deadlines.after(LOOK_AGAIN, self._look)
            return
        self.router.feed.stop()
        if self.member is not None:
            self.member.end()
        if self.router.purges is None:
            self.reactor.stop()
        else:  # nothing is answered any more: no purge has to wait for this router
            self.router.purges.feed.leave().addBoth(lambda _: self.reactor.stop())
