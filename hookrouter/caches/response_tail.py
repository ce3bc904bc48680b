"""Whether anything follows a response on its connection.

What follows without a request shows that the response was not what its head said: its length was too
short, or a second response was sent. It may come some time after the response is complete.
"""

from collections.abc import Callable

# Seconds after which a silent connection has nothing more to send. The peer's system may hold back a small
# write until what it has sent is acknowledged, and Linux delays acknowledgements by at most 0.2 s.
SILENCE_DURATION = 0.25

# States.
PENDING, CLEAN, OVER = "pending", "clean", "over"
# Inputs: silence, the end of the stream or a next response; data without a request; the connection's end.
SILENT, FOLLOWED, CUT_OFF = "silent", "followed", "cut off"


class ResponseTail:
    """What follows one response; step() is told by the connection, the watcher hears of it.

    The watcher's on_verified(whole) is called once, and on_revoked() if data comes after on_verified(True).
    """

    __slots__ = ("deadlines", "state", "timer", "on_verified", "on_revoked")

    def __init__(self, deadlines) -> None:
        """deadlines: of the router."""
        self.deadlines = deadlines
        self.state, self.timer = PENDING, None
        self.on_verified: Callable[[bool], None] | None = None
        self.on_revoked: Callable[[], None] | None = None

    def watch(self, on_verified: Callable[[bool], None], on_revoked: Callable[[], None]) -> None:
        """Sets the watcher; calls its on_verified at once if the connection has been given up."""
        if self.state != PENDING:
            on_verified(self.state == CLEAN)
            return
        self.on_verified, self.on_revoked = on_verified, on_revoked
        self.timer = self.deadlines.after(SILENCE_DURATION, self.step, SILENT)

    def is_watched(self) -> bool:
        """Whether somebody waits to hear whether the response was whole."""
        return self.state == PENDING and self.on_verified is not None

    def suspend(self) -> None:
        """Silence counts no more: data has come that may be a next response."""
        self.deadlines.drop(self.timer)

    def step(self, event: str) -> None:
        """Applies an input; those that change nothing have no entry in the table."""
        self.state, action = TAIL_TABLE.get((self.state, event), (self.state, None))
        self.deadlines.drop(self.timer)
        if action is not None:
            action(self)

    def _verified(self) -> None:
        if self.on_verified is not None:
            self.on_verified(True)

    def _refuted(self) -> None:
        if self.on_verified is not None:
            self.on_verified(False)

    def _revoked(self) -> None:
        if self.on_revoked is not None:
            self.on_revoked()


# (state, input) -> (next state, action)
TAIL_TABLE = {
    (PENDING, SILENT): (CLEAN, ResponseTail._verified),
    (PENDING, FOLLOWED): (OVER, ResponseTail._refuted),
    (PENDING, CUT_OFF): (OVER, ResponseTail._refuted),
    (CLEAN, FOLLOWED): (OVER, ResponseTail._revoked),
    (CLEAN, CUT_OFF): (OVER, None),
}
