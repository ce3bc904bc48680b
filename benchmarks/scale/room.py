"""What a scale run needs of the machine, looked at before anything is started."""

import os
import resource
from collections.abc import Iterable
from typing import NamedTuple

from .errors import NotEnoughRoom

MB = 1 << 20
SHARE_OF_MEMORY = 0.5  # of the machine's: others work on it, too
SERVE_MB, HOLLOW_PROCESS_MB, HOLLOW_MB, CONTROL_MB, STANDIN_MB = 60, 45, 2.5, 70, 90
STANDINS = 2  # processes of caches and of clients; one more for each region
DESCRIPTORS_OF_HOLLOW = 16  # feed, renewals, streams to keepers, its two ports, connections that come and go
DESCRIPTORS_OF_FOLLOWER = 3  # at a relay: feed, renewals, one that is being replaced
DESCRIPTORS_OF_PROCESS = 200  # files, pipes, caches, whatever the routers are


class Wanted(NamedTuple):
    """How large a run is."""

    hollow: int
    in_process: int
    real: int
    keepers: int
    relays: int
    regions: int
    zones: int

    def processes(self) -> int:
        """That will be started."""
        hollow = -(-self.hollow // self.in_process)
        return hollow + self.real + self.keepers + self.relays + self.regions + STANDINS

    def memory_mb(self) -> float:
        """Resident at the end."""
        hollow = -(-self.hollow // self.in_process) * HOLLOW_PROCESS_MB + self.hollow * HOLLOW_MB
        control = (self.keepers + self.relays) * CONTROL_MB
        return hollow + self.real * SERVE_MB + control + (self.regions + STANDINS) * STANDIN_MB

    def descriptors(self) -> int:
        """Of the process that needs most."""
        in_region = (self.hollow + self.real) // self.regions
        in_zone = (self.hollow + self.real) // self.zones
        return DESCRIPTORS_OF_PROCESS + max(
            self.in_process * DESCRIPTORS_OF_HOLLOW,
            in_zone * DESCRIPTORS_OF_FOLLOWER,
            in_region * 2 * self.keepers,  # both ends of each stream through the region's link
        )


class Room(NamedTuple):
    """What the machine has."""

    memory_mb: float
    available_mb: float
    descriptors: float
    processes: float


def machine() -> Room:
    """As the system tells it."""
    with open("/proc/meminfo") as lines:
        rows = dict(line.split(":") for line in lines)
    total, available = (int(rows[key].split()[0]) / 1_024 for key in ("MemTotal", "MemAvailable"))
    return Room(total, available, _limit(resource.RLIMIT_NOFILE), _limit(resource.RLIMIT_NPROC))


def check(wanted: Wanted, room: Room) -> None:
    """NotEnoughRoom names all that is missing in one line."""
    missing = list(_missing(wanted, room))
    if missing:
        raise NotEnoughRoom("; ".join(missing))


def _missing(wanted: Wanted, room: Room) -> Iterable[str]:
    memory = wanted.memory_mb()
    bound = min(SHARE_OF_MEMORY * room.memory_mb, room.available_mb)
    if memory > bound:
        yield f"memory: {memory:.0f} MB are wanted, {bound:.0f} MB may be used"
    if wanted.descriptors() > room.descriptors:
        yield f"descriptors: {wanted.descriptors()} a process are wanted, {room.descriptors:.0f} are allowed"
    if wanted.processes() > room.processes:
        yield f"processes: {wanted.processes()} are wanted, {room.processes:.0f} are allowed"


def _limit(what: int) -> float:
    soft, _ = resource.getrlimit(what)
    return float("inf") if soft == resource.RLIM_INFINITY else soft


def cores() -> int:
    """That this process may run on."""
    return len(os.sched_getaffinity(0))
