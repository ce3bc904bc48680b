"""What submitters ask of the desk, its answers, and which submissions are malformed."""

from typing import NamedTuple

from . import expressions, types

MOST_ITEMS = 1_000  # purges in one submission: a batch stays well under what a follower takes in at once
LONGEST_KEY = 128  # characters of an idempotency key
LONGEST_NAME = 256  # characters of an object or tag
MOST_GROUPS = 256


class Submission(NamedTuple):
    """One call of a submitter: all of its purges are accepted, or none."""

    token: int  # names who asked; given back with the answer
    key: str  # the same for all tries of one submission
    items: tuple[tuple[str, str], ...]  # (kind, what)
    everything: bool  # a pattern may match every name


class Refused(NamedTuple):
    """The answer to a submission that is not taken.

    why: form: never to be taken; key: used for another; busy: again after that span, in tenths of a
    millisecond. reason: for people.
    """

    token: int
    why: str
    reason: str
    retry: int = 0


class Accepted(NamedTuple):
    """Durable. purges: their numbers and times; repeated: they were before this submission."""

    token: int
    purges: tuple[types.Purge, ...]
    repeated: bool


def malformed(submission: Submission) -> str | None:
    """Why this submission can never be taken, or None."""
    if not submission.key or len(submission.key) > LONGEST_KEY or not submission.key.isprintable():
        return f"a key of 1 to {LONGEST_KEY} characters is wanted"
    if not 0 < len(submission.items) <= MOST_ITEMS:
        return f"1 to {MOST_ITEMS} purges in one submission are wanted"
    if len(set(submission.items)) != len(submission.items):
        return "the same purge twice in one submission"
    for kind, what in submission.items:
        wrong = refusal(kind, what, submission.everything)
        if wrong is not None:
            return f"{kind} {what[:LONGEST_NAME]!r}: {wrong}"
    return None


def refusal(kind: str, what: str, everything: bool) -> str | None:
    """Why this cannot be purged, or None."""
    if kind not in types.KINDS:
        return f"no sort of purge; {', '.join(types.KINDS)} are"
    if kind in types.PATTERN_KINDS:
        return expressions.refusal(kind, what, everything)
    if kind == types.GROUP:
        plain = what.isascii() and what.isdigit() and what == str(int(what)) and int(what) < MOST_GROUPS
        return None if plain else f"a whole number from 0 to {MOST_GROUPS - 1} is wanted"
    if not what or len(what) > LONGEST_NAME or not what.isascii() or not what.isprintable() or " " in what:
        return f"1 to {LONGEST_NAME} characters of printable ASCII without spaces are wanted"
    return None
