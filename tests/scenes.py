"""A whole router in memory with a simulated clock, and a small fleet of caches."""

import json

from fleet import Net, Wire, configuration, endpoint, members

from hookrouter.log import Log
from hookrouter.node.counters import Counters
from hookrouter.node.router import Router
from hookrouter.node.service import Service
from hookrouter.node.start import read_start

FLEET = (
    endpoint("c0", 7100),
    endpoint("c1", 7101),
    endpoint("p0", 7102, "parent"),
    endpoint("o0", 7103, "origin"),
)
START_TIME = 1_700_000_000.0


class LogBuffer:
    """Stream that keeps the log in memory."""

    def __init__(self):
        self.text = ""

    def write(self, text):
        self.text += text

    def flush(self):
        pass


def read_config(tmp_path, config):
    """Start of a router from a configuration given as text or as an object."""
    path = tmp_path / "config.json"
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    return read_start({"EDGE_CONFIG": str(path)})


class Scene:
    """A router; more: further known events; sections: changes of the start."""

    def __init__(self, tmp_path, *more, **sections):
        self.net, self.out = Net(), LogBuffer()
        self.start = read_config(tmp_path, configuration(members(1, *FLEET, whole=True), *more))._replace(
            **sections
        )
        self.counters = Counters([kind.name for kind in self.start.terms.kinds])
        self.log = Log(self.net.seconds, self.out)
        self.router = Router(
            self.start, self.net, self.log, self.counters, lambda: START_TIME + self.net.seconds()
        )

    def client(self):
        return Wire(self.net).join(self.router.front.buildProtocol(None))

    def up(self):
        return self.net.ways[-1].up()

    def make_service(self):
        """A service around the router, and the list that gets the time when it stops."""
        stopped = []
        self.net.stop = lambda: stopped.append(self.net.seconds())
        service = Service(self.router, self.start, self.net, self.log, self.counters, None)
        methods = {
            "stopListening": lambda self: None,
            "accept_queued": lambda self: not service.router.front.full(),
        }
        service.port = type("Port", (), methods)()
        return service, stopped

    def check_counters(self):
        """Checks that taken lookups equal ended ones plus those held; returns the gauges."""
        values, gauges = self.counters.values, self.router.gauges()
        total = lambda name: sum(v for key, v in values.items() if key.startswith(f"lookups_{name}."))  # noqa: E731
        ends = sum(total(end) for end in ("satisfied", "nacked", "failed", "given_up"))
        assert total("taken") == ends + gauges["lookups_held"]
        return gauges
