"""A router as a process on loopback, and small stand-ins for what it talks to."""

import os
import socketserver
import subprocess
import sys
import threading

from fleet import answer, answers


class Cache(socketserver.BaseRequestHandler):
    """Answers every request with its path, part 7 with much more; asked for part 9 it keeps silent."""

    def handle(self):
        head = b""
        while piece := self.request.recv(65536):
            head += piece
            while b"\r\n\r\n" in head:
                one, _, head = head.partition(b"\r\n\r\n")
                target = one.split(b" ")[1]
                if not target.endswith(b"/9"):
                    self.request.sendall(
                        answer(200, target * (7_000 if target.endswith(b"/7") else 1), *self.told())
                    )

    def told(self):
        """Further fields: none, so its copies are as old as can be."""
        return ()


class FeedStandIn(socketserver.BaseRequestHandler):
    def handle(self):
        self.request.recv(65536)
        self.request.sendall(b"HTTP/1.1 200 OK\r\n\r\n: here\n\n")
        self.request.recv(1)


class Standing:
    def __init__(self, handler):
        self.server = socketserver.ThreadingTCPServer(("127.0.0.1", 0), handler)
        self.server.daemon_threads = True
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.server.shutdown()
        self.server.server_close()


def ask(connection, data, count):
    connection.sendall(data)
    got = b""
    while len(seen := answers(got)) < count:
        piece = connection.recv(65536)
        assert piece
        got += piece
    return seen


def serving(path):
    process = subprocess.Popen(
        [sys.executable, "-m", "hookrouter", "serve"],
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "EDGE_CONFIG": str(path), "EDGE_NAME": "n1"},
    )
    said = process.stderr.readline()
    assert "serving: n1 on 127.0.0.1:" in said
    return process, int(said.rsplit(":", 1)[1])
