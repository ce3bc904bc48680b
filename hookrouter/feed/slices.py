"""Fetches the sealed slices that a snapshot lists, one at a time, each checked by its digest.

Fetched slices are kept: after a disconnect or another snapshot only the missing ones are requested. Fetching
takes at most half of the time.
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
from .http_client import HttpClient

FETCH_TIMEOUT = 10.0  # seconds for one slice: a quarter of a megabyte over a link that is nearly full
RETRY_PAUSE = 0.25  # seconds until a failed slice is requested again
MAX_FAILURES = 3  # in a row; then another snapshot is requested, perhaps from another server
LINK_SHARE = 0.5  # maximum share of the time spent fetching
MIN_PAUSE = 0.001  # seconds between two fetches


class SliceHost(Protocol):
    """The follower that slices are fetched for."""

    def adopt(self, state: SliceState) -> Deferred | None:
        """Merges a slice; may return a Deferred."""

    def caught_up(self) -> None:
        """No slice is missing any more."""

    def list_anew(self) -> None:
        """Listed slices cannot be fetched: another snapshot is needed."""


class SliceFetcher:
    """Fetches the slices that a CatchUp lacks, from go() on until none is missing."""

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
        """fields: header fields of each request; address(): current address of desk or relay."""
        self._reactor, self._deadlines, self._fields = reactor, deadlines, list(fields)
        self._address, self._host, self._catch_up = address, host, catch_up
        self._log, self._count = log, count
        self._client: HttpClient | None = None
        self._timer: object | None = None
        self._busy = self._stopped = False
        self._failures = 0  # failed fetches in a row

    def go(self) -> None:
        """Continues fetching if slices are missing and no fetch is in progress."""
        if self._stopped or self._busy or not self._catch_up.pending:
            return
        self._deadlines.drop(self._timer)
        self._timer = None
        row = self._catch_up.missing()
        if row is not None:
            self._fetch(row)
        elif not self._catch_up.pending:
            self._disconnect()
            self._host.caught_up()

    def stop(self) -> None:
        """Stops fetching without a callback."""
        self._stopped = True
        self._deadlines.drop(self._timer)
        self._disconnect()

    def _fetch(self, row: Row) -> None:
        address = self._address()
        if self._client is None or self._client.address != address:
            self._disconnect()
            self._client = HttpClient(self._reactor, self._deadlines, address, MOST_ENCODED)
        self._busy, started_at = True, perf_counter()
        target = f"/v1/slices/{row.digest}".encode()
        call = self._client.start(b"GET", target, self._fields, b"", FETCH_TIMEOUT)
        call.addCallback(self._on_response, row, started_at)
        call.addErrback(self._on_failure, row)

    def _on_response(self, answer: tuple[int, bytes], row: Row, started_at: float) -> Deferred | None:
        status, body = answer
        if status == 404:
            self._request_new_list(f"slice {row.digest} is not listed any more")
            return None
        if status != 200:
            raise ConnectionError(f"status {status} in place of slice {row.digest}")
        state = decode_row(row, body)
        self._count("slices_fetched")
        spent = perf_counter() - started_at
        adoption = self._host.adopt(state)
        if adoption is None:
            self._on_adopted(None, row, spent)
            return None
        return adoption.addCallback(self._on_adopted, row, spent)

    def _on_adopted(self, _: object, row: Row, spent: float) -> None:
        self._busy, self._failures = False, 0
        self._catch_up.took(row)
        self._schedule(max(MIN_PAUSE, spent * (1 / LINK_SHARE - 1)))

    def _on_failure(self, failure: Failure, row: Row) -> None:
        if self._stopped:
            return
        self._busy = False
        self._failures += 1
        if failure.check(MalformedSlice):
            self._count("slices_refused")
            self._log("sealed slice of purges is not as listed, fetched again", failure.value.user_message())
        else:
            self._count("slices_failed")
        if self._failures >= MAX_FAILURES:
            self._request_new_list(f"slice {row.digest} could not be had {self._failures} times")
            return
        self._schedule(RETRY_PAUSE)

    def _request_new_list(self, reason: str) -> None:
        """Requests another snapshot; applied slices stay."""
        self._busy, self._failures = False, 0
        self._log("sealed slices of purges are asked for anew", reason)
        self._host.list_anew()

    def _schedule(self, seconds: float) -> None:
        self._deadlines.drop(self._timer)
        self._timer = self._deadlines.after(seconds, self.go)

    def _disconnect(self) -> None:
        http_client, self._client = self._client, None
        if http_client is not None:
            http_client.stop()
