"""A fleet of regions as real processes: control machines, relays, routers, some of them hollow."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from .crowd import Crowd
from .desk_client import DeskClient
from .handles import Load
from .hollow import HollowGroup, HollowRouters, ReportFile
from .regions import PURGES_SECRET, Plan, RegionLayout

LOOK_EVERY = 0.1  # seconds between looks whether something has come about
MEANWHILE_EVERY = 10.0  # seconds between two calls in a long wait
REAL_REPORT_EVERY = "0.5"  # seconds, of the real routers and keepers that are counted
READY_WITHIN = 30.0  # seconds for each step of the start


class NotReady(RuntimeError):
    """A step of the start did not come about in its time; the text names it."""


class RegionCrowd(Crowd):
    """As Crowd, by a plan. routers: the real ones of the fleet; plain: those that are no part of it.

    loaded: how many of the real routers get lookups, the first ones.
    in_process: hollow routers a process. delay: seconds one way between a region and the control machines.
    tell(text): what is being started, for a person.
    """

    def __init__(
        self,
        folder: Path,
        plan: Plan,
        loaded: int,
        in_process: int,
        delay: float,
        seed: int = 1,
        tell: Callable[[str], None] = lambda text: None,
    ) -> None:
        """Nothing is started yet, and no file written."""
        layout = RegionLayout(folder, plan)
        super().__init__(
            folder,
            plan.real + plan.plain,
            plan.caches,
            layout=layout,
            seed=seed,
            program=self._program,
            report="inline",
        )
        self.plan, self.delay, self.tell = plan, delay, tell
        self.routers, self.plain = self.routers[: plan.real], layout.plain
        self.loaded, self.unloaded = self.routers[:loaded], self.routers[loaded:]
        self.alone: list[HollowGroup] = []
        self.region_links: dict[str, Any] = {}
        self.hollow = HollowRouters(layout, seed, in_process)
        self.counted = {
            name: ReportFile(layout.folder / f"{name}.reports") for name in (*self.routers, *self.keepers)
        }
        self.desk = DeskClient(list(layout.desks.values()), PURGES_SECRET)

    def _program(self, name: str) -> tuple[str, ...]:
        if name in self.counted:
            return "standins.hollow.counted", str(self.layout.folder / f"{name}.reports"), REAL_REPORT_EVERY
        return ("hookrouter",)

    def _environment(self, name: str) -> dict[str, str]:
        return super()._environment(name) if name in self.layout.routers else {}

    # ---- start and end

    def _begin(self) -> None:
        layout, begun = self.layout, time.monotonic()
        self.caches = self._caches()
        for region in layout.regions:
            folder = layout.folder / region
            folder.mkdir()
            spec = {**layout.region_link(region), "seed": self.seed}
            self.region_links[region] = self._remote("relay", spec, folder)
            self._delay(region)
        layout.write()
        self.tell("keepers")
        self.start(*self.keepers)
        self.wait("a desk", lambda: self.desk.call("GET", "/v1/status"))
        for tier in (layout.top_relays, layout.zone_relays):
            self.tell(f"{len(tier)} relays")
            self.start(*tier)
            for name, port in tier.items():
                self.wait(name, lambda port=port: self.relay_status(port))
        self.tell(f"{len(self.routers)} real routers")
        self.start(*self.routers, *self.plain)
        clients = {
            "routers": {name: layout.port[name] for name in self.loaded},
            "seed": self.seed,
            "connections": self.connections,
        }
        self.load = Load(self._remote("clients", clients), self.folder)
        self.ready_after = time.monotonic() - begun

    def end(self) -> None:
        """All processes, by id, hollow ones first; nothing is left, whatever went wrong before."""
        self.desk.close()
        self.hollow.end()
        super().end()

    def wait(
        self,
        what: str,
        found: Callable[[], Any],
        within: float = READY_WITHIN,
        meanwhile: Callable[[], None] | None = None,
    ) -> Any:
        """The first true value of found(); NotReady where none comes in time. meanwhile: see grow."""
        begun = called = time.monotonic()
        while not (value := found()):
            now = time.monotonic()
            if now > begun + within:
                raise NotReady(f"{what} is not there after {within:g} s")
            if meanwhile is not None and now > called + MEANWHILE_EVERY:
                meanwhile()
                called = now
            time.sleep(LOOK_EVERY)
        return value

    def grow(
        self, hollow: int, within: float = 2 * READY_WITHIN, meanwhile: Callable[[], None] | None = None
    ) -> None:
        """Until there are so many hollow routers, all with a lease, and all see all alive.

        meanwhile: called each MEANWHILE_EVERY seconds of the wait, for what must not go unseen that long.
        """
        if not self.hollow.groups and self.plan.alone:
            self.alone = self.hollow.start(self.plan.alone, in_process=1)
        further = hollow - self.hollow.count()
        self.tell(f"{hollow} hollow routers")
        if further > 0:
            self.hollow.start(further)
        members = hollow + len(self.routers) + len(self.keepers)
        self.wait(f"a fleet of {members}", lambda: self.whole(members), within, meanwhile)

    def whole(self, members: int) -> bool:
        """Whether each hollow router has a lease and sees so many members alive."""
        self.read()
        return self.hollow.current() == self.hollow.count() and (
            not self.hollow.groups or self.hollow.least_alive() >= members
        )

    def read(self) -> None:
        """Takes in all reports so far."""
        self.hollow.read()
        for file in self.counted.values():
            file.read()

    # ---- regions

    def cut_region(self, region: str) -> None:
        """Nothing goes between a region's routers or relays and the control machines."""
        for name in (*self.keepers, *(f"desk-{name}" for name in self.keepers)):
            self.region_links[region].call("cut", a=region, b=name)

    def heal_region(self, region: str) -> None:
        """The end of a cut; the delay stays."""
        self.region_links[region].call("heal")
        self._delay(region)

    def _delay(self, region: str) -> None:
        self.region_links[region].call("hold", seconds=self.delay, streams=True)

    # ---- purges

    def relay_status(self, port: int) -> Any:
        """What a relay knows of itself and its members, None where it does not answer."""
        client = DeskClient([port], PURGES_SECRET)
        try:
            return client.call("GET", "/v1/status")
        finally:
            client.close()

    def positions(self) -> dict[str, int]:
        """The newest purge of each router that a zone's relay counts as live."""
        return {
            row["name"]: row["n"]
            for port in self.layout.zone_relays.values()
            for row in (self.relay_status(port) or {"members": ()})["members"]
            if row["state"] == "live"
        }
