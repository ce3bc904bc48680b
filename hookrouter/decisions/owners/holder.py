"""The member's side of leases: renews them, and gives them up. Effects need an unexpired lease."""

from typing import NamedTuple

from . import protocol

RENEWALS_PER_LEASE = 4  # so that three may be lost
MAX_UNANSWERED_RENEWALS = 2  # then another keeper is asked, which leaves two more renewals within the lease


class FencedAction(NamedTuple):
    """An effect of a duty; the resource accepts or rejects it by its fencing token."""

    duty: str
    fencing_token: int
    action: object


class Lease:
    """A granted duty and when its lease expires by this process's clock; the only source of FencedAction."""

    __slots__ = ("duty", "fencing_token", "expires_at")

    def __init__(self, duty, fencing_token, expires_at):
        self.duty, self.fencing_token, self.expires_at = duty, fencing_token, expires_at

    def authorize(self, now, action):
        """Returns a FencedAction, or None if the lease has expired. To be called again after any wait."""
        return FencedAction(self.duty, self.fencing_token, action) if now < self.expires_at else None


class Holder:
    """The leases that a member holds.

    Methods return gained and lost duties as (duty, fencing token, cause), beside the Renew to send if any.
    """

    def __init__(self, name, generation, settings, duty_kinds=None):
        """duty_kinds: as in protocol.Renew."""
        self.name, self.generation, self.duty_kinds = name, generation, duty_kinds
        self.renewal_interval = max(1, settings.lease // RENEWALS_PER_LEASE)
        self.lease_span = int(settings.lease * (1 - settings.clock_drift))
        self.seq, self.sent_times, self.next_renewal_at = 0, {}, 0  # seq -> when it was sent
        # released: (duty, fencing token) given up, reported in each Renew until the leader confirms it
        self.leases, self.released, self.leaving = {}, [], False
        self.answered_at = 0
        self.highest_released = {}  # duty -> highest token given up; never accepted again

    def alarm(self):
        """Returns when tick() is next due: at the next renewal or the first expiry."""
        return min([self.next_renewal_at, *(lease.expires_at for lease in self.leases.values())])

    def tick(self, now):
        """Expires leases, and renews if that is due. Returns (Renew or None, lost)."""
        lost = self._expire(now)
        if now < self.next_renewal_at:
            return None, lost
        return self._renew(now), lost

    def leader_silent(self, now):
        """Returns whether the known leader has been silent for so long that another should be asked."""
        return now - self.answered_at > MAX_UNANSWERED_RENEWALS * self.renewal_interval

    def _renew(self, now):
        self.seq += 1
        self.next_renewal_at = now + self.renewal_interval
        self.sent_times[self.seq] = now
        for seq in [seq for seq, sent_at in self.sent_times.items() if sent_at <= now - self.lease_span]:
            del self.sent_times[seq]  # an answer would come after the end of its lease
        return protocol.Renew(
            self.seq, self.generation, list(self.released[:1000]), self.leaving, self.duty_kinds
        )

    def _expire(self, now):
        lost = [
            (lease.duty, lease.fencing_token, "lease over")
            for lease in self.leases.values()
            if now >= lease.expires_at
        ]
        for duty, fencing_token, _ in lost:
            self._drop(duty, fencing_token)
        return lost

    def _drop(self, duty, fencing_token):
        self.leases.pop(duty, None)
        self.highest_released[duty] = max(fencing_token, self.highest_released.get(duty, 0))

    def on_renewed(self, now, renewed):
        """Handles a Renewed, which lists all that this member holds; a duty that it omits is not held.

        Returns (gained, lost, Renew or None).
        """
        lost = self._expire(now)
        sent_at = self.sent_times.get(renewed.seq)
        if renewed.generation != self.generation or sent_at is None or now >= sent_at + self.lease_span:
            return [], lost, None  # to an earlier process, forged, or too late to extend a lease
        self.answered_at = now
        expires_at, gained, confirmed = sent_at + self.lease_span, [], dict(renewed.held)
        self.released = [row for row in self.released if confirmed.get(row[0]) == row[1]]
        for duty, fencing_token in renewed.held:
            lease = self.leases.get(duty)
            if fencing_token <= self.highest_released.get(duty, 0) or self.leaving:
                # The answer is older than the release, or the lease of that token has expired: the release is
                # sent again.
                if (duty, fencing_token) not in self.released and fencing_token == self.highest_released.get(
                    duty, 0
                ):
                    self.released.append((duty, fencing_token))
            elif lease is None or fencing_token > lease.fencing_token:
                self.leases[duty] = Lease(duty, fencing_token, expires_at)
                gained.append((duty, fencing_token, "granted"))
            elif fencing_token == lease.fencing_token:
                lease.expires_at = max(lease.expires_at, expires_at)
        given_up = [
            (current.duty, current.fencing_token, "handed over")
            for current in self.leases.values()
            if current.duty in renewed.release
        ]
        given_up += [
            (current.duty, current.fencing_token, "granted to another")
            for current in self.leases.values()
            if current.duty not in confirmed and sent_at >= current.expires_at - self.lease_span
        ]
        for duty, fencing_token, _ in given_up:
            self._drop(duty, fencing_token)
        self.released += [
            (duty, fencing_token) for duty, fencing_token, cause in given_up if cause == "handed over"
        ]
        return gained, lost + given_up, self._renew(now) if self.released else None

    def release(self, now, duty, cause):
        """Gives up a duty that this member can no longer work on. Returns (Renew or None, lost)."""
        lease = self.leases.get(duty)
        if lease is None:
            return None, []
        self._drop(duty, lease.fencing_token)
        self.released.append((duty, lease.fencing_token))
        return self._renew(now), [(duty, lease.fencing_token, cause)]

    def leave(self, now):
        """Gives up all duties. Returns (Renew, lost); the Renew tells the leader at once."""
        self.leaving = True
        lost = [(lease.duty, lease.fencing_token, "leaving") for lease in self.leases.values()]
        for duty, fencing_token, _ in lost:
            self._drop(duty, fencing_token)
            self.released.append((duty, fencing_token))
        return self._renew(now), lost
