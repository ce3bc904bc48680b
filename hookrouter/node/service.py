"""The life of the process: listens, follows the feed, and ends by itself after SIGTERM."""

import signal

from twisted.internet.error import CannotListenError
from twisted.logger import LogLevel, formatEvent, globalLogBeginner

LAST_LOOKUPS = 0.7  # seconds after SIGTERM: connections come for 0.4, lookups for 0.2 more; 0.1 to spare
BACKLOG = 512  # connections that wait to be accepted: more than clients may hold of 1,024 descriptors
LOOK_AGAIN = 0.02  # seconds between looks whether all is answered


class Service:
    def __init__(self, router, start, reactor, log, counters):
        self.router, self.start, self.reactor, self.log, self.counters = router, start, reactor, log, counters
        self.port = None

    def run(self):
        """Returns the exit code."""
        host, number = self.start.listen
        try:
            self.port = self.reactor.listenTCP(number, self.router.front, backlog=BACKLOG, interface=host)
        except CannotListenError as wrong:
            self.log("cannot listen", str(wrong))
            return 1
        self.router.front.port = self.port
        self.router.feed.start()
        for number, call in ((signal.SIGTERM, self.stop), (signal.SIGINT, self.stop),
                             (signal.SIGUSR1, self.show)):
            signal.signal(number, lambda *_, call=call: self.reactor.callFromThread(call))
        self.log("serving", f"{self.start.name} on {host}:{self.port.getHost().port}")
        globalLogBeginner.beginLoggingTo([self._observe], redirectStandardIO=False)
        self.reactor.run(installSignalHandlers=False)
        self.show()
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

    def stop(self):
        if self.router.stopping:
            return
        self.router.stopping = True
        self.log("stopping", f"{len(self.router.lookups)} lookups held")
        self.router.deadlines.after(LAST_LOOKUPS, self._close)

    def _close(self):
        self.port.stopListening()
        self._look()

    def _look(self):
        self.router.front.end_idle()
        if len(self.router.front.connections) or len(self.router.lookups):
            self.router.deadlines.after(LOOK_AGAIN, self._look)
            return
        self.router.feed.stop()
        self.reactor.stop()
