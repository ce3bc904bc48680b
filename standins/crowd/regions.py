"""The layout of a crowd of several regions: control machines, two tiers of purge relays, routers.

The control machines (keepers, which also run the desk) are in a region of their own. Each region of routers
reaches them through a relay process of the test rig, which can delay and cut connections. In a region one
purge relay follows the desk, and one in each zone follows that; the routers follow the relay of their zone.
"""

from dataclasses import dataclass
from pathlib import Path

from ..ports import free_port
from .layout import KEEPERS, SECRET, Layout

CONTROL = "control"  # region and zone of the keepers and desks
PURGES_SECRET = "another secret for this crowd"


@dataclass(frozen=True)
class Plan:
    """The size and settings of a crowd of regions. Leases are durations as in the operator's file."""

    regions: int = 3
    zones_in_region: int = 2
    real: int = 12
    alone: int = 2  # hollow routers with a process of their own, to compare with real ones
    plain: int = 2  # further real routers without an operator's file, not part of the fleet
    caches: int = 6
    parents: int = 2
    purge_lease: str = "1 s"
    duty_lease: str = "1 s"
    skew: str = "1 ms"
    sharing: bool = True
    most_live: int = 200_000

    @property
    def zones(self) -> int:
        """The number of zones of all regions."""
        return self.regions * self.zones_in_region

    @property
    def relays(self) -> int:
        """The number of purge relays of both tiers."""
        return self.regions + self.zones


