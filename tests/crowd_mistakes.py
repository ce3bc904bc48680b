"""The program with a mistake on purpose, for the rig to find: python -m tests.crowd_mistakes NAME WORDS..."""

import sys

from hookrouter import interface
from hookrouter.caches.pool import CachePool
from hookrouter.front.connections import Front
from hookrouter.node.router import Router

satisfied, listed, send = Front.satisfied, Router.on_cache_list, CachePool.send


def warm(row):
    return row._replace(born=0)


def without_coldness(router, event):
    listed(router, event._replace(caches=tuple(map(warm, event.caches))))


def twice(front, call, pieces, length):
    connection, name = front.connections.get(call[0]), b"execute"
    satisfied(front, call, pieces, length)
    from hookrouter.front import calls

    connection.write(calls.satisfied(name, call[1], pieces, length))


def spoilt(front, call, pieces, length):
    pieces = tuple(bytes(piece).replace(b".", b",") for piece in pieces)
    satisfied(front, call, pieces, length)


def silent(front, call, pieces, length):
    front.connections.get(call[0]).open_calls.pop(call[1])


def passes_over_drains(router, event):
    without_coldness(
        router,
        event._replace(
            caches=tuple(
                row._replace(phase=interface.READY) if row.phase == interface.DRAINING else row
                for row in event.caches
            )
        ),
    )


def sends_again(caches, name, request, *how):
    if request.kind == "order":
        send(caches, name, request, *how)
    return send(caches, name, request, *how)


MISTAKES = {
    "twice": lambda: setattr(Front, "satisfied", twice),
    "spoilt": lambda: setattr(Front, "satisfied", spoilt),
    "silent": lambda: setattr(Front, "satisfied", silent),
    "purges": lambda: setattr(Router, "on_purge", lambda router, event: None),
    "drains": lambda: setattr(Router, "on_cache_list", passes_over_drains),
    "effects": lambda: setattr(CachePool, "send", sends_again),
    "cold": lambda: None,
}


def install(name):
    Router.on_cache_list = without_coldness
    MISTAKES[name]()


if __name__ == "__main__":
    install(sys.argv[1])
    from hookrouter.command import main

    sys.exit(main(sys.argv[2:]))
