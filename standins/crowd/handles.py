"""Handles by which a crowd controls its stand-in processes and reads their tables."""

import json
import time


class RemoteCommands:
    """A stand-in in another process, with its commands as methods."""

    def __init__(self, remote):
        self.remote = remote

    def __getattr__(self, name):
        return lambda *arguments, **values: self.remote.call(
            name, **self._keyword_arguments(name, arguments), **values
        )

    @staticmethod
    def _keyword_arguments(name, arguments):
        parameters = {
            "cut": ("a", "b", "both"),
            "cut_zone": ("zone", "both"),
            "hold": ("seconds", "jitter", "streams"),
            "lose": ("share",),
            "double": ("share",),
            "disorder": ("share",),
            "slow": ("name", "times"),
            "restart": ("name", "gone"),
            "purge": ("key", "group"),
            "warm": ("names",),
            "feed_delay": ("seconds", "routers"),
        }
        return dict(zip(parameters.get(name, ("name",)), arguments))


class Caches(RemoteCommands):
    """The process of caches, parents, origin and feed."""

    def __init__(self, remote, folder):
        super().__init__(remote)
        self.folder = folder

    def tables(self):
        """Returns a dict for each cache: slots of 100 ms with "at" (Unix ms), "by" (arrivals by router
        number), "out", "hits", "fills" (by source), "full", "refused" (by fencing number), "cold", "purged";
        and "falls", "after_drain", "effects", "void", "state".
        """
        path = self.folder / "caches.jsonl"
        self.remote.call("tables", path=str(path))
        with open(path) as lines:
            rows = [json.loads(line) for line in lines]
        for row in rows:
            for slot in row["slots"]:
                slot["by"] = {int(router_number): count for router_number, count in slot["by"].items()}
        return rows


class Load(RemoteCommands):
    """The process of the clients."""

    def __init__(self, remote, folder):
        super().__init__(remote)
        self.folder = folder

    def start(self, seconds, rate, **options):
        """Starts a load; options: see run()."""
        self.remote.call("run", seconds=seconds, rate=rate, **options)

    def wait(self, within=600.0):
        """Waits until all lookups have ended; RuntimeError after that many seconds."""
        end = time.monotonic() + within
        while self.remote.call("busy"):
            if time.monotonic() > end:
                raise RuntimeError("lookups are still open")
            time.sleep(0.1)

    def run(self, seconds, rate, **options):
        """Runs a load to its end and returns the table.

        options: names (how many objects), alpha of Zipf's law, retry and leave (shares), kinds ({kind:
        share}), late (seconds after the client's deadline at which an unanswered lookup is lost), allow
        ((least, most) ms that a client waits).
        """
        self.start(seconds, rate, **options)
        self.wait(seconds + 30)
        return self.table()

    def table(self):
        """{"lookups": [(Unix s, router, kind, end, seconds, made ms, object)], "twice", "bad": [...]}."""
        path = self.folder / "lookups.jsonl"
        result = self.remote.call("table", path=str(path))
        with open(path) as lines:
            return {
                "lookups": [json.loads(line) for line in lines],
                "twice": result["twice"],
                "bad": result["bad"],
            }