class RegionLayout(Layout):
    """Names, ports and files of a crowd of regions. Zone zN belongs to region g(N mod regions)."""

    def __init__(self, folder: Path, plan: Plan) -> None:
        """Allocates the ports; hollow routers are added later."""
        self.plan = plan
        self.regions = [f"g{number}" for number in range(plan.regions)]
        super().__init__(
            folder,
            plan.real + plan.plain,
            plan.caches,
            plan.zones,
            plan.parents,
            {"fleet": {"lease": plan.duty_lease}},
            {},
            KEEPERS,
            direct=True,
            desk=True,
        )
        self.plain = self.routers[plan.real :]
        self.zone.update(dict.fromkeys(self.keepers, CONTROL))
        self.stream_ports = {pair: free_port() for pair in self._stream_pairs()}
        self.top_relays = {f"top-{region}": free_port() for region in self.regions}
        self.zone_relays = {f"relay-{zone}": free_port() for zone in self.zones}

    def _stream_pairs(self):
        keepers = [(region, name) for region in self.regions for name in self.keepers]
        return [*keepers, *((region, f"desk-{name}") for region, name in keepers)]

    def region_of(self, zone: str) -> str:
        """Returns the region of a zone."""
        return self.regions[int(zone[1:]) % len(self.regions)]

    def in_region(self, region: str) -> list[str]:
        """Returns the routers of a region, real and hollow ones."""
        members = (*self.routers[: self.plan.real], *self.hollow)
        return [name for name in members if self.region_of(self.zone[name]) == region]

    def region_relay_spec(self, region: str) -> dict:
        """Returns the spec of the relay process between a region and the control machines."""
        addresses = {name: self.listen_port[name] for name in self.keepers}
        addresses.update({f"desk-{name}": port for name, port in self.desks.items()})
        return {
            "members": {name: {"zone": CONTROL, "real": port} for name, port in addresses.items()},
            "streams": [
                [source, target, port]
                for (source, target), port in self.stream_ports.items()
                if source == region
            ],
        }

    # ---- hollow routers

    def add_hollow(self, count: int) -> list[str]:
        """Adds hollow routers, spread over the zones, and writes their files; returns their names."""
        first = len(self.hollow)
        names = [f"h{number}" for number in range(first, first + count)]
        for number, name in enumerate(names, first):
            self.zone[name] = self.zones[number % len(self.zones)]
            self.listen_port[name] = free_port()
            self._write_file(name, self._router(name))
        self.hollow += names
        return names

    def site(self, name: str) -> str:
        """Returns the path of the operator's file of a process or a hollow router."""
        return str(self.folder / f"{name}.ini")

    # ---- files

    def write(self) -> None:
        """Writes all operator's files but the hollow routers', and people.ini for operators' commands."""
        for path, text in (("secret", SECRET), ("purges-secret", PURGES_SECRET)):
            (self.folder / path).write_text(text)
            (self.folder / path).chmod(0o600)
        for name in self.keepers:
            self._write_file(name, self._keeper(name))
        for name in self.routers[: self.plan.real]:
            self._write_file(name, self._router(name))
        for region in self.regions:
            self._write_file(f"top-{region}", self._top_relay(region))
        for zone in self.zones:
            self._write_file(f"relay-{zone}", self._zone_relay(zone))
        addresses = ", ".join(f"{name} 127.0.0.1:{self.listen_port[name]}" for name in self.keepers)
        people = {"name": "people", "listen": "127.0.0.1:1", "keepers": addresses, "secret": "secret"}
        self._write_file("people", {"fleet": people, "purges": self._purges(self.desks.values())})

    def _purges(self, desks, **options):
        return {
            "desk": ", ".join(f"127.0.0.1:{port}" for port in desks),
            "secret": "purges-secret",
            "lease": self.plan.purge_lease,
            "skew": self.plan.skew,
            **options,
        }

    def _keeper(self, name):
        desk = {
            "listen": f"127.0.0.1:{self.desks[name]}",
            "store": f"{name}-purges.db",
            "most live": self.plan.most_live,
        }
        fleet = {**self._fleet(name), "store": f"{name}.db"}
        return {"fleet": fleet, "purges": self._purges(self.desks.values()), "desk": desk}

    def _router(self, name):
        follow = self.zone_relays[f"relay-{self.zone[name]}"]
        purges = self._purges(self.desks.values(), follow=f"127.0.0.1:{follow}")
        sharing = {"sharing": {}} if self.plan.sharing else {}
        return {"fleet": self._fleet(name), "purges": purges, **sharing}

    def _top_relay(self, region):
        desks = [self.stream_ports[region, f"desk-{name}"] for name in self.keepers]
        return {"purges": self._purges(desks), "relay": self._relay(f"top-{region}", self.top_relays)}

    def _zone_relay(self, zone):
        parent_port = self.top_relays[f"top-{self.region_of(zone)}"]
        relay = {**self._relay(f"relay-{zone}", self.zone_relays), "above": f"127.0.0.1:{parent_port}"}
        return {"purges": self._purges(self.desks.values()), "relay": relay}

    @staticmethod
    def _relay(name, ports):
        return {"name": name, "listen": f"127.0.0.1:{ports[name]}", "store": f"{name}-members.json"}

    def _fleet(self, name):
        addresses = {
            keeper: self.listen_port[keeper]
            if name in self.keepers
            else self.stream_ports[self._region(name), keeper]
            for keeper in self.keepers
        }
        return {
            "name": name,
            "listen": f"127.0.0.1:{self.listen_port[name]}",
            "zone": self.zone[name],
            "keepers": ", ".join(f"{keeper} 127.0.0.1:{port}" for keeper, port in addresses.items()),
            "secret": "secret",
            "seeds": ", ".join(f"127.0.0.1:{self.listen_port[keeper]}" for keeper in self.keepers),
            "lease": self.plan.duty_lease,
        }

    def _region(self, name):
        return self.region_of(self.zone[name])

    def command_arguments(self, name: str) -> list[str]:
        """Returns the arguments of the command that runs a process."""
        if name in self.plain:
            return ["serve"]
        if name in self.keepers:
            command = ["fleet", "serve"]
        elif name in self.routers:
            command = ["serve"]
        else:
            command = ["purges", "relay"]
        return [*command, "--site", self.site(name)]
