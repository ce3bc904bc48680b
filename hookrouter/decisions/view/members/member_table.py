"""The table of members: merging of updates, records superseded or forgotten, and the queues of updates."""

from msgspec.structs import replace

from .. import protocol
from .digests import bucket, with_state
from .pending import MAX_DISPUTED_DEATHS, MAX_HEALTH_SCORE

MAX_MEMBERS = 20_000


class MemberTable:
    """The members of a View and the updates to gossip about them."""

    def _store(self, member, reason, sources, spread=True):
        """Stores a member's record; every state change goes through here.

        `reason` and `sources` are for the log. `spread` says whether the record is gossiped on.
        """
        old = self.members.get(member.key)
        if old is None:
            if len(self.members) >= MAX_MEMBERS:
                if not self.ended_at:
                    return
                self._remove(next(iter(self.ended_at)))
            self.keys_by_name.setdefault(member.name, set()).add(member.key)
        self.alive_count += (member.state < protocol.DEAD) - (old is not None and old.state < protocol.DEAD)
        self.members[member.key] = member
        changed = self.member_digest(member) ^ (self.member_digest(old) if old is not None else 0)
        if changed:
            self.bucket_digests[bucket(member.key)] ^= changed
            self.digest ^= changed
            self.digest_since = self.now
        if member.state >= protocol.DEAD:
            self.ended_at.setdefault(member.key, self.now)
        else:
            self.ended_at.pop(member.key, None)
            if old is None or old.state >= protocol.DEAD:
                self.probe_order.insert(self.random.randrange(len(self.probe_order) + 1), member.key)
        if member.state != protocol.SUSPECT:
            self.suspicions.pop(member.key, None)
        if spread:
            self._queue_update(member.key)
        if old is None or old.state != member.state:
            self.effects.append(
                protocol.StateChanged(member, None if old is None else old.state, reason, sources)
            )

    def _forget(self):
        """Removes members that died or left longer ago than the retention time."""
        while self.ended_at:
            key, ended_at = next(iter(self.ended_at.items()))  # the earliest comes first
            if self.now - ended_at < self.terms.dead_retention:
                return
            self._remove(key)

    def _remove(self, key):
        del self.ended_at[key], self.members[key]
        self.keys_by_name[key[0]].discard(key)
        if not self.keys_by_name[key[0]]:
            del self.keys_by_name[key[0]]
        self._dequeue(key)

    def _queue_update(self, key):
        """Queues a member's record to be gossiped, as if it had never been sent."""
        self._dequeue(key)
        self._enqueue(key, 0)

    def _enqueue(self, key, count):
        """Queues a member's record that has been sent `count` times."""
        while len(self.transmit_queues) <= count:
            self.transmit_queues.append({})
        self.transmit_counts[key] = count
        self.transmit_queues[count][key] = None

    def _dequeue(self, key):
        count = self.transmit_counts.pop(key, None)
        if count is not None:
            del self.transmit_queues[count][key]

    def _update_self(self, incarnation, state=None):
        """Announces this member under another incarnation: it refutes, or its state changes."""
        state = self.local_member.state if state is None else state
        self.local_member = replace(self.local_member, incarnation=incarnation, state=state)
        self._store(self.local_member, "announced by the member itself", ())

    def _learn(self, member, source, spread):
        """Merges an update that a member `source` sent."""
        if member.key == self.local_member.key:
            if (
                member.state in (protocol.SUSPECT, protocol.DEAD, protocol.LEFT)
                and member.incarnation >= self.local_member.incarnation
            ):
                # A member that is suspected though it answers may be slow itself (Lifeguard, section 4.1).
                self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
                self._update_self(member.incarnation + 1)
            return
        if member.name == self.local_member.name and member.state < protocol.DEAD:
            if member.address != self.local_member.address:
                self._report_duplicate(member)
            elif member.life > self.local_member.life:
                # A later process at this address can only be an earlier one, from before a clock set back.
                self._raise_life(member.life + 1)
        old = self.members.get(member.key)
        if old is None and member.state >= protocol.DEAD:
            return  # the end of a member that was never known here
        if (
            old is not None
            and member.state == protocol.SUSPECT == old.state
            and member.incarnation == old.incarnation
        ):
            self._confirm(member)
            return
        if old is not None and not self.supersedes(member, old):
            return
        if member.state < protocol.DEAD and any(
            later[1] > member.life
            and self.members[later].state < protocol.DEAD
            and self.members[later].address == member.address
            for later in self.keys_by_name.get(member.name, ())
        ):
            return  # outdated: a later process has its address
        if member.state == protocol.SUSPECT:
            self._suspect(member, member.accuser)
        elif member.state == protocol.DEAD:
            self._on_death_report(member, old)
        else:
            self._store(member, "announced by the member itself", (source,), spread)
            self._end_earlier_processes(member)

    def _on_death_report(self, member, old):
        """Accepts a reported death only of a member that has been suspected here for the minimum time.

        The death of one that was not suspected is disputed: it is sent to that member alone. After a
        partition both sides report deaths that never happened, and a faulty or malicious member can report
        any.
        """
        if old.state < protocol.SUSPECT or member.incarnation > old.incarnation:
            if len(self.disputed_deaths) < MAX_DISPUTED_DEATHS:
                self.disputed_deaths[member.key] = member
            return
        suspicion = self.suspicions[member.key]
        suspicion.due = min(suspicion.due, suspicion.since + suspicion.min_duration)
        if self.now >= suspicion.due:
            self._store(member, "suspicion of another member timed out", tuple(suspicion.accusers))

    def _end_earlier_processes(self, member):
        """Marks earlier processes of a member's name at its address as dead."""
        if member.state < protocol.DEAD:
            processes = [self.members[key] for key in sorted(self.keys_by_name[member.name])]
            for old in [
                old
                for old in processes
                if old.life < member.life and old.address == member.address and old.state < protocol.DEAD
            ]:
                self._store(
                    with_state(old, protocol.DEAD, self.local_member.name),
                    "replaced by a later process at its address",
                    (),
                )

    def _raise_life(self, life):
        self._store(with_state(self.local_member, protocol.LEFT, ""), "continues under a later life", ())
        self.local_member = replace(self.local_member, life=life, incarnation=0, state=protocol.ALIVE)
        self._store(self.local_member, "continues under a later life", ())
        self.effects.append(protocol.LogWarning("life raised: the clock was set back", (("life", life),)))

    def _report_duplicate(self, member):
        if member.key not in self.duplicates and len(self.duplicates) < MAX_MEMBERS:
            self.duplicates.add(member.key)
            self.effects.append(
                protocol.LogWarning(
                    "another process has this name",
                    (("address", f"{member.host}:{member.port}"), ("life", member.life)),
                )
            )
