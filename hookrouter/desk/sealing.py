"""Seals old purges of a store in steps, as long as its desk or keeper runs."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from ..log import Log

SEAL_INTERVAL = 5.0  # seconds between checks for old purges to seal
NEXT_STEP_DELAY = 0.05  # seconds until the next step if more are waiting


class SealingLoop:
    """Runs one sealing step after the other, never two at a time."""

    def __init__(
        self, reactor: IReactorTime, step: Callable[[], Deferred[bool]], log: Log, failure_event: str
    ) -> None:
        """step(): seals a batch; its result: whether more are waiting. failure_event: logged if it fails."""
        self._reactor, self._step, self._log, self._failure_event = reactor, step, log, failure_event
        self._call, self._stopped = None, False

    def start(self) -> None:
        """Schedules the first step."""
        self._schedule(SEAL_INTERVAL)

    def stop(self) -> None:
        """Starts no further step; a running one completes."""
        self._stopped = True
        if self._call is not None and self._call.active():
            self._call.cancel()

    def _schedule(self, seconds: float) -> None:
        if not self._stopped:
            self._call = self._reactor.callLater(seconds, self._run_step)

    def _run_step(self) -> None:
        self._step().addCallbacks(self._step_done, self._step_failed)

    def _step_done(self, more: bool) -> None:
        self._schedule(NEXT_STEP_DELAY if more else SEAL_INTERVAL)

    def _step_failed(self, failure: Failure) -> None:
        if not self._stopped:
            self._log(self._failure_event, failure.getErrorMessage(), level="error")
        self._schedule(SEAL_INTERVAL)
