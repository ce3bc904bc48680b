"""What the view is held against, on its own engine: SWIM as first published, and heartbeats of all to all."""

from random import Random

from msgspec.structs import replace

from hookrouter.decisions.view import View, protocol


class PlainSwim(View):
    """Das, Gupta, Motivala (2002): suspicions of one span, no witnesses, no awareness, deaths believed."""

    def _suspect(self, row, accuser):
        super()._suspect(row, accuser)
        suspicion = self.suspicions[row.key]
        suspicion.due = self.now + suspicion.min_duration

    def _confirm(self, row):
        pass

    def _on_death_report(self, row, old):
        self._store(row, "on another's word", (row.accuser,))

    def _probe_failed(self, seq, probe):
        super()._probe_failed(seq, probe)
        self.health_score = 0

    def _recover_from_stall(self, duration):
        self.probes.clear()

    def _next_target(self):
        self.suspect_turn = True  # no other probe for those that are suspected
        return super()._next_target()

    def _reconnect(self):
        """A join is asked for; the dead are not tried again."""
        if self.alive_count == 1:
            super()._reconnect()


class Beats:
    """All tell all once a second that they live; one that is silent for three is dead."""

    EVERY, SILENT = 10_000, 30_000

    def __init__(self, terms, local_member, now, seed):
        self.terms, self.local_member, self.random = terms, local_member, Random(seed)
        self.members, self.at, self.gone = {local_member.key: local_member}, {}, {}
        self.next_at, self.now, self.digest_since = now, now, now
        self.suspicions, self.digest, self.health_score = {}, 0, 0

    def take(self, now, event):
        self.now, out = now, []
        if isinstance(event, protocol.Received):
            for row in event.message.updates:
                if (
                    row.key == self.local_member.key
                    or row.key in self.gone
                    and row.key != (event.name, event.life)
                ):
                    continue
                if row.key not in self.members:
                    self.members[row.key] = row
                    self.at[row.key] = now
                    self.gone.pop(row.key, None)
            self.at[event.name, event.life] = now
        for key, at in list(self.at.items()):
            if key in self.members and now - at > self.SILENT:
                row = self.members.pop(key)
                self.gone[key] = now
                out.append(
                    protocol.StateChanged(replace(row, state=protocol.DEAD), protocol.ALIVE, "silent", ())
                )
        if now >= self.next_at:
            self.next_at = now + self.EVERY
            others = [row for row in self.members.values() if row.key != self.local_member.key]
            to = {row.address for row in others} | (set(self.terms.seeds) if len(others) < 3 else set())
            some = self.random.sample(others, min(8, len(others)))
            out += [
                protocol.Send("", address, protocol.MemberList([self.local_member, *some]))
                for address in sorted(to)
            ]
        return out

    def alarm(self):
        return self.next_at

    def alive(self):
        return list(self.members.values())

    def settled_since(self):
        return None
