"""Traffic counters of the kernel for each TCP connection of this machine, and the sockets of a process.

They are read by sock_diag (netlink, without special rights): bytes and segments with data in both directions.
A segment with data is counted as a message: on loopback without Nagle's delay each write is one or a few.
"""

import os
import socket
import struct
from collections.abc import Iterator
from typing import NamedTuple

SOCK_DIAG = 4  # netlink family
SOCK_DIAG_BY_FAMILY = 20  # request type: all sockets of an address family
DUMP_FLAGS = 0x301  # request, root, match
DONE, ERROR = 3, 2  # kinds of netlink messages
ESTABLISHED = 1 << 1  # bit in the set of TCP states
INFO = 2  # the attribute with struct tcp_info
HEADER = struct.Struct("=IHHII")
REQUEST = struct.Struct("=BBBxI48x")
PORTS_OFFSET, PORTS = 4, struct.Struct("!HH")  # in struct inet_diag_msg
INODE_OFFSET = 68  # in the same
MESSAGE_LENGTH = 72  # of the same
ATTRIBUTE = struct.Struct("=HH")
BYTES_RECEIVED_OFFSET, SEGMENTS_OFFSET, BYTES_SENT_OFFSET = 128, 152, 200  # in struct tcp_info
RECEIVE_SIZE = 1 << 20


class Counts(NamedTuple):
    """Bytes and messages of one direction, or summed over several connections."""

    bytes: int = 0
    messages: int = 0

    def plus(self, other: "Counts") -> "Counts":
        """Returns the sum of both."""
        return Counts(self.bytes + other.bytes, self.messages + other.messages)

    def since(self, earlier: "Counts") -> "Counts":
        """Returns the increase since an earlier reading."""
        return Counts(self.bytes - earlier.bytes, self.messages - earlier.messages)


class Connection(NamedTuple):
    """One endpoint of an established connection, with the counters of the kernel."""

    inode: int
    local_port: int
    peer_port: int
    sent: Counts
    received: Counts


def connections() -> list[Connection]:
    """Returns all established TCP connections over IPv4; raises OSError if the kernel refuses."""
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, SOCK_DIAG) as netlink:
        body = REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 1 << (INFO - 1), ESTABLISHED)
        netlink.send(HEADER.pack(HEADER.size + len(body), SOCK_DIAG_BY_FAMILY, DUMP_FLAGS, 1, 0) + body)
        found = []
        while True:
            for kind, message in _messages(netlink.recv(RECEIVE_SIZE)):
                if kind == DONE:
                    return found
                if kind == ERROR:
                    raise OSError("the kernel refused to list the sockets (sock_diag)")
                found.append(_connection(message))


def inodes(pid: int) -> set[int]:
    """Returns the inodes of a process's sockets; an empty set if it has ended."""
    found = set()
    try:
        descriptors = list(os.scandir(f"/proc/{pid}/fd"))
    except OSError:
        return found
    for descriptor in descriptors:
        try:
            target = os.readlink(descriptor.path)
        except OSError:
            continue  # was closed in the meantime
        if target.startswith("socket:["):
            found.add(int(target[8:-1]))
    return found


def _messages(data: bytes) -> Iterator[tuple[int, bytes]]:
    offset = 0
    while offset + HEADER.size <= len(data):
        length, kind, *_ = HEADER.unpack_from(data, offset)
        yield kind, data[offset + HEADER.size : offset + length]
        offset += length + 3 & ~3


def _connection(message: bytes) -> Connection:
    local, peer = PORTS.unpack_from(message, PORTS_OFFSET)
    (inode,) = struct.unpack_from("=I", message, INODE_OFFSET)
    info = _attribute(message, INFO)
    (received,) = struct.unpack_from("=Q", info, BYTES_RECEIVED_OFFSET)
    segments_in, segments_out = struct.unpack_from("=II", info, SEGMENTS_OFFSET)
    (sent,) = struct.unpack_from("=Q", info, BYTES_SENT_OFFSET)
    return Connection(inode, local, peer, Counts(sent, segments_out), Counts(received, segments_in))


def _attribute(message: bytes, wanted: int) -> bytes:
    offset = MESSAGE_LENGTH
    while offset + ATTRIBUTE.size <= len(message):
        length, kind = ATTRIBUTE.unpack_from(message, offset)
        if kind == wanted:
            return message[offset + ATTRIBUTE.size : offset + length]
        offset += length + 3 & ~3
    raise OSError("the kernel's answer has no tcp_info for a connection")
