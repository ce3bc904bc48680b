"""Ports that nobody else gets meanwhile: below those that the system gives to outgoing connections."""

import os
import socket

FIRST, LAST = 11_000, 32_000
APART = 997  # between the first ports of two processes that run beside each other


class Ports:
    """Each port once in a run; free for streams and datagrams when it was given out."""

    def __init__(self) -> None:
        """Begins at a port that depends on the process."""
        self.next = FIRST + os.getpid() * APART % (LAST - FIRST)

    def take(self) -> int:
        """The next one; OSError where none is free."""
        for _ in range(LAST - FIRST):
            port = self.next
            self.next = FIRST + (port + 1 - FIRST) % (LAST - FIRST)
            if _is_free(port):
                return port
        raise OSError("no port is free")


def _is_free(port: int) -> bool:
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as tried:
                tried.bind(("127.0.0.1", port))
    except OSError:
        return False
    return True


_PORTS_OF_PROCESS = Ports()


def free_port() -> int:
    """A port that this process has given to nobody before."""
    return _PORTS_OF_PROCESS.take()
