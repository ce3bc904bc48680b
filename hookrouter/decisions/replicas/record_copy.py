"""One keeper's copy of a duty's records, written as they are committed, or fetched from other keepers.

The log determines the records and, by a hash chain over them, what a copy must contain. A copy is complete,
or it lacks records whose entries have been compacted away, or its store is unusable. Fetched records count
only once they match the committed chain hash. A copy that diverges is set aside under another name and filled
again (Alagappan et al., "Protocol-Aware Recovery", 2018: damaged data is distinguished from data never
written, and fetched).

No I/O: events and a time go in, effects come out; one write is in flight at a time.
"""

from collections import deque
from typing import NamedTuple

from ..owners.duties import ADOPT, APPEND, FOLLOWERS, OPEN, chained_hash
from ..owners.protocol import Fetch

AWAITING_TARGET, COMPLETE, INCOMPLETE, STORE_UNUSABLE = "awaiting", "whole", "lacking", "broken"
TARGET_KNOWN, RECORDS_MISSING, TARGET_REACHED = "told", "behind", "reached"
DIVERGED, WRITE_FAILED, STORE_OPENED = "differs", "failed", "opened"
# Steps besides the log's commands: restart after a floor; check a chain hash, or records, against the store.
RESET, VERIFY, COMPARE = "reset", "verify", "compare"

FETCH_TIMEOUT = 10_000  # 1 s for a reply: a keeper reads and sends one part in some tens of ms
FETCH_RETRY_DELAY = 2_000  # 200 ms after an unhelpful reply before the next keeper is asked
MAX_STEPS = 256  # per write
MAX_BYTES = 1_000_000  # of records per write: some tens of milliseconds of disk time


class StorePosition(NamedTuple):
    """What the store held when it was opened: number and chain hash of the newest record, and the floor.

    The floor is the number of the last record removed from the start. index: the log entry up to which the
    store holds all records.
    """

    newest: int
    chain_hash: bytes
    floor: int
    index: int


class Write(NamedTuple):
    """Write one transaction. steps: (command, *fields), of the log's commands or RESET, VERIFY, COMPARE."""

    write_id: int
    steps: tuple
    index: int | None  # the log entry up to which all records are stored by it


class SendFetch(NamedTuple):
    """Ask another keeper for records."""

    receiver: str
    message: Fetch


class RecordsStored(NamedTuple):
    """All records up to that log entry are on disk."""

    index: int


class LogEvent(NamedTuple):
    """An event for the operator's log, with its fields as (name, value)."""

    event: str
    fields: tuple


