"""A cache that notes until when each request may be answered; one thread, so that it notes at once.

python -m standins.recording_cache PORT FILE

FILE gets a line for each request: the id, and the time of its arrival plus its X-Patience, in seconds of
CLOCK_MONOTONIC.
"""

import selectors
import socket
import sys
import time

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"


def serve(port: int, path: str) -> None:
    """Serves until it is killed."""
    listener = socket.create_server(("127.0.0.1", port), backlog=512)
    listener.setblocking(False)
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ)
    with open(path, "w", buffering=1) as out:
        while True:
            for key, _ in selector.select():
                if key.fileobj is listener:
                    selector.register(listener.accept()[0], selectors.EVENT_READ)
                else:
                    answer_one(selector, key.fileobj, out)


def answer_one(selector: selectors.BaseSelector, connection: socket.socket, out: object) -> None:
    """Notes and answers what has arrived on a connection: a whole request, as routers write it."""
    try:
        request = connection.recv(65_536)
        arrived_at = time.monotonic()
        if not request:
            raise ConnectionError
        fields = dict(line.split(b": ", 1) for line in request.split(b"\r\n\r\n")[0].split(b"\r\n")[1:])
        until = arrived_at + int(fields[b"X-Patience"]) / 1000
        print(fields[b"X-Trace"].decode(), until, file=out)
        connection.sendall(ANSWER)
    except ConnectionError:
        selector.unregister(connection)
        connection.close()


if __name__ == "__main__":
    serve(int(sys.argv[1]), sys.argv[2])
