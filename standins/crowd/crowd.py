"""A whole fleet of real processes: routers, keepers, caches, feed, clients, and links between members."""

import signal
import time

from .handles import Caches, Load, RemoteCommands
from .layout import KEEPERS, Layout
from .processes import Processes, cpu
from .remote import Remote
from .settings import TIMES
from .verdict import SLACK, Verdict

IDLE = 8.0  # seconds after which a cache closes an idle connection: two more than routers keep one


class Crowd:
    """folder: for files and logs. routers, caches: how many; both go to zones z0, z1, ... in turn.

    sections: {section: {key: value}} of the routers' file, {name} and {zone} put in; with "fleet" in it (may
    be {}) there are three keepers (fleet serve) and the relay between all; None: no file. platform: the
    settings forbid talk. report: how caches tell their load: off, inline, on_probe. more: cache settings
    (room in KB, weight, parent_weight, origin_weight), times (see settings.TIMES), and hollow, direct and
    desk (see Layout; hollow routers are run by whoever asked for them). program(name): what runs in place
    of `python -m hookrouter`. layout: one made before, in place of all that says how many.
    """

    def __init__(
        self,
        folder,
        routers,
        caches,
        zones=2,
        parents=2,
        sections=None,
        platform=False,
        seed=1,
        connections=2,
        report="off",
        keeper_sections=None,
        program=lambda name: ("hookrouter",),
        keepers=KEEPERS,
        layout=None,
        **more,
    ):
        self.times = {key: more.pop(key, value) for key, value in TIMES.items()}
        self.layout = lay = layout or Layout(
            folder, routers, caches, zones, parents, sections, keeper_sections, keepers, **more
        )
        self.folder, self.zones, self.zone = lay.folder, lay.zones, lay.zone
        self.routers, self.keepers, self.members = lay.routers, lay.keepers, lay.members
        self.platform, self.report, self.seed, self.connections = platform, report, seed, connections
        self.processes = Processes(self.folder, lay.words, self._environment, lay.port.get, program)
        self.remotes, self.links = [], None

    # ---- start and end

    def __enter__(self):
        try:
            self._begin()
        except BaseException:
            self.end()
            raise
        return self

    def __exit__(self, *wrong):
        self.end()

    def _begin(self):
        lay = self.layout
        self.caches = self._caches()
        if self.members and not lay.direct:
            self.links = RemoteCommands(self._remote("relay", {**lay.links(), "seed": self.seed}))
        lay.write()
        begun = time.monotonic()
        self.start(*self.keepers)
        self.start(*self.routers)
        self.ready_after = time.monotonic() - begun
        clients = {"routers": lay.port, "seed": self.seed, "connections": self.connections}
        self.load = Load(self._remote("clients", clients), self.folder)

    def _caches(self):
        world = {
            "caches": self.layout.rows,
            "doors": self.layout.feed_port,
            "terms": {**self.times, "origin": "o0"},
            "idle": IDLE,
            "inline": self.report == "inline",
        }
        return Caches(self._remote("world", world), self.folder)

    def _remote(self, module, spec, folder=None):
        self.remotes.append(Remote(module, spec, folder or self.folder))
        return self.remotes[-1]

    def _environment(self, name):
        if name in self.keepers:
            return {}
        known = self.caches.known()
        return {"EDGE_CONFIG": self.layout.configure(name, known, self.platform, self.report, self.times)}

    def end(self):
        """All processes, by id; nothing is left, whatever went wrong before."""
        self.processes.end()
        for remote in reversed(self.remotes):
            remote.end()
        self.remotes = []

    # ---- routers and keepers, by id

    def start(self, *names):
        self.processes.start(names)
        if self.links is not None:
            self.links.pids(of={name: self.processes.by_name[name].pid for name in names})

    def kill(self, *names):
        self.processes.kill(names)

    def term(self, *names):
        return self.processes.term(names)

    def stop(self, *names):
        self.processes.signal(names, signal.SIGSTOP, "stop")

    def cont(self, *names):
        self.processes.signal(names, signal.SIGCONT, "cont")

    def ready(self, names=None, within=30.0):
        """Whether clients have been let in at each of these routers, or all, in that time."""
        wanted, end = set(names or self.routers), time.monotonic() + within
        while not wanted <= set(self.load.admitted()):
            if time.monotonic() > end:
                return False
            time.sleep(0.05)
        return True

    def cpu_seconds(self):
        """Seconds of processor time so far: of all routers and keepers that live, and of each stand-in."""
        return {
            "program": sum(cpu(self.processes.by_name[name].pid) for name in self.processes.alive()),
            **{remote.module: cpu(remote.process.pid) for remote in self.remotes},
        }

    def counters(self, names=None):
        return self.processes.counters(names or self.routers)

    def verdict(self, slack=SLACK):
        """What came of it so far, and the rules that it broke: see verdict.py."""
        tables = self.load.table(), self.caches.tables(), self.caches.told()
        return Verdict(*tables, self.processes.events, slack)