class RecordCopy:
    """The state of one copy. Each event method takes the time and returns the list of effects."""

    def __init__(self, duty, others, store):
        """others: names of the keepers to fetch from; store: a StorePosition."""
        self.duty, self.others = duty, tuple(others)
        self.state, self.effects, self.now = AWAITING_TARGET, [], 0
        self.queue = deque()  # (log index, step) not yet passed to the store
        self.write_id = self.request_id = self.source_index = 0
        self.last_queued = 0  # log index of the last queued entry
        self.writing = None  # (write_id, index stored by it or None)
        # target: (number, chain hash) that the copy must reach; target_index: its log entry
        self.target, self.target_index, self.names_complete = None, 0, True
        self.fetch_at = None  # when the next keeper is asked, or None
        self.fetch_pending = False
        self._set_position(store)

    def _set_position(self, store):
        # newest and chain_hash include records passed to the store and not yet written.
        self.newest, self.chain_hash, self.floor, self.stored_index = store

    # ---- events

    def on_committed(self, now, index, records):
        """Records of a committed entry; some are repeated after a restart."""
        self._start_event(now)
        if self.state in (AWAITING_TARGET, STORE_UNUSABLE):
            return self.effects  # the records are repeated after on_snapshot
        for record in records:
            if record.duty == self.duty:
                self.queue.append((index, (record.command, *record.fields)))
        self.last_queued = max(self.last_queued, index)
        return self._proceed()

    def on_snapshot(self, now, index, newest, chain_hash):
        """Sets what the copy must hold as of that entry; records of later entries follow, some repeated."""
        self._start_event(now)
        if self.state == STORE_UNUSABLE:
            return self.effects
        self._transition(TARGET_KNOWN)
        self.queue.clear()
        self.last_queued = index
        if self.newest >= newest:
            self.queue.appendleft((index, (VERIFY, newest, chain_hash)))
            newest, chain_hash = self.newest, self.chain_hash
        if self.newest < newest or self.stored_index < index:  # it may lack only names
            self._set_target(index, newest, chain_hash)
        return self._proceed()

    def _set_target(self, index, newest, chain_hash):
        self.target, self.target_index, self.names_complete = (newest, chain_hash), index, False
        self._transition(RECORDS_MISSING)

    def on_fetched(self, now, sender, reply):
        """A Fetched from another keeper."""
        self._start_event(now)
        if (
            self.state != INCOMPLETE
            or not self.fetch_pending
            or reply.request_id != self.request_id
            or self.writing is not None
        ):
            return self._proceed()
        self.fetch_pending, self.fetch_at = False, now + FETCH_RETRY_DELAY
        if not reply.agrees:
            # One of the two copies diverges from the log. Filled again from the start, this one is checked
            # against the chain hash at the target.
            self._diverged(f"the copy of {sender} differs at record {self.newest}")
            return self._proceed()
        if reply.start > self.target[0]:  # the other keeper removed more meanwhile: a later target is needed
            self._advance_target(reply.start)
            return self._proceed()
        steps, newest, chain_hash = [], self.newest, self.chain_hash
        if reply.start > newest:  # removed there as committed: the rest continues from its chain hash
            steps.append((RESET, reply.start, reply.start_hash))
            newest, chain_hash = reply.start, reply.start_hash
        elif reply.start != newest:
            return self._proceed()
        bodies = reply.bodies[: max(0, self.target[0] - newest)]
        if bodies:
            steps.append((APPEND, newest + 1, tuple(bodies)))
            for body in bodies:
                chain_hash = chained_hash(chain_hash, body)
            newest += len(bodies)
        if newest == self.target[0] and self.target[1] not in (None, chain_hash):
            self._diverged(f"the records from {sender} do not match the committed chain hash")
            return self._proceed()
        if reply.names is not None and reply.index >= self.target_index:
            steps.append((FOLLOWERS, tuple(reply.names), ()))
            self.names_complete = True
        if steps:
            self.newest, self.chain_hash, self.fetch_at = newest, chain_hash, now
            self.floor = max(self.floor, steps[0][1] if steps[0][0] == RESET else 0)
            self._write(tuple(steps), None)
        return self._proceed()

    def _advance_target(self, start):
        """Moves the target up to a floor beyond it, computing its chain hash from queued records."""
        newest, chain_hash = self.target
        while self.queue and newest < start and chain_hash is not None:
            index, step = self.queue.popleft()
            if step[0] == APPEND and step[1] == newest + 1:
                for body in step[2]:
                    chain_hash = chained_hash(chain_hash, body)
                newest += len(step[2])
            self.target, self.target_index, self.names_complete = (newest, chain_hash), index, False

    def on_written(self, now, write_id, succeeded, differs=False):
        """succeeded: the whole write is on disk. differs: VERIFY or COMPARE found other data in the store."""
        self._start_event(now)
        if self.writing is None or write_id != self.writing[0]:
            return self._proceed()
        index, self.writing = self.writing[1], None
        if differs:
            self._diverged("the store differs from the committed records")
        elif not succeeded:
            self._transition(WRITE_FAILED)
        elif index is not None:
            self.stored_index = max(self.stored_index, index)
            self.effects.append(RecordsStored(index))
        return self._proceed()

    def on_opened(self, now, store):
        """The store was opened again after a failure and holds this."""
        self._start_event(now)
        self._set_position(store)
        self._transition(STORE_OPENED)
        return self._proceed()

    def tick(self, now):
        """Time has passed; alarm() returns when the next tick is due."""
        self._start_event(now)
        return self._proceed()

    def alarm(self):
        """Returns when the next tick is due, or None."""
        return self.fetch_at if self.state == INCOMPLETE and self.writing is None else None

    def is_complete(self):
        """Returns whether the copy on disk holds all records that this keeper knows to be committed."""
        return self.state == COMPLETE and not self.queue and self.writing is None

    # ---- transitions and effects

    def _start_event(self, now):
        self.now, self.effects = now, []

    def _transition(self, state_event):
        row = TRANSITIONS.get((self.state, state_event))
        if row is not None:
            self.state, action = row
            action(self)

    def _proceed(self):
        if self.state == INCOMPLETE and self.writing is None:
            if self.newest >= self.target[0] and self.names_complete:
                self._transition(TARGET_REACHED)
            elif self.fetch_at is None or self.now >= self.fetch_at:
                self._send_fetch()
        if self.state == COMPLETE and self.writing is None and self.queue:
            self._write_queued()
        return self.effects

    def _log_event(self, event, **fields):
        self.effects.append(LogEvent(event, tuple(fields.items())))

    def _send_fetch(self):
        if not self.others:
            return
        self.source_index, self.request_id = (self.source_index + 1) % len(self.others), self.request_id + 1
        self.fetch_pending, self.fetch_at = True, self.now + FETCH_TIMEOUT
        self.effects.append(
            SendFetch(
                self.others[self.source_index],
                Fetch(
                    self.duty, self.newest, self.chain_hash, self.request_id, self.newest >= self.target[0]
                ),
            )
        )

    def _write(self, steps, index):
        self.write_id += 1
        self.writing = self.write_id, index
        self.effects.append(Write(self.write_id, steps, index))

    def _write_queued(self):
        """Writes as many queued steps as one write holds; records that the store already has are compared."""
        steps, size, index = [], 0, None
        while self.queue and len(steps) < MAX_STEPS and size < MAX_BYTES:
            entry_index, step = self.queue[0]
            if step[0] == APPEND:
                _, first, bodies = step
                if first > self.newest + 1:
                    if steps:
                        break
                    self._set_target(entry_index - 1, first - 1, None)
                    self._proceed()
                    return
                present = bodies[: self.newest + 1 - first]
                if present:
                    steps.append((COMPARE, first, present))
                new = bodies[len(present) :]
                if new:
                    steps.append((APPEND, self.newest + 1, new))
                    for body in new:
                        self.chain_hash = chained_hash(self.chain_hash, body)
                    self.newest += len(new)
                size += sum(map(len, bodies))
            elif step[0] == ADOPT:
                if steps:
                    break
                if not self._matches_adopted(entry_index, *step[1:]):
                    return
                steps.append((OPEN, step[1]))
            else:
                steps.append(step)
            self.queue.popleft()
            index = entry_index
        if not self.queue:
            index = self.last_queued  # includes entries without records of this duty
        elif self.queue[0][0] == index:
            index -= 1  # the rest of that entry is still queued
        self._write(tuple(steps), index)

    def _matches_adopted(self, entry_index, epoch, newest, chain_hash):
        """Returns whether this copy holds the adopted sequence; if not, fetches it or replaces the store."""
        if (self.newest, self.chain_hash) == (newest, chain_hash):
            return True
        if self.newest:
            self._diverged("the copy holds other records than the adopted sequence")
        else:
            self.queue.popleft()
            self._set_target(entry_index, newest, chain_hash)
            self._proceed()
        return False

    def _diverged(self, reason):
        self._log_event("copy differs, put away and filled anew", why=reason, duty=self.duty)
        self._transition(DIVERGED)

    def _replace_store(self):
        """Has the host set the store aside and open an empty one, after which it calls on_opened()."""
        self.effects.append(REPLACE_STORE)
        self.writing = None

    def _start_fetching(self):
        self._log_event(
            "copy lacks records, they are fetched", duty=self.duty, has=self.newest, wants=self.target[0]
        )
        self.fetch_at, self.fetch_pending = self.now, False

    def _target_reached(self):
        self._log_event("copy is whole again", duty=self.duty, newest=self.newest)
        index, self.target, self.fetch_at = self.target_index, None, None
        self.stored_index = max(self.stored_index, index)
        self.effects.append(RecordsStored(index))

    def _write_failed(self):
        self._log_event("copy cannot be written", duty=self.duty)
        self.effects.append(REOPEN_STORE)

    def _await_target(self):
        """Waits for on_snapshot; the host asks the keeper to send everything again."""
        self.queue.clear()
        self.target = self.fetch_at = None

    def _no_action(self):
        pass


