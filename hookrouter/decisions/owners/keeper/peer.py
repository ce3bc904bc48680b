"""What a leader knows of another keeper."""

LONG_AGO = 1 << 40  # before all that counts


class Peer:
    """What a leader knows of another keeper."""

    __slots__ = ("next", "match", "round", "heard", "busy", "aside", "life", "snapshot_at")

    def __init__(self, after, now):
        self.next, self.match, self.round, self.heard, self.busy, self.aside = after, 0, 0, now, False, False
        self.life, self.snapshot_at = 0, -LONG_AGO
