"""The desk's decisions on submissions: refused, known, or numbered, written and told, in one total order.

One batch is written at a time; what comes meanwhile makes up the next one, so a slow disk makes batches
larger and not the wait longer by each. Nothing is answered or told before its batch is durable.
"""

from collections import deque
from typing import NamedTuple

from . import patterns
from . import words as w

MOST_ITEMS = 1_000  # purges in one submission: a batch stays well under what a follower takes in at once
MOST_WAITING = 20_000  # purges that wait for the disk; beyond it a submission is turned away at once
MOST_BATCH = 4_096  # purges in one batch: some tens of milliseconds of the disk
LONGEST_KEY = 128  # characters of an idempotency key
LONGEST_NAME = 256  # characters of an object or tag
RETRY = 10_000  # 1 s: until what waits for the disk has gone, or the store was opened again
MOST_GROUPS = 256

IDLE, WRITING, BROKEN = "idle", "writing", "broken"
SUBMITTED, WRITTEN, FAILED, REOPENED = "submitted", "written", "failed", "reopened"


class Submission(NamedTuple):
    token: int  # names who asked; given back with the answer
    key: str  # the same for all tries of one submission
    items: tuple  # of (kind, what)
    everything: bool  # a pattern may match every name


class Refused(NamedTuple):
    """why: form: never to be taken; key: used for another; busy: again after that span."""

    token: int
    why: str
    reason: str
    retry: int = 0


class Accepted(NamedTuple):
    """Durable. purges: their numbers and times; repeated: they were before this submission."""

    token: int
    purges: tuple
    repeated: bool


class Write(NamedTuple):
    batch: tuple  # of (Purge, key)


class Tell(NamedTuple):
    purges: tuple
    keys: tuple  # of their submissions, one for each


class Reopen(NamedTuple):
    """What is on disk is not known: the store has to be read again, under a new epoch."""


class Limits(NamedTuple):
    most_live: int  # distinct objects, groups and tags that followers must keep
    most_patterns: int
    most_batch: int = MOST_BATCH


