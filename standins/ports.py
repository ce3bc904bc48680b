"""Free ports for tests, below the range from which the system assigns ports to outgoing connections.

So no other socket of the machine is given a port between its allocation here and its use.
"""

import os
import socket

FIRST, LAST = 11_000, 32_000
PROCESS_STRIDE = 997  # distance between the first ports of processes with consecutive ids


class Ports:
    """Allocates each port once; a port is free for TCP and UDP when it is allocated."""

    def __init__(self) -> None:
        """Starts at a port that depends on the process id, so that parallel processes rarely collide."""
        self.next = FIRST + os.getpid() * PROCESS_STRIDE % (LAST - FIRST)

    def take(self) -> int:
        """Returns the next free port; raises OSError if there is none."""
        for _ in range(LAST - FIRST):
            port = self.next
            self.next = FIRST + (port + 1 - FIRST) % (LAST - FIRST)
            if _is_free(port):
                return port
        raise OSError("no port is free")


def _is_free(port: int) -> bool:
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                probe.bind(("127.0.0.1", port))
    except OSError:
        return False
    return True


_PORTS_OF_PROCESS = Ports()


def free_port() -> int:
    """Returns a free port that this process has not allocated before."""
    return _PORTS_OF_PROCESS.take()
