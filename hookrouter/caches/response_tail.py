"""Whether anything follows a response on its connection.

What follows without a request shows that the response was not what its head said: its length was too
short, or a second response was sent. It may come some time after the response is complete.
"""

from typing import Protocol

# Seconds after which a silent connection has nothing more to send. The peer's system may hold back a small
# write until what it has sent is acknowledged, and Linux delays acknowledgements by at most 0.2 s.
SILENCE_DURATION = 0.25

# States.
PENDING, CLEAN, OVER = "pending", "clean", "over"
# Inputs: silence, the end of the stream or a next response; data without a request; the connection's end.
SILENT, FOLLOWED, CUT_OFF = "silent", "followed", "cut off"


class TailWatcher(Protocol):
    """Hears once whether a response was whole, and of data that comes after it was said to be."""

    def on_verified(self, whole: bool) -> None:
        """Nothing followed the response on its connection; False: something did, or nobody can say."""

    def on_revoked(self) -> None:
        """Something followed after on_verified(True)."""


class ResponseTail:
    """What follows one response; step() is told by the connection, the watcher hears of it."""

    __slots__ = ("deadlines", "state", "timer", "watcher")

    def __init__(self, deadlines) -> None:
        """deadlines: of the router."""
        self.deadlines = deadlines
        self.state, self.timer = PENDING, None
        self.watcher: TailWatcher | None = None

    def watch(self, watcher: TailWatcher) -> None:
        """Sets the watcher, which hears at once if the connection has been given up."""
        if self.state != PENDING:
            watcher.on_verified(self.state == CLEAN)
            return
        self.watcher = watcher
        self.timer = self.deadlines.after(SILENCE_DURATION, self.step, SILENT)

    def is_watched(self) -> bool:
        """Whether somebody waits to hear whether the response was whole."""
        return self.state == PENDING and self.watcher is not None

    def suspend(self) -> None:
        """Silence counts no more: data has come that may be a next response."""
        self.deadlines.drop(self.timer)

    def step(self, event: str) -> None:
        """Applies an input; those that change nothing have no entry in the table."""
        self.state, action = TAIL_TABLE.get((self.state, event), (self.state, None))
        self.deadlines.drop(self.timer)
        if action is not None and self.watcher is not None:
            action(self.watcher)


def _verify(watcher: TailWatcher) -> None:
    watcher.on_verified(True)


def _refute(watcher: TailWatcher) -> None:
    watcher.on_verified(False)


def _revoke(watcher: TailWatcher) -> None:
    watcher.on_revoked()


# (state, input) -> (next state, action)
TAIL_TABLE = {
    (PENDING, SILENT): (CLEAN, _verify),
    (PENDING, FOLLOWED): (OVER, _refute),
    (PENDING, CUT_OFF): (OVER, _refute),
    (CLEAN, FOLLOWED): (OVER, _revoke),
    (CLEAN, CUT_OFF): (OVER, None),
}
