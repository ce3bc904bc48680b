"""A resource protected by fencing tokens, with an audit log of all requests.

It keeps the highest fencing number of each duty, refuses requests with a lower one, and accepts the steps of
a duty only in order, without gaps.

python -m standins.register PORT FILE: reads one JSON request a line and answers with one JSON line; each
request and its outcome are appended to FILE.
"""

import json
import socketserver
import sys
import threading
import time


class Register:
    """The highest number and the last step of each duty; out: the audit log."""

    def __init__(self, out):
        self.out, self.rows, self.lock = out, {}, threading.Lock()

    def take(self, request):
        """Accepts or refuses a request, logs it and returns the answer."""
        duty, number, step = request["duty"], request["number"], request["step"]
        with self.lock:
            highest, last = self.rows.get(duty, (0, 0))
            accepted = number >= highest and step in (0, last + 1)
            if accepted:
                last = max(last, step)
                self.rows[duty] = number, last
            print(
                json.dumps({**request, "ok": accepted, "highest": highest, "at": time.monotonic()}),
                file=self.out,
                flush=True,
            )
            return {"duty": duty, "number": number, "ok": accepted, "step": last}


def serve(port, path):
    """Serves requests on a port until the process is killed; appends the audit log to path."""
    register = Register(open(path, "a"))

    class Handler(socketserver.StreamRequestHandler):
        def handle(self):
            try:
                for line in self.rfile:
                    self.wfile.write(json.dumps(register.take(json.loads(line))).encode() + b"\n")
            except OSError:
                pass  # the owner died or was cut off; accepted requests stay accepted

    class Server(socketserver.ThreadingTCPServer):
        allow_reuse_address = daemon_threads = True

    Server(("127.0.0.1", port), Handler).serve_forever()


if __name__ == "__main__":
    serve(int(sys.argv[1]), sys.argv[2])
