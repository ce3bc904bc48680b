"""A fleet of real processes: routers, keepers, caches, feed, clients, and a relay between members."""

import signal
import time

from .handles import Caches, Load, RemoteCommands
from .layout import KEEPERS, Layout
from .processes import Processes, cpu
from .remote import Remote
from .settings import TIMES
from .verdict import SLACK, Verdict

IDLE = 8.0  # seconds after which a cache closes an idle connection, two more than a router does


class Crowd:
    """Starts and ends the processes of a fleet; a context manager.

    folder: for files and logs. routers, caches: how many; both are spread over the zones z0, z1, ...
    sections: {section: {key: value}} of the routers' file, in which {name} and {zone} are replaced. With
    "fleet" in it (which may be {}) there are three keepers (fleet serve) and the relay between all members.
    None: no file. platform: whether the settings forbid traffic between routers. report: how caches report
    their load: off, inline, on_probe. options: settings of the caches (room in KB, weight, parent_weight,
    origin_weight), times (see settings.TIMES), and hollow, direct and desk (see Layout; the caller starts
    hollow routers). program(name): module and arguments to run instead of `hookrouter`. layout: an existing
    layout, in place of all arguments about numbers and sections.
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
        **options,
    ):
        self.times = {key: options.pop(key, value) for key, value in TIMES.items()}
        self.layout = fleet_layout = layout or Layout(
            folder, routers, caches, zones, parents, sections, keeper_sections, keepers, **options
        )
        self.folder, self.zones, self.zone = fleet_layout.folder, fleet_layout.zones, fleet_layout.zone
        self.routers, self.keepers, self.members = (
            fleet_layout.routers,
            fleet_layout.keepers,
            fleet_layout.members,
        )
        self.platform, self.report, self.seed, self.connections = platform, report, seed, connections
        self.processes = Processes(
            self.folder, fleet_layout.command_arguments, self._environment, fleet_layout.port.get, program
        )
        self.remotes, self.links = [], None

    # ---- start and end

    def __enter__(self):
        try:
            self._begin()
        except BaseException:
            self.end()
            raise
        return self

    def __exit__(self, *exception):
        self.end()

    def _begin(self):
        layout = self.layout
        self.caches = self._caches()
        if self.members and not layout.direct:
            self.links = RemoteCommands(self._remote("relay", {**layout.relay_spec(), "seed": self.seed}))
        layout.write()
        started = time.monotonic()
        self.start(*self.keepers)
        self.start(*self.routers)
        self.ready_after = time.monotonic() - started
        clients = {"routers": layout.port, "seed": self.seed, "connections": self.connections}
        self.load = Load(self._remote("clients", clients), self.folder)

    def _caches(self):
        world = {
            "caches": self.layout.cache_rows,
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
        """Ends all processes, even after a failed start."""
        self.processes.end()
        for remote in reversed(self.remotes):
            remote.end()
        self.remotes = []

    # ---- routers and keepers, by name

    def start(self, *names):
        """Starts processes and waits until they are ready; tells the relay their ids."""
        self.processes.start(names)
        if self.links is not None:
            self.links.pids(of={name: self.processes.by_name[name].pid for name in names})

    def kill(self, *names):
        """Sends SIGKILL and waits for the end."""
        self.processes.kill(names)

    def term(self, *names):
        """Sends SIGTERM; returns {name: exit code}."""
        return self.processes.term(names)

    def stop(self, *names):
        """Sends SIGSTOP."""
        self.processes.signal(names, signal.SIGSTOP, "stop")

    def cont(self, *names):
        """Sends SIGCONT."""
        self.processes.signal(names, signal.SIGCONT, "cont")

    def ready(self, names=None, within=30.0):
        """Whether each of these routers, or all, admits clients within that many seconds."""
        wanted, end = set(names or self.routers), time.monotonic() + within
        while not wanted <= set(self.load.admitted()):
            if time.monotonic() > end:
                return False
            time.sleep(0.05)
        return True

    def cpu_seconds(self):
        """Returns the CPU seconds so far: of all live routers and keepers together, and of each stand-in."""
        return {
            "program": sum(cpu(self.processes.by_name[name].pid) for name in self.processes.alive()),
            **{remote.module: cpu(remote.process.pid) for remote in self.remotes},
        }

    def counters(self, names=None):
        """Returns {name: {counter: value}} of these routers, or all."""
        return self.processes.counters(names or self.routers)

    def verdict(self, slack=SLACK):
        """Returns the results so far and the broken rules, see verdict.py."""
        tables = self.load.table(), self.caches.tables(), self.caches.told()
        return Verdict(*tables, self.processes.events, slack)
