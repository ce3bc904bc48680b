"""The order of purges with its leases, as the desk has it: the program's own decisions on a made-up disk."""

from hookrouter.purges import Purge, types
from hookrouter.purges.followers import Followers, Renewal
from hookrouter.purges.tail import RESUME, Tail
from hookrouter.purges.types import Position

LEASE, HOLD, SKEW, ROUNDING = 20_000, 600_000, 200, 20
RECENT = 60  # purges that a tail reaches back


class Order:
    """disk: purges that lasted; names: followers that the store knows."""

    def __init__(self, world, old):
        self.world, self.epoch = world, 0
        self.disk = [Purge(1, n, 1, types.OBJECT, f"o{n}") for n in range(1, old + 1)]
        self.names, self.accepted, self.stated = {}, {}, []  # n -> true time; (n, in effect at)
        self.begin()

    def begin(self):
        """A life of the desk: all is read from the disk."""
        now = self.world.engine.now
        self.epoch += 1
        self.tail = Tail(HOLD, self.epoch, recent=RECENT)
        for purge in self.disk:
            self.tail.add(purge)
        self.followers = Followers(LEASE, SKEW, ROUNDING, now, tuple(self.names.items()))
        self.followers.read_anew(now, [purge for purge in self.disk if purge.timestamp >= now - 3 * LEASE])

    def submit(self):
        """A purge, durable and told from now on: the time of the model's own promise is kept."""
        now = self.world.engine.now
        purge = Purge(self.epoch, len(self.disk) + 1, now, types.OBJECT, f"o{len(self.disk) + 1}")
        self.disk.append(purge)
        self.tail.add(purge)
        self.followers.accepted(now, [purge])
        self.accepted[purge.n] = now
        self.stated.append((self.followers.latest(now), purge.n))
        return purge

    def look(self):
        for n, _, at in self.followers.settle(self.world.engine.now):
            self.stated.append((at, n))

    def how(self, n):
        """What a follower of that place needs."""
        epoch = next((e for first, e in reversed(self.tail.firsts) if first <= n), self.epoch)
        return self.tail.place(Position(epoch, n), min(self.epoch, self.tail.epoch))

    def resumes(self, n):
        return self.how(n) == RESUME

    def renew(self, name, generation, n):
        now = self.world.engine.now
        span = self.followers.renew(
            now, Renewal(name, generation, self.resumes(n), n, n, SKEW, False), self.tail.newest.n
        )
        self.names[name] = generation
        return span
