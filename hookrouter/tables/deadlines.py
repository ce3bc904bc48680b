"""All deadlines of the process: one heap, served by a single reactor timer."""

from heapq import heapify, heappop, heappush

MIN_CLEARED = 64  # with no more dropped entries than this, rebuilding the heap is not worth it


class Deadlines:
    """Calls functions at their deadlines, in order of time; times are in seconds.

    clock: an object with seconds() and callLater(), such as the reactor or twisted.internet.task.Clock.
    """

    def __init__(self, clock):
        self.clock = clock
        self.heap, self.count, self.dropped = [], 0, 0
        self.timer = None
        self.running = False

    def __len__(self):
        return len(self.heap) - self.dropped

    def after(self, seconds, call, *args):
        """Schedules call(*args) once, `seconds` from now. Returns an entry for drop()."""
        self.count += 1
        entry = [self.clock.seconds() + seconds, self.count, call, args]
        heappush(self.heap, entry)
        if self.heap[0] is entry:
            self._set()
        return entry

    def drop(self, entry):
        """Cancels an entry. Does nothing for one that has been called or dropped, or for None."""
        if entry is None or entry[2] is None:
            return
        entry[2] = entry[3] = None
        self.dropped += 1
        if self.dropped > MIN_CLEARED and self.dropped * 2 > len(self.heap):
            self.heap = [kept for kept in self.heap if kept[2] is not None]
            heapify(self.heap)
            self.dropped = 0

    def sooner(self, entry, seconds):
        """Whether a call `seconds` from now would precede this entry; true if the entry is over."""
        return entry[2] is None or self.clock.seconds() + seconds < entry[0]

    def due(self, entry, unit):
        """Whether the entry has been called or dropped, or less than `unit` seconds remain."""
        return entry[2] is None or entry[0] - self.clock.seconds() < unit

    def left(self, entry):
        """Seconds until the entry is called; 0 if it has been called or dropped."""
        return 0.0 if entry[2] is None else max(0.0, entry[0] - self.clock.seconds())

    def _set(self):
        if self.running:
            return  # _run sets the timer after the calls that are due
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        if self.heap:
            self.timer = self.clock.callLater(max(0.0, self.heap[0][0] - self.clock.seconds()), self._run)

    def _run(self):
        self.timer, self.running = None, True
        now = self.clock.seconds()
        try:
            while self.heap and (self.heap[0][2] is None or self.heap[0][0] <= now):
                entry = heappop(self.heap)
                _, _, call, args = entry
                if call is None:
                    self.dropped -= 1
                    continue
                entry[2] = entry[3] = None
                call(*args)
        finally:
            self.running = False
            self._set()
