"""What records weigh in an entry, and which fit into one message."""

from .. import words as w
from ..duties import KEEP, NAMES

NAME = 80  # bytes of a member's name and life in an entry, at most


def weight(entry):
    """Bytes of an entry beyond some hundred: those of its records, or names."""
    if entry.sort != w.COMMAND or entry.body[1] not in (KEEP, NAMES):
        return 0
    if entry.body[1] == KEEP:
        return sum(map(len, entry.body[2][-1]))
    return NAME * sum(len(names) for names in entry.body[2][2:] if isinstance(names, (list, tuple)))


def fits(ask):
    """Whether records come as records, and one message takes them."""
    if ask.command != KEEP:
        return True
    bodies = ask.fields[-1] if len(ask.fields) == 4 else None
    return (
        isinstance(bodies, list)
        and all(isinstance(body, bytes) for body in bodies)
        and 0 < sum(map(len, bodies)) <= w.MOST_BYTES
    )
