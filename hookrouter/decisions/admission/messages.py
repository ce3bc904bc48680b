"""Words of admission. Spans and times are whole tenths of a millisecond of the gateway's own steady clock; on
the wire go spans only.
"""

from typing import NamedTuple

TAIL, SNAPSHOT = "tail", "snapshot"  # what a comer is given: the rest of the order, or all that is live
NO_LEASE = -1


class Terms(NamedTuple):
    """name, life: of this gateway; key: of the seal. share: of its time that admissions may
    take.
    """

    name: str
    incarnation: int
    seal_key: bytes
    share: float = 0.95
    max_waiting: int = 10_000  # comers known at a time; beyond it one is told to wait and keeps no place


class Arrival(NamedTuple):
    """conn: names the connection; name: the flow; left: of its lease, NO_LEASE without; ticket: its text."""

    conn: int
    name: str
    transfer: str
    lease_left: int = NO_LEASE
    ticket: str = ""


# ---- effects


class Admit(NamedTuple):
    """It begins now; began() tells what it is given in truth, ended() that it is up to date."""

    conn: int
    name: str
    transfer: str


class Defer(NamedTuple):
    """Come back after wait with this ticket (none where there is no place). late: its lease will be over by
    then, so it fences itself meanwhile. fleet: how many hang on this gateway. elsewhere: a gateway with room.
    """

    conn: int
    wait: int
    ticket: str
    late: bool
    fleet_size: int
    elsewhere: str = ""


class Close(NamedTuple):
    """The connection is closed without a word."""

    conn: int
    reason: str
