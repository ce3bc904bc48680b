"""Runs a command of the program with short reads of its client connections.

python -m standins.short_reads BYTES WORDS...

WORDS are the command of the program; each read returns BYTES bytes at most. read(2) may return less than what
has arrived; what stands behind it is then read later, while the first part is already being processed.
"""

import sys

from twisted.internet import tcp


def install(size: int) -> None:
    """Limits each read of an accepted connection to size bytes."""
    tcp.Server.bufferSize = size


if __name__ == "__main__":
    install(int(sys.argv[1]))
    from hookrouter.command import main

    sys.exit(main(sys.argv[2:]))
