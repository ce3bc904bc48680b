"""Records signals from the start of the program and passes them to the service once it runs.

Without a handler SIGHUP, SIGTERM and SIGUSR1 end a process, also while it reads its configuration.
"""

import signal

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)


class Signals:
    """Handlers of HANDLED_SIGNALS; signals that arrive before on_signal() are queued."""

    def __init__(self):
        self.pending = []
        self.handler = self.pending.append
        for number in HANDLED_SIGNALS:
            signal.signal(number, lambda number, _: self.handler(number))

    def on_signal(self, handler):
        """Sets the function that gets each signal number, and calls it for the queued ones."""
        self.handler = handler
        while self.pending:
            handler(self.pending.pop(0))
