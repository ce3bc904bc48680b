"""Where a lookup spends its time: queues before cores, links that share bandwidth; and what a cache keeps."""

from collections import OrderedDict, deque
from heapq import heappop, heappush
from math import ceil

from .engine import Tally

LEAST = 1e-6  # KB, or units of time: less is rounding, and the transfer is over


class Queue:
    """So many cores, first come first served. most: that may wait; what comes beyond is refused."""

    def __init__(self, engine, cores, most=None):
        self.engine, self.cores, self.most = engine, cores, most
        self.busy, self.waiting, self.waits = 0, deque(), []
        self.tally = Tally(engine)

    def take(self, work, done, *args):
        """done(*args) after the wait and the work; False where there is no room to wait."""
        if self.busy >= self.cores and self.most is not None and len(self.waiting) >= self.most:
            return False
        job = (self.tally.enter(), work, done, args)
        if self.busy < self.cores:
            self._start(job)
        else:
            self.waiting.append(job)
        return True

    def _start(self, job):
        self.busy += 1
        self.waits.append(self.engine.now - job[0])
        self.engine.after(job[1], self._end, job)

    def _end(self, job):
        self.busy -= 1
        self.tally.leave(job[0])
        if self.waiting:
            self._start(self.waiting.popleft())
        job[2](*job[3])


class Link:
    """Bandwidth shared alike by all transfers, none faster than its own flow may be.

    All have the same pace at any moment, so one sum of it (the virtual time of fair queueing, Parekh and
    Gallager, 1993) says of each when it ends: a transfer that comes or goes costs a step in a heap, however
    many there are.
    """

    def __init__(self, engine, rate, flow=None):
        """rate, flow: KB in a unit of time, of all and of one at most."""
        self.engine, self.rate, self.flow = engine, rate, flow or rate
        self.virtual, self.since, self.count = 0.0, 0, 0
        self.heap, self.gone, self.alarm = [], set(), 0  # (virtual end, number, size, entered, done, args)
        self.running = set()
        self.tally = Tally(engine)
        self.asked = self.carried = self.dropped = 0.0

    def _pace(self):
        return min(self.flow, self.rate / max(1, len(self.running)))

    def _advance(self):
        self.virtual += (self.engine.now - self.since) * self._pace()
        self.since = self.engine.now

    def carry(self, size, done, *args):
        """A number to give it up by; done(*args) once all of it is over."""
        self._advance()
        self.count += 1
        self.asked += size
        heappush(self.heap, (self.virtual + size, self.count, size, self.tally.enter(), done, args))
        self.running.add(self.count)
        self._set()
        return self.count

    def give_up(self, number):
        """What is left of it is not carried; does nothing for one that is over."""
        if number not in self.running:
            return
        self._advance()
        self.running.remove(number)
        self.gone.add(number)
        row = next(row for row in self.heap if row[1] == number)
        left = max(0.0, row[0] - self.virtual)
        self.dropped += left
        self.carried += row[2] - left
        self.tally.leave(row[3])
        self._set()

    def _set(self):
        """One call is set for the next end; those set before are void."""
        while self.heap and self.heap[0][1] in self.gone:
            self.gone.remove(heappop(self.heap)[1])
        self.alarm += 1
        if self.heap:
            left = max(0.0, self.heap[0][0] - self.virtual)
            self.engine.after(ceil(left / self._pace() - LEAST), self._end, self.alarm)

    def _end(self, alarm):
        if alarm != self.alarm:
            return
        self._advance()
        ended = []
        while self.heap and (self.heap[0][1] in self.gone or self.heap[0][0] <= self.virtual + LEAST):
            row = heappop(self.heap)
            if row[1] in self.gone:
                self.gone.remove(row[1])
                continue
            self.running.remove(row[1])
            self.carried += row[2]
            self.tally.leave(row[3])
            ended.append(row)
        self._set()
        for row in ended:
            row[4](*row[5])


class Copies:
    """What a cache keeps: so many KB, least recently used goes first; each copy with the time it is of."""

    def __init__(self, room):
        self.room, self.held, self.rows = room, 0.0, OrderedDict()  # name -> (size, made)

    def find(self, name, oldest=0):
        """When this copy was made, or None where there is none, or none that is young enough."""
        row = self.rows.get(name)
        if row is None or row[1] < oldest:
            return None
        self.rows.move_to_end(name)
        return row[1]

    def keep(self, name, size, made):
        """Puts it in; what goes for it, as names."""
        if size > self.room:
            return []
        if name in self.rows:
            self.held -= self.rows.pop(name)[0]
        self.rows[name] = size, made
        self.held += size
        gone = []
        while self.held > self.room:
            old, (left, _) = self.rows.popitem(last=False)
            self.held -= left
            gone.append(old)
        return gone

    def flush(self):
        self.rows.clear()
        self.held = 0.0
