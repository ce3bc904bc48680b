"""Globs within the desk's cap, then lookups of many objects: does the router stay inside its memory?

The platform's part is played as the deployment page says it: over its memory the router is killed.
"""

import os
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import (
    TROUBLE,
    Cache,
    CannotRun,
    Client,
    ControlFeed,
    DeskCalls,
    Origin,
    endpoint,
    free_port,
    main,
    wait_for,
)

GLOBS = 3_900  # the desk's cap is 4,000
IN_ONE_SUBMISSION = 975  # 1,000 at most
MEMORY_MB = 192  # of docs/example.json
# What the page of purges says comes on top: 4 as such, 4 for names, 11 for slices, 12 for tags, 1 for 1,000 patterns.
ON_TOP_MB = 4 + 4 + 11 + 12 + 4
SECONDS, CLIENTS, PAUSE = 70, 3, 0.05  # some 50 lookups a second


def resident_mb(pid):
    """The resident memory of a process, shared pages left out."""
    size, shared = Path(f"/proc/{pid}/statm").read_text().split()[1:3]
    return (int(size) - int(shared)) * os.sysconf("SC_PAGE_SIZE") / 1e6


def play(case):
    origin = Origin(lambda *_: None)
    cache, feed = Cache(lambda *_: None, origin), ControlFeed(case.record)
    port = free_port()
    purges = f"[purges]\ndesk = 127.0.0.1:{port}\nsecret = {case.secret}\nlease = 2 s\nhold = 24 h\n"
    desk_site = case.site(
        "desk.ini", purges + f"[desk]\nlisten = 127.0.0.1:{port}\nstore = {case.work / 'purges.db'}\n"
    )
    router_site = case.site("router.ini", purges)
    case.start("desk", f"purges serve --site {desk_site}")
    desk = DeskCalls(case.record, port)
    wait_for(lambda: desk.call("GET", "/v1/status")[0] == 200, 15, "the desk")
    endpoints = [
        endpoint("c0", cache.server.port, "box", "edge"),
        endpoint("o0", origin.server.port, "origin", "hub"),
    ]
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256}
    path, client_port = case.config("n1", feed.server.port, endpoints, limits=limits)
    router = case.start("n1", EDGE_NAME="n1", EDGE_CONFIG=path, HOOKROUTER_SITE=router_site)
    client = Client(case.record, client_port)
    wait_for(client.check, 20, "the router")
    desk.wait_live("n1")
    case.record("platform", f"the router has {resident_mb(router.pid):.0f} MB")

    if TROUBLE:
        for first in range(0, GLOBS, IN_ONE_SUBMISSION):
            items = [("glob", f"clip/*{number:03x}*") for number in range(first, first + IN_ONE_SUBMISSION)]
            status, found = desk.submit(items, tell=False)
            case.record("operator", f"globs clip/*{first:03x}* and {len(items) - 1} more: {status}")
            if status != 200:
                raise CannotRun(f"the desk refuses: {found}")
            desk.in_effect(found["purges"][-1]["number"], 30)
        desk.wait_live("n1")
    case.record("platform", f"the router has {resident_mb(router.pid):.0f} MB before the lookups")

    stop, outcomes, lost = threading.Event(), {}, []

    def ask():
        one = Client(case.record, client_port)
        while not stop.is_set():
            try:
                answer = one.lookup("clip", os.urandom(8).hex(), quiet=True)
            except OSError:
                answer = None
            outcome = "lost" if answer is None else answer.outcome
            outcomes[outcome] = outcomes.get(outcome, 0) + 1
            if outcome == "lost":
                lost.append(time.monotonic())
                case.record("client", "a lookup got no answer, its connection ended")
                return
            time.sleep(PAUSE)

    clients = [threading.Thread(target=ask, daemon=True) for _ in range(CLIENTS)]
    for thread in clients:
        thread.start()
    began, most, killed = time.monotonic(), 0.0, None
    while time.monotonic() < began + SECONDS and killed is None:
        time.sleep(0.5)
        if router.poll() is not None:
            raise CannotRun(f"the router ended with {router.poll()}")
        now = resident_mb(router.pid)
        most = max(most, now)
        if int(time.monotonic() - began) % 5 == 0:
            case.record("platform", f"the router has {now:.0f} MB after {sum(outcomes.values())} lookups")
        if now > MEMORY_MB + ON_TOP_MB:
            killed = now
            case.record("platform", f"{now:.0f} MB after {sum(outcomes.values())} lookups: killed for memory")
            case.signal(router, signal.SIGKILL)
    time.sleep(0.5)
    stop.set()
    for thread in clients:
        thread.join(5)
    case.record("client", f"outcomes: {outcomes}; the router had {most:.0f} MB at the most")
    if killed is not None:
        return (
            f"the router is killed for memory: {killed:.0f} MB, where its limit is {MEMORY_MB} MB and the page allows "
            f"{ON_TOP_MB} MB more; {len(lost)} lookups got no answer"
        )
    if not TROUBLE and outcomes.get("served", 0) < 1_000:
        raise CannotRun(f"too few lookups: {outcomes}")
    return None


main(play, Path(__file__).resolve().parent)
