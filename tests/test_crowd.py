"""A crowd of real routers under faults breaks no rule, and each seeded mistake is detected.

The stand-ins of the caches and of the relay between members are tested by themselves, too.
"""

import os
import socket
import time
from pathlib import Path

import pytest
from crowd_mistakes import MISTAKES

from standins.crowd import Crowd, objects
from standins.crowd.remote import Remote
from standins.crowd.settings import TIMES
from standins.ports import free_port


def wait_for(condition, within=15.0):
    end = time.monotonic() + within
    while not (found := condition()) and time.monotonic() < end:
        time.sleep(0.1)
    return found


def test_routers_killed_a_zone_cut_and_a_cold_cache_break_no_rule(tmp_path):
    with Crowd(tmp_path, 12, 8, sections={"fleet": {}}) as crowd:
        assert crowd.ready()
        crowd.load.start(6, 150, late=3.0)
        time.sleep(1)
        crowd.kill(*crowd.routers[:7])
        crowd.caches.restart("c0")
        crowd.caches.drain("c1")
        crowd.links.cut_zone("z0")
        assert wait_for(lambda: "member suspect" in crowd.processes.log("r11"))
        crowd.links.heal()
        crowd.caches.purge(key=objects.name(0))
        crowd.start(*crowd.routers[:7])
        assert crowd.ready()
        crowd.load.wait()
        verdict = crowd.verdict(slack=1.0)
        counters = crowd.counters()
        assert verdict.violations == [] and verdict.served > 0.8, verdict.summary()
        assert len(counters) == 12 and all(row["errors_uncaught"] == 0 for row in counters.values())
        assert all("Traceback" not in crowd.processes.log(name) for name in crowd.members)
        arrivals = sum(sum(slot["by"].values()) for row in crowd.caches.tables() for slot in row["slots"])
        assert arrivals > verdict.outcomes["served"] / 2 and crowd.links.carried()["bytes"]["r11"] > 1_000


def test_each_mistake_made_on_purpose_is_found(tmp_path):
    names = list(MISTAKES)
    with Crowd(
        tmp_path,
        len(names),
        4,
        zones=1,
        weight=1,
        cold_ms=60_000,
        program=lambda name: ("tests.crowd_mistakes", names[int(name[1:])]),
    ) as crowd:
        assert crowd.ready()
        crowd.load.start(
            6, 120, names=400, retry=0.0, kinds={"clip": 0.8, "order": 0.2}, late=2.0, allow=(1_000, 1_500)
        )
        time.sleep(1)
        crowd.caches.restart("c0")
        crowd.caches.drain("c1")
        for rank in range(8):
            crowd.caches.purge(key=objects.name(rank))
        crowd.load.wait()
        verdict = crowd.verdict(slack=1.0)
    router_of = {name: f"r{n}" for n, name in enumerate(names)}
    assert {row[1] for row in verdict.lost} == {router_of["silent"]}
    assert {name for _, name in verdict.answered_twice} == {router_of["twice"]}
    assert {name for _, name in verdict.corrupt} == {router_of["spoilt"]}
    assert {row[1] for row in verdict.stale} == {router_of["purges"]}
    assert {who for _, who, *_ in verdict.after_drain} == {names.index("drains")}
    assert {int(key[:4], 16) for key, _ in verdict.repeated_effects} == {names.index("effects")}
    assert verdict.overloads and verdict.overloads[0]["cache"] == "c0"
    assert len(verdict.violations) == len(MISTAKES)


def lookup(port, *fields):
    """Returns (status, X-Result) of one lookup at a cache."""
    head = "".join(f"{field}\r\n" for field in fields)
    with socket.create_connection(("127.0.0.1", port), 5) as connection:
        connection.sendall(
            f"GET /fetch/clip/{objects.name(1)}/0 HTTP/1.1\r\nX-Trace: 0001aa\r\n{head}\r\n".encode()
        )
        data = connection.recv(65_536).decode("latin-1")
    return int(data.split(" ")[1]), data.partition("X-Result: ")[2].partition("\r\n")[0]


