"""How long each client connection has been silent or idle, and the bytes of its incomplete frame; no I/O."""

from itertools import islice


class InputWatch:
    """Connections that wait for input, the longest waiting first.

    clock: an object with seconds(); max_partial_bytes: of all incomplete frames together.
    """

    def __init__(self, clock, max_partial_bytes):
        self.clock, self.max_partial_bytes = clock, max_partial_bytes
        self.silent = {}  # connection -> since when: no frame yet, or within one
        self.idle = {}  # connection -> since when: no open call
        self.partial_bytes, self.partial_bytes_total = {}, 0  # of incomplete frames: by connection, total

    def start(self, connection):
        """The connection is new: its first frame is expected."""
        self.silent[connection] = self.clock.seconds()

    def stop(self, connection):
        """No more input is expected of the connection."""
        self._set_partial(connection, 0)
        self.silent.pop(connection, None)
        self.idle.pop(connection, None)

    def mark_idle(self, connection):
        """The connection has no open call from now on."""
        self.idle.pop(connection, None)
        self.idle[connection] = self.clock.seconds()

    def mark_busy(self, connection):
        """The connection has an open call."""
        self.idle.pop(connection, None)

    def on_input(self, connection, has_frames, partial_bytes):
        """Input arrived. has_frames: it completed a frame; partial_bytes: of the incomplete one behind."""
        self._set_partial(connection, partial_bytes)
        if has_frames or not partial_bytes:
            self.silent.pop(connection, None)
        if partial_bytes:
            self.silent.setdefault(connection, self.clock.seconds())

    def oldest_partial(self):
        """The connection to end because incomplete frames exceed their bound, or None.

        One on which no call was ever read, if there is any: regular clients write slowly, too. Of these, the
        one that has written nothing for longest.
        """
        if self.partial_bytes_total <= self.max_partial_bytes:
            return None
        strangers = (connection for connection in self.partial_bytes if not connection.intake.calls_read)
        return next(strangers, None) or next(iter(self.partial_bytes))

    def _set_partial(self, connection, size):
        self.partial_bytes_total += size - self.partial_bytes.pop(connection, 0)
        if size:
            self.partial_bytes[connection] = size


def waiting_since(waiting, moment, is_late, limit=None):
    """Connections of `waiting` since that time or longer, also after their unread input was processed.

    is_late(): whether no more of them are to be looked at; limit: of connections that are looked at.
    """
    found = []
    for connection, since in islice(waiting.items(), limit):
        if since > moment:
            break
        found.append((connection, since))
    read = []
    for connection, since in found:
        if is_late():
            break
        connection.read_pending()
        read.append((connection, since))
    return [connection for connection, since in read if waiting.get(connection) == since]
