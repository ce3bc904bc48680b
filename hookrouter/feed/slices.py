"""Fetches the sealed slices that a snapshot has listed, one at a time, each checked by its digest.

What was fetched stays fetched: after a cut, or a further snapshot, only the others are asked for. Fetching
takes half of the time at most.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from time import perf_counter
from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTCP
from twisted.python.failure import Failure

from ..errors.wire import MalformedSlice
from ..log import Log
from ..purges.catch_up import CatchUp
from ..purges.retention.archive import SliceState
from ..purges.slice_codec import MOST_ENCODED, Row, decode_row
from ..tables.deadlines import Deadlines
from .caller import Caller

FETCH_WITHIN = 10.0  # seconds for one slice: a quarter of a megabyte over a link that is nearly full
RETRY_PAUSE = 0.25  # seconds until the next try of a slice that could not be had
MOST_REFUSED = 3  # in a row; then another snapshot is asked for, perhaps elsewhere
LINK_SHARE = 0.5  # of the time that may go to fetching
LEAST_PAUSE = 0.001  # seconds between two of them


class SliceHost(Protocol):
    """Whom the slices are fetched for."""

    def adopt(self, state: SliceState) -> Deferred | None:
        """Takes in a slice; a Deferred where that lasts."""

    def caught_up(self) -> None:
        """Nothing is missing any more."""

    def list_anew(self) -> None:
        """What is listed cannot be had: another snapshot has to be asked for."""


class SliceFetcher:
    """Fetches for one follower what its CatchUp lacks, from go() on until nothing is missing."""

    def __init__(
        self,
        reactor: IReactorTCP,
        deadlines: Deadlines,
        fields: Sequence[tuple[bytes, bytes]],
        address: Callable[[], tuple[str, int]],
        host: SliceHost,
        catch_up: CatchUp,
        log: Log,
        count: Callable[[str], None],
    ) -> None:
        """fields: of each request; address(): of desk or relay now."""
        self._reactor, self._deadlines, self._fields = reactor, deadlines, list(fields)
        self._address, self._host, self._catch_up = address, host, catch_up
        self._log, self._count = log, count
        self._caller: Caller | None = None
        self._timer: object | None = None
        self._busy = self._stopped = False
        self._refused = 0  # tries in a row that failed

    def go(self) -> None:
        """Something may be missing."""
        if self._stopped or self._busy or not self._catch_up.pending:
            return
        self._deadlines.drop(self._timer)
        self._timer = None
        row = self._catch_up.missing()
        if row is not None:
            self._fetch(row)
        elif not self._catch_up.pending:
            self._hang_up()
            self._host.caught_up()

    def stop(self) -> None:
        """Nothing more is fetched, and nobody is told."""
        self._stopped = True
        self._deadlines.drop(self._timer)
        self._hang_up()

    def _fetch(self, row: Row) -> None:
        address = self._address()
        if self._caller is None or self._caller.address != address:
            self._hang_up()
            self._caller = Caller(self._reactor, self._deadlines, address, MOST_ENCODED)
        self._busy, began = True, perf_counter()
        target = f"/v1/slices/{row.digest}".encode()
        call = self._caller.start(b"GET", target, self._fields, b"", FETCH_WITHIN)
        call.addCallback(self._came, row, began)
        call.addErrback(self._failed, row)

    def _came(self, answer: tuple[int, bytes], row: Row, began: float) -> Deferred | None:
        status, body = answer
        if status == 404:
            self._lost(f"slice {row.digest} is not listed any more")
            return None
        if status != 200:
            raise ConnectionError(f"status {status} in place of slice {row.digest}")
        state = decode_row(row, body)
        self._count("slices_fetched")
        spent = perf_counter() - began
        done = self._host.adopt(state)
        if done is None:
            self._taken_in(None, row, spent)
            return None
        return done.addCallback(self._taken_in, row, spent)

    def _taken_in(self, _: object, row: Row, spent: float) -> None:
        self._busy, self._refused = False, 0
        self._catch_up.took(row)
        self._later(max(LEAST_PAUSE, spent * (1 / LINK_SHARE - 1)))

    def _failed(self, failure: Failure, row: Row) -> None:
        if self._stopped:
            return
        self._busy = False
        self._refused += 1
        if failure.check(MalformedSlice):
            self._count("slices_refused")
            self._log("sealed slice of purges is not as listed, fetched again", failure.value.user_message())
        else:
            self._count("slices_failed")
        if self._refused >= MOST_REFUSED:
            self._lost(f"slice {row.digest} could not be had {self._refused} times")
            return
        self._later(RETRY_PAUSE)

    def _lost(self, why: str) -> None:
        """What was taken in stays; the rest is listed anew by another snapshot."""
        self._busy, self._refused = False, 0
        self._log("sealed slices of purges are asked for anew", why)
        self._host.list_anew()

    def _later(self, seconds: float) -> None:
        self._deadlines.drop(self._timer)
        self._timer = self._deadlines.after(seconds, self.go)

    def _hang_up(self) -> None:
        caller, self._caller = self._caller, None
        if caller is not None:
            caller.stop()
