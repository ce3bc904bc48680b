"""One desk becomes a fleet of keepers, as the page says. A router that starts between the start of the keepers and the
import: does it heed the purges that were in effect before?
"""

import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import (
    ROOT,
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

KEEPERS = ("k1", "k2", "k3")
KIND, OBJECT = "clip", "7f3a9c21e0b4d655"


def play(case):
    origin = Origin(case.record)
    cache, feed = Cache(case.record, origin), ControlFeed(case.record)
    fleet_ports = {name: free_port() for name in KEEPERS}
    desk_ports = {name: free_port() for name in KEEPERS}
    shared = f"secret = {case.secret}\nlease = 2 s\nhold = 24 h\n"
    one = f"[purges]\ndesk = 127.0.0.1:{desk_ports['k1']}\n{shared}"
    several = (
        "[purges]\ndesk = " + ", ".join(f"127.0.0.1:{desk_ports[name]}" for name in KEEPERS) + f"\n{shared}"
    )
    keepers = ", ".join(f"{name} 127.0.0.1:{fleet_ports[name]}" for name in KEEPERS)
    desk_site = case.site(
        "desk.ini", one + f"[desk]\nlisten = 127.0.0.1:{desk_ports['k1']}\nstore = {case.work}/k1-purges.db\n"
    )
    router_site = case.site("router.ini", several)  # all the addresses; the first one has the desk already
    people = case.site(
        "people.ini",
        f"[fleet]\nname = people\nlisten = 127.0.0.1:{free_port()}\nkeepers = {keepers}\nsecret = {case.secret}\n"
        + several,
    )
    endpoints = [
        endpoint("c0", cache.server.port, "box", "edge"),
        endpoint("o0", origin.server.port, "origin", "hub"),
    ]
    settings = json.loads((ROOT / "docs/example.json").read_text())["settings"]
    settings["extra"]["freshFor"][0] = 60_000.0  # copies are good for a minute, so that the steps have time
    path, client_port = case.config("n1", feed.server.port, endpoints, settings=settings)

    def start_router():
        router = case.start("n1", EDGE_NAME="n1", EDGE_CONFIG=path, HOOKROUTER_SITE=router_site)
        wait_for(client.check, 20, "the router")
        return router

    def command(words):
        """A command of an operator; (exit code, what it says)."""
        process = case.start("command", f"{words} --site {people}")
        code = process.wait(30)
        said = case.log_of(process.name).strip()
        case.record("operator", f"{words}: {code} {said}")
        return code, said

    # One desk, one router; a copy, then a purge of it.
    desk_process = case.start("desk", f"purges serve --site {desk_site}")
    desk = DeskCalls(case.record, desk_ports["k1"])
    wait_for(lambda: desk.call("GET", "/v1/status")[0] == 200, 15, "the desk")
    client = Client(case.record, client_port)
    router = start_router()
    desk.wait_live("n1")
    wait_for(lambda: client.lookup(KIND, OBJECT).outcome == "served", 10, "a first answer")
    status, found = desk.submit([("object", OBJECT)])
    if status != 200:
        raise CannotRun("the purge was not accepted")
    purged = found["purges"][0]["made_ms"]
    facts = desk.in_effect(found["purges"][0]["number"])
    began = time.monotonic()

    # From one desk to a fleet, in the order of the page.
    case.signal(desk_process, signal.SIGTERM)
    desk_process.wait(10)
    time.sleep(2.1)  # a lease
    for name in KEEPERS:
        site = case.site(
            f"{name}.ini",
            several + f"[desk]\nlisten = 127.0.0.1:{desk_ports[name]}\nstore = {case.work}/{name}-purges.db\n"
            f"[fleet]\nname = {name}\nlisten = 127.0.0.1:{fleet_ports[name]}\nkeepers = {keepers}\n"
            f"secret = {case.secret}\nstore = {case.work}/{name}.db\n",
        )
        case.start(name, f"fleet serve --site {site}")
    if TROUBLE:
        client.close()
        case.signal(router, signal.SIGTERM)
        router.wait(10)
        router = start_router()
    time.sleep(3)  # the object is not asked for until the router has had time to learn what holds
    old = 0

    def ask():
        answer = client.lookup(KIND, OBJECT)
        late = answer.began > facts["in_effect_ms"]
        return int(answer.outcome == "served" and answer.made < purged and late)

    until = time.monotonic() + 2
    while time.monotonic() < until:
        old += ask()
        time.sleep(0.1)
    code, said = command("fleet import")
    case.record("case", f"{time.monotonic() - began:.1f} s from the purge to the end of the import")
    if code != 0:
        raise CannotRun(f"the import: {said}")
    time.sleep(3)
    after = sum(ask() for _ in range(5))
    case.record("case", f"{old} old answers before the import, {after} of 5 some seconds after it")
    if old + after:
        return (
            f"{old} lookups that began after the purge was stated as in effect (since {facts['in_effect_ms']}) were "
            f"answered from a copy that the origin gave out before it (at {purged}); {after} of 5 after the import"
        )
    return None


main(play, Path(__file__).resolve().parent)
