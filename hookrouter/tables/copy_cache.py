"""Copies that are kept, within so many bytes: the one used longest ago goes first."""

NO_COPY = None, 0, None


class CopyCache:
    def __init__(self, room):
        self.room, self.bytes = room, 0
        self.copies = {}  # name, (kind, object, part) -> (made, bytes, group), the last used last

    def get(self, name):
        """(made, bytes, group); made is None where none is kept."""
        return self.copies.get(name, NO_COPY)

    def used(self, name):
        self.copies[name] = self.copies.pop(name)

    def put(self, name, made, size, group):
        """In place of an older one. Names of what had to go for it, the one it replaces first."""
        gone = [name] if self._drop(name) else []
        self.copies[name] = made, size, group
        self.bytes += size
        while self.bytes > self.room:
            gone.append(next(iter(self.copies)))
            self._drop(gone[-1])
        return gone

    def purge(self, what, made):
        """Names of the copies of that object or group that were made by then; they are gone."""
        return [
            name
            for name, (since, _, group) in list(self.copies.items())
            if since <= made and what in (name[1], group) and self._drop(name)
        ]

    def _drop(self, name):
        copy = self.copies.pop(name, None)
        if copy is not None:
            self.bytes -= copy[1]
        return copy is not None
