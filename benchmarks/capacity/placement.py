"""Where the machines for control stand, and what runs on after some are lost."""

from enum import Enum
from itertools import combinations
from math import ceil
from typing import NamedTuple


class Process(Enum):
    """What runs on a control machine."""

    KEEPER = "keeper"
    RELAY = "relay"


class ControlMachine(NamedTuple):
    """One machine, the region that it stands in, and its processes."""

    name: str
    region: int
    processes: tuple[Process, ...]


class Survival(NamedTuple):
    """What is left after some machines are lost, at the worst choice of them."""

    keepers_left: int
    quorum: int
    relays_left: int
    routers_per_relay: int
    routers_without_relay: int  # whose one relay is lost
    regions_without_machine: int

    @property
    def owner(self) -> bool:
        """Whether the duties still find an owner."""
        return self.keepers_left >= self.quorum


def place(machines: int, keepers: int, regions: int) -> tuple[ControlMachine, ...]:
    """A relay on each machine, keepers on the first of them, a region each as far as machines go."""
    if keepers > machines:
        raise ValueError(f"{keepers} keepers want as many machines, there are {machines}")
    return tuple(
        ControlMachine(
            f"c{number + 1}",
            number % regions,
            (Process.KEEPER, Process.RELAY) if number < keepers else (Process.RELAY,),
        )
        for number in range(machines)
    )


def quorum(keepers: int) -> int:
    """A majority of them."""
    return keepers // 2 + 1


def after_loss(machines: tuple[ControlMachine, ...], lost: int, regions: int, routers: int) -> Survival:
    """At the worst choice: fewest keepers left, then most regions without a machine."""
    keepers = sum(Process.KEEPER in machine.processes for machine in machines)
    worst = None
    for gone in combinations(range(len(machines)), lost):
        left = [machine for number, machine in enumerate(machines) if number not in gone]
        kept = sum(Process.KEEPER in machine.processes for machine in left)
        seen = len({machine.region for machine in left})
        found = Survival(
            kept,
            quorum(keepers),
            len(left),
            ceil(routers / len(left)) if left else 0,
            ceil(routers * lost / len(machines)),
            regions - seen,
        )
        key = (found.keepers_left, -found.regions_without_machine)
        if worst is None or key < worst[0]:
            worst = (key, found)
    return worst[1]
