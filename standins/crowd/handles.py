"""What a crowd gives to steer its stand-ins by, and their tables."""

import json
import time


class RemoteCommands:
    """A stand-in in its process, its commands as methods."""

    def __init__(self, remote):
        self.remote = remote

    def __getattr__(self, name):
        return lambda *words, **values: self.remote.call(name, **self._named(name, words), **values)

    @staticmethod
    def _named(name, words):
        keys = {
            "cut": ("a", "b", "both"),
            "cut_zone": ("zone", "both"),
            "hold": ("seconds", "jitter", "streams"),
            "lose": ("share",),
            "double": ("share",),
            "disorder": ("share",),
            "slow": ("name", "times"),
            "restart": ("name", "gone"),
            "purge": ("key", "group"),
            "warm": ("names", "share"),
            "feed_delay": ("seconds", "routers"),
        }
        return dict(zip(keys.get(name, ("name",)), words))


class Caches(RemoteCommands):
    def __init__(self, remote, folder):
        super().__init__(remote)
        self.folder = folder

    def tables(self):
        """A dict a cache: slots of 100 ms with "at" (Unix ms), "by" (router's number: arrivals), "out",
        "hits", "fills" (by source), "full", "refused" (by number), "cold", "purged"; and "falls",
        "after_drain", "effects", "void", "state".
        """
        path = self.folder / "caches.jsonl"
        self.remote.call("tables", path=str(path))
        with open(path) as lines:
            rows = [json.loads(line) for line in lines]
        for row in rows:
            for slot in row["slots"]:
                slot["by"] = {int(who): count for who, count in slot["by"].items()}
        return rows


class Load(RemoteCommands):
    def __init__(self, remote, folder):
        super().__init__(remote)
        self.folder = folder

    def start(self, seconds, rate, **names):
        self.remote.call("run", seconds=seconds, rate=rate, **names)

    def wait(self, within=600.0):
        end = time.monotonic() + within
        while self.remote.call("busy"):
            if time.monotonic() > end:
                raise RuntimeError("lookups are still open")
            time.sleep(0.1)

    def run(self, seconds, rate, **names):
        """names: how many (names), alpha of Zipf's law, retry and leave (shares), kinds ({kind: share});
        late: seconds after its time at which a lookup without an answer is lost;
        allow: (least, most) ms that a client waits.
        """
        self.start(seconds, rate, **names)
        self.wait(seconds + 30)
        return self.table()

    def table(self):
        """{"lookups": [(Unix s, router, kind, end, seconds, made ms, object)], "twice", "bad": [...]}."""
        path = self.folder / "lookups.jsonl"
        told = self.remote.call("table", path=str(path))
        with open(path) as lines:
            return {
                "lookups": [json.loads(line) for line in lines],
                "twice": told["twice"],
                "bad": told["bad"],
            }
