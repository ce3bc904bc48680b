"""Who is in a crowd of regions: control machines apart, two tiers of purge relays, hollow routers and real.

The control machines (keepers, which bear the desk, too) stand in a region of their own. Each region of
routers reaches them through a relay process of the rig, which delays and can cut. In a region one purge relay
follows the desk, and one in each of its zones follows that; the routers of a zone follow theirs.
"""

from dataclasses import dataclass
from pathlib import Path

from ..ports import free_port
from .layout import KEEPERS, SECRET, Layout

CONTROL = "control"  # region and zone of keepers and desks
PURGES_SECRET = "another secret for this crowd"


@dataclass(frozen=True)
class Plan:
    """What a crowd of regions consists of. Leases are spans as in the operator's file."""

    regions: int = 3
    zones_in_region: int = 2
    real: int = 12
    alone: int = 2  # hollow routers with a process each, to compare with real ones
    plain: int = 2  # real routers beside those, without an operator's file: no part of the fleet
    caches: int = 6
    parents: int = 2
    purge_lease: str = "1 s"
    duty_lease: str = "1 s"
    skew: str = "1 ms"
    sharing: bool = True
    most_live: int = 200_000

    @property
    def zones(self) -> int:
        """Of all regions together."""
        return self.regions * self.zones_in_region

    @property
    def relays(self) -> int:
        """Of both tiers."""
        return self.regions + self.zones


class RegionLayout(Layout):
    """Names, ports and files of a crowd of regions. Zone zN lies in region g(N mod regions)."""

    def __init__(self, folder: Path, plan: Plan) -> None:
        """Ports are taken; hollow routers are added later."""
        self.plan = plan
        self.regions = [f"g{n}" for n in range(plan.regions)]
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
        self.streams = {pair: free_port() for pair in self._stream_pairs()}
        self.top_relays = {f"top-{region}": free_port() for region in self.regions}
        self.zone_relays = {f"relay-{zone}": free_port() for zone in self.zones}

    def _stream_pairs(self):
        keepers = [(region, name) for region in self.regions for name in self.keepers]
        return [*keepers, *((region, f"desk-{name}") for region, name in keepers)]

    def region_of(self, zone: str) -> str:
        """The region in which a zone lies."""
        return self.regions[int(zone[1:]) % len(self.regions)]

    def in_region(self, region: str) -> list[str]:
        """Routers of a region, real and hollow ones."""
        members = (*self.routers[: self.plan.real], *self.hollow)
        return [name for name in members if self.region_of(self.zone[name]) == region]

    def region_link(self, region: str) -> dict:
        """What the relay process between a region and the control machines is told."""
        reached = {name: self.real[name] for name in self.keepers}
        reached.update({f"desk-{name}": port for name, port in self.desks.items()})
        return {
            "members": {name: {"zone": CONTROL, "real": port} for name, port in reached.items()},
            "streams": [[a, b, port] for (a, b), port in self.streams.items() if a == region],
        }

    # ---- hollow routers

    def add_hollow(self, count: int) -> list[str]:
        """Names of so many further ones, their files written; they go to the zones in turn."""
        first = len(self.hollow)
        names = [f"h{n}" for n in range(first, first + count)]
        for n, name in enumerate(names, first):
            self.zone[name] = self.zones[n % len(self.zones)]
            self.real[name] = free_port()
            self._file(name, self._router(name))
        self.hollow += names
        return names

    def site(self, name: str) -> str:
        """The path of the operator's file of a process or a hollow router."""
        return str(self.folder / f"{name}.ini")

    # ---- files

    def write(self) -> None:
        """The file of each process but the hollow routers', and one for people's commands: people.ini."""
        for path, text in (("secret", SECRET), ("purges-secret", PURGES_SECRET)):
            (self.folder / path).write_text(text)
            (self.folder / path).chmod(0o600)
        for name in self.keepers:
            self._file(name, self._keeper(name))
        for name in self.routers[: self.plan.real]:
            self._file(name, self._router(name))
        for region in self.regions:
            self._file(f"top-{region}", self._top_relay(region))
        for zone in self.zones:
            self._file(f"relay-{zone}", self._zone_relay(zone))
        reached = ", ".join(f"{name} 127.0.0.1:{self.real[name]}" for name in self.keepers)
        people = {"name": "people", "listen": "127.0.0.1:1", "keepers": reached, "secret": "secret"}
        self._file("people", {"fleet": people, "purges": self._purges(self.desks.values())})

    def _purges(self, desks, **more):
        return {
            "desk": ", ".join(f"127.0.0.1:{port}" for port in desks),
            "secret": "purges-secret",
            "lease": self.plan.purge_lease,
            "skew": self.plan.skew,
            **more,
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
        desks = [self.streams[region, f"desk-{name}"] for name in self.keepers]
        return {"purges": self._purges(desks), "relay": self._relay(f"top-{region}", self.top_relays)}

    def _zone_relay(self, zone):
        above = self.top_relays[f"top-{self.region_of(zone)}"]
        relay = {**self._relay(f"relay-{zone}", self.zone_relays), "above": f"127.0.0.1:{above}"}
        return {"purges": self._purges(self.desks.values()), "relay": relay}

    @staticmethod
    def _relay(name, ports):
        return {"name": name, "listen": f"127.0.0.1:{ports[name]}", "store": f"{name}-members.json"}

    def _fleet(self, name):
        reached = {
            keeper: self.real[keeper] if name in self.keepers else self.streams[self._region(name), keeper]
            for keeper in self.keepers
        }
        return {
            "name": name,
            "listen": f"127.0.0.1:{self.real[name]}",
            "zone": self.zone[name],
            "keepers": ", ".join(f"{keeper} 127.0.0.1:{port}" for keeper, port in reached.items()),
            "secret": "secret",
            "seeds": ", ".join(f"127.0.0.1:{self.real[keeper]}" for keeper in self.keepers),
            "lease": self.plan.duty_lease,
        }

    def _region(self, name):
        return self.region_of(self.zone[name])

    def words(self, name: str) -> list[str]:
        """Of the command that runs a process."""
        if name in self.plain:
            return ["serve"]
        if name in self.keepers:
            command = ["fleet", "serve"]
        elif name in self.routers:
            command = ["serve"]
        else:
            command = ["purges", "relay"]
        return [*command, "--site", self.site(name)]
