"""A real desk, a process of its own, and who submits to it."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys

SECRET = "benchmark-secret-of-no-worth"
SITE = """
[purges]
desk = 127.0.0.1:{port}
secret = {folder}/secret
skew = 0 ms
[desk]
listen = 127.0.0.1:{port}
store = {folder}/purges.db
most live = 5000000
"""


class Desk:
    """A process of its own, on a store in a folder of its own."""

    def __init__(self, folder, port=None):
        self.folder = folder
        if port is None:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                port = probe.getsockname()[1]
        self.port, self.process = port, None
        with open(os.open(f"{folder}/secret", os.O_CREAT | os.O_WRONLY, 0o600), "w") as file:
            file.write(SECRET)
        with open(f"{folder}/site.ini", "w") as file:
            file.write(SITE.format(port=port, folder=folder))

    def start(self):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "hookrouter", "purges", "serve", "--site", f"{self.folder}/site.ini"],
            stderr=subprocess.PIPE,
            text=True,
        )
        line = self.process.stderr.readline()
        if "serving purges" not in line:
            raise RuntimeError(line + self.process.stderr.read())

    def kill(self, number=signal.SIGKILL):
        self.process.send_signal(number)
        self.process.wait()
        self.process.stderr.close()

    def caller(self):
        return Caller(self.port)


class Caller:
    def __init__(self, port):
        self.connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)

    def submit(self, key, items):
        body = json.dumps({"key": key, "purges": [{"sort": kind, "what": what} for kind, what in items]})
        self.connection.request("POST", "/v1/purges", body, {"Authorization": f"Bearer {SECRET}"})
        answer = self.connection.getresponse()
        return answer.status, json.loads(answer.read())
