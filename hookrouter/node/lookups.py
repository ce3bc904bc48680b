"""A lookup that a router holds, and the checks of a client's request before it becomes one."""

from typing import NamedTuple

from .. import interface


class Lookup:
    """A lookup that is not answered yet, or whose sends still run."""

    __slots__ = ("number", "call", "request", "deadline", "send_count", "active_sends", "answered")

    def __init__(self, call, request, deadline):
        self.call, self.request, self.deadline = call, request, deadline
        self.number, self.send_count, self.active_sends, self.answered = None, 0, {}, False


class InvalidRequest(NamedTuple):
    """Why a request is answered as failed at once."""

    event: str  # for the log
    detail: str
    counter: str
    reason: str  # for the client


def check_request(request, kinds, open_trace_ids, has_run):
    """Returns an InvalidRequest, or None if the request can become a lookup. kinds: by name; has_run: whether
    a lookup with its id and an effect may have run a short time ago.
    """
    kind = kinds.get(request.kind)
    if kind is None:
        return InvalidRequest(
            "client asked for an unknown object kind, failed",
            request.kind,
            "calls_of_unknown_kind",
            "unknown kind",
        )
    if kind.idempotency == interface.DEDUPLICATED and request.dedup_key is None:
        # Without a key no cache could recognise a repeat.
        return InvalidRequest(
            "client left out the key of a deduplicated lookup, failed",
            "",
            "keys_missing",
            "replay is missing",
        )
    if has_run:  # its client has left or repeats it, and the effect must not come twice
        return InvalidRequest(
            "client used the id of a lookup that may have run, failed",
            request.trace,
            "ids_used_twice",
            "id was used",
        )
    if request.trace in open_trace_ids:  # caches could not tell the sends of the two lookups apart
        return InvalidRequest(
            "client used the id of an open lookup, failed", request.trace, "ids_used_twice", "id is in use"
        )
    return None
