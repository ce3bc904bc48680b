"""Suspicions: their durations, their confirmation by other members, and how they end."""

from math import log10

from .. import protocol
from .digests import with_state
from .pending import MAX_HEALTH_SCORE, Suspicion

# A member that receives nothing for this multiple of the longest suspicion declares others dead after all.
ISOLATION_FACTOR = 5


class Suspicions:
    """The suspicions of a View."""

    def _suspicion_durations(self):
        """(minimum, maximum) for a fleet of this size."""
        min_duration = max(
            self.terms.min_suspicion,
            int(3 * log10(max(2, len(self.probe_order) + 1)) * self.terms.probe_interval),
        )
        return min_duration, min_duration * self.terms.suspicion_factor

    def _suspect(self, member, accuser):
        min_duration, max_duration = self._suspicion_durations()
        self._store(member, "does not answer", (accuser,))
        # A small fleet has no more accusers than there are other members.
        confirmations = min(self.terms.confirmations, max(0, self.alive_count - 2))
        self.suspicions[member.key] = Suspicion(self.now, min_duration, max_duration, accuser, confirmations)

    def _confirm(self, member):
        suspicion = self.suspicions.get(member.key)
        if suspicion is not None and suspicion.confirm(member.accuser):
            self.members[member.key] = member  # the record of the newest accuser is gossiped on
            self._queue_update(member.key)

    def _probe_failed(self, seq, probe):
        member = self.members.get(probe.key)
        if member is None or member.state >= protocol.DEAD:
            return
        # Helpers that sent no Nak either: this member may itself be slow or cut off (Lifeguard, section 4.1).
        if probe.helpers and not probe.naks:
            self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
        suspected = with_state(member, protocol.SUSPECT, self.local_member.name)
        if member.state == protocol.SUSPECT:
            self._confirm(suspected)
        else:
            self._suspect(suspected, self.local_member.name)

    def _declare_dead(self):
        """Declares members dead whose suspicion has timed out."""
        for key, suspicion in list(self.suspicions.items()):
            if self.now < suspicion.due:
                continue
            # A member that has received nothing since is cut off, or the last one left: it waits longer.
            silent = self.last_received_at <= suspicion.since
            if silent and self.now < suspicion.since + ISOLATION_FACTOR * suspicion.max_duration:
                suspicion.due = self.now + self.terms.probe_interval
                continue
            self._store(
                with_state(self.members[key], protocol.DEAD, self.local_member.name),
                "suspicion timed out",
                tuple(suspicion.accusers),
            )
