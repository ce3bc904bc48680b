"""One connection of a follower, and what desk and relay have in common: followers, told in order."""

from hookrouter.purges.tail import RAISE, RESUME


class Link:
    """One connection of a follower to its desk or relay: in order, until it is cut."""

    def __init__(self, world, upstream, follower):
        self.world, self.upstream, self.follower = world, upstream, follower
        self.open, self.last = True, 0

    def down(self, word, *args):
        """To the follower; each message no earlier than the one before."""
        if not self.open:
            return
        self.last = max(self.last, self.world.now + self.world.delay())
        self.world.after(self.last - self.world.now, self._arrive, word, args)
        if self.world.dice.random() < 0.02:  # told twice
            self.world.after(self.last - self.world.now, self._arrive, word, args)

    def _arrive(self, word, args):
        if self.open:
            self.follower.came(self, word, *args)

    def cut(self):
        if self.open:
            self.open = False
            self.upstream.links.discard(self)
            self.world.after(self.world.delay(), self.follower.lost, self)


class Publisher:
    """What the desk and a relay have in common: an order told to followers, and their leases."""

    def serve(self, position, seen, whole, link):
        place = self.tail.place(position, seen)
        if place == RAISE:
            self.raise_epoch(seen)
            link.cut()
            return
        if place != RESUME:
            snapshot = self.tail.snapshot(whole)
            link.down("begin", self.tail.epoch, snapshot.slices)
            for purge in snapshot.purges:
                link.down("purge", self.tail.epoch, purge)
            link.down("end", self.tail.epoch, self.tail.newest, len(snapshot.purges))
        else:
            for purge in self.tail.after(position.n, 10**9):
                link.down("purge", self.tail.epoch, purge)
        self.links.add(link)

    def body(self, digest):
        """Of a slice that was listed; None where that was too long ago, or nobody is there."""
        return self.tail.catalogue.body(digest) if self.ready() else None

    def publish(self, purges):
        for link in sorted(self.links, key=lambda link: link.follower.name):
            for purge in purges:
                link.down("purge", self.tail.epoch, purge)

    def raise_epoch(self, seen):
        """Only the desk can; a relay's followers wait until it has heard of the epoch itself."""
