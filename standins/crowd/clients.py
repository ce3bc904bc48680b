"""Clients of all routers in one process: Zipf names, Poisson arrivals, connections held, answers checked.

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

BEAT = 0.005  # seconds between looks for arrivals that are due
LATE = 0.55  # seconds after its time at which a lookup counts as lost, if not told otherwise
AWARE = 2.0  # seconds until a router that is down gets no more lookups
UNEVEN = 0.7  # of the logarithm of a router's share of all lookups
AGAIN = 0.2  # seconds between tries to connect
ALLOW = (1_000, 4_000)  # ms that a client waits
SERVED, LATELY, NACKED, FAILED, LOST, LEFT, UNSENT, WRONG = (
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
    def __init__(self, name, number, port, share):
        self.name, self.number, self.port, self.share = name, number, port, share
        self.connections, self.admitted, self.down_since = [], False, time.monotonic()


class Lookup:
    __slots__ = (
        "at",
        "router",
        "kind",
        "object",
        "part",
        "allow",
        "ref",
        "key",
        "dup",
        "sent",
        "over",
        "tries",
    )

    def __init__(self, router, kind, object_, part, allow, ref, key, dup):
        self.router, self.kind, self.object, self.part, self.allow = router, kind, object_, part, allow
        self.ref, self.key, self.dup, self.sent, self.over, self.tries = ref, key, dup, 0.0, False, 0
        self.at = time.time()


class Clients:
    def __init__(self, spec):
        self.dice, self.loop = random.Random(spec["seed"]), asyncio.get_running_loop()
        self.routers = [
            Router(name, n, port, math.exp(UNEVEN * self.dice.gauss(0, 1)))
            for n, (name, port) in enumerate(spec["routers"].items())
        ]
        self.count, self.rows, self.twice, self.bad = spec["connections"], [], [], []
        self.running, self.open, self.changed = None, 0, 0.0

    async def start(self):
        for router in self.routers:
            for _ in range(self.count):
                connection = Connection(self, router)
                router.connections.append(connection)
                self.loop.create_task(self._hold(connection))

    async def _hold(self, connection):
        """One connection, made anew for as long as this runs."""
        while True:
            try:
                await self.loop.create_connection(lambda: connection, "127.0.0.1", connection.router.port)
                await connection.ended
            except OSError:
                pass
            connection.up = False
            router = connection.router
            if router.admitted and not any(c.up for c in router.connections):
                router.admitted, router.down_since = False, time.monotonic()
            await asyncio.sleep(AGAIN * (0.5 + self.dice.random()))

    # ---- commands

    def run(
        self, seconds, rate, names=3_000, alpha=1.0, retry=0.2, leave=0.0, kinds=None, late=LATE, allow=ALLOW
    ):
        """Begins; rate: lookups a second over all routers. kinds: {kind: share}, else those of objects.

        late: seconds after its time at which an unanswered lookup is lost. allow: ms that clients wait.
        """
        shares = kinds or {kind: row[-1] for kind, row in objects.KINDS.items()}
        self.kinds, self.kind_shares = list(shares), list(accumulate(shares.values()))
        self.zipf = list(accumulate((rank + 1) ** -alpha for rank in range(names)))
        self.rate, self.retry, self.leave, self.late, self.allow = rate, retry, leave, late, allow
        begun = time.monotonic()
        self.running = (begun, begun + seconds)
        self.next = begun + self.dice.expovariate(rate)
        self.loop.call_soon(self._beat)

    def stop(self):
        self.running = None

    def busy(self):
        return self.running is not None or self.open > 0

    def admitted(self):
        return [router.name for router in self.routers if router.admitted]

    def shares(self):
        total = sum(router.share for router in self.routers)
        return {router.name: router.share / total for router in self.routers}

    def table(self, path):
        """A line a lookup: Unix s, router, kind, end, seconds, made (ms), object, answered (Unix s)."""
        with open(path, "w") as out:
            for row in self.rows:
                print(json.dumps(row), file=out)
        return {"rows": len(self.rows), "twice": self.twice, "bad": self.bad}

    # ---- arrivals

    def _beat(self):
        if self.running is None:
            return
        now, until = time.monotonic(), self.running[1]
        while self.next < min(now, until):
            self.next += self.dice.expovariate(self.rate)
            self._arrive()
        if now >= until:
            self.running = None
        else:
            self.loop.call_later(BEAT, self._beat)

    def _arrive(self):
        dice = self.dice
        kind = self.kinds[
            min(len(self.kinds) - 1, bisect(self.kind_shares, dice.random() * self.kind_shares[-1]))
        ]
        object_ = objects.name(bisect(self.zipf, dice.random() * self.zipf[-1]))
        part = dice.randrange(objects.PARTS) if objects.KINDS[kind][2] else 0
        self._send(kind, object_, part, dice.randint(*self.allow), f"{dice.getrandbits(128):032x}", False)

    def _choose(self):
        """A router that the front believes to be up, by its share."""
        now = time.monotonic()
        if now > self.changed + 0.1:
            self.changed = now
            self.chosen = [
                r for r in self.routers if r.admitted or now < r.down_since + AWARE
            ] or self.routers
            self.chosen_shares = list(accumulate(r.share for r in self.chosen))
        return self.chosen[
            min(len(self.chosen) - 1, bisect(self.chosen_shares, self.dice.random() * self.chosen_shares[-1]))
        ]

    def _send(self, kind, object_, part, allow, key, dup):
        router = self._choose()
        ref = f"{router.number:04x}{self.dice.getrandbits(48):012x}"
        lookup = Lookup(router, kind, object_, part, allow, ref, key, dup)
        self.open += 1
        now = time.time()
        free = [c for c in router.connections if c.up and len(c.open) < 32 and c.away < now]
        if not free:
            self.end(lookup, UNSENT)
            return
        connection = min(free, key=lambda c: len(c.open))
        connection.send(lookup)
        if self.leave and self.dice.random() < self.leave:
            self.loop.call_later(self.dice.random() * allow / 4_000, connection.withdraw, lookup, LEFT)
        self.loop.call_later(allow / 1_000 + self.late, connection.withdraw, lookup, LOST)

    # ---- ends

    def end(self, lookup, how, made=0):
        if lookup.over:
            return
        lookup.over = True
        self.open -= 1
        answered = time.time()
        self.rows.append(
            (
                round(lookup.sent or lookup.at, 4),
                lookup.router.name,
                lookup.kind,
                how,
                round(answered - (lookup.sent or lookup.at), 4),
                made,
                lookup.object,
            )
        )
        if how in (NACKED, FAILED) and not lookup.dup and self.running and self.dice.random() < self.retry:
            if objects.KINDS[lookup.kind][0] != "single_shot" or how == NACKED:
                self.loop.call_later(
                    0.2 + self.dice.random(),
                    self._send,
                    lookup.kind,
                    lookup.object,
                    lookup.part,
                    lookup.allow,
                    lookup.key,
                    True,
                )

    def answered(self, lookup, struct):
        """One whole answer: the struct of a reply, or None for an application exception."""
        if struct is None or 2 in struct:
            self.end(lookup, FAILED)
        elif 1 in struct:
            self.end(lookup, NACKED)
        else:
            made = objects.made(lookup.kind, lookup.object, lookup.part, struct[0].get(1, b""))
            if made is None:
                self.bad.append((lookup.ref, lookup.router.name))
                self.end(lookup, WRONG)
            else:
                late = time.time() > lookup.sent + lookup.allow / 1_000 + 0.05
                self.end(lookup, LATELY if late else SERVED, made)


def make(spec):
    return Clients(spec)


if __name__ == "__main__":
    main(make)
