"""Plays one plan: stand-ins and clients on one event loop, routers and crowds as processes beside it."""

import asyncio
import json
import logging
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from standins.crowd.feed import Feed
from standins.ports import free_port

from .caches import Cache
from .clients import Client, Probe, Regular, RouterAddress
from .plan import REGULAR_CLIENTS, Crowd, Plan, Replacement
from .records import History, Listing
from .routers import ROOT, Router

LAG_INTERVAL = 0.01  # seconds between looks whether the loop is on time
SETTLE = 0.5  # seconds after a run until nothing is recorded any more
PROBE_ALLOWED_MS = 4_000


def row(cache: Cache, kind: str, status: str = "active", since_ms: int = 0) -> dict[str, object]:
    """A row of the list of caches."""
    return {
        "name": cache.name,
        "address": f"127.0.0.1:{cache.port}",
        "zone": "edge" if kind == "box" else "hub",
        "type": kind,
        "group": 0,
        "status": status,
        "weight": 32,
        "since_ms": since_ms,
    }


class World:
    """One run of the soak."""

    def __init__(self, plan: Plan, root: Path = ROOT) -> None:
        """root: of the tree whose router is run."""
        self.plan, self.root = plan, root
        self.history = History()
        self.folder = Path(tempfile.mkdtemp(prefix="hookrouter-soak-"))
        self.dice = random.Random(plan.seed * 31 + 7)
        names = [f"c{number}" for number in range(plan.caches)]
        self.caches = [self._cache(name, free_port()) for name in names]
        self.sources = [self._cache("p0", free_port()), self._cache("o0", free_port())]
        self.addresses = [RouterAddress(number, free_port()) for number in range(plan.routers)]
        rows = [row(cache, "box") for cache in self.caches]
        rows += [row(self.sources[0], "parent"), row(self.sources[1], "origin")]
        self.feed = Feed({address.number: free_port() for address in self.addresses}, rows)
        self.routers = [Router(plan, address, self.folder, self.history, root) for address in self.addresses]

    def _cache(self, name: str, port: int) -> Cache:
        return Cache(name, port, self.plan, self.history, random.Random(f"{self.plan.seed} {name}"))

    async def play(self) -> History:
        """Plays the plan to its end."""
        for cache in (*self.caches, *self.sources):
            await cache.start()
        await self.feed.start()
        for router in self.routers:
            router.write_configuration(self.feed.ports[router.address.number], self.feed.snapshot())
        watches = [asyncio.create_task(router.watch()) for router in self.routers]
        try:
            await asyncio.gather(*(router.start() for router in self.routers))
            await self._play_all()
        finally:
            for watch in watches:
                watch.cancel()
            for router in self.routers:
                router._sample()
                router.stop()
            for cache in (*self.caches, *self.sources):
                await cache.stop()
        return self.history

    async def _play_all(self) -> None:
        plan, began = self.plan, time.monotonic()
        self.history.began = began
        self.history.rough_from = began + min((crowd.at for crowd in plan.crowds), default=plan.seconds)
        end = began + plan.seconds
        lag = asyncio.create_task(self._watch_lag())
        acts = [client.run(end) for client in self._clients()]
        acts += [self._at(began, crowd.at, self._crowd(crowd)) for crowd in plan.crowds]
        acts += [self._at(began, change.at, self._replace(change)) for change in plan.replacements]
        acts += [self._signals(began, address.number) for address in self.addresses]
        await asyncio.gather(*acts)
        await asyncio.sleep(SETTLE)
        lag.cancel()

    def _clients(self) -> list[Client]:
        clients: list[Client] = []
        for address in self.addresses:
            seed = self.plan.seed * 1_000 + 100 * address.number
            probe = Probe(f"probe-{address.number}", address, self.history, seed + 99, PROBE_ALLOWED_MS)
            clients.append(probe)
            for number in range(REGULAR_CLIENTS):
                name = f"regular-{address.number}-{number}"
                clients.append(Regular(name, address, self.history, seed + number, self.plan.deadline_ms))
        return clients

    async def _at(self, began: float, at: float, act: object) -> None:
        await asyncio.sleep(max(0.0, began + at - time.monotonic()))
        await act

    async def _signals(self, began: float, number: int) -> None:
        """The signals of one router, one series after another."""
        for signals in self.plan.signals:
            if signals.router == number:
                await asyncio.sleep(max(0.0, began + signals.at - time.monotonic()))
                await self.routers[number].play(signals)

    async def _crowd(self, crowd: Crowd) -> None:
        port = str(self.addresses[crowd.router].port)
        arguments = [port, str(crowd.size), str(crowd.seconds), str(self.plan.seed), *crowd.behaviours]
        command = [sys.executable, "-m", "standins.rough_crowd", *arguments]
        process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        try:
            await asyncio.to_thread(process.communicate)
        finally:
            process.kill()
            process.wait()

    async def _replace(self, change: Replacement) -> None:
        """A cache dies; the list says so, later that another is at its address, which is up before that."""
        old = self.caches[change.cache]
        await old.stop()
        new = self._cache(f"{old.name}-next", old.port)
        self.caches[change.cache] = new
        await asyncio.sleep(change.told_gone)
        self.feed.update_members(row(old, "box", "left"))
        listing = Listing(f"127.0.0.1:{old.port}", old.name, new.name, time.monotonic(), float("inf"))
        self.history.listings.append(listing)
        await new.start()
        await asyncio.sleep(change.told_new)
        listing.told_new = time.monotonic()
        self.feed.update_members(row(new, "box", since_ms=int(time.time() * 1_000)))

    async def _watch_lag(self) -> None:
        while True:
            due = time.monotonic() + LAG_INTERVAL
            await asyncio.sleep(LAG_INTERVAL)
            self.history.worst_lag = max(self.history.worst_lag, time.monotonic() - due)

    def log_lines(self, *words: str) -> list[str]:
        """Lines of the routers' logs that contain one of these words."""
        lines = []
        for path in sorted(self.folder.glob("*.log")):
            lines += [f"{path.stem}: {line}" for line in path.read_text(errors="replace").splitlines()]
        return [line for line in lines if any(word in line for word in words)]


def play(plan: Plan, root: Path = ROOT) -> tuple[World, History]:
    """Plays a plan in an event loop of its own."""
    logging.getLogger("asyncio").setLevel(logging.ERROR)  # it warns of connections that have gone
    world = World(plan, root)
    return world, asyncio.run(world.play())


def as_text(plan: Plan) -> str:
    """The plan as one line of JSON."""
    return json.dumps(plan.as_json())
