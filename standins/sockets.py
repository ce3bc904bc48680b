"""What the system has counted on each TCP connection of this machine, by the process that holds it.

Asked of the kernel by sock_diag (netlink, no right needed): bytes and segments that carry data, both ways.
A segment with data stands for a message: on loopback, without delay for more, each write is one or a few.
"""

import os
import socket
import struct
from collections.abc import Iterator
from typing import NamedTuple

SOCK_DIAG = 4  # netlink family
BY_FAMILY = 20  # the request for all sockets of a family
DUMP = 0x301  # request, root, match
DONE, ERROR = 3, 2  # kinds of netlink messages
ESTABLISHED = 1 << 1  # in the set of TCP states
INFO = 2  # the attribute with struct tcp_info
HEAD = struct.Struct("=IHHII")
REQUEST = struct.Struct("=BBBxI48x")
PORTS_AT, PORTS = 4, struct.Struct("!HH")  # in struct inet_diag_msg
INODE_AT = 68  # in the same
MESSAGE_LENGTH = 72  # of the same
ATTRIBUTE = struct.Struct("=HH")
BYTES_RECEIVED_AT, SEGMENTS_AT, BYTES_SENT_AT = 128, 152, 200  # in struct tcp_info
PIECE = 1 << 20


class Counts(NamedTuple):
    """Of one direction, or of several connections together."""

    bytes: int = 0
    messages: int = 0

    def plus(self, other: "Counts") -> "Counts":
        """Both together."""
        return Counts(self.bytes + other.bytes, self.messages + other.messages)

    def since(self, earlier: "Counts") -> "Counts":
        """What came to it after an earlier look."""
        return Counts(self.bytes - earlier.bytes, self.messages - earlier.messages)


class Connection(NamedTuple):
    """One end of an established connection, as the system has counted it."""

    inode: int
    local_port: int
    peer_port: int
    sent: Counts
    received: Counts


def connections() -> list[Connection]:
    """All established TCP connections over IPv4."""
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, SOCK_DIAG) as asked:
        body = REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 1 << (INFO - 1), ESTABLISHED)
        asked.send(HEAD.pack(HEAD.size + len(body), BY_FAMILY, DUMP, 1, 0) + body)
        found = []
        while True:
            for kind, message in _messages(asked.recv(PIECE)):
                if kind == DONE:
                    return found
                if kind == ERROR:
                    raise OSError("the system does not tell of sockets")
                found.append(_connection(message))


def inodes(pid: int) -> set[int]:
    """Of the sockets that a process holds; none where it has ended."""
    found = set()
    try:
        descriptors = list(os.scandir(f"/proc/{pid}/fd"))
    except OSError:
        return found
    for descriptor in descriptors:
        try:
            target = os.readlink(descriptor.path)
        except OSError:
            continue  # closed meanwhile
        if target.startswith("socket:["):
            found.add(int(target[8:-1]))
    return found


def _messages(data: bytes) -> Iterator[tuple[int, bytes]]:
    at = 0
    while at + HEAD.size <= len(data):
        length, kind, *_ = HEAD.unpack_from(data, at)
        yield kind, data[at + HEAD.size : at + length]
        at += length + 3 & ~3


def _connection(message: bytes) -> Connection:
    local, peer = PORTS.unpack_from(message, PORTS_AT)
    (inode,) = struct.unpack_from("=I", message, INODE_AT)
    info = _attribute(message, INFO)
    (received,) = struct.unpack_from("=Q", info, BYTES_RECEIVED_AT)
    segments_in, segments_out = struct.unpack_from("=II", info, SEGMENTS_AT)
    (sent,) = struct.unpack_from("=Q", info, BYTES_SENT_AT)
    return Connection(inode, local, peer, Counts(sent, segments_out), Counts(received, segments_in))


def _attribute(message: bytes, wanted: int) -> bytes:
    at = MESSAGE_LENGTH
    while at + ATTRIBUTE.size <= len(message):
        length, kind = ATTRIBUTE.unpack_from(message, at)
        if kind == wanted:
            return message[at + ATTRIBUTE.size : at + length]
        at += length + 3 & ~3
    raise OSError("the system does not tell what a connection carried")
