"""Kills, pauses, cuts, losses and full disks, one at random; each ends by itself."""

from .processes import FLUSH, SECOND, KeeperProcess


class Faults:
    """What goes wrong in the world that this is part of, and how it ends."""

    def cut(self, a, b, both=True):
        self.cuts.add((a, b))
        if both:
            self.cuts.add((b, a))

    def heal(self):
        self.cuts.clear()
        self.loss = self.double = 0.0
        self.lag = 5

    def fault(self):
        """One at random; each ends by itself."""
        dice, after = self.dice, self.engine.after
        if self.engine.now < self.calm_until:
            return
        keeper = dice.choice([p for p in self.keepers.values() if p.core is not None])
        one = dice.choice(list(self.processes.values()))
        span = dice.choice((dice.randrange(500, 5_000), dice.randrange(5_000, 3 * SECOND)))
        what = dice.randrange(10)
        if what == 0 and one.up:
            one.kill()
            for duty in self.holding:
                if any(key[0] == one.name for key in self.holding[duty]):
                    self.free_since.setdefault(duty, self.engine.now)
            after(span, self.restart, one)
        elif what == 1:
            one.pause(span)
        elif what == 2:
            for other in self.processes:
                if dice.random() < 0.5 and other != one.name:
                    self.cut(one.name, other, dice.random() < 0.6)
            after(span, self.heal)
        elif what == 3:
            self.loss, self.double = dice.choice((0.05, 0.3)), dice.choice((0.0, 0.2))
            after(span, self.heal)
        elif what == 4:
            self.lag = dice.choice((50, 400))
            after(span, self.heal)
        elif what == 5:
            keeper.full = True
            after(span, setattr, keeper, "full", False)
        elif what == 6:
            keeper.flush = dice.choice((200, 5_000, 20_000))
            after(span, setattr, keeper, "flush", FLUSH)
        elif what == 7:
            keeper.disk.copies.append(keeper.disk.stored)
        elif what == 8 and keeper.up and keeper.disk.copies and not self.forgetful():
            keeper.kill()
            after(span, self.put_back, keeper)
        elif what == 9 and self.dice.random() < 0.1:
            for process in self.keepers.values():
                process.kill()
                after(span, self.restart, process)

    def restart(self, process):
        if not process.up:
            process.start()

    def forgetful(self):
        """One at a time may have forgotten: two of three are more than is promised to be noticed."""
        return any(not p.up or p.core.integrity_error for p in self.keepers.values() if p.core is not None)

    def put_back(self, keeper):
        if keeper.up or any(
            not p.up or p.paused or p.full or p.core.integrity_error or p.core.state == "broken"
            for p in self.keepers.values()
            if p is not keeper and p.core is not None
        ):
            self.restart(keeper)
            return
        keeper.disk.stored = keeper.disk.copies.pop(0)
        self.heal()  # noticed by those who can tell it: what is promised needs that they are heard
        self.calm_until = self.engine.now + 3 * SECOND
        keeper.start()

    def quiet(self):
        self.heal()
        for process in self.processes.values():
            if process.paused:
                process.resume(process.generation)
            if isinstance(process, KeeperProcess):
                process.full, process.flush = False, FLUSH
                if process.core is None:
                    continue
            self.restart(process)
