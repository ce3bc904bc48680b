"""Which process holds the other end of a connection on this machine, from what the system shows of both."""

import os


def socket_inode(port, table="/proc/net/tcp"):
    """Of the socket that has that local port and a peer, or None."""
    with open(table) as lines:
        next(lines)
        for line in lines:
            words = line.split()
            if int(words[1].rpartition(":")[2], 16) == port and words[9] != "0":
                return words[9]
    return None


def socket_owner(port, pids):
    """The name, of pids {name: process id}, whose socket has that local port; None where none has."""
    found = socket_inode(port)
    wanted = f"socket:[{found}]"
    for name, pid in pids.items() if found else ():
        try:
            for descriptor in os.scandir(f"/proc/{pid}/fd"):
                if os.readlink(descriptor.path) == wanted:
                    return name
        except OSError:
            continue  # it has ended, or the descriptor was closed meanwhile
    return None
