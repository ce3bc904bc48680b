"""Settings, events and effects of admission control.

Times are whole tenths of a millisecond of the gateway's steady clock; only durations go on the wire.
"""

from typing import NamedTuple

# kinds of transfer: the missing part of the log, or a snapshot of all live purges
TAIL, SNAPSHOT = "tail", "snapshot"
NO_LEASE = -1


class Terms(NamedTuple):
    """Settings of the gate. name, incarnation: of this gateway; seal_key: of its tickets; share: of its time
    that admissions may take.
    """

    name: str
    incarnation: int
    seal_key: bytes
    share: float = 0.95
    max_waiting: int = 10_000  # followers with a place in the queue; beyond it they are deferred without one


class Arrival(NamedTuple):
    """A connection of a follower. conn: number of the connection; name: of the follower; transfer: what it
    needs; lease_left: NO_LEASE without a lease; ticket: its text.
    """

    conn: int
    name: str
    transfer: str
    lease_left: int = NO_LEASE
    ticket: str = ""


# ---- effects


class Admit(NamedTuple):
    """Starts this admission. The host reports the actual transfer by set_transfer() and the end by
    completed().
    """

    conn: int
    name: str
    transfer: str


class Defer(NamedTuple):
    """Tells the follower to return after wait with this ticket, which is empty where it has no place. late:
    its lease will have expired by then, so it fences itself meanwhile. fleet_size: followers of this gateway.
    elsewhere: a gateway with room.
    """

    conn: int
    wait: int
    ticket: str
    late: bool
    fleet_size: int
    elsewhere: str = ""


class Close(NamedTuple):
    """Closes the connection without an answer."""

    conn: int
    reason: str
