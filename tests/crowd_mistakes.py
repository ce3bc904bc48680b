"""Runs the program with a seeded mistake that the checks of a crowd must detect.

python -m tests.crowd_mistakes NAME ARGUMENTS...; every mistake comes with routers that ignore cold starts.
"""

import sys

from hookrouter import interface
from hookrouter.caches.pool import CachePool
from hookrouter.front.connections import Front
from hookrouter.node.router import Router

satisfied, listed, send = Front.satisfied, Router.on_cache_list, CachePool.send


def mark_as_warm(row):
    return row._replace(born=0)


def listed_without_cold_starts(router, event):
    listed(router, event._replace(caches=tuple(map(mark_as_warm, event.caches))))


def satisfied_twice(front, call, pieces, length):
    connection, name = front.connections.get(call[0]), b"execute"
    satisfied(front, call, pieces, length)
    from hookrouter.front import calls

    connection.write(calls.satisfied(name, call[1], pieces, length))


def satisfied_with_corrupt_bytes(front, call, pieces, length):
    pieces = tuple(bytes(piece).replace(b".", b",") for piece in pieces)
    satisfied(front, call, pieces, length)


def never_satisfied(front, call, pieces, length):
    front.connections.get(call[0]).open_calls.pop(call[1])


def listed_without_drains(router, event):
    listed_without_cold_starts(
        router,
        event._replace(
            caches=tuple(
                row._replace(phase=interface.READY) if row.phase == interface.DRAINING else row
                for row in event.caches
            )
        ),
    )


def send_twice(caches, name, errand, *how):
    if errand.kind == "order":
        send(caches, name, errand, *how)
    return send(caches, name, errand, *how)


MISTAKES = {
    "twice": lambda: setattr(Front, "satisfied", satisfied_twice),
    "spoilt": lambda: setattr(Front, "satisfied", satisfied_with_corrupt_bytes),
    "silent": lambda: setattr(Front, "satisfied", never_satisfied),
    "purges": lambda: setattr(Router, "on_purge", lambda router, event: None),
    "drains": lambda: setattr(Router, "on_cache_list", listed_without_drains),
    "effects": lambda: setattr(CachePool, "send", send_twice),
    "cold": lambda: None,
}


def install(name):
    """Installs a mistake of MISTAKES; all of them ignore cold starts."""
    Router.on_cache_list = listed_without_cold_starts
    MISTAKES[name]()


if __name__ == "__main__":
    install(sys.argv[1])
    from hookrouter.command import main

    sys.exit(main(sys.argv[2:]))
