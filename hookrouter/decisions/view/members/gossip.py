"""Updates piggybacked on each message, anti-entropy, and the handlers of messages."""

from math import ceil, log10

from .. import protocol
from .digests import bucket
from .pending import ANSWERED

MAX_DATAGRAMS = 8  # of members in answer to one comparison: the rest comes with the next
MAX_RECENT_DIGESTS = 500  # a member receives some 16 in the time that counts
MAX_RELAYED = 1_000  # pending probes on behalf of others


class Gossip:
    """The messages of a View."""

    def _updates(self, recipient=None):
        """Returns the updates sent least often that fit a datagram; a suspect's own record comes first."""
        max_transmissions = self.terms.transmit_factor * ceil(log10(len(self.probe_order) + 2))
        updates, taken = [], []
        if recipient is not None and recipient.state == protocol.SUSPECT:
            updates.append(recipient)
        if self.local_member.key in self.transmit_counts:
            updates.append(self.local_member)
        size = sum(member.size() for member in updates)
        for count, queue in enumerate(self.transmit_queues):
            for key in queue:
                member = self.members[key]
                size += member.size()
                if size > protocol.MAX_UPDATE_BYTES or len(updates) >= protocol.MAX_UPDATES:
                    break
                if member not in updates:
                    updates.append(member)
                taken.append((key, count + 1))
            else:
                continue
            break
        for key, count in taken:
            self._dequeue(key)
            if count < max_transmissions:
                self._enqueue(key, count)
        return updates

    def _comparison(self, is_reply):
        return protocol.Compare(list(self.bucket_digests), is_reply, [self.local_member])

    def _compare_if_different(self, member, digest):
        """Starts a comparison with a member whose digest differs, if the interval allows."""
        if digest != self.digest and self.now >= self.next_compare_at:
            self.next_compare_at = self.now + self.terms.compare_interval
            self._send(member, self._comparison(False))

    def _record_digest(self, key, digest):
        member = self.members.get(key)
        if member is not None:
            self.recent_digests.append((self.now, key, digest))
            if len(self.recent_digests) > MAX_RECENT_DIGESTS:
                self.recent_digests.popleft()
            self._compare_if_different(member, digest)

    def _on_ping(self, key, received, ping):
        member = self.members.get(key)
        self.effects.append(
            protocol.Send(
                received.name,
                received.address if member is None else member.address,
                protocol.Ack(
                    ping.seq,
                    self.digest,
                    self.local_member.name,
                    self.local_member.life,
                    self._updates(member),
                ),
            )
        )
        if member is None:  # an unknown sender: a comparison makes it introduce itself
            self.effects.append(protocol.Send(received.name, received.address, self._comparison(False)))
        else:
            self._record_digest(key, ping.digest)

    def _on_ack(self, key, received, ack):
        relayed = self.relayed.pop(ack.seq, None)
        if relayed is not None:
            requester, its_seq, _ = relayed
            if requester in self.members:
                self._send(self.members[requester], protocol.Ack(its_seq, ack.digest, ack.name, ack.life))
        probe = self.probes.get(ack.seq)
        if probe is not None and probe.key == (ack.name, ack.life):
            self._step(ack.seq, ANSWERED)
        if key == (ack.name, ack.life):
            self._record_digest(key, ack.digest)

    def _on_ping_for(self, key, received, request):
        target = self.members.get((request.name, request.life))
        if target is None or key not in self.members or len(self.relayed) >= MAX_RELAYED:
            return
        self.seq += 1
        self.relayed[self.seq] = key, request.seq, self.now + self._timeout()
        self._send(target, protocol.Ping(self.seq, self.digest, self._updates(target)))

    def _on_nak(self, key, received, nak):
        probe = self.probes.get(nak.seq)
        if probe is not None:
            probe.naks += 1

    def _on_compare(self, key, received, compare):
        """Sends the members of the buckets that differ, from a random one on: the rest comes another time."""
        differ = {n for n, (a, b) in enumerate(zip(self.bucket_digests, compare.bucket_digests)) if a != b}
        address = self.members[key].address if key in self.members else received.address
        if not compare.is_reply:
            self.effects.append(protocol.Send(received.name, address, self._comparison(True)))
        members = [
            member for member in self.members.values() if bucket(member.key) in differ and member.key != key
        ]
        start = self.random.randrange(len(members)) if members else 0
        batch, size, batches = [], 0, 0
        for member in members[start:] + members[:start]:
            if size + member.size() > protocol.MAX_UPDATE_BYTES:
                self.effects.append(protocol.Send(received.name, address, protocol.MemberList(batch)))
                batch, size, batches = [], 0, batches + 1
                if batches >= MAX_DATAGRAMS:
                    return
            batch.append(member)
            size += member.size()
        if batch:
            self.effects.append(protocol.Send(received.name, address, protocol.MemberList(batch)))

    def _on_member_list(self, key, received, message):
        """Does nothing: its updates have been merged already."""

    def _on_leave(self, event):
        if event.final:
            self.left_at = self.now
        self._update_self(
            self.local_member.incarnation + 1, protocol.LEFT if event.final else protocol.LEAVING
        )
        for member in self._sample(self.terms.helpers + 2):
            if member.key != self.local_member.key:
                self._send(member, protocol.MemberList([self.local_member]))
