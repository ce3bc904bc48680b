"""The members of a crowd with their ports and zones, and the configuration files they read."""

import json
from pathlib import Path

import msgspec

from ..hollow.configuration import Configuration, RouterPlace
from ..ports import free_port
from .settings import configuration, settings

KEEPERS = 3
CAPACITY_KB = 200_000.0  # KB of copies in a cache; a parent holds four times as much
WEIGHT, PARENT_WEIGHT, ORIGIN_WEIGHT = 8.0, 40.0, 200.0  # transfers at full speed
SECRET = "a secret for this crowd only"


class Layout:
    """Allocates names, zones and ports, and writes the files.

    sections, keeper_sections: {section: {key: value}} of the operator's file; {name} and {zone} are replaced
    in values. hollow: the number of hollow routers h0, h1, ..., which have the routers' sections. direct:
    members reach each other without the relay. desk: the keepers run the purge desk, and the routers'
    [purges] names it.
    """

    def __init__(
        self,
        folder,
        routers,
        caches,
        zones,
        parents,
        sections,
        keeper_sections,
        keepers,
        hollow=0,
        direct=False,
        desk=False,
        **cache_options,
    ):
        self.folder = Path(folder).resolve()
        self.folder.mkdir(parents=True, exist_ok=True)
        self.zones = [f"z{number}" for number in range(zones)]
        self.routers = [f"r{number}" for number in range(routers)]
        self.keepers = [f"k{number}" for number in range(keepers)] if sections and "fleet" in sections else []
        self.hollow = [f"h{number}" for number in range(hollow)]
        self.members = [*self.routers, *self.hollow, *self.keepers] if self.keepers else []
        self.zone = {
            name: self.zones[number % zones]
            for names in (self.routers, self.hollow, self.keepers)
            for number, name in enumerate(names)
        }
        self.router_count_by_zone = {
            zone: sum(self.zone[name] == zone for name in self.routers) for zone in self.zones
        }
        self.sections, self.keeper_sections = sections, keeper_sections or {}
        self.port, self.feed_port, self.listen_port, self.desks = (
            {name: free_port() for name in names}
            for names in (self.routers, self.routers, self.members, self.keepers if desk else ())
        )
        self.direct = direct
        self.advertised_port, self.stream_ports = self.listen_port, {}
        if not direct:
            self.advertised_port = {name: free_port() for name in self.members}
            self.stream_ports = {
                (source, target): free_port()
                for source in self.members
                for target in self.keepers
                if source != target
            }
        self.cache_rows = self._caches(caches, parents, **cache_options)

    def _caches(
        self,
        caches,
        parents,
        room=CAPACITY_KB,
        weight=WEIGHT,
        parent_weight=PARENT_WEIGHT,
        origin_weight=ORIGIN_WEIGHT,
    ):
        def row(name, zone, cache_type, transfers, capacity_kb):
            return {
                "name": name,
                "zone": zone,
                "type": cache_type,
                "group": 0,
                "weight": transfers,
                "since_ms": 0,
                "room": capacity_kb,
                "port": free_port(),
            }

        edge = [
            row(f"c{number}", self.zones[number % len(self.zones)], "box", weight, room)
            for number in range(caches)
        ]
        hub = [row(f"p{number}", "hub", "parent", parent_weight, 4 * room) for number in range(parents)]
        return [*edge, *hub, row("o0", "hub", "origin", origin_weight, 0.0)]

    def relay_spec(self):
        """Returns the members and streams of the relay's spec, see relay.py."""
        rows = {
            name: {
                "zone": self.zone[name],
                "real": self.listen_port[name],
                "shown": self.advertised_port[name],
            }
            for name in self.members
        }
        return {
            "members": rows,
            "streams": [[source, target, port] for (source, target), port in self.stream_ports.items()],
        }

    # ---- files

    def write(self):
        """Writes the operator's file of each member, and people.ini for operators' commands."""
        (self.folder / "secret").write_text(SECRET)
        (self.folder / "secret").chmod(0o600)
        for name in self.members:
            fleet = self._fleet(name)
            if name in self.keepers:
                sections = {**self.keeper_sections, "fleet": {**fleet, "store": f"{name}.db"}}
                if self.desks:
                    listen = f"127.0.0.1:{self.desks[name]}"
                    desk = {"listen": listen, "store": f"{name}-purges.db"}
                    sections["desk"] = {**desk, **self.keeper_sections.get("desk", {})}
            else:
                sections = {**self.sections, "fleet": {**fleet, **self.sections["fleet"]}}
            self._write_file(name, self._with_purges(sections))
        if self.members:
            addresses = ", ".join(f"{keeper} 127.0.0.1:{self.listen_port[keeper]}" for keeper in self.keepers)
            people = {"name": "people", "listen": "127.0.0.1:1", "keepers": addresses, "secret": "secret"}
            self._write_file("people", self._with_purges({"fleet": people}))
        elif self.sections:
            for name in self.routers:
                self._write_file(name, self.sections)

    def _with_purges(self, sections):
        """Adds [purges] with the addresses of the desks; other keys come from the routers' [purges]."""
        if not self.desks:
            return sections
        desks = ", ".join(f"127.0.0.1:{port}" for port in self.desks.values())
        common = {"desk": desks, "secret": "secret", **self.sections.get("purges", {})}
        return {**sections, "purges": {**common, **sections.get("purges", {})}}

    def _fleet(self, name):
        keepers = (
            f"{keeper} 127.0.0.1:{self.stream_ports.get((name, keeper), self.listen_port[keeper])}"
            for keeper in self.keepers
        )
        return {
            "name": name,
            "listen": f"127.0.0.1:{self.listen_port[name]}",
            "zone": self.zone[name],
            "address": f"127.0.0.1:{self.advertised_port[name]}",
            "keepers": ", ".join(keepers),
            "secret": "secret",
            "seeds": ", ".join(f"127.0.0.1:{self.advertised_port[keeper]}" for keeper in self.keepers),
        }

    def _write_file(self, name, sections):
        lines = []
        for section, keys in sections.items():
            lines += (f"[{section}]", *(f"{key} = {value}" for key, value in keys.items()), "")
        text = "\n".join(lines).replace("{name}", name).replace("{zone}", self.zone.get(name, "-"))
        (self.folder / f"{name}.ini").write_text(text)

    def configure_hollow(self, process, names, seed, report_every_s=1.0):
        """Writes the configuration of a process of hollow routers and returns its path.

        They report loads of the same caches as real routers do.
        """
        places = [RouterPlace(name, str(self.folder / f"{name}.ini")) for name in names]
        caches = [row["name"] for row in self.cache_rows]
        path = self.folder / f"{process}.json"
        path.write_bytes(msgspec.json.encode(Configuration(seed, places, report_every_s, caches)))
        return str(path)

    def command_arguments(self, name):
        """Returns the arguments of the command that runs a member."""
        arguments = ["fleet", "serve"] if name in self.keepers else ["serve"]
        return [*arguments, "--site", str(self.folder / f"{name}.ini")] if self.sections else arguments

    def configure(self, name, known, platform, report, times):
        """Writes a router's configuration and returns its path; known: the snapshot of the feed."""
        router_settings = settings(
            self.routers.index(name),
            self.zone[name],
            self.zones,
            self.router_count_by_zone,
            platform,
            report,
            times,
        )
        path = self.folder / f"{name}.json"
        path.write_text(
            json.dumps(configuration(name, self.port[name], self.feed_port[name], known, router_settings))
        )
        return str(path)
