"""Copies of objects held within a limit of bytes; the least recently used is evicted first."""

NO_COPY = None, 0, None
# Of a copy beside its body: its key, time, revision and pieces, and its rows in the tables of copies.
COPY_OBJECT_BYTES = 1_000


class CopyCache:
    """Holds at most `capacity` bytes of copies, each with what its objects take beside the body; sizes are in
    bytes, times in the caller's units.
    """

    def __init__(self, capacity):
        self.capacity, self.bytes = capacity, 0  # bytes: of the bodies
        self.reserved = 0  # bytes for copies that may be put in later
        self.copies = {}  # key, (kind, object, part) -> (made, bytes, group), least recently used first

    def get(self, key):
        """Returns (made, bytes, group); made is None where there is no copy."""
        return self.copies.get(key, NO_COPY)

    def mark_used(self, key):
        """Makes this copy the most recently used; KeyError if there is none."""
        self.copies[key] = self.copies.pop(key)

    def put(self, key, made, size, group):
        """Stores a copy, replacing an older one. Returns the keys removed, its own first if replaced."""
        removed = self.remove(key)
        self.copies[key] = made, size, group
        self.bytes += size
        return removed + self._make_room()

    def reserve(self, size):
        """Reserves room for a copy of so many bytes; returns the keys that were removed for it."""
        self.reserved += size + COPY_OBJECT_BYTES
        return self._make_room()

    def release(self, size):
        """Gives back the room that was reserved for a copy of so many bytes."""
        self.reserved -= size + COPY_OBJECT_BYTES

    def remove(self, key):
        """Removes a copy; returns its key in a list, or an empty one."""
        return [key] if self._drop(key) else []

    def clear(self):
        """Removes all copies; returns their keys."""
        return [key for key in list(self.copies) if self._drop(key)]

    def purge(self, target, made):
        """Removes the copies of that object or group made at `made` or earlier; returns their keys."""
        return [
            key
            for key, (copy_made, _, group) in list(self.copies.items())
            if copy_made <= made and target in (key[1], group) and self._drop(key)
        ]

    def _make_room(self):
        removed = []
        while self.copies and self._used() > self.capacity:
            removed.append(next(iter(self.copies)))
            self._drop(removed[-1])
        return removed

    def _used(self):
        return self.bytes + COPY_OBJECT_BYTES * len(self.copies) + self.reserved

    def _drop(self, key):
        copy = self.copies.pop(key, None)
        if copy is not None:
            self.bytes -= copy[1]
        return copy is not None
