"""Probes in random order, indirect probes, and what follows from a stall of this process."""

from .. import protocol
from .pending import MAX_HEALTH_SCORE, OVERDUE, Probe

DISPUTES_PER_PERIOD = 4  # disputed deaths that are sent to the members concerned
STALL = 4_000  # a tick 400 ms late means that this process was stalled


class Probing:
    """The failure detector of a View."""

    def _on_tick(self, event):
        late = self.now - self.next_probe_at
        if late > STALL:
            self._recover_from_stall(late)
        for seq in [seq for seq, probe in self.probes.items() if self.now >= probe.due]:
            self._step(seq, OVERDUE)
        for seq in [seq for seq, request in self.relayed.items() if self.now >= request[2]]:
            requester, its_seq, _ = self.relayed.pop(seq)
            if requester in self.members:
                self._send(self.members[requester], protocol.Nak(its_seq))
        self._declare_dead()
        if self.now >= self.next_probe_at:
            self.next_probe_at = self.now + self.terms.probe_interval
            self._send_probe()
            self._reconnect()
            self._send_disputed_deaths()
            self._forget()

    def _recover_from_stall(self, duration):
        """Drops pending probes and extends suspicions: acks that came meanwhile could not be read."""
        self.probes.clear()
        self.relayed.clear()
        self.recent_digests.clear()
        for suspicion in self.suspicions.values():
            suspicion.since += duration
            suspicion.due += duration
        self.last_received_at = min(self.last_received_at + duration, self.now)
        self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
        self.effects.append(protocol.LogWarning("stood still", (("ms", duration // 10),)))

    def _timeout(self):
        """Time to wait for an ack: mean and four deviations of those seen (Jacobson, 1988).

        It is multiplied by the local health score, since this member may itself be slow.
        """
        seen = int(self.rtt_mean + 4 * self.rtt_deviation) if self.rtt_mean else self.terms.min_timeout
        return min(self.terms.max_timeout, max(self.terms.min_timeout, seen)) * (1 + self.health_score)

    def _next_target(self):
        """Returns the next member to probe: each once a round, in an order shuffled anew each round.

        Every other probe goes to a suspect, where there is one: it learns of the suspicion, and its
        refutation comes straight here.
        """
        self.suspect_turn = not self.suspect_turn
        if self.suspect_turn and self.suspicions:
            return self.members[self.random.choice(list(self.suspicions))]
        for _ in range(len(self.probe_order) + 1):
            if self.probe_index >= len(self.probe_order):
                self.probe_order = [
                    key
                    for key in self.probe_order
                    if key in self.members and self.members[key].state < protocol.DEAD
                ]
                self.random.shuffle(self.probe_order)
                self.probe_index = 0
            if not self.probe_order:
                return None
            key = self.probe_order[self.probe_index]
            self.probe_index += 1
            member = self.members.get(key)
            if member is not None and member.state < protocol.DEAD and key != self.local_member.key:
                return member
        return None

    def _send_probe(self):
        member = self._next_target()
        if member is None:
            return
        self.seq += 1
        self.probes[self.seq] = Probe(member.key, self.now, self.now + self._timeout())
        self._send(member, protocol.Ping(self.seq, self.digest, self._updates(member)))

    def _probe_indirectly(self, seq, probe):
        """Asks other members to probe the one that did not ack."""
        member = self.members.get(probe.key)
        helpers = [
            other
            for other in self._sample(self.terms.helpers + 2)
            if other.key not in (probe.key, self.local_member.key)
        ][: self.terms.helpers]
        probe.helpers, probe.due = len(helpers), self.now + 2 * self._timeout()
        if member is not None:
            for other in helpers:
                self._send(other, protocol.PingFor(seq, member.name, member.life, self._updates(other)))

    def _sample(self, count):
        """Returns up to `count` random members that are not suspected."""
        found = []
        for _ in range(3 * count):
            if not self.probe_order or len(found) >= count:
                break
            member = self.members.get(self.random.choice(self.probe_order))
            if member is not None and member.state < protocol.SUSPECT and member not in found:
                found.append(member)
        return found

    def _probe_acked(self, seq, probe):
        duration = self.now - probe.sent_at
        if not self.rtt_mean:
            self.rtt_mean, self.rtt_deviation = duration, duration / 2
        self.rtt_deviation += (abs(duration - self.rtt_mean) - self.rtt_deviation) / 4
        self.rtt_mean += (duration - self.rtt_mean) / 8
        self.health_score = max(0, self.health_score - 1)

    def _reconnect(self):
        """Contacts a dead member or a seed, so that a partition heals; one a second at any fleet size."""
        if self.now < self.next_reconnect_at:
            return
        self.next_reconnect_at = self.now + self.random.randrange(
            self.terms.reconnect_interval // 2, 3 * self.terms.reconnect_interval // 2
        )
        known = {member.address for member in self.members.values() if member.state < protocol.SUSPECT}
        seeds = [address for address in self.terms.seeds if address not in known]
        dead = [key for key in self.ended_at if self.members[key].state == protocol.DEAD]
        if seeds and (not dead or self.random.random() < 0.5):
            self.effects.append(protocol.Send("", self.random.choice(seeds), self._comparison(False)))
        elif dead:
            member = self.members[self.random.choice(dead)]
            self._send(member, protocol.Ping(0, self.digest, [member, self.local_member]))

    def _send_disputed_deaths(self):
        """Sends disputed deaths to the members concerned: they refute, or fail probes."""
        for key in list(self.disputed_deaths)[:DISPUTES_PER_PERIOD]:
            member = self.disputed_deaths.pop(key)
            self._send(member, protocol.Ping(0, self.digest, [member]))