class ReplaceStore(NamedTuple):
    """The store diverges: keep its file under another name and open an empty one."""


class ReopenStore(NamedTuple):
    """The store could not be written: reopen it until it can be."""


REPLACE_STORE, REOPEN_STORE = ReplaceStore(), ReopenStore()

# (state, input) -> (next state, action)
TRANSITIONS = {
    (AWAITING_TARGET, TARGET_KNOWN): (COMPLETE, RecordCopy._no_action),
    (INCOMPLETE, TARGET_KNOWN): (COMPLETE, RecordCopy._no_action),  # what it lacked is determined again
    (COMPLETE, RECORDS_MISSING): (INCOMPLETE, RecordCopy._start_fetching),
    (INCOMPLETE, RECORDS_MISSING): (INCOMPLETE, RecordCopy._start_fetching),
    (INCOMPLETE, TARGET_REACHED): (COMPLETE, RecordCopy._target_reached),
    (COMPLETE, DIVERGED): (STORE_UNUSABLE, RecordCopy._replace_store),
    (INCOMPLETE, DIVERGED): (STORE_UNUSABLE, RecordCopy._replace_store),
    (COMPLETE, WRITE_FAILED): (STORE_UNUSABLE, RecordCopy._write_failed),
    (INCOMPLETE, WRITE_FAILED): (STORE_UNUSABLE, RecordCopy._write_failed),
    (STORE_UNUSABLE, STORE_OPENED): (AWAITING_TARGET, RecordCopy._await_target),
}
