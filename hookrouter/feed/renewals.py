"""Renews a follower's lease of purges: a quarter of a lease after the last renewal, or soon after news.

One call is in progress at a time, over a connection of its own.
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

RENEWALS = 4  # in one lease, so three in a row may be lost
CALL_TIMEOUT = 1.0  # seconds, and at most two renewal intervals
# Seconds until the next try after a denied lease: storing a name, or catching up, is quick.
DENIED_PAUSE = 0.05
# Seconds until a renewal for news, so that a burst of purges is acknowledged together.
MIN_PAUSE = 0.002
NEWS_IN_LEASE = 10  # renewals for news in one lease: a stream of purges is acknowledged in batches


class RenewalHost(Protocol):
    """The owner of the lease."""

    def renewal(self, leave: bool) -> wire.Renew:
        """The request to send now. leave: the follower stops answering."""

    def on_grant(self, requested_at: int, wall: int, granted: wire.Granted) -> bool:
        """Answer to a renewal sent at these steady and wall times; False if it must be ignored."""


class Renewals:
    """Owns the connection for renewals and schedules them."""

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
        """address: of desk or relay. fields: header fields of each request. lease: tenths of a millisecond.
        Nothing is scheduled before start().
        """
        self._reactor, self._deadlines, self._host = reactor, deadlines, host
        self._log, self._count, self._wall, self._steady = log, count, wall, steady
        self._fields = list(fields)
        self._interval = lease / SECOND / RENEWALS
        self._spacing = lease / SECOND / NEWS_IN_LEASE  # minimum of seconds between two renewals for news
        self._last_started_at = -self._spacing  # start of the last renewal, by the deadlines' clock
        self._client = HttpClient(reactor, deadlines, address)
        self._timer: object | None = None
        self._renew_again = self._stopped = self._leaving = False

    def start(self) -> None:
        """Sends the first renewal now, unless one is scheduled."""
        if self._timer is None and not self._stopped:
            self._schedule(0)

    def soon(self) -> None:
        """There is news to acknowledge: renews shortly, limited by the spacing and by a call in progress."""
        if self._client.busy():
            self._renew_again = True
        elif not self._closed():
            self._schedule(self._news_pause())

    def move(self, address: tuple[str, int]) -> None:
        """Renews at another address from now on; a call in progress fails."""
        self._client.stop()
        self._client = HttpClient(self._reactor, self._deadlines, address)

    def stop(self) -> None:
        """Stops renewing."""
        self._stopped = True
        self._deadlines.drop(self._timer)
        self._client.stop()

    def leave(self) -> Deferred:
        """Tells the desk that the follower stops answering; fires or fails with the call."""
        self._leaving = True
        self._deadlines.drop(self._timer)
        self._client.stop()
        return self._call(True)

    def _closed(self) -> bool:
        return self._stopped or self._leaving

    def _news_pause(self) -> float:
        """Seconds until the next renewal for news."""
        return max(MIN_PAUSE, self._last_started_at + self._spacing - self._deadlines.clock.seconds())

    def _schedule(self, seconds: float) -> None:
        if self._timer is not None and not self._deadlines.sooner(self._timer, seconds):
            return
        self._deadlines.drop(self._timer)
        self._timer = self._deadlines.after(seconds, self._renew)

    def _renew(self) -> None:
        self._timer = None
        if self._client.busy() or self._stopped:
            return  # _on_call_ended() schedules the next one
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
        if status == 503:  # not, or not yet, the desk
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
        """A renewal that came due during the last call follows at once."""
        if self._timer is None and not self._closed():
            self._schedule(MIN_PAUSE)
