"""Sizes of records in log entries and messages."""

from .. import protocol
from ..duties import APPEND, FOLLOWERS

MAX_NAME_BYTES = 80  # upper bound for a follower's name and generation in an entry


def record_bytes(entry):
    """Returns the bytes of an entry's records or names; the rest of an entry is some hundred bytes."""
    if entry.kind != protocol.COMMAND or entry.body[1] not in (APPEND, FOLLOWERS):
        return 0
    if entry.body[1] == APPEND:
        return sum(map(len, entry.body[2][-1]))
    return MAX_NAME_BYTES * sum(len(names) for names in entry.body[2][2:] if isinstance(names, (list, tuple)))


def fits_one_message(request):
    """Returns whether a command's records are well-formed and fit into one message."""
    if request.command != APPEND:
        return True
    bodies = request.fields[-1] if len(request.fields) == 4 else None
    return (
        isinstance(bodies, list)
        and all(isinstance(body, bytes) for body in bodies)
        and 0 < sum(map(len, bodies)) <= protocol.MAX_RECORD_BYTES
    )
