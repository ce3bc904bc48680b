"""What a fleet's agreement costs: commands, durable writes, and lookups served beside faults."""

import json
import socket
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import median

from standins.rig import Rig


def agreed_spans(keepers, secret, count):
    """Seconds of each of so many commands, one after the other, until the log has agreed on it."""
    from twisted.internet import reactor

    from hookrouter.decisions.owners import protocol
    from hookrouter.fleet.wire import Peers

    who, spans, state = "bench", [], {"n": 0, "began": 0.0, "to": None}

    def key():
        return f"{who}#{state['life']}/{state['n']}"

    def ask():
        message = protocol.CommandRequest(key(), "declare", [f"none/{state['n']}"])
        for name in [state["to"]] if state["to"] else keepers:
            peers.send(name, message)

    def heard(sender, message):
        if not isinstance(message, protocol.Answer) or message.key != key():
            return
        if message.result is None:
            return
        spans.append(time.monotonic() - state["began"])
        state["to"] = sender
        if state["n"] >= count:
            if state["n"] == count:
                state["n"] += 1  # later answers are of no use
                reactor.stop()
            return
        state["n"] += 1
        state["began"] = time.monotonic()
        ask()

    state["life"] = int(time.time() * 1_000)
    peers = Peers(reactor, who, keepers, secret, heard, lambda *a, **k: None)

    def begin():
        state["began"] = time.monotonic()
        ask()
        if not spans:
            reactor.callLater(0.3, begin)

    reactor.callLater(0, begin)
    reactor.callLater(30, reactor.stop)
    reactor.run()
    return sorted(spans[1:])


def durable_spans(folder, count):
    """The same of one write of a keeper's store, in one process."""
    from hookrouter.decisions.owners import protocol
    from hookrouter.stores.keeper_log import KeeperLog

    log, spans = KeeperLog(Path(folder) / "one.db", "one"), []
    for n in range(count):
        entry = protocol.Entry(1, protocol.COMMAND, [f"bench#1/{n}", "declare", [f"none/{n}"]])
        began = time.monotonic()
        log.write(protocol.Persist(n, 1, None, n, 0, None, (), n, (entry,), None, 0, 0))
        spans.append(time.monotonic() - began)
    log.close()
    return sorted(spans)


def granting(rig, folder, count):
    keepers = {name: ("127.0.0.1", rig.ports[name]) for name in rig.keepers}
    with ProcessPoolExecutor(1) as pool:  # a reactor runs once in a process
        spans = pool.submit(agreed_spans, keepers, rig.secret.read_bytes().strip(), count).result()
    writes = durable_spans(folder, count)
    return {
        "agreed_p50_ms": at(spans, 0.5),
        "agreed_p99_ms": at(spans, 0.99),
        "durable_p50_ms": at(writes, 0.5),
        "grant_p50_ratio": round(median(spans) / median(writes), 1),
    }


def loaded(faults, dice):
    """Ten routers, five of them keepers, lookups all the while: the share that was satisfied, with the fleet
    and faults at keepers' disks and links, and without a fleet. Stand-ins for cache and feed.
    """
    sys.path.insert(0, str(Path(__file__).parent.parent.parent / "tests"))
    from fleet import configuration, endpoint, members, message
    from processes import BackgroundServer, Cache, FeedStandIn, ask

    from standins.ports import free_port

    shares = {}
    for fleet in (True, False):
        with (
            tempfile.TemporaryDirectory() as folder,
            BackgroundServer(Cache) as cache,
            BackgroundServer(FeedStandIn) as feed,
        ):
            rig, ports, counted = Rig(folder, keepers=5, members=5), {}, [0, 0]
            for name in rig.names:
                ports[name] = free_port()
                caches = endpoint("c0", cache.port), endpoint("o0", cache.port, "origin")
                listed = members(1, *caches, whole=True)
                stated = configuration(
                    listed, listen=f"127.0.0.1:{ports[name]}", feed=f"127.0.0.1:{feed.port}"
                )
                stated["settings"]["limits"]["peers"], stated["name"] = True, name
                rig.configs[name] = Path(folder) / f"{name}.json"
                rig.configs[name].write_text(json.dumps(stated))
                if not fleet:
                    (Path(folder) / f"{name}.ini").write_text("")
            try:
                rig.start()
                rig.wait(lambda rig=rig, fleet=fleet: not fleet or rig.status()["leader"], 20)
                time.sleep(2)
                for n in range(faults):
                    struck = dice.choice(rig.keepers) if fleet else None
                    if struck and n % 2:
                        rig.fill_disk(struck)
                    elif struck:
                        for link in rig.links_of(struck):
                            link.blackhole()
                    for name in rig.names:
                        with socket.create_connection(("127.0.0.1", ports[name]), 5) as connection:
                            connection.settimeout(10)
                            # 32 may be open at once.
                            got = ask(connection, b"".join(message(k) for k in range(1, 21)), 20)
                        counted[0] += 20
                        counted[1] += sum(0 in struct[1] for struct in got.values())
                    time.sleep(1.5 if fleet else 0.1)
                    if struck:
                        rig.free_disk(struck)
                        for link in rig.links_of(struck):
                            link.heal()
            finally:
                rig.stop()
        shares[fleet] = counted
    return {
        "lookups_with": shares[True][0],
        "service_with": round(shares[True][1] / shares[True][0], 4),
        "service_without": round(shares[False][1] / shares[False][0], 4),
    }


def at(values, share):
    return round(values[min(len(values) - 1, int(share * len(values)))] * 1_000, 1) if values else None
