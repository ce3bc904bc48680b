"""Clients of all routers in one process: Zipf popularity, Poisson arrivals, persistent connections.

Each answer is checked against the expected bytes.

python -m standins.crowd.clients SPEC: routers {name: port}, seed, connections (to each router).
"""

import asyncio
import json
import math
import random
import time
from bisect import bisect
from itertools import accumulate

from . import objects
from .client_connection import Connection
from .remote import main

ARRIVAL_INTERVAL = 0.005  # seconds between checks for arrivals that are due
LOST_AFTER = 0.55  # seconds after its deadline at which a lookup counts as lost, by default
DETECTION_SECONDS = 2.0  # seconds until a router that is down gets no more lookups
SHARE_SIGMA = 0.7  # standard deviation of the logarithm of a router's share of all lookups
RECONNECT_SECONDS = 0.2  # mean seconds between attempts to connect
WAIT_RANGE_MS = (1_000, 4_000)  # ms that a client waits
SERVED, LATE, NACKED, FAILED, LOST, LEFT, UNSENT, WRONG = (
    "served",
    "late",
    "nacked",
    "failed",
    "lost",
    "left",
    "unsent",
    "wrong",
)


class Router:
    """A router as the clients see it; share: its weight in the choice of routers."""

    def __init__(self, name, number, port, share):
        self.name, self.number, self.port, self.share = name, number, port, share
        self.connections, self.admitted, self.down_since = [], False, time.monotonic()


class Lookup:
    """A lookup of a client; allow: ms that it waits."""

    __slots__ = (
        "created",
        "router",
        "kind",
        "object",
        "part",
        "allow",
        "ref",
        "key",
        "is_duplicate",
        "sent",
        "ended",
        "tries",
    )

    def __init__(self, router, kind, object_, part, allow, ref, key, is_duplicate):
        self.router, self.kind, self.object, self.part, self.allow = router, kind, object_, part, allow
        self.ref, self.key, self.is_duplicate, self.sent, self.ended, self.tries = (
            ref,
            key,
            is_duplicate,
            0.0,
            False,
            0,
        )
        self.created = time.time()


