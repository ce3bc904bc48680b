"""Building blocks of the simulation: multi-core queues, links with shared bandwidth, and LRU caches."""

from collections import OrderedDict, deque
from heapq import heappop, heappush
from math import ceil

from .engine import Tally

EPSILON = 1e-6  # KB, or units of time; smaller remainders are rounding errors


class Queue:
    """A first-come-first-served queue for several cores; jobs beyond max_waiting are refused."""

    def __init__(self, engine, cores, max_waiting=None):
        self.engine, self.cores, self.max_waiting = engine, cores, max_waiting
        self.busy, self.waiting, self.waits = 0, deque(), []
        self.tally = Tally(engine)

    def take(self, work, done, *args):
        """Calls done(*args) after the wait and the work; returns False if the queue is full."""
        if self.busy >= self.cores and self.max_waiting is not None and len(self.waiting) >= self.max_waiting:
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
    """Bandwidth shared equally by all transfers, each limited to its own maximum rate.

    All transfers have the same rate at any time, so its integral (the virtual time of fair queueing, Parekh
    and Gallager, 1993) determines when each ends. Starting or ending a transfer costs one heap operation.
    """

    def __init__(self, engine, rate, flow=None):
        """rate, flow: KB per unit of time, of all transfers together and of one at most."""
        self.engine, self.rate, self.flow = engine, rate, flow or rate
        self.virtual, self.since, self.count = 0.0, 0, 0
        # heap: (virtual end, number, size, entered, done, args)
        self.heap, self.gone, self.alarm_number = [], set(), 0
        self.running = set()
        self.tally = Tally(engine)
        self.asked = self.carried = self.dropped = 0.0

    def _pace(self):
        return min(self.flow, self.rate / max(1, len(self.running)))

    def _advance(self):
        self.virtual += (self.engine.now - self.since) * self._pace()
        self.since = self.engine.now

    def carry(self, size, done, *args):
        """Starts a transfer; calls done(*args) at its end. Returns its number, for give_up()."""
        self._advance()
        self.count += 1
        self.asked += size
        heappush(self.heap, (self.virtual + size, self.count, size, self.tally.enter(), done, args))
        self.running.add(self.count)
        self._set_alarm()
        return self.count

    def give_up(self, number):
        """Aborts a transfer; does nothing for one that has ended."""
        if number not in self.running:
            return
        self._advance()
        self.running.remove(number)
        self.gone.add(number)
        transfer = next(transfer for transfer in self.heap if transfer[1] == number)
        remaining = max(0.0, transfer[0] - self.virtual)
        self.dropped += remaining
        self.carried += transfer[2] - remaining
        self.tally.leave(transfer[3])
        self._set_alarm()

    def _set_alarm(self):
        """Schedules a call for the next end; earlier scheduled ones become void."""
        while self.heap and self.heap[0][1] in self.gone:
            self.gone.remove(heappop(self.heap)[1])
        self.alarm_number += 1
        if self.heap:
            remaining = max(0.0, self.heap[0][0] - self.virtual)
            self.engine.after(ceil(remaining / self._pace() - EPSILON), self._end, self.alarm_number)

    def _end(self, alarm_number):
        if alarm_number != self.alarm_number:
            return
        self._advance()
        ended = []
        while self.heap and (self.heap[0][1] in self.gone or self.heap[0][0] <= self.virtual + EPSILON):
            transfer = heappop(self.heap)
            if transfer[1] in self.gone:
                self.gone.remove(transfer[1])
                continue
            self.running.remove(transfer[1])
            self.carried += transfer[2]
            self.tally.leave(transfer[3])
            ended.append(transfer)
        self._set_alarm()
        for transfer in ended:
            transfer[4](*transfer[5])


class LruCache:
    """An LRU cache of so many KB; each copy has the time at which it was made."""

    def __init__(self, room):
        self.room, self.held, self.rows = room, 0.0, OrderedDict()  # name -> (size, made)

    def find(self, name, oldest=0):
        """Returns when the copy was made, or None if there is none made at `oldest` or later."""
        entry = self.rows.get(name)
        if entry is None or entry[1] < oldest:
            return None
        self.rows.move_to_end(name)
        return entry[1]

    def keep(self, name, size, made):
        """Stores a copy; returns the names of the evicted ones."""
        if size > self.room:
            return []
        if name in self.rows:
            self.held -= self.rows.pop(name)[0]
        self.rows[name] = size, made
        self.held += size
        evicted = []
        while self.held > self.room:
            oldest_name, (oldest_size, _) = self.rows.popitem(last=False)
            self.held -= oldest_size
            evicted.append(oldest_name)
        return evicted

    def flush(self):
        """Removes all copies."""
        self.rows.clear()
        self.held = 0.0
