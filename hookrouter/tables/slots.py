"""A table of numbered slots. A number names a slot and its owner: once given back it meets nobody again."""


class Slots:
    def __init__(self, size):
        self.size = size
        self.things = []  # by slot; None where free
        self.generations = []
        self.free = []

    def __len__(self):
        return len(self.things) - len(self.free)

    def take(self, thing):
        """A number for this thing, or None where the table is full."""
        if self.free:
            slot = self.free.pop()
            self.things[slot] = thing
        elif len(self.things) < self.size:
            slot = len(self.things)
            self.things.append(thing)
            self.generations.append(0)
        else:
            return None
        return self.generations[slot] * self.size + slot

    def get(self, number):
        """The thing under this number, or None where the slot has gone to another since."""
        generation, slot = divmod(number, self.size)
        if slot < len(self.things) and self.generations[slot] == generation:
            return self.things[slot]
        return None

    def give_back(self, number):
        generation, slot = divmod(number, self.size)
        if slot >= len(self.things) or self.generations[slot] != generation:
            raise KeyError(f"slot {slot} is not held under {number}")
        self.things[slot] = None
        self.generations[slot] += 1
        self.free.append(slot)

    def held(self):
        """What is in the table now, in the order of the slots."""
        return [thing for thing in self.things if thing is not None]
