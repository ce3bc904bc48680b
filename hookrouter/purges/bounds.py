"""How old a copy may be: the newest purge of a name, and the newest that binds answers of sends out, too."""


class Bound:
    """newest is asked for with each new send. It binds answers too once it was told long enough ago; until
    then settled does, the newest of those before it."""

    __slots__ = ("newest", "told", "settled")

    def __init__(self, made, told):
        self.newest, self.told, self.settled = made, told, 0

    def raise_to(self, made, told, grace):
        """One more purge of the same name."""
        if told - self.told >= grace:
            self.settled, self.told = self.newest, told
        # Else the earlier time stays: purges in quick succession would never be due. Early is the safe side.
        self.newest = max(self.newest, made)

    def copy(self):
        other = Bound(self.newest, self.told)
        other.settled = self.settled
        return other

    def join(self, other):
        """One bound that is nowhere laxer than both."""
        self.newest = max(self.newest, other.newest)
        self.told = min(self.told, other.told)
        self.settled = max(self.settled, other.settled)
        return self
