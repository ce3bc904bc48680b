"""The leader's replication state of another keeper."""

LONG_AGO = 1 << 40  # longer than any timeout


class Peer:
    """Replication progress of one keeper, its last confirmed heartbeat round, and why it may not count."""

    __slots__ = (
        "next_index",
        "match_index",
        "round",
        "heard_at",
        "append_pending",
        "exclusion",
        "generation",
        "snapshot_sent_at",
    )

    def __init__(self, next_index, now):
        self.next_index, self.match_index, self.round, self.heard_at, self.append_pending, self.exclusion = (
            next_index,
            0,
            0,
            now,
            False,
            False,
        )
        self.generation, self.snapshot_sent_at = 0, -LONG_AGO
