"""Has old purges sealed in a store, step by step, for as long as its desk or keeper runs."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from ..log import Log

SEAL_INTERVAL = 5.0  # seconds between looks whether old purges can be sealed
NEXT_STEP_DELAY = 0.05  # seconds until the next step where more of them wait


class SealingLoop:
    """Calls one step after the other, none before the last has ended."""

    def __init__(
        self, reactor: IReactorTime, step: Callable[[], Deferred[bool]], log: Log, failure_event: str
    ) -> None:
        """step(): a step of sealing, which says whether more purges wait; failed: logged where it fails."""
        self._reactor, self._step, self._log, self._failure_event = reactor, step, log, failure_event
        self._call, self._stopped = None, False

    def start(self) -> None:
        """The first step is due a while from now."""
        self._schedule(SEAL_INTERVAL)

    def stop(self) -> None:
        """No further step is begun; one that is under way ends by itself."""
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
