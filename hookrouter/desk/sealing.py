"""Has old purges sealed in a store, step by step, for as long as its desk or keeper runs."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from ..log import Log

SEAL_EVERY = 5.0  # seconds between looks whether old purges can be sealed
SEAL_AGAIN = 0.05  # seconds until the next step where more of them wait


class SealingLoop:
    """Calls one step after the other, none before the last has ended."""

    def __init__(
        self, reactor: IReactorTime, step: Callable[[], Deferred[bool]], log: Log, failed: str
    ) -> None:
        """step(): a step of sealing, which says whether more purges wait; failed: logged where it fails."""
        self._reactor, self._step, self._log, self._failed = reactor, step, log, failed
        self._call, self._stopped = None, False

    def start(self) -> None:
        """The first step is due a while from now."""
        self._in(SEAL_EVERY)

    def stop(self) -> None:
        """No further step is begun; one that is under way ends by itself."""
        self._stopped = True
        if self._call is not None and self._call.active():
            self._call.cancel()

    def _in(self, seconds: float) -> None:
        if not self._stopped:
            self._call = self._reactor.callLater(seconds, self._seal)

    def _seal(self) -> None:
        self._step().addCallbacks(self._sealed, self._not_sealed)

    def _sealed(self, more: bool) -> None:
        self._in(SEAL_AGAIN if more else SEAL_EVERY)

    def _not_sealed(self, failure: Failure) -> None:
        if not self._stopped:
            self._log(self._failed, failure.getErrorMessage(), level="error")
        self._in(SEAL_EVERY)
