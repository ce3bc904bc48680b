"""Caches, parents, origin and the feed in one process: a fault and what the feed says of it are one step.

python -m standins.crowd.world SPEC, see crowd.py for the spec.
"""

import asyncio
import json
import time

from .cache_server import CacheServer
from .caches import Cache, now
from .feed import Feed
from .remote import main

SWEEP = 1.0  # seconds between looks for idle connections
CLEARED = (500, 4_000)  # ms after which the first and the last cache have heard of a purge
RESTART = 0.3  # seconds that a cache which restarts is gone


class World:
    """spec: caches (rows of the feed with port and room), doors (of the feed), terms, idle, inline."""

    def __init__(self, spec):
        self.spec, self.caches, self.servers, self.events = spec, {}, {}, []
        self.feed = Feed(spec["doors"], [self._listed(row) for row in spec["caches"]])
        self.purged = []  # (told, at, key, group)

    @staticmethod
    def _listed(row, **more):
        listed = {key: row[key] for key in ("name", "zone", "type", "group", "weight", "since_ms")}
        return {**listed, "address": f"127.0.0.1:{row['port']}", "status": "active", **more}

    async def start(self):
        loop = asyncio.get_running_loop()
        for row in self.spec["caches"]:
            await self._add(row)
        await self.feed.start()
        self._sweep(loop)
        return {"known": self.feed.known()}

    async def _add(self, row):
        cache = self.caches[row["name"]] = Cache(row, self.spec["terms"], self.caches)
        self.servers[row["name"]] = server = CacheServer(
            cache, row["port"], self.spec["idle"], self.spec["inline"]
        )
        cache.row_of = row
        await server.open()

    def _sweep(self, loop):
        for server in self.servers.values():
            server.sweep()
        loop.call_later(SWEEP, self._sweep, loop)

    def _note(self, what, name):
        self.events.append({"at": round(now()), "what": what, "cache": name})

    # ---- commands: faults

    def vanish(self, name):
        self._note("vanish", name)
        self.servers[name].vanish()

    def hang(self, name):
        self._note("hang", name)
        self.servers[name].hang()

    def slow(self, name, times):
        self._note("slow", name)
        self.caches[name].slow = times

    async def heal(self, name):
        self._note("heal", name)
        await self.servers[name].heal()

    async def restart(self, name, gone=RESTART):
        """It comes back cold, and the feed says so."""
        self._note("restart", name)
        cache, server = self.caches[name], self.servers[name]
        cache.state = "down"
        server.shut()
        cache.empty()
        await asyncio.sleep(gone)
        cache.since = int(now())
        self.feed.change(self._listed(cache.row_of, since_ms=cache.since))
        await server.heal()

    async def replace(self, name):
        """Another cache takes its address; its name."""
        self._note("replace", name)
        old, server = self.caches[name], self.servers[name]
        row = {**old.row_of, "name": f"{name.partition('.')[0]}.{len(self.events)}", "since_ms": int(now())}
        server.shut()
        old.empty()
        old.state = "gone"
        await self._add(row)
        old.leaving = self.feed.change(self._listed(old.row_of, status="left"), self._listed(row))
        return row["name"]

    def drain(self, name):
        """Told as leaving; it goes on, and counts who still comes."""
        self._note("drain", name)
        cache = self.caches[name]
        cache.leaving = self.feed.change(self._listed(cache.row_of, status="leaving"))

    def back(self, name):
        """A cache that drained is active again."""
        self._note("back", name)
        cache = self.caches[name]
        cache.leaving = None
        self.feed.change(self._listed(cache.row_of))

    def leave(self, name):
        self._note("leave", name)
        cache = self.caches[name]
        cache.leaving = cache.leaving or now()
        self.feed.change(self._listed(cache.row_of, status="left"))
        cache.state = "gone"
        self.servers[name].shut()

    def purge(self, key=None, group=None):
        at = round(now())
        told = self.feed.put({"purge": {"at": at, **({"key": key} if key else {"group": group})}})
        self.purged.append((round(told), at, key, group))
        loop, first, last = asyncio.get_running_loop(), *CLEARED
        for n, cache in enumerate(self.caches.values()):
            loop.call_later(
                (first + (last - first) * n / len(self.caches)) / 1_000, cache.purge, at, key, group
            )

    def feed_delay(self, seconds, routers=None):
        """News reaches these routers, or all, that much later; it counts as told all the same."""
        for router in routers or self.spec["doors"]:
            self.feed.delay[router] = seconds

    # ---- commands: tables

    def known(self):
        return self.feed.known()

    def warm(self, names, share=1.0):
        """Copies of those (kind, object, part) in each cache, made now, as if it had run for long."""
        for cache in self.caches.values():
            if cache.sort == "box" or cache.sort == "parent":
                for kind, object_, part in names:
                    cache.keep((kind, object_, part), int(now()))

    def names(self):
        return {name: cache.state for name, cache in self.caches.items()}

    def tables(self, path):
        """Written to that file, a line of JSON a cache."""
        with open(path, "w") as out:
            for name, cache in self.caches.items():
                print(
                    json.dumps(
                        {
                            "cache": name,
                            "zone": cache.zone,
                            "sort": cache.sort,
                            "since_ms": cache.since,
                            "state": cache.state,
                            "copies": len(cache.copies),
                            "weight": cache.weight,
                            "slots": [{"at": slot * 100, **row} for slot, row in sorted(cache.rows.items())],
                            "falls": cache.falls,
                            "after_drain": cache.after_drain,
                            "effects": cache.effects,
                            "void": self.servers[name].void,
                        }
                    ),
                    file=out,
                )

    def told(self):
        return {"events": self.events, "purged": self.purged, "at": time.time() * 1_000}


if __name__ == "__main__":
    main(World)
