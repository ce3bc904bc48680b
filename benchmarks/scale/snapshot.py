"""What the operating system tells of the processes of a crowd at one moment, and of all between two."""

import os
import threading
import time
from collections.abc import Iterable
from typing import NamedTuple

from standins.crowd.region_crowd import RegionCrowd
from standins.sockets import Connection, Counts, connections, inodes

TICKS = os.sysconf("SC_CLK_TCK")  # a second, of the system's count of processor time
LAG_EVERY = 0.02  # seconds between looks at the benchmark's own lag

PURGE_FEED, KEEPER_STREAM, LOG = "purge_feed", "keeper_stream", "log"


class Traffic(NamedTuple):
    """Of one kind at one process."""

    sent: Counts = Counts()
    received: Counts = Counts()

    def plus(self, sent: Counts, received: Counts) -> "Traffic":
        """With what another connection carried."""
        return Traffic(self.sent.plus(sent), self.received.plus(received))


class Snapshot(NamedTuple):
    """at: Unix seconds; cpu: seconds by process; busy, total: seconds of all cores; carried: by inode."""

    at: float
    cpu: dict[str, float]
    memory_mb: dict[str, float]
    busy: float
    total: float
    carried: dict[int, Connection]
    kinds: dict[int, tuple[str, str]]  # inode -> process, kind of what it carries


def snapshot(crowd: RegionCrowd) -> Snapshot:
    """Of keepers, relays and real routers; the sockets of keepers and relays alone are told apart by kind."""
    processes = crowd.processes
    alive = processes.alive()
    cpu = {name: cpu_seconds(processes.by_name[name].pid) for name in alive}
    memory = {name: value * 1_000 / 1_024 for name, value in processes.memory().items()}
    carried = {each.inode: each for each in connections()}
    return Snapshot(time.time(), cpu, memory, *machine_seconds(), carried, _kinds(crowd, carried))


def cpu_seconds(pid: int) -> float:
    """Of a process with all of its threads, user and system."""
    with open(f"/proc/{pid}/stat") as stat:
        words = stat.read().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / TICKS


def machine_seconds() -> tuple[float, float]:
    """(busy, all) seconds of all cores since the machine's start."""
    with open("/proc/stat") as stat:
        words = [int(word) / TICKS for word in stat.readline().split()[1:9]]
    idle = words[3] + words[4]
    return sum(words) - idle, sum(words)


def busy_share(before: Snapshot, after: Snapshot) -> float:
    """Of all cores, by everything that ran on the machine."""
    return (after.busy - before.busy) / max(1e-9, after.total - before.total)


def carried(before: Snapshot, after: Snapshot) -> dict[tuple[str, str], Traffic]:
    """(process, kind) -> what its connections carried; of one that ended between, nothing is known."""
    found: dict[tuple[str, str], Traffic] = {}
    for inode, key in after.kinds.items():
        now, then = after.carried[inode], before.carried.get(inode)
        sent, received = now.sent, now.received
        if then is not None:
            sent, received = sent.since(then.sent), received.since(then.received)
        found[key] = found.get(key, Traffic()).plus(sent, received)
    return found


# ---- which connection carries what


def _kinds(crowd: RegionCrowd, carried: dict[int, Connection]) -> dict[int, tuple[str, str]]:
    links = _ports(carried, (remote.process.pid for remote in crowd.region_links.values()))
    held = {name: inodes(crowd.processes.by_name[name].pid) for name in crowd.keepers}
    keepers = {carried[inode].local_port for found in held.values() for inode in found if inode in carried}
    kinds = {}
    for name, found in held.items():
        desk, own = crowd.layout.desks[name], crowd.layout.listen_port[name]
        for inode in found & carried.keys():
            kind = _keeper_kind(carried[inode], desk, own, crowd.layout.listen_port.values(), links, keepers)
            if kind is not None:
                kinds[inode] = name, kind
    for name in (*crowd.layout.top_relays, *crowd.layout.zone_relays):
        if name in crowd.processes.by_name:
            for inode in inodes(crowd.processes.by_name[name].pid) & carried.keys():
                kinds[inode] = name, PURGE_FEED
    return kinds


def _keeper_kind(
    connection: Connection,
    desk: int,
    own: int,
    members: Iterable[int],
    links: set[int],
    keepers: set[int],
) -> str | None:
    """Of one connection of a keeper; None of those of commands and submitters."""
    if connection.local_port == desk:
        return PURGE_FEED if connection.peer_port in links else None
    if connection.local_port == own and connection.peer_port in links:
        return KEEPER_STREAM
    if connection.peer_port in keepers:
        return LOG
    return KEEPER_STREAM if connection.peer_port in members else None


def _ports(carried: dict[int, Connection], pids: Iterable[int]) -> set[int]:
    """Local ports of the connections that those processes hold."""
    return {carried[inode].local_port for pid in pids for inode in inodes(pid) & carried.keys()}


class LagMeter:
    """How late a thread of the benchmark itself wakes: that much is wrong with what it times."""

    def __init__(self) -> None:
        """It runs from now on."""
        self.worst, self._over = 0.0, threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def take(self) -> float:
        """The worst since it was last asked for, in seconds."""
        worst, self.worst = self.worst, 0.0
        return worst

    def stop(self) -> None:
        """Ends the thread."""
        self._over.set()
        self._thread.join()

    def _watch(self) -> None:
        before = time.monotonic()
        while not self._over.wait(LAG_EVERY):
            now = time.monotonic()
            self.worst = max(self.worst, now - before - LAG_EVERY)
            before = now
