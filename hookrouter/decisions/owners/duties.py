"""The replicated state machine: owners and fencing tokens of duties, and the progress of their work.

Each keeper applies the same committed commands in the same order. The fencing token of a grant is the index
of its log entry, so tokens rise monotonically over all duties.
"""

import msgspec

from ...tables.hash_chain import HASH_BYTES, INITIAL_HASH, chained_hash

DECLARE, GRANT, DROP, DONE = "declare", "grant", "drop", "done"
# Of a duty with a sequence of records: its owner opens an epoch, appends records and updates the followers'
# names, and old records are removed up to a floor.
OPEN, APPEND, FOLLOWERS, SWEEP = "open", "keep", "names", "sweep"
ADOPT = "adopt"  # continues a sequence begun outside the fleet, if the fleet has none of its own
MAX_DUTIES = 10_000
MAX_REMEMBERED_MEMBERS = 10_000  # whose last idempotency key is remembered
MAX_TEXT_LENGTH = 64
MAX_EPOCH = 1 << 53


class Duty(msgspec.Struct, array_like=True):
    """A duty's owner (None: none yet), the fencing token of its grant, and its progress."""

    owner: str | None = None
    fencing_token: int = 0
    step: int = 0  # last step known to be done
    declared_index: int = 0  # log index of its declaration


class RecordSequence(msgspec.Struct, array_like=True):
    """What the state machine holds of a duty's records; the records themselves are in each keeper's copy."""

    epoch: int = 0  # of the latest owner; each owner opens a higher one
    newest: int = 0  # number of the newest record
    chain_hash: bytes = INITIAL_HASH  # over all records up to the newest
    address: str = ""  # where the owner serves its clients


class StoredDuties(msgspec.Struct, array_like=True):
    """The state as serialised into snapshots."""

    duties: dict[str, Duty]
    last_results: dict[str, tuple[str, list]]
    sequences: dict[str, RecordSequence] = {}


class RecordChange(msgspec.Struct, array_like=True, frozen=True):
    """A committed change of a duty's records for the copies to apply; the command determines the fields."""

    duty: str
    command: str
    fields: tuple


