"""A resource that audits: it keeps each duty's highest number, refuses lower ones, and takes one step after
the other.

python -m standins.register PORT FILE: a line of JSON in, one out; each that it took goes to FILE, a line.
"""

import json
import socketserver
import sys
import threading
import time


class Register:
    def __init__(self, out):
        self.out, self.rows, self.lock = out, {}, threading.Lock()

    def take(self, asked):
        duty, number, step = asked["duty"], asked["number"], asked["step"]
        with self.lock:
            highest, last = self.rows.get(duty, (0, 0))
            ok = number >= highest and step in (0, last + 1)
            if ok:
                last = max(last, step)
                self.rows[duty] = number, last
            print(
                json.dumps({**asked, "ok": ok, "highest": highest, "at": time.monotonic()}),
                file=self.out,
                flush=True,
            )
            return {"duty": duty, "number": number, "ok": ok, "step": last}


def serve(port, path):
    register = Register(open(path, "a"))

    class Handler(socketserver.StreamRequestHandler):
        def handle(self):
            try:
                for line in self.rfile:
                    self.wfile.write(json.dumps(register.take(json.loads(line))).encode() + b"\n")
            except OSError:
                pass  # the owner died or was cut off: what was taken stands

    class Server(socketserver.ThreadingTCPServer):
        allow_reuse_address = daemon_threads = True

    Server(("127.0.0.1", port), Handler).serve_forever()


if __name__ == "__main__":
    serve(int(sys.argv[1]), sys.argv[2])
