"""Fifty followers in one reactor: from a submission to applied by all, and the same events sent bare."""

import json
import statistics
import subprocess
import sys
import tempfile
import time

from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import deferLater

from hookrouter.feed.http_client import HttpClient
from hookrouter.feed.purges import PurgeFeed
from hookrouter.purges import wire
from hookrouter.site import read
from hookrouter.tables.deadlines import Deadlines

from .desks import SECRET, Desk

GAP = 0.05  # seconds between submissions: no burst, so a wait for the one before does not count


class Follower:
    """Told by a PurgeFeed; tells the count what it applied."""

    def __init__(self, count):
        self.count = count

    def on_epoch(self, epoch):
        pass

    def on_purges(self, purges):
        for purge in purges:
            self.count.applied(purge.what)

    def on_snapshot(self, purges, newest):
        pass

    def on_grant(self, *args):
        pass

    def acknowledged(self, n):
        return n, n


class Count:
    def __init__(self, followers):
        self.followers, self.left, self.done = followers, 0, None

    def expect(self):
        self.left, self.done = self.followers, Deferred()
        return self.done

    def applied(self, what):
        self.left -= 1
        if self.left == 0:
            self.done.callback(None)


class Bare(Protocol):
    """The same events in the same form, to all that asked for them: no store, no leases, no order to keep."""

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data):
        factory = self.factory
        if data.startswith(b"GET"):
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            factory.all.append(self)
            return
        factory.n += 1
        event = (
            b"data: "
            + wire.write(wire.Event("purges", 1, [(1, factory.n, 1, "object", f"o{factory.n}")]))
            + b"\n\n"
        )
        for one in factory.all:
            one.transport.writeSequence((b"%x\r\n" % len(event), event, b"\r\n"))
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


class Unleased(PurgeFeed):
    """Follows, and has no lease to renew."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.renewals.stop()


@inlineCallbacks
def timed(count, submit, times):
    took = []
    for n in range(times + 5):
        done, began = count.expect(), time.perf_counter()
        submit(n)
        yield done
        took.append((time.perf_counter() - began) * 1_000)
        yield deferLater(reactor, GAP, lambda: None)
    return sorted(took[5:])  # the first few open connections


@inlineCallbacks
def measure(times, followers):
    folder = tempfile.mkdtemp(prefix="purges-")
    desk, deadlines, count = Desk(folder), Deadlines(reactor), Count(followers)
    desk.start()
    purges = read(f"{folder}/site.ini")["purges"]
    feeds = [
        PurgeFeed(
            reactor,
            deadlines,
            Follower(count),
            (("127.0.0.1", desk.port),),
            purges,
            f"f{n}",
            lambda *args, **more: None,
            lambda name: None,
        )
        for n in range(followers)
    ]
    for feed in feeds:
        feed.start()
    caller = HttpClient(reactor, deadlines, ("127.0.0.1", desk.port))
    yield deferLater(reactor, 1.5, lambda: None)

    def submit(n):
        body = json.dumps({"key": f"k{n}", "purges": [{"sort": "object", "what": f"o{n}"}]}).encode()
        caller.start(b"POST", b"/v1/purges", [(b"Authorization", b"Bearer " + SECRET.encode())], body, 5.0)

    took = yield timed(count, submit, times)
    for feed in feeds:
        feed.stop()
    caller.stop()
    desk.kill(15)

    server = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.purges.effect", "bare"], stdout=subprocess.PIPE, text=True
    )
    port = int(server.stdout.readline())
    feeds = [
        Unleased(
            reactor,
            deadlines,
            Follower(count),
            (("127.0.0.1", port),),
            purges,
            f"f{n}",
            lambda *args, **more: None,
            lambda name: None,
        )
        for n in range(followers)
    ]
    for feed in feeds:
        feed.start()
    caller = HttpClient(reactor, deadlines, ("127.0.0.1", port))
    yield deferLater(reactor, 1.0, lambda: None)
    bare = yield timed(count, lambda n: caller.start(b"POST", b"/", [], b"", 5.0), times)
    for feed in feeds:
        feed.stop()
    caller.stop()
    server.kill()
    server.wait()

    def p99(values):
        return round(values[int(len(values) * 0.99)], 2)

    print(
        json.dumps(
            {
                "effect_p99_ms": p99(took),
                "bare_p99_ms": p99(bare),
                "effect_p50_ms": round(statistics.median(took), 2),
                "bare_p50_ms": round(statistics.median(bare), 2),
            }
        )
    )


def main():
    if sys.argv[1] == "bare":
        factory = Factory.forProtocol(Bare)
        factory.all, factory.n = [], 0
        print(reactor.listenTCP(0, factory, interface="127.0.0.1").getHost().port, flush=True)
        reactor.callLater(300, reactor.stop)
        reactor.run()
        return
    measure(int(sys.argv[1]), int(sys.argv[2])).addErrback(
        lambda failure: print(failure, file=sys.stderr)
    ).addBoth(lambda _: reactor.stop())
    reactor.run()


if __name__ == "__main__":
    main()
