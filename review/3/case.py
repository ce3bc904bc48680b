"""Purges by regex, and a purge by glob behind them: is the last one heeded once the desk says that it is in effect?"""

from pathlib import Path

from common import (
    TROUBLE,
    Cache,
    Client,
    ControlFeed,
    DeskCalls,
    Origin,
    endpoint,
    free_port,
    main,
    now_ms,
    wait_for,
)

REGEXES = 62  # live at once; the pages allow 4,000
KIND, OBJECT = "clip", "7f3a9c21e0b4d655"


def test_a_purge_binds_behind_many_patterns(case):
    origin = Origin(case.record)
    cache, feed = Cache(case.record, origin), ControlFeed(case.record)
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
    path, client_port = case.config("n1", feed.server.port, endpoints)
    case.start("n1", EDGE_NAME="n1", EDGE_CONFIG=path, HOOKROUTER_SITE=router_site)
    client = Client(case.record, client_port)
    wait_for(client.check, 20, "the router")
    desk.wait_live("n1")

    if TROUBLE:
        for number in range(REGEXES):
            status, found = desk.submit([("regex", f"[^/]{{1,255}}/{number:04x}[^/]{{0,255}}")])
            if status != 200:
                case.record("case", "the desk refuses: nothing more is submitted")
                break
            desk.in_effect(found["purges"][0]["number"], 30)
    wait_for(lambda: client.lookup(KIND, OBJECT).outcome == "served", 10, "a first answer")
    status, found = desk.submit([("glob", f"{KIND}/{OBJECT[:4]}*")])
    if status != 200:
        return None  # refused, nothing is promised
    number, purged = found["purges"][0]["number"], found["purges"][0]["made_ms"]
    desk.in_effect(number, 30)
    desk.wait_live("n1")
    old = 0
    for _ in range(10):
        answer = client.lookup(KIND, OBJECT)
        if answer.outcome == "served" and answer.made < purged and answer.began > purged:
            old += 1
    if old:
        return (
            f"{old} of 10 lookups that began after purge {number} was stated as in effect were answered from a copy "
            f"that the origin gave out before it (at {purged}); now {now_ms()}"
        )
    return None


main(test_a_purge_binds_behind_many_patterns, Path(__file__).resolve().parent)
