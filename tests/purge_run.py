"""Runs of fleet-wide purges as processes on loopback: a desk, relays and routers."""

import json
import os
import subprocess
import sys
import time
from typing import NamedTuple

from fleet import configuration, endpoint, members
from purging import site

from standins.ports import free_port


class Run:
    """Runs sub-commands as processes; kills those still running at the end."""

    def __init__(self, folder, more=""):
        self.folder, self.all, self.port = folder, [], free_port()
        self.site(f"[desk]\nlisten = 127.0.0.1:{self.port}\nstore = purges.db\n", "desk.ini")

    def site(self, more, name, above=None):
        site(self.folder, self.port, more=(f"follow = 127.0.0.1:{above}\n" if above else "") + more)
        (self.folder / "site.ini").rename(self.folder / name)
        return str(self.folder / name)

    def start(self, *arguments, said, **environment):
        process = subprocess.Popen(
            [sys.executable, "-m", "hookrouter", *arguments],
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, **environment},
        )
        self.all.append(process)
        assert said in process.stderr.readline()
        return process

    def desk(self):
        return self.start("purges", "serve", "--site", str(self.folder / "desk.ini"), said="serving purges")

    def call(self, *arguments, code=0):
        completed = subprocess.run(
            [
                sys.executable,
                "-m",
                "hookrouter",
                "purges",
                *arguments,
                "--site",
                str(self.folder / "desk.ini"),
            ],
            capture_output=True,
            text=True,
            timeout=30,
        )
        assert completed.returncode == code and "Traceback" not in completed.stderr, completed.stderr
        return completed.stdout if code == 0 else completed.stderr

    def members(self, count, state="live", at=None):
        """Waits until count members of the desk, or of the relay at that port, are in that state."""
        of = () if at is None else ("--at", f"127.0.0.1:{at}")
        for _ in range(100):
            rows = json.loads(self.call("status", "--json", *of))["members"]
            if sum(row["state"] == state for row in rows) == count:
                return rows
            time.sleep(0.05)
        raise AssertionError(rows)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.all:
            process.kill()
            process.wait()
            process.stderr.close()


def router_of(run, fleet, name, site_file):
    port = free_port()
    path = run.folder / f"{name}.json"
    path.write_text(json.dumps(configuration(members(1, *fleet, whole=True), listen=f"127.0.0.1:{port}")))
    process = run.start("serve", "--site", site_file, said="serving", EDGE_CONFIG=str(path), EDGE_NAME=name)
    return process, port


class RelayedFleet(NamedTuple):
    """Processes of a run. routers: {name: (process, its port)}."""

    desk: subprocess.Popen
    relay: subprocess.Popen
    relay_site: str
    routers: dict


def start_relay(run, site_file):
    return run.start("purges", "relay", "--site", site_file, said="serving purges")


def relayed_fleet(run, cache_port):
    """Starts a desk, the relay depot, the router n1 below it and the router n2 below the desk."""
    desk, relay_port = run.desk(), free_port()
    relay_site = run.site(
        f"[relay]\nname = depot\nlisten = 127.0.0.1:{relay_port}\nstore = names\n", "relay.ini"
    )
    below = run.site("", "below.ini", above=relay_port)
    relay = start_relay(run, relay_site)
    caches = [endpoint("c0", cache_port), endpoint("o0", cache_port, "origin")]
    routers = {
        "n1": router_of(run, caches, "n1", below),
        "n2": router_of(run, caches, "n2", str(run.folder / "desk.ini")),
    }
    assert [row["name"] for row in run.members(2)] == ["depot", "n2"]
    assert [row["name"] for row in run.members(1, at=relay_port)] == ["n1"]
    return RelayedFleet(desk, relay, relay_site, routers)
