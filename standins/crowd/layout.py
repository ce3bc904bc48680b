"""Who is in a crowd, at which ports and in which zone, and the files that routers and keepers read."""

import json
from pathlib import Path

import msgspec

from ..hollow.configuration import Configuration, RouterPlace
from ..ports import free_port
from .settings import configuration, settings

KEEPERS = 3
ROOM = 200_000.0  # KB of copies in a cache; a parent has four times as much
WEIGHT, PARENT_WEIGHT, ORIGIN_WEIGHT = 8.0, 40.0, 200.0  # transfers at full speed
SECRET = "a secret for this crowd only"


class Layout:
    """sections, keeper_sections: {section: {key: value}} of the operator's file, {name} and {zone} put in.

    hollow: how many members h0, h1, ... are hollow routers, by the routers' sections. direct: members reach
    each other without the relay. desk: the keepers bear the desk, and routers' [purges] lead to it.
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
        **more,
    ):
        self.folder = Path(folder).resolve()
        self.folder.mkdir(parents=True, exist_ok=True)
        self.zones = [f"z{n}" for n in range(zones)]
        self.routers = [f"r{n}" for n in range(routers)]
        self.keepers = [f"k{n}" for n in range(keepers)] if sections and "fleet" in sections else []
        self.hollow = [f"h{n}" for n in range(hollow)]
        self.members = [*self.routers, *self.hollow, *self.keepers] if self.keepers else []
        self.zone = {
            name: self.zones[n % zones]
            for names in (self.routers, self.hollow, self.keepers)
            for n, name in enumerate(names)
        }
        self.by_zone = {zone: sum(self.zone[name] == zone for name in self.routers) for zone in self.zones}
        self.sections, self.keeper_sections = sections, keeper_sections or {}
        self.port, self.feed_port, self.real, self.desks = (
            {name: free_port() for name in names}
            for names in (self.routers, self.routers, self.members, self.keepers if desk else ())
        )
        self.direct = direct
        self.shown, self.streams = self.real, {}
        if not direct:
            self.shown = {name: free_port() for name in self.members}
            self.streams = {(a, b): free_port() for a in self.members for b in self.keepers if a != b}
        self.rows = self._caches(caches, parents, **more)

    def _caches(
        self,
        caches,
        parents,
        room=ROOM,
        weight=WEIGHT,
        parent_weight=PARENT_WEIGHT,
        origin_weight=ORIGIN_WEIGHT,
    ):
        def row(name, zone, sort, able, kept):
            return {
                "name": name,
                "zone": zone,
                "type": sort,
                "group": 0,
                "weight": able,
                "since_ms": 0,
                "room": kept,
                "port": free_port(),
            }

        edge = [row(f"c{n}", self.zones[n % len(self.zones)], "box", weight, room) for n in range(caches)]
        hub = [row(f"p{n}", "hub", "parent", parent_weight, 4 * room) for n in range(parents)]
        return [*edge, *hub, row("o0", "hub", "origin", origin_weight, 0.0)]

    def links(self):
        """What the relay is told."""
        rows = {
            name: {"zone": self.zone[name], "real": self.real[name], "shown": self.shown[name]}
            for name in self.members
        }
        return {"members": rows, "streams": [[a, b, port] for (a, b), port in self.streams.items()]}

    # ---- files

    def write(self):
        """The file of each member, and one for people's commands: people.ini."""
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
            self._file(name, self._with_purges(sections))
        if self.members:
            reached = ", ".join(f"{k} 127.0.0.1:{self.real[k]}" for k in self.keepers)
            people = {"name": "people", "listen": "127.0.0.1:1", "keepers": reached, "secret": "secret"}
            self._file("people", self._with_purges({"fleet": people}))
        elif self.sections:
            for name in self.routers:
                self._file(name, self.sections)

    def _with_purges(self, sections):
        """With the way to the keepers' desk; the routers' [purges] say the rest for all."""
        if not self.desks:
            return sections
        desks = ", ".join(f"127.0.0.1:{port}" for port in self.desks.values())
        told = {"desk": desks, "secret": "secret", **self.sections.get("purges", {})}
        return {**sections, "purges": {**told, **sections.get("purges", {})}}

    def _fleet(self, name):
        keepers = (f"{k} 127.0.0.1:{self.streams.get((name, k), self.real[k])}" for k in self.keepers)
        return {
            "name": name,
            "listen": f"127.0.0.1:{self.real[name]}",
            "zone": self.zone[name],
            "address": f"127.0.0.1:{self.shown[name]}",
            "keepers": ", ".join(keepers),
            "secret": "secret",
            "seeds": ", ".join(f"127.0.0.1:{self.shown[k]}" for k in self.keepers),
        }

    def _file(self, name, sections):
        lines = []
        for section, keys in sections.items():
            lines += (f"[{section}]", *(f"{key} = {value}" for key, value in keys.items()), "")
        text = "\n".join(lines).replace("{name}", name).replace("{zone}", self.zone.get(name, "-"))
        (self.folder / f"{name}.ini").write_text(text)

    def configure_hollow(self, process, names, seed, report_every_s=1.0):
        """The path of the configuration of one process that hosts those hollow routers; it tells loads of the
        same caches as real routers do.
        """
        places = [RouterPlace(name, str(self.folder / f"{name}.ini")) for name in names]
        caches = [row["name"] for row in self.rows]
        path = self.folder / f"{process}.json"
        path.write_bytes(msgspec.json.encode(Configuration(seed, places, report_every_s, caches)))
        return str(path)

    def words(self, name):
        """Of the command."""
        words = ["fleet", "serve"] if name in self.keepers else ["serve"]
        return [*words, "--site", str(self.folder / f"{name}.ini")] if self.sections else words

    def configure(self, name, known, platform, report, times):
        """The path of a router's configuration, written anew: known is what the feed has told by now."""
        stated = settings(
            self.routers.index(name), self.zone[name], self.zones, self.by_zone, platform, report, times
        )
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(configuration(name, self.port[name], self.feed_port[name], known, stated)))
        return str(path)
