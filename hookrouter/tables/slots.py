"""A bounded table of numbered slots whose numbers are never used again.

A number encodes its slot and the slot's generation, so a number that was given back finds no later value.
"""


class Slots:
    """Holds up to `size` values; get() returns None for a stale number, give_back() raises KeyError."""

    def __init__(self, size):
        self.size = size
        self.values = []  # by slot; None where free
        self.generations = []
        self.free = []

    def __len__(self):
        return len(self.values) - len(self.free)

    def is_full(self):
        """Whether take() would return None."""
        return not self.free and len(self.values) >= self.size

    def take(self, value):
        """Stores the value and returns its number, or None if the table is full."""
        if self.free:
            slot = self.free.pop()
            self.values[slot] = value
        elif len(self.values) < self.size:
            slot = len(self.values)
            self.values.append(value)
            self.generations.append(0)
        else:
            return None
        return self.generations[slot] * self.size + slot

    def get(self, number):
        """The value under this number, or None if the number has been given back."""
        generation, slot = divmod(number, self.size)
        if slot < len(self.values) and self.generations[slot] == generation:
            return self.values[slot]
        return None

    def give_back(self, number):
        """Frees the slot of this number; KeyError if the number is not in use."""
        generation, slot = divmod(number, self.size)
        if slot >= len(self.values) or self.generations[slot] != generation:
            raise KeyError(f"slot {slot} is not in use under number {number}")
        self.values[slot] = None
        self.generations[slot] += 1
        self.free.append(slot)

    def occupied(self):
        """The values now in the table, in slot order."""
        return [value for value in self.values if value is not None]
