"""A UDP proxy between processes that can drop, delay, duplicate, reorder and block datagrams.

Each member has a proxy address, which the other members know. A datagram sent to it is forwarded to the
member's own port, from the sender's proxy address. The proxy runs in a thread of the calling process.
"""

import heapq
import random
import select
import socket
import threading
import time


class DatagramProxy:
    """Forwards datagrams between members and applies the faults that are set on its attributes.

    ports: {name: port of the member}. proxy_ports: {name: port of the proxy}; a free port for any other name.
    loss, duplicate: probabilities; delay, jitter: seconds; cuts: pairs (sender, receiver) that are blocked;
    captured: the first 2,000 datagrams as (sender, receiver, data).
    """

    def __init__(self, ports, seed=1, proxy_ports=None):
        self.member_addresses = {name: ("127.0.0.1", port) for name, port in ports.items()}
        self.names_by_address = {address: name for name, address in self.member_addresses.items()}
        self.sockets = {}
        for name in ports:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(("127.0.0.1", proxy_ports.get(name, 0) if proxy_ports else 0))
            self.sockets[name] = sock
        self.ports = {name: sock.getsockname()[1] for name, sock in self.sockets.items()}
        self.rng, self.loss, self.duplicate, self.delay, self.jitter = random.Random(seed), 0.0, 0.0, 0.0, 0.0
        self.cuts, self.packets, self.bytes, self.closed, self.captured = set(), 0, 0, False, []
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        names_by_socket = {sock: name for name, sock in self.sockets.items()}
        pending, sequence = [], 0  # heap of (due time, sequence, sender, receiver, data)
        while not self.closed:
            timeout = max(0, min(0.2, pending[0][0] - time.monotonic())) if pending else 0.2
            for ready in select.select(list(names_by_socket), [], [], timeout)[0]:
                try:
                    data, address = ready.recvfrom(2_000)
                except OSError:
                    continue
                sender, receiver = self.names_by_address.get(address), names_by_socket[ready]
                self.packets, self.bytes = self.packets + 1, self.bytes + len(data)
                if len(self.captured) < 2_000:
                    self.captured.append((sender, receiver, data))
                if sender is None or (sender, receiver) in self.cuts or self.rng.random() < self.loss:
                    continue
                for _ in range(1 + (self.rng.random() < self.duplicate)):
                    sequence += 1
                    when = time.monotonic() + self.delay + self.jitter * self.rng.random()
                    heapq.heappush(pending, (when, sequence, sender, receiver, data))
            while pending and pending[0][0] <= time.monotonic():
                _, _, sender, receiver, data = heapq.heappop(pending)
                self.send(sender, receiver, data)

    def send(self, sender, receiver, data):
        """Sends a datagram in the name of a member; errors of the socket are ignored."""
        try:
            self.sockets[sender].sendto(data, self.member_addresses[receiver])
        except OSError:
            pass

    def split(self, *sides):
        """Partitions the network: blocks datagrams between members of different sides."""
        side = {name: number for number, names in enumerate(sides) for name in names}
        self.cuts = {
            (sender, receiver) for sender in side for receiver in side if side[sender] != side[receiver]
        }

    def heal(self):
        """Removes all faults."""
        self.cuts, self.loss, self.duplicate, self.delay, self.jitter = set(), 0.0, 0.0, 0.0, 0.0

    def close(self):
        """Stops the thread and closes the sockets."""
        self.closed = True
        time.sleep(0.01)
        for sock in self.sockets.values():
            sock.close()
