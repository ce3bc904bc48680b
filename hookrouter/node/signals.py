"""Signals: kept from the first moment of the program on, and told to the service once it runs.

Without a handler SIGHUP, SIGTERM and SIGUSR1 end a process, also while it reads its configuration.
"""

import signal

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)


class Signals:
    def __init__(self):
        self.pending = []
        self.handler = self.pending.append
        for number in HANDLED_SIGNALS:
            signal.signal(number, lambda number, _: self.handler(number))

    def on_signal(self, handler):
        """call(number) for each signal from here on, and at once for each that came before."""
        self.handler = handler
        while self.pending:
            handler(self.pending.pop(0))
