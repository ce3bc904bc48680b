"""What a resource keeps so that an owner who wakes up late does no harm (Burrows, Chubby, 2006:
sequencers).
"""


class Fence:
    """highest: {duty: number} as it stood on disk. The host writes admit's number down before it acts on
    it.
    """

    def __init__(self, highest=()):
        self.highest = dict(highest)
        self.refused = 0

    def admit(self, duty, number):
        """Whether an effect with that number may be had; a lower one than was ever seen may not."""
        if number < self.highest.get(duty, 0):
            self.refused += 1
            return False
        self.highest[duty] = number
        return True
