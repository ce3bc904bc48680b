"""A fleet of several regions as real processes: control machines, relays, real and hollow routers."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from .crowd import Crowd
from .desk_client import DeskClient
from .handles import Load
from .hollow_routers import HollowGroup, HollowRouters, ReportFile
from .regions import PURGES_SECRET, Plan, RegionLayout

POLL_INTERVAL = 0.1  # seconds between checks of a condition
MEANWHILE_INTERVAL = 10.0  # seconds between two calls of meanwhile() in a long wait
REAL_REPORT_INTERVAL = "0.5"  # seconds between reports of real routers and keepers
READY_WITHIN = 30.0  # seconds for each step of the start


class NotReady(RuntimeError):
    """A step of the start was not completed in time; the text names it."""


class RegionCrowd(Crowd):
    """A crowd laid out by a plan. routers: the real ones of the fleet; plain: those that are not part of it.

    loaded: how many of the real routers get lookups, the first ones. routers_per_process: of hollow routers.
    delay: seconds one way between a region and the control machines. tell(text): reports progress.
    """

    def __init__(
        self,
        folder: Path,
        plan: Plan,
        loaded: int,
        routers_per_process: int,
        delay: float,
        seed: int = 1,
        tell: Callable[[str], None] = lambda text: None,
    ) -> None:
        """Starts no process and writes no file yet."""
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
        self.hollow = HollowRouters(layout, seed, routers_per_process)
        self.report_files = {
            name: ReportFile(layout.folder / f"{name}.reports") for name in (*self.routers, *self.keepers)
        }
        self.desk = DeskClient(list(layout.desks.values()), PURGES_SECRET)

    def _program(self, name: str) -> tuple[str, ...]:
        if name in self.report_files:
            return (
                "standins.hollow.counted",
                str(self.layout.folder / f"{name}.reports"),
                REAL_REPORT_INTERVAL,
            )
        return ("hookrouter",)

    def _environment(self, name: str) -> dict[str, str]:
        return super()._environment(name) if name in self.layout.routers else {}

    # ---- start and end

    def _begin(self) -> None:
        layout, started = self.layout, time.monotonic()
        self.caches = self._caches()
        for region in layout.regions:
            folder = layout.folder / region
            folder.mkdir()
            spec = {**layout.region_relay_spec(region), "seed": self.seed}
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
        self.ready_after = time.monotonic() - started

    def end(self) -> None:
        """Ends all processes, hollow routers first, even after a failed start."""
        self.desk.close()
        self.hollow.end()
        super().end()

    def wait(
        self,
        description: str,
        condition: Callable[[], Any],
        within: float = READY_WITHIN,
        meanwhile: Callable[[], None] | None = None,
    ) -> Any:
        """Returns the first true value of condition(); NotReady after a timeout. meanwhile: see grow."""
        started = last_call = time.monotonic()
        while not (value := condition()):
            now = time.monotonic()
            if now > started + within:
                raise NotReady(f"{description} is not there after {within:g} s")
            if meanwhile is not None and now > last_call + MEANWHILE_INTERVAL:
                meanwhile()
                last_call = now
            time.sleep(POLL_INTERVAL)
        return value

    def grow(
        self, hollow: int, within: float = 2 * READY_WITHIN, meanwhile: Callable[[], None] | None = None
    ) -> None:
        """Starts hollow routers up to that number and waits until all have a lease and see all members alive.

        meanwhile: called every MEANWHILE_INTERVAL seconds of the wait, for checks that cannot wait that long.
        """
        if not self.hollow.groups and self.plan.alone:
            self.alone = self.hollow.start(self.plan.alone, routers_per_process=1)
        missing = hollow - self.hollow.count()
        self.tell(f"{hollow} hollow routers")
        if missing > 0:
            self.hollow.start(missing)
        members = hollow + len(self.routers) + len(self.keepers)
        self.wait(f"a fleet of {members}", lambda: self.is_complete(members), within, meanwhile)

    def is_complete(self, members: int) -> bool:
        """Whether each hollow router has a lease and sees that many members alive."""
        self.read()
        return self.hollow.current() == self.hollow.count() and (
            not self.hollow.groups or self.hollow.least_alive() >= members
        )

    def read(self) -> None:
        """Reads all reports so far."""
        self.hollow.read()
        for file in self.report_files.values():
            file.read()

    # ---- regions

    def cut_region(self, region: str) -> None:
        """Cuts the routers and relays of a region off from the control machines."""
        for name in (*self.keepers, *(f"desk-{name}" for name in self.keepers)):
            self.region_links[region].call("cut", a=region, b=name)

    def heal_region(self, region: str) -> None:
        """Ends a cut; the delay stays."""
        self.region_links[region].call("heal")
        self._delay(region)

    def _delay(self, region: str) -> None:
        self.region_links[region].call("hold", seconds=self.delay, streams=True)

    # ---- purges

    def relay_status(self, port: int) -> Any:
        """Returns the status of a purge relay and its members, None if it does not answer."""
        client = DeskClient([port], PURGES_SECRET)
        try:
            return client.call("GET", "/v1/status")
        finally:
            client.close()

    def positions(self) -> dict[str, int]:
        """Returns the newest purge of each router that the relay of its zone counts as live."""
        return {
            row["name"]: row["n"]
            for port in self.layout.zone_relays.values()
            for row in (self.relay_status(port) or {"members": ()})["members"]
            if row["state"] == "live"
        }
