"""Requests of members and operators: lease renewals, commands, membership changes, and status."""

from .. import protocol
from ..duties import ADOPT, APPEND, DECLARE, DONE, DROP, FOLLOWERS, OPEN, SWEEP
from .leading import ROUND_DELAY
from .sizes import fits_one_message
from .states import LEADER

MAX_PENDING_COMMANDS = 10_000  # members' commands that wait to be committed
HAND_OVER, REPLACE = "hand-over", "replace"
# Commands that members may append to the log; grants come from the leader alone.
LOGGED_COMMANDS = (DECLARE, DROP, DONE, OPEN, APPEND, FOLLOWERS, SWEEP, ADOPT)


class MemberRequests:
    """The part of Keeper that answers members; only a leader does more than name the leader."""

    def _renew(self, sender, renew):
        if self.state != LEADER:
            self._send(sender, protocol.Answer("renew", leader=self.leader))
            return
        self.leases.renew(self.now, f"{sender}#{renew.generation}", sender, renew, self.round + 1)
        self.heartbeat_at = min(self.heartbeat_at, self.now + ROUND_DELAY)

    def _send_renewed(self, member_id):
        session = self.leases.sessions.get(member_id)
        if session is None or not session.seq:
            return
        # Duties that are being granted to another member, or were released, are omitted.
        held = [
            (name, self.duties.by_name[name].fencing_token)
            for name in self.duties.by_owner.get(member_id, ())
        ]
        held = [
            row
            for row in held
            if row not in self.leases.released and self.leases.granting.get(row[0], 0) <= self.applied
        ]
        moving = [name for name, _ in held if name in self.leases.moving]
        self._send(
            session.reply_to, protocol.Renewed(session.seq, int(member_id.rpartition("#")[2]), held, moving)
        )

    def _command(self, sender, request):
        if self.state != LEADER:
            self._send(sender, protocol.Answer(request.key, leader=self.leader))
        elif request.command in LEADER_COMMANDS:
            self._send(
                sender,
                protocol.Answer(request.key, LEADER_COMMANDS[request.command](self, *request.fields[:2])),
            )
        elif request.command not in LOGGED_COMMANDS or not request.key.startswith(f"{sender}#"):
            self._send(sender, protocol.Answer(request.key, ["malformed"]))
        elif not fits_one_message(request):
            self._send(sender, protocol.Answer(request.key, ["too large, or no records"]))
        elif len(self.pending_commands) >= MAX_PENDING_COMMANDS:
            self._send(sender, protocol.Answer(request.key, ["busy"]))
        else:
            self.pending_commands[
                self.propose(protocol.COMMAND, (request.key, request.command, request.fields))
            ] = sender, request.key

    def _change_keepers(self, add=None, remove=None):
        """Adds a keeper, as a learner first, or removes one; one change at a time."""
        if self.config_index > self.commit or self.term_at(self.commit) != self.term:
            return ["busy"]
        if add is not None and isinstance(add, str) and add not in (*self.voters, *self.learners):
            self.propose(protocol.CONFIGURATION, (list(self.voters), [*self.learners, add]))
        elif remove is not None and remove != self.name and remove in (*self.voters, *self.learners):
            rest = [[name for name in names if name != remove] for names in (self.voters, self.learners)]
            if not rest[0]:
                return ["the last voter stays"]
            self.propose(protocol.CONFIGURATION, tuple(rest))
        else:
            return [
                "no such change: the keeper to add is one already, or the one to remove leads or is no keeper"
            ]
        return ["changing", self.last_index()]

    def _hand_over(self, name="", to_member=None):
        """Moves a duty to that member, or to the one with the fewest duties."""
        duty, live = self.duties.by_name.get(name), sorted(self.leases.live_members(self.now))
        if duty is None:
            return ["unknown duty"]
        eligible = [
            member_id
            for member_id in live
            if member_id != duty.owner
            and to_member in (None, member_id, member_id.partition("#")[0])
            and self.leases.sessions[member_id].supports(name)
        ]
        if not eligible:
            return [
                "no other live member can work on it"
                if to_member is None
                else f"{to_member} has no live lease, cannot work on it, or owns it already"
            ]
        counts = [row.owner for row in self.duties.by_name.values()]
        target = min(eligible, key=counts.count)
        self.leases.move(self.now, name, target)
        if duty.owner is not None:
            self._send_renewed(duty.owner)
        return ["moving", target]

    def _status(self, sender, request):
        self._send(sender, protocol.Answer(request.key, self.status()))

    def status(self):
        """Returns this keeper's view as plain JSON-compatible values; times in tenths of a millisecond."""
        leading = self.state == LEADER
        rows = []
        for name, duty in sorted(self.duties.by_name.items()):
            time_left = (
                max(0, self.leases.held_until(duty.owner) - self.now) if leading and duty.owner else None
            )
            rows.append([name, duty.owner, duty.fencing_token, duty.step, time_left])
        orders = [
            [name, order.epoch, order.newest, order.chain_hash.hex(), order.address]
            for name, order in sorted(self.duties.sequences.items())
        ]
        return {
            "keeper": self.name,
            "state": self.state,
            "term": self.term,
            "leader": self.leader,
            "voters": list(self.voters),
            "learners": list(self.learners),
            "commit": self.commit,
            "last": self.last_index(),
            "aside": self.integrity_error
            or (
                "too few keepers have confirmed since its start that its store is current"
                if self.exclusion()
                else None
            ),
            "members": sorted(self.leases.live_members(self.now)) if leading else None,
            "duties": rows,
            "orders": orders,
            "unfiled": len(self.unstored_entries),
        }


# Commands that the leader carries out itself.
LEADER_COMMANDS = {HAND_OVER: MemberRequests._hand_over, REPLACE: MemberRequests._change_keepers}
