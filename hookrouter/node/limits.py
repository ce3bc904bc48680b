"""How a router divides its descriptors and memory, from the limits that its configuration states."""

from typing import NamedTuple

from ..terms import SECOND
from .start import room_for_bodies

# Share of the available memory for bodies from caches; the unassigned rest is for garbage.
CACHE_BODY_SHARE = 0.25
# For bodies from clients and unread answers: separate, so that neither starves the other.
CLIENT_BODY_SHARE = 0.125
PARTIAL_FRAME_SHARE = 0.0625  # for incomplete frames
LOOKUP_SHARE = 0.125  # for lookups that are held, beside their bodies
LOOKUP_BYTES = 6_000  # of a lookup with its send and what the decisions keep of it
MAX_EFFECT_IDS = 4_096  # of lookups with an effect that may have run
EFFECT_ID_DURATION = 30 * SECOND  # longer than a client waits for an answer and comes again
RESERVED_DESCRIPTORS = 24  # for standard streams, reactor, listener, feed and some that are closing


class Limits(NamedTuple):
    """Connections, bytes, and lookups that are held at a time."""

    clients: int
    cache_connections: int
    cache_bodies: int
    client_bodies: int
    partial_frames: int
    lookups: int


def divide(start):
    """The Limits of a router with this start; clients get a third of the descriptors."""
    clients = start.sockets // 3
    available = room_for_bodies(start.memory, start.sockets, start.purges is not None)
    return Limits(
        clients=clients,
        cache_connections=start.sockets - clients - RESERVED_DESCRIPTORS,
        cache_bodies=int(available * CACHE_BODY_SHARE),
        client_bodies=int(available * CLIENT_BODY_SHARE),
        partial_frames=int(available * PARTIAL_FRAME_SHARE),
        lookups=max(1, min(start.terms.max_pending_lookups, int(available * LOOKUP_SHARE / LOOKUP_BYTES))),
    )
