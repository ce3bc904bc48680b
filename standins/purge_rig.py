"""A test rig of a purge desk, a relay and many followers as processes on loopback.

The desk is killed and the time until all followers have reconnected is measured.
"""

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
    """Starts the processes, submits purges and reads the followers' histories.

    paced: whether the configuration has the section [admission]. extra_purges: further lines of [purges].
    """

    def __init__(self, folder, paced=True, extra_purges=""):
        self.folder, self.paced, self.extra_purges = Path(folder), paced, extra_purges
        self.processes, self.port, self.relay_port = [], free_port(), free_port()
        self.acknowledged, self.stop_purging, self.purge_thread = [], threading.Event(), None
        secret = self.folder / "secret"
        secret.write_text(SECRET)
        os.chmod(secret, 0o600)
        desk = f"[desk]\nlisten = 127.0.0.1:{self.port}\nstore = purges.db\n"
        relay = f"[relay]\nname = depot\nlisten = 127.0.0.1:{self.relay_port}\nstore = names\n"
        self.link = Link(("127.0.0.1", self.relay_port))  # the followers of the relay connect through it
        self.sites = {
            "desk": self._write_site_file("desk", desk),
            "relay": self._write_site_file("relay", relay),
            "direct": self._write_site_file("direct"),
            "below": self._write_site_file("below", follow=self.link.port),
        }

    def _write_site_file(self, name, extra="", follow=None):
        path = self.folder / f"{name}.ini"
        path.write_text(
            f"[purges]\ndesk = 127.0.0.1:{self.port}\nsecret = secret\nlease = 2 s\n"
            "skew = 1 ms\n"
            + (f"follow = 127.0.0.1:{follow}\n" if follow else "")
            + self.extra_purges
            + ("[admission]\n" if self.paced else "")
            + extra
        )
        return str(path)

    def start(self, *arguments, ready_text, **environment):
        """Starts a process and waits until a line of its standard error contains ready_text.

        A thread drains the rest of its standard error. AssertionError if it ends before.
        """
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stderr=subprocess.PIPE,
            text=True,
            cwd=ROOT,
            env={**os.environ, **environment},
        )
        self.processes.append(process)
        process.lines = []
        for line in process.stderr:
            process.lines.append(line)
            if ready_text in line:
                break
        else:
            raise AssertionError(process.lines)
        threading.Thread(target=lambda: process.lines.extend(process.stderr), daemon=True).start()
        return process

    def start_desk(self):
        """Starts the purge desk."""
        return self.start(
            "hookrouter", "purges", "serve", "--site", self.sites["desk"], ready_text="serving purges"
        )

    def start_relay(self):
        """Starts the purge relay."""
        return self.start(
            "hookrouter", "purges", "relay", "--site", self.sites["relay"], ready_text="serving purges"
        )

    def start_followers(self, count, site="direct", **options):
        """Starts a process of that many followers; returns the path of their history."""
        path = str(self.folder / f"history{len(self.processes)}")
        arguments = [word for key, value in options.items() for word in (f"--{key}", str(value))]
        self.start(
            "standins.followers",
            "--site",
            self.sites[site],
            "--count",
            str(count),
            "--history",
            path,
            *arguments,
            ready_text="following",
        )
        return path

    def kill(self, process):
        """Sends SIGKILL and waits for the end."""
        process.kill()
        process.wait()

    # ---- calls

    def call(self, method, path, body=None, port=None):
        """Calls the desk, or the relay at port; returns the status and the decoded body."""
        connection = http.client.HTTPConnection("127.0.0.1", port or self.port, timeout=5)
        try:
            connection.request(
                method,
                path,
                None if body is None else json.dumps(body),
                {"Authorization": f"Bearer {SECRET}"},
            )
            response = connection.getresponse()
            return response.status, json.loads(response.read())
        finally:
            connection.close()

    def status(self, port=None):
        """Returns the status of the desk, or of the relay at port."""
        return self.call("GET", "/v1/status", port=port)[1]

    def submit(self, names):
        """Submits purges with one idempotency key and retries until accepted, since the desk may be down.

        Returns the desk's answer, None if there was none.
        """
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

    def submit_many(self, count):
        """Submits that many purges in batches of 1,000."""
        for first in range(0, count, 1_000):
            self.submit([f"old{first + index}" for index in range(min(1_000, count - first))])

    def start_purges(self, interval):
        """Submits a purge every so many seconds, until stop_purges()."""

        def run():
            number = 0
            while not self.stop_purging.wait(interval):
                self.submit([f"new{number}"])
                number += 1

        self.purge_thread = threading.Thread(target=run, daemon=True)
        self.purge_thread.start()

    # ---- histories

    @staticmethod
    def read_history(path):
        """Returns the complete rows [wall ms, name, may answer, n, connected] of a history file."""
        with open(path, encoding="utf-8") as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

    def wait_connected(self, path, count, within, since=0):
        """Waits until that many followers are connected at the same time, the last one since or later.

        Returns the wall-clock ms at which the last one connected; AssertionError after within seconds.
        """
        deadline = time.monotonic() + within
        paths = [path] if isinstance(path, str) else path
        while time.monotonic() < deadline:
            connected_since = {}
            for wall_ms, name, _, _, connected in [row for one in paths for row in self.read_history(one)]:
                connected_since[name] = wall_ms if connected else None
            if (
                len(connected_since) == count
                and all(connected_since.values())
                and max(connected_since.values()) >= since
            ):
                return max(connected_since.values())
            time.sleep(0.05)
        raise AssertionError(
            f"{sum(map(bool, connected_since.values()))} of {count} are connected after {within} s"
        )

    def effect_times(self):
        """Returns [(n, wall ms from which it is in effect)] of the last acknowledged purges, by the desk."""
        found = []
        for number in self.acknowledged[-200:]:
            _, facts = self.call("GET", f"/v1/purges/{number}")
            wall_ms = facts.get("in_effect_ms") or facts.get("latest_ms")
            if wall_ms is not None:
                found.append((int(number.partition(".")[2]), wall_ms))
        return found

    def stale_answers(self, path, slack=100):
        """Returns [(name, n, purge)] of followers that could answer before applying a purge in effect.

        slack: ms of tolerance, since a follower records the end of its lease only at its next check.
        """
        effects, found, since = self.effect_times(), [], {}
        paths = [path] if isinstance(path, str) else path
        for wall_ms, name, may_answer, position, _ in [
            row for one in paths for row in self.read_history(one)
        ]:
            could_answer, applied = since.get(name, (False, 0))
            since[name] = may_answer, position
            missed = [
                purge for purge, effect_ms in effects if purge > applied and effect_ms + slack < wall_ms
            ]
            if could_answer and missed:
                found.append((name, applied, missed[0]))
        return found

    def stop_purges(self):
        """Ends start_purges() and waits for its last purge."""
        self.stop_purging.set()
        if self.purge_thread is not None:
            self.purge_thread.join()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop_purges()
        self.link.closed = True
        self.link.server.close()
        for process in self.processes:
            process.kill()
            process.wait()