def test_no_port_is_given_twice_and_none_that_the_system_gives_to_others():
    first = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    ports = [free_port() for _ in range(50)]
    assert len(set(ports)) == len(ports) and max(ports) < first
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as occupied:  # in use for UDP only
        occupied.bind(("127.0.0.1", ports[-1] + 1))
        assert free_port() != ports[-1] + 1


def test_a_cache_keeps_copies_refuses_late_numbers_and_drops_what_is_purged(tmp_path):
    rows = [
        {
            "name": name,
            "zone": "z0",
            "type": cache_type,
            "group": 0,
            "weight": 8,
            "since_ms": 0,
            "room": 10_000,
            "port": free_port(),
        }
        for name, cache_type in (("c0", "box"), ("o0", "origin"))
    ]
    world = Remote(
        "world",
        {"caches": rows, "doors": {}, "terms": {**TIMES, "origin": "o0"}, "idle": 5, "inline": False},
        tmp_path,
    )
    try:
        port = rows[0]["port"]
        assert lookup(port) == (404, "")
        assert lookup(port, "X-Origin-Pick: o0") == (200, "filled") and lookup(port) == (200, "hit")
        assert (
            lookup(port, "X-Fence: warm/c0 7") == (200, "hit")
            and lookup(port, "X-Fence: warm/c0 6")[0] == 409
        )
        assert lookup(port, "X-Fence: warm/c1 6") == (200, "hit")
        world.call("purge", key=objects.name(1))
        assert wait_for(lambda: lookup(port)[0] == 404)
        world.call("restart", name="c0", gone=0.0)
        assert lookup(port, "X-Origin-Pick: o0") == (200, "filled")
        world.call("vanish", name="c0")
        with socket.socket() as client:
            client.settimeout(0.5)
            with pytest.raises(TimeoutError):
                client.connect(("127.0.0.1", port))
        world.call("heal", name="c0")
        assert lookup(port) == (200, "hit")
    finally:
        world.end()


def test_the_relay_cuts_one_way_holds_doubles_and_loses(tmp_path):
    rows = {
        name: {"zone": zone, "real": free_port(), "shown": free_port()}
        for name, zone in (("a", "z0"), ("b", "z1"))
    }
    relay = Remote("relay", {"members": rows, "streams": [], "seed": 1}, tmp_path)
    sockets = {}
    try:
        for name, row in rows.items():
            sockets[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sockets[name].bind(("127.0.0.1", row["real"]))
            sockets[name].settimeout(0.2)

        def count_received(sender, receiver):
            """Returns how many copies of one datagram the receiver gets within 0.2 s."""
            sockets[sender].sendto(b"x", ("127.0.0.1", rows[receiver]["shown"]))
            count = 0
            try:
                while sockets[receiver].recvfrom(100)[1][1] == rows[sender]["shown"]:
                    count += 1
            except TimeoutError:
                return count

        assert count_received("a", "b") == count_received("b", "a") == 1
        relay.call("cut_zone", zone="z0", both=False)
        assert (count_received("a", "b"), count_received("b", "a")) == (0, 1)
        relay.call("heal")
        relay.call("double", share=1.0)
        assert count_received("a", "b") == 2
        relay.call("hold", seconds=0.6)
        assert count_received("a", "b") == 0 and wait_for(
            lambda: count_received("b", "a") or count_received("a", "b")
        )
        relay.call("lose", share=1.0)
        assert wait_for(lambda: count_received("a", "b") == 0) and relay.call("carried")["dropped"] > 0
        # A stream to an advertised port is attributed to the process that opened it.
        relay.call("pids", of={"a": os.getpid()})
        relay.call("heal")
        with socket.create_server(("127.0.0.1", rows["b"]["real"])) as server:
            with socket.create_connection(("127.0.0.1", rows["b"]["shown"]), 5) as opened:
                accepted, _ = server.accept()
                with accepted:
                    accepted.settimeout(0.5)
                    opened.sendall(b"x")
                    assert accepted.recv(1) == b"x"
                    relay.call("cut", a="a", b="b", both=False)
                    opened.sendall(b"y")
                    with pytest.raises(TimeoutError):
                        accepted.recv(1)
    finally:
        relay.end()
        for sock in sockets.values():
            sock.close()
