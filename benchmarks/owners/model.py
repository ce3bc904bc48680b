"""Every interleaving of three keepers within bounds, over the program's own tables: a breadth-first search.

Time stands still; what it would cause (a wait that is over, a beat, a flush that returns) is a step of its
own. Bounds: terms, proposals, crashes, stores put back, messages lost and doubled. All that is sent may
arrive in any order.
"""

import pickle
from collections import deque
from typing import NamedTuple

from hookrouter.decisions.owners import Keeper, protocol
from hookrouter.decisions.owners.duties import DECLARE

from .processes import Disk

NAMES, STANDING = ("a", "b", "c"), ("a", "b")  # the third only votes: it stands for both others
TERMS = protocol.Settings("", 1, NAMES, min_election_timeout=0, max_election_timeout=0, max_log_entries=1000)


class Bounds(NamedTuple):
    terms: int = 2
    proposals: int = 1
    crashes: int = 0
    put_back: int = 0
    lost: int = 0
    doubled: int = 0


class State:
    """All there is: cores, disks (with what they were at the start of a term), the network, what is left."""

    def __init__(self, make, bounds):
        self.disks = {name: Disk() for name in NAMES}
        self.cores = {name: make(TERMS._replace(name=name), protocol.Stored(), 0, 1) for name in NAMES}
        self.writes = {}  # name -> Persist that is out
        self.net, self.left, self.agreed, self.leaders = [], bounds, {}, {}
        for core in self.cores.values():
            core.hello_replies = set(NAMES)

    def carry(self, name, effects):
        for effect in effects:
            if isinstance(effect, protocol.Send) and not isinstance(
                effect.message, (protocol.Hello, protocol.HelloReply)
            ):
                message = effect.message
                if (
                    not isinstance(message, protocol.Vote)
                    or message.granted
                    or message.term > self.cores[effect.receiver].term
                ):
                    self.net.append((name, effect.receiver, message))
            elif isinstance(effect, protocol.Persist):
                self.writes[name] = effect

    def event(self, name, event):
        self.carry(name, self.cores[name].take(0, event))

    def key(self):
        rows = []
        for name in NAMES:
            core = self.cores[name]
            rows.append(
                (
                    core.state,
                    core.term,
                    core.voted_for,
                    tuple(core.entries),
                    core.commit,
                    core.durable_index,
                    sorted(core.votes),
                    core.voters,
                    core.learners,
                    core.integrity_error,
                    core.generation,
                    [
                        (n, p.next_index, p.match_index, p.append_pending, p.generation)
                        for n, p in sorted(core.peers.items())
                    ],
                    core.inflight_sends,
                    core.next_sends,
                    core.dirty,
                    self.writes.get(name),
                    self.disks[name].stored[:4],
                    len(self.disks[name].stored.entries),
                )
            )
        return hash(repr((rows, sorted(map(repr, self.net)), self.left)))

    def wrong(self):
        for core in self.cores.values():
            if core.state == "leading" and self.leaders.setdefault(core.term, core.name) != core.name:
                return f"{self.leaders[core.term]} and {core.name} lead in term {core.term}"
            for index in range(1, core.commit + 1):
                entry = core.entries[index - core.base - 1]
                if self.agreed.setdefault(index, entry) != entry:
                    return f"{core.name} has {entry} agreed at {index}, others {self.agreed[index]}"
        return None

    # ---- steps

    def steps(self):
        left = self.left
        for n in range(len(self.net)):
            if self.net.index(self.net[n]) == n:
                yield "deliver", n
                if left.lost:
                    yield "lose", n
                if left.doubled:
                    yield "double", n
        for name, core in self.cores.items():
            if name in self.writes:
                yield "flush", name
            if (
                name in STANDING
                and not core.exclusion()
                and core.state != "leading"
                and core.term < left.terms
                and name not in self.writes
            ):
                yield "wait", name
            if core.state == "leading" and left.proposals:
                yield "propose", name
            if left.crashes:
                yield "crash", name
            if left.put_back and core.write_count > 1:
                yield "put_back", name

    def spend(self, what):
        self.left = self.left._replace(**{what: getattr(self.left, what) - 1})

    def deliver(self, n):
        sender, to, message = self.net.pop(n)
        self.event(to, protocol.Received(sender, message))

    def lose(self, n):
        self.spend("lost")
        self.net.pop(n)

    def double(self, n):
        self.spend("doubled")
        self.net.append(self.net[n])
        self.deliver(n)

    def flush(self, name):
        write = self.writes.pop(name)
        self.disks[name].write(write)
        self.event(name, protocol.WriteFinished(write.write_id, True))

    def wait(self, name):
        core = self.cores[name]
        core.effects = []
        core.state = "asking"
        core._transition("likely")  # asking beforehand guards no safety, and would double the messages
        core._flush()
        self.carry(name, core.effects)

    def propose(self, name):
        self.spend("proposals")
        core = self.cores[name]
        core.effects = []
        core.propose(protocol.COMMAND, (f"{name}#1/1", DECLARE, ["d"]))
        core._flush()
        self.carry(name, core.effects)

    def crash(self, name, stored=None):
        if stored is None:
            self.spend("crashes")
        self.writes.pop(name, None)
        self.net = [row for row in self.net if name not in row[:2]]
        old = self.cores[name]
        core = self.cores[name] = type(old)(
            TERMS._replace(name=name, generation=old.generation + 1), stored or self.disks[name].stored, 0, 1
        )
        marks = max(other.write_counts.get(name, 0) for other in self.cores.values() if other is not core)
        core.hello_replies = set(NAMES)  # all others answer at once
        if marks > core.write_count:
            core._set_integrity_error("the store is older than what others know of it")

    def put_back(self, name):
        self.spend("put_back")
        self.disks[name].stored = protocol.Stored()
        self.crash(name, protocol.Stored())


def explore(bounds, make=Keeper, most=1 << 60):
    """(states, what was wrong or None, whether the search came to its end)."""
    first = State(make, bounds)
    seen, queue = {first.key()}, deque([pickle.dumps(first)])
    while queue:
        packed = queue.popleft()
        state = pickle.loads(packed)
        for step, which in list(state.steps()):
            state = pickle.loads(packed)
            getattr(state, step)(which)
            wrong = state.wrong()
            if wrong is not None:
                return len(seen), wrong, False
            key = state.key()
            if key not in seen:
                seen.add(key)
                if len(seen) >= most:
                    return len(seen), None, False
                queue.append(pickle.dumps(state))
    return len(seen), None, True
