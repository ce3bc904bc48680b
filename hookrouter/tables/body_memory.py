"""The memory for bodies: who takes of it gives it back; while it is full, who would read more waits."""


class BodyMemory:
    def __init__(self, size, filled):
        """filled: called each time the first reader has to wait."""
        self.size, self.held, self.filled = size, 0, filled
        self.waiting = {}  # what has a resume() -> True, in the order in which they came

    def take(self, count):
        self.held += count

    def give_back(self, count):
        self.held -= count
        if self.waiting and not self.full():
            waiting, self.waiting = self.waiting, {}
            for reader in waiting:
                reader.resume()

    def full(self):
        return self.held >= self.size

    def wait(self, reader):
        """reader.resume() is called once there is room again."""
        if not self.waiting:
            self.filled()
        self.waiting[reader] = True

    def leave(self, reader):
        self.waiting.pop(reader, None)
