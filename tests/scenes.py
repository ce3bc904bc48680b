"""A whole router in memory with a simulated clock, a small fleet around it."""

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
BEGAN = 1_700_000_000.0


class Out:
    def __init__(self):
        self.text = ""

    def write(self, text):
        self.text += text

    def flush(self):
        pass


def started(tmp_path, stated):
    path = tmp_path / "config.json"
    path.write_text(stated if isinstance(stated, str) else json.dumps(stated))
    return read_start({"EDGE_CONFIG": str(path)})


class Scene:
    def __init__(self, tmp_path, *more, **sections):
        self.net, self.out = Net(), Out()
        self.start = started(tmp_path, configuration(members(1, *FLEET, whole=True), *more))._replace(
            **sections
        )
        self.counters = Counters([kind.name for kind in self.start.terms.kinds])
        self.log = Log(self.net.seconds, self.out)
        self.router = Router(
            self.start, self.net, self.log, self.counters, lambda: BEGAN + self.net.seconds()
        )

    def client(self):
        return Wire(self.net).join(self.router.front.buildProtocol(None))

    def up(self):
        return self.net.ways[-1].up()

    def stoppable(self):
        """A service around the router, and when it stopped."""
        stopped = []
        self.net.stop = lambda: stopped.append(self.net.seconds())
        service = Service(self.router, self.start, self.net, self.log, self.counters, None)
        service.port = type("Port", (), {"stopListening": lambda self: None})()
        return service, stopped

    def adds_up(self):
        values, held = self.counters.values, self.router.gauges()
        word = lambda name: sum(v for key, v in values.items() if key.startswith(f"lookups_{name}."))  # noqa: E731
        ends = sum(word(end) for end in ("satisfied", "nacked", "failed", "given_up"))
        assert word("taken") == ends + held["lookups_held"]
        return held
