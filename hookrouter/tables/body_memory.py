"""Accounting of the memory for bodies: while it is full, readers wait until enough has been given back."""


class BodyMemory:
    """Counts bytes in use against a limit. Exceeding the limit is allowed; readers check full() and wait."""

    def __init__(self, size, on_full):
        """size: in bytes; on_full: called whenever a reader starts to wait while none is waiting."""
        self.size, self.used_bytes, self.on_full = size, 0, on_full
        self.waiting = {}  # reader -> True, in order of arrival

    def take(self, count):
        """Counts these bytes as used, even beyond the limit."""
        self.used_bytes += count

    def give_back(self, count):
        """Frees these bytes; resumes all waiting readers once usage is below the limit."""
        self.used_bytes -= count
        if self.waiting and not self.full():
            waiting, self.waiting = self.waiting, {}
            for reader in waiting:
                reader.resume()

    def full(self):
        """Whether usage has reached the limit."""
        return self.used_bytes >= self.size

    def wait(self, reader):
        """Calls reader.resume() once usage is below the limit again."""
        if not self.waiting:
            self.on_full()
        self.waiting[reader] = True

    def leave(self, reader):
        """Stops waiting for this reader, if it waits."""
        self.waiting.pop(reader, None)
