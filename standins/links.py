"""Links between processes that can be cut: each a port that is passed on to another, both ways apart.

In a thread of whoever uses it. A link passes, is cut by reset, swallows silently one way or both, or delays.
"""

import select
import socket
import threading
import time

PIECE = 65_536


class Link:
    """state: {True: way to the target, False: way back}: "pass" or "swallow"; delay in seconds of each
    piece.
    """

    def __init__(self, target):
        self.target, self.ways, self.delay, self.closed = target, {True: "pass", False: "pass"}, 0.0, False
        self.server = socket.create_server(("127.0.0.1", 0))
        self.port = self.server.getsockname()[1]
        self.pairs, self.lock, self.bytes = [], threading.Lock(), 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.closed:
            try:
                came, _ = self.server.accept()
                try:
                    went = socket.create_connection(self.target, 1.0)
                except OSError:
                    came.close()
                    continue
            except OSError:
                return
            with self.lock:
                self.pairs.append((came, went))
            for source, sink, way in ((came, went, True), (went, came, False)):
                threading.Thread(target=self._pass, args=(source, sink, way), daemon=True).start()

    def _pass(self, source, sink, way):
        try:
            while not self.closed:
                if not select.select([source], [], [], 0.5)[0]:
                    continue
                piece = source.recv(PIECE)
                if not piece:
                    break
                if self.delay:
                    time.sleep(self.delay)
                self.bytes += len(piece)
                if self.ways[way] == "pass":
                    sink.sendall(piece)
        except (OSError, ValueError):
            pass
        for end in (source, sink):
            try:
                end.close()
            except OSError:
                pass

    def swallow(self, to=True, back=True):
        """What goes that way is taken and lost; nothing is closed."""
        self.ways = {True: "swallow" if to else "pass", False: "swallow" if back else "pass"}

    def reset(self):
        """What is open ends by RST, between two bytes as it may be."""
        with self.lock:
            pairs, self.pairs = self.pairs, []
        for pair in pairs:
            for end in pair:
                try:
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    end.close()
                except OSError:
                    pass

    def heal(self):
        """A stream that lost bytes can never be sound again: it ends."""
        self.ways = {True: "pass", False: "pass"}
        self.reset()

    def close(self):
        self.closed = True
        self.server.close()
        self.reset()
