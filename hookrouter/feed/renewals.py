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
from .http_client import HttpClient

RENEWALS = 4  # in one lease: three may be lost
CALL_TIMEOUT = 1.0  # seconds, and never longer than from one renewal to the next two
# Seconds until the next try where there was no lease: noting a name, or catching up, is quick.
DENIED_PAUSE = 0.05
# Seconds until a renewal that news asks for: what comes in one burst is answered for at once.
MIN_PAUSE = 0.002
NEWS_IN_LEASE = 10  # renewals for news in one lease: what comes in a stream is answered for together


class RenewalHost(Protocol):
    """Whose lease is renewed."""

    def renewal(self, leave: bool) -> wire.Renew:
        """What is asked for now. leave: that it answers nothing any more."""

    def on_grant(self, requested_at: int, wall: int, granted: wire.Granted) -> bool:
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
        self._interval = lease / SECOND / RENEWALS
        self._spacing = lease / SECOND / NEWS_IN_LEASE  # seconds between two for news, at least
        self._last_started_at = -self._spacing  # when the last one left, by the deadlines' clock
        self._client = HttpClient(reactor, deadlines, address)
        self._timer: object | None = None
        self._renew_again = self._stopped = self._leaving = False

    def start(self) -> None:
        """The first one is due now, unless one is already."""
        if self._timer is None and not self._stopped:
            self._schedule(0)

    def soon(self) -> None:
        """There is news: a moment from now, but not too soon after the last one, nor while a call is out."""
        if self._client.busy():
            self._renew_again = True
        elif not self._closed():
            self._schedule(self._news_pause())

    def move(self, address: tuple[str, int]) -> None:
        """The lease is renewed there from now on; a call that is out ends."""
        self._client.stop()
        self._client = HttpClient(self._reactor, self._deadlines, address)

    def stop(self) -> None:
        """Nothing is renewed any more."""
        self._stopped = True
        self._deadlines.drop(self._timer)
        self._client.stop()

    def leave(self) -> Deferred:
        """Says that it answers nothing any more; fires, or fails, once it was told."""
        self._leaving = True
        self._deadlines.drop(self._timer)
        self._client.stop()
        return self._call(True)

    def _closed(self) -> bool:
        return self._stopped or self._leaving

    def _news_pause(self) -> float:
        """Seconds until the next one for news."""
        return max(MIN_PAUSE, self._last_started_at + self._spacing - self._deadlines.clock.seconds())

    def _schedule(self, seconds: float) -> None:
        if self._timer is not None and not self._deadlines.sooner(self._timer, seconds):
            return
        self._deadlines.drop(self._timer)
        self._timer = self._deadlines.after(seconds, self._renew)

    def _renew(self) -> None:
        self._timer = None
        if self._client.busy() or self._stopped:
            return  # the call that is out ends soon, see _ended
        self._renew_again, self._last_started_at = False, self._deadlines.clock.seconds()
        requested_at, wall = self._steady(), int(self._wall() * SECOND)
        call = self._call(False)
        call.addCallbacks(self._on_response, self._on_failure, callbackArgs=(requested_at, wall))
        call.addErrback(lambda failure: self._log("renewal failed", failure.getTraceback(), level="error"))
        call.addCallback(self._on_call_ended)
        self._schedule(self._interval)

    def _call(self, leave: bool) -> Deferred:
        body = wire.write(self._host.renewal(leave))
        timeout = min(CALL_TIMEOUT, 2 * self._interval)
        return self._client.start(b"POST", b"/v1/renew", self._fields, body, timeout)

    def _on_response(self, answer: tuple[int, bytes], requested_at: int, wall: int) -> None:
        status, body = answer
        if status == 503:  # not the desk any more, or not yet
            self._count("renewals_failed")
            return
        if status != 200:
            self._log("renewal of the lease refused", f"status {status}", level="error")
            self._count("renewals_refused")
            return
        granted = wire.read_granted(body)
        if not self._host.on_grant(requested_at, wall, granted):
            self._count("renewals_refused")
        elif self._renew_again or not granted.span:
            self._schedule(self._news_pause() if self._renew_again else DENIED_PAUSE)

    def _on_failure(self, failure: Failure) -> None:
        self._count("renewals_failed")

    def _on_call_ended(self, _: object) -> None:
        """A renewal that came due while the last one was out follows at once."""
        if self._timer is None and not self._closed():
            self._schedule(MIN_PAUSE)
