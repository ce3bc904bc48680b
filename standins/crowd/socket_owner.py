"""Finds the process that owns the other end of a loopback connection, by /proc."""

import os


def socket_inode(port, table="/proc/net/tcp"):
    """Returns the inode of the connected socket with that local port, None if there is none."""
    with open(table) as lines:
        next(lines)
        for line in lines:
            columns = line.split()
            if int(columns[1].rpartition(":")[2], 16) == port and columns[9] != "0":
                return columns[9]
    return None


def socket_owner(port, pids):
    """Returns the name of the process whose socket has that local port; pids: {name: process id}.

    None if it is no socket of these processes.
    """
    inode = socket_inode(port)
    target = f"socket:[{inode}]"
    for name, pid in pids.items() if inode else ():
        try:
            for descriptor in os.scandir(f"/proc/{pid}/fd"):
                if os.readlink(descriptor.path) == target:
                    return name
        except OSError:
            continue  # the process has ended, or the descriptor was closed in the meantime
    return None
