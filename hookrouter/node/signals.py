"""Signals: kept from the first moment of the program on, and told to the service once it runs.

Without a handler SIGHUP, SIGTERM and SIGUSR1 end a process, also while it reads its configuration.
"""

import signal

KEPT = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)


class Signals:
    def __init__(self):
        self.early = []
        self.call = self.early.append
        for number in KEPT:
            signal.signal(number, lambda number, _: self.call(number))

    def tell(self, call):
        """call(number) for each signal from here on, and at once for each that came before."""
        self.call = call
        while self.early:
            call(self.early.pop(0))