class Ledger:
    """tail: what is durable and told. keys: idempotency key -> its purges, of all not folded away."""

    def __init__(self, tail, keys, limits):
        self.tail, self.keys, self.limits = tail, keys, limits
        self.state, self.next, self.last_timestamp = IDLE, tail.newest.n + 1, tail.last_timestamp
        self.batch, self.waiting = [], deque()  # (Submission, its purges) that are written, and that wait
        self.open = {}  # key -> [its purges, further tokens that asked for the same]
        self.pending = 0
        self.patterns = sum(kind in w.PATTERN_KINDS for kind, _ in tail.live)

    def submit(self, now, submission):
        refusal = self._refusal(submission)
        if refusal is not None:
            return [refusal]
        known = self.keys.get(submission.key) or self.open.get(submission.key, [None])[0]
        if known is not None:
            if tuple((p.kind, p.what) for p in known) != submission.items:
                return [Refused(submission.token, "key", "this key was used for another submission")]
            if submission.key in self.keys:
                return [Accepted(submission.token, known, True)]
            self.open[submission.key][1].append(submission.token)
            return []  # answered with the first one
        full = self._full(submission)
        if full is not None:
            return [full]
        # The desk's clock may go back; the order's times do not.
        self.last_timestamp = max(self.last_timestamp, now)
        purges = tuple(
            w.Purge(self.tail.epoch, self.next + n, self.last_timestamp, kind, what)
            for n, (kind, what) in enumerate(submission.items)
        )
        self.next += len(purges)
        self.pending += len(purges)
        self.open[submission.key] = [purges, []]
        self.waiting.append((submission, purges))
        return self._step(SUBMITTED)

    def written(self):
        return self._step(WRITTEN)

    def failed(self):
        return self._step(FAILED)

    def reopened(self, tail, keys):
        """The store as it was read again; what it holds of the batch that failed counts."""
        self.tail, self.keys = tail, keys
        self.next, self.last_timestamp = tail.newest.n + 1, max(self.last_timestamp, tail.last_timestamp)
        self.patterns = sum(kind in w.PATTERN_KINDS for kind, _ in tail.live)
        return self._step(REOPENED)

    def restored(self):
        """The store was found to be an older copy: a new life has to begin above what followers know."""
        return self._step(FAILED)

    def fold(self, upto):
        """Forgets the keys of purges up to there: a repeat after that is a new purge, which is harmless."""
        for key in [key for key, purges in self.keys.items() if purges[-1].n <= upto]:
            del self.keys[key]
        self.patterns = sum(kind in w.PATTERN_KINDS for kind, _ in self.tail.live)

    # ---- what can be refused

    def _refusal(self, submission):
        if not submission.key or len(submission.key) > LONGEST_KEY or not submission.key.isprintable():
            return Refused(submission.token, "form", f"a key of 1 to {LONGEST_KEY} characters is wanted")
        if not 0 < len(submission.items) <= MOST_ITEMS:
            return Refused(submission.token, "form", f"1 to {MOST_ITEMS} purges in one submission are wanted")
        if len(set(submission.items)) != len(submission.items):
            return Refused(submission.token, "form", "the same purge twice in one submission")
        for kind, what in submission.items:
            wrong = refusal(kind, what, submission.everything)
            if wrong is not None:
                return Refused(submission.token, "form", f"{kind} {what[:LONGEST_NAME]!r}: {wrong}")
        return None

    def _full(self, submission):
        if self.state == BROKEN:
            return Refused(submission.token, "busy", "the store cannot be written", RETRY)
        if self.pending + len(submission.items) > MOST_WAITING:
            return Refused(submission.token, "busy", "too many purges wait for the disk", RETRY)
        live = self.tail.live
        new = [(kind, what) for kind, what in submission.items if (kind, what) not in live]
        matching = sum(kind in w.PATTERN_KINDS for kind, _ in new)
        if matching and self.patterns + matching > self.limits.most_patterns:
            return Refused(
                submission.token,
                "busy",
                f"{self.patterns} patterns are live, {self.limits.most_patterns} may be; "
                "purge by tag, group or object, or a wider pattern",
                RETRY,
            )
        if len(live) + self.pending + len(new) > self.limits.most_live:
            return Refused(
                submission.token,
                "busy",
                f"{len(live)} purges are live, {self.limits.most_live} may be; "
                "purge by tag, group or pattern",
                RETRY,
            )
        self.patterns += matching
        return None

    # ---- the table, and the loop that reads it

    def _step(self, word):
        self.state, effect = TABLE[self.state, word]
        return effect(self)

    def _nothing(self):
        return []

    def _write(self):
        """The next batch, or none where nothing waits."""
        self.batch, size = [], 0
        while self.waiting and (not self.batch or size + len(self.waiting[0][1]) <= self.limits.most_batch):
            self.batch.append(self.waiting.popleft())
            size += len(self.batch[-1][1])
        if not self.batch:
            self.state = IDLE
            return []
        self.state = WRITING
        return [
            Write(tuple((purge, submission.key) for submission, purges in self.batch for purge in purges))
        ]

    def _done(self):
        effects, told, keys = [], [], []
        for submission, purges in self.batch:
            tokens = self._close(submission, purges)
            self.keys[submission.key] = purges
            told.extend(purges)
            keys.extend([submission.key] * len(purges))
            effects.append(Accepted(submission.token, purges, False))
            effects.extend(Accepted(token, purges, True) for token in tokens)
        for purge in told:
            self.tail.add(purge)
        return [*effects, Tell(tuple(told), tuple(keys)), *self._write()]

    def _break(self):
        """All that was not durable is refused; what of it is on disk is found when the store is next read."""
        effects = []
        for submission, purges in (*self.batch, *self.waiting):
            for token in (submission.token, *self._close(submission, purges)):
                effects.append(Refused(token, "busy", "the store cannot be written", RETRY))
        self.batch, self.waiting = [], deque()
        return [*effects, Reopen()]

    def _close(self, submission, purges):
        self.pending -= len(purges)
        return self.open.pop(submission.key)[1]


def refusal(kind, what, everything):
    """Why this cannot be purged, or None."""
    if kind not in w.KINDS:
        return f"no sort of purge; {', '.join(w.KINDS)} are"
    if kind in w.PATTERN_KINDS:
        return patterns.refusal(kind, what, everything)
    if kind == w.GROUP:
        plain = what.isascii() and what.isdigit() and what == str(int(what)) and int(what) < MOST_GROUPS
        return None if plain else f"a whole number from 0 to {MOST_GROUPS - 1} is wanted"
    if not what or len(what) > LONGEST_NAME or not what.isascii() or not what.isprintable() or " " in what:
        return f"1 to {LONGEST_NAME} characters of printable ASCII without spaces are wanted"
    return None


# state, input -> next state, effect; where nothing waits the effect goes back to IDLE
TABLE = {
    (IDLE, SUBMITTED): (WRITING, Ledger._write),
    (WRITING, SUBMITTED): (WRITING, Ledger._nothing),
    (WRITING, WRITTEN): (WRITING, Ledger._done),
    (IDLE, FAILED): (BROKEN, Ledger._break),
    (WRITING, FAILED): (BROKEN, Ledger._break),
    (BROKEN, WRITTEN): (BROKEN, Ledger._nothing),  # of before it broke: found when the store is read again
    (BROKEN, FAILED): (BROKEN, Ledger._nothing),
    (BROKEN, REOPENED): (IDLE, Ledger._nothing),
}
