"""Caches, parents, origin and the control feed in one process.

So a fault and the feed's event about it happen in one step.

python -m standins.crowd.world SPEC, see crowd.py for the spec.
"""

import asyncio
import json
import time

from .cache_server import CacheServer
from .caches import Cache, unix_ms
from .feed import Feed
from .remote import main

SWEEP_INTERVAL = 1.0  # seconds between checks for idle connections
PURGE_DELAYS_MS = (500, 4_000)  # delay of a purge to the first and to the last cache
RESTART_SECONDS = 0.3  # seconds for which a restarting cache is down


class World:
    """The public methods are commands, see remote.py.

    spec: caches (rows of the feed with port and room), doors (ports of the feed, by router), terms, idle,
    inline.
    """

    def __init__(self, spec):
        self.spec, self.caches, self.servers, self.events = spec, {}, {}, []
        self.feed = Feed(spec["doors"], [self._feed_row(row) for row in spec["caches"]])
        self.purged = []  # (published ms, purge ms, key, group)

    @staticmethod
    def _feed_row(row, **changes):
        feed_row = {key: row[key] for key in ("name", "zone", "type", "group", "weight", "since_ms")}
        return {**feed_row, "address": f"127.0.0.1:{row['port']}", "status": "active", **changes}

    async def start(self):
        """Starts the servers of all caches and the feed; returns the feed's first snapshot."""
        loop = asyncio.get_running_loop()
        for row in self.spec["caches"]:
            await self._add(row)
        await self.feed.start()
        self._close_idle(loop)
        return {"known": self.feed.snapshot()}

    async def _add(self, row):
        cache = self.caches[row["name"]] = Cache(row, self.spec["terms"], self.caches)
        self.servers[row["name"]] = server = CacheServer(
            cache, row["port"], self.spec["idle"], self.spec["inline"]
        )
        cache.spec_row = row
        await server.open()

    def _close_idle(self, loop):
        for server in self.servers.values():
            server.close_idle()
        loop.call_later(SWEEP_INTERVAL, self._close_idle, loop)

    def _record_event(self, event, name):
        self.events.append({"at": round(unix_ms()), "what": event, "cache": name})

    # ---- commands: faults

    def vanish(self, name):
        """Makes a cache unreachable without closing its connections."""
        self._record_event("vanish", name)
        self.servers[name].vanish()

    def hang(self, name):
        """Makes a cache accept requests without answering them."""
        self._record_event("hang", name)
        self.servers[name].hang()

    def slow(self, name, times):
        """Multiplies the transfer times of a cache."""
        self._record_event("slow", name)
        self.caches[name].slowdown = times

    async def heal(self, name):
        """Ends the faults of a cache."""
        self._record_event("heal", name)
        await self.servers[name].heal()

    async def restart(self, name, gone=RESTART_SECONDS):
        """Restarts a cache: it is cold afterwards, and the feed announces that."""
        self._record_event("restart", name)
        cache, server = self.caches[name], self.servers[name]
        cache.state = "down"
        server.close_all()
        cache.clear_all()
        await asyncio.sleep(gone)
        cache.started_ms = int(unix_ms())
        self.feed.update_members(self._feed_row(cache.spec_row, since_ms=cache.started_ms))
        await server.heal()

    async def replace(self, name):
        """Puts a new cache at the address of another one; returns the new name."""
        self._record_event("replace", name)
        old, server = self.caches[name], self.servers[name]
        row = {
            **old.spec_row,
            "name": f"{name.partition('.')[0]}.{len(self.events)}",
            "since_ms": int(unix_ms()),
        }
        server.close_all()
        old.clear_all()
        old.state = "gone"
        await self._add(row)
        old.drain_ms = self.feed.update_members(
            self._feed_row(old.spec_row, status="left"), self._feed_row(row)
        )
        return row["name"]

    def drain(self, name):
        """Announces a cache as leaving; it still serves, and counts the lookups that arrive."""
        self._record_event("drain", name)
        cache = self.caches[name]
        cache.drain_ms = self.feed.update_members(self._feed_row(cache.spec_row, status="leaving"))

    def back(self, name):
        """Announces a draining cache as active again."""
        self._record_event("back", name)
        cache = self.caches[name]
        cache.drain_ms = None
        self.feed.update_members(self._feed_row(cache.spec_row))

    def leave(self, name):
        """Removes a cache at once and announces that."""
        self._record_event("leave", name)
        cache = self.caches[name]
        cache.drain_ms = cache.drain_ms or unix_ms()
        self.feed.update_members(self._feed_row(cache.spec_row, status="left"))
        cache.state = "gone"
        self.servers[name].close_all()

    def purge(self, key=None, group=None):
        """Announces a purge of an object or a group; caches receive it within PURGE_DELAYS_MS."""
        purge_ms = round(unix_ms())
        published_ms = self.feed.publish(
            {"purge": {"at": purge_ms, **({"key": key} if key else {"group": group})}}
        )
        self.purged.append((round(published_ms), purge_ms, key, group))
        loop, first, last = asyncio.get_running_loop(), *PURGE_DELAYS_MS
        for index, cache in enumerate(self.caches.values()):
            loop.call_later(
                (first + (last - first) * index / len(self.caches)) / 1_000, cache.purge, purge_ms, key, group
            )

    def feed_delay(self, seconds, routers=None):
        """Delays the events to these routers, or to all; the delay does not move the time of announcement."""
        for router in routers or self.spec["doors"]:
            self.feed.delay[router] = seconds

    # ---- commands: tables

    def known(self):
        """Returns the snapshot of the feed for a new router."""
        return self.feed.snapshot()

    def warm(self, names):
        """Stores copies of the given (kind, object, part) in each cache, as after a long run."""
        for cache in self.caches.values():
            if cache.type == "box" or cache.type == "parent":
                for kind, object_, part in names:
                    cache.store((kind, object_, part), int(unix_ms()))

    def names(self):
        """Returns {cache: state}."""
        return {name: cache.state for name, cache in self.caches.items()}

    def tables(self, path):
        """Writes the tables to a file, one JSON line for each cache."""
        with open(path, "w") as out:
            for name, cache in self.caches.items():
                print(
                    json.dumps(
                        {
                            "cache": name,
                            "zone": cache.zone,
                            "sort": cache.type,
                            "since_ms": cache.started_ms,
                            "state": cache.state,
                            "copies": len(cache.copies),
                            "weight": cache.weight,
                            "slots": [{"at": slot * 100, **row} for slot, row in sorted(cache.rows.items())],
                            "falls": cache.overloads,
                            "after_drain": cache.after_drain,
                            "effects": cache.effects,
                            "void": self.servers[name].invalid_targets,
                        }
                    ),
                    file=out,
                )

    def told(self):
        """Returns the events and purges that were announced."""
        return {"events": self.events, "purged": self.purged, "at": time.time() * 1_000}


if __name__ == "__main__":
    main(World)
