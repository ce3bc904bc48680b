"""A desk with a disk that keeps what was written, or comes back as it was earlier."""

from hookrouter.purges import ledger as g
from hookrouter.purges.followers import Followers, Renewal
from hookrouter.purges.submissions import Accepted, Submission
from hookrouter.purges.tail import RESUME

from .links import Publisher
from .shapes import LEASE, ROUNDING, SECOND, SKEW, Told


class Desk(Publisher):
    def __init__(self, world):
        self.world, self.up, self.links = world, False, set()
        self.name = "desk"
        self.asked = {}  # key -> when it was submitted
        self.disk, self.names, self.kept, self.writing = [], {}, None, None
        self.off = world.dice.randint(-SKEW // 2, SKEW // 2) + world.shape.desk_off
        self.life, self.epoch = 0, 0

    def ready(self):
        return self.up

    def clock(self):
        return self.world.now + self.off

    def start(self, epoch=0):
        world = self.world
        self.up, self.life = True, self.life + 1
        self.epoch = max(
            [epoch, world.now, *(row[0].epoch + 1 for row in self.disk), self.epoch_stored() + 1]
        )
        self.stored = self.epoch
        self.tail, keys = self._read()
        self.ledger = g.Ledger(self.tail, keys, g.Limits(10_000, 1_000))
        self.followers = Followers(LEASE, SKEW, ROUNDING, world.now, tuple(self.names.items()))
        self.followers.read_anew(world.now, [purge for purge, _ in self.disk[-50:]])
        world.after(100, self._beat, self.life)

    def epoch_stored(self):
        return getattr(self, "stored", 0)

    def _read(self):
        tail, keys = self.world.make_tail(self.epoch), {}
        self.epochs = {purge.n: purge.epoch for purge, _ in self.disk}
        for purge, key in self.disk:
            tail.add(purge)
            keys[key] = (*keys.get(key, ()), purge)
        return tail, keys

    def kill(self):
        """With a batch half written it is there or not."""
        dice = self.world.dice
        if self.writing is not None and dice.random() < 0.5:
            self.disk.extend(self.writing)
        self.up, self.writing, self.links = False, None, set()
        self.life += 1
        for node in (*self.world.relays, *self.world.routers):
            if node.link is not None and node.link.upstream is self:
                node.link.cut()
        if self.world.shape.restore:
            if self.kept is not None and dice.random() < 0.5:
                lost = {(purge.epoch, purge.n) for purge, _ in self.disk[len(self.kept[0]) :]}
                self.world.lost_by_restore += len(lost)
                gone = [told for number, told in self.world.told.items() if number in lost]
                self.world.in_effect = [row for row in self.world.in_effect if row[1] not in gone]
                self.disk, self.names, self.stored = list(self.kept[0]), dict(self.kept[1]), self.kept[2]
            elif self.kept is None:
                self.kept = list(self.disk), dict(self.names), self.stored
        self.world.after(dice.randint(1_000, 4 * SECOND), self.start)

    def raise_epoch(self, seen):
        """A life of the desk after this one has been heard of: it was restored, and starts again above."""
        self.kill_quietly()
        self.start(seen + 1)

    def kill_quietly(self):
        self.writing = None
        for node in (*self.world.relays, *self.world.routers):
            if node.link is not None and node.link.upstream is self:
                node.link.cut()

    def submit(self, key, items):
        if self.up:
            self.asked[key] = self.world.now
            self._carry(self.ledger.submit(self.clock(), Submission(0, key, items, False)))

    def _carry(self, effects):
        for effect in effects:
            if isinstance(effect, g.Write):
                self.writing = effect.batch
                for purge, key in effect.batch:
                    self.world.told[purge.epoch, purge.n] = Told(purge.kind, purge.what, self.asked[key])
                self.world.after(self.world.dice.randint(5, 300), self._written, self.life)
            elif isinstance(effect, Accepted):
                self.world.acknowledged(effect.purges, effect.repeated)
            elif isinstance(effect, g.Publish):
                self.followers.accepted(self.world.now, effect.purges)
                self.epochs.update((purge.n, purge.epoch) for purge in effect.purges)
                self.publish(effect.purges)
                for purge in effect.purges:
                    told = self.world.told[purge.epoch, purge.n]
                    self.world.in_effect.append((self.followers.latest(self.world.now), told))
                self._look()

    def _written(self, life):
        if life == self.life and self.up and self.writing is not None:
            batch, self.writing = self.writing, None
            self.disk.extend(batch)
            self._carry(self.ledger.written())

    def _look(self):
        for n, _, at in self.followers.settle(self.world.now):
            self.world.stated += 1
            self.world.in_effect.append((at, self.world.told[self.epochs[n], n]))

    def _beat(self, life):
        if life != self.life:
            return
        for link in sorted(self.links, key=lambda link: link.follower.name):
            link.down("beat", self.tail.epoch)
        self._look()
        self.world.after(500, self._beat, life)

    def renew(self, follower, generation, position, seen, least, every, relay, answer):
        """A renewal has come; the answer goes back as the network has it."""
        if not self.up:
            return
        on_branch = self.tail.place(position, seen) == RESUME
        renewal = Renewal(follower, generation, on_branch, least, every, SKEW, relay)
        span = self.followers.renew(self.world.now, renewal, self.tail.newest.n)
        if span is not None:
            self.names[follower] = generation
            answer(span, self.tail.epoch, self.clock())
        self._look()

    def left(self, name, generation, relied_on):
        """A follower says that it has ended."""
        if self.up and self.followers.left(name, generation, relied_on):
            self.names.pop(name, None)
        if self.up:
            self._look()