class Duties:
    """The state machine: apply() takes committed commands, state() serialises it."""

    def __init__(self, state=None):
        """state: bytes from state(), or None for an empty one."""
        stored = StoredDuties({}, {}) if state is None else msgspec.msgpack.decode(state, type=StoredDuties)
        # last_results: requester -> (key, result) of its last command
        self.by_name, self.last_results = stored.duties, stored.last_results
        self.sequences = stored.sequences
        self.last_records = []  # RecordChange objects of the last command
        self.by_owner = {}  # owner -> {duty name: None}
        for name, duty in self.by_name.items():
            self._assign(duty.owner, name)

    def state(self):
        """Returns the serialised state for a snapshot."""
        return msgspec.msgpack.encode(StoredDuties(self.by_name, self.last_results, self.sequences))

    def apply(self, index, key, command, fields):
        """Applies a committed command. Returns its result, a list whose first item names the outcome.

        A repeated idempotency key has no further effect and returns the first result.
        """
        requester, self.last_records = key.partition("/")[0], []
        previous = self.last_results.get(requester)
        if previous is not None and previous[0] == key:
            return previous[1]
        try:
            result = COMMANDS[command](self, index, *fields)
        except (KeyError, TypeError, ValueError):
            result, self.last_records = ["malformed"], []
        if requester:  # a leader's grants need no remembered key: they name the previous token
            self.last_results.pop(requester, None)
            self.last_results[requester] = key, result
            if len(self.last_results) > MAX_REMEMBERED_MEMBERS:
                del self.last_results[next(iter(self.last_results))]
        return result

    def _declare(self, index, name):
        if not isinstance(name, str) or not 0 < len(name) <= MAX_TEXT_LENGTH:
            return ["malformed"]
        if name not in self.by_name:
            if len(self.by_name) >= MAX_DUTIES:
                return ["full"]
            self.by_name[name] = Duty(declared_index=index)
        return ["declared", self.by_name[name].declared_index]

    def _assign(self, owner, name):
        if owner is not None:
            self.by_owner.setdefault(owner, {})[name] = None

    def _unassign(self, owner, name):
        if owner is not None:
            self.by_owner[owner].pop(name)
            if not self.by_owner[owner]:
                del self.by_owner[owner]

    def _drop(self, index, name):
        duty = self.by_name.pop(name)
        self._unassign(duty.owner, name)
        self.sequences.pop(name, None)
        return ["dropped", duty.fencing_token]

    def _grant(self, index, name, member, previous_token):
        """previous_token: the token that the grant replaces; it has no effect if another grant came first."""
        duty = self.by_name[name]
        if duty.fencing_token != previous_token:
            return ["passed", duty.fencing_token]
        self._unassign(duty.owner, name)
        self._assign(member, name)
        duty.owner, duty.fencing_token = member, index
        return ["granted", index]

    def _done(self, index, name, fencing_token, step):
        """Completes the next step; rejected under an old token or out of order, so each step is done once."""
        duty = self.by_name[name]
        if duty.fencing_token != fencing_token:
            return ["old", duty.fencing_token, duty.step]
        if step != duty.step + 1:
            return ["out of order", duty.fencing_token, duty.step]
        duty.step = step
        return ["done", fencing_token, step]

    # ---- records: each command carries the fencing token of its owner's grant; an old token changes nothing

    def _open(self, index, name, fencing_token, min_epoch, address):
        """Opens a new epoch for an owner. min_epoch: lower epochs are known to be used already."""
        duty = self.by_name[name]
        if duty.fencing_token != fencing_token:
            return ["old", duty.fencing_token]
        if not (
            isinstance(min_epoch, int)
            and 0 <= min_epoch < MAX_EPOCH
            and isinstance(address, str)
            and len(address) <= MAX_TEXT_LENGTH
        ):
            return ["malformed"]
        sequence = self.sequences.setdefault(name, RecordSequence())
        sequence.epoch, sequence.address = max(sequence.epoch + 1, min_epoch), address
        self.last_records.append(RecordChange(name, OPEN, (sequence.epoch,)))
        return ["open", sequence.epoch, sequence.newest]

    def _append(self, index, name, fencing_token, first_number, bodies):
        """Appends records, all of them or none."""
        duty, sequence = self.by_name[name], self.sequences[name]
        if duty.fencing_token != fencing_token:
            return ["old", duty.fencing_token]
        if first_number != sequence.newest + 1:
            return ["out of order", sequence.newest]
        chain_hash = sequence.chain_hash
        for body in bodies:
            chain_hash = chained_hash(chain_hash, body)
        sequence.newest, sequence.chain_hash = sequence.newest + len(bodies), chain_hash
        self.last_records.append(RecordChange(name, APPEND, (first_number, tuple(bodies))))
        return ["kept", sequence.newest]

    def _update_followers(self, index, name, fencing_token, joined, left):
        duty = self.by_name[name]
        if duty.fencing_token != fencing_token:
            return ["old", duty.fencing_token]
        joined = tuple((str(follower), int(generation)) for follower, generation in joined)
        self.last_records.append(RecordChange(name, FOLLOWERS, (joined, tuple(map(str, left)))))
        return ["noted", len(joined), len(left)]

    def _adopt(self, index, name, epoch, newest, chain_hash):
        """An operator's command: one keeper's copy already holds that sequence, and the others fetch it."""
        duty = self.by_name[name]
        sequence = self.sequences.setdefault(name, RecordSequence())
        if sequence.newest:
            return ["begun", sequence.newest]
        if not (
            0 < newest
            and 0 <= epoch < MAX_EPOCH
            and isinstance(chain_hash, bytes)
            and len(chain_hash) == HASH_BYTES
        ):
            return ["malformed"]
        sequence.epoch, sequence.newest, sequence.chain_hash = max(sequence.epoch, epoch), newest, chain_hash
        self.last_records.append(RecordChange(name, ADOPT, (sequence.epoch, newest, chain_hash)))
        return ["adopted", newest, duty.fencing_token]

    def _sweep(self, index, name, fencing_token, step, target_duty, through):
        """A step of a sweeping duty: removes another duty's records through that number."""
        if not 0 <= through <= self.sequences[target_duty].newest:
            return ["malformed"]
        result = self._done(index, name, fencing_token, step)
        if result[0] == "done":
            self.last_records.append(RecordChange(target_duty, SWEEP, (through,)))
        return result


COMMANDS = {
    DECLARE: Duties._declare,
    DROP: Duties._drop,
    GRANT: Duties._grant,
    DONE: Duties._done,
    OPEN: Duties._open,
    APPEND: Duties._append,
    FOLLOWERS: Duties._update_followers,
    SWEEP: Duties._sweep,
    ADOPT: Duties._adopt,
}