class Clients:
    """Sends lookups at a given rate and records one row for each; public methods are commands."""

    def __init__(self, spec):
        self.rng, self.loop = random.Random(spec["seed"]), asyncio.get_running_loop()
        self.routers = [
            Router(name, n, port, math.exp(SHARE_SIGMA * self.rng.gauss(0, 1)))
            for n, (name, port) in enumerate(spec["routers"].items())
        ]
        self.connection_count, self.rows, self.duplicates, self.corrupt = spec["connections"], [], [], []
        self.interval, self.open_count, self.choice_time = None, 0, 0.0

    async def start(self):
        """Starts to connect to all routers."""
        for router in self.routers:
            for _ in range(self.connection_count):
                connection = Connection(self, router)
                router.connections.append(connection)
                self.loop.create_task(self._keep_connected(connection))

    async def _keep_connected(self, connection):
        """Keeps one connection open, reconnecting whenever it ends."""
        while True:
            try:
                await self.loop.create_connection(lambda: connection, "127.0.0.1", connection.router.port)
                await connection.ended
            except OSError:
                pass
            connection.is_up = False
            router = connection.router
            if router.admitted and not any(other.is_up for other in router.connections):
                router.admitted, router.down_since = False, time.monotonic()
            await asyncio.sleep(RECONNECT_SECONDS * (0.5 + self.rng.random()))

    # ---- commands

    def run(
        self,
        seconds,
        rate,
        names=3_000,
        alpha=1.0,
        retry=0.2,
        leave=0.0,
        kinds=None,
        late=LOST_AFTER,
        allow=WAIT_RANGE_MS,
    ):
        """Starts a load; rate: lookups a second over all routers. kinds: {kind: share}, default: of objects.

        retry, leave: shares of lookups that are retried after a failure or given up early. late: seconds
        after its deadline at which an unanswered lookup is lost. allow: range of ms that clients wait.
        """
        shares = kinds or {kind: row[-1] for kind, row in objects.KINDS.items()}
        self.kinds, self.kind_shares = list(shares), list(accumulate(shares.values()))
        self.zipf = list(accumulate((rank + 1) ** -alpha for rank in range(names)))
        self.rate, self.retry, self.leave, self.late, self.allow = rate, retry, leave, late, allow
        started = time.monotonic()
        self.interval = (started, started + seconds)
        self.next_arrival = started + self.rng.expovariate(rate)
        self.loop.call_soon(self._send_due)

    def stop(self):
        """Ends the load; open lookups still get their outcomes."""
        self.interval = None

    def busy(self):
        """Whether the load runs or lookups are open."""
        return self.interval is not None or self.open_count > 0

    def admitted(self):
        """Returns the names of the routers that admit clients."""
        return [router.name for router in self.routers if router.admitted]

    def shares(self):
        """Returns each router's share of all lookups."""
        total = sum(router.share for router in self.routers)
        return {router.name: router.share / total for router in self.routers}

    def table(self, path):
        """Writes a line for each lookup: Unix s, router, kind, outcome, seconds, creation ms, object."""
        with open(path, "w") as out:
            for row in self.rows:
                print(json.dumps(row), file=out)
        return {"rows": len(self.rows), "twice": self.duplicates, "bad": self.corrupt}

    # ---- arrivals

    def _send_due(self):
        if self.interval is None:
            return
        now, until = time.monotonic(), self.interval[1]
        while self.next_arrival < min(now, until):
            self.next_arrival += self.rng.expovariate(self.rate)
            self._arrive()
        if now >= until:
            self.interval = None
        else:
            self.loop.call_later(ARRIVAL_INTERVAL, self._send_due)

    def _arrive(self):
        rng = self.rng
        kind = self.kinds[
            min(len(self.kinds) - 1, bisect(self.kind_shares, rng.random() * self.kind_shares[-1]))
        ]
        object_ = objects.name(bisect(self.zipf, rng.random() * self.zipf[-1]))
        part = rng.randrange(objects.PARTS) if objects.KINDS[kind][2] else 0
        self._send(kind, object_, part, rng.randint(*self.allow), f"{rng.getrandbits(128):032x}", False)

    def _choose(self):
        """Chooses a router by its share among those that are believed to be up."""
        now = time.monotonic()
        if now > self.choice_time + 0.1:
            self.choice_time = now
            self.chosen = [
                router
                for router in self.routers
                if router.admitted or now < router.down_since + DETECTION_SECONDS
            ] or self.routers
            self.chosen_shares = list(accumulate(router.share for router in self.chosen))
        return self.chosen[
            min(len(self.chosen) - 1, bisect(self.chosen_shares, self.rng.random() * self.chosen_shares[-1]))
        ]

    def _send(self, kind, object_, part, allow, key, is_duplicate):
        router = self._choose()
        ref = f"{router.number:04x}{self.rng.getrandbits(48):012x}"
        lookup = Lookup(router, kind, object_, part, allow, ref, key, is_duplicate)
        self.open_count += 1
        now = time.time()
        free = [
            candidate
            for candidate in router.connections
            if candidate.is_up and len(candidate.pending) < 32 and candidate.cooldown_until < now
        ]
        if not free:
            self.end(lookup, UNSENT)
            return
        connection = min(free, key=lambda candidate: len(candidate.pending))
        connection.send(lookup)
        if self.leave and self.rng.random() < self.leave:
            self.loop.call_later(self.rng.random() * allow / 4_000, connection.withdraw, lookup, LEFT)
        self.loop.call_later(allow / 1_000 + self.late, connection.withdraw, lookup, LOST)

    # ---- outcomes

    def end(self, lookup, outcome, created_ms=0):
        """Records the outcome of a lookup once; retries a share of the failed ones."""
        if lookup.ended:
            return
        lookup.ended = True
        self.open_count -= 1
        answered = time.time()
        self.rows.append(
            (
                round(lookup.sent or lookup.created, 4),
                lookup.router.name,
                lookup.kind,
                outcome,
                round(answered - (lookup.sent or lookup.created), 4),
                created_ms,
                lookup.object,
            )
        )
        if (
            outcome in (NACKED, FAILED)
            and not lookup.is_duplicate
            and self.interval
            and self.rng.random() < self.retry
        ):
            if objects.KINDS[lookup.kind][0] != "single_shot" or outcome == NACKED:
                self.loop.call_later(
                    0.2 + self.rng.random(),
                    self._send,
                    lookup.kind,
                    lookup.object,
                    lookup.part,
                    lookup.allow,
                    lookup.key,
                    True,
                )

    def answered(self, lookup, struct):
        """Records an answer: the struct of a reply, or None for an application exception."""
        if struct is None or 2 in struct:
            self.end(lookup, FAILED)
        elif 1 in struct:
            self.end(lookup, NACKED)
        else:
            created_ms = objects.creation_ms(lookup.kind, lookup.object, lookup.part, struct[0].get(1, b""))
            if created_ms is None:
                self.corrupt.append((lookup.ref, lookup.router.name))
                self.end(lookup, WRONG)
            else:
                late = time.time() > lookup.sent + lookup.allow / 1_000 + 0.05
                self.end(lookup, LATE if late else SERVED, created_ms)


def make(spec):
    """Returns the clients of a spec, for remote.main()."""
    return Clients(spec)


if __name__ == "__main__":
    main(make)
