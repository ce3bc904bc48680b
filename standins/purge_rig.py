"""A desk, a relay and many followers as processes on loopback; the desk is killed and returns are timed."""

import http.client
import json
import os
import subprocess
import sys
import threading
import time
import uuid
from pathlib import Path

from .links import Link
from .ports import free_port
from .rig import ROOT

SECRET = "0123456789abcdef"


class PurgeRig:
    """paced: whether the section [admission] is there. more: lines for [purges]."""

    def __init__(self, folder, paced=True, more=""):
        self.folder, self.paced, self.more = Path(folder), paced, more
        self.all, self.port, self.relay_port = [], free_port(), free_port()
        self.acknowledged, self.stop_purging, self.purger = [], threading.Event(), None
        secret = self.folder / "secret"
        secret.write_text(SECRET)
        os.chmod(secret, 0o600)
        desk = f"[desk]\nlisten = 127.0.0.1:{self.port}\nstore = purges.db\n"
        relay = f"[relay]\nname = depot\nlisten = 127.0.0.1:{self.relay_port}\nstore = names\n"
        self.link = Link(("127.0.0.1", self.relay_port))  # routers hang off the relay by it
        self.sites = {
            "desk": self._site("desk", desk),
            "relay": self._site("relay", relay),
            "direct": self._site("direct"),
            "below": self._site("below", follow=self.link.port),
        }

    def _site(self, name, more="", follow=None):
        path = self.folder / f"{name}.ini"
        path.write_text(
            f"[purges]\ndesk = 127.0.0.1:{self.port}\nsecret = secret\nlease = 2 s\n"
            "skew = 1 ms\n"
            + (f"follow = 127.0.0.1:{follow}\n" if follow else "")
            + self.more
            + ("[admission]\n" if self.paced else "")
            + more
        )
        return str(path)

    def start(self, *words, said, **environment):
        """A process that has said so on its standard error, which is read away after that."""
        process = subprocess.Popen(
            [sys.executable, "-m", *words],
            stderr=subprocess.PIPE,
            text=True,
            cwd=ROOT,
            env={**os.environ, **environment},
        )
        self.all.append(process)
        process.lines = []
        for line in process.stderr:
            process.lines.append(line)
            if said in line:
                break
        else:
            raise AssertionError(process.lines)
        threading.Thread(target=lambda: process.lines.extend(process.stderr), daemon=True).start()
        return process

    def start_desk(self):
        return self.start(
            "hookrouter", "purges", "serve", "--site", self.sites["desk"], said="serving purges"
        )

    def start_relay(self):
        return self.start(
            "hookrouter", "purges", "relay", "--site", self.sites["relay"], said="serving purges"
        )

    def start_followers(self, count, site="direct", **options):
        """The file of their history."""
        path = str(self.folder / f"history{len(self.all)}")
        words = [word for key, value in options.items() for word in (f"--{key}", str(value))]
        self.start(
            "standins.followers",
            "--site",
            self.sites[site],
            "--count",
            str(count),
            "--history",
            path,
            *words,
            said="following",
        )
        return path

    def kill(self, process):
        process.kill()
        process.wait()

    # ---- calls

    def call(self, method, path, body=None, port=None):
        connection = http.client.HTTPConnection("127.0.0.1", port or self.port, timeout=5)
        try:
            connection.request(
                method,
                path,
                None if body is None else json.dumps(body),
                {"Authorization": f"Bearer {SECRET}"},
            )
            got = connection.getresponse()
            return got.status, json.loads(got.read())
        finally:
            connection.close()

    def status(self, port=None):
        return self.call("GET", "/v1/status", port=port)[1]

    def submit(self, names):
        """Under one key until it is accepted: the desk may be down meanwhile."""
        body = {"key": uuid.uuid4().hex, "purges": [{"sort": "object", "what": name} for name in names]}
        for _ in range(200):
            try:
                status, found = self.call("POST", "/v1/purges", body)
            except (OSError, http.client.HTTPException, ValueError):
                status = None
            if status == 200:
                self.acknowledged += [row["number"] for row in found["purges"]]
                return found
            if self.stop_purging.wait(0.05):
                return None
        return None

    def submit_many(self, many):
        for at in range(0, many, 1_000):
            self.submit([f"old{at + n}" for n in range(min(1_000, many - at))])

    def start_purges(self, every):
        """Purges go on until stop_purges()."""

        def run():
            n = 0
            while not self.stop_purging.wait(every):
                self.submit([f"new{n}"])
                n += 1

        self.purger = threading.Thread(target=run, daemon=True)
        self.purger.start()

    # ---- histories

    @staticmethod
    def read_history(path):
        """[(wall ms, name, may answer, n, connected)] as far as written."""
        with open(path, encoding="utf-8") as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

    def wait_connected(self, path, count, within, since=0):
        """Waits until so many are connected at once; wall ms of when the last came."""
        until = time.monotonic() + within
        paths = [path] if isinstance(path, str) else path
        while time.monotonic() < until:
            up = {}
            for at, name, _, _, connected in [row for one in paths for row in self.read_history(one)]:
                up[name] = at if connected else None
            if len(up) == count and all(up.values()) and max(up.values()) >= since:
                return max(up.values())
            time.sleep(0.05)
        raise AssertionError(f"{sum(map(bool, up.values()))} of {count} are back after {within} s")

    def effect_times(self):
        """[(n, wall ms from which it is in effect)] of what was acknowledged, as the desk states it."""
        found = []
        for number in self.acknowledged[-200:]:
            _, facts = self.call("GET", f"/v1/purges/{number}")
            at = facts.get("in_effect_ms") or facts.get("latest_ms")
            if at is not None:
                found.append((int(number.partition(".")[2]), at))
        return found

    def stale_answers(self, path, slack=100):
        """Whoever might answer at a place before a purge that was in effect: [(name, n, purge)]. slack: ms,
        since a follower notes the end of its lease at its next look.
        """
        effects, found, since = self.effect_times(), [], {}
        paths = [path] if isinstance(path, str) else path
        for at, name, may, n, _ in [row for one in paths for row in self.read_history(one)]:
            might, place = since.get(name, (False, 0))
            since[name] = may, n
            missed = [purge for purge, t in effects if purge > place and t + slack < at]
            if might and missed:
                found.append((name, place, missed[0]))
        return found

    def stop_purges(self):
        self.stop_purging.set()
        if self.purger is not None:
            self.purger.join()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop_purges()
        self.link.closed = True
        self.link.server.close()
        for process in self.all:
            process.kill()
            process.wait()
