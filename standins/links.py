"""A TCP proxy between two processes that can reset, blackhole or delay its connections.

Each direction is controlled separately. The proxy runs in threads of the calling process.
"""

import select
import socket
import threading
import time

CHUNK_SIZE = 65_536


class Link:
    """Forwards connections from its own port to target, an address.

    modes: "pass" or "swallow" for each direction, True being the one to the target. delay: seconds that each
    chunk is held back.
    """

    def __init__(self, target):
        self.target, self.modes, self.delay, self.closed = target, {True: "pass", False: "pass"}, 0.0, False
        self.server = socket.create_server(("127.0.0.1", 0))
        self.port = self.server.getsockname()[1]
        self.connections, self.lock, self.bytes = [], threading.Lock(), 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.closed:
            try:
                accepted, _ = self.server.accept()
                try:
                    connected = socket.create_connection(self.target, 1.0)
                except OSError:
                    accepted.close()
                    continue
            except OSError:
                return
            with self.lock:
                self.connections.append((accepted, connected))
            for source, destination, forward in ((accepted, connected, True), (connected, accepted, False)):
                threading.Thread(target=self._copy, args=(source, destination, forward), daemon=True).start()

    def _copy(self, source, destination, forward):
        try:
            while not self.closed:
                if not select.select([source], [], [], 0.5)[0]:
                    continue
                chunk = source.recv(CHUNK_SIZE)
                if not chunk:
                    break
                if self.delay:
                    time.sleep(self.delay)
                self.bytes += len(chunk)
                if self.modes[forward] == "pass":
                    destination.sendall(chunk)
        except (OSError, ValueError):
            pass
        for sock in (source, destination):
            try:
                sock.close()
            except OSError:
                pass

    def blackhole(self, forward=True, backward=True):
        """Reads and drops all data of the given directions; connections stay open."""
        self.modes = {True: "swallow" if forward else "pass", False: "swallow" if backward else "pass"}

    def reset(self):
        """Ends all open connections with RST, possibly in the middle of a message."""
        with self.lock:
            connections, self.connections = self.connections, []
        for pair in connections:
            for sock in pair:
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    sock.close()
                except OSError:
                    pass

    def heal(self):
        """Forwards data again; open connections are reset, since they may have lost bytes."""
        self.modes = {True: "pass", False: "pass"}
        self.reset()

    def close(self):
        """Stops listening and resets all connections."""
        self.closed = True
        self.server.close()
        self.reset()
