"""Datagrams between processes, through one place that can lose, delay, double, reorder and cut them.

Each member has an address here that the others know; what comes to it goes on to the member's own port, from
the sender's address here. In a thread of whoever uses it.
"""

import heapq
import random
import select
import socket
import threading
import time


class DatagramProxy:
    """ports: {name: its own port}; at: {name: its port here}, any where it is not said. cut(a, b): whether
    what a sends does not reach b; all else as set.
    """

    def __init__(self, ports, seed=1, at=None):
        self.real = {name: ("127.0.0.1", port) for name, port in ports.items()}
        self.names = {address: name for name, address in self.real.items()}
        self.sockets = {}
        for name in ports:
            made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            made.bind(("127.0.0.1", at.get(name, 0) if at else 0))
            self.sockets[name] = made
        self.ports = {name: made.getsockname()[1] for name, made in self.sockets.items()}
        self.dice, self.loss, self.double, self.delay, self.jitter = random.Random(seed), 0.0, 0.0, 0.0, 0.0
        self.cuts, self.packets, self.bytes, self.closed, self.captured = set(), 0, 0, False, []
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        by_socket = {made: name for name, made in self.sockets.items()}
        waiting, count = [], 0  # heap of (when, count, from, to, data)
        while not self.closed:
            until = max(0, min(0.2, waiting[0][0] - time.monotonic())) if waiting else 0.2
            for ready in select.select(list(by_socket), [], [], until)[0]:
                try:
                    data, address = ready.recvfrom(2_000)
                except OSError:
                    continue
                sender, to = self.names.get(address), by_socket[ready]
                self.packets, self.bytes = self.packets + 1, self.bytes + len(data)
                if len(self.captured) < 2_000:
                    self.captured.append((sender, to, data))
                if sender is None or (sender, to) in self.cuts or self.dice.random() < self.loss:
                    continue
                for _ in range(1 + (self.dice.random() < self.double)):
                    count += 1
                    when = time.monotonic() + self.delay + self.jitter * self.dice.random()
                    heapq.heappush(waiting, (when, count, sender, to, data))
            while waiting and waiting[0][0] <= time.monotonic():
                _, _, sender, to, data = heapq.heappop(waiting)
                self.send(sender, to, data)

    def send(self, sender, to, data):
        """As if that member had sent it."""
        try:
            self.sockets[sender].sendto(data, self.real[to])
        except OSError:
            pass

    def split(self, *sides):
        """Nothing goes between members of different sides."""
        side = {name: n for n, names in enumerate(sides) for name in names}
        self.cuts = {(a, b) for a in side for b in side if side[a] != side[b]}

    def heal(self):
        self.cuts, self.loss, self.double, self.delay, self.jitter = set(), 0.0, 0.0, 0.0, 0.0

    def close(self):
        self.closed = True
        time.sleep(0.01)
        for made in self.sockets.values():
            made.close()
