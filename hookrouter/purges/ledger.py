"""The desk's decisions on submissions: refused, known, or numbered, written, published; one total order.

One batch is written at a time; what comes meanwhile makes up the next one, so a slow disk makes batches
larger and not the wait longer by each. Nothing is answered or published before its batch is durable.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from typing import NamedTuple

from . import submissions, types
from .submissions import Accepted, Refused, Submission
from .tail import Tail

MOST_WAITING = 20_000  # purges that wait for the disk; beyond it a submission is turned away at once
MOST_BATCH = 4_096  # purges in one batch: some tens of milliseconds of the disk
RETRY = 10_000  # 1 s: until what waits for the disk has gone, or the store was opened again

IDLE, WRITING, BROKEN = "idle", "writing", "broken"
SUBMITTED, WRITTEN, FAILED, REOPENED = "submitted", "written", "failed", "reopened"


class Write(NamedTuple):
    """To be made durable, then written() or failed() is called."""

    batch: tuple[tuple[types.Purge, str], ...]  # (Purge, key)


class Publish(NamedTuple):
    """Durable now: to be sent to followers."""

    purges: tuple[types.Purge, ...]
    keys: tuple[str, ...]  # of their submissions, one for each


class Reopen(NamedTuple):
    """What is on disk is not known: the store has to be read again, under a new epoch."""


Effect = Refused | Accepted | Write | Publish | Reopen
Keys = dict[str, tuple[types.Purge, ...]]  # idempotency key -> its purges, those of the newest last


class Limits(NamedTuple):
    """What is refused as too much."""

    most_live: int  # purges that are live; those in slices with their repeats
    most_patterns: int  # globs and regexes: followers cannot seal them
    most_batch: int = MOST_BATCH


class Ledger:
    """The order as it grows: numbers purges, and says what is to be written, published and answered.

    Each method that takes an event gives back the effects in the order in which they have to happen.
    """

    def __init__(self, tail: Tail, keys: Keys, limits: Limits) -> None:
        """tail: what is durable and published. keys: of submissions; those of purges that the tail keeps in
        their order are remembered.
        """
        self.tail, self.keys, self.limits = tail, OrderedDict(keys), limits
        self.state, self.next, self.last_timestamp = IDLE, tail.newest.n + 1, tail.last_timestamp
        # (Submission, its purges) that are written, and that wait.
        self.batch: list[tuple[Submission, tuple]] = []
        self.waiting: deque[tuple[Submission, tuple]] = deque()
        self.open = {}  # key -> [its purges, further tokens that asked for the same]
        self.pending = 0
        self.patterns = tail.patterns()
        self._forget_keys()

    def submit(self, now: int, submission: Submission) -> list[Effect]:
        """A submission has come. now: the desk's clock, in tenths of a millisecond."""
        reason = submissions.malformed(submission)
        if reason is not None:
            return [Refused(submission.token, "form", reason)]
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
            types.Purge(self.tail.epoch, self.next + n, self.last_timestamp, kind, what)
            for n, (kind, what) in enumerate(submission.items)
        )
        self.next += len(purges)
        self.pending += len(purges)
        self.open[submission.key] = [purges, []]
        self.waiting.append((submission, purges))
        return self._step(SUBMITTED)

    def written(self) -> list[Effect]:
        """The batch of the last Write is durable."""
        return self._step(WRITTEN)

    def failed(self) -> list[Effect]:
        """The last Write failed; whether any of it is on disk is not known."""
        return self._step(FAILED)

    def reopened(self, tail: Tail, keys: Keys) -> list[Effect]:
        """The store as it was read again; what it holds of the batch that failed counts."""
        self.tail, self.keys = tail, OrderedDict(keys)
        self.next, self.last_timestamp = tail.newest.n + 1, max(self.last_timestamp, tail.last_timestamp)
        self.patterns = tail.patterns()
        return self._step(REOPENED)

    def restored(self) -> list[Effect]:
        """The store was found to be an older copy: a new life has to begin above what followers know."""
        return self._step(FAILED)

    def folded(self) -> None:
        """The tail was folded."""
        self._forget_keys()
        self.patterns = self.tail.patterns()

    def _forget_keys(self) -> None:
        """Those of purges that are not kept in their order any more: a repeat is a new purge, harmless."""
        oldest = self.tail.recent[0].n if self.tail.recent else self.next
        while self.keys and next(iter(self.keys.values()))[-1].n < oldest:
            self.keys.popitem(last=False)

    # ---- what can be refused

    def _full(self, submission: Submission) -> Refused | None:
        if self.state == BROKEN:
            return Refused(submission.token, "busy", "the store cannot be written", RETRY)
        if self.pending + len(submission.items) > MOST_WAITING:
            return Refused(submission.token, "busy", "too many purges wait for the disk", RETRY)
        live = self.tail.live()
        new = [(kind, what) for kind, what in submission.items if not self.tail.holds(kind, what)]
        matching = sum(kind in types.MATCHED_KINDS for kind, _ in new)
        if matching and self.patterns + matching > self.limits.most_patterns:
            return Refused(
                submission.token,
                "busy",
                f"{self.patterns} patterns are live, {self.limits.most_patterns} may be; "
                "purge by tag, group, object or prefix, or a wider pattern",
                RETRY,
            )
        if live + self.pending + len(new) > self.limits.most_live:
            return Refused(
                submission.token,
                "busy",
                f"{live} purges are live, {self.limits.most_live} may be; purge by tag, group or pattern",
                RETRY,
            )
        self.patterns += matching
        return None

    # ---- the table, and the loop that reads it

    def _step(self, event: str) -> list[Effect]:
        self.state, action = TABLE[self.state, event]
        return action(self)

    def _nothing(self) -> list[Effect]:
        return []

    def _write(self) -> list[Effect]:
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

    def _done(self) -> list[Effect]:
        effects, published, keys = [], [], []
        for submission, purges in self.batch:
            tokens = self._close(submission, purges)
            self.keys[submission.key] = purges
            published.extend(purges)
            keys.extend([submission.key] * len(purges))
            effects.append(Accepted(submission.token, purges, False))
            effects.extend(Accepted(token, purges, True) for token in tokens)
        for purge in published:
            self.tail.add(purge)
        self._forget_keys()
        return [*effects, Publish(tuple(published), tuple(keys)), *self._write()]

    def _break(self) -> list[Effect]:
        """All that was not durable is refused; what of it is on disk is found when the store is next read."""
        effects = []
        for submission, purges in (*self.batch, *self.waiting):
            for token in (submission.token, *self._close(submission, purges)):
                effects.append(Refused(token, "busy", "the store cannot be written", RETRY))
        self.batch, self.waiting = [], deque()
        return [*effects, Reopen()]

    def _close(self, submission: Submission, purges: tuple[types.Purge, ...]) -> list[int]:
        """The further tokens that asked for the same."""
        self.pending -= len(purges)
        return self.open.pop(submission.key)[1]


# state, event -> next state, action; where nothing waits the action goes back to IDLE
TABLE: dict[tuple[str, str], tuple[str, Callable[[Ledger], list[Effect]]]] = {
    (IDLE, SUBMITTED): (WRITING, Ledger._write),
    (WRITING, SUBMITTED): (WRITING, Ledger._nothing),
    (WRITING, WRITTEN): (WRITING, Ledger._done),
    (IDLE, FAILED): (BROKEN, Ledger._break),
    (WRITING, FAILED): (BROKEN, Ledger._break),
    (BROKEN, WRITTEN): (BROKEN, Ledger._nothing),  # of before it broke: found when the store is read again
    (BROKEN, FAILED): (BROKEN, Ledger._nothing),
    (BROKEN, REOPENED): (IDLE, Ledger._nothing),
}
