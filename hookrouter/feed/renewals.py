"""Renews a follower's lease of purges: a quarter of a lease after the last time, or soon after it has news.

One call is out at a time, over a connection of its own.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTCP
from twisted.python.failure import Failure

from ..log import Log
from ..purges import wire
from ..tables.deadlines import Deadlines
from ..terms import SECOND
from .caller import Caller

RENEWALS = 4  # in one lease: three may be lost
CALL_WITHIN = 1.0  # seconds, and never longer than from one renewal to the next two
# Seconds until the next try where there was no lease: noting a name, or catching up, is quick.
DENIED_PAUSE = 0.05
# Seconds until a renewal that news asks for: what comes in one burst is answered for at once.
LEAST_PAUSE = 0.002
NEWS_IN_LEASE = 10  # renewals for news in one lease: what comes in a stream is answered for together


class RenewalHost(Protocol):
    """Whose lease is renewed."""

    def renewal(self, leave: bool) -> wire.Renew:
        """What is asked for now. leave: that it answers nothing any more."""

    def granted(self, asked: int, wall: int, granted: wire.Granted) -> bool:
        """What was answered to a renewal of these times, steady and wall; False: by who must not be heard."""


class Renewals:
    """Owns the connection for renewals, and when the next one is due."""

    def __init__(
        self,
        reactor: IReactorTCP,
        deadlines: Deadlines,
        address: tuple[str, int],
        host: RenewalHost,
        fields: Sequence[tuple[bytes, bytes]],
        lease: int,
        log: Log,
        count: Callable[[str], None],
        wall: Callable[[], float],
        steady: Callable[[], int],
    ) -> None:
        """address: of desk or relay. fields: of each request. lease: in tenths of a millisecond. Nothing is
        due before start().
        """
        self._reactor, self._deadlines, self._host = reactor, deadlines, host
        self._log, self._count, self._wall, self._steady = log, count, wall, steady
        self._fields = list(fields)
        self._every = lease / SECOND / RENEWALS
        self._spacing = lease / SECOND / NEWS_IN_LEASE  # seconds between two for news, at least
        self._begun = -self._spacing  # when the last one left, by the deadlines' clock
        self._caller = Caller(reactor, deadlines, address)
        self._timer: object | None = None
        self._again = self._stopped = self._leaving = False

    def start(self) -> None:
        """The first one is due now, unless one is already."""
        if self._timer is None and not self._stopped:
            self._later(0)

    def soon(self) -> None:
        """There is news: a moment from now, but not too soon after the last one, nor while a call is out."""
        if self._caller.busy():
            self._again = True
        elif not self._over():
            self._later(self._pause())

    def move(self, address: tuple[str, int]) -> None:
        """The lease is renewed there from now on; a call that is out ends."""
        self._caller.stop()
        self._caller = Caller(self._reactor, self._deadlines, address)

    def stop(self) -> None:
        """Nothing is renewed any more."""
        self._stopped = True
        self._deadlines.drop(self._timer)
        self._caller.stop()

    def leave(self) -> Deferred:
        """Says that it answers nothing any more; fires, or fails, once it was told."""
        self._leaving = True
        self._deadlines.drop(self._timer)
        self._caller.stop()
        return self._call(True)

    def _over(self) -> bool:
        return self._stopped or self._leaving

    def _pause(self) -> float:
        """Seconds until the next one for news."""
        return max(LEAST_PAUSE, self._begun + self._spacing - self._deadlines.clock.seconds())

    def _later(self, seconds: float) -> None:
        if self._timer is not None and not self._deadlines.sooner(self._timer, seconds):
            return
        self._deadlines.drop(self._timer)
        self._timer = self._deadlines.after(seconds, self._renew)

    def _renew(self) -> None:
        self._timer = None
        if self._caller.busy() or self._stopped:
            return  # the call that is out ends soon, see _ended
        self._again, self._begun = False, self._deadlines.clock.seconds()
        asked, wall = self._steady(), int(self._wall() * SECOND)
        call = self._call(False)
        call.addCallbacks(self._renewed, self._not_renewed, callbackArgs=(asked, wall))
        call.addErrback(lambda failure: self._log("renewal failed", failure.getTraceback(), level="error"))
        call.addCallback(self._ended)
        self._later(self._every)

    def _call(self, leave: bool) -> Deferred:
        body = wire.write(self._host.renewal(leave))
        within = min(CALL_WITHIN, 2 * self._every)
        return self._caller.start(b"POST", b"/v1/renew", self._fields, body, within)

    def _renewed(self, answer: tuple[int, bytes], asked: int, wall: int) -> None:
        status, body = answer
        if status == 503:  # not the desk any more, or not yet
            self._count("renewals_failed")
            return
        if status != 200:
            self._log("renewal of the lease refused", f"status {status}", level="error")
            self._count("renewals_refused")
            return
        granted = wire.read_granted(body)
        if not self._host.granted(asked, wall, granted):
            self._count("renewals_refused")
        elif self._again or not granted.span:
            self._later(self._pause() if self._again else DENIED_PAUSE)

    def _not_renewed(self, failure: Failure) -> None:
        self._count("renewals_failed")

    def _ended(self, _: object) -> None:
        """A renewal that came due while the last one was out follows at once."""
        if self._timer is None and not self._over():
            self._later(LEAST_PAUSE)
